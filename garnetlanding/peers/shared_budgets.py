"""Budgets that all instances of the fleet share, and this instance's quotas of them.

A budget bounds what may be spent within a window: units at a backend that is warming up, polls for the
endpoint list, the retries that need not be earned, and connections at a backend. Requests and spending are
observed in the events and actions that pass to and from the decision module; leases divide the budgets
(docs/design/fleet-limits.md). No clock and no socket; times are microseconds.
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

CONNECTIONS = api.concurrency_budget_name("")  # with which the names of budgets of connections begin


@dataclass(frozen=True, slots=True)
class WarmingBackend:
    """A backend whose process has just started."""

    name: str
    until: int  # when it stops to count as warming up


class SharedBudgets:
    """What this instance requests and spends of the shared budgets, and what it may spend."""

    def __init__(
        self, limits: PeerLimits, settings: api.Settings, incarnation: int, now: int, longest_us: int = 0
    ) -> None:
        """Start in quarantine.

        `longest_us` is the longest window of a budget that the settings do not contain; 0 if there is none.
        """
        self._limits = limits
        window_us = max(
            settings.overload_window_us,
            settings.retry_budget_window_us,
            limits.endpoint_poll_window_us,
            longest_us,
        )
        identity = InstanceIdentity(settings.instance_id, settings.instances, incarnation)
        self.leases = Leases(limits, identity, now, budget_window_us=window_us)
        self._warming: dict[int, WarmingBackend] = {}  # by cell
        self._units: dict[str, float] = {}  # of requests that may be sent to a backend that is warming up
        self._attempted: set[str] = set()  # requests with an attempt, where retries have a budget

    # Before the decision module handles events

    def observe_events(
        self, now: int, events: Iterable[api.Event], settings: api.Settings, hosts: int
    ) -> None:
        """Record what is requested of the budgets, before the decision module handles the events.

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
                    self._forget(event.request)
                case api.Result():
                    self._request_retry(event, now, settings, hosts)
                    if event.answered:
                        self._forget(event.request)

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
            self._warming.clear()
        for entry in update.entries:
            until = entry.started_us + settings.warmup_us
            known = self._warming.get(entry.cell)
            if entry.state is api.EndpointState.UP and entry.started_us and now < until:
                self._warming[entry.cell] = WarmingBackend(entry.backend, until)
            elif known is not None and known.name == entry.backend:
                del self._warming[entry.cell]

    def _request_warmup(self, arrival: api.Arrival, now: int, settings: api.Settings, hosts: int) -> None:
        # A new object may also be placed on a backend whose cell is unknown.
        cell = api.UNKNOWN_CELL if arrival.cell is None else arrival.cell
        backend = self._warming.get(cell)
        if backend is None or not settings.warmup_units:
            return
        if now >= backend.until:
            del self._warming[cell]
            return
        self._units[arrival.request] = arrival.units
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

    def _forget(self, request: str) -> None:
        self._units.pop(request, None)
        self._attempted.discard(request)

    # After it has handled them

    def observe_actions(self, now: int, actions: Iterable[api.Action], settings: api.Settings) -> None:
        """Record what the decision module has spent of the budgets."""
        for action in actions:
            match action:
                case api.Send():
                    self._spend_attempt(action, now, settings)
                case api.Subscribe():
                    self.leases.demands.record_spent(api.POLL_BUDGET, 1, now)
                case api.Reject() | api.Fail():
                    self._forget(action.request)

    def _spend_attempt(self, attempt: api.Send, now: int, settings: api.Settings) -> None:
        demands = self.leases.demands
        if units := self._units.get(attempt.request):
            demands.record_spent(api.warmup_budget_name(attempt.backend), units, now)
        if settings.retry_budget_window_us:
            if attempt.request in self._attempted:
                demands.record_spent(api.RETRY_BUDGET, 1, now)
            self._attempted.add(attempt.request)

    # Quotas

    def refresh_quotas(self, now: int, hosts: int) -> dict[str, float] | None:
        """Compute the quotas anew; return what may be spent of each budget, or None if nothing has changed.

        It is a number of connections for a budget of connections, and a multiple of the even quota for
        others.
        """
        if not self.leases.refresh_quotas(now):
            return None
        current = self.leases.current_quotas()
        quotas: dict[str, float] = {}
        for demand in self.leases.demands.by_tag.values():
            is_counted = demand.name.startswith(CONNECTIONS)
            quotas[demand.name] = current[demand.name] * (demand.budget_size if is_counted else hosts)
        if api.POLL_BUDGET in quotas:
            # An instance without any quota would never learn of an endpoint: some polls are always allowed.
            quotas[api.POLL_BUDGET] = max(self._limits.min_endpoint_poll_fraction, quotas[api.POLL_BUDGET])
        return quotas

    def receive(self, sender: int, message: LeaseMessage, now: int) -> DropReason | None:
        """Record a peer's requests and grants; return why the message is dropped, or None."""
        return self.leases.receive(sender, message, now)
