"""The life cycle of requests: deadlines and notifications of the decision module."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.core.ports import Failed, Served
from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Outcome
from tests.support.clock import MS, SECOND
from tests.support.engine_instance import ScriptedInstance


class RecordingTimer:
    """A timer that records its cancellation."""

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


def departures(instance: ScriptedInstance) -> list[api.ClientLeft]:
    return [event for event in instance.module.events if isinstance(event, api.ClientLeft)]


def test_the_deadline_timer_is_cancelled_with_the_final_answer() -> None:
    instance = ScriptedInstance()
    instance.send()
    [request] = instance.core._requests
    timer = request.deadline_timer = RecordingTimer()
    instance.finish_oldest(Outcome.SERVED, b"v")
    assert timer.cancelled
    assert not departures(instance), "the result has notified the module"


def test_the_deadline_still_stops_an_attempt_in_flight_after_the_final_answer() -> None:
    instance = ScriptedInstance(max_attempts=4)
    instance.send()
    instance.send()
    instance.finish_oldest(Outcome.SERVED, b"v")
    assert instance.answers == {"a": Served(b"v")}
    assert not instance.transport.stopped
    instance.run(SECOND)
    assert len(instance.transport.stopped) == 1
    assert instance.outcomes() == [Outcome.SERVED, Outcome.TIMEOUT]
    assert not instance.core._requests


def test_the_decision_module_is_notified_of_a_client_that_has_disconnected() -> None:
    instance = ScriptedInstance()
    instance.core.client_disconnected(instance.ticket)
    instance.settle()
    assert departures(instance) == [api.ClientLeft(instance.ticket)]
    assert not instance.answers, "its callback is not called any more"
    assert not instance.core._requests


def test_the_decision_module_is_notified_of_an_answer_after_the_grace_period() -> None:
    instance = ScriptedInstance()
    instance.run(SECOND + 10 * MS)
    assert instance.answers == {"a": Failed("deadline passed")}
    assert departures(instance) == [api.ClientLeft(instance.ticket)]


def test_classes_of_new_settings_are_on_the_metrics_page_at_once() -> None:
    instance = ScriptedInstance()
    read = instance.core.settings.classes["read"]
    classes = instance.core.settings.classes | {"scan": replace(read, name="scan")}
    instance.core.apply_settings(replace(instance.core.settings, classes=classes))
    assert "app.success.scan:0|c\n" in instance.core.metrics_text()
