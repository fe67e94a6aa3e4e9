"""The graceful close of client connections between requests."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.resp import codec
from garnetlanding.runtime.connection_close import TRANSITIONS, CloseEvent, CloseState, ConnectionClose
from garnetlanding.runtime.stream import Stream
from tests.support.client_disconnects import PING, InstanceWithoutBackends, RawClient
from tests.support.clock import MS, SECOND
from tests.support.simulated_instance import SimulatedInstance, read_command


def hide_unread_data(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make every check for unread data find none, as if the data had arrived just after the check."""
    monkeypatch.setattr(Stream, "read_would_block", lambda _self: True)


def evict(instance: InstanceWithoutBackends) -> None:
    instance.listener.evict_down_to(0)


def drain(instance: InstanceWithoutBackends) -> None:
    instance.listener.close_idle()


@pytest.mark.parametrize("close_gracefully", [evict, drain])
def test_request_that_crosses_the_close_is_not_forwarded_and_last_reply_arrives(
    close_gracefully: Callable[[InstanceWithoutBackends], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: a close with unread input reset the connection; the client could lose the last reply."""
    instance = InstanceWithoutBackends()
    instance.list_backend()
    instance.backend.data[b"k"] = b"x" * 30_000
    client = RawClient(instance, instance.listener.address)
    client.send_bytes(read_command())
    instance.run(3 * SECOND, 100 * MS)
    [connection] = instance.listener._clients
    hide_unread_data(monkeypatch)
    client.sock.sendall(read_command("r2"))  # unread until the next iteration
    close_gracefully(instance)
    instance.settle()
    assert client.read() == codec.encode_bulk(
        b"x" * 30_000
    ), "complete, and followed by an orderly close instead of a reset"
    client.close()
    instance.settle()
    assert len(instance.backend.received) == 1
    assert len(instance.listener) == 0
    assert connection.closing.state is CloseState.CLOSED


def test_request_received_before_the_idle_check_is_served() -> None:
    instance = InstanceWithoutBackends()
    instance.list_backend()
    client = RawClient(instance, instance.listener.address)
    client.send_bytes(read_command())
    instance.run(3 * SECOND, 100 * MS)
    client.sock.sendall(read_command("r2"))
    instance.listener.evict_down_to(0)
    instance.listener.close_idle()
    instance.settle()
    assert len(instance.backend.received) == 2, "the connection closes after the reply"
    assert client.read() == b"$0\r\n\r\n" * 2, "the connection closes after the reply"


def test_clients_that_ignore_the_close_hold_few_descriptors_for_a_bounded_time() -> None:
    instance = SimulatedInstance(client_connections=6, lingering_connections=2)
    front = instance.start_resp_listener()
    staying = [RawClient(instance, front.address) for _ in range(6)]
    instance.run(instance.limits.new_client_timeout_us)
    new = [RawClient(instance, front.address) for _ in range(4)]
    instance.run(20 * MS, 10 * MS)
    for client in new:
        client.send_bytes(PING)
    assert [client.sock.recv(16) for client in new] == [
        b"+PONG\r\n"
    ] * 4, "lingering connections do not count towards the limit"
    assert len(front) <= 6 + 2
    instance.run(instance.limits.linger_us)
    assert len(front) == 6
    assert len(staying) == 6


@given(st.lists(st.sampled_from(CloseEvent), max_size=12))
def test_closing_connection_accepts_nothing_more_after_any_events(
    events: list[CloseEvent],
) -> None:
    closing = ConnectionClose()
    output_ended = False
    for event in events:
        before = closing.state
        closing.apply(event)
        assert not (
            output_ended and closing.accepts_input
        ), "a request received after the shutdown could not be answered"
        assert not (before is CloseState.FINISHING and closing.state is CloseState.SERVING)
        output_ended = output_ended or closing.output_ended
        if event in (CloseEvent.CLIENT_CLOSED, CloseEvent.CONNECTION_FAILED, CloseEvent.ABORTED):
            assert closing.state is CloseState.CLOSED
    assert set(TRANSITIONS) == set(CloseState)
