"""Many heads, each with its decision module, before nodes of which one falls silent or refuses connections:
on one simulated clock and network. The same seed gives the same run.

Counts what the fleet goes on sending to that node, with heads that tell each other what they see and without.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.decision.interface import Outcome
from garnetlanding.peers.coordinator import PeerCoordinator
from garnetlanding.peers.failure_detector import FailureDetector
from garnetlanding.peers.limits import PeerLimits

MS, SECOND = 1_000, 1_000_000
READ = api.ClassSpec("read", 2.0, 0.2, 200 * MS, SECOND, api.Effect.SAFE)
PLAN = api.PlanSpec("plan", 1.0, 40.0, 40.0)


@dataclass(frozen=True, slots=True)
class Net:
    """What a run is made of. Times are microseconds."""

    seed: int = 1
    heads: int = 4
    nodes: int = 8
    told: bool = True  # heads tell each other
    how: str = "silent"  # or "refuses"
    struck: int = 1  # nodes, the first ones
    rate: float = 60.0  # requests a second for each node, over all heads
    serve_us: int = 15 * MS
    strikes_us: int = 6 * SECOND
    back_us: int = 14 * SECOND
    length_us: int = 20 * SECOND
    loss: float = 0.02  # of the messages between heads
    delay_us: int = 10 * MS  # twice that at most


@dataclass(slots=True)
class Seen:
    sends: list[tuple[int, int]] = field(default_factory=list)  # when, by which head: to the struck node
    before: Counter[int] = field(default_factory=Counter)  # by head, of one second before it was struck
    served: int = 0
    asked: int = 0
    bytes: int = 0
    doubts: set[tuple[int, str]] = field(default_factory=set)
    after: tuple[int, int] = 0, 0  # asked for in the 10 s after the strike, and served in time of that


def settings(net: Net, me: int) -> api.Settings:
    return api.Settings(
        instances=net.heads,
        instance_id=me,
        tick_us=MS,
        classes={"read": READ},
        plans={"plan": PLAN},
        poll_endpoints=False,
        max_attempts=2,
        parallel_attempts=False,
        may_cancel=True,
        may_probe=False,
        honors_retry_after=True,
        max_retry_after_us=SECOND,
        warmup_initial_share=0.2,
        warmup_us=0,
        warmup_units=10.0,
        overload_multiple=2.0,
        overload_window_us=2 * SECOND,
        ordered_key_rest_us=SECOND,
        retry_budget_ratio=0.0,
        retry_budget_floor=0.0,
        retry_budget_window_us=0,
        over_quota_value_share=0.4,
        idle_value_share=0.08,
        max_units=8.0,
        may_message_peers=True,
    )


class Run:
    def __init__(self, net: Net, limits: PeerLimits | None = None) -> None:
        self.net, self.rng, self.seen, limits = net, random.Random(net.seed), Seen(), limits or PeerLimits()
        self._mail: list[tuple[int, int, int, api.Event]] = []
        self._count = 0
        self.heads = [
            PeerCoordinator(
                Controller(settings(net, me), me),
                life=1,
                limits=limits,
                fleet=FailureDetector(limits) if net.told else None,
            )
            for me in range(net.heads)
        ]
        entries = tuple(api.Endpoint(f"n{i}", i, "z", api.EndpointState.UP) for i in range(net.nodes))
        self._asked: dict[str, int] = {}
        for me in range(net.heads):
            self._post(0, me, api.EndpointListUpdate(entries, whole=True, at_start=True))
        at, number = 0.0, 0
        while (at := at + self.rng.expovariate(net.rate * net.nodes) * SECOND) < net.length_us:
            number += 1
            self._post(
                int(at),
                self.rng.randrange(net.heads),
                api.Arrival(
                    f"r{number}",
                    "read",
                    "plan",
                    "v",
                    "",
                    1.0,
                    self.rng.randrange(net.nodes),
                    int(at) + READ.deadline_us,
                    net.heads,
                ),
            )

    def _post(self, when: int, head: int, event: api.Event) -> None:
        self._count += 1
        heapq.heappush(self._mail, (when, self._count, head, event))

    def run(self) -> Seen:
        tries: Counter[tuple[int, str]] = Counter()
        while self._mail:
            now, _, me, event = heapq.heappop(self._mail)
            if now > self.net.length_us:
                break
            self.seen.asked += isinstance(event, api.Arrival)
            served = isinstance(event, api.Result) and event.outcome is Outcome.SERVED
            self.seen.served += served
            if 0 <= now - self.net.strikes_us < 10 * SECOND:
                asked, well = self.seen.after
                self.seen.after = asked + isinstance(event, api.Arrival), well + served
            for action in self.heads[me].handle(now, [event]):
                match action:
                    case api.WakeAfter(span_us=span, token=token):
                        self._post(now + max(1, span), me, api.TimerFired(token))
                    case api.Send(request=request, node=node):
                        tries[me, request] += 1
                        self._send(now, me, request, tries[me, request] - 1, node)
                    case api.SendPeerMessage(payload=payload, to=to):
                        self.seen.bytes += len(payload)
                        if self.rng.random() >= self.net.loss:
                            delay = self.rng.randrange(self.net.delay_us // 5, 2 * self.net.delay_us)
                            self._post(now + delay, to, api.PeerMessage(me, payload))
            if (fleet := self.heads[me].fleet) and now < self.net.strikes_us:
                self.seen.doubts |= {
                    (me, node) for node in fleet.suspicions.suspected(now, fleet.observations)
                }
        return self.seen

    def _send(self, now: int, me: int, request: str, attempt: int, node: str) -> None:
        net = self.net
        struck = int(node[1:]) < net.struck and net.strikes_us <= now < net.back_us
        if node == "n0" and net.strikes_us - SECOND <= now < net.strikes_us:
            self.seen.before[me] += 1
        if struck:
            self.seen.sends.append((now, me))
        took = int(net.serve_us * self.rng.uniform(0.5, 2))
        outcome = Outcome.SERVED
        if struck and net.how == "silent":
            took, outcome = READ.deadline_us, Outcome.TIMEOUT
        elif struck:
            took, outcome = MS, Outcome.UNREACHABLE
        self._post(
            now + took, me, api.Result(request, attempt, node, outcome, took, over=outcome is Outcome.SERVED)
        )


def until_left(net: Net, seen: Seen, part: float = 0.1, window_us: int = 500 * MS) -> int:
    """After how many microseconds all heads together send that node less than `part` of what they did, over a
    window, for as long as it is gone."""
    usual = seen.before.total() * window_us / SECOND
    times = [when - net.strikes_us for when, _ in seen.sends]
    last = 0
    for i, when in enumerate(times):
        within = sum(1 for other in times[i : i + int(usual) + 1] if other < when + window_us)
        if within >= part * usual:
            last = when
    return last
