"""What all heads together may spend within a window, and this head's share of it: units at a server that has
just started, list calls, the free part of attempts beyond the first. Sees the events and actions that pass to
and from the module; leases divide it (docs/design/fleet-limits.md). No clock, no socket.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from garnetlanding.decision import interface as api
from garnetlanding.peers.codec import LeaseMessage
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.limits import SECOND, PeerLimits


class SharedBudgets:
    def __init__(self, limits: PeerLimits, s: api.Settings, life: int, now: int, longest_us: int = 0) -> None:
        """`longest_us`: a window beside those of the settings."""
        self._limits = limits
        longest = max(s.overload_window_us, s.retry_budget_window_us, limits.list_window_us, longest_us)
        self.leases = Leases(limits, s.instance_id, s.instances, life, now, window_us=longest)
        self._cold: dict[int, tuple[str, int]] = {}  # by cell: the server that is cold, until when
        self._units: dict[str, float] = {}  # of requests that may go to one of them
        self._sent: set[str] = set()  # requests with an attempt, where further ones have a budget

    def observe_events(self, now: int, events: Iterable[api.Event], s: api.Settings, hosts: int) -> None:
        """Before the module is told of them. `hosts`: the heads that share everything."""
        for event in events:
            match event:
                case api.EndpointListUpdate(failed=True):
                    self.leases.record_demand(
                        api.LIST_CALLS, hosts, self._limits.list_calls, 1, now, self._limits.list_window_us
                    )
                case api.EndpointListUpdate():
                    self._listed(event, now, s)
                case api.Arrival() if event.cell in self._cold and s.warmup_units:
                    node, until = self._cold[event.cell]
                    if now >= until:
                        del self._cold[event.cell]
                        continue
                    self._units[event.request] = event.units
                    self.leases.record_demand(
                        api.warmup_budget(node),
                        hosts,
                        s.warmup_units * SECOND / s.overload_window_us,
                        event.units,
                        now,
                        s.overload_window_us,
                    )
                case api.ClientLeft():
                    self._over(event.request)
                case api.Result():
                    if (
                        s.retry_budget_window_us
                        and s.retry_budget_floor
                        and event.outcome is not api.Outcome.SERVED
                    ):
                        pace = s.retry_budget_floor * hosts * SECOND / s.retry_budget_window_us
                        self.leases.record_demand(api.RESENDS, hosts, pace, 1, now, s.retry_budget_window_us)
                    if event.over:
                        self._over(event.request)

    def _listed(self, event: api.EndpointListUpdate, now: int, s: api.Settings) -> None:
        if event.whole:
            self._cold.clear()
        for entry in event.entries:
            until = entry.started_us + s.warmup_us
            if entry.state is api.EndpointState.UP and entry.started_us and now < until:
                self._cold[entry.cell] = entry.node, until
            elif self._cold.get(entry.cell, ("", 0))[0] == entry.node:
                del self._cold[entry.cell]

    def _over(self, request: str) -> None:
        self._units.pop(request, None)
        self._sent.discard(request)

    def observe_actions(self, now: int, actions: Iterable[api.Action], s: api.Settings) -> None:
        """After the module has decided: what it spends."""
        for action in actions:
            match action:
                case api.Send():
                    if units := self._units.get(action.request):
                        self.leases.record_spent(api.warmup_budget(action.node), units, now)
                    if s.retry_budget_window_us:
                        if action.request in self._sent:
                            self.leases.record_spent(api.RESENDS, 1, now)
                        self._sent.add(action.request)
                case api.Subscribe():
                    self.leases.record_spent(api.LIST_CALLS, 1, now)
                case api.Reject() | api.Fail():
                    self._over(action.request)

    def changed_shares(self, now: int, hosts: int) -> dict[str, float] | None:
        """Of each budget that is asked for, this head's share as a multiple of 1 / hosts; None: as told."""
        if not self.leases.changed_shares(now):
            return None
        shares = {name: share * (whole or hosts) for name, share, whole in self._believed()}
        if api.LIST_CALLS in shares:
            # A head that may not ask at all could stay without a list: some it may always.
            shares[api.LIST_CALLS] = max(self._limits.list_least, shares[api.LIST_CALLS])
        return shares

    def _believed(self) -> Iterator[tuple[str, float, float]]:
        """Name and share of each budget, and how much the whole of it is, of what is told by number."""
        believed = self.leases.current_shares()
        for own in self.leases.demands.values():
            counted = own.name.startswith(api.concurrency_budget(""))
            yield own.name, believed[own.name], own.limit * own.window_us / SECOND if counted else 0.0

    def receive(self, sender: int, message: LeaseMessage, now: int) -> str:
        """Takes a head's word up; returns why not, if not."""
        return self.leases.receive(sender, message, now)
