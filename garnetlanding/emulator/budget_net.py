"""Budgets of a window on the simulated clocks and network of lease_net.py: each head spends what its share
allows as soon as it is asked, and all that any heads spent within one window is added up.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from garnetlanding.emulator.lease_net import SECOND, Head, Net, Run, Seen
from garnetlanding.peers import codec
from garnetlanding.peers.leases import InstanceIdentity, Leases

BUDGET, NAME = 40.0, "cold:n0"
TAG = codec.tag(NAME)


@dataclass(frozen=True, slots=True)
class BudgetNet(Net):
    """Every head is one of the budget's hosts."""

    window_us: int = 2 * SECOND


class BudgetRun(Run):
    """`seen.most`: of the budget, the greatest part spent within any window; `usable`: the mean of it."""

    def __init__(self, net: BudgetNet) -> None:
        self.window_us = net.window_us
        self._spent: deque[tuple[int, int]] = deque()
        self._most_spent, self._sum = 0, 0.0
        super().__init__(net)

    def _start(self, me: int, clock: Callable[[int], int], down_until: int) -> Head:
        self._lives += 1
        identity = InstanceIdentity(me, self.net.heads, 1000 + self._lives)
        leases = Leases(self.limits, identity, clock(max(self.now, down_until)), window_us=self.window_us)
        return Head(clock, leases, 0.0, down_until=down_until)

    def run(self) -> Seen:
        super().run()
        self.seen.most = self._most_spent / BUDGET
        self.seen.usable = self._sum / (self.net.length_us / self.net.step_us) / BUDGET
        return self.seen

    def _turn(self, me: int, lead: int) -> None:
        head = self.heads[me]
        now, leases = head.clock(self.now), head.leases
        self._hear(head, now)
        wanted = 0
        busy = me == self.now // self.net.shift_us % self.net.heads
        rate = BUDGET / (self.window_us / SECOND) * (2 if busy else self.net.rest)
        if self.rng.random() < rate * self.net.step_us / SECOND:
            leases.record_demand(
                NAME, self.net.heads, BUDGET * SECOND / self.window_us, 1, now, self.window_us
            )
            wanted = 1
        mail: list[tuple[int, bytes]] = []
        if now >= head.say_at:
            head.say_at = now + self.limits.say_every_us
            mail = self._say(leases, now)
        leases.changed_shares(now)
        if wanted:
            self._spend(leases, now)
        for receiver, data in mail:
            self._post(me, receiver, data)

    def _spend(self, leases: Leases, now: int) -> None:
        """As the module does: what its share leaves of what it spent within the window, by its own clock."""
        own = leases.demands[TAG]
        assert own.spent
        if own.spent.total(now - self.window_us) + 1 <= leases.usable_share(TAG, now) * BUDGET + 1e-9:
            leases.record_spent(NAME, 1, now)
            self._spent.append((self.now, 1))

    def _add_up(self) -> None:
        # Clocks run apart: a window is shorter by so much to the one that is slowest.
        window = self.window_us * (1 - 2 * self.net.drift)
        while self._spent and self._spent[0][0] <= self.now - window:
            self._spent.popleft()
        total = len(self._spent)
        self._sum += total / self.net.heads
        if total > self._most_spent:
            self._most_spent, self.seen.most_at = total, self.now
