"""The store's file."""

from __future__ import annotations

import pathlib

import pytest

from garnetlanding.store import persister
from garnetlanding.store.errors import StoreFileError
from garnetlanding.store.persister import StorePersister, load_snapshot, save_snapshot
from garnetlanding.store.store import Snapshot, Store
from tests.support.clock import MS
from tests.support.simulated_instance import SimulatedInstance


def test_saved_snapshot_loads_again_and_an_unusable_file_is_named(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "store.json")
    assert load_snapshot(path) is None
    save_snapshot(path, Snapshot(2, 7, {"a": [1]}))
    assert load_snapshot(path) == Snapshot(2, 7, {"a": [1]})
    assert [p.name for p in tmp_path.iterdir()] == ["store.json"]
    for text in ("{", '{"epoch": 1}'):
        pathlib.Path(path).write_text(text)
        with pytest.raises(StoreFileError, match="store.json"):
            load_snapshot(path)


def test_failed_write_leaves_the_old_file_and_is_logged(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def full(_fd: int) -> None:
        raise OSError("disk full")

    instance = SimulatedInstance()
    path = str(tmp_path / "store.json")
    store = Store("w", writable=True, log_entries=5)
    StorePersister(instance.scheduler, store, path, 100 * MS)
    store.put("a", 1)
    instance.run(100 * MS)
    monkeypatch.setattr("os.fsync", full)
    store.put("a", 2)
    instance.run(100 * MS)
    assert load_snapshot(path) == Snapshot(0, 1, {"a": 1})
    assert "store not saved" in caplog.text


def test_changes_within_the_delay_are_saved_together(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    instance = SimulatedInstance()
    store = Store("w", writable=True, log_entries=5)
    saved: list[Snapshot] = []
    monkeypatch.setattr(persister, "save_snapshot", lambda _path, snapshot: saved.append(snapshot))
    StorePersister(instance.scheduler, store, str(tmp_path / "store.json"), 100 * MS)
    store.put("a", 1)
    instance.run(50 * MS)
    store.put("b", 2)
    instance.run(100 * MS)
    assert saved == [Snapshot(0, 2, {"a": 1, "b": 2})]
    store.put("c", 3)
    instance.run(100 * MS)
    assert len(saved) == 2
