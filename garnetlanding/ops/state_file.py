"""The state's file: replaced whole and flushed, so that a crash at any moment leaves the old or the new."""

from __future__ import annotations

import fcntl
import logging
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from garnetlanding.ops.admin_state import AdminState, AdminStateError, decode, encode
from garnetlanding.runtime.files import file_name, replace_whole

log = logging.getLogger(__name__)


class StateFile:
    """`name` is the head's: a file of another head is not taken."""

    def __init__(self, folder: str, name: str) -> None:
        self._path = os.path.join(folder, file_name(name, "operators.json"))
        self._name = name
        self._seen: tuple[int, int, int] | None = None

    def load(self) -> AdminState:
        """What stands there. A file that cannot be used is named in the log, and nothing is taken from it."""
        self._seen = self._stamp()
        try:
            with open(self._path, "rb") as file:
                return decode(self._name, file.read())
        except FileNotFoundError:
            return AdminState()
        except (OSError, AdminStateError) as problem:
            log.error("state file not taken", extra={"kv": {"path": self._path, "why": problem}})
            return AdminState()

    def news(self) -> AdminState | None:
        """The state, where somebody has written it since it was last looked at."""
        return None if self._stamp() == self._seen else self.load()

    def change(self, how: Callable[[AdminState], AdminState]) -> AdminState:
        """Makes the change to what stands there, durably, and gives back what then stands. Raises OSError."""
        with self._alone():
            old = self.load()
            new = how(old)
            if new != old:
                replace_whole(self._path, encode(self._name, new))
            self._seen = self._stamp()
            return new

    def _stamp(self) -> tuple[int, int, int] | None:
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return found.st_ino, found.st_mtime_ns, found.st_size

    @contextmanager
    def _alone(self) -> Iterator[None]:
        """The other process of an upgrade makes its changes before or after, never in between."""
        lock = os.open(self._path + ".lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX)
            yield
        finally:
            os.close(lock)
