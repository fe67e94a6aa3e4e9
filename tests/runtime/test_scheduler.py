"""The event loop: tasks, deadlines, timers; and the parsing of addresses."""

from __future__ import annotations

import os
from collections.abc import Callable

import pytest

from garnetlanding.runtime.errors import DeadlineExceededError
from garnetlanding.runtime.scheduler import READ, Scheduler
from garnetlanding.runtime.stream import parse_address


def test_exception_in_one_task_leaves_the_others_running(caplog: pytest.LogCaptureFixture) -> None:
    scheduler, seen = Scheduler(), []

    def fail() -> None:
        raise RuntimeError("defect")

    scheduler.spawn(fail)
    scheduler.call_at(0, fail)
    scheduler.iteration_hooks.append(fail)
    scheduler.spawn(lambda: seen.append("on"))
    scheduler.run_iteration(0)
    assert seen == ["on"]
    assert caplog.text.count("RuntimeError: defect") == 3


def test_wait_ends_at_its_deadline_and_cancelled_timer_never_fires() -> None:
    clock, seen = [0], []
    scheduler = Scheduler(lambda: clock[0])
    scheduler.call_at(5, lambda: seen.append("cancelled")).cancel()
    reader, writer = os.pipe()

    def body() -> None:
        try:
            scheduler.wait(reader, READ, 10)
        except DeadlineExceededError:
            seen.append(f"expired at {scheduler.now}")

    scheduler.spawn(body)
    for clock[0] in (0, 9, 10, 10):
        scheduler.run_iteration(0)
    assert seen == ["expired at 10"]
    os.close(reader)
    os.close(writer)


def test_a_condition_that_holds_has_registered_its_wake_in_the_same_step() -> None:
    """Regression: a change between a check and its registration was missed, and the task slept on."""
    scheduler = Scheduler(lambda: 0)
    state = {"blocked": True}
    waiting: list[Callable[[], None]] = []
    seen: list[str] = []

    def blocked_until(wake: Callable[[], None]) -> bool:
        if state["blocked"]:
            waiting.append(wake)
        return state["blocked"]

    def body() -> None:
        scheduler.sleep(0)  # the state may change meanwhile
        scheduler.park_while(blocked_until)
        seen.append("went on")

    scheduler.spawn(body)
    while not waiting:
        scheduler.run_iteration(0)
    [wake] = waiting
    wake()
    scheduler.run_iteration(0)
    assert len(waiting) == 2, "an early wake leads to another check, which registers again"
    state["blocked"] = False
    waiting[1]()
    scheduler.run_iteration(0)
    assert seen == ["went on"]


def test_cancelled_timers_do_not_accumulate_and_the_others_fire_in_order() -> None:
    """Regression: the timer of a finished request stayed in the heap until the request's deadline."""
    clock, seen = [0], []
    scheduler = Scheduler(lambda: clock[0])
    for i in range(1000):
        scheduler.call_at(10_000 - i, lambda: seen.append(scheduler.now)).cancel()
        if i % 100 == 0:
            scheduler.call_at(10_000 - i, lambda i=i: seen.append(i))  # type: ignore[misc]  # mypy does not type the default
        assert len(scheduler._timers) <= 2 * (i // 100 + 2)
    clock[0] = 10_000
    scheduler.run_iteration(0)
    assert seen == list(range(900, -1, -100))
    assert scheduler.cancelled_timers == len(scheduler._timers) == 0


@pytest.mark.parametrize("text", ["", "host", "host:", ":1", "h:x", "h:70000"])
def test_malformed_address_is_named_in_the_error(text: str) -> None:
    with pytest.raises(ValueError, match="HOST:PORT"):
        parse_address(text)
