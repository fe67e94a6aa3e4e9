"""The agenda: order of steps, the timer for the next call, the bound on log lines."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from garnetlanding.decision.agenda import Agenda
from tests.support.clock import MS, T0


def test_due_steps_run_by_time_and_then_in_the_order_of_scheduling() -> None:
    agenda = Agenda(log_lines=0)
    ran: list[str] = []
    agenda.begin_call(T0)
    agenda.schedule(T0 + 2 * MS, ran.append, "late")
    agenda.schedule(T0 + MS, ran.append, "first")
    agenda.schedule(T0 + MS, ran.append, "second")
    agenda.begin_call(T0 + MS)
    agenda.run_due_steps()
    assert ran == ["first", "second"]


def test_timer_is_set_again_only_for_an_earlier_step() -> None:
    agenda = Agenda(log_lines=0)
    agenda.begin_call(T0)
    agenda.schedule(T0 + 5 * MS, lambda _: None, None)
    assert agenda.end_call() == [api.WakeAfter(5 * MS, "look")]
    agenda.begin_call(T0 + MS)
    agenda.schedule(T0 + 9 * MS, lambda _: None, None)
    assert agenda.end_call() == []
    agenda.begin_call(T0 + 2 * MS)
    agenda.schedule(T0 + 3 * MS, lambda _: None, None)
    assert agenda.end_call() == [api.WakeAfter(MS, "look")]


def test_log_lines_beyond_the_bound_are_dropped() -> None:
    agenda = Agenda(log_lines=2)
    agenda.begin_call(T0)
    for text in ("a", "b", "c"):
        agenda.log(text)
    assert agenda.end_call() == [api.Log("a"), api.Log("b")]
