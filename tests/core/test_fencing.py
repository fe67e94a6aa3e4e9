"""Fencing: what an instance does with its requests while it cannot prove that its state is current."""

from __future__ import annotations

from garnetlanding.core.fencing import Fence
from garnetlanding.core.ports import AttemptSummary, Failed, Rejected, Served
from garnetlanding.decision.interface import EndpointState, Outcome
from tests.support.clock import MS, SECOND
from tests.support.engine_instance import EngineInstance


def test_without_a_check_the_fence_never_changes() -> None:
    fence = Fence()
    assert not fence.update(0)
    assert not fence.is_fenced


def test_each_change_is_noticed_once() -> None:
    current = {0: True, 1: False, 2: False, 3: True}
    fence = Fence()
    fence.may_act = current.__getitem__
    states: list[bool] = []
    fence.on_change.append(states.append)
    changes = []
    for now in current:
        changes.append(fence.update(now))
        if changes[-1]:
            fence.notify()
    assert changes == [False, True, False, True]
    assert states == [True, False]


def test_a_fenced_instance_rejects_what_is_queued_and_finishes_what_is_in_flight() -> None:
    instance = EngineInstance()
    instance.submit("in flight", request_class="write", timeout_us=2 * SECOND)
    instance.list_endpoint("n0", EndpointState.DRAINING)
    instance.submit("queued")
    assert len(instance.transport.in_flight) == 1
    is_current = False
    instance.core.fence.may_act = lambda _now: is_current
    instance.settle()
    assert instance.core.fence.is_fenced
    assert instance.answers == {"queued": Rejected(SECOND)}
    instance.submit("later")
    assert instance.answers["later"] == Rejected(SECOND)
    instance.finish_oldest(Outcome.SERVED, b"v")
    assert instance.answers["in flight"] == Served(b"v")
    is_current = True
    instance.settle()
    instance.list_endpoint("n0", EndpointState.UP)
    instance.submit("after")
    assert not instance.core.fence.is_fenced
    assert len(instance.transport.in_flight) == 1


def test_a_fenced_instance_fails_what_may_have_run_and_is_not_safe_to_repeat() -> None:
    instance = EngineInstance()
    instance.submit("write", request_class="write", timeout_us=2 * SECOND)
    instance.list_endpoint("n0", EndpointState.DRAINING)
    instance.finish_oldest(Outcome.RESET)
    assert not instance.answers, "it is queued until a backend is available"
    instance.core.fence.may_act = lambda _now: False
    instance.run(10 * MS)
    assert instance.answers == {"write": Failed("not current")}


def test_a_retry_that_falls_due_while_fenced_is_recorded_and_never_dispatched() -> None:
    outcomes: list[str] = []

    class AttemptRecorder:
        def request_ended(
            self, _spec: object, _answer: object, _began: int, _ended: int, attempts: list[AttemptSummary]
        ) -> None:
            outcomes.extend(attempt.outcome for attempt in attempts)

    instance = EngineInstance()
    instance.core.observers.append(AttemptRecorder())
    instance.submit("read", timeout_us=2 * SECOND)
    instance.core.fence.may_act = lambda _now: False
    instance.settle()
    instance.finish_oldest(Outcome.RESET)
    instance.run(300 * MS)
    assert instance.answers == {"read": Rejected(SECOND)}
    assert len(instance.transport.in_flight) == 0
    assert outcomes[0] == Outcome.RESET.value
    assert set(outcomes[1:]) == {Outcome.NEVER_DISPATCHED.value}
