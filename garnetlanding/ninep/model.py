"""Dialect-independent types for files: attributes, directory entries, attribute changes.

Modes are POSIX modes (type and permission bits); 9P2000's append-only and exclusive-use bits are kept in a
separate field. Users and groups are strings: a numeric id is written in decimal, and a name that is not a
number becomes NOBODY_ID where a numeric id is needed. `stat_format.py` (9P2000) and `attribute_format.py`
(9P2000.L) encode these types.
"""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.ninep import codec_linux
from garnetlanding.ninep.codec import QTDIR, QTSYMLINK, Qid

Path = tuple[str, ...]
"""The names on the way from an export's root to a file."""

# Bits of a 9P2000 mode besides the permissions.
DMDIR = 0x80000000
DMAPPEND = 0x40000000
DMEXCL = 0x20000000
DMTMP = 0x04000000
DM_FLAGS = DMAPPEND | DMEXCL | DMTMP

PERMISSION_BITS = 0o777
"""The permission bits that exist in both dialects."""

NOBODY_ID = 65534
"""The numeric id of a user or group whose name is not a number."""

_INVALID_ID = 0xFFFFFFFF
_RESERVED_NAMES = ("", ".", "..")

# Values of d_type in readdir(3).
DT_DIR = 4
DT_REG = 8
DT_LNK = 10


@dataclass(frozen=True, slots=True)
class Timestamp:
    """A time since 1970-01-01 UTC."""

    seconds: int
    nanoseconds: int = 0


@dataclass(frozen=True, slots=True)
class FileAttributes:
    """The attributes of one file.

    `mode` holds the POSIX type and permission bits, `flags` DMAPPEND, DMEXCL and DMTMP. `length` is in bytes,
    `blocks` in units of 512 bytes. `valid` holds the GETATTR bits of the attributes that are set.
    """

    qid: Qid
    mode: int
    flags: int = 0
    uid: str = ""
    gid: str = ""
    muid: str = ""
    length: int = 0
    atime: Timestamp = Timestamp(0)
    mtime: Timestamp = Timestamp(0)
    ctime: Timestamp = Timestamp(0)
    btime: Timestamp = Timestamp(0)
    nlink: int = 1
    rdev: int = 0
    blksize: int = 4096
    blocks: int = 0
    gen: int = 0
    data_version: int = 0
    valid: int = codec_linux.GETATTR_BASIC


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """One entry of a directory.

    `cookie` is the position of the next entry; `d_type` is as in readdir(3), 0 if unknown; `attr` is None
    for an entry from a 9P2000.L server.
    """

    name: str
    qid: Qid
    cookie: int
    d_type: int = 0
    attr: FileAttributes | None = None


@dataclass(frozen=True, slots=True)
class AttributeChanges:
    """The changes of a wstat or a setattr; None leaves an attribute unchanged.

    `unchangeable` names the fields that a wstat requests to change although the protocol forbids it.
    """

    name: str | None = None
    perm: int | None = None
    flags: int | None = None
    uid: str | None = None
    gid: str | None = None
    length: int | None = None
    atime: Timestamp | None = None
    mtime: Timestamp | None = None
    unchangeable: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether no attribute changes."""
        return self == AttributeChanges()


@dataclass(frozen=True, slots=True)
class FileSystemStats:
    """Statistics of a file system; the fields are those of Rstatfs."""

    type: int
    bsize: int
    blocks: int
    bfree: int
    bavail: int
    files: int
    ffree: int
    fsid: int
    namelen: int


def numeric_id(name: str) -> int:
    """Return the numeric id of a user or group, NOBODY_ID for a name that is not a number."""
    if name.isdigit() and int(name) < _INVALID_ID:
        return int(name)
    return NOBODY_ID


def is_valid_name(name: str) -> bool:
    """Return whether a file may be created with this name, or renamed to it."""
    return name not in _RESERVED_NAMES and "/" not in name and "\0" not in name


def dirent_type(qid: Qid) -> int:
    """Return the d_type (readdir(3)) that the type bits of a qid imply."""
    if qid.type & QTDIR:
        return DT_DIR
    if qid.type & QTSYMLINK:
        return DT_LNK
    return DT_REG
