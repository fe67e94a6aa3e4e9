"""Attributes and directory entries in their 9P2000.L encoding: Rgetattr and the data of Rreaddir."""

from __future__ import annotations

import struct

from garnetlanding.ninep import codec_linux
from garnetlanding.ninep.model import DirectoryEntry, FileAttributes, Timestamp, dirent_type, numeric_id
from garnetlanding.ninep.wire_format import FieldReader

ENTRY_FIXED_FIELDS = struct.Struct("<BIQQBH")
"""qid (3 fields), offset of the next entry, type, length of the name; the name follows."""

ENTRY_FIELD_CODES = "q81s"
"""The same fields and the name, in the codes of `wire_format.MessageLayout`."""


def getattr_reply(attr: FileAttributes) -> codec_linux.Rgetattr:
    """Return the Rgetattr with these attributes."""
    return codec_linux.Rgetattr(
        attr.valid,
        attr.qid,
        attr.mode,
        numeric_id(attr.uid),
        numeric_id(attr.gid),
        attr.nlink,
        attr.rdev,
        attr.length,
        attr.blksize,
        attr.blocks,
        attr.atime.seconds,
        attr.atime.nanoseconds,
        attr.mtime.seconds,
        attr.mtime.nanoseconds,
        attr.ctime.seconds,
        attr.ctime.nanoseconds,
        attr.btime.seconds,
        attr.btime.nanoseconds,
        attr.gen,
        attr.data_version,
    )


def attr_from_getattr(reply: codec_linux.Rgetattr) -> FileAttributes:
    """Return the attributes of a reply. 9P2000.L has no last writer (muid): the owner is used."""
    return FileAttributes(
        reply.qid,
        reply.mode,
        0,
        str(reply.uid),
        str(reply.gid),
        str(reply.uid),
        reply.size,
        Timestamp(reply.atime_s, reply.atime_ns),
        Timestamp(reply.mtime_s, reply.mtime_ns),
        Timestamp(reply.ctime_s, reply.ctime_ns),
        Timestamp(reply.btime_s, reply.btime_ns),
        reply.nlink,
        reply.rdev,
        reply.blksize,
        reply.blocks,
        reply.gen,
        reply.data_version,
        reply.valid,
    )


def pack_entry(entry: DirectoryEntry) -> bytes:
    """Encode an entry for the data of an Rreaddir."""
    name = entry.name.encode()
    qid = entry.qid
    d_type = entry.d_type or dirent_type(qid)
    return ENTRY_FIXED_FIELDS.pack(qid.type, qid.version, qid.path, entry.cookie, d_type, len(name)) + name


def read_entries(data: bytes) -> list[DirectoryEntry]:
    """Decode the data of an Rreaddir. Raises ValueError if an entry is truncated."""
    reader = FieldReader(data)
    entries = []
    while reader.remaining:
        qid, cookie, d_type, name = (reader.read_field(code) for code in ENTRY_FIELD_CODES)
        entries.append(DirectoryEntry(name, qid, cookie, d_type))
    return entries
