"""A head's audit on disk: segments in a folder, appended to, begun anew when they are long, dropped when
old. Each life of a head has segments of its own: two processes of one head may run at once, during an
upgrade.
"""

from __future__ import annotations

import logging
import os
import re
import time
from collections.abc import Callable
from typing import Any

from garnetlanding.audit import segments
from garnetlanding.audit.limits import AuditLimits
from garnetlanding.runtime.files import file_name

log = logging.getLogger(__name__)
SEGMENT = re.compile(r"(.+)-audit-(\d+)\.(\d{8})")
ProcessRegistry = dict[int, list[tuple[int, str]]]  # by life: number and path of each segment, in order


def names(folder: str) -> dict[str, ProcessRegistry]:
    """By what the files of a head begin with. Raises OSError."""
    found: dict[str, ProcessRegistry] = {}
    for name in sorted(os.listdir(folder)):
        if match := SEGMENT.fullmatch(name):
            lives = found.setdefault(match[1], {})
            lives.setdefault(int(match[2]), []).append((int(match[3]), os.path.join(folder, name)))
    return found


class AuditFiles:
    """One writer. Where writing fails while the head serves, the log says so, once, and serving goes on."""

    def __init__(
        self,
        folder: str,
        head: str,
        life: int,
        limits: AuditLimits,
        sync: bool,
        now: int,
        wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        """Raises OSError. What earlier lives left is not touched."""
        self._folder, self._head, self._life = folder, head, life
        self._limits, self._sync, self._wall_ms = limits, sync, wall_ms
        os.makedirs(folder, exist_ok=True)
        self._begins_with = file_name(head, "audit")
        self._number, self._last, self._size, self._fd = 0, segments.FIRST, 0, -1
        self._broken = False
        follows, torn = self._earlier()
        self._begin()
        self.keep(
            {
                "t": now,
                "kind": "start",
                "follows": follows,
                "torn": torn,
                "checkpoint_us": limits.checkpoint_us,
            }
        )

    def _mine(self) -> ProcessRegistry:
        return names(self._folder).get(self._begins_with.removesuffix("-audit"), {})

    def _earlier(self) -> tuple[int, str]:
        """The life before this one, 0 where none has left anything; and why it ended as it did, if that
        shows."""
        lives = [life for life in self._mine() if life != self._life]
        if not lives:
            return 0, ""
        _, path = self._mine()[max(lives)][-1]
        try:
            with open(path, "rb") as file:
                found = segments.read(os.path.basename(path), file.read(), True, self._limits)
        except (OSError, segments.CorruptSegmentError) as problem:
            return max(lives), str(problem)
        return max(lives), f"cut short at offset {found.torn_at}" if found.torn_at >= 0 else ""

    def _begin(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
        self._number += 1
        path = os.path.join(self._folder, f"{self._begins_with}-{self._life}.{self._number:08}")
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND, 0o644)
        first = segments.begin(self._head, self._life, self._number, self._last)
        self._write(first)
        self._size = len(first)

    def keep(self, payload: dict[str, Any]) -> None:
        if self._broken:
            return
        try:
            if self._size >= self._limits.segment_bytes:
                self._begin()
                self._drop()
            self._append(payload)
        except OSError as problem:
            self._broken = True
            log.error("audit ends here", extra={"kv": {"folder": self._folder, "why": problem.strerror}})

    def _append(self, payload: dict[str, Any]) -> None:
        data, own = segments.record(self._last, {**payload, "wall": self._wall_ms()})
        self._write(data)
        if self._sync:
            os.fsync(self._fd)
        self._last, self._size = own, self._size + len(data)

    def _write(self, data: bytes) -> None:
        if os.write(self._fd, data) < len(data):
            # What stands there is a torn tail. Nothing is written behind it.
            raise OSError(28, "No space left on device")

    def _drop(self) -> None:
        """The oldest go first, and a record says up to which: earlier ones that said so are gone with
        theirs."""
        mine = [(life, number, path) for life, some in sorted(self._mine().items()) for number, path in some]
        sizes = {path: os.path.getsize(path) for _, _, path in mine}
        total, oldest = sum(sizes.values()), self._wall_ms() / 1000 - self._limits.age_us / 1e6
        up_to: list[int] = []
        for life, number, path in mine[:-1]:
            if total <= self._limits.total_bytes and os.path.getmtime(path) >= oldest:
                break
            os.unlink(path)
            total -= sizes[path]
            up_to = [life, number]
        if up_to:
            self._append({"kind": "dropped", "up_to": up_to})

    def close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
