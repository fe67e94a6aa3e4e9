"""The store compared with a model, and its errors."""

from __future__ import annotations

import pathlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.store.errors import (
    LogGapError,
    ReadOnlyStoreError,
    StoreError,
    StoreFileError,
    WriterRejectedError,
)
from garnetlanding.store.persister import load_snapshot
from garnetlanding.store.store import Entry, Snapshot, Store

KEYS = st.sampled_from(["a", "b", "c"])
VALUES = st.one_of(st.none(), st.integers(0, 3))


@given(st.lists(st.tuples(KEYS, VALUES), max_size=30), st.integers(0, 35))
def test_copy_resumes_from_any_logged_revision_and_from_no_other(
    puts: list[tuple[str, int | None]], revision: int
) -> None:
    store = Store("w", writable=True, log_entries=5)
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
    entries = store.entries_since(revision)
    assert (entries is None) == (revision > store.revision or revision < store.revision - 5)
    if entries is not None:
        copy = Store("w", writable=False, log_entries=5)
        copy.restore(copies[revision])
        for entry in entries:
            copy.apply(0, entry)
        assert copy.snapshot() == store.snapshot()


def test_copy_rejects_writes_other_writers_and_entries_out_of_order() -> None:
    copy = Store("w", writable=False, log_entries=5, epoch=3)
    with pytest.raises(ReadOnlyStoreError):
        copy.put("a", 1)
    with pytest.raises(LogGapError):
        copy.apply(3, Entry(2, "a", 1))
    with pytest.raises(LogGapError):
        copy.apply(4, Entry(1, "a", 1))
    for name, epoch in (("x", 9), ("w", 2)):
        with pytest.raises(WriterRejectedError):
            copy.check_writer(name, epoch)
    with pytest.raises(WriterRejectedError):
        Store("w", writable=True, log_entries=5).check_writer("w", 9)


def test_store_errors_carry_their_subject_and_share_one_base(tmp_path: pathlib.Path) -> None:
    copy = Store("w", writable=False, log_entries=5, epoch=3)
    with pytest.raises(LogGapError) as gap:
        copy.apply(4, Entry(7, "a", 1))
    with pytest.raises(WriterRejectedError) as stale:
        copy.check_writer("w", 2)
    with pytest.raises(ReadOnlyStoreError) as not_writer:
        copy.put("a", 1)
    path = tmp_path / "store.json"
    path.write_text("{")
    with pytest.raises(StoreFileError) as unreadable:
        load_snapshot(str(path))
    assert (gap.value.epoch, gap.value.revision) == (4, 7)
    assert (stale.value.writer, stale.value.epoch, not_writer.value.writer) == ("w", 2, "w")
    assert unreadable.value.file == str(path)
    assert isinstance(unreadable.value.__cause__, ValueError)
    assert all(isinstance(found.value, StoreError) for found in (gap, stale, not_writer, unreadable))


def test_an_observer_that_removes_itself_hides_no_change_from_the_next() -> None:
    store = Store("w", writable=True, log_entries=5)
    notified: list[Entry | None] = []

    def remove_itself(_entry: Entry | None) -> None:
        store.observers.remove(remove_itself)

    store.observers += [remove_itself, notified.append]
    store.put("a", 1)
    assert notified == [Entry(1, "a", 1)]
    assert store.observers == [notified.append]


def test_a_restored_store_offers_no_entries_from_before_the_snapshot() -> None:
    store = Store("w", writable=True, log_entries=5)
    store.put("a", 1)
    store.restore(Snapshot(3, 10, {"a": 2}))
    assert store.entries_since(0) is None
    assert store.entries_since(10) == []
