"""Files as neither dialect alone sees them: attributes, entries, wanted changes, and their forms in each.

Modes are those of POSIX (type and permission bits), with 9P2000's append-only and exclusive-use bits
beside them. Users are texts; a number becomes its digits, a name that is no number becomes NOBODY.
"""

from __future__ import annotations

import stat
import struct
from dataclasses import dataclass, replace

from garnetlanding.ninep import codec_linux
from garnetlanding.ninep.codec import (
    QTAPPEND,
    QTDIR,
    QTEXCL,
    QTTMP,
    Qid,
    Reader,
    pack,
)

Path = tuple[str, ...]

DMDIR, DMAPPEND, DMEXCL, DMTMP = 0x80000000, 0x40000000, 0x20000000, 0x04000000
DM_FLAGS = DMAPPEND | DMEXCL | DMTMP
PERM = 0o777
NOBODY = 65534
KEEP4, KEEP8 = 0xFFFFFFFF, 0xFFFFFFFFFFFFFFFF  # 'leave alone' in a wstat
PLAIN_QID = QTDIR | QTAPPEND | QTEXCL | QTTMP  # the bits that 9P2000 knows
STAT_HEAD = struct.Struct("<HHIBIQIIIQ")  # size type dev qid mode atime mtime length; the texts follow
STAT_FIXED_BYTES = STAT_HEAD.size + 4 * 2  # a 9P2000 stat without its four texts, but with their counts
BAD_NAMES = ("", ".", "..")


@dataclass(frozen=True, slots=True)
class Time:
    s: int
    ns: int = 0


@dataclass(frozen=True, slots=True)
class Attr:
    """What is known of one file. `valid` says which of it, as a getattr's mask does."""

    qid: Qid
    mode: int
    flags: int = 0  # DMAPPEND, DMEXCL, DMTMP
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
    """One entry of a directory. `cookie` is where the next one begins; Linux servers tell no attributes."""

    name: str
    qid: Qid
    cookie: int
    kind: int = 0  # as readdir(3)'s d_type
    attr: Attr | None = None


@dataclass(frozen=True, slots=True)
class Changes:
    """What a wstat or a setattr wants; None leaves alone."""

    name: str | None = None
    perm: int | None = None
    flags: int | None = None
    uid: str | None = None
    gid: str | None = None
    length: int | None = None
    atime: Time | None = None
    mtime: Time | None = None
    unchangeable: tuple[str, ...] = ()  # fields that no wstat may change, and this one names

    @property
    def is_empty(self) -> bool:
        return self == Changes()


@dataclass(frozen=True, slots=True)
class Space:
    """A statfs, field by field as 9P2000.L has it."""

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
    return int(name) if name.isdigit() and int(name) < KEEP4 else NOBODY


def good_name(name: str) -> bool:
    """A name that a new file, or one that is moved, may have."""
    return name not in BAD_NAMES and "/" not in name and "\0" not in name


def dm_mode(attr: Attr) -> int:
    """The mode as a 9P2000 stat has it."""
    return attr.mode & PERM | attr.flags | (DMDIR if stat.S_ISDIR(attr.mode) else 0)


def plain_qid(qid: Qid) -> Qid:
    return qid if not qid.type & ~PLAIN_QID else replace(qid, type=qid.type & PLAIN_QID)


def d_type(qid: Qid) -> int:
    """readdir(3)'s type of a file of which no more than the qid is known."""
    return 4 if qid.type & QTDIR else 10 if qid.type & 0x02 else 8


def pack_stat(name: str, attr: Attr) -> bytes:
    """A 9P2000 stat with its size in front. Times past 2106 are cut to what 32 bits hold."""
    texts = b"".join(pack("s", text) for text in (name, attr.uid, attr.gid, attr.muid))
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


@dataclass(frozen=True, slots=True)
class RawStat:
    """A 9P2000 stat as it stands, KEEP values and all."""

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


def read_stat(reader: Reader) -> RawStat:
    """Takes one stat. Raises ValueError when it is cut short or its size is not its own."""
    size = reader.number(2)
    before = reader.left
    kinds = "24q4448ssss"
    values = [reader.value(kind) for kind in kinds]
    if before - reader.left != size:
        raise ValueError("stat of another size than it says")
    return RawStat(*values)


def parse_stat(data: bytes) -> RawStat:
    """One stat and nothing behind it. Raises ValueError."""
    reader = Reader(data)
    raw = read_stat(reader)
    reader.end()
    return raw


def raw_attr(raw: RawStat) -> Attr:
    kind = stat.S_IFDIR if raw.mode & DMDIR else stat.S_IFREG
    mtime = Time(raw.mtime)
    return Attr(
        raw.qid,
        kind | raw.mode & PERM,
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
    """What a wstat asks for. Only name, mode, length, mtime and gid may change (stat(5))."""
    unchangeable = [
        field
        for field, kept in (
            ("type", raw.type == 0xFFFF),
            ("dev", raw.dev == KEEP4),
            ("qid", raw.qid == Qid(0xFF, KEEP4, KEEP8)),
            ("atime", raw.atime == KEEP4),
            ("uid", not raw.uid),
            ("muid", not raw.muid),
        )
        if not kept
    ]
    keep_mode = raw.mode == KEEP4
    return Changes(
        name=raw.name or None,
        perm=None if keep_mode else raw.mode & PERM,
        flags=None if keep_mode else raw.mode & (DM_FLAGS | DMDIR),
        gid=raw.gid or None,
        length=None if raw.length == KEEP8 else raw.length,
        mtime=None if raw.mtime == KEEP4 else Time(raw.mtime),
        unchangeable=tuple(unchangeable),
    )


def pack_changes(changes: Changes, is_dir: bool) -> bytes:
    """The wstat that asks a 9P2000 server for them; what it cannot express is not looked at here."""
    mode = KEEP4
    if changes.perm is not None:
        mode = changes.perm & PERM | (changes.flags or 0) | (DMDIR if is_dir else 0)
    texts = b"".join(pack("s", text) for text in (changes.name or "", "", changes.gid or "", ""))
    return (
        STAT_HEAD.pack(
            STAT_HEAD.size - 2 + len(texts),
            0xFFFF,
            KEEP4,
            0xFF,
            KEEP4,
            KEEP8,
            mode,
            KEEP4,
            KEEP4 if changes.mtime is None else changes.mtime.s,
            KEEP8 if changes.length is None else changes.length,
        )
        + texts
    )


def getattr_reply(attr: Attr) -> codec_linux.Rgetattr:
    return codec_linux.Rgetattr(
        attr.valid,
        attr.qid,
        attr.mode,
        user_number(attr.uid),
        user_number(attr.gid),
        attr.nlink,
        attr.rdev,
        attr.length,
        attr.blksize,
        attr.blocks,
        attr.atime.s,
        attr.atime.ns,
        attr.mtime.s,
        attr.mtime.ns,
        attr.ctime.s,
        attr.ctime.ns,
        attr.btime.s,
        attr.btime.ns,
        attr.gen,
        attr.data_version,
    )


def getattr_attr(reply: codec_linux.Rgetattr) -> Attr:
    return Attr(
        reply.qid,
        reply.mode,
        0,
        str(reply.uid),
        str(reply.gid),
        str(reply.uid),
        reply.size,
        Time(reply.atime_s, reply.atime_ns),
        Time(reply.mtime_s, reply.mtime_ns),
        Time(reply.ctime_s, reply.ctime_ns),
        Time(reply.btime_s, reply.btime_ns),
        reply.nlink,
        reply.rdev,
        reply.blksize,
        reply.blocks,
        reply.gen,
        reply.data_version,
        reply.valid,
    )


ENTRY_HEAD = struct.Struct("<BIQQBH")  # qid, offset of the next entry, type, length of the name


def pack_entry(entry: Entry) -> bytes:
    """An entry as a Treaddir's answer has it."""
    raw = entry.name.encode()
    qid = entry.qid
    return (
        ENTRY_HEAD.pack(qid.type, qid.version, qid.path, entry.cookie, entry.kind or d_type(qid), len(raw))
        + raw
    )


def read_entries(data: bytes) -> list[Entry]:
    """The entries of a Treaddir's answer. Raises ValueError when one is cut short."""
    reader, entries = Reader(data), []
    while reader.left:
        qid, cookie, kind, name = (reader.value(k) for k in "q81s")
        entries.append(Entry(name, qid, cookie, kind))
    return entries
