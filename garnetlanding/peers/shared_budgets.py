"""Budgets that all instances of the fleet share, and this instance's shares of them.

They are what may be spent within a window: units at a backend that is warming up, calls for the endpoint
list, and the free part of retries. The events and actions that pass to and from the decision module are
observed for what is requested and spent; leases divide the budgets (docs/design/fleet-limits.md). No clock
and no socket.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from garnetlanding.decision import interface as api
from garnetlanding.peers.codec import LeaseMessage
from garnetlanding.peers.demand import Demand
from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.limits import SECOND, PeerLimits
from garnetlanding.peers.peer_contacts import InstanceIdentity


@dataclass(frozen=True, slots=True)
class WarmingBackend:
    """A backend whose process has just started, until when it counts as warming up (microseconds)."""

    name: str
    until: int


class SharedBudgets:
    """What this instance requests and spends of the shared budgets, and what it may spend."""

    def __init__(
        self, limits: PeerLimits, settings: api.Settings, incarnation: int, now: int, longest_us: int = 0
    ) -> None:
        """Begin as after a start. `longest_us` is a budget's window beside those of the settings."""
        self._limits = limits
        window_us = max(
            settings.overload_window_us, settings.retry_budget_window_us, limits.list_window_us, longest_us
        )
        identity = InstanceIdentity(settings.instance_id, settings.instances, incarnation)
        self.leases = Leases(limits, identity, now, window_us=window_us)
        self._warming: dict[int, WarmingBackend] = {}  # by cell
        self._units: dict[str, float] = {}  # of requests that may be sent to one of them
        self._sent: set[str] = set()  # requests with an attempt, where retries have a budget

    def observe_events(
        self, now: int, events: Iterable[api.Event], settings: api.Settings, hosts: int
    ) -> None:
        """Record what is requested of the budgets, before the decision module handles the events.

        `hosts` is the number of instances that share the budgets.
        """
        for event in events:
            match event:
                case api.EndpointListFailure():
                    window_us = self._limits.list_window_us
                    self.leases.record_demand(
                        api.ENDPOINT_POLLS, hosts, self._limits.list_calls_per_s, 1, now, window_us
                    )
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
            api.warmup_budget(backend.name),
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
        self.leases.record_demand(api.RETRIES, hosts, rate, 1, now, window_us)

    def _forget(self, request: str) -> None:
        self._units.pop(request, None)
        self._sent.discard(request)

    def observe_actions(self, now: int, actions: Iterable[api.Action], settings: api.Settings) -> None:
        """Record what the decision module has spent of the budgets."""
        for action in actions:
            match action:
                case api.Send():
                    self._spend_attempt(action, now, settings)
                case api.Subscribe():
                    self.leases.record_spent(api.ENDPOINT_POLLS, 1, now)
                case api.Reject() | api.Fail():
                    self._forget(action.request)

    def _spend_attempt(self, attempt: api.Send, now: int, settings: api.Settings) -> None:
        if units := self._units.get(attempt.request):
            self.leases.record_spent(api.warmup_budget(attempt.backend), units, now)
        if settings.retry_budget_window_us:
            if attempt.request in self._sent:
                self.leases.record_spent(api.RETRIES, 1, now)
            self._sent.add(attempt.request)

    def changed_shares(self, now: int, hosts: int) -> dict[str, float] | None:
        """Return what this instance may spend of each budget; None where nothing has changed.

        A budget that is counted has the number that may be spent, any other a multiple of an even share.
        """
        if not self.leases.changed_shares(now):
            return None
        current = self.leases.current_shares()
        shares = {
            demand.name: current[demand.name] * (_counted_size(demand) or hosts)
            for demand in self.leases.demands.values()
        }
        if api.ENDPOINT_POLLS in shares:
            # An instance that may not call at all could stay without a list: some calls it may always make.
            shares[api.ENDPOINT_POLLS] = max(self._limits.min_list_share, shares[api.ENDPOINT_POLLS])
        return shares

    def receive(self, sender: int, message: LeaseMessage, now: int) -> DropReason | None:
        """Take up a peer's requests and grants; return why the message is dropped, if it is."""
        return self.leases.receive(sender, message, now)


def _counted_size(demand: Demand) -> float:
    """Return how much the whole of a budget is whose shares are numbers; 0 for any other."""
    if not demand.name.startswith(api.concurrency_budget("")):
        return 0.0
    return demand.limit * demand.window_us / SECOND
