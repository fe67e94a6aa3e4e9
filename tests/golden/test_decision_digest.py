"""Golden test: the decision module returns the same actions for the same events.

Each scenario records every batch of events passed to a Controller and every list of actions that it returns,
field by field (without the texts of log lines), and compares the SHA-256 digest of the record with the one in
tests/golden/decisions.json. The events come from the emulated fleet, with up to 30 instances, or from a
pseudo-random script that passes every kind of event to one Controller.

A commit that changes decisions on purpose updates the digests and says so:

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


# The recorded text


def format_mapping(mapping: dict[str, float] | dict[str, int]) -> str:
    return "{" + " ".join(f"{name}={value!r}" for name, value in sorted(mapping.items())) + "}"


def format_endpoint(endpoint: api.Endpoint) -> str:
    return (
        f"({endpoint.backend} {endpoint.cell} {endpoint.zone} {endpoint.state.value} {endpoint.started_us} "
        f"{endpoint.size!r} {endpoint.admin_disabled})"
    )


def format_class(spec: api.ClassSpec) -> str:
    return (
        f"({spec.name} {spec.priority_weight!r} {spec.late_value_fraction!r} {spec.latency_objective_us} "
        f"{spec.deadline_us} {spec.effect.value} {spec.deduplication_scope.value} "
        f"{spec.deduplication_window_us} {spec.in_order})"
    )


def format_plan(plan: api.PlanSpec) -> str:
    return (
        f"({plan.name} {plan.weight!r} {plan.usual_rate!r} {plan.reserve_rate!r} {plan.limit_rate!r} "
        f"{plan.limit_burst!r} {plan.priority_weight_factor!r})"
    )


def format_settings(settings: api.Settings) -> str:
    """Format the settings that scenarios change while a Controller runs, or that differ between scenarios."""
    classes = " ".join(format_class(spec) for spec in settings.classes.values())
    plans = " ".join(format_plan(plan) for plan in settings.plans.values())
    attempts = f"{settings.max_attempts} {settings.parallel_attempts}"
    return (
        f"{settings.instances} {settings.instance_id} {attempts} {settings.process_quota!r} {classes} {plans}"
    )


def format_event(event: api.Event) -> str:  # noqa: C901 - one case per kind of event
    match event:
        case api.NewSettings(settings):
            return f"settings {format_settings(settings)}"
        case api.EndpointListUpdate() as update:
            entries = " ".join(format_endpoint(entry) for entry in update.entries)
            return f"list {update.complete} False False 0 {update.at_start} {entries}"
        case api.EndpointListFailure(kind, missed_for_us):
            return f"list False True {kind is api.FailureKind.OVERLOADED} {missed_for_us} False "
        case api.Arrival() as arrival:
            cell = -1 if arrival.cell is None else arrival.cell
            return (
                f"arrival {arrival.request} {arrival.request_class} {arrival.plan} {arrival.volume} "
                f"{arrival.key or '-'} {arrival.units!r} {cell} {arrival.deadline_us} "
                f"{arrival.serving_instances} {arrival.is_retry} {arrival.is_write}"
            )
        case api.StreamStarted(request, attempt):
            return f"stream {request} {attempt}"
        case api.Result() as result:
            usage = 0 if result.usage_percent is None else result.usage_percent + 1
            return (
                f"result {result.request} {result.attempt} {result.backend or '-'} {result.outcome.value} "
                f"{result.duration_us} {result.answered} {usage} {format_mapping(result.load_report)}"
            )
        case api.ClientLeft(request):
            return f"left {request}"
        case api.TimerFired(token):
            return f"woke {token}"
        case api.HealthCheckResult() as check:
            return (
                f"probed {check.backend} {check.outcome.value} {check.duration_us} "
                f"{format_mapping(check.load_report)}"
            )
        case api.PeerMessage(sender, payload):
            return f"peer {sender} {payload.hex()}"
        case api.QuotaUpdate(volume_quotas, budget_quotas):
            budgets = "-" if budget_quotas is None else format_mapping(budget_quotas)
            return f"parts {format_mapping(volume_quotas)} {budgets}"
        case api.PeerSuspicions(suspected_until):
            return f"hearsay {format_mapping(suspected_until)}"
    raise AssertionError(f"event of an unknown kind: {event!r}")


def format_action(action: api.Action) -> str:
    line: str = wire.write_actions([action])[0]
    return "log" if isinstance(action, api.Log) else line


@dataclass
class DecisionRecord:
    """The digest of all recorded lines, and the number of lines of each kind."""

    digest: Any = field(default_factory=hashlib.sha256)
    line_counts: dict[str, int] = field(default_factory=dict)

    def write(self, mark: str, text: str) -> None:
        self.digest.update(f"{mark} {text}\n".encode())
        kind = mark + text.partition(" ")[0]
        self.line_counts[kind] = self.line_counts.get(kind, 0) + 1

    def result(self) -> dict[str, object]:
        return {"sha256": self.digest.hexdigest(), "seen": dict(sorted(self.line_counts.items()))}


class RecordedController:
    """A Controller whose calls are all recorded."""

    def __init__(self, record: DecisionRecord, settings: api.Settings, seed: int) -> None:
        self.record, self.name = record, f"{settings.instance_id}/{seed}"
        self.controller = Controller(settings, seed)
        record.write("=", f"start {self.name} {format_settings(settings)}")

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        self.record.write("@", f"call {self.name} {now}")
        for event in events:
            self.record.write("<", format_event(event))
        actions = self.controller.handle(now, events)
        for action in actions:
            self.record.write(">", format_action(action))
        return actions


def assert_matches_golden(name: str, record: DecisionRecord) -> None:
    """Compare a record with the committed one; the line counts come first, since they tell more."""
    golden = json.loads(GOLDEN.read_text()) if GOLDEN.exists() else {}
    result = record.result()
    if os.environ.get("GOLDEN_WRITE") == "1":
        GOLDEN.parent.mkdir(exist_ok=True)
        GOLDEN.write_text(json.dumps(golden | {name: result}, indent=1, sort_keys=True) + "\n")
        return
    assert result["seen"] == golden[name]["seen"]
    assert result["sha256"] == golden[name]["sha256"]


# The emulated fleet

SettingsChange = Callable[[api.Settings], api.Settings]


def unchanged(settings: api.Settings) -> api.Settings:
    return settings


def with_limit_and_retry_budget(settings: api.Settings) -> api.Settings:
    plan = replace(settings.plans["priority"], limit_rate=2.5, limit_burst=14.0)
    plans = settings.plans | {"priority": plan}
    return replace(
        settings,
        plans=plans,
        retry_budget_ratio=0.1,
        retry_budget_floor=5.0,
        retry_budget_window_us=5 * SECOND,
    )


def with_keyed_writes(settings: api.Settings) -> api.Settings:
    """Make writes idempotent by key, with deduplication in the backends of a cell for a limited time."""
    write = replace(
        settings.classes["write"],
        effect=api.Effect.KEYED,
        deduplication_scope=api.DeduplicationScope.CELL,
        deduplication_window_us=2 * SECOND,
    )
    return replace(settings, classes=settings.classes | {"write": write})


def with_parallel_attempts(settings: api.Settings) -> api.Settings:
    return replace(settings, parallel_attempts=True)


PUSHED_LIST_OPTIONS: dict[str, Any] = dict(
    pushed_lists=True,
    warmup_initial_fraction=0.15,
    overload_multiple=2.0,
    warmup_units=10.0,
    service_rate=40.0,
)

FLEET_SCENARIOS: dict[str, tuple[str, int, SettingsChange, dict[str, Any]]] = {
    "calm": ("zone", 3, unchanged, dict(affected_share=0.0, backends=10)),
    "restart-with-cold-nodes": ("zone", 30, unchanged, dict(backends=12)),
    "heads-killed": ("herd", 20, unchanged, dict(backends=12)),
    "discovery-outage": ("join", 12, with_keyed_writes, dict(backends=12, discovery_outage_us=6 * SECOND)),
    "lists-pushed-late": (
        "zone",
        5,
        with_limit_and_retry_budget,
        dict(backends=10, affected_share=0.5, **PUSHED_LIST_OPTIONS),
    ),
    "answers-lost": (
        "zone",
        8,
        with_parallel_attempts,
        dict(backends=12, affected_share=0.0, unresponsive_share=0.25, load=1.2),
    ),
    "one-head-of-quick-bricks": (
        "zone",
        1,
        unchanged,
        dict(backends=3, service_rate=150.0, load=20.0, length_us=10 * SECOND),
    ),
    "overload-refusals": (
        "join",
        6,
        with_limit_and_retry_budget,
        dict(backends=10, load=2.5, queue_limit=6, connection_limit=4),
    ),
}


@pytest.mark.parametrize("name", FLEET_SCENARIOS)
def test_decisions_of_a_fleet_match_the_recorded_digest(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    kind, instances, change, options = FLEET_SCENARIOS[name]
    record = DecisionRecord()
    monkeypatch.setattr(
        fleet, "Controller", lambda settings, seed: RecordedController(record, change(settings), seed)
    )
    tally = fleet.simulate_fleet(kind, instances, seed=7, **options)
    values = f"{tally.requested_value!r} {tally.earned_value!r}"
    record.write("=", f"tally {values} {tally.list_calls} {tally.list_calls_failed}")
    assert_matches_golden("fleet-" + name, record)


# One Controller, and a script that passes it every kind of event

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
    api.PlanSpec("gold", 4.0, 10.0, 8.0, priority_weight_factor=1.5),
    api.PlanSpec("tin", 1.0, 2.0, 1.0),
    api.PlanSpec("capped", 1.0, 4.0, 2.0, limit_rate=6.0, limit_burst=24.0),
)
BASE_SETTINGS = api.Settings(
    instances=3,
    instance_id=1,
    tick_us=2 * MS,
    classes={spec.name: spec for spec in CLASSES},
    plans={plan.name: plan for plan in PLANS},
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
    ordered_key_pause_us=20 * MS,
    retry_budget_ratio=0.2,
    retry_budget_floor=4.0,
    retry_budget_window_us=5 * SECOND,
    over_quota_value_fraction=0.4,
    idle_value_fraction=0.05,
    max_units=6.0,
)
SCRIPTS: dict[str, tuple[int, api.Settings]] = {
    "parallel": (1, BASE_SETTINGS),
    "one-at-a-time": (
        2,
        replace(BASE_SETTINGS, parallel_attempts=False, may_cancel=False, honors_retry_after=False),
    ),
    "one-of-many": (
        3,
        replace(
            BASE_SETTINGS,
            instances=30,
            instance_id=17,
            poll_endpoints=False,
            retry_budget_window_us=0,
            warmup_units=40.0,
        ),
    ),
}
CELLS = 5
MIXED_OUTCOMES = (api.Outcome.SERVED,) * 12 + (
    api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.RESET, api.Outcome.UNREACHABLE,
    api.Outcome.NEVER_DISPATCHED,
)  # fmt: skip
BACKEND_BEHAVIORS: dict[str, tuple[tuple[api.Outcome, ...], tuple[int, int]]] = {  # outcomes, durations
    "normal": (MIXED_OUTCOMES, (5 * MS, 90 * MS)),
    "fast": ((api.Outcome.SERVED,), (2 * MS, 20 * MS)),
    "slow": (MIXED_OUTCOMES, (100 * MS, 900 * MS)),
    "full": ((api.Outcome.FULL,), (1 * MS, 10 * MS)),
    "unreachable": ((api.Outcome.UNREACHABLE,), (1 * MS, 50 * MS)),
    "unresponsive": ((api.Outcome.TIMEOUT,), (3 * SECOND, 5 * SECOND)),
}


@dataclass
class ScriptedRequest:
    """One request as the script sees it."""

    arrival: api.Arrival
    attempts: list[tuple[int, str]] = field(default_factory=list)  # time and backend of each
    ended_attempts: set[int] = field(default_factory=set)
    answered: bool = False


class ScriptedEnvironment:
    """Generates events from a seed and from the Controller's actions. Its clock advances in uneven steps."""

    def __init__(self, record: DecisionRecord, seed: int, settings: api.Settings) -> None:
        self.rng = random.Random(seed)
        self.settings = settings
        self.controller = RecordedController(record, settings, seed)
        self.now = 40 * SECOND
        self.pending: list[tuple[int, int, Callable[[], api.Event | None]]] = []  # a heap
        self.scheduled = 0  # ever
        self.requests: dict[str, ScriptedRequest] = {}
        self.behaviors = {f"n{cell}": "normal" for cell in range(CELLS)}
        self.entries = {
            f"n{cell}": api.Endpoint(f"n{cell}", cell, "ab"[cell % 2], api.EndpointState.UP)
            for cell in range(CELLS)
        }

    def schedule(self, span_us: int, make_event: Callable[[], api.Event | None]) -> None:
        self.scheduled += 1
        heapq.heappush(self.pending, (self.now + span_us, self.scheduled, make_event))

    def deliver(self, events: list[api.Event]) -> None:
        """Pass events to the Controller and schedule the events that follow from its actions."""
        for action in self.controller.handle(self.now, events):
            match action:
                case api.Send():
                    self._start_attempt(action)
                case api.Cancel(request, attempt):
                    delay_us = self.rng.randint(1, 30 * MS)
                    self.schedule(delay_us, self._make_result(request, attempt, "cancelled"))
                case api.Reject(request) | api.Fail(request):
                    self.requests[request].answered = True
                case api.WakeAfter(span_us, token):
                    self.schedule(span_us, partial(api.TimerFired, token))
                case api.Subscribe():
                    self.schedule(self.rng.randint(1, 400 * MS), self._poll_result)

    def run_load(self, span_us: int, load: float) -> None:
        """Deliver the events that are due in each step, with new ones: a mean of `load` arrivals."""
        end = self.now + span_us
        while self.now < end:
            self.now += self.rng.choice((1 * MS, 4 * MS, 10 * MS, 25 * MS))
            events = self._take_due_events()
            while self.rng.random() < load / (1 + load):
                events.append(self._make_arrival())
            if self.rng.random() < 0.02:
                events.append(self._make_random_event())
            if events:
                self.deliver(events)

    def run_idle(self, span_us: int) -> None:
        """Deliver the events that are due within the span, without new ones."""
        end = self.now + span_us
        while self.pending and self.pending[0][0] <= end:
            self.now = max(self.now, self.pending[0][0])
            self.deliver(self._take_due_events())
        self.now = end

    def reject_polls(self, count: int) -> None:
        """Fail a number of polls as discovery does while it is overloaded."""
        for _ in range(count):
            self.now += 50 * MS
            self.deliver([api.EndpointListFailure(api.FailureKind.OVERLOADED)])
        self.run_idle(30 * SECOND)

    def return_after_idle(self, idle_us: int) -> None:
        """Deliver requests of a volume before and after an idle time.

        The requests after it need more tokens than the volume has if it was dropped meanwhile.
        """
        for count in (1, 3):
            events: list[api.Event] = []
            for _ in range(count):
                arrival = replace(
                    self._make_arrival(),
                    request_class="slow",
                    plan="capped",
                    volume="idler",
                    key="",
                    units=6.0,
                    cell=0,
                    deadline_us=self.now + 4 * SECOND,
                    serving_instances=1,
                )
                self.requests[arrival.request] = ScriptedRequest(arrival)
                events.append(arrival)
            self.deliver(events)
            self.run_idle(idle_us)
            idle_us = SECOND // 4

    def restart_backend(self, count: int) -> None:
        """Restart one backend a number of times."""
        backend = min(self.entries)
        for _ in range(count):
            self.now += 10 * MS
            restarted = replace(self.entries[backend], state=api.EndpointState.UP, started_us=self.now)
            self.deliver([api.EndpointListUpdate((restarted,))])

    def _take_due_events(self) -> list[api.Event]:
        events: list[api.Event] = []
        while self.pending and self.pending[0][0] <= self.now:
            event = heapq.heappop(self.pending)[2]()
            if event is not None:
                events.append(event)
        return events

    # Requests

    def _make_arrival(self) -> api.Arrival:
        rng = self.rng
        spec = self.settings.classes[rng.choice(sorted(self.settings.classes))]
        plan, volume = rng.choice(("gold", "tin", "capped")), rng.randint(0, 3)
        timeout_us = rng.choice((spec.deadline_us, spec.deadline_us, spec.deadline_us // 2))
        request = f"r{len(self.requests)}"
        arrival = api.Arrival(
            request, spec.name, plan, f"{plan}{volume}", f"k{rng.randint(0, 3)}" if spec.in_order else "",
            rng.choice((1.0, 1.0, 2.0, 2.5, 6.0, 30.0 if rng.random() < 0.05 else 3.0)),
            None if (cell := rng.randint(-1, CELLS - 1)) < 0 else cell, self.now + timeout_us, 1 + volume,
            is_retry=timeout_us < spec.deadline_us, is_write=spec.effect is not api.Effect.SAFE,
        )  # fmt: skip
        self.requests[request] = ScriptedRequest(arrival)
        return arrival

    def _start_attempt(self, send: api.Send) -> None:
        rng, request = self.rng, self.requests[send.request]
        attempt = len(request.attempts)
        request.attempts.append((self.now, send.backend))
        outcomes, (min_us, max_us) = BACKEND_BEHAVIORS[self.behaviors.get(send.backend, "normal")]
        outcome, duration_us = rng.choice(outcomes), rng.randint(min_us, max_us)
        is_streamed = request.arrival.request_class == "once" and outcome is api.Outcome.SERVED
        if is_streamed and rng.random() < 0.5:
            self.schedule(duration_us // 2, lambda: api.StreamStarted(send.request, attempt))
        time_left_us = request.arrival.deadline_us - self.now
        if duration_us >= time_left_us or rng.random() < 0.04:  # late, or the response is lost
            self.schedule(max(1, time_left_us), self._make_result(send.request, attempt, "timeout"))
        else:
            self.schedule(duration_us, self._make_result(send.request, attempt, outcome.value))

    def _make_result(self, name: str, attempt: int, outcome: str) -> Callable[[], api.Event | None]:
        def end_attempt() -> api.Event | None:
            request = self.requests[name]
            if attempt in request.ended_attempts:
                return None
            request.ended_attempts.add(attempt)
            sent_at, backend = request.attempts[attempt]
            request.answered = request.answered or outcome == "served"
            usage = self.rng.choice((0, 0, 1, 60, 101, 180))  # 0: no usage figure
            return api.Result(
                name,
                attempt,
                backend,
                api.Outcome(outcome),
                self.now - sent_at,
                request.answered,
                usage - 1 if usage else None,
                {"q": 1.5},
            )

        return end_attempt

    # Other events

    def _poll_result(self) -> api.Event:
        rng = self.rng
        if rng.random() < 0.4:
            kind = api.FailureKind.OVERLOADED if rng.random() < 0.4 else api.FailureKind.ERROR
            return api.EndpointListFailure(kind, rng.choice((0, 300 * MS)))
        return api.EndpointListUpdate(tuple(self.entries.values()), complete=True)

    def _make_random_event(self) -> api.Event:
        rng = self.rng
        request = rng.choice(sorted(self.requests)) if self.requests else "r0"
        backend = rng.choice(sorted(self.entries))
        make_change = rng.choice(
            (
                self._change_endpoints,
                self._change_endpoints,
                self._change_behavior,
                self._change_behavior,
                self._change_settings,
                self._change_quotas,
            )
        )
        return rng.choice(
            (
                lambda: self._leave(request),
                lambda: api.PeerSuspicions({backend: self.now + rng.randint(0, 2 * SECOND)}),
                lambda: api.PeerSuspicions({}),
                lambda: api.EndpointListFailure(missed_updates_for_us=rng.choice((0, SECOND))),
                lambda: api.Result(request, rng.choice((-1, 0, 9)), backend, api.Outcome.SERVED, MS, False),
                lambda: api.Result("unknown", 0, backend, api.Outcome.FULL, MS, False),
                lambda: api.StreamStarted("unknown", 0),
                lambda: api.HealthCheckResult(backend, api.Outcome.SERVED, MS, {"load": 0.5}),
                lambda: api.PeerMessage(2, b"\x01hello"),
                make_change,
                make_change,
                make_change,
            )
        )()

    def _leave(self, request: str) -> api.Event:
        placeholder = api.Arrival("r0", "read", "tin", "tin0", "", 1.0, 0, 0, 1)
        self.requests.setdefault(request, ScriptedRequest(placeholder)).answered = True
        return api.ClientLeft(request)

    def _change_behavior(self) -> api.Event:
        backend = self.rng.choice(sorted(self.entries))
        self.behaviors[backend] = self.rng.choice((*["normal"] * 6, *BACKEND_BEHAVIORS))
        return api.TimerFired("look")

    def _change_quotas(self) -> api.Event:
        """Change quotas of volumes that the Controller has; quotas of others are never sent to it."""
        arrivals = [request.arrival for request in self.requests.values()]
        volumes = sorted({arrival.volume for arrival in arrivals if arrival.deadline_us > self.now})
        volume_quotas = {volume: self.rng.choice((0.2, 0.5, 1.0)) for volume in volumes[:2]}
        backend = self.rng.choice(sorted(self.entries))
        budget_quotas = {
            api.POLL_BUDGET: self.rng.choice((0.5, 2.0)), api.RETRY_BUDGET: self.rng.choice((0.0, 1.5)),
            api.warmup_budget_name(backend): self.rng.choice((0.3, 3.0)),
            api.concurrency_budget_name(backend): self.rng.choice((1, 3, 40)),
        }  # fmt: skip
        return api.QuotaUpdate(volume_quotas, self.rng.choice((None, {}, budget_quotas)))

    def _change_settings(self) -> api.Event:
        """Change the process's quota and some plans, or return to the first plans."""
        rng, plans = self.rng, dict(BASE_SETTINGS.plans)
        if rng.random() < 0.5:
            plans["tin"] = replace(
                plans["tin"], weight=rng.choice((0.5, 2.0)), limit_rate=5.0, limit_burst=20.0
            )
        if rng.random() < 0.2:
            del plans["gold"]  # put back as the last plan, at another price
            plans["gold"] = replace(BASE_SETTINGS.plans["gold"], priority_weight_factor=0.2)
        self.settings = replace(self.settings, plans=plans, process_quota=rng.choice((0.5, 1.0, 1.0)))
        return api.NewSettings(self.settings)

    def _change_endpoints(self) -> api.Event:
        """Drain, remove, disable, restart or replace a backend, enable all, or deliver the whole list."""
        rng = self.rng
        old = self.entries[rng.choice(sorted(self.entries))]
        up = api.EndpointState.UP
        change = rng.choice(
            ("drain", "remove", "disable", "restart", "restart", "replace", "enable", "enable", "whole list")
        )
        if change == "drain":
            changed = [replace(old, state=api.EndpointState.DRAINING)]
        elif change == "disable":
            changed = [replace(old, state=api.EndpointState.DRAINING, admin_disabled=True)]
        elif change == "restart":
            changed = [
                replace(old, state=up, started_us=self.now - rng.choice((0, SECOND)), admin_disabled=False)
            ]
        elif change == "enable":
            changed = [replace(entry, state=up, admin_disabled=False) for entry in self.entries.values()]
        elif change in ("remove", "replace"):
            new = replace(old, backend=f"{old.backend}x", state=up, started_us=self.now, admin_disabled=False)
            gone = replace(old, state=api.EndpointState.GONE)
            changed = [gone, new] if change == "replace" or len(self.entries) > CELLS else [gone]
        else:
            return api.EndpointListUpdate(tuple(self.entries.values()), complete=True)
        for entry in changed:
            self.entries[entry.backend] = entry
        if change == "replace":
            del self.entries[old.backend]
        elif change == "remove":
            self.entries[old.backend] = replace(old, state=api.EndpointState.DRAINING)
        return api.EndpointListUpdate(tuple(changed))


@pytest.mark.parametrize("name", SCRIPTS)
def test_decisions_of_a_scripted_controller_match_the_recorded_digest(name: str) -> None:
    seed, settings = SCRIPTS[name]
    record = DecisionRecord()
    environment = ScriptedEnvironment(record, seed, settings)
    entries = tuple(environment.entries.values())
    environment.deliver([api.EndpointListUpdate(entries, complete=True, at_start=True)])
    for load in (0.05, 0.2, 0.1, 0.05, 1.0, 0.1):
        environment.run_load(15 * SECOND, load)
        environment.run_idle(3 * SECOND)
    for idle_s in (61, 62, 63, 64):  # longer than idle volumes are kept
        environment.run_idle(idle_s * SECOND)
        environment.run_load(4 * SECOND, 0.1)
    for idle_s in (61, 62, 63, 61, 62, 63):
        environment.return_after_idle(idle_s * SECOND)
    environment.reject_polls(9)
    environment.restart_backend(210)  # exceeds the bound on log lines
    assert_matches_golden("script-" + name, record)
