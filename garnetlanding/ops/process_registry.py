"""The processes of one head, each with a locked file in `$TMPDIR` that holds its word."""

from __future__ import annotations

import fcntl
import logging
import os
import time

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
    """This process's life among the others'. A lock ends with its process, however that ends."""

    def __init__(self, folder: str, name: str) -> None:
        self._folder, self._name = folder, name
        self._prefix = file_name(name, "life-")
        started = time.monotonic_ns()
        self._others: dict[str, ProcessRecord] = {}
        self._path = os.path.join(folder, f"{self._prefix}{os.getpid()}-{started}")
        self.record = ProcessRecord(started, 0.0)
        # It gets its name once it is locked: unlocked, it would be taken for that of a process that is gone.
        beside = os.path.join(folder, f"{file_name(name, 'new')}-{os.getpid()}-{started}")
        self._fd = os.open(beside, os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(self._fd, fcntl.LOCK_EX)
        self._say()
        os.rename(beside, self._path)

    @property
    def has_successor(self) -> bool:
        """Whether another process of this head has started since."""
        return any(word.started_ns >= self.record.started_ns for word in self._others.values())

    def next_share(self, used: float, ending: bool) -> float:
        """Hears the others and gives back the part to keep to from now on. Call `keep` once it is kept."""
        self._others = self._hear()
        return next_share(self.record, self._others.values(), used, ending)

    def publish(self, part: float) -> None:
        """Says that this process keeps to that part."""
        if part != self.record.share:
            self.record = ProcessRecord(self.record.started_ns, part)
            self._say()

    def close(self) -> None:
        os.unlink(self._path)
        os.close(self._fd)

    def _say(self) -> None:
        os.pwrite(self._fd, encode(self._name, self.record), 0)

    def _hear(self) -> dict[str, ProcessRecord]:
        heard: dict[str, ProcessRecord] = {}
        for file in os.listdir(self._folder):
            path = os.path.join(self._folder, file)
            if not file.startswith(self._prefix) or path == self._path:
                continue
            try:
                fd = os.open(path, os.O_RDONLY)
            except OSError:
                continue  # ended just now
            try:
                if self._alone_with(fd):
                    log.warning("process of this head is gone", extra={"kv": {"path": path}})
                    os.unlink(path)
                    continue
                word = decode(self._name, os.read(fd, RECORD_BYTES)) or self._others.get(file)
                if word is None:
                    log.warning("other process not understood", extra={"kv": {"path": path}})
                heard[file] = word or UNREADABLE_RECORD
            except OSError:
                continue
            finally:
                os.close(fd)
        return heard

    @staticmethod
    def _alone_with(fd: int) -> bool:
        """Whether nobody locks the file: its process has ended."""
        try:
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return False
        return True
