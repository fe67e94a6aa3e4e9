"""Replication across restarts, partitions and invalid writers."""

from __future__ import annotations

import json

import pytest

from garnetlanding.runtime.errors import BufferPoolExhaustedError, DeadlineExceededError, StreamClosedError
from garnetlanding.runtime.listener import Listener
from garnetlanding.store.errors import (
    LogGapError,
    ProtocolViolation,
    ReplicationProtocolError,
    WriterRejectedError,
)
from garnetlanding.store.follower import Follower, FollowerOptions, describe_disconnect
from garnetlanding.store.follower_machine import FollowerMachine
from garnetlanding.store.store import Snapshot, Store
from garnetlanding.store.writer_machine import WriterMachine
from tests.support.clock import MS, SECOND
from tests.support.simulated_instance import SimulatedInstance


class ReplicationPair(SimulatedInstance):
    """A writer and its follower, connected over loopback."""

    def __init__(self) -> None:
        super().__init__()
        self.store = Store("w", writable=True, log_entries=4, epoch=10)
        self.copy = Store("w", writable=False, log_entries=4)
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

    def partition(self) -> None:
        self.listener.stop_accepting()
        for client in list(self.listener._clients):
            client.stream.close()
        self.settle()

    def is_in_sync(self) -> bool:
        return self.copy.snapshot() == self.store.snapshot()


def test_new_follower_gets_a_snapshot_and_then_every_change() -> None:
    pair = ReplicationPair()
    assert pair.is_in_sync()
    assert pair.follower.connected
    for i in range(9):
        pair.store.put(f"k{i % 3}", i)
    pair.store.put("k0", None)
    pair.settle()
    assert pair.is_in_sync()
    assert pair.copy.revision == 10


@pytest.mark.parametrize(
    ("missed", "with_snapshot"), [(3, False), (9, True)], ids=["within-the-log", "past-the-log"]
)
def test_follower_resumes_after_a_partition_by_revision_or_with_a_snapshot(
    missed: int, with_snapshot: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    pair = ReplicationPair()
    pair.store.put("a", 1)
    pair.settle()
    pair.partition()
    for i in range(missed):
        pair.store.put("a", 10 + i)
    pair.run(3 * SECOND, 100 * MS)
    assert pair.copy.get("a") == 1, "the copy stays usable during the partition"
    assert not pair.follower.connected
    restored: list[Snapshot] = []

    def restore(snapshot: Snapshot) -> None:
        restored.append(snapshot)
        Store.restore(pair.copy, snapshot)

    monkeypatch.setattr(pair.copy, "restore", restore)
    pair.serve(pair.listener.address)
    pair.run(pair.limits.store_retry_us, 100 * MS)
    assert pair.is_in_sync()
    assert bool(restored) == with_snapshot


def test_follower_reconnects_after_the_writer_was_unresponsive() -> None:
    pair = ReplicationPair()
    pair.stop_polling(next(iter(pair.listener._clients)).stream._sock)
    next(iter(pair.listener._clients)).protocol.close()  # sends nothing more, but its connection stays open
    pair.store.put("a", 1)
    pair.run(pair.limits.store_silence_us, 100 * MS)
    assert not pair.follower.connected
    assert pair.copy.get("a") is None
    pair.run(pair.limits.store_retry_us, 100 * MS)
    assert pair.is_in_sync()


def logged_reason(caplog: pytest.LogCaptureFixture) -> str:
    return str(caplog.records[-1].kv["why"])  # type: ignore[attr-defined]  # logs.py adds `kv`


def test_follower_accepts_a_greater_epoch_and_rejects_stale_and_foreign_writers(
    caplog: pytest.LogCaptureFixture,
) -> None:
    pair = ReplicationPair()
    pair.store.put("a", 1)
    pair.settle()
    pair.partition()
    pair.store = Store(
        "w", writable=True, log_entries=4, epoch=11
    )  # its file was lost: new values, new revisions
    pair.store.put("b", 2)
    pair.serve(pair.listener.address)
    pair.run(pair.limits.store_retry_us, 100 * MS)
    assert pair.is_in_sync()
    assert pair.copy.epoch == 11
    pair.partition()
    pair.store = Store("w", writable=True, log_entries=4, epoch=10)  # the previous process, still running
    pair.store.put("a", 9)
    pair.serve(pair.listener.address)
    pair.run(2 * pair.limits.store_retry_us, 100 * MS)
    assert pair.copy.snapshot().values == {"b": 2}
    assert logged_reason(caplog).startswith("stale writer: epoch 10")
    pair.partition()
    pair.store = Store("other", writable=True, log_entries=4, epoch=99)  # a second writer
    pair.serve(pair.listener.address)
    pair.run(2 * pair.limits.store_retry_us, 100 * MS)
    assert pair.copy.epoch == 11
    assert "not the configured writer" in logged_reason(caplog)


def test_a_snapshot_closes_a_revision_gap() -> None:
    pair = ReplicationPair()
    pair.copy.revision = 40  # a revision that the writer has not reached
    pair.store.put("a", 1)
    pair.settle()
    assert pair.is_in_sync()
    pair.store._values["a"], pair.store.revision = 5, 7  # an entry was lost in transit
    pair.run(pair.limits.store_heartbeat_us + pair.limits.store_retry_us, 100 * MS)
    assert pair.is_in_sync()


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        (b"{\n", "not JSON"),
        (b"[]\n", "not an object"),
        (b'{"entry": [1, "a", 1]}\n', "the writer has not named itself"),
        (b'{"writer": ["w", 1]}\n{"what": 1}\n', "unknown message"),
        (b"x" * (2 << 20), "line too long"),
    ],
    ids=["not-json", "not-an-object", "entry-before-identity", "unknown-message", "line-too-long"],
)
def test_follower_machine_raises_on_a_protocol_violation(lines: bytes, reason: str) -> None:
    machine = FollowerMachine(Store("w", writable=False, log_entries=4), SimulatedInstance().limits)
    assert json.loads(machine.follow_request(with_snapshot=True)) == {"follow": [0, -1]}
    with pytest.raises(ReplicationProtocolError, match=reason) as error:
        machine.feed(lines)
    assert error.value.violation.value == reason


def test_writer_closes_a_connection_that_does_not_start_with_a_follow_request() -> None:
    pair = ReplicationPair()
    peer = pair.connect(pair.listener.address)
    peer.send_bytes(b"GET / HTTP/1.1\r\n\r\n")
    assert peer.closed


@pytest.mark.parametrize(
    ("problem", "text"),
    [
        (WriterRejectedError("epoch 1 of w", "w", 1), "stale writer: epoch 1 of w"),
        (LogGapError("entry 3", 1, 3), "gap in the log: entry 3"),
        (ReplicationProtocolError(ProtocolViolation.NOT_JSON), "protocol violation: not JSON"),
        (DeadlineExceededError(), "no answer in time"),
        (BufferPoolExhaustedError(), "no buffer free"),
        (StreamClosedError("ended"), "connection closed: ended"),
        (OSError("refused"), "connection failed: refused"),
    ],
    ids=["stale-epoch", "log-gap", "protocol", "timeout", "no-buffer", "closed", "refused"],
)
def test_disconnect_reason_is_described_for_operators(problem: Exception, text: str) -> None:
    assert describe_disconnect(problem) == text


def test_equal_revisions_of_different_epochs_are_a_gap() -> None:
    machine = FollowerMachine(Store("w", writable=False, log_entries=4), SimulatedInstance().limits)
    with pytest.raises(LogGapError, match="the writer is at 0, this store at 0") as gap:
        machine.feed(b'{"writer": ["w", 1]}\n{"at": 0}\n')
    assert (gap.value.epoch, gap.value.revision) == (1, 0)


def connection_attempts(
    problem: Exception, stagger: float, monkeypatch: pytest.MonkeyPatch
) -> list[tuple[int, bool]]:
    """Return when a follower connected, in percent of the retry time, and whether it requested a snapshot."""
    instance = SimulatedInstance()
    started_at, retry_us = instance.time, instance.limits.store_retry_us
    attempts: list[tuple[int, bool]] = []

    def follow_once(_follower: Follower, *, with_snapshot: bool) -> Exception:
        attempts.append(((instance.time - started_at) * 100 // retry_us, with_snapshot))
        return problem

    monkeypatch.setattr(Follower, "_follow_once", follow_once)
    store = Store("w", writable=False, log_entries=4)
    options = FollowerOptions("127.0.0.1:9", stagger)
    Follower(instance.scheduler, instance.pool, instance.limits, store, options)
    instance.run(3 * retry_us)
    return attempts


def test_after_a_gap_a_snapshot_is_requested_at_once_and_again_only_after_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    attempts = connection_attempts(LogGapError("gap", 1, 1), 0.5, monkeypatch)
    assert attempts[:4] == [(0, False), (0, True), (100, True), (200, True)]


@pytest.mark.parametrize(("stagger", "pause"), [(0.0, 50), (0.5, 100), (0.9, 140)])
def test_the_pause_before_a_reconnect_depends_on_the_followers_slot(
    stagger: float, pause: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    attempts = connection_attempts(OSError("refused"), stagger, monkeypatch)
    assert attempts[:3] == [(0, False), (pause, False), (2 * pause, False)]
