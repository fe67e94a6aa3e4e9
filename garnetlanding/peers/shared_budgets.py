"""Budgets that all instances of the fleet share, and this instance's quotas of them.

A budget bounds the units spent within a window: units sent to a backend that is warming up, polls for the
endpoint list, retries beyond the earned ones, and connections to a backend. Demand and spending are derived
from the events that the decision module handles and the actions that it returns; leases divide the budgets
(docs/design/fleet-limits.md). The module has neither a clock nor a socket; times are microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from garnetlanding.decision import interface as api
from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.lease_message import LeaseMessage
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.limits import SECOND, PeerLimits
from garnetlanding.peers.peer_contacts import InstanceIdentity

CONNECTION_BUDGET_PREFIX = api.concurrency_budget_name("")  # of the names of connection budgets


@dataclass(frozen=True, slots=True)
class WarmingBackend:
    """A backend that is warming up after its process started."""

    name: str
    warmup_ends_at: int


class SharedBudgets:
    """The demand, spending and quotas of this instance for the shared budgets."""

    def __init__(
        self,
        limits: PeerLimits,
        settings: api.Settings,
        incarnation: int,
        now: int,
        extra_window_us: int = 0,
    ) -> None:
        """Start in quarantine.

        `extra_window_us` is the longest window of any budget that the settings do not contain; 0 if there is
        none.
        """
        self._limits = limits
        window_us = max(
            settings.overload_window_us,
            settings.retry_budget_window_us,
            limits.endpoint_poll_window_us,
            extra_window_us,
        )
        identity = InstanceIdentity(settings.instance_id, settings.instances, incarnation)
        self.leases = Leases(limits, identity, now, budget_window_us=window_us)
        self._warming_by_cell: dict[int, WarmingBackend] = {}
        self._warmup_units: dict[str, float] = {}  # by request that a warming backend may receive
        self._attempted: set[str] = set()  # requests with an attempt, if retries have a budget

    # Demand, before the decision module handles events

    def observe_events(
        self, now: int, events: Iterable[api.Event], settings: api.Settings, hosts: int
    ) -> None:
        """Record the demand for budgets, before the decision module handles the events.

        `hosts` is the number of instances that share the budgets.
        """
        for event in events:
            match event:
                case api.EndpointListFailure():
                    self._request_poll(now, hosts)
                case api.EndpointListUpdate():
                    self._update_warming(event, now, settings)
                case api.Arrival():
                    self._request_warmup(event, now, settings, hosts)
                case api.ClientLeft():
                    self._remove_request(event.request)
                case api.Result():
                    self._request_retry(event, now, settings, hosts)
                    if event.answered:
                        self._remove_request(event.request)

    def _request_poll(self, now: int, hosts: int) -> None:
        self.leases.record_demand(
            api.POLL_BUDGET,
            hosts,
            self._limits.endpoint_polls_per_s,
            1,
            now,
            self._limits.endpoint_poll_window_us,
        )

    def _update_warming(self, update: api.EndpointListUpdate, now: int, settings: api.Settings) -> None:
        if update.complete:
            self._warming_by_cell.clear()
        for entry in update.entries:
            warmup_ends_at = entry.started_us + settings.warmup_us
            known = self._warming_by_cell.get(entry.cell)
            if entry.state is api.EndpointState.UP and entry.started_us and now < warmup_ends_at:
                self._warming_by_cell[entry.cell] = WarmingBackend(entry.backend, warmup_ends_at)
            elif known is not None and known.name == entry.backend:
                del self._warming_by_cell[entry.cell]

    def _request_warmup(self, arrival: api.Arrival, now: int, settings: api.Settings, hosts: int) -> None:
        # Without a cell, the request may place a new object on a backend whose cell is unknown.
        cell = api.UNKNOWN_CELL if arrival.cell is None else arrival.cell
        backend = self._warming_by_cell.get(cell)
        if backend is None or not settings.warmup_units:
            return
        if now >= backend.warmup_ends_at:
            del self._warming_by_cell[cell]
            return
        self._warmup_units[arrival.request] = arrival.units
        self.leases.record_demand(
            api.warmup_budget_name(backend.name),
            hosts,
            settings.warmup_units * SECOND / settings.overload_window_us,
            arrival.units,
            now,
            settings.overload_window_us,
        )

    def _request_retry(self, result: api.Result, now: int, settings: api.Settings, hosts: int) -> None:
        window_us = settings.retry_budget_window_us
        if not window_us or not settings.retry_budget_floor or result.outcome is api.Outcome.SERVED:
            return
        rate = settings.retry_budget_floor * hosts * SECOND / window_us
        self.leases.record_demand(api.RETRY_BUDGET, hosts, rate, 1, now, window_us)

    def _remove_request(self, request: str) -> None:
        self._warmup_units.pop(request, None)
        self._attempted.discard(request)

    # Spending, after the decision module has handled events

    def observe_actions(self, now: int, actions: Iterable[api.Action], settings: api.Settings) -> None:
        """Record the units of budgets that the decision module has spent."""
        for action in actions:
            match action:
                case api.Send():
                    self._spend_attempt(action, now, settings)
                case api.Subscribe():
                    self.leases.demands.record_spent(api.POLL_BUDGET, 1, now)
                case api.Reject() | api.Fail():
                    self._remove_request(action.request)

    def _spend_attempt(self, attempt: api.Send, now: int, settings: api.Settings) -> None:
        demands = self.leases.demands
        if units := self._warmup_units.get(attempt.request):
            demands.record_spent(api.warmup_budget_name(attempt.backend), units, now)
        if settings.retry_budget_window_us:
            if attempt.request in self._attempted:
                demands.record_spent(api.RETRY_BUDGET, 1, now)
            self._attempted.add(attempt.request)

    # Quotas

    def refresh_quotas(self, now: int, hosts: int) -> dict[str, float] | None:
        """Recompute the quotas; return the quota of each budget, or None if no quota has changed.

        The unit is connections for connection budgets, and multiples of the even quota for the others.
        """
        if not self.leases.refresh_quotas(now):
            return None
        current = self.leases.current_quotas()
        quotas: dict[str, float] = {}
        for demand in self.leases.demands.by_tag.values():
            is_connections = demand.name.startswith(CONNECTION_BUDGET_PREFIX)
            quotas[demand.name] = current[demand.name] * (demand.budget_size if is_connections else hosts)
        if api.POLL_BUDGET in quotas:
            # Some polls are always allowed, since an instance without a quota could never discover endpoints.
            quotas[api.POLL_BUDGET] = max(self._limits.min_endpoint_poll_fraction, quotas[api.POLL_BUDGET])
        return quotas

    def receive(self, sender: int, message: LeaseMessage, now: int) -> DropReason | None:
        """Record a peer's requests and grants; return why the message was dropped, or None if it was not."""
        return self.leases.receive(sender, message, now)
