"""The store against a model, its file, and replication through restarts, partitions and false writers."""

from __future__ import annotations

import json
import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.runtime.listener import Listener
from garnetlanding.store.cached_endpoints import SERVERS, cache_listing, cached_listing, newest_listing
from garnetlanding.store.persister import StoreFileError, StorePersister, load, save
from garnetlanding.store.replica import Follower, FollowerMachine, FollowerOptions, WriterMachine
from garnetlanding.store.store import Entry, LogGapError, NotWriterError, Snapshot, StaleEpochError, Store
from tests.helpers import MS, SECOND, World

KEYS = st.sampled_from(["a", "b", "c"])
VALUES = st.one_of(st.none(), st.integers(0, 3))


@given(st.lists(st.tuples(KEYS, VALUES), max_size=30), st.integers(0, 35))
def test_a_copy_resumes_from_any_revision_or_is_told_that_it_cannot(
    puts: list[tuple[str, int | None]], since: int
) -> None:
    store = Store("w", True, log_entries=5)
    copies, model = [store.snapshot()], {}
    for key, value in puts:
        before = store.revision
        store.put(key, value)
        assert store.revision - before == (model.get(key) != value), "no change takes no revision"
        model[key] = value
        if store.revision > before:
            copies.append(store.snapshot())
    assert store.snapshot().values == {k: v for k, v in model.items() if v is not None}
    entries = store.entries_since(since)
    assert (entries is None) == (since > store.revision or since < store.revision - 5)
    if entries is not None:
        copy = Store("w", False, 5)
        copy.restore(copies[since])
        for entry in entries:
            copy.apply(0, entry)
        assert copy.snapshot() == store.snapshot()


def test_only_the_writer_writes_and_only_the_next_entry_fits() -> None:
    copy = Store("w", False, 5, epoch=3)
    with pytest.raises(NotWriterError):
        copy.put("a", 1)
    with pytest.raises(LogGapError):
        copy.apply(3, Entry(2, "a", 1))
    with pytest.raises(LogGapError):
        copy.apply(4, Entry(1, "a", 1))
    for name, epoch in (("x", 9), ("w", 2)):
        with pytest.raises(StaleEpochError):
            copy.accept_writer(name, epoch)
    with pytest.raises(StaleEpochError):
        Store("w", True, 5).accept_writer("w", 9)


def test_the_file_is_replaced_whole_and_a_strange_one_is_named(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "store.json")
    assert load(path) is None
    save(path, Snapshot(2, 7, {"a": [1]}))
    assert load(path) == Snapshot(2, 7, {"a": [1]}) and [p.name for p in tmp_path.iterdir()] == ["store.json"]
    for text in ("{", '{"epoch": 1}'):
        pathlib.Path(path).write_text(text)
        with pytest.raises(StoreFileError, match="store.json"):
            load(path)


def test_a_crash_while_writing_leaves_the_old_file(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def full(fd: int) -> None:
        raise OSError("disk full")

    w, path = World(), str(tmp_path / "store.json")
    store = Store("w", True, 5)
    StorePersister(w.scheduler, store, path, 100 * MS)
    store.put("a", 1)
    w.run(100 * MS)
    monkeypatch.setattr("os.fsync", full)
    store.put("a", 2)
    w.run(100 * MS)
    assert load(path) == Snapshot(0, 1, {"a": 1}) and "store not saved" in caplog.text


def test_the_list_is_kept_as_it_changes_and_the_newer_one_wins() -> None:
    store = Store("w", True, 50)
    one, two = ({"instanceId": n, "lifecycle": "SERVING"} for n in ("one", "two"))
    cache_listing(store, {"generation": 5, "reset": True, "instances": [one, two]})
    cache_listing(store, {"generation": 6, "reset": False, "instances": [one | {"lifecycle": "DELETED"}]})
    assert cached_listing(store) == {"generation": 6, "reset": True, "instances": [two]}
    assert newest_listing(store, {"generation": 7}) == {"generation": 7}
    assert newest_listing(store, {"generation": 5})["generation"] == 6
    cache_listing(store, {"generation": 8, "reset": True, "instances": [one]})
    assert list(store.with_prefix(SERVERS)) == [SERVERS + "one"]


class Pair(World):
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


@pytest.mark.parametrize("missed, whole", [(3, False), (9, True)])
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
    restored = []
    monkeypatch.setattr(w.copy, "restore", lambda s: (restored.append(s), Store.restore(w.copy, s)))
    w.serve(w.listener.address)
    w.run(w.limits.store_retry_us, 100 * MS)
    assert w.alike() and bool(restored) == whole


def test_a_silent_writer_is_left_and_found_again() -> None:
    w = Pair()
    w.mute(next(iter(w.listener._clients)).stream._sock.fileno())
    next(iter(w.listener._clients)).machine.close()  # says nothing, closes nothing
    w.store.put("a", 1)
    w.run(w.limits.store_quiet_us, 100 * MS)
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
    assert w.copy.snapshot().values == {"b": 2} and said(caplog).startswith("StaleEpochError: epoch 10")
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
    w.run(w.limits.store_beat_us + w.limits.store_retry_us, 100 * MS)
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
    machine = FollowerMachine(Store("w", False, 4), World().limits)
    assert json.loads(machine.hello(True)) == {"follow": [0, -1]}
    with pytest.raises(ValueError):
        machine.feed(lines)


def test_a_writer_turns_away_what_is_no_follower() -> None:
    w = Pair()
    peer = w.peer(w.listener.address)
    peer.say(b"GET / HTTP/1.1\r\n\r\n")
    assert peer.closed
