"""Carries out what operators ask: bans and drains, kept on disk before the yes, and taken up from there."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from garnetlanding.ops.admin_state import AdminState
from garnetlanding.ops.fleet_access import FleetAccess, FleetView
from garnetlanding.ops.managed_instance import ManagedInstance
from garnetlanding.ops.state_file import StateFile

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.ops.replicated_disables import ReplicatedDisables

log = logging.getLogger(__name__)


class AdminService:
    """Implements the front's Operable for one process of a head."""

    def __init__(
        self,
        instance: ManagedInstance,
        state_file: StateFile,
        fleet: FleetAccess | None = None,
        replicated: ReplicatedDisables | None = None,
    ) -> None:
        """Take up the stored state; `replicated` makes disabled backends known to the whole fleet."""
        self._scheduler, self._core, self._clients = instance.scheduler, instance.engine, instance.clients
        self._file, self._limits, self._told = state_file, instance.limits, instance.endpoints_known
        self._share, self._fleet, self._shared = instance.refresh_quota, fleet, replicated
        self._state = AdminState()
        self._drained_at: int | None = None
        self._take_up(state_file.load())
        self._look()

    @property
    def accepts_clients(self) -> bool:
        """Whether clients are to come here."""
        return not self._state.draining

    def ready(self) -> bool:
        return (
            self._told()
            and self._clients.accepting
            and self._clients.part > 0
            and not self._core.fence.is_fenced
        )

    def metrics(self) -> str:
        return self._core.metrics_text()

    def disable(self, brick: str) -> bool:
        return self._put("disabled", brick, True)

    def enable(self, brick: str) -> bool:
        return self._put("enabled", brick, False)

    def _put(self, what: str, brick: str, out: bool) -> bool:
        shared, known = self._shared, self._core.endpoints.is_known(brick)
        if known and shared:
            self._change(what, lambda state: shared.set_disabled(state, brick, out), brick)
        elif known:
            self._change(what, lambda state: state.disable(brick) if out else state.enable(brick), brick)
        return known

    def drain(self) -> None:
        self._change("drained", lambda state: state.with_draining(True))

    def resume(self) -> None:
        self._change("resumed", lambda state: state.with_draining(False))

    def fleet_view(self, view: FleetView) -> str | None:
        rows = self._fleet.rows(view) if self._fleet else None
        return None if rows is None else json.dumps(rows) + "\n"

    def forget_instance(self, head: int) -> bool | None:
        known = self._fleet.forget(head) if self._fleet else None
        if known:
            log.info("head forgotten", extra={"kv": {"head": head}})
        return known

    def set_fenced(self, head: int, out: bool) -> bool | None:
        shared, hosts = self._shared, self._core.settings.instances
        if shared is None:
            return None
        if head < hosts:
            self._change(
                "shut out" if out else "let in", lambda state: shared.set_fenced(state, head, out, hosts)
            )
        return head < hosts

    def _change(self, what: str, how: Callable[[AdminState], AdminState], brick: str = "") -> None:
        """On disk first: a yes outlasts this process."""
        self._take_up(self._file.change(how))
        log.info(what, extra={"kv": {"brick": brick} if brick else {}})

    def _look(self) -> None:
        """The other process of an upgrade may have said something since."""
        self._scheduler.call_at(self._scheduler.now + self._limits.ops_look_us, self._look)
        self._share()
        if (state := self._file.news()) is not None:
            self._take_up(state)
        shared = self._shared
        if shared and (records := shared.take_received()):
            self._take_up(self._file.change(lambda state: shared.merge(state, records)))
        if self._drained_at is not None and (
            self._scheduler.now >= self._drained_at + self._limits.drain_serve_us
        ):
            self._clients.close_idle()

    def _take_up(self, state: AdminState) -> None:
        old, self._state = self._state, state
        if state.disabled != old.disabled:
            self._core.set_disabled(state.disabled)
        if self._shared:
            self._shared.publish(state)
        if state.draining and self._drained_at is None:
            self._drained_at = self._scheduler.now
        elif not state.draining and self._drained_at is not None:
            self._drained_at, self._clients.ending = None, False
