"""Writes an instance's audit records to segment files.

Segments are only appended to. One that has grown long is followed by a new one, and the oldest are deleted
by size and age. Each incarnation has segments of its own, because two processes of one instance run side by
side during an upgrade.
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


def _system_wall_ms() -> int:
    return time.time_ns() // 1_000_000


class SegmentWriter:
    """Appends the records of one incarnation; a context manager that closes its file.

    Creating it writes the start record and leaves the files of earlier incarnations as they are; it raises
    `OSError` where the first segment cannot be created. A later failure to write ends the recording: it is
    logged once, and the instance goes on serving.

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
        previous, previous_end = self._previous_incarnation()
        self._open_next_segment()
        self.write(start_record(now, previous, previous_end, self._limits.checkpoint_us))

    def __enter__(self) -> SegmentWriter:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def write(self, payload: Payload) -> None:
        """Append a record, in a new segment where the present one is long enough. Never raises `OSError`."""
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
        """Close the present segment; calling it again does nothing."""
        descriptor = self._descriptor
        self._descriptor = None
        if descriptor is not None:
            os.close(descriptor)

    def _previous_incarnation(self) -> tuple[int, str]:
        """Return the number of the incarnation before this one, and what is wrong with the end of its files.

        The number is 0 where no earlier incarnation has left files; the text is empty where they end well.
        """
        by_incarnation = list_instance_segments(self._folder, self._incarnation.instance).by_incarnation
        others = [number for number in by_incarnation if number != self._incarnation.number]
        if not others:
            return 0, ""
        previous = max(others)
        return previous, self._fault_at_end(by_incarnation[previous][-1])

    def _fault_at_end(self, last: SegmentFile) -> str:
        try:
            with open(last.path, "rb") as file:
                found = segments.read_segment(os.path.basename(last.path), file.read(), True, self._limits)
        except (OSError, CorruptSegmentError) as error:
            return str(error)
        return "" if found.torn_at is None else f"cut short at offset {found.torn_at}"

    def _open_next_segment(self) -> None:
        self.close()
        self._number += 1
        path = segment_path(self._folder, self._incarnation, self._number)
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND, 0o644)
        header = segments.encode_header(
            self._incarnation.instance, self._incarnation.number, self._number, self._last_hash
        )
        self._write_whole(header)
        self._size = len(header)

    def _append(self, payload: Payload) -> None:
        data, record_hash = segments.encode_record(self._last_hash, {**payload, "wall": self._wall_ms()})
        descriptor = self._write_whole(data)
        if self._sync:
            os.fsync(descriptor)
        self._last_hash = record_hash
        self._size += len(data)

    def _write_whole(self, data: bytes) -> int:
        """Write in one system call, and return the descriptor written to.

        Raises `OSError` where the disk took only a part: what stands there is a torn tail, and nothing may be
        written behind it.
        """
        if self._descriptor is None:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        if os.write(self._descriptor, data) < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return self._descriptor

    def _delete_old_segments(self) -> None:
        """Delete the oldest segments beyond the limits of size and age, and record up to which.

        An earlier record that said so was deleted with the segment that held it, so the newest says it all.
        """
        found = list(list_instance_segments(self._folder, self._incarnation.instance).in_writing_order())
        sizes = {file.path: os.path.getsize(file.path) for file in found}
        total = sum(sizes.values())
        oldest_s = self._wall_ms() / 1000 - self._limits.age_us / 1e6
        last_deleted: SegmentPosition | None = None
        for file in found[:-1]:
            if total <= self._limits.total_bytes and os.path.getmtime(file.path) >= oldest_s:
                break
            os.unlink(file.path)
            total -= sizes[file.path]
            last_deleted = file.position
        if last_deleted is not None:
            self._append(dropped_record(last_deleted))
