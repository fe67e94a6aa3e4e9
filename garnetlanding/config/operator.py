"""The operator's file (TOML): the optional subsystems that it enables, and their settings.

Each reader is imported where it is used, so that a subsystem that is not configured is not imported.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from garnetlanding.config.section import Section
from garnetlanding.decision import interface as api
from garnetlanding.store.setup import StoreSetup

if TYPE_CHECKING:
    from garnetlanding.audit.setup import AuditSetup
    from garnetlanding.choices.setup import ChoicesSetup
    from garnetlanding.history.setup import HistorySetup
    from garnetlanding.ninep.setup import NinepSetup
    from garnetlanding.peers.setup import FleetSetup
    from garnetlanding.telemetry.setup import TelemetrySetup

SECTION_NAMES = "ninep telemetry store history fleet choices audit"


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The settings of each optional subsystem, None if it is off. By default all are."""

    ninep: NinepSetup | None = None
    telemetry: TelemetrySetup | None = None
    store: StoreSetup = field(default_factory=StoreSetup)
    history: HistorySetup | None = None
    fleet: FleetSetup | None = None
    choices: ChoicesSetup | None = None
    audit: AuditSetup | None = None


def read_operator(data: object, settings: api.Settings, name: str) -> OperatorConfig:
    """Read and validate an operator's file. Each subsystem reads its own section.

    `settings` are the platform's, whose classes and plans the sections may refer to; `name` is this
    instance's. Raises ConfigError for the first faulty section, in the order of the fields.
    """
    top = Section(data, "", SECTION_NAMES)
    return OperatorConfig(
        ninep=_read_ninep(top.raw("ninep"), settings) if top.has("ninep") else None,
        telemetry=_read_telemetry(top.raw("telemetry")) if top.has("telemetry") else None,
        store=_read_store(top.raw("store"), name) if top.has("store") else StoreSetup(writer=name),
        history=_read_history(top.raw("history")) if top.has("history") else None,
        fleet=_read_fleet(top.raw("fleet")) if top.has("fleet") else None,
        choices=_read_choices(top.raw("choices")) if top.has("choices") else None,
        audit=_read_audit(top.raw("audit")) if top.has("audit") else None,
    )


def _read_ninep(data: object, settings: api.Settings) -> NinepSetup:
    from garnetlanding.ninep import setup

    return setup.read(data, settings)


def _read_telemetry(data: object) -> TelemetrySetup:
    from garnetlanding.telemetry import setup

    return setup.read(data)


def _read_store(data: object, name: str) -> StoreSetup:
    from garnetlanding.store import setup

    return setup.read(data, name)


def _read_history(data: object) -> HistorySetup:
    from garnetlanding.history import setup

    return setup.read(data)


def _read_fleet(data: object) -> FleetSetup:
    from garnetlanding.peers import setup

    return setup.read_fleet(data)


def _read_choices(data: object) -> ChoicesSetup:
    from garnetlanding.choices import setup

    return setup.read(data)


def _read_audit(data: object) -> AuditSetup:
    from garnetlanding.audit import setup

    return setup.read(data)
