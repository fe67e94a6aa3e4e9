"""Backend connections: reuse, failures, limits."""

from __future__ import annotations

import pytest

from garnetlanding.core.ports import AttemptHandle
from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.resp import codec
from tests.support.clock import MS
from tests.support.runtime import InstanceWithBackend
from tests.support.simulated_instance import read_command


def test_idle_connections_are_reused_and_closed_before_the_backend_closes_them() -> None:
    instance = InstanceWithBackend()
    for i in range(3):
        instance.client.send_bytes(read_command(f"r{i}"))
    assert len(instance.backend.connections) == 1
    instance.run(instance.limits.backend_idle_us + instance.limits.sweep_us, step_us=500 * MS)
    assert not instance.backend.connections
    assert instance.resp_upstream.capacity.open_count == 0
    assert instance.client.send_bytes(read_command("again")) == b"$0\r\n\r\n"


def test_connection_closed_after_its_reply_is_not_reused() -> None:
    """The next request is sent in the iteration that received the reply, before the close is noticed."""
    instance = InstanceWithBackend()
    instance.client.send_bytes(read_command("r1"))
    [[idle]] = instance.resp_upstream.connections._idle.values()
    assert idle._stream
    instance.stop_polling(idle._stream._sock)
    instance.backend.close_connections()
    instance.settle()
    assert instance.client.send_bytes(read_command("r2")) == b"$0\r\n\r\n"
    assert instance.outcomes() == ["served", "served"]
    assert instance.backend.accepted_connections == 2


def test_refused_connection_reports_that_the_request_never_ran() -> None:
    instance = InstanceWithBackend()
    instance.backend.listener.stop_accepting()
    instance.client.send_bytes(read_command(d=400))
    assert instance.outcomes() == [Outcome.UNREACHABLE.value]
    instance.run(400 * MS)
    assert instance.client.received.startswith(b"-BUSY ")


def test_connect_that_never_completes_times_out() -> None:
    # With a full listen queue the kernel drops SYNs, as if the machine had disappeared.
    instance = InstanceWithBackend(backlog=0)
    full = instance.server(EmulatedBackend)
    assert full.listener._sock
    instance.settle()
    instance.stop_polling(full.listener._sock)
    for _ in range(3):
        instance.connect(full.address)
    instance.list_endpoints(EmulatedEndpoint("b0", full.address, 0))
    instance.client.send_bytes(read_command(d=400))
    assert instance.outcomes() == ["out"]
    instance.run(instance.limits.connect_timeout_us)
    assert instance.outcomes()[0] == Outcome.UNREACHABLE.value


def test_attempt_stopped_before_connecting_leaves_no_connection(
    caplog: pytest.LogCaptureFixture,
) -> None:
    instance = InstanceWithBackend()
    start = instance.resp_upstream.start

    def start_and_stop(attempt: AttemptHandle) -> None:
        start(attempt)
        instance.resp_upstream.stop(attempt)
        attempt.finish(Outcome.CANCELLED)

    instance.resp_upstream.start = start_and_stop  # type: ignore[method-assign]  # wraps the method for one attempt
    instance.client.send_bytes(read_command())
    assert instance.resp_upstream.capacity.open_count == 0
    assert not instance.backend.received
    assert "task failed" not in caplog.text


def test_reset_after_the_last_byte_was_sent_reports_that_the_request_may_have_run() -> None:
    instance = InstanceWithBackend()
    instance.backend.scripted_responses = [None]
    instance.client.send_bytes(read_command())
    instance.backend.close_connections()
    instance.settle()
    assert instance.outcomes() == [Outcome.RESET.value]


def test_reset_before_the_last_byte_was_sent_reports_that_the_request_never_ran() -> None:
    instance = InstanceWithBackend(buffer_bytes=4096, unsent_bytes=1 << 24, value_bytes=1 << 23)
    instance.client.send_bytes(read_command())
    backend_side = next(iter(instance.backend.listener._clients))
    instance.stop_polling(backend_side.stream._sock)  # the backend reads nothing more
    body = b"x" * (7 << 20)  # more than the kernel buffers
    instance.client.send_bytes(read_command("big", verb="BLK.WRITE", d=1400, body=body))
    assert instance.outcomes() == ["served", "out"]
    backend_side.stream.close()
    instance.settle()
    assert instance.outcomes()[1] == Outcome.UNREACHABLE.value


def test_timeout_closes_the_connection_before_anything_else_is_sent() -> None:
    instance = InstanceWithBackend()
    instance.backend.scripted_responses = [None]
    instance.client.send_bytes(read_command(d=300))
    instance.run(300 * MS)
    assert not instance.backend.connections
    assert instance.client.received.startswith(b"-BUSY")
    assert instance.client.send_bytes(read_command("next")) == b"$0\r\n\r\n"


@pytest.mark.parametrize("noise", [b"+OK\r\n+OK\r\n", b"?"])
def test_protocol_violation_closes_the_backend_connection(noise: bytes) -> None:
    instance = InstanceWithBackend()
    instance.client.send_bytes(read_command())
    instance.backend.connections[0].write(noise)
    instance.settle()
    assert not instance.backend.connections
    assert instance.client.send_bytes(read_command("next")) == b"$0\r\n\r\n"


def test_connections_are_bounded_per_backend_and_in_total() -> None:
    instance = InstanceWithBackend(connections_per_backend=2, backend_connections=3)
    other = instance.server(EmulatedBackend)
    instance.list_endpoints(
        EmulatedEndpoint("b0", instance.backend.address, 0), EmulatedEndpoint("b1", other.address, 1)
    )
    instance.backend.scripted_responses = [None] * 9
    instance.client.send_bytes(b"".join(read_command(f"r{i}", volume=f"v{i}") for i in range(3)))
    assert instance.outcomes().count("out") == 2
    assert Outcome.UNREACHABLE.value in instance.outcomes()
    instance.client.send_bytes(read_command("o", cell=1))
    assert instance.resp_upstream.capacity.open_count == 3
    assert len(other.connections) == 1
    third = instance.server(EmulatedBackend)
    instance.list_endpoints(
        EmulatedEndpoint("b0", instance.backend.address, 0), EmulatedEndpoint("b2", third.address, 2)
    )
    instance.client.send_bytes(read_command("p", cell=2))
    assert len(third.connections) == 1, "the longest-idle connection was closed to make room"
    assert not other.connections, "the longest-idle connection was closed to make room"


def test_backend_that_moves_while_connecting_is_not_sent_the_request() -> None:
    instance = InstanceWithBackend()
    moved = instance.server(EmulatedBackend)
    assert instance.client.stream
    instance.client.stream.write(read_command(d=900))
    instance.run_until(lambda: bool(instance.core.started_attempts), "the first attempt")
    instance.core.endpoints._addresses["b0"] = moved.address
    instance.settle()
    assert not instance.backend.received
    assert instance.outcomes() == [Outcome.UNREACHABLE.value]
    instance.run(200 * MS)
    assert len(moved.received) == 1
    assert instance.client.received == b"$0\r\n\r\n"


REST_US = 12 * MS


def second_reply(instance: InstanceWithBackend, value: bytes) -> None:
    """Let the backend send one more reply on its first connection."""
    reply = b"*3\r\n" + codec.encode_bulk(value) + codec.encode_bulk(b"used=50") + b"$-1\r\n"
    instance.backend.connections[0].write(reply)


def test_a_second_reply_some_milliseconds_late_is_not_served_to_the_next_request() -> None:
    """Regression: it was taken for the reply to the request that had followed on its connection."""
    instance = InstanceWithBackend(backend_rest_us=REST_US)
    instance.backend.data |= {b"k1": b"one", b"k2": b"two"}
    assert instance.client.send_bytes(read_command("r1", key="k1")) == b"$3\r\none\r\n"
    instance.run(5 * MS, MS)
    instance.backend.scripted_responses = [None]
    instance.client.send_bytes(read_command("r2", key="k2"))
    second_reply(instance, b"one")
    instance.settle()
    instance.backend.release()
    instance.settle()
    assert instance.client.received == b"$3\r\none\r\n$3\r\ntwo\r\n"
    assert len(instance.backend.connections) == 1, "that of the second reply is closed"


def test_a_connection_is_reused_after_its_rest() -> None:
    instance = InstanceWithBackend(backend_rest_us=REST_US)
    for number in range(3):
        instance.client.send_bytes(read_command(f"r{number}"))
        instance.run(REST_US, MS)
    assert instance.backend.accepted_connections == 1


def test_a_connection_is_reused_without_a_rest_if_no_other_may_be_opened() -> None:
    instance = InstanceWithBackend(backend_rest_us=REST_US, connections_per_backend=1)
    for number in range(3):
        assert instance.client.send_bytes(read_command(f"r{number}")) == b"$0\r\n\r\n"
    assert instance.backend.accepted_connections == 1


def test_no_client_is_evicted_for_a_connection_that_only_needs_a_rest() -> None:
    instance = InstanceWithBackend(
        backend_rest_us=REST_US,
        reserved_backend_connections=1,
        client_connections=2,
        connections_per_backend=9,
    )
    front = instance.start_resp_listener()
    front.capacity_user, instance.resp_upstream.capacity.owner = instance.resp_upstream.capacity, front
    busy, idle = instance.connect(front.address), instance.connect(front.address)
    instance.run(instance.limits.new_client_timeout_us, 10 * MS)  # the idle one may be evicted
    for number in range(3):
        assert busy.send_bytes(read_command(f"r{number}")) == b"$0\r\n\r\n"
    assert instance.backend.accepted_connections == 1
    assert not idle.closed
