"""Errors of both dialects: numbers of 9P2000.L and texts of 9P2000, by one table.

A 9P2000 server words its errors as it likes; what the table does not know becomes EIO for a Linux client,
and keeps its words for a 9P2000 client. Numbers are those of Linux, whatever the head runs on.
"""

from __future__ import annotations

from dataclasses import dataclass

EPERM, ENOENT, EIO, EBADF, EAGAIN, ENOMEM, EACCES, EBUSY, EEXIST = 1, 2, 5, 9, 11, 12, 13, 16, 17
EXDEV, ENODEV, ENOTDIR, EISDIR, EINVAL, EFBIG, ENOSPC, EROFS, EMLINK = 18, 19, 20, 21, 22, 27, 28, 30, 31
ERANGE, ENAMETOOLONG, ENOLCK, ENOSYS, ENOTEMPTY, ELOOP, ENODATA = 34, 36, 37, 38, 39, 40, 61
EPROTO, EOPNOTSUPP, ETIMEDOUT, ESTALE, EDQUOT = 71, 95, 110, 116, 122

# The first text of a number is how it is told in 9P2000; the others are understood as well.
TEXTS: tuple[tuple[int, tuple[str, ...]], ...] = (
    (EPERM, ("operation not permitted", "not owner", "wstat prohibited")),
    (
        ENOENT,
        (
            "file does not exist",
            "no such file or directory",
            "file not found",
            "not found",
            "directory entry not found",
        ),
    ),
    (EIO, ("i/o error", "input/output error")),
    (EBADF, ("unknown fid", "bad file descriptor", "fid not open", "bad use of fid", "file not open")),
    (EAGAIN, ("busy", "resource temporarily unavailable")),
    (ENOMEM, ("out of memory", "cannot allocate memory")),
    (EACCES, ("permission denied", "access denied", "mount/attach disallowed")),
    (EBUSY, ("exclusive use file already open", "file is busy", "file in use", "device or resource busy")),
    (EEXIST, ("file already exists", "file exists", "create prohibited: file exists")),
    (EXDEV, ("cannot rename across directories", "invalid cross-device link")),
    (ENODEV, ("no such device",)),
    (ENOTDIR, ("not a directory",)),
    (EISDIR, ("file is a directory", "is a directory")),
    (
        EINVAL,
        (
            "invalid argument",
            "bad arg in system call",
            "bad offset in directory read",
            "illegal offset",
            "illegal name",
            "negative i/o offset",
        ),
    ),
    (EFBIG, ("file too large", "file too big")),
    (ENOSPC, ("no space left on device", "file system full", "disk full")),
    (EROFS, ("read-only file system", "file system read only", "file is read only")),
    (EMLINK, ("too many links",)),
    (ERANGE, ("numerical result out of range",)),
    (ENAMETOOLONG, ("file name too long", "path too long", "name too long")),
    (ENOLCK, ("no locks available",)),
    (ENOSYS, ("function not implemented",)),
    (ENOTEMPTY, ("directory not empty", "directory is not empty")),
    (ELOOP, ("too many levels of symbolic links",)),
    (ENODATA, ("no data available",)),
    (EPROTO, ("protocol error", "protocol botch")),
    (EOPNOTSUPP, ("operation not supported", "not supported")),
    (ETIMEDOUT, ("connection timed out", "timed out")),
    (ESTALE, ("stale file handle", "file was replaced by another", "phase error -- file removed")),
    (EDQUOT, ("disk quota exceeded",)),
)
TEXT_OF = {number: texts[0] for number, texts in TEXTS}
NUMBER_OF = {text: number for number, texts in TEXTS for text in texts}


@dataclass(frozen=True, slots=True)
class Problem:
    """What went wrong with one request, as either dialect can tell it."""

    number: int
    words: str = ""  # empty: as the table has it

    @property
    def text(self) -> str:
        return self.words or TEXT_OF.get(self.number, f"error {self.number}")


def from_text(ename: str) -> Problem:
    """Servers put a file's name before or behind the text, after a colon: each part is looked up."""
    whole = ename.strip()
    for part in (whole, *whole.split(":")):
        if (number := NUMBER_OF.get(part.strip(" '\"").lower())) is not None:
            return Problem(number, whole)
    return Problem(EIO, whole)


def from_number(ecode: int) -> Problem:
    return Problem(ecode) if ecode in TEXT_OF else Problem(ecode, f"error {ecode}")
