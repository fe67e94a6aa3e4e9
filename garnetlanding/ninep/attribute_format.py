"""Attributes and directory entries in the forms of 9P2000.L: an Rgetattr, and the data of an Rreaddir."""

from __future__ import annotations

import struct

from garnetlanding.ninep import codec_linux
from garnetlanding.ninep.model import Attr, Entry, Time, d_type, user_number
from garnetlanding.ninep.wire_format import FieldReader

ENTRY_HEAD = struct.Struct("<BIQQBH")
"""qid (3), offset of the next entry, type, length of the name; the name follows."""

ENTRY_KINDS = "q81s"
"""The same fields, as `wire_format.MessageLayout` names their kinds."""


def getattr_reply(attr: Attr) -> codec_linux.Rgetattr:
    """Return the reply with these attributes."""
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
    """Return the attributes of a reply; the last writer, which 9P2000.L does not have, is the owner."""
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


def pack_entry(entry: Entry) -> bytes:
    """Return an entry as an Rreaddir has it."""
    raw = entry.name.encode()
    qid = entry.qid
    return (
        ENTRY_HEAD.pack(qid.type, qid.version, qid.path, entry.cookie, entry.kind or d_type(qid), len(raw))
        + raw
    )


def read_entries(data: bytes) -> list[Entry]:
    """Return the entries of an Rreaddir. Raises ValueError when one is cut short."""
    reader = FieldReader(data)
    entries = []
    while reader.remaining:
        qid, cookie, kind, name = (reader.read_field(kind) for kind in ENTRY_KINDS)
        entries.append(Entry(name, qid, cookie, kind))
    return entries
