"""The store against a model, and its file."""

from __future__ import annotations

import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.store.errors import (
    LogGapError,
    NotWriterError,
    StaleEpochError,
    StoreError,
    StoreFileError,
)
from garnetlanding.store.persister import StorePersister, load, save
from garnetlanding.store.store import Entry, Snapshot, Store
from tests.support.clock import MS
from tests.support.simulated_instance import SimulatedInstance

KEYS = st.sampled_from(["a", "b", "c"])
VALUES = st.one_of(st.none(), st.integers(0, 3))


@given(st.lists(st.tuples(KEYS, VALUES), max_size=30), st.integers(0, 35))
def test_a_copy_resumes_from_any_revision_or_is_told_that_it_cannot(
    puts: list[tuple[str, int | None]], since: int
) -> None:
    store = Store("w", True, log_entries=5)
    copies = [store.snapshot()]
    model: dict[str, int | None] = {}
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
    def full(_fd: int) -> None:
        raise OSError("disk full")

    w, path = SimulatedInstance(), str(tmp_path / "store.json")
    store = Store("w", True, 5)
    StorePersister(w.scheduler, store, path, 100 * MS)
    store.put("a", 1)
    w.run(100 * MS)
    monkeypatch.setattr("os.fsync", full)
    store.put("a", 2)
    w.run(100 * MS)
    assert load(path) == Snapshot(0, 1, {"a": 1}) and "store not saved" in caplog.text


def test_errors_carry_what_they_are_about_and_share_one_base(tmp_path: pathlib.Path) -> None:
    copy = Store("w", False, 5, epoch=3)
    with pytest.raises(LogGapError) as gap:
        copy.apply(4, Entry(7, "a", 1))
    with pytest.raises(StaleEpochError) as stale:
        copy.accept_writer("w", 2)
    with pytest.raises(NotWriterError) as not_writer:
        copy.put("a", 1)
    path = tmp_path / "store.json"
    path.write_text("{")
    with pytest.raises(StoreFileError) as unreadable:
        load(str(path))
    assert (gap.value.epoch, gap.value.revision) == (4, 7)
    assert (stale.value.writer, stale.value.epoch, not_writer.value.writer) == ("w", 2, "w")
    assert unreadable.value.file == str(path)
    assert isinstance(unreadable.value.__cause__, ValueError)
    assert all(isinstance(found.value, StoreError) for found in (gap, stale, not_writer, unreadable))
