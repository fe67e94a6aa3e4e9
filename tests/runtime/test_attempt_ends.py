"""The ends of attempts: unsolicited replies, late connections, resets."""

from __future__ import annotations

import socket

import pytest

from garnetlanding.decision import interface as api
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.runtime.stream import Stream
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import make_settings
from tests.support.departures import Raw, Waiting, connect_late
from tests.support.simulated_instance import SimulatedInstance, read_command


def test_unsolicited_bytes_of_a_backend_are_not_taken_for_the_next_reply() -> None:
    """A second reply, some milliseconds late, was unread on an idle connection when the next request came."""
    instance = Waiting()
    instance.appear()
    client = Raw(instance, instance.listener.address)
    client.say(read_command("r1"))
    [[kept]] = instance.bricks.connections._idle.values()
    assert kept._stream
    instance.stop_polling(kept._stream._sock)
    instance.brick.connections[0].write(b"*3\r\n$5\r\nwrong\r\n$-1\r\n$-1\r\n")
    instance.settle()
    client.sock.recv(100)
    client.say(read_command("r2"))
    assert client.sock.recv(100) == b"$0\r\n\r\n"
    assert instance.brick.accepted == 2


@pytest.mark.parametrize(
    ("effect", "window", "repeats"),
    [(api.Effect.KEYED, 300 * MS, 0), (api.Effect.KEYED, 900 * MS, 1), (api.Effect.SAFE, 0, 1)],
)
def test_retry_is_not_sent_when_its_connection_opens_after_the_deduplication_window(
    effect: api.Effect, window: int, repeats: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The window was checked before the connection was opened, which takes up to 0.25 s."""
    cls = api.ClassSpec("read", 2.0, 0.1, 300 * MS, 1500 * MS, effect, api.DeduplicationScope.ALL, window)
    instance = SimulatedInstance(
        make_settings(parallel_attempts=False, max_attempts=2, instances=1, classes={"read": cls})
    )
    backend = instance.server(EmulatedBackend)
    backend.scripted_responses = [None]
    instance.list(EmulatedEndpoint("b0", backend.address, 0))
    client = Raw(instance, instance.front().address)
    client.say(read_command(d=1500))
    instance.run(200 * MS)
    connect_late(instance, monkeypatch)
    backend.close_connections()
    instance.run(1200 * MS)
    assert len(instance.core.starts) >= 2, "the module sends it again in time"
    assert len(backend.received) == 1 + repeats


def test_reset_within_a_streamed_reply_is_not_a_complete_reply() -> None:
    """A response without a length ends with its stream; a reset was mistaken for that end."""
    instance = SimulatedInstance()
    listener = socket.create_server(("127.0.0.1", 0))
    stream: list[Stream] = []
    seen: list[bool] = []

    def read() -> None:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        stream.append(
            Stream.connect(
                instance.scheduler, address, instance.pool, instance.limits, instance.time + SECOND
            )
        )
        while stream[0].read(lambda _data: None):
            pass
        seen.append(stream[0].read_failed)

    for how in (Raw.abort, Raw.fin):
        instance.scheduler.spawn(read)
        instance.settle()
        raw = Raw.__new__(Raw)
        raw.sock = listener.accept()[0]
        raw.sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        instance.settle()
        how(raw)
        instance.settle()
        stream.clear()
    assert seen == [True, False]
    listener.close()
