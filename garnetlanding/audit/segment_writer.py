"""Writes an instance's audit records to segment files.

Segments are append-only. A segment that reaches its size limit is followed by a new one, and the oldest are
deleted by total size and age. Each incarnation writes its own segments, because two processes of one instance
run concurrently during an upgrade.
"""

from __future__ import annotations

import errno
import logging
import os
import time
from collections.abc import Callable
from types import TracebackType

from garnetlanding.audit import segments
from garnetlanding.audit.errors import CorruptSegmentError
from garnetlanding.audit.limits import MS_PER_SECOND, SECOND
from garnetlanding.audit.records import (
    Incarnation,
    Payload,
    SegmentPosition,
    dropped_record,
    start_record,
)
from garnetlanding.audit.segment import FIRST_HASH
from garnetlanding.audit.segment_files import (
    SegmentFile,
    list_instance_segments,
    segment_path,
)
from garnetlanding.audit.setup import AuditSetup

log = logging.getLogger(__name__)

_NS_PER_MS = 1_000_000


def _system_wall_ms() -> int:
    return time.time_ns() // _NS_PER_MS


class SegmentWriter:
    """Appends the records of one incarnation; a context manager that closes its file.

    The constructor writes the start record and does not modify the files of earlier incarnations. It raises
    `OSError` if the first segment cannot be created. A later write failure stops the recording: it is logged
    once, and the instance continues to serve requests.

    `now` is monotonic time in microseconds, `wall_ms` reads the wall clock in milliseconds.
    """

    def __init__(
        self,
        setup: AuditSetup,
        incarnation: Incarnation,
        now: int,
        wall_ms: Callable[[], int] = _system_wall_ms,
    ) -> None:
        self._folder = setup.folder
        self._limits = setup.limits
        self._sync = setup.sync
        self._incarnation = incarnation
        self._wall_ms = wall_ms
        self._number = 0
        self._size = 0
        self._last_hash = FIRST_HASH
        self._descriptor: int | None = None
        self._failed = False
        os.makedirs(self._folder, exist_ok=True)
        previous, previous_tail_error = self._previous_incarnation()
        self._open_next_segment()
        self.write(start_record(now, previous, previous_tail_error, self._limits.checkpoint_us))

    def __enter__(self) -> SegmentWriter:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def write(self, payload: Payload) -> None:
        """Append a record, in a new segment if the current one is full. Never raises `OSError`."""
        if self._failed:
            return
        try:
            if self._size >= self._limits.segment_bytes:
                self._open_next_segment()
                self._delete_old_segments()
            self._append(payload)
        except OSError as error:
            self._failed = True
            log.error(
                "audit recording stopped", extra={"kv": {"folder": self._folder, "why": error.strerror}}
            )

    def close(self) -> None:
        """Close the current segment; calling this again does nothing."""
        descriptor = self._descriptor
        self._descriptor = None
        if descriptor is not None:
            os.close(descriptor)

    def _previous_incarnation(self) -> tuple[int, str]:
        """Return the number of the incarnation before this one, and the damage at the end of its files.

        The number is 0 if no other incarnation has files; the text is empty if there is no damage.
        """
        by_incarnation = list_instance_segments(self._folder, self._incarnation.instance).by_incarnation
        others = [number for number in by_incarnation if number != self._incarnation.number]
        if not others:
            return 0, ""
        previous = max(others)
        return previous, self._tail_error(by_incarnation[previous][-1])

    def _tail_error(self, last: SegmentFile) -> str:
        try:
            with open(last.path, "rb") as file:
                segment = segments.read_segment(os.path.basename(last.path), file.read(), True, self._limits)
        except (OSError, CorruptSegmentError) as error:
            return str(error)
        return "" if segment.torn_at is None else f"cut short at offset {segment.torn_at}"

    def _open_next_segment(self) -> None:
        self.close()
        self._number += 1
        path = segment_path(self._folder, self._incarnation, self._number)
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND, 0o644)
        header = segments.encode_header(
            self._incarnation.instance, self._incarnation.number, self._number, self._last_hash
        )
        self._write_fully(header)
        self._size = len(header)

    def _append(self, payload: Payload) -> None:
        data, record_hash = segments.encode_record(self._last_hash, {**payload, "wall": self._wall_ms()})
        descriptor = self._write_fully(data)
        if self._sync:
            os.fsync(descriptor)
        self._last_hash = record_hash
        self._size += len(data)

    def _write_fully(self, data: bytes) -> int:
        """Write in one system call, and return the descriptor written to.

        Raises `OSError` on a partial write: the file then ends in a torn tail, and nothing may be written
        after it.
        """
        if self._descriptor is None:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        if os.write(self._descriptor, data) < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return self._descriptor

    def _delete_old_segments(self) -> None:
        """Delete the oldest segments beyond the limits of size and age, and record the last one deleted.

        The record includes all earlier deletions, because earlier records of this kind may have been deleted
        with their segments.
        """
        files = list(list_instance_segments(self._folder, self._incarnation.instance).in_writing_order())
        sizes = {file.path: os.path.getsize(file.path) for file in files}
        total_bytes = sum(sizes.values())
        oldest_s = self._wall_ms() / MS_PER_SECOND - self._limits.age_us / SECOND
        last_deleted: SegmentPosition | None = None
        for file in files[:-1]:
            if total_bytes <= self._limits.total_bytes and os.path.getmtime(file.path) >= oldest_s:
                break
            os.unlink(file.path)
            total_bytes -= sizes[file.path]
            last_deleted = file.position
        if last_deleted is not None:
            self._append(dropped_record(last_deleted))
