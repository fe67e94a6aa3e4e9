"""Replication through restarts, partitions and false writers."""

from __future__ import annotations

import json

import pytest

from garnetlanding.runtime.errors import BufferPoolExhaustedError, DeadlineExceededError, StreamClosedError
from garnetlanding.runtime.listener import Listener
from garnetlanding.store.errors import LogGapError, ReplicaError, StaleEpochError
from garnetlanding.store.follower import Follower, FollowerOptions, describe_disconnect
from garnetlanding.store.follower_machine import FollowerMachine
from garnetlanding.store.store import Snapshot, Store
from garnetlanding.store.writer_machine import WriterMachine
from tests.support.clock import MS, SECOND
from tests.support.simulated_instance import SimulatedInstance


class Pair(SimulatedInstance):
    """A writer on loopback and a follower of it."""

    def __init__(self) -> None:
        super().__init__()
        self.store = Store("w", True, 4, epoch=10)
        self.copy = Store("w", False, 4)
        self.serve("127.0.0.1:0")
        self.follower = Follower(
            self.scheduler, self.pool, self.limits, self.copy, FollowerOptions(self.listener.address)
        )
        self.settle()

    def serve(self, address: str) -> None:
        self.listener = Listener(
            self.scheduler,
            address,
            self.pool,
            self.limits,
            8,
            lambda write: WriterMachine(self.store, self.scheduler, self.limits, write),
        )

    def cut(self) -> None:
        self.listener.stop_accepting()
        for client in list(self.listener._clients):
            client.stream.close()
        self.settle()

    def alike(self) -> bool:
        return self.copy.snapshot() == self.store.snapshot()


def test_a_follower_gets_a_snapshot_and_then_every_change() -> None:
    w = Pair()
    assert w.alike() and w.follower.connected
    for i in range(9):
        w.store.put(f"k{i % 3}", i)
    w.store.put("k0", None)
    w.settle()
    assert w.alike() and w.copy.revision == 10


@pytest.mark.parametrize(("missed", "whole"), [(3, False), (9, True)])
def test_after_a_partition_it_resumes_by_revision_or_with_a_snapshot(
    missed: int, whole: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    w = Pair()
    w.store.put("a", 1)
    w.settle()
    w.cut()
    for i in range(missed):
        w.store.put("a", 10 + i)
    w.run(3 * SECOND, 100 * MS)
    assert w.copy.get("a") == 1 and not w.follower.connected, "it goes on with what it has"
    restored: list[Snapshot] = []

    def restore(snapshot: Snapshot) -> None:
        restored.append(snapshot)
        Store.restore(w.copy, snapshot)

    monkeypatch.setattr(w.copy, "restore", restore)
    w.serve(w.listener.address)
    w.run(w.limits.store_retry_us, 100 * MS)
    assert w.alike() and bool(restored) == whole


def test_a_silent_writer_is_left_and_found_again() -> None:
    w = Pair()
    w.mute(next(iter(w.listener._clients)).stream._sock.fileno())
    next(iter(w.listener._clients)).machine.close()  # says nothing, closes nothing
    w.store.put("a", 1)
    w.run(w.limits.store_silence_us, 100 * MS)
    assert not w.follower.connected and w.copy.get("a") is None
    w.run(w.limits.store_retry_us, 100 * MS)
    assert w.alike()


def said(caplog: pytest.LogCaptureFixture) -> str:
    return str(caplog.records[-1].kv["why"])  # type: ignore[attr-defined]


def test_a_restarted_writer_has_a_new_epoch_and_an_older_one_is_rejected(
    caplog: pytest.LogCaptureFixture,
) -> None:
    w = Pair()
    w.store.put("a", 1)
    w.settle()
    w.cut()
    w.store = Store("w", True, 4, epoch=11)  # its file was lost: other values, other revisions
    w.store.put("b", 2)
    w.serve(w.listener.address)
    w.run(w.limits.store_retry_us, 100 * MS)
    assert w.alike() and w.copy.epoch == 11
    w.cut()
    w.store = Store("w", True, 4, epoch=10)  # the old process, still there
    w.store.put("a", 9)
    w.serve(w.listener.address)
    w.run(2 * w.limits.store_retry_us, 100 * MS)
    assert w.copy.snapshot().values == {"b": 2} and said(caplog).startswith("stale writer: epoch 10")
    w.cut()
    w.store = Store("other", True, 4, epoch=99)  # a second writer
    w.serve(w.listener.address)
    w.run(2 * w.limits.store_retry_us, 100 * MS)
    assert w.copy.epoch == 11 and "not the configured writer" in said(caplog)


def test_a_gap_forces_a_snapshot() -> None:
    w = Pair()
    w.copy.revision = 40  # as if it had copied what the writer never had
    w.store.put("a", 1)
    w.settle()
    assert w.alike()
    w.store._values["a"], w.store.revision = 5, 7  # an entry was lost on its way
    w.run(w.limits.store_heartbeat_us + w.limits.store_retry_us, 100 * MS)
    assert w.alike()


@pytest.mark.parametrize(
    "lines",
    [
        b"{\n",
        b"[]\n",
        b'{"entry": [1, "a", 1]}\n',
        b'{"writer": ["w", 1]}\n{"what": 1}\n',
        b"x" * (2 << 20),
    ],
)
def test_a_follower_leaves_a_writer_that_speaks_otherwise(lines: bytes) -> None:
    machine = FollowerMachine(Store("w", False, 4), SimulatedInstance().limits)
    assert json.loads(machine.follow_request(with_snapshot=True)) == {"follow": [0, -1]}
    with pytest.raises(ValueError):
        machine.feed(lines)


def test_a_writer_turns_away_what_is_no_follower() -> None:
    w = Pair()
    peer = w.peer(w.listener.address)
    peer.say(b"GET / HTTP/1.1\r\n\r\n")
    assert peer.closed


@pytest.mark.parametrize(
    ("problem", "text"),
    [
        (StaleEpochError("epoch 1 of w", "w", 1), "stale writer: epoch 1 of w"),
        (LogGapError("entry 3", 1, 3), "gap in the log: entry 3"),
        (ReplicaError("not JSON"), "protocol violation: not JSON"),
        (DeadlineExceededError(), "no answer in time"),
        (BufferPoolExhaustedError(), "no buffer free"),
        (StreamClosedError("ended"), "connection closed: ended"),
        (OSError("refused"), "connection failed: refused"),
    ],
    ids=["stale-epoch", "log-gap", "protocol", "timeout", "no-buffer", "closed", "refused"],
)
def test_disconnect_reason_is_written_out_for_operators(problem: Exception, text: str) -> None:
    assert describe_disconnect(problem) == text
