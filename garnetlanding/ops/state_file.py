"""The file of the administrative state, replaced atomically and under a lock, so that no change is lost.

The two processes of an upgrade share the file. Each change is therefore applied to the file's current
content, and each process regularly checks for changes made by the other.
"""

from __future__ import annotations

import fcntl
import logging
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

from garnetlanding.ops.admin_state import AdminState, decode, encode
from garnetlanding.ops.errors import AdminStateError
from garnetlanding.runtime.files import instance_file_name, write_atomically

log = logging.getLogger(__name__)


class FileStamp(NamedTuple):
    """Identifies one version of the file's content: each replacement has another inode."""

    inode: int
    modified_ns: int
    size: int


class StateFile:
    """The state file of the instance `name` in `folder`, which instances may share."""

    def __init__(self, folder: str, name: str) -> None:
        self._path = Path(folder) / instance_file_name(name, "operators.json")
        self._name = name
        self._last_stamp: FileStamp | None = None  # of the content that was last loaded or written

    def load(self) -> AdminState:
        """Return the stored state, or an empty one if there is none.

        An unusable file is logged and treated as empty, since the instance must start.
        """
        self._last_stamp = self._stamp()
        try:
            return decode(self._name, self._path.read_bytes())
        except FileNotFoundError:
            return AdminState()
        except (OSError, AdminStateError) as error:
            log.error(  # noqa: TRY400 - the error text is complete without a traceback
                "state file rejected", extra={"kv": {"path": self._path, "why": error}}
            )
            return AdminState()

    def load_if_changed(self) -> AdminState | None:
        """Return the stored state if another process has changed it since the last read or write."""
        return None if self._stamp() == self._last_stamp else self.load()

    def update(self, change: Callable[[AdminState], AdminState]) -> AdminState:
        """Apply a change to the stored state, durably, and return the result.

        Raises OSError if the result cannot be stored, and whatever `change` raises; the file then keeps the
        old state.
        """
        with self._exclusive_lock():
            old = self.load()
            new = change(old)
            if new != old:
                write_atomically(self._path, encode(self._name, new))
            self._last_stamp = self._stamp()
            return new

    def _stamp(self) -> FileStamp | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return FileStamp(status.st_ino, status.st_mtime_ns, status.st_size)

    @contextmanager
    def _exclusive_lock(self) -> Iterator[None]:
        """Block the other process's updates from this process's read until its write.

        The lock is on a separate file, since the state file itself is replaced.
        """
        lock = os.open(f"{self._path}.lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield
        finally:
            os.close(lock)
