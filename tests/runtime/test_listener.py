"""The client listener: pipelining and shutdown."""

from __future__ import annotations

from garnetlanding.resp import codec
from tests.support.clock import SECOND
from tests.support.resp import PING
from tests.support.runtime import InstanceWithBackend
from tests.support.simulated_instance import LoopbackClient, read_command


def test_pipelined_replies_keep_command_order_when_served_out_of_order() -> None:
    instance = InstanceWithBackend()
    instance.backend.data = {b"k1": b"one", b"k2": b"two"}
    instance.backend.scripted_responses = [None]
    instance.client.send_bytes(read_command("r1", key="k1"))
    assert instance.client.send_bytes(read_command("r2", key="k2")) == b""
    instance.backend.release()
    instance.settle()
    assert instance.client.received == codec.encode_bulk(b"one") + codec.encode_bulk(b"two")


def test_shutdown_closes_idle_clients_and_waits_for_busy_ones() -> None:
    instance = InstanceWithBackend()
    front = instance.start_resp_listener()
    idle, busy = instance.connect(front.address), instance.connect(front.address)
    instance.backend.scripted_responses = [None]
    busy.send_bytes(read_command())
    front.stop_accepting()
    front.close_idle()
    instance.settle()
    assert not idle.closed, "a new connection: its first request may be in transit"
    instance.run(instance.limits.new_client_timeout_us)
    front.close_idle()
    instance.settle()
    assert idle.closed
    assert not busy.closed
    instance.backend.release()
    instance.settle()
    assert busy.received == b"$0\r\n\r\n"
    assert busy.closed
    assert len(front) == 0
    late = LoopbackClient(instance, front.address)
    assert late.closed
    assert SECOND


def test_connection_with_buffered_commands_is_not_evicted() -> None:
    """Commands that have been read and wait for their turn would be lost with the connection."""
    instance = InstanceWithBackend()
    listener = instance.start_resp_listener()
    client = instance.connect(listener.address)
    client.send_bytes(PING)
    connection = instance.accepted_end(listener, client)
    assert connection.evictable_from is not None
    connection.protocol.has_buffered_input = True
    assert connection.evictable_from is None
