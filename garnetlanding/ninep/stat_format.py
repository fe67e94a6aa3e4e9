"""The 9P2000 stat structure (stat(5)): attributes in Rstat and directories, requested changes in Twstat."""

from __future__ import annotations

import stat
import struct
from dataclasses import dataclass, replace

from garnetlanding.ninep.codec import QTAPPEND, QTDIR, QTEXCL, QTTMP, Qid
from garnetlanding.ninep.model import (
    DM_FLAGS,
    DMDIR,
    PERMISSION_BITS,
    AttributeChanges,
    FileAttributes,
    Timestamp,
)
from garnetlanding.ninep.wire_format import FieldReader, pack_field

# Values of integer fields that a wstat leaves unchanged, by field size.
UNCHANGED_U8 = 0xFF
UNCHANGED_U16 = 0xFFFF
UNCHANGED_U32 = 0xFFFFFFFF
UNCHANGED_U64 = 0xFFFFFFFFFFFFFFFF

PLAIN_QID_TYPE_BITS = QTDIR | QTAPPEND | QTEXCL | QTTMP
"""The qid type bits that exist in 9P2000."""

STAT_FIXED_FIELDS = struct.Struct("<HHIBIQIIIQ")
"""size, type, dev, qid (3 fields), mode, atime, mtime, length; the strings follow."""

STAT_FIELD_CODES = "24q4448ssss"
"""The fields after the size, in the codes of `wire_format.MessageLayout`."""

MIN_STAT_BYTES = STAT_FIXED_FIELDS.size + 4 * 2
"""The size of a stat whose four strings are empty: each has a length prefix of two bytes."""


@dataclass(frozen=True, slots=True)
class RawStat:
    """The fields of a 9P2000 stat as transmitted; in a wstat, UNCHANGED_* values mark unchanged fields."""

    type: int
    dev: int
    qid: Qid
    mode: int
    atime: int
    mtime: int
    length: int
    name: str
    uid: str
    gid: str
    muid: str


def pack_stat(name: str, attr: FileAttributes) -> bytes:
    """Encode a 9P2000 stat, including its size field. Times after 2106 are clamped to the 32-bit maximum."""
    strings = b"".join(pack_field("s", text) for text in (name, attr.uid, attr.gid, attr.muid))
    qid = plain_qid(attr.qid)
    return (
        STAT_FIXED_FIELDS.pack(
            STAT_FIXED_FIELDS.size - 2 + len(strings),
            0,
            0,
            qid.type,
            qid.version,
            qid.path,
            plain_mode(attr),
            min(attr.atime.seconds, UNCHANGED_U32 - 1),
            min(attr.mtime.seconds, UNCHANGED_U32 - 1),
            0 if qid.type & QTDIR else attr.length,
        )
        + strings
    )


def read_stat(reader: FieldReader) -> RawStat:
    """Consume one stat. Raises ValueError if it is truncated or its size field is wrong."""
    size = reader.read_int(2)
    left_before = reader.remaining
    values = [reader.read_field(code) for code in STAT_FIELD_CODES]
    if left_before - reader.remaining != size:
        raise ValueError("stat of another size than it says")
    return RawStat(*values)


def parse_stat(data: bytes) -> RawStat:
    """Decode bytes that hold exactly one stat. Raises ValueError for anything else."""
    reader = FieldReader(data)
    raw = read_stat(reader)
    reader.expect_end()
    return raw


def attr_from_stat(raw: RawStat) -> FileAttributes:
    """Return the attributes of a stat; those that 9P2000 does not have are derived from the others."""
    file_type = stat.S_IFDIR if raw.mode & DMDIR else stat.S_IFREG
    mtime = Timestamp(raw.mtime)
    return FileAttributes(
        raw.qid,
        file_type | raw.mode & PERMISSION_BITS,
        raw.mode & DM_FLAGS,
        raw.uid,
        raw.gid,
        raw.muid,
        raw.length,
        Timestamp(raw.atime),
        mtime,
        ctime=mtime,
        nlink=2 if raw.mode & DMDIR else 1,
        blocks=-(-raw.length // 512),
    )


def changes_from_stat(raw: RawStat) -> AttributeChanges:
    """Return the changes that a wstat requests. Only name, mode, length, mtime, gid may change (stat(5))."""
    is_unchanged = {
        "type": raw.type == UNCHANGED_U16,
        "dev": raw.dev == UNCHANGED_U32,
        "qid": raw.qid == Qid(UNCHANGED_U8, UNCHANGED_U32, UNCHANGED_U64),
        "atime": raw.atime == UNCHANGED_U32,
        "uid": not raw.uid,
        "muid": not raw.muid,
    }
    mode_unchanged = raw.mode == UNCHANGED_U32
    return AttributeChanges(
        name=raw.name or None,
        perm=None if mode_unchanged else raw.mode & PERMISSION_BITS,
        flags=None if mode_unchanged else raw.mode & (DM_FLAGS | DMDIR),
        gid=raw.gid or None,
        length=None if raw.length == UNCHANGED_U64 else raw.length,
        mtime=None if raw.mtime == UNCHANGED_U32 else Timestamp(raw.mtime),
        unchangeable=tuple(name for name, unchanged in is_unchanged.items() if not unchanged),
    )


def pack_wstat(changes: AttributeChanges, is_dir: bool) -> bytes:
    """Encode the stat of a wstat that makes these changes.

    A new owner or access time cannot be expressed and is ignored: the caller has to reject such changes.
    """
    mode = UNCHANGED_U32
    if changes.perm is not None:
        mode = changes.perm & PERMISSION_BITS | (changes.flags or 0) | (DMDIR if is_dir else 0)
    strings = b"".join(pack_field("s", text) for text in (changes.name or "", "", changes.gid or "", ""))
    return (
        STAT_FIXED_FIELDS.pack(
            STAT_FIXED_FIELDS.size - 2 + len(strings),
            UNCHANGED_U16,
            UNCHANGED_U32,
            UNCHANGED_U8,
            UNCHANGED_U32,
            UNCHANGED_U64,
            mode,
            UNCHANGED_U32,
            UNCHANGED_U32 if changes.mtime is None else changes.mtime.seconds,
            UNCHANGED_U64 if changes.length is None else changes.length,
        )
        + strings
    )


def plain_mode(attr: FileAttributes) -> int:
    """Return the mode field of a 9P2000 stat: permissions and DM bits."""
    return attr.mode & PERMISSION_BITS | attr.flags | (DMDIR if stat.S_ISDIR(attr.mode) else 0)


def plain_qid(qid: Qid) -> Qid:
    """Return the qid without the type bits that do not exist in 9P2000."""
    if not qid.type & ~PLAIN_QID_TYPE_BITS:
        return qid
    return replace(qid, type=qid.type & PLAIN_QID_TYPE_BITS)
