"""How attempts end: unsolicited replies, connections that open late, resets."""

from __future__ import annotations

import socket

import pytest

from garnetlanding.decision import interface as api
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.runtime.stream import Stream
from tests.support.client_disconnects import InstanceWithoutBackends, RawClient, delay_connects
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import make_settings
from tests.support.simulated_instance import SimulatedInstance, read_command


def test_unsolicited_bytes_of_a_backend_are_not_taken_for_the_next_reply() -> None:
    """Regression: a late second reply was unread on an idle connection when the next request came."""
    instance = InstanceWithoutBackends()
    instance.list_backend()
    client = RawClient(instance, instance.listener.address)
    client.send_bytes(read_command("r1"))
    [[idle]] = instance.resp_upstream.connections._idle.values()
    assert idle._stream
    instance.stop_polling(idle._stream._sock)
    instance.backend.connections[0].write(b"*3\r\n$5\r\nwrong\r\n$-1\r\n$-1\r\n")
    instance.settle()
    client.sock.recv(100)
    client.send_bytes(read_command("r2"))
    assert client.sock.recv(100) == b"$0\r\n\r\n"
    assert instance.backend.accepted_connections == 2


@pytest.mark.parametrize(
    ("effect", "window", "retries"),
    [(api.Effect.KEYED, 300 * MS, 0), (api.Effect.KEYED, 900 * MS, 1), (api.Effect.SAFE, 0, 1)],
)
def test_retry_is_not_sent_when_its_connection_opens_after_the_deduplication_window(
    effect: api.Effect, window: int, retries: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: the window was checked only before connecting, which may take up to 0.25 s."""
    cls = api.ClassSpec("read", 2.0, 0.1, 300 * MS, 1500 * MS, effect, api.DeduplicationScope.ALL, window)
    instance = SimulatedInstance(
        make_settings(parallel_attempts=False, max_attempts=2, instances=1, classes={"read": cls})
    )
    backend = instance.server(EmulatedBackend)
    backend.scripted_responses = [None]
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    client = RawClient(instance, instance.start_resp_listener().address)
    client.send_bytes(read_command(d=1500))
    instance.run(200 * MS)
    delay_connects(instance, monkeypatch)
    backend.close_connections()
    instance.run(1200 * MS)
    assert len(instance.core.started_attempts) >= 2, "the decision module retries within the window"
    assert len(backend.received) == 1 + retries


def test_reset_within_a_streamed_reply_is_not_a_complete_reply() -> None:
    """Regression: a response without a length ends with its stream, and a reset was mistaken for that end."""
    instance = SimulatedInstance()
    listener = socket.create_server(("127.0.0.1", 0))
    streams: list[Stream] = []
    read_failed: list[bool] = []

    def read() -> None:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        streams.append(
            Stream.connect(
                instance.scheduler, address, instance.pool, instance.limits, instance.time + SECOND
            )
        )
        while streams[0].read(lambda _data: None):
            pass
        read_failed.append(streams[0].read_failed)

    for end_connection in (RawClient.abort, RawClient.close):
        instance.scheduler.spawn(read)
        instance.settle()
        raw = RawClient.__new__(RawClient)
        raw.sock = listener.accept()[0]
        raw.sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        instance.settle()
        end_connection(raw)
        instance.settle()
        streams.clear()
    assert read_failed == [True, False]
    listener.close()
