"""Client connections that are closed between requests."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.resp import codec
from garnetlanding.runtime.connection_close import TRANSITIONS, CloseEvent, CloseState, ConnectionClose
from garnetlanding.runtime.stream import Stream
from tests.support.clock import MS, SECOND
from tests.support.departures import PING, Raw, Waiting
from tests.support.simulated_instance import SimulatedInstance, read_command


def hide_unread_data(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make every check for unread data find none, as if the data arrived just after the check."""
    monkeypatch.setattr(Stream, "has_no_unread_data", lambda _self: True)


def evict(instance: Waiting) -> None:
    instance.listener.evict_down_to(0)


def end(instance: Waiting) -> None:
    instance.listener.close_idle()


@pytest.mark.parametrize("close_gracefully", [evict, end])
def test_request_that_crosses_the_close_is_not_forwarded_and_last_reply_arrives(
    close_gracefully: Callable[[Waiting], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection closed with unread input was reset, by which the client could lose the last reply."""
    instance = Waiting()
    instance.appear()
    instance.brick.data[b"k"] = b"x" * 30_000
    client = Raw(instance, instance.listener.address)
    client.say(read_command())
    instance.run(3 * SECOND, 100 * MS)
    [connection] = instance.listener._clients
    hide_unread_data(monkeypatch)
    client.sock.sendall(read_command("r2"))  # not read yet: no iteration has run since
    close_gracefully(instance)
    instance.settle()
    assert client.read() == codec.encode_bulk(
        b"x" * 30_000
    ), "complete, followed by the end of the stream and no reset"
    client.fin()
    instance.settle()
    assert len(instance.brick.received) == 1
    assert len(instance.listener) == 0
    assert connection.closing.state is CloseState.CLOSED


def test_request_received_before_the_idle_check_is_served() -> None:
    instance = Waiting()
    instance.appear()
    client = Raw(instance, instance.listener.address)
    client.say(read_command())
    instance.run(3 * SECOND, 100 * MS)
    client.sock.sendall(read_command("r2"))
    instance.listener.evict_down_to(0)
    instance.listener.close_idle()
    instance.settle()
    assert len(instance.brick.received) == 2, "and then it is released"
    assert client.read() == b"$0\r\n\r\n" * 2, "and then it is released"


def test_clients_that_ignore_the_close_hold_few_descriptors_for_a_bounded_time() -> None:
    instance = SimulatedInstance(client_connections=6, lingering_connections=2)
    front = instance.front()
    stay = [Raw(instance, front.address) for _ in range(6)]
    instance.run(instance.limits.new_client_timeout_us)
    late = [Raw(instance, front.address) for _ in range(4)]
    instance.run(20 * MS, 10 * MS)
    for client in late:
        client.say(PING)
    assert [client.sock.recv(16) for client in late] == [b"+PONG\r\n"] * 4, "their capacity is free at once"
    assert len(front) <= 6 + 2
    instance.run(instance.limits.linger_us)
    assert len(front) == 6
    assert len(stay) == 6


@given(st.lists(st.sampled_from(CloseEvent), max_size=12))
def test_closing_connection_accepts_nothing_more_after_any_events(
    events: list[CloseEvent],
) -> None:
    closing, over = ConnectionClose(), False
    for event in events:
        before = closing.state
        closing.on(event)
        assert not (over and closing.reads), "what arrives after the shutdown would be lost"
        assert not (before is CloseState.FINISHING and closing.state is CloseState.SERVING)
        over = over or closing.over
        if event in (CloseEvent.CLIENT_CLOSED, CloseEvent.BROKEN, CloseEvent.ABORTED):
            assert closing.state is CloseState.CLOSED
    assert set(TRANSITIONS) == set(CloseState)
