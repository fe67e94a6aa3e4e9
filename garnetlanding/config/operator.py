"""The operator's file (TOML): what it turns on. A subsystem that it leaves out is not even imported."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from garnetlanding.config.section import Section
from garnetlanding.decision import interface as api
from garnetlanding.store.setup import StoreSetup

if TYPE_CHECKING:
    from garnetlanding.audit.setup import AuditSetup
    from garnetlanding.choices.setup import ChoicesSetup
    from garnetlanding.history.setup import HistorySetup
    from garnetlanding.ninep.setup import Ninep
    from garnetlanding.peers.setup import FleetSetup
    from garnetlanding.telemetry.setup import Collector


@dataclass(frozen=True, slots=True)
class Operator:
    """What an operator's file turns on; the platform has none."""

    ninep: Ninep | None = None
    telemetry: Collector | None = None
    store: StoreSetup = StoreSetup()
    history: HistorySetup | None = None
    fleet: FleetSetup | None = None
    choices: ChoicesSetup | None = None
    audit: AuditSetup | None = None


def read_operator(data: object, settings: api.Settings, name: str) -> Operator:
    """Checks an operator's file; each subsystem reads its own section. Raises ConfigError."""
    top = Section(data, "", "ninep telemetry store history fleet choices audit")
    ninep, telemetry, store = None, None, StoreSetup(writer=name)
    if top.has("ninep"):
        from garnetlanding.ninep import setup as ninep_setup

        ninep = ninep_setup.read(top.raw("ninep"), settings)
    if top.has("telemetry"):
        from garnetlanding.telemetry import setup as telemetry_setup

        telemetry = telemetry_setup.read(top.raw("telemetry"))
    if top.has("store"):
        from garnetlanding.store import setup as store_setup

        store = store_setup.read(top.raw("store"), name)
    history = None
    if top.has("history"):
        from garnetlanding.history import setup as history_setup

        history = history_setup.read(top.raw("history"))
    fleet = None
    if top.has("fleet"):
        from garnetlanding.peers import setup as peers_setup

        fleet = peers_setup.read_fleet(top.raw("fleet"))
    choices = None
    if top.has("choices"):
        from garnetlanding.choices import setup as choices_setup

        choices = choices_setup.read(top.raw("choices"))
    audit = None
    if top.has("audit"):
        from garnetlanding.audit import setup as audit_setup

        audit = audit_setup.read(top.raw("audit"))
    return Operator(ninep, telemetry, store, history, fleet, choices, audit)
