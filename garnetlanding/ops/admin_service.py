"""Carries out operators' calls. A change is stored before it is confirmed: it outlasts the process."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from garnetlanding.ops.admin_state import AdminState
from garnetlanding.ops.client_drain import ClientDrain
from garnetlanding.ops.fleet_access import FleetAccess, FleetView
from garnetlanding.ops.managed_instance import ManagedInstance
from garnetlanding.ops.state_file import StateFile

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.ops.replicated_disables import ReplicatedDisables

log = logging.getLogger(__name__)


class AdminService:
    """Implements AdminTarget for one process of an instance.

    From its construction on, the stored state is in force. `fleet` gives access to the other instances, and
    `replicated` makes decisions on backends known to them; without it they stay at this one.

    A change raises OSError where it cannot be stored, and then is not made.
    """

    def __init__(
        self,
        instance: ManagedInstance,
        state_file: StateFile,
        fleet: FleetAccess | None = None,
        replicated: ReplicatedDisables | None = None,
    ) -> None:
        self._instance = instance
        self._scheduler = instance.scheduler
        self._engine = instance.engine
        self._state_file = state_file
        self._fleet = fleet
        self._replicated = replicated
        self._drain = ClientDrain(instance.scheduler, instance.clients, instance.limits.drain_serve_us)
        self._state = AdminState()
        self._put_in_force(state_file.load())
        self._poll()

    # Observing

    @property
    def accepts_clients(self) -> bool:
        """Whether clients are to stay here: a draining instance tells them that it is not healthy."""
        return not self._state.draining

    def ready(self) -> bool:
        """Whether new clients may be sent here."""
        clients = self._instance.clients
        if not self._instance.endpoints_known():
            return False
        return clients.accepting and clients.part > 0 and not self._engine.fence.is_fenced

    def metrics(self) -> str:
        """Return the metrics as text, in their wire form."""
        return self._engine.metrics_text()

    def fleet_view(self, view: FleetView) -> str | None:
        """Return a table about the fleet as JSON, or None while this instance receives no gossip."""
        rows = self._fleet.rows(view) if self._fleet else None
        if rows is None:
            return None
        return json.dumps(rows) + "\n"

    # Backends

    def disable(self, backend: str) -> bool:
        """Send the backend no new requests until it is enabled. Return whether it is known."""
        return self._set_disabled(backend, True)

    def enable(self, backend: str) -> bool:
        """Send the backend requests again. Return whether it is known."""
        return self._set_disabled(backend, False)

    def _set_disabled(self, backend: str, disabled: bool) -> bool:
        if not self._engine.endpoints.is_known(backend):
            return False

        def change(state: AdminState) -> AdminState:
            if self._replicated:
                return self._replicated.set_disabled(state, backend, disabled)
            return state.disable(backend) if disabled else state.enable(backend)

        self._change(change)
        log.info("backend disabled" if disabled else "backend enabled", extra={"kv": {"backend": backend}})
        return True

    # Clients

    def drain(self) -> None:
        """Have clients leave this instance."""
        self._change(lambda state: state.with_draining(True))
        log.info("drain started")

    def resume(self) -> None:
        """End the drain."""
        self._change(lambda state: state.with_draining(False))
        log.info("drain ended")

    # Instances

    def forget_instance(self, instance: int) -> bool | None:
        """Remove a terminated instance from the membership; see FleetAccess.forget."""
        was_member = self._fleet.forget(instance) if self._fleet else None
        if was_member:
            log.info("instance forgotten", extra={"kv": {"instance": instance}})
        return was_member

    def set_fenced(self, instance: int, fenced: bool) -> bool | None:
        """Fence an instance, so that it sends nothing, or unfence it.

        Return whether there is one of this number, or None where decisions stay at this instance. Raises
        DisableRejectedError where too much of the fleet would be fenced.
        """
        replicated = self._replicated
        if replicated is None:
            return None
        instances = self._engine.settings.instances
        if instance >= instances:
            return False
        self._change(lambda state: replicated.set_fenced(state, instance, fenced, instances))
        log.info("instance fenced" if fenced else "instance unfenced", extra={"kv": {"instance": instance}})
        return True

    # The state

    def _change(self, change: Callable[[AdminState], AdminState]) -> None:
        self._put_in_force(self._state_file.update(change))

    def _poll(self) -> None:
        """Look regularly for what the other process of an upgrade, and peers, have changed."""
        self._scheduler.call_at(self._scheduler.now + self._instance.limits.ops_poll_us, self._poll)
        self._instance.refresh_quota()
        changed = self._state_file.load_if_changed()
        if changed is not None:
            self._put_in_force(changed)
        if self._replicated:
            self._merge_received(self._replicated)
        self._drain.close_idle_when_due()

    def _merge_received(self, replicated: ReplicatedDisables) -> None:
        records = replicated.take_received()
        if records:
            self._change(lambda state: replicated.merge(state, records))

    def _put_in_force(self, state: AdminState) -> None:
        old = self._state
        self._state = state
        if state.disabled != old.disabled:
            self._engine.set_disabled(state.disabled)
        if self._replicated:
            self._replicated.publish(state)
        self._drain.set_draining(state.draining)
