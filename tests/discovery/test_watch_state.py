"""The state machine of a watch."""

from __future__ import annotations

import pytest

from garnetlanding.core.ports import EndpointListing
from garnetlanding.decision.interface import Endpoint, EndpointState
from garnetlanding.discovery.listing import ListError, StaleChangesError
from garnetlanding.discovery.watch_parser import ReceivedList
from garnetlanding.discovery.watch_state import CallDeadline, NextStep, OnFailure, WatchState


def received(version: int, *, complete: bool = True, empty: bool = False) -> ReceivedList:
    entries = () if empty else (Endpoint("b0", 0, "z", EndpointState.UP),)
    return ReceivedList(version, EndpointListing(entries, {"b0": "10.0.0.1:1"}, complete), {})


def test_only_the_newest_call_counts() -> None:
    state = WatchState(0)
    first = state.begin_call()
    second = state.begin_call()
    assert not state.is_newest(first)
    assert state.is_newest(second)
    assert state.is_following


def test_a_polled_watch_reports_each_failure_and_takes_no_step_of_its_own() -> None:
    state = WatchState(0)
    for _ in range(2):
        state.begin_call()
        assert state.next_step(is_pushed=False) is NextStep.NOTHING
        assert state.end_call(is_pushed=False) is OnFailure.REPORT
        assert state.next_step(is_pushed=False) is NextStep.NOTHING
        assert not state.is_following


def test_a_pushed_watch_is_kept_open_and_its_failures_are_logged_once() -> None:
    state = WatchState(0)
    assert state.next_step(is_pushed=True) is NextStep.SUBSCRIBE
    state.begin_call()
    assert state.next_step(is_pushed=True) is NextStep.NOTHING
    assert state.end_call(is_pushed=True) is OnFailure.RETRY
    assert state.next_step(is_pushed=True) is NextStep.SUBSCRIBE
    state.begin_call()
    assert state.end_call(is_pushed=True) is OnFailure.RETRY_AGAIN
    state.begin_call()
    state.accept(received(1))
    assert state.end_call(is_pushed=True) is OnFailure.RETRY, "a list was received in between"


def test_a_failure_while_pushed_is_reported_once_when_lists_become_polled() -> None:
    state = WatchState(0)
    state.begin_call()
    state.end_call(is_pushed=True)
    assert state.next_step(is_pushed=False) is NextStep.REPORT_FAILURE
    assert state.next_step(is_pushed=False) is NextStep.NOTHING


def test_changes_to_an_older_list_are_rejected_and_the_next_call_requests_a_complete_one() -> None:
    state = WatchState(6)
    with pytest.raises(
        ListError, match="^field generation: changes to version 3, but version 6 is in force$"
    ) as error:
        state.accept(received(3, complete=False))
    assert error.value.field == "generation"
    assert isinstance(error.value, StaleChangesError)
    assert (error.value.version, error.value.version_in_force) == (3, 6)
    assert state.version == 0
    assert not state.is_synced


@pytest.mark.parametrize(
    ("version", "complete", "empty"),
    [
        pytest.param(7, False, False, id="newer-changes"),
        pytest.param(6, False, False, id="changes-of-the-same"),
        pytest.param(3, True, False, id="older-and-complete"),
        pytest.param(3, False, True, id="older-without-changes"),
    ],
)
def test_any_other_list_is_accepted(version: int, complete: bool, empty: bool) -> None:
    state = WatchState(6)
    state.accept(received(version, complete=complete, empty=empty))
    assert state.version == version
    assert state.is_synced


def test_the_first_line_is_due_from_the_start_of_the_call_and_later_ones_from_the_line_before() -> None:
    deadline = CallDeadline(1000, answer_us=500, silence_us=200)
    assert deadline.expires_at == 1500
    deadline.line_received(1400)
    assert (deadline.expires_at, deadline.last_received_at, deadline.started_at) == (1600, 1400, 1000)
