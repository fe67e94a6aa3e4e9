"""Files as neither dialect alone sees them: attributes, directory entries, changes.

Modes are those of POSIX (type and permission bits), with 9P2000's append-only and exclusive-use bits
beside them. Users are texts; a number becomes its digits, a name that is no number becomes NOBODY. The forms
on the wire are those of `stat_format.py` (9P2000) and `attribute_format.py` (9P2000.L).
"""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.ninep import codec_linux
from garnetlanding.ninep.codec import QTDIR, QTSYMLINK, Qid

Path = tuple[str, ...]
"""The names from an export's root to a file."""

# Bits of a 9P2000 mode, beside the permissions.
DMDIR = 0x80000000
DMAPPEND = 0x40000000
DMEXCL = 0x20000000
DMTMP = 0x04000000
DM_FLAGS = DMAPPEND | DMEXCL | DMTMP

PERM = 0o777
"""The permission bits that both dialects have."""

NOBODY = 65534
"""The number of a user or group whose name is no number."""

_NO_NUMBER = 0xFFFFFFFF
_BAD_NAMES = ("", ".", "..")

# readdir(3)'s types.
DT_DIRECTORY = 4
DT_REGULAR = 8
DT_SYMLINK = 10


@dataclass(frozen=True, slots=True)
class Time:
    """A time since 1970, in seconds and nanoseconds."""

    s: int
    ns: int = 0


@dataclass(frozen=True, slots=True)
class Attr:
    """The attributes of one file.

    `mode` has POSIX's type and permission bits, `flags` DMAPPEND, DMEXCL and DMTMP. `length` is in bytes,
    `blocks` in units of 512 bytes. `valid` has the GETATTR bits of the attributes that hold.
    """

    qid: Qid
    mode: int
    flags: int = 0
    uid: str = ""
    gid: str = ""
    muid: str = ""
    length: int = 0
    atime: Time = Time(0)
    mtime: Time = Time(0)
    ctime: Time = Time(0)
    btime: Time = Time(0)
    nlink: int = 1
    rdev: int = 0
    blksize: int = 4096
    blocks: int = 0
    gen: int = 0
    data_version: int = 0
    valid: int = codec_linux.GETATTR_BASIC


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of a directory.

    `cookie` is where the next one begins; `kind` is readdir(3)'s d_type, 0 where it is unknown; `attr` is
    None where a 9P2000.L server sent the entry.
    """

    name: str
    qid: Qid
    cookie: int
    kind: int = 0
    attr: Attr | None = None


@dataclass(frozen=True, slots=True)
class Changes:
    """What a wstat or a setattr changes; None leaves an attribute as it is.

    `unchangeable` names the fields of a wstat that may not change, but are to.
    """

    name: str | None = None
    perm: int | None = None
    flags: int | None = None
    uid: str | None = None
    gid: str | None = None
    length: int | None = None
    atime: Time | None = None
    mtime: Time | None = None
    unchangeable: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether nothing is to change."""
        return self == Changes()


@dataclass(frozen=True, slots=True)
class Space:
    """The figures of a file system, with the fields of an Rstatfs."""

    type: int
    bsize: int
    blocks: int
    bfree: int
    bavail: int
    files: int
    ffree: int
    fsid: int
    namelen: int


def user_number(name: str) -> int:
    """Return the number of a user or group, NOBODY for a name that is no number."""
    if name.isdigit() and int(name) < _NO_NUMBER:
        return int(name)
    return NOBODY


def good_name(name: str) -> bool:
    """Return whether a new file, or one that is moved, may have this name."""
    return name not in _BAD_NAMES and "/" not in name and "\0" not in name


def d_type(qid: Qid) -> int:
    """Return readdir(3)'s type of a file of which only the qid is known."""
    if qid.type & QTDIR:
        return DT_DIRECTORY
    if qid.type & QTSYMLINK:
        return DT_SYMLINK
    return DT_REGULAR
