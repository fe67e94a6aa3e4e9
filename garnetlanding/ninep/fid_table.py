"""The fids of one client session by number, and the rules for which message may use which fid."""

from __future__ import annotations

from collections.abc import Mapping

from garnetlanding.limits import Limits
from garnetlanding.ninep import errors
from garnetlanding.ninep.codec import NOFID
from garnetlanding.ninep.fids import Fid, RequestRejectedError
from garnetlanding.ninep.model import Path, is_valid_name
from garnetlanding.ninep.pending import PendingRequest
from garnetlanding.ninep.session import OpenMode
from garnetlanding.runtime.memory import MemoryAccount

FID_BYTES = 512
"""Memory that a fid needs besides its path."""

NAME_BYTES = 64
"""Memory that a name in a path needs besides its characters."""

MAX_FILE_BYTES = 1 << 63
"""The maximum size of a file: file servers store offsets as signed 64-bit integers."""


def check_offset(offset: int, count: int) -> None:
    """Raise RequestRejectedError for a range beyond the maximum file size."""
    if offset + count > MAX_FILE_BYTES:
        raise RequestRejectedError(errors.EINVAL, "illegal offset")


def check_name(name: str) -> None:
    """Raise RequestRejectedError for a name that is not valid for a file."""
    if not is_valid_name(name):
        raise RequestRejectedError(errors.EINVAL, f"illegal name {name!r:.40}")


class FidTable:
    """The fids by number. Every method raises RequestRejectedError if the fid cannot be used as requested."""

    def __init__(self, limits: Limits, pending: Mapping[int, PendingRequest], account: MemoryAccount) -> None:
        """`pending` has the session's requests without a reply, which may reserve numbers or alter fids.

        The fids are charged to `account`.
        """
        self._limits = limits
        self._pending = pending
        self._account = account
        self._charged_bytes: dict[int, int] = {}
        self.by_number: dict[int, Fid] = {}

    def add(self, number: int, fid: Fid) -> None:
        """Add a fid, in place of the one that has the number."""
        self._release(number)
        needed_bytes = FID_BYTES + sum(len(name) + NAME_BYTES for name in fid.path)
        if not self._account.charge(needed_bytes):
            self.by_number.pop(number, None)
            raise RequestRejectedError(errors.ENOMEM, "out of memory")
        self._charged_bytes[number] = needed_bytes
        self.by_number[number] = fid

    def remove(self, number: int) -> Fid:
        """Remove a fid and return it."""
        self._release(number)
        return self.by_number.pop(number)

    def _release(self, number: int) -> None:
        self._account.release(self._charged_bytes.pop(number, 0))

    def check_known(self, number: int) -> None:
        """Check that the fid exists."""
        if number not in self.by_number:
            raise RequestRejectedError(errors.EBADF, "unknown fid")

    def get(self, number: int) -> Fid:
        """Return a fid that no pending message alters."""
        self.check_known(number)
        if any(pending.alters_fid and pending.fid == number for pending in self._pending.values()):
            raise RequestRejectedError(errors.EBADF, "fid is being opened or walked")
        return self.by_number[number]

    def get_open(self, number: int) -> tuple[Fid, OpenMode]:
        """Return an open fid and the mode in which it is open."""
        fid = self.get(number)
        if fid.open_mode is None:
            raise RequestRejectedError(errors.EBADF, "fid not open")
        return fid, fid.open_mode

    def get_unopened(self, number: int) -> Fid:
        """Return a fid that is not open."""
        fid = self.get(number)
        if fid.open_mode is not None:
            raise RequestRejectedError(errors.EBADF, "fid already open")
        return fid

    def get_directory(self, number: int, name: str) -> Fid:
        """Return the fid of a directory in which the entry `name` is to be created, renamed or removed."""
        fid = self.get(number)
        if not fid.is_dir:
            raise RequestRejectedError(errors.ENOTDIR)
        check_name(name)
        return fid

    def check_unused(self, number: int) -> None:
        """Check that a message may create a fid with this number: it must not be in use (walk(5))."""
        reserved = [pending.newfid for pending in self._pending.values() if pending.newfid is not None]
        if number in self.by_number or number in reserved or number == NOFID:
            raise RequestRejectedError(errors.EBADF, "fid already in use")
        if len(self.by_number) + len(reserved) >= self._limits.ninep_fids:
            raise RequestRejectedError(errors.ENOMEM, "too many fids")

    def check_path(self, path: Path) -> None:
        """Check that a path does not exceed the length limits."""
        too_many = len(path) > self._limits.ninep_path_names
        if too_many or sum(map(len, path)) > self._limits.ninep_path_bytes:
            raise RequestRejectedError(errors.ENAMETOOLONG, "path too long")

    def remove_all(self) -> list[Fid]:
        """Empty the table; return the fids that were in it."""
        removed = list(self.by_number.values())
        self.by_number = {}
        self._account.release(sum(self._charged_bytes.values()))
        self._charged_bytes = {}
        return removed
