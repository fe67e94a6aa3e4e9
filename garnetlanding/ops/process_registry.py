"""The processes of one instance: each has a locked file in `$TMPDIR` that holds its record.

The file's name is made of the instance's name, the process id and the start time; its content is a record of
process_quota. The process holds an exclusive lock on it for as long as it lives, and the kernel ends the lock
with the process, however that ends: an unlocked file is of a process that has terminated.
"""

from __future__ import annotations

import fcntl
import logging
import os
import time
from collections.abc import Iterator
from contextlib import contextmanager

from garnetlanding.ops.process_quota import (
    RECORD_BYTES,
    UNREADABLE_RECORD,
    ProcessRecord,
    decode,
    encode,
    next_share,
)
from garnetlanding.runtime.files import file_name

log = logging.getLogger(__name__)


class ProcessRegistry:
    """The own process among those of its instance.

    It is registered from construction to `close`, at first with no share. Raises OSError where the folder
    cannot be used.
    """

    def __init__(self, folder: str, name: str) -> None:
        self._folder = folder
        self._name = name
        self._prefix = file_name(name, "life-")
        self._others: dict[str, ProcessRecord] = {}  # by file name, as last read
        started_ns = time.monotonic_ns()
        self.record = ProcessRecord(started_ns, 0.0)
        self._path = os.path.join(folder, f"{self._prefix}{os.getpid()}-{started_ns}")
        # It gets its name once it is locked: unlocked, it would pass for that of a terminated process.
        unnamed = os.path.join(folder, f"{file_name(name, 'new')}-{os.getpid()}-{started_ns}")
        self._fd = os.open(unnamed, os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(self._fd, fcntl.LOCK_EX)
        self._write()
        os.rename(unnamed, self._path)

    @property
    def has_successor(self) -> bool:
        """Whether a process of this instance has started since this one, by the last `next_share`."""
        return any(other.started_ns >= self.record.started_ns for other in self._others.values())

    def next_share(self, used: float, ending: bool) -> float:
        """Read the other processes' records and return the share that this one may hold from now on.

        `used` is the share of the bounds in use here. Call `publish` once the share is in force, not before:
        a successor takes what is published as free.
        """
        self._others = self._read_others()
        return next_share(self.record, self._others.values(), used, ending)

    def publish(self, share: float) -> None:
        """Tell the other processes that this share is in force here."""
        if share != self.record.share:
            self.record = ProcessRecord(self.record.started_ns, share)
            self._write()

    def close(self) -> None:
        """Leave the registry: remove the file and end its lock."""
        os.unlink(self._path)
        os.close(self._fd)

    def _write(self) -> None:
        os.pwrite(self._fd, encode(self._name, self.record), 0)

    def _read_others(self) -> dict[str, ProcessRecord]:
        records: dict[str, ProcessRecord] = {}
        for file in os.listdir(self._folder):
            path = os.path.join(self._folder, file)
            if not file.startswith(self._prefix) or path == self._path:
                continue
            try:
                with _opened_for_reading(path) as fd:
                    record = self._read_other(file, path, fd)
            except OSError:
                continue  # it terminated just now
            if record is not None:
                records[file] = record
        return records

    def _read_other(self, file: str, path: str, fd: int) -> ProcessRecord | None:
        """Return what counts for the process of this file, or None where it has terminated."""
        if _is_unlocked(fd):
            log.warning("record of a terminated process removed", extra={"kv": {"path": path}})
            os.unlink(path)
            return None
        record = decode(self._name, os.read(fd, RECORD_BYTES)) or self._others.get(file)
        if record is None:
            log.warning("record of another process unreadable", extra={"kv": {"path": path}})
        return record or UNREADABLE_RECORD


@contextmanager
def _opened_for_reading(path: str) -> Iterator[int]:
    fd = os.open(path, os.O_RDONLY)
    try:
        yield fd
    finally:
        os.close(fd)


def _is_unlocked(fd: int) -> bool:
    """Whether no process holds the file's lock; if so, this descriptor holds it until it is closed."""
    try:
        fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except OSError:
        return False
    return True
