"""The decision module answers the same events with the same actions, byte for byte.

Each scenario writes down every batch of events that a Controller is given and every list of actions that it
returns, field by field (texts of log lines are left out), and compares the sha256 of all of it with the one
in tests/golden/decisions.json. Two kinds of scenarios make the events: the emulated fleet, with up to 30
instances, and a pseudo-random script that gives one Controller every kind of event.

A change that is meant to change decisions writes the digests anew, and its commit says so:

    GOLDEN_WRITE=1 python -m pytest tests/golden/test_decision_digest.py
"""

from __future__ import annotations

import hashlib
import heapq
import json
import os
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from garnetlanding import wire
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.emulator import fleet

MS, SECOND = 1_000, 1_000_000
GOLDEN = Path(__file__).parent / "decisions.json"


# What is written down


def pairs_text(pairs: dict[str, float] | dict[str, int]) -> str:
    return "{" + " ".join(f"{name}={value!r}" for name, value in sorted(pairs.items())) + "}"


def entry_text(e: api.Endpoint) -> str:
    return f"({e.backend} {e.cell} {e.zone} {e.state.value} {e.started_us} {e.size!r} {e.admin_disabled})"


def settings_text(s: api.Settings) -> str:
    """Of the settings, what the scenarios change while a Controller runs, and what tells them apart."""
    classes = " ".join(
        f"({c.name} {c.priority_weight!r} {c.late_value_fraction!r} {c.latency_objective_us} "
        f"{c.deadline_us} {c.effect.value} {c.deduplication_scope.value} "
        f"{c.deduplication_window_us} {c.in_order})"
        for c in s.classes.values()
    )
    plans = " ".join(
        f"({p.name} {p.weight!r} {p.usual_rate!r} {p.reserve_rate!r} {p.limit_rate!r} {p.limit_burst!r} "
        f"{p.price!r})"
        for p in s.plans.values()
    )
    tries = f"{s.max_attempts} {s.parallel_attempts}"
    return f"{s.instances} {s.instance_id} {tries} {s.process_quota!r} {classes} {plans}"


def event_text(event: api.Event) -> str:  # noqa: C901 - one case an event, and no other branch
    match event:
        case api.NewSettings(settings):
            return f"settings {settings_text(settings)}"
        case api.EndpointListUpdate() as e:
            entries = " ".join(entry_text(entry) for entry in e.entries)
            return f"list {e.complete} False False 0 {e.at_start} {entries}"
        case api.EndpointListFailure(kind, missed_for_us):
            return f"list False True {kind is api.FailureKind.OVERLOADED} {missed_for_us} False "
        case api.Arrival() as e:
            cell = -1 if e.cell is None else e.cell
            return (
                f"arrival {e.request} {e.request_class} {e.plan} {e.volume} {e.key or '-'} {e.units!r} "
                f"{cell} {e.deadline_us} {e.serving_instances} {e.is_retry} {e.is_write}"
            )
        case api.StreamStarted(request, attempt):
            return f"stream {request} {attempt}"
        case api.Result() as e:
            usage = 0 if e.usage_percent is None else e.usage_percent + 1
            return (
                f"result {e.request} {e.attempt} {e.backend or '-'} {e.outcome.value} {e.duration_us} "
                f"{e.answered} {usage} {pairs_text(e.load_report)}"
            )
        case api.ClientLeft(request):
            return f"left {request}"
        case api.TimerFired(token):
            return f"woke {token}"
        case api.HealthCheckResult() as e:
            return f"probed {e.backend} {e.outcome.value} {e.duration_us} {pairs_text(e.load_report)}"
        case api.PeerMessage(sender, payload):
            return f"peer {sender} {payload.hex()}"
        case api.QuotaUpdate(parts, shares):
            return f"parts {pairs_text(parts)} {'-' if shares is None else pairs_text(shares)}"
        case api.PeerSuspicions(suspected):
            return f"hearsay {pairs_text(suspected)}"
    raise AssertionError(f"an event of an unknown kind: {event!r}")


def action_text(action: api.Action) -> str:
    line: str = wire.write_actions([action])[0]
    return "log" if isinstance(action, api.Log) else line


@dataclass
class Record:
    """The digest of all that was written down, and how much of each kind that was."""

    digest: Any = field(default_factory=hashlib.sha256)
    seen: dict[str, int] = field(default_factory=dict)

    def write(self, mark: str, text: str) -> None:
        self.digest.update(f"{mark} {text}\n".encode())
        kind = mark + text.partition(" ")[0]
        self.seen[kind] = self.seen.get(kind, 0) + 1

    def result(self) -> dict[str, object]:
        return {"sha256": self.digest.hexdigest(), "seen": dict(sorted(self.seen.items()))}


class Recorded:
    """A Controller whose every call is written down."""

    def __init__(self, record: Record, settings: api.Settings, seed: int) -> None:
        self.record, self.name = record, f"{settings.instance_id}/{seed}"
        self.controller = Controller(settings, seed)
        record.write("=", f"start {self.name} {settings_text(settings)}")

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        self.record.write("@", f"call {self.name} {now}")
        for event in events:
            self.record.write("<", event_text(event))
        actions = self.controller.handle(now, events)
        for action in actions:
            self.record.write(">", action_text(action))
        return actions


def check(name: str, record: Record) -> None:
    """Compares with the committed digest; what was seen is compared first, since it says more."""
    golden = json.loads(GOLDEN.read_text()) if GOLDEN.exists() else {}
    result = record.result()
    if os.environ.get("GOLDEN_WRITE") == "1":
        GOLDEN.parent.mkdir(exist_ok=True)
        GOLDEN.write_text(json.dumps(golden | {name: result}, indent=1, sort_keys=True) + "\n")
        return
    assert result["seen"] == golden[name]["seen"]
    assert result["sha256"] == golden[name]["sha256"]


# The emulated fleet

Change = Callable[[api.Settings], api.Settings]


def as_it_is(settings: api.Settings) -> api.Settings:
    return settings


def limited(settings: api.Settings) -> api.Settings:
    """One plan with a limit, and a budget of further attempts."""
    plan = replace(settings.plans["priority"], limit_rate=2.5, limit_burst=14.0)
    plans = settings.plans | {"priority": plan}
    return replace(
        settings,
        plans=plans,
        retry_budget_ratio=0.1,
        retry_budget_floor=5.0,
        retry_budget_window_us=5 * SECOND,
    )


def keyed(settings: api.Settings) -> api.Settings:
    """Writes that nodes of one cell know again for a while; failures tell clients how long to hold off."""
    write = replace(
        settings.classes["write"],
        effect=api.Effect.KEYED,
        deduplication_scope=api.DeduplicationScope.CELL,
        deduplication_window_us=2 * SECOND,
    )
    return replace(settings, classes=settings.classes | {"write": write})


def parallel(settings: api.Settings) -> api.Settings:
    return replace(settings, parallel_attempts=True)


PUSHED: dict[str, Any] = dict(
    pushed_lists=True,
    warmup_initial_fraction=0.15,
    overload_multiple=2.0,
    warmup_units=10.0,
    service_rate=40.0,
)

FLEETS: dict[str, tuple[str, int, Change, dict[str, Any]]] = {
    "calm": ("zone", 3, as_it_is, dict(affected_share=0.0, backends=10)),
    "restart-with-cold-nodes": ("zone", 30, as_it_is, dict(backends=12)),
    "heads-killed": ("herd", 20, as_it_is, dict(backends=12)),
    "discovery-outage": ("join", 12, keyed, dict(backends=12, discovery_outage_us=6 * SECOND)),
    "lists-pushed-late": ("zone", 5, limited, dict(backends=10, affected_share=0.5, **PUSHED)),
    "answers-lost": (
        "zone",
        8,
        parallel,
        dict(backends=12, affected_share=0.0, unresponsive_share=0.25, load=1.2),
    ),
    "one-head-of-quick-bricks": (
        "zone",
        1,
        as_it_is,
        dict(backends=3, service_rate=150.0, load=20.0, length_us=10 * SECOND),
    ),
    "overload-refusals": ("join", 6, limited, dict(backends=10, load=2.5, queue_limit=6, connection_limit=4)),
}


@pytest.mark.parametrize("name", FLEETS)
def test_a_fleet_is_told_the_same(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    kind, heads, change, day = FLEETS[name]
    record = Record()
    monkeypatch.setattr(fleet, "Controller", lambda settings, seed: Recorded(record, change(settings), seed))
    tally = fleet.play(kind, heads, seed=7, **day)
    values = f"{tally.requested_value!r} {tally.earned_value!r}"
    record.write("=", f"tally {values} {tally.list_calls} {tally.list_calls_failed}")
    check("fleet-" + name, record)


# One Controller and a world that does everything to it

CLASSES = (
    api.ClassSpec("read", 2.0, 0.1, 300 * MS, 1500 * MS, api.Effect.SAFE),
    api.ClassSpec("slow", 0.5, 0.3, 900 * MS, 4000 * MS, api.Effect.SAFE),
    api.ClassSpec(
        "cell", 2.0, 0.1, 500 * MS, 2500 * MS, api.Effect.KEYED, api.DeduplicationScope.CELL, 250 * MS
    ),
    api.ClassSpec(
        "zone", 1.5, 0.1, 500 * MS, 2500 * MS, api.Effect.KEYED, api.DeduplicationScope.ZONE, 2000 * MS
    ),
    api.ClassSpec(
        "all", 1.0, 0.0, 500 * MS, 2500 * MS, api.Effect.KEYED, api.DeduplicationScope.ALL, 2000 * MS
    ),
    api.ClassSpec("once", 3.0, 0.2, 600 * MS, 2500 * MS, api.Effect.UNSAFE),
    api.ClassSpec("turn", 1.0, 0.2, 600 * MS, 3000 * MS, api.Effect.SAFE, in_order=True),
)
PLANS = (
    api.PlanSpec("gold", 4.0, 10.0, 8.0, price=1.5),
    api.PlanSpec("tin", 1.0, 2.0, 1.0),
    api.PlanSpec("capped", 1.0, 4.0, 2.0, limit_rate=6.0, limit_burst=24.0),
)
BASE = api.Settings(
    instances=3,
    instance_id=1,
    tick_us=2 * MS,
    classes={c.name: c for c in CLASSES},
    plans={p.name: p for p in PLANS},
    poll_endpoints=True,
    max_attempts=4,
    parallel_attempts=True,
    may_cancel=True,
    may_check_health=False,
    honors_retry_after=True,
    max_retry_after_us=SECOND,
    warmup_initial_fraction=0.2,
    warmup_us=8 * SECOND,
    warmup_units=9.0,
    overload_multiple=2.0,
    overload_window_us=2 * SECOND,
    ordered_key_rest_us=20 * MS,
    retry_budget_ratio=0.2,
    retry_budget_floor=4.0,
    retry_budget_window_us=5 * SECOND,
    over_quota_value_fraction=0.4,
    idle_value_fraction=0.05,
    max_units=6.0,
)
SCRIPTS: dict[str, tuple[int, api.Settings]] = {
    "parallel": (1, BASE),
    "one-at-a-time": (2, replace(BASE, parallel_attempts=False, may_cancel=False, honors_retry_after=False)),
    "one-of-many": (
        3,
        replace(
            BASE,
            instances=30,
            instance_id=17,
            poll_endpoints=False,
            retry_budget_window_us=0,
            warmup_units=40.0,
        ),
    ),
}
CELLS = 5
USUAL = (api.Outcome.SERVED,) * 12 + (
    api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.RESET, api.Outcome.UNREACHABLE,
    api.Outcome.NEVER_DISPATCHED,
)  # fmt: skip
MOODS: dict[str, tuple[tuple[api.Outcome, ...], tuple[int, int]]] = {  # outcomes and what they take
    "well": (USUAL, (5 * MS, 90 * MS)),
    "quick": ((api.Outcome.SERVED,), (2 * MS, 20 * MS)),
    "slow": (USUAL, (100 * MS, 900 * MS)),
    "full": ((api.Outcome.FULL,), (1 * MS, 10 * MS)),
    "away": ((api.Outcome.UNREACHABLE,), (1 * MS, 50 * MS)),
    "silent": ((api.Outcome.TIMEOUT,), (3 * SECOND, 5 * SECOND)),
}


@dataclass
class Asked:
    """One request as the world sees it."""

    told: api.Arrival
    sent: list[tuple[int, str]] = field(default_factory=list)  # each attempt: when and where
    ended: set[int] = field(default_factory=set)
    over: bool = False


class World:
    """Makes events from a seed and from what the Controller asks for. Its time runs in uneven steps."""

    def __init__(self, record: Record, seed: int, settings: api.Settings) -> None:
        self.rng = random.Random(seed)
        self.settings = settings
        self.head = Recorded(record, settings, seed)
        self.now = 40 * SECOND
        self.due: list[tuple[int, int, Callable[[], api.Event | None]]] = []
        self.count = 0
        self.asked: dict[str, Asked] = {}
        self.moods = {f"n{cell}": "well" for cell in range(CELLS)}
        self.entries = {
            f"n{cell}": api.Endpoint(f"n{cell}", cell, "ab"[cell % 2], api.EndpointState.UP)
            for cell in range(CELLS)
        }

    def later(self, span_us: int, event: Callable[[], api.Event | None]) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.now + span_us, self.count, event))

    def tell(self, events: list[api.Event]) -> None:
        for action in self.head.handle(self.now, events):
            match action:
                case api.Send():
                    self._sent(action)
                case api.Cancel(request, attempt):
                    self.later(self.rng.randint(1, 30 * MS), self._result(request, attempt, "cancelled"))
                case api.Reject(request) | api.Fail(request):
                    self.asked[request].over = True
                case api.WakeAfter(span_us, token):
                    self.later(span_us, partial(api.TimerFired, token))
                case api.Subscribe():
                    self.later(self.rng.randint(1, 400 * MS), self._answer_to_call)

    def run(self, span_us: int, load: float) -> None:
        """`load`: arrivals a step, in the mean. Each step tells all that has come due, and some more."""
        end = self.now + span_us
        while self.now < end:
            self.now += self.rng.choice((1 * MS, 4 * MS, 10 * MS, 25 * MS))
            events = self._come_due()
            while self.rng.random() < load / (1 + load):
                events.append(self._arrival())
            if self.rng.random() < 0.02:
                events.append(self._anything())
            if events:
                self.tell(events)

    def rest(self, span_us: int) -> None:
        """Nothing comes; what was asked for is done when it is due."""
        end = self.now + span_us
        while self.due and self.due[0][0] <= end:
            self.now = max(self.now, self.due[0][0])
            self.tell(self._come_due())
        self.now = end

    def turned_down_calls(self, count: int) -> None:
        """Discovery has a queue that goes on turning this host's calls down."""
        for _ in range(count):
            self.now += 50 * MS
            self.tell([api.EndpointListFailure(api.FailureKind.OVERLOADED)])
        self.rest(30 * SECOND)

    def comes_again(self, idle_us: int) -> None:
        """A volume asks, is idle, and asks for more than it has tokens for if it was forgotten."""
        for count in (1, 3):
            events: list[api.Event] = []
            for _ in range(count):
                told = replace(
                    self._arrival(), request_class="slow", plan="capped", volume="idler", key="", units=6.0
                )
                told = replace(told, cell=0, deadline_us=self.now + 4 * SECOND, serving_instances=1)
                self.asked[told.request] = Asked(told)
                events.append(told)
            self.tell(events)
            self.rest(idle_us)
            idle_us = SECOND // 4

    def restarts(self, count: int) -> None:
        node = min(self.entries)
        for _ in range(count):
            self.now += 10 * MS
            restarted = replace(self.entries[node], state=api.EndpointState.UP, started_us=self.now)
            self.tell([api.EndpointListUpdate((restarted,))])

    def _come_due(self) -> list[api.Event]:
        events: list[api.Event] = []
        while self.due and self.due[0][0] <= self.now:
            event = heapq.heappop(self.due)[2]()
            if event is not None:
                events.append(event)
        return events

    # Requests

    def _arrival(self) -> api.Arrival:
        rng = self.rng
        cls = self.settings.classes[rng.choice(sorted(self.settings.classes))]
        plan, volume = rng.choice(("gold", "tin", "capped")), rng.randint(0, 3)
        patience = rng.choice((cls.deadline_us, cls.deadline_us, cls.deadline_us // 2))
        request = f"r{len(self.asked)}"
        told = api.Arrival(
            request, cls.name, plan, f"{plan}{volume}", f"k{rng.randint(0, 3)}" if cls.in_order else "",
            rng.choice((1.0, 1.0, 2.0, 2.5, 6.0, 30.0 if rng.random() < 0.05 else 3.0)),
            None if (cell := rng.randint(-1, CELLS - 1)) < 0 else cell, self.now + patience, 1 + volume,
            is_retry=patience < cls.deadline_us, is_write=cls.effect is not api.Effect.SAFE,
        )  # fmt: skip
        self.asked[request] = Asked(told)
        return told

    def _sent(self, send: api.Send) -> None:
        rng, asked = self.rng, self.asked[send.request]
        attempt = len(asked.sent)
        asked.sent.append((self.now, send.backend))
        outcomes, (least, most) = MOODS[self.moods.get(send.backend, "well")]
        outcome, took = rng.choice(outcomes), rng.randint(least, most)
        if asked.told.request_class == "once" and outcome is api.Outcome.SERVED and rng.random() < 0.5:
            self.later(took // 2, lambda: api.StreamStarted(send.request, attempt))
        left_us = asked.told.deadline_us - self.now
        if took >= left_us or rng.random() < 0.04:  # lost, or too late: the client's time ends it
            self.later(max(1, left_us), self._result(send.request, attempt, "timeout"))
        else:
            self.later(took, self._result(send.request, attempt, outcome.value))

    def _result(self, request: str, attempt: int, outcome: str) -> Callable[[], api.Event | None]:
        def end() -> api.Event | None:
            asked = self.asked[request]
            if attempt in asked.ended:
                return None
            asked.ended.add(attempt)
            sent_at, node = asked.sent[attempt]
            asked.over = asked.over or outcome == "served"
            used = self.rng.choice((0, 0, 1, 60, 101, 180))
            return api.Result(
                request,
                attempt,
                node,
                api.Outcome(outcome),
                self.now - sent_at,
                asked.over,
                used - 1 if used else None,
                {"q": 1.5},
            )

        return end

    # All else

    def _answer_to_call(self) -> api.Event:
        rng = self.rng
        if rng.random() < 0.4:
            kind = api.FailureKind.OVERLOADED if rng.random() < 0.4 else api.FailureKind.ERROR
            return api.EndpointListFailure(kind, rng.choice((0, 300 * MS)))
        return api.EndpointListUpdate(tuple(self.entries.values()), complete=True)

    def _anything(self) -> api.Event:
        rng = self.rng
        request = rng.choice(sorted(self.asked)) if self.asked else "r0"
        node = rng.choice(sorted(self.entries))
        make = rng.choice(
            (self._changed_list, self._changed_list, self._mood, self._mood, self._new_settings, self._parts)
        )
        return rng.choice(
            (
                lambda: self._left(request),
                lambda: api.PeerSuspicions({node: self.now + rng.randint(0, 2 * SECOND)}),
                lambda: api.PeerSuspicions({}),
                lambda: api.EndpointListFailure(missed_updates_for_us=rng.choice((0, SECOND))),
                lambda: api.Result(request, rng.choice((-1, 0, 9)), node, api.Outcome.SERVED, MS, False),
                lambda: api.Result("unknown", 0, node, api.Outcome.FULL, MS, False),
                lambda: api.StreamStarted("unknown", 0),
                lambda: api.HealthCheckResult(node, api.Outcome.SERVED, MS, {"load": 0.5}),
                lambda: api.PeerMessage(2, b"\x01hello"),
                make,
                make,
                make,
            )
        )()

    def _left(self, request: str) -> api.Event:
        self.asked.setdefault(request, Asked(self._nothing())).over = True
        return api.ClientLeft(request)

    def _nothing(self) -> api.Arrival:
        return api.Arrival("r0", "read", "tin", "tin0", "", 1.0, 0, 0, 1)

    def _mood(self) -> api.Event:
        node = self.rng.choice(sorted(self.entries))
        self.moods[node] = self.rng.choice((*["well"] * 6, *MOODS))
        return api.TimerFired("look")

    def _parts(self) -> api.Event:
        """Of a volume that the Controller knows, since it is told of no other."""
        volumes = sorted({a.told.volume for a in self.asked.values() if a.told.deadline_us > self.now})
        parts = {v: self.rng.choice((0.2, 0.5, 1.0)) for v in volumes[:2]}
        node = self.rng.choice(sorted(self.entries))
        shares = {
            api.ENDPOINT_POLLS: self.rng.choice((0.5, 2.0)), api.RETRIES: self.rng.choice((0.0, 1.5)),
            api.warmup_budget(node): self.rng.choice((0.3, 3.0)),
            api.concurrency_budget(node): self.rng.choice((1, 3, 40)),
        }  # fmt: skip
        return api.QuotaUpdate(parts, self.rng.choice((None, {}, shares)))

    def _new_settings(self) -> api.Event:
        """Another part of what is this host's, or another plan, or back to what was at first."""
        rng, plans = self.rng, dict(BASE.plans)
        if rng.random() < 0.5:
            plans["tin"] = replace(
                plans["tin"], weight=rng.choice((0.5, 2.0)), limit_rate=5.0, limit_burst=20.0
            )
        if rng.random() < 0.2:
            del plans["gold"]  # its volumes go on by the plan as it was
            plans["gold"] = replace(BASE.plans["gold"], price=0.2)
        self.settings = replace(self.settings, plans=plans, process_quota=rng.choice((0.5, 1.0, 1.0)))
        return api.NewSettings(self.settings)

    def _changed_list(self) -> api.Event:
        """One node drains, goes, is taken out by hand, restarts, or is replaced, or the list comes whole."""
        rng = self.rng
        old = self.entries[rng.choice(sorted(self.entries))]
        up = api.EndpointState.UP
        change = rng.choice(
            ("drain", "gone", "by-hand", "restart", "restart", "replace", "back", "back", "whole")
        )
        if change == "drain":
            changed = [replace(old, state=api.EndpointState.DRAINING)]
        elif change == "by-hand":
            changed = [replace(old, state=api.EndpointState.DRAINING, admin_disabled=True)]
        elif change == "restart":
            changed = [
                replace(old, state=up, started_us=self.now - rng.choice((0, SECOND)), admin_disabled=False)
            ]
        elif change == "back":
            changed = [replace(e, state=up, admin_disabled=False) for e in self.entries.values()]
        elif change in ("gone", "replace"):
            new = replace(old, backend=f"{old.backend}x", state=up, started_us=self.now, admin_disabled=False)
            gone = replace(old, state=api.EndpointState.GONE)
            changed = [gone, new] if change == "replace" or len(self.entries) > CELLS else [gone]
        else:
            return api.EndpointListUpdate(tuple(self.entries.values()), complete=True)
        for entry in changed:
            self.entries[entry.backend] = entry
        told = api.EndpointListUpdate(tuple(changed))
        if change == "replace":
            del self.entries[old.backend]
        elif change == "gone":
            self.entries[old.backend] = replace(old, state=api.EndpointState.DRAINING)
        return told


@pytest.mark.parametrize("name", SCRIPTS)
def test_one_controller_is_told_everything(name: str) -> None:
    seed, settings = SCRIPTS[name]
    record = Record()
    world = World(record, seed, settings)
    world.tell([api.EndpointListUpdate(tuple(world.entries.values()), complete=True, at_start=True)])
    for load in (0.05, 0.2, 0.1, 0.05, 1.0, 0.1):
        world.run(15 * SECOND, load)
        world.rest(3 * SECOND)
    for idle_s in (61, 62, 63, 64):  # long enough to forget some volumes, and then more
        world.rest(idle_s * SECOND)
        world.run(4 * SECOND, 0.1)
    for idle_s in (61, 62, 63, 61, 62, 63):
        world.comes_again(idle_s * SECOND)
    world.turned_down_calls(9)
    world.restarts(210)  # more than a life has log lines for
    check("script-" + name, record)
