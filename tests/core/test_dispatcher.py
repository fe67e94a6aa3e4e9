"""The dispatcher's invariants, whatever the decision module requests."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from garnetlanding.core.body import Body
from garnetlanding.core.ports import EndpointListing, Rejected, Served
from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import ClassSpec, Effect, EndpointState, Outcome
from tests.support.clock import MS, SECOND
from tests.support.engine_instance import ScriptedInstance

UNSAFE = ClassSpec("unsafe", 1.0, 0.1, SECOND, SECOND, Effect.UNSAFE)


def with_max_attempts_used() -> ScriptedInstance:
    instance = ScriptedInstance(max_attempts=2)
    for _ in range(2):
        instance.send()
        instance.finish_oldest(Outcome.RESET)
    return instance


def with_one_attempt_in_flight() -> ScriptedInstance:
    instance = ScriptedInstance(parallel_attempts=False)
    instance.send()
    return instance


def with_both_hedged_attempts_in_flight() -> ScriptedInstance:
    instance = ScriptedInstance(max_attempts=4)
    instance.send()
    instance.send()
    return instance


def with_final_answer_and_one_attempt_in_flight() -> ScriptedInstance:
    instance = with_both_hedged_attempts_in_flight()
    instance.finish_oldest(Outcome.SERVED, b"v")
    assert instance.answers == {"a": Served(b"v")}
    return instance


def with_draining_backend() -> ScriptedInstance:
    instance = ScriptedInstance()
    instance.list_endpoint("n0", EndpointState.DRAINING)
    return instance


def with_disabled_backend() -> ScriptedInstance:
    instance = ScriptedInstance()
    instance.core.set_disabled(frozenset({"n0"}))
    return instance


def while_fenced() -> ScriptedInstance:
    instance = ScriptedInstance()
    instance.send()
    instance.core.fence.may_act = lambda _now: False
    instance.settle()
    return instance


def after_an_attempt_that_may_have_run() -> ScriptedInstance:
    instance = ScriptedInstance("unsafe", classes={"unsafe": UNSAFE})
    instance.send()
    instance.finish_oldest(Outcome.RESET)
    return instance


@pytest.mark.parametrize(
    "prepare",
    [
        with_max_attempts_used,
        with_one_attempt_in_flight,
        with_both_hedged_attempts_in_flight,
        with_final_answer_and_one_attempt_in_flight,
        with_draining_backend,
        with_disabled_backend,
        while_fenced,
        after_an_attempt_that_may_have_run,
    ],
)
def test_an_attempt_that_may_not_start_ends_as_never_dispatched(
    prepare: Callable[[], ScriptedInstance],
) -> None:
    instance = prepare()
    started, ended = len(instance.core.started_attempts), len(instance.outcomes())
    instance.send()
    assert instance.outcomes()[ended:] == [Outcome.NEVER_DISPATCHED]
    assert len(instance.core.started_attempts) == started


def test_an_attempt_past_its_own_deadline_ends_as_never_dispatched() -> None:
    instance = ScriptedInstance()
    instance.send(deadline_us=instance.time)
    assert instance.outcomes() == [Outcome.NEVER_DISPATCHED]
    assert not instance.core.started_attempts
    instance.send(deadline_us=instance.time + MS)
    assert len(instance.core.started_attempts) == 1


def test_an_attempt_at_a_backend_that_was_never_listed_ends_as_never_dispatched() -> None:
    instance = ScriptedInstance()
    instance.perform(api.Send(instance.ticket, "unknown"))
    assert instance.outcomes() == [Outcome.NEVER_DISPATCHED]
    assert not instance.core.started_attempts


def test_actions_for_an_unknown_request_or_attempt_have_no_effect(caplog: pytest.LogCaptureFixture) -> None:
    instance = ScriptedInstance()
    instance.perform(api.Send("unknown", "n0"), api.Cancel("unknown", 0), api.Cancel(instance.ticket, 0))
    assert not instance.outcomes()
    assert not instance.core.started_attempts
    assert "action failed" not in caplog.text


def test_cancelling_an_attempt_stops_it_and_reports_its_outcome() -> None:
    instance = ScriptedInstance()
    instance.send()
    instance.perform(api.Cancel(instance.ticket, 0))
    assert len(instance.transport.stopped) == 1
    assert instance.outcomes() == [Outcome.CANCELLED]
    assert not instance.answers


def test_the_address_is_checked_again_at_the_first_byte() -> None:
    instance = ScriptedInstance()
    instance.send()
    [attempt] = instance.transport.in_flight
    assert attempt.address() == "x:1"
    instance.core.endpoints.apply(
        EndpointListing((api.Endpoint("n0", 0, "z", EndpointState.DRAINING),), {"n0": "x:1"}, complete=False)
    )
    assert attempt.address() is None


def test_the_latency_ends_at_the_first_byte_of_the_response() -> None:
    instance = ScriptedInstance()
    instance.send()
    instance.run(10 * MS)
    instance.transport.in_flight[0].response_started()
    instance.run(40 * MS)
    instance.finish_oldest(Outcome.SERVED, b"v")
    [result] = [event for event in instance.module.events if isinstance(event, api.Result)]
    assert result.duration_us == 10 * MS


def test_the_streamed_response_of_a_losing_hedged_attempt_is_truncated() -> None:
    instance = with_both_hedged_attempts_in_flight()
    first, second = instance.transport.in_flight
    body = Body(100)
    ends: list[bool] = []
    body.on_end.append(ends.append)
    first.finish(Outcome.SERVED, b"first")
    second.finish(Outcome.SERVED, body)
    assert instance.answers == {"a": Served(b"first")}
    assert ends == [False], "the producer is notified"


@pytest.mark.parametrize("complete", [True, False])
def test_a_streamed_response_counts_when_its_body_has_ended(complete: bool) -> None:
    instance = ScriptedInstance()
    instance.send()
    body = Body(100)
    instance.transport.in_flight.pop().finish(Outcome.SERVED, body)
    assert instance.answers == {"a": Served(body)}
    assert instance.core.open_requests == 1
    assert instance.core.metrics.ended == 0
    body.end(complete=complete)
    assert instance.core.open_requests == 0
    assert instance.core.metrics.success["read"] == complete
    assert instance.core.metrics.error["read"] == (not complete), "a truncated response is an error"


def test_a_rejection_of_the_decision_module_reaches_the_client_with_its_retry_after() -> None:
    instance = ScriptedInstance()
    instance.perform(api.Reject(instance.ticket, 5 * MS))
    assert instance.answers == {"a": Rejected(5 * MS)}
    assert instance.core.metrics.overload["read"] == 1


def test_an_attempt_times_out_with_its_request_at_the_latest() -> None:
    instance = ScriptedInstance()
    [request] = instance.core._requests
    instance.send(deadline_us=request.deadline_us + SECOND)
    assert instance.transport.in_flight[0].deadline_us == request.deadline_us


def test_only_the_first_report_of_each_step_of_an_attempt_counts() -> None:
    instance = ScriptedInstance()
    instance.send()
    [attempt] = instance.transport.in_flight
    instance.run(10 * MS)
    for _ in range(2):
        attempt.request_written()
        attempt.response_started()
        instance.run(10 * MS)
    instance.finish_oldest(Outcome.SERVED, b"v")
    assert instance.core.metrics.dispatches == 1
    [result] = [event for event in instance.module.events if isinstance(event, api.Result)]
    assert result.duration_us == 10 * MS


def test_an_event_caused_by_an_action_is_exchanged_in_the_same_iteration() -> None:
    instance = ScriptedInstance()
    instance.module.queued = [api.Send(instance.ticket, "unknown")]
    instance.core.receive_peer_message(1, b"")
    instance.core.run_iteration()
    assert instance.outcomes() == [Outcome.NEVER_DISPATCHED]
