"""The processes of one instance: each publishes its record in a locked file in `$TMPDIR`.

The file's name consists of the instance's name, the process id and the start time; its content is a
ProcessRecord. The process holds an exclusive lock on the file while it runs. The kernel releases the lock
when the process ends, for whatever reason: an unlocked file belongs to a process that has terminated.
"""

from __future__ import annotations

import fcntl
import logging
import os
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from garnetlanding.ops.process_quota import UNREADABLE_RECORD, next_quota
from garnetlanding.ops.process_record import RECORD_BYTES, ProcessRecord, decode, encode
from garnetlanding.runtime.files import instance_file_name

log = logging.getLogger(__name__)


class ProcessRegistry:
    """Publishes the record of this process, and reads those of the instance's other processes.

    The process is registered from construction to `close`, at first with a quota of 0. Raises OSError if
    the folder cannot be used.
    """

    def __init__(self, folder: str, name: str) -> None:
        self._folder = Path(folder)
        self._name = name
        self._prefix = instance_file_name(name, "life-")
        self._others: dict[str, ProcessRecord] = {}  # by file name, as last read
        started_ns = time.monotonic_ns()
        self.record = ProcessRecord(started_ns, 0.0)
        self._path = self._folder / f"{self._prefix}{os.getpid()}-{started_ns}"
        # Renamed to its final name only once it is locked: an unlocked file of that name would be taken for
        # that of a terminated process.
        temporary_path = self._folder / f"{instance_file_name(name, 'new')}-{os.getpid()}-{started_ns}"
        self._fd = os.open(temporary_path, os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(self._fd, fcntl.LOCK_EX)
        self._write()
        temporary_path.rename(self._path)

    @property
    def has_successor(self) -> bool:
        """Whether a process of this instance has started after this one, as of the last `next_quota`."""
        return any(other.started_ns >= self.record.started_ns for other in self._others.values())

    def next_quota(self, used: float, *, stopping: bool) -> float:
        """Read the other processes' records and return the quota that this process may use from now on.

        `used` is the fraction of the limits in use here. Call `publish` only after the quota has been
        applied, since a successor takes what the published quotas leave.
        """
        self._others = self._read_others()
        return next_quota(self.record, self._others.values(), used, stopping=stopping)

    def publish(self, quota: float) -> None:
        """Announce to the other processes that this process stays within `quota`."""
        if quota != self.record.quota:
            self.record = ProcessRecord(self.record.started_ns, quota)
            self._write()

    def close(self) -> None:
        """Leave the registry: remove the file and release its lock."""
        self._path.unlink()
        os.close(self._fd)

    def _write(self) -> None:
        os.pwrite(self._fd, encode(self._name, self.record), 0)

    def _read_others(self) -> dict[str, ProcessRecord]:
        records: dict[str, ProcessRecord] = {}
        for path in self._folder.iterdir():
            if not path.name.startswith(self._prefix) or path == self._path:
                continue
            try:
                with _opened_for_reading(path) as fd:
                    record = self._read_other(path, fd)
            except OSError:
                continue  # its process has removed it in the meantime, on termination
            if record is not None:
                records[path.name] = record
        return records

    def _read_other(self, path: Path, fd: int) -> ProcessRecord | None:
        """Return the record to assume for another process, or None if that process has terminated."""
        if _is_unlocked(fd):
            log.warning("record of a terminated process removed", extra={"kv": {"path": path}})
            path.unlink()
            return None
        record = decode(self._name, os.read(fd, RECORD_BYTES)) or self._others.get(path.name)
        if record is None:
            log.warning("record of another process unreadable", extra={"kv": {"path": path}})
        return record or UNREADABLE_RECORD


@contextmanager
def _opened_for_reading(path: Path) -> Iterator[int]:
    fd = os.open(path, os.O_RDONLY)
    try:
        yield fd
    finally:
        os.close(fd)


def _is_unlocked(fd: int) -> bool:
    """Return whether no process holds the file's lock; if so, this descriptor holds it until it is closed."""
    try:
        fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except OSError:
        return False
    return True
