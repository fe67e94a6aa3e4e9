"""The file of the administrative state: replaced as a whole, under a lock, so that no change is lost.

Two processes of one instance share it while a new version takes over. Each change is therefore applied to
what the file holds at that moment, and each process looks for the other's changes.
"""

from __future__ import annotations

import fcntl
import logging
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from garnetlanding.ops.admin_state import AdminState, decode, encode
from garnetlanding.ops.errors import AdminStateError
from garnetlanding.runtime.files import file_name, replace_whole

log = logging.getLogger(__name__)


class FileStamp(NamedTuple):
    """What tells one content of the file from the next. Each replacement is another inode."""

    inode: int
    modified_ns: int
    size: int


class StateFile:
    """The state file of the instance `name` in `folder`; another instance's file there has another name."""

    def __init__(self, folder: str, name: str) -> None:
        self._path = os.path.join(folder, file_name(name, "operators.json"))
        self._name = name
        self._seen: FileStamp | None = None  # of the content that was last loaded or written

    def load(self) -> AdminState:
        """Return the stored state, or an empty one where there is none.

        A file that cannot be used is named in the log and counts as empty: the instance must start.
        """
        self._seen = self._stamp()
        try:
            with open(self._path, "rb") as file:
                return decode(self._name, file.read())
        except FileNotFoundError:
            return AdminState()
        except (OSError, AdminStateError) as problem:
            log.error("state file rejected", extra={"kv": {"path": self._path, "why": problem}})
            return AdminState()

    def load_if_changed(self) -> AdminState | None:
        """Return the state where another process has written it since the last look, else None."""
        return None if self._stamp() == self._seen else self.load()

    def update(self, change: Callable[[AdminState], AdminState]) -> AdminState:
        """Apply a change to the stored state, durably, and return the result.

        Raises OSError where it cannot be stored, and whatever `change` raises; the old state then stands.
        """
        with self._exclusive_lock():
            old = self.load()
            new = change(old)
            if new != old:
                replace_whole(self._path, encode(self._name, new))
            self._seen = self._stamp()
            return new

    def _stamp(self) -> FileStamp | None:
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return FileStamp(status.st_ino, status.st_mtime_ns, status.st_size)

    @contextmanager
    def _exclusive_lock(self) -> Iterator[None]:
        """Keep the other process's changes before or after this one's, never between its read and write.

        The lock is on a file of its own: the state file itself is replaced.
        """
        lock = os.open(self._path + ".lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield
        finally:
            os.close(lock)
