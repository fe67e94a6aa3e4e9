"""The stat of 9P2000 (stat(5)): attributes in an Rstat and in directories, changes in a Twstat."""

from __future__ import annotations

import stat
import struct
from dataclasses import dataclass, replace

from garnetlanding.ninep.codec import QTAPPEND, QTDIR, QTEXCL, QTTMP, Qid
from garnetlanding.ninep.model import DM_FLAGS, DMDIR, PERM, Attr, Changes, Time
from garnetlanding.ninep.wire_format import FieldReader, pack_field

# In a wstat: leave this field, of so many bytes, as it is.
KEEP1 = 0xFF
KEEP2 = 0xFFFF
KEEP4 = 0xFFFFFFFF
KEEP8 = 0xFFFFFFFFFFFFFFFF

PLAIN_QID = QTDIR | QTAPPEND | QTEXCL | QTTMP
"""The type bits of a qid that 9P2000 has."""

STAT_HEAD = struct.Struct("<HHIBIQIIIQ")
"""size, type, dev, qid (3), mode, atime, mtime, length; the texts follow."""

STAT_KINDS = "24q4448ssss"
"""The fields behind the size, as `wire_format.MessageLayout` names their kinds."""

STAT_FIXED_BYTES = STAT_HEAD.size + 4 * 2
"""The size of a stat whose four texts are empty: each has a count of two bytes."""


@dataclass(frozen=True, slots=True)
class RawStat:
    """The fields of a 9P2000 stat as they were sent: a wstat has KEEP4 or KEEP8 for what is to stay."""

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


def pack_stat(name: str, attr: Attr) -> bytes:
    """Return a 9P2000 stat with its size in front. Times past 2106 become the last that 32 bits hold."""
    texts = b"".join(pack_field("s", text) for text in (name, attr.uid, attr.gid, attr.muid))
    qid = plain_qid(attr.qid)
    return (
        STAT_HEAD.pack(
            STAT_HEAD.size - 2 + len(texts),
            0,
            0,
            qid.type,
            qid.version,
            qid.path,
            dm_mode(attr),
            min(attr.atime.s, KEEP4 - 1),
            min(attr.mtime.s, KEEP4 - 1),
            0 if qid.type & QTDIR else attr.length,
        )
        + texts
    )


def read_stat(reader: FieldReader) -> RawStat:
    """Take one stat. Raises ValueError when it is cut short or does not have the size that it states."""
    size = reader.read_int(2)
    left_before = reader.remaining
    values = [reader.read_field(kind) for kind in STAT_KINDS]
    if left_before - reader.remaining != size:
        raise ValueError("stat of another size than it says")
    return RawStat(*values)


def parse_stat(data: bytes) -> RawStat:
    """Return the one stat that the bytes hold. Raises ValueError for anything else."""
    reader = FieldReader(data)
    raw = read_stat(reader)
    reader.expect_end()
    return raw


def raw_attr(raw: RawStat) -> Attr:
    """Return the attributes of a stat, with what 9P2000 does not have made up."""
    file_type = stat.S_IFDIR if raw.mode & DMDIR else stat.S_IFREG
    mtime = Time(raw.mtime)
    return Attr(
        raw.qid,
        file_type | raw.mode & PERM,
        raw.mode & DM_FLAGS,
        raw.uid,
        raw.gid,
        raw.muid,
        raw.length,
        Time(raw.atime),
        mtime,
        ctime=mtime,
        nlink=2 if raw.mode & DMDIR else 1,
        blocks=-(-raw.length // 512),
    )


def raw_changes(raw: RawStat) -> Changes:
    """Return what a wstat asks for. Only name, mode, length, mtime and gid may change (stat(5))."""
    is_kept = {
        "type": raw.type == KEEP2,
        "dev": raw.dev == KEEP4,
        "qid": raw.qid == Qid(KEEP1, KEEP4, KEEP8),
        "atime": raw.atime == KEEP4,
        "uid": not raw.uid,
        "muid": not raw.muid,
    }
    keeps_mode = raw.mode == KEEP4
    return Changes(
        name=raw.name or None,
        perm=None if keeps_mode else raw.mode & PERM,
        flags=None if keeps_mode else raw.mode & (DM_FLAGS | DMDIR),
        gid=raw.gid or None,
        length=None if raw.length == KEEP8 else raw.length,
        mtime=None if raw.mtime == KEEP4 else Time(raw.mtime),
        unchangeable=tuple(name for name, kept in is_kept.items() if not kept),
    )


def pack_changes(changes: Changes, is_dir: bool) -> bytes:
    """Return the stat of a wstat that makes these changes.

    What it cannot express, an owner or an access time, is left out: the caller has to reject that.
    """
    mode = KEEP4
    if changes.perm is not None:
        mode = changes.perm & PERM | (changes.flags or 0) | (DMDIR if is_dir else 0)
    texts = b"".join(pack_field("s", text) for text in (changes.name or "", "", changes.gid or "", ""))
    return (
        STAT_HEAD.pack(
            STAT_HEAD.size - 2 + len(texts),
            KEEP2,
            KEEP4,
            KEEP1,
            KEEP4,
            KEEP8,
            mode,
            KEEP4,
            KEEP4 if changes.mtime is None else changes.mtime.s,
            KEEP8 if changes.length is None else changes.length,
        )
        + texts
    )


def dm_mode(attr: Attr) -> int:
    """Return the mode as a 9P2000 stat has it."""
    return attr.mode & PERM | attr.flags | (DMDIR if stat.S_ISDIR(attr.mode) else 0)


def plain_qid(qid: Qid) -> Qid:
    """Return the qid without the type bits that 9P2000 does not have."""
    if not qid.type & ~PLAIN_QID:
        return qid
    return replace(qid, type=qid.type & PLAIN_QID)
