"""Errors of both dialects: numbers of 9P2000.L and texts of 9P2000, by one table; the package's exceptions.

A 9P2000 server words its errors as it likes. A text that the table does not have becomes EIO for a 9P2000.L
client, and stays as it is for a 9P2000 client. Numbers are those of Linux, whatever the instance runs on.
"""

from __future__ import annotations

from dataclasses import dataclass

EPERM = 1
ENOENT = 2
EIO = 5
EBADF = 9
EAGAIN = 11
ENOMEM = 12
EACCES = 13
EBUSY = 16
EEXIST = 17
EXDEV = 18
ENODEV = 19
ENOTDIR = 20
EISDIR = 21
EINVAL = 22
EFBIG = 27
ENOSPC = 28
EROFS = 30
EMLINK = 31
ERANGE = 34
ENAMETOOLONG = 36
ENOLCK = 37
ENOSYS = 38
ENOTEMPTY = 39
ELOOP = 40
ENODATA = 61
EPROTO = 71
EOPNOTSUPP = 95
ETIMEDOUT = 110
ESTALE = 116
EDQUOT = 122

# The first text of a number is the one sent in 9P2000; the others are understood as well.
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


class NinepError(Exception):
    """Base of this package's exceptions."""


@dataclass(frozen=True, slots=True)
class Problem:
    """What went wrong with one request, as either dialect can tell it: no exception, but a reply's content.

    `words` is the text for a 9P2000 client; empty: the table's.
    """

    number: int
    words: str = ""

    @property
    def text(self) -> str:
        """The text for a 9P2000 client."""
        return self.words or TEXT_OF.get(self.number, f"error {self.number}")


class OperationFailedError(NinepError):
    """A file server answered with an error, or its dialect cannot express the operation.

    `problem` is passed on to the client: it is an answer, not a fault of the connection.
    """

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.text)
        self.problem = problem


def from_text(ename: str) -> Problem:
    """Return the problem of a 9P2000 error text.

    Servers put a file's name before or behind the text, after a colon: each part is looked up.
    """
    whole_text = ename.strip()
    for part in (whole_text, *whole_text.split(":")):
        number = NUMBER_OF.get(part.strip(" '\"").lower())
        if number is not None:
            return Problem(number, whole_text)
    return Problem(EIO, whole_text)


def from_number(ecode: int) -> Problem:
    """Return the problem of a 9P2000.L error number."""
    if ecode in TEXT_OF:
        return Problem(ecode)
    return Problem(ecode, f"error {ecode}")
