"""Errors of both dialects, and the exceptions of this package.

9P2000.L reports errors as Linux errno values, 9P2000 as text; one table translates between them. The errno
values are those of Linux on every platform. 9P2000 servers choose their own error texts: one that is not in
the table is passed on unchanged to a 9P2000 client and becomes EIO for a 9P2000.L client.
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

# The first text of an errno is the one sent in 9P2000; the others are recognized in replies of servers.
ERROR_TEXTS: tuple[tuple[int, tuple[str, ...]], ...] = (
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
TEXT_BY_ERRNO = {errno: texts[0] for errno, texts in ERROR_TEXTS}
ERRNO_BY_TEXT = {text: errno for errno, texts in ERROR_TEXTS for text in texts}


class NinepError(Exception):
    """Base class of this package's exceptions."""


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """The content of an error reply, independent of the dialect.

    `custom_text` is the text for a 9P2000 client; if empty, the text of the errno in the table is used.
    """

    errno: int
    custom_text: str = ""

    @property
    def text(self) -> str:
        """The error text for a 9P2000 client."""
        return self.custom_text or TEXT_BY_ERRNO.get(self.errno, f"error {self.errno}")


class OperationFailedError(NinepError):
    """A file server replied with an error, or its dialect cannot express the operation.

    `error_reply` is passed on to the client: it is a valid reply, not a failure of the connection.
    """

    def __init__(self, error_reply: ErrorReply) -> None:
        super().__init__(error_reply.text)
        self.error_reply = error_reply


def reply_from_text(ename: str) -> ErrorReply:
    """Return the error reply for a 9P2000 error text.

    Servers add a file name before or after the text, separated by a colon, so each part is looked up.
    """
    whole_text = ename.strip()
    for part in (whole_text, *whole_text.split(":")):
        errno = ERRNO_BY_TEXT.get(part.strip(" '\"").lower())
        if errno is not None:
            return ErrorReply(errno, whole_text)
    return ErrorReply(EIO, whole_text)


def reply_from_errno(ecode: int) -> ErrorReply:
    """Return the error reply for a 9P2000.L error number."""
    if ecode in TEXT_BY_ERRNO:
        return ErrorReply(ecode)
    return ErrorReply(ecode, f"error {ecode}")
