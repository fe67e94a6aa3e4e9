"""Streaming of long values: bounded buffering, and truncation that the client can detect."""

from __future__ import annotations

import contextlib
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.core.body import Body
from garnetlanding.decision import interface as api
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.limits import Limits
from garnetlanding.resp import codec
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.listener import Listener
from tests.support.clock import MS, SECOND
from tests.support.loopback import fix_kernel_buffers
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command
from tests.support.waiting import wait_until

MIB = 1 << 20
KIB = 1 << 10
KERNEL_BUFFER_BYTES = 64 * KIB


def response(value: bytes) -> bytes:
    """Return a backend's response in RESP."""
    return b"*3\r\n" + codec.encode_bulk(value) + codec.encode_bulk(b"used=50") + b"$-1\r\n"


class StreamingInstance(SimulatedInstance):
    """An instance with one backend, one listener, and a streaming window far smaller than the values."""

    def __init__(self) -> None:
        super().__init__(None, stream_window_bytes=16 * KIB, stream_threshold_bytes=4 * KIB)
        self.backend = self.server(EmulatedBackend)
        self.list_endpoints(EmulatedEndpoint("b0", self.backend.address, 0))
        self.listener: Listener = self.start_resp_listener()
        self.max_unsent_bytes = 0
        self.scheduler.iteration_hooks.append(self._measure_unsent)

    def _measure_unsent(self) -> None:
        """Record the highest number of bytes unsent to one client at the end of any iteration."""
        unsent = [client.stream.unsent_bytes for client in self.listener._clients]
        self.max_unsent_bytes = max(self.max_unsent_bytes, *unsent, 0)

    def client_with_response_in_progress(self, value: bytes, bytes_sent: int) -> LoopbackClient:
        """Return a client whose value is being streamed, after `bytes_sent` bytes of the response."""
        client = self.connect(self.listener.address)
        self.backend.scripted_responses = [response(value)[:bytes_sent]]
        client.send_bytes(read_command(d=1000))
        return client

    def client_that_does_not_read(self) -> LoopbackClient:
        """Return a client that reads nothing of the value that it has requested.

        The kernel's socket buffers are fixed at a small size: otherwise they grow until they hold the whole
        value, and the listener never has to wait for the client.
        """
        client = self.connect(self.listener.address)
        assert client.stream
        self.stop_polling(client.stream._sock)
        fix_kernel_buffers(client.stream._sock, KERNEL_BUFFER_BYTES)
        fix_kernel_buffers(self.accepted_end(self.listener, client).stream._sock, KERNEL_BUFFER_BYTES)
        client.stream.write(read_command("unread"))
        self.settle()
        return client


@pytest.fixture
def instance() -> StreamingInstance:
    return StreamingInstance()


@given(st.binary(min_size=33, max_size=400), st.lists(st.integers(1, 60), max_size=30))
def test_a_long_value_is_decoded_in_pieces_wherever_its_bytes_are_split(
    value: bytes, sizes: list[int]
) -> None:
    decoder = codec.Decoder(BufferPool(16, 4, 1000), Limits(stream_threshold_bytes=32))
    data, decoded = response(value) + response(b"short"), []
    for size in [*sizes, len(data)]:
        decoded += list(decoder.feed(data[:size]))
        data = data[size:]
    assert decoded[0] == codec.BulkStart(len(value))
    assert b"".join(p.data for p in decoded if isinstance(p, codec.BulkChunk)) == value
    assert decoded[-2:] == [[codec.BulkStart(len(value)), b"used=50", None], [b"short", b"used=50", None]]
    assert not decoder.has_partial_message


def test_a_long_value_reaches_its_client_before_the_backend_has_sent_all_of_it(
    instance: StreamingInstance,
) -> None:
    value = bytes(range(256)) * 256
    client = instance.client_with_response_in_progress(value, 30_000)
    assert client.received.startswith(b"$65536\r\n")
    assert 20_000 < len(client.received) < 30_000
    assert len(instance.core.final_answers[0]) == 1, "answered, and open until its last byte"
    assert instance.core.open_requests == 1, "answered, and open until its last byte"
    assert [a.outcome for a in instance.core.started_attempts] == [api.Outcome.SERVED]
    [conn] = instance.backend.connections
    conn.write(response(value)[30_000:])
    instance.settle()
    assert client.received == codec.encode_bulk(value)
    assert instance.core.open_requests == 0
    assert instance.core.metrics.success["read"] == 1
    assert client.send_bytes(read_command("r2")) == b"$0\r\n\r\n", "both connections are reused"
    assert len(instance.backend.connections) == 1, "both connections are reused"


def test_the_result_reports_the_time_to_the_first_byte_not_to_the_last(instance: StreamingInstance) -> None:
    instance.backend.scripted_responses = [None]
    client = instance.connect(instance.listener.address)
    client.send_bytes(read_command(d=1000))
    instance.run(40 * MS)
    [(_, conn)] = instance.backend.held_commands
    for piece in (b"*3\r\n$1000\r\n", b"x" * 1000, b"\r\n$-1\r\n$-1\r\n"):
        conn.write(piece)
        instance.run(30 * MS)
    assert client.received == codec.encode_bulk(b"x" * 1000)
    assert instance.core.started_attempts[0].duration_us == 40 * MS


def test_a_backend_reset_after_1_of_4_mib_closes_the_clients_connection_without_a_retry(
    instance: StreamingInstance,
) -> None:
    client = instance.client_with_response_in_progress(b"v" * (4 * MIB), MIB)
    instance.backend.close_connections()
    instance.settle()
    assert client.closed
    assert MIB - 100 <= len(client.received) <= MIB
    assert len(instance.core.started_attempts) == 1
    assert instance.core.metrics.error["read"] == 1
    assert instance.core.open_requests == 0


def test_a_backend_that_stops_mid_value_has_failed_and_a_slow_one_has_not(
    instance: StreamingInstance,
) -> None:
    value = b"v" * (64 * KIB)
    client = instance.client_with_response_in_progress(value, 20_000)
    [conn] = instance.backend.connections
    for at in range(20_000, 60_000, 10_000):
        instance.run(instance.limits.stream_stall_us - 100 * MS, step_us=100 * MS)
        conn.write(response(value)[at : at + 10_000])
        instance.settle()
    assert not client.closed
    instance.run(instance.limits.stream_stall_us + 100 * MS, step_us=100 * MS)
    assert client.closed
    assert not instance.backend.connections


def test_a_client_that_reads_nothing_holds_one_window_and_delays_no_other(
    instance: StreamingInstance,
) -> None:
    instance.backend.data[b"k"] = b"v" * (4 * MIB)
    stalled = instance.client_that_does_not_read()
    assert instance.accepted_end(
        instance.listener, stalled
    ).stream.unsent_bytes, "only the client delays the value"
    others = [LoopbackClient(instance, instance.listener.address, settle=False) for _ in range(8)]
    instance.settle()
    for i, other in enumerate(others):
        assert other.stream
        other.stream.write(read_command(f"s{i}", d=1400))
    instance.run_until(
        lambda: all(len(o.received) > 4 * MIB for o in others), "the values of eight other clients"
    )
    assert (
        instance.max_unsent_bytes <= instance.limits.stream_window_bytes + 2 * instance.pool.buffer_bytes
    ), "one client's unsent bytes are bounded"
    assert len(stalled.received) < 4 * MIB
    assert not stalled.closed
    instance.run(instance.limits.write_stall_us + SECOND, step_us=100 * MS)
    assert len(instance.listener) == len(others), "the stalled client is closed after the stall limit"


def test_a_value_goes_on_if_memory_becomes_scarce_while_its_task_yields(
    instance: StreamingInstance,
) -> None:
    """Regression: a value whose client was blocked by what others did during a yield stopped for ever: the
    task that read it waited for a callback that only a check before the yield would have registered."""
    value = b"v" * (2 * MIB)
    instance.backend.data[b"k"] = value
    budget = instance.pool.budget
    scarce_bytes = budget.available_bytes // 2 + 1

    def alternate() -> None:
        """Make memory scarce in every second iteration, as other clients' requests do."""
        if budget.process_account.held_bytes:
            budget.process_account.release(scarce_bytes)
        else:
            assert budget.process_account.charge(scarce_bytes)

    instance.scheduler.iteration_hooks.append(alternate)
    host, port = instance.listener.address.split(":")
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER_BYTES // 8)
        client.connect((host, int(port)))
        client.setblocking(False)
        instance.run_until(lambda: bool(instance.listener.connections), "the connection")
        [accepted] = instance.listener.connections
        fix_kernel_buffers(accepted.stream._sock, KERNEL_BUFFER_BYTES // 4)
        client.sendall(read_command(d=1400))
        received = 0

        def read_slowly() -> None:
            nonlocal received
            instance.run_iteration(1.0)
            with contextlib.suppress(BlockingIOError):
                received += len(client.recv(2 * KIB))

        wait_until(lambda: received == len(codec.encode_bulk(value)), "the whole value", read_slowly)


def test_a_client_that_disconnects_ends_the_backends_stream(instance: StreamingInstance) -> None:
    client = instance.client_with_response_in_progress(b"v" * MIB, 30_000)
    client.close()
    assert not instance.backend.connections
    assert instance.core.open_requests == 0
    assert len(instance.listener) == 0


def test_a_streamed_value_keeps_its_place_among_pipelined_answers(instance: StreamingInstance) -> None:
    value = b"v" * (200 * KIB)
    client = instance.connect(instance.listener.address)
    instance.backend.scripted_responses = [None, response(value), response(b"last")]
    client.send_bytes(b"".join(read_command(f"r{i}", volume=f"v{i}") for i in range(3)))
    assert client.received == b""
    instance.backend.data[b"k"] = b"first"
    instance.backend.release()
    instance.settle()
    assert client.received == codec.encode_bulk(b"first") + codec.encode_bulk(value) + codec.encode_bulk(
        b"last"
    )


def test_a_value_cut_short_before_streaming_is_an_error_and_the_connection_stays(
    instance: StreamingInstance,
) -> None:
    client = instance.connect(instance.listener.address)
    instance.backend.scripted_responses = [None, response(b"v" * (200 * KIB))[:30_000]]
    client.send_bytes(read_command("r0") + read_command("r1", volume="v1"))
    for conns in list(instance.resp_upstream.connections._open.values()):
        for conn in [c for c in conns if c.protocol.body]:
            conn.close()
    instance.settle()
    instance.backend.release()
    instance.settle()
    assert client.received == b"$0\r\n\r\n-ERR cut short\r\n"
    assert not client.closed


def test_a_body_ends_once_and_later_calls_are_ignored() -> None:
    ends: list[bool] = []
    body = Body(4)
    body.on_end.append(ends.append)
    body.feed(b"ab")
    woken: list[str] = []
    assert body.blocked_until(lambda: woken.append("producer")), "it has no sink yet"
    body.end(complete=False)
    body.end(complete=True)
    body.feed(b"cd")
    assert ends == [False]
    assert woken == ["producer"]
    assert not body.blocked_until(lambda: woken.append("again"))
