"""The decision module alone: settings, endpoints, and one Controller on a simulated clock."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from tests.support.clock import MS, SECOND, T0

READ = api.ClassSpec("read", 2.0, 0.1, 300 * MS, 1500 * MS, api.Effect.SAFE)
WRITE = api.ClassSpec(
    "write", 2.0, 0.1, 500 * MS, 2500 * MS, api.Effect.KEYED, api.DeduplicationScope.CELL, 2000 * MS
)
GOLD = api.PlanSpec("gold", weight=4.0, usual_rate=10.0, reserve_rate=8.0)
TIN = api.PlanSpec("tin", weight=1.0, usual_rate=2.0, reserve_rate=1.0)


def make_settings(**changes: object) -> api.Settings:
    """Settings of three instances, two classes and two plans, with `changes` on top."""
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
        ordered_key_rest_us=0,
        retry_budget_ratio=0.0,
        retry_budget_floor=0.0,
        retry_budget_window_us=0,
        over_quota_value_fraction=0.4,
        idle_value_fraction=0.05,
        max_units=6.0,
    )
    return api.Settings(**(base | changes))  # type: ignore[arg-type]  # fields by name


def up_endpoint(backend: str, cell: int, started: int = 0, zone: str = "z") -> api.Endpoint:
    """An endpoint that is UP; `started` is its start in microseconds, 0 when unknown."""
    return api.Endpoint(backend, cell, zone, api.EndpointState.UP, started)


class DecisionBench:
    """One Controller on a simulated clock; it keeps every action with its time."""

    def __init__(self, config: api.Settings, entries: list[api.Endpoint], seed: int = 1) -> None:
        self.c = Controller(config, seed)
        self.now = T0
        self.log: list[tuple[int, api.Action]] = []
        self.wakes: list[int] = []
        self.tell(api.EndpointListUpdate(tuple(entries), complete=True, at_start=True))

    def tell(self, *events: api.Event) -> list[api.Action]:
        """Give the controller events at the present time and return its actions."""
        actions = self.c.handle(self.now, list(events))
        self.log += [(self.now, a) for a in actions]
        self.wakes += [self.now + a.span_us for a in actions if isinstance(a, api.WakeAfter)]
        return actions

    def run(self, span_us: int) -> list[api.Action]:
        """Let time pass, with a timer event whenever the controller asked for one; return the actions."""
        end, seen = self.now + span_us, len(self.log)
        while self.wakes and min(self.wakes) <= end:
            self.now = max(self.now, min(self.wakes))
            self.wakes = [w for w in self.wakes if w > self.now]
            self.tell(api.TimerFired("look"))
        self.now = end
        return [a for _, a in self.log[seen:]]

    def ask(  # noqa: PLR0913 - each is a field of a request that some test sets by its name
        self,
        name: str,
        volume: str = "v",
        cell: int | None = 0,
        units: float = 2,
        plan: str = "gold",
        request_class: str = "read",
        key: str = "",
        hosts: int = 1,
        patience: int | None = None,
    ) -> list[api.Action]:
        """A request arrives; `patience` is its deadline from now in microseconds, else that of its class."""
        spec = self.c.settings.classes[request_class]
        return self.tell(
            api.Arrival(
                name,
                request_class,
                plan,
                volume,
                key,
                units,
                cell,
                self.now + (patience or spec.deadline_us),
                hosts,
            )
        )

    def end(
        self,
        name: str,
        outcome: api.Outcome = api.Outcome.SERVED,
        attempt: int = 0,
        took: int = 20 * MS,
        over: bool | None = None,
        used: int = 0,
    ) -> list[api.Action]:
        """An attempt of the request ends; `over` says whether its outcome is final."""
        over = outcome is api.Outcome.SERVED if over is None else over
        return self.tell(api.Result(name, attempt, "", outcome, took, over, used - 1 if used else None))

    def sends(self, name: str | None = None) -> list[api.Send]:
        """What was sent so far, of one request or of all."""
        return [a for _, a in self.log if isinstance(a, api.Send) and name in (None, a.request)]

    def answers(self, name: str) -> list[api.Action]:
        """The rejections and failures that the request was answered with."""
        return [a for _, a in self.log if isinstance(a, api.Reject | api.Fail) and a.request == name]


def sent_requests(actions: list[api.Action]) -> list[str]:
    """The requests that these actions send, in their order."""
    return [a.request for a in actions if isinstance(a, api.Send)]
