"""Text forms of protocol values in the results, written out field by field.

Results are compared between runs and read by programs, so the texts must not change when a class or field is
renamed in the code.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep.stat_format import RawStat


@dataclass(frozen=True, slots=True)
class FileAttributes:
    """File attributes that exist in both dialects; `length` in bytes, `mtime` in seconds since the epoch."""

    qid: p9.Qid
    is_dir: bool
    permissions: int
    length: int
    mtime: int


def _format_fields(type_name: str, /, **values: object) -> str:
    return f"{type_name}({', '.join(f'{key}={value}' for key, value in values.items())})"


def qid_text(qid: p9.Qid) -> str:
    """Return the text of a qid."""
    return _format_fields("Qid", type=qid.type, version=qid.version, path=qid.path)


def qids_text(qids: Iterable[p9.Qid]) -> str:
    """Return the text of the qids of a walk, formatted as a Python tuple."""
    texts = [qid_text(qid) for qid in qids]
    return f"({texts[0]},)" if len(texts) == 1 else f"({', '.join(texts)})"


def attributes_text(attributes: FileAttributes) -> str:
    """Return the text of file attributes; its type name 'Facts' is part of the output format."""
    return _format_fields(
        "Facts",
        qid=qid_text(attributes.qid),
        is_dir=attributes.is_dir,
        perm=attributes.permissions,
        length=attributes.length,
        mtime=attributes.mtime,
    )


def stat_text(stat: RawStat) -> str:
    """Return the text of a 9P2000 stat."""
    return _format_fields(
        "RawStat",
        type=stat.type,
        dev=stat.dev,
        qid=qid_text(stat.qid),
        mode=stat.mode,
        atime=stat.atime,
        mtime=stat.mtime,
        length=stat.length,
        name=repr(stat.name),
        uid=repr(stat.uid),
        gid=repr(stat.gid),
        muid=repr(stat.muid),
    )


def getattr_text(reply: p9l.Rgetattr) -> str:
    """Return the text of an Rgetattr."""
    return _format_fields(
        "Rgetattr",
        valid=reply.valid,
        qid=qid_text(reply.qid),
        mode=reply.mode,
        uid=reply.uid,
        gid=reply.gid,
        nlink=reply.nlink,
        rdev=reply.rdev,
        size=reply.size,
        blksize=reply.blksize,
        blocks=reply.blocks,
        atime_s=reply.atime_s,
        atime_ns=reply.atime_ns,
        mtime_s=reply.mtime_s,
        mtime_ns=reply.mtime_ns,
        ctime_s=reply.ctime_s,
        ctime_ns=reply.ctime_ns,
        btime_s=reply.btime_s,
        btime_ns=reply.btime_ns,
        gen=reply.gen,
        data_version=reply.data_version,
    )


def statfs_text(reply: p9l.Rstatfs) -> str:
    """Return the text of an Rstatfs."""
    return _format_fields(
        "Rstatfs",
        type=reply.type,
        bsize=reply.bsize,
        blocks=reply.blocks,
        bfree=reply.bfree,
        bavail=reply.bavail,
        files=reply.files,
        ffree=reply.ffree,
        fsid=reply.fsid,
        namelen=reply.namelen,
    )


def getlock_text(reply: p9l.Rgetlock) -> str:
    """Return the text of an Rgetlock."""
    return _format_fields(
        "Rgetlock",
        type=reply.type,
        start=reply.start,
        length=reply.length,
        proc_id=reply.proc_id,
        client_id=repr(reply.client_id),
    )
