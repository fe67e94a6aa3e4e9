"""Executes operators' calls. A change is stored before it is confirmed, so that it survives a restart."""

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

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.ops.replicated_disables import ReplicatedDisables

log = logging.getLogger(__name__)


class AdminService:
    """Implements AdminTarget for one process of an instance.

    The stored state is applied at construction. `fleet` gives access to the other instances, and `replicated`
    replicates decisions on backends to them; without it, these decisions are local to this instance.

    A change that cannot be stored raises OSError and does not take effect.
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
        self._apply(state_file.load())
        self._poll()

    # Observation

    @property
    def accepts_clients(self) -> bool:
        """Whether this instance reports itself healthy to clients; a draining one does not."""
        return not self._state.draining

    def ready(self) -> bool:
        """Return whether new clients may be sent here."""
        clients = self._instance.clients
        if not self._instance.endpoints_known():
            return False
        return clients.accepting and clients.capacity_quota > 0 and not self._engine.fence.is_fenced

    def metrics(self) -> str:
        """Return the metrics as text, in their wire format."""
        return self._engine.metrics_text()

    def fleet_view(self, view: FleetView) -> str | None:
        """Return a table about the fleet as JSON, or None while this instance receives no gossip."""
        rows = self._fleet.rows(view) if self._fleet else None
        if rows is None:
            return None
        return json.dumps(rows) + "\n"

    # Backends

    def disable(self, backend: str) -> bool:
        """Stop sending requests to the backend until it is enabled. Return whether it is known."""
        return self._set_disabled(backend, disabled=True)

    def enable(self, backend: str) -> bool:
        """Resume sending requests to the backend. Return whether it is known."""
        return self._set_disabled(backend, disabled=False)

    def _set_disabled(self, backend: str, *, disabled: bool) -> bool:
        if not self._engine.endpoints.is_known(backend):
            return False

        def change(state: AdminState) -> AdminState:
            if self._replicated:
                return self._replicated.set_disabled(state, backend, disabled=disabled)
            return state.disable(backend) if disabled else state.enable(backend)

        self._change(change)
        log.info("backend disabled" if disabled else "backend enabled", extra={"kv": {"backend": backend}})
        return True

    # Clients

    def drain(self) -> None:
        """Start draining clients from this instance."""
        self._change(AdminState.drain)
        log.info("drain started")

    def resume(self) -> None:
        """End the drain."""
        self._change(AdminState.resume)
        log.info("drain ended")

    # Instances

    def forget_instance(self, instance: int) -> bool | None:
        """Remove a terminated instance from the membership; see FleetAccess.forget."""
        was_member = self._fleet.forget(instance) if self._fleet else None
        if was_member:
            log.info("instance forgotten", extra={"kv": {"instance": instance}})
        return was_member

    def fence(self, instance: int) -> bool | None:
        """Fence an instance, so that it sends nothing.

        Return whether an instance of this number exists, or None if decisions are not replicated.
        Raises TooManyFencedError if too large a fraction of the fleet would be fenced.
        """
        return self._set_fenced(instance, fenced=True)

    def unfence(self, instance: int) -> bool | None:
        """Let a fenced instance send again. Returns the same as `fence`."""
        return self._set_fenced(instance, fenced=False)

    def _set_fenced(self, instance: int, *, fenced: bool) -> bool | None:
        replicated = self._replicated
        if replicated is None:
            return None
        instances = self._engine.settings.instances
        if instance >= instances:
            return False
        self._change(lambda state: replicated.set_fenced(state, instance, fenced=fenced, instances=instances))
        log.info("instance fenced" if fenced else "instance unfenced", extra={"kv": {"instance": instance}})
        return True

    # State

    def _change(self, change: Callable[[AdminState], AdminState]) -> None:
        self._apply(self._state_file.update(change))

    def _poll(self) -> None:
        """Periodically apply changes made by the other process of an upgrade and by peers."""
        self._scheduler.call_at(self._scheduler.now + self._instance.limits.ops_poll_us, self._poll)
        self._instance.refresh_quota()
        changed = self._state_file.load_if_changed()
        if changed is not None:
            self._apply(changed)
        if self._replicated:
            self._merge_received(self._replicated)
        self._drain.close_idle_when_due()

    def _merge_received(self, replicated: ReplicatedDisables) -> None:
        records = replicated.take_received()
        if records:
            self._change(lambda state: replicated.merge(state, records))

    def _apply(self, state: AdminState) -> None:
        old = self._state
        self._state = state
        if state.disabled != old.disabled:
            self._engine.set_disabled(state.disabled)
        if self._replicated:
            self._replicated.publish(state)
        self._drain.set_draining(draining=state.draining)
