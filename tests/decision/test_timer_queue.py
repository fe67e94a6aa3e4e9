"""The timer queue and the actions of a call: order of callbacks, the wake-up, the bound on log lines."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision.action_buffer import ActionBuffer
from garnetlanding.decision.state import ControllerState
from garnetlanding.decision.timer_queue import TimerQueue
from tests.support.clock import MS, T0
from tests.support.decision_bench import make_settings


def test_due_callbacks_run_by_time_and_then_in_the_order_of_scheduling() -> None:
    timers = TimerQueue(max_obsolete=100)
    ran: list[str] = []
    timers.schedule(T0 + 2 * MS, ran.append, "late")
    timers.schedule(T0 + MS, ran.append, "first")
    timers.schedule(T0 + MS, ran.append, "second")
    timers.run_due(T0 + MS)
    assert ran == ["first", "second"]


def test_wake_up_is_set_again_only_for_an_earlier_timer() -> None:
    state = ControllerState(make_settings(), seed=1)
    state.begin_call(T0)
    state.timers.schedule(T0 + 5 * MS, lambda _: None, None)
    assert state.end_call() == [api.WakeAfter(5 * MS, "look")]
    state.begin_call(T0 + MS)
    state.timers.schedule(T0 + 9 * MS, lambda _: None, None)
    assert state.end_call() == []
    state.begin_call(T0 + 2 * MS)
    state.timers.schedule(T0 + 3 * MS, lambda _: None, None)
    assert state.end_call() == [api.WakeAfter(MS, "look")]


def test_log_lines_beyond_the_bound_are_dropped() -> None:
    actions = ActionBuffer(max_log_lines=2)
    for text in ("a", "b", "c"):
        actions.log(text)
    assert actions.take() == [api.Log("a"), api.Log("b")]


def test_obsolete_timers_release_their_arguments_and_keep_their_wake_ups() -> None:
    """Regression: requests that had ended stayed in memory until their deadlines, however many there were."""
    timers = TimerQueue(max_obsolete=2)
    ran: list[str] = []
    for number in range(2):
        timers.schedule(T0 + number, ran.append, "ended")
    timers.schedule(T0 + 5, ran.append, "open")
    timers.release(lambda argument: argument == "ended")
    assert len(timers) == 3
    assert timers.next_wake_up(T0 - 1) == 1
    timers.schedule(T0 + 3, ran.append, "ended")
    timers.release(lambda argument: argument == "ended")
    assert len(timers) == 1, "dropped, since there were too many"
    timers.run_due(T0 + 5)
    assert ran == ["open"]
