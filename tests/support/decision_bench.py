"""Test bench of the decision module: settings, endpoints, and one Controller on a simulated clock."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.decision.state import ControllerState
from tests.support.clock import MS, SECOND, T0

READ = api.ClassSpec("read", 2.0, 0.1, 300 * MS, 1500 * MS, api.Effect.SAFE)
WRITE = api.ClassSpec(
    "write", 2.0, 0.1, 500 * MS, 2500 * MS, api.Effect.KEYED, api.DeduplicationScope.CELL, 2000 * MS
)
GOLD = api.PlanSpec("gold", weight=4.0, usual_rate=10.0, reserve_rate=8.0)
TIN = api.PlanSpec("tin", weight=1.0, usual_rate=2.0, reserve_rate=1.0)


def make_settings(**changes: object) -> api.Settings:
    """Return the settings of three instances, two classes and two plans, with `changes` applied."""
    base: dict[str, object] = dict(
        instances=3,
        instance_id=0,
        tick_us=2 * MS,
        classes={"read": READ, "write": WRITE},
        plans={"gold": GOLD, "tin": TIN},
        poll_endpoints=False,
        max_attempts=3,
        parallel_attempts=True,
        may_cancel=True,
        may_check_health=False,
        honors_retry_after=True,
        max_retry_after_us=SECOND,
        warmup_initial_fraction=0.2,
        warmup_us=16 * SECOND,
        warmup_units=9.0,
        overload_multiple=2.0,
        overload_window_us=2 * SECOND,
        ordered_key_pause_us=0,
        retry_budget_ratio=0.0,
        retry_budget_floor=0.0,
        retry_budget_window_us=0,
        over_quota_value_fraction=0.4,
        idle_value_fraction=0.05,
        max_units=6.0,
    )
    return api.Settings(**(base | changes))  # type: ignore[arg-type]  # fields by name


def up_endpoint(backend: str, cell: int, started: int = 0, zone: str = "z") -> api.Endpoint:
    """Return an endpoint that is UP; `started` is its start in microseconds, 0 if unknown."""
    return api.Endpoint(backend, cell, zone, api.EndpointState.UP, started)


class DecisionBench:
    """One Controller on a simulated clock; `timeline` contains every action with its time."""

    def __init__(self, settings: api.Settings, entries: list[api.Endpoint], seed: int = 1) -> None:
        self.controller = Controller(settings, seed)
        self.now = T0
        self.timeline: list[tuple[int, api.Action]] = []
        self.wake_ups: list[int] = []
        self.deliver(api.EndpointListUpdate(tuple(entries), complete=True, at_start=True))

    @property
    def state(self) -> ControllerState:
        return self.controller.state

    def deliver(self, *events: api.Event) -> list[api.Action]:
        """Pass events to the controller at the present time and return its actions."""
        actions = self.controller.handle(self.now, list(events))
        self.timeline += [(self.now, action) for action in actions]
        self.wake_ups += [
            self.now + action.span_us for action in actions if isinstance(action, api.WakeAfter)
        ]
        return actions

    def advance(self, span_us: int) -> list[api.Action]:
        """Advance the clock, with a timer event for each wake-up that is due; return the actions."""
        end = self.now + span_us
        seen = len(self.timeline)
        while self.wake_ups and min(self.wake_ups) <= end:
            self.now = max(self.now, min(self.wake_ups))
            self.wake_ups = [wake_up for wake_up in self.wake_ups if wake_up > self.now]
            self.deliver(api.TimerFired("look"))
        self.now = end
        return [action for _, action in self.timeline[seen:]]

    def arrive(  # noqa: PLR0913 - each argument is a field that some test sets by name
        self,
        name: str,
        volume: str = "v",
        cell: int | None = 0,
        units: float = 2,
        plan: str = "gold",
        request_class: str = "read",
        key: str = "",
        serving_instances: int = 1,
        timeout_us: int | None = None,
    ) -> list[api.Action]:
        """Deliver an arrival; `timeout_us` is the time to its deadline, by default that of its class."""
        spec = self.controller.settings.classes[request_class]
        deadline_us = self.now + (timeout_us or spec.deadline_us)
        return self.deliver(
            api.Arrival(name, request_class, plan, volume, key, units, cell, deadline_us, serving_instances)
        )

    def finish_attempt(
        self,
        name: str,
        outcome: api.Outcome = api.Outcome.SERVED,
        attempt: int = 0,
        duration_us: int = 20 * MS,
        answered: bool | None = None,
        usage_percent: int | None = None,
    ) -> list[api.Action]:
        """Deliver the result of an attempt; by default, the client has its answer if it was served."""
        answered = outcome is api.Outcome.SERVED if answered is None else answered
        return self.deliver(api.Result(name, attempt, "", outcome, duration_us, answered, usage_percent))

    def sends(self, name: str | None = None) -> list[api.Send]:
        """Return all Send actions so far, of one request or of all."""
        return [
            action
            for _, action in self.timeline
            if isinstance(action, api.Send) and name in (None, action.request)
        ]

    def final_answers(self, name: str) -> list[api.Reject | api.Fail]:
        """Return the rejections and failures of a request so far."""
        return [
            action
            for _, action in self.timeline
            if isinstance(action, api.Reject | api.Fail) and action.request == name
        ]


def sent_requests(actions: list[api.Action]) -> list[str]:
    """Return the requests that these actions send, in their order."""
    return [action.request for action in actions if isinstance(action, api.Send)]
