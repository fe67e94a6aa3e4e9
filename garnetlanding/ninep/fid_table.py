"""The fids of one client session by number, and the rules on which message may use which of them."""

from __future__ import annotations

from collections.abc import Mapping

from garnetlanding.limits import Limits
from garnetlanding.ninep import errors
from garnetlanding.ninep.codec import NOFID
from garnetlanding.ninep.fids import Fid, RequestRejectedError
from garnetlanding.ninep.model import Path, is_valid_name
from garnetlanding.ninep.pending import PendingRequest
from garnetlanding.ninep.session import OpenMode

OFFSET_END = 1 << 63
"""The end of all files: file servers keep offsets in signed numbers of eight bytes."""


def check_offset(offset: int, count: int) -> None:
    """Raise RequestRejectedError for a range that no file can have."""
    if offset + count > OFFSET_END:
        raise RequestRejectedError(errors.EINVAL, "illegal offset")


def check_name(name: str) -> None:
    """Raise RequestRejectedError for a name that a file cannot be given."""
    if not is_valid_name(name):
        raise RequestRejectedError(errors.EINVAL, f"illegal name {name!r:.40}")


class FidTable:
    """Every method raises RequestRejectedError where the fid cannot be used as the message asks."""

    def __init__(self, limits: Limits, pending: Mapping[int, PendingRequest]) -> None:
        """`pending`: the session's requests without a reply, which reserve numbers and may alter fids."""
        self._limits = limits
        self._pending = pending
        self.by_number: dict[int, Fid] = {}

    def check_known(self, number: int) -> None:
        """Check that there is such a fid."""
        if number not in self.by_number:
            raise RequestRejectedError(errors.EBADF, "unknown fid")

    def get(self, number: int) -> Fid:
        """Return a fid that no pending message is about to alter."""
        self.check_known(number)
        if any(pending.alters_fid and pending.fid == number for pending in self._pending.values()):
            raise RequestRejectedError(errors.EBADF, "fid is being opened or walked")
        return self.by_number[number]

    def get_open(self, number: int) -> tuple[Fid, OpenMode]:
        """Return an open fid, and how it is open."""
        fid = self.get(number)
        if fid.open_mode is None:
            raise RequestRejectedError(errors.EBADF, "fid not open")
        return fid, fid.open_mode

    def get_unopened(self, number: int) -> Fid:
        """Return a fid that is not open yet."""
        fid = self.get(number)
        if fid.open_mode is not None:
            raise RequestRejectedError(errors.EBADF, "fid already open")
        return fid

    def get_directory(self, number: int, name: str) -> Fid:
        """Return the fid of a directory in which `name` is to be made, moved or removed."""
        fid = self.get(number)
        if not fid.is_dir:
            raise RequestRejectedError(errors.ENOTDIR)
        check_name(name)
        return fid

    def check_unused(self, number: int) -> None:
        """Check that a message may make a fid of this number, which must not be in use (walk(5))."""
        reserved = [pending.newfid for pending in self._pending.values() if pending.newfid is not None]
        if number in self.by_number or number in reserved or number == NOFID:
            raise RequestRejectedError(errors.EBADF, "fid already in use")
        if len(self.by_number) + len(reserved) >= self._limits.ninep_fids:
            raise RequestRejectedError(errors.ENOMEM, "too many fids")

    def check_path(self, path: Path) -> None:
        """Check that a path is not longer than a fid's may be."""
        too_many = len(path) > self._limits.ninep_path_names
        if too_many or sum(map(len, path)) > self._limits.ninep_path_bytes:
            raise RequestRejectedError(errors.ENAMETOOLONG, "path too long")

    def remove_all(self) -> list[Fid]:
        """Empty the table; return what was in it."""
        removed = list(self.by_number.values())
        self.by_number = {}
        return removed
