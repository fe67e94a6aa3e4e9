"""Helpers for tests of changes over 9P."""

from __future__ import annotations

from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep.stat_format import STAT_FIXED_FIELDS, UNCHANGED_U32, UNCHANGED_U64
from tests.support.ninep_instance import NinepClient, NinepInstance

PLAIN, LINUX = p9.VERSION, p9l.VERSION


def wstat(
    name: str = "",
    mode: int = UNCHANGED_U32,
    mtime: int = UNCHANGED_U32,
    length: int = UNCHANGED_U64,
    gid: str = "",
    uid: str = "",
    atime: int = UNCHANGED_U32,
) -> bytes:
    texts = b"".join(p9.pack_field("s", text) for text in (name, uid, gid, ""))
    return (
        STAT_FIXED_FIELDS.pack(
            STAT_FIXED_FIELDS.size - 2 + len(texts),
            0xFFFF,
            UNCHANGED_U32,
            0xFF,
            UNCHANGED_U32,
            UNCHANGED_U64,
            mode,
            atime,
            mtime,
            length,
        )
        + texts
    )


def writable_instance(
    client_version: str = PLAIN, server_version: str = PLAIN, servers: int = 1, **more: object
) -> tuple[NinepInstance, NinepClient]:
    instance = NinepInstance(servers, access="rw", server_dialect=server_version, **more)  # type: ignore[arg-type]  # settings by name
    return instance, NinepClient(instance, version=client_version)


def create_file(
    client: NinepClient, fid: int, name: str, perm: int = 0o644, mode: int = p9.ORDWR
) -> p9.Message:
    client.walk(fid)
    if client.linux:
        return client.request(p9l.Tlcreate(fid, name, mode | p9l.L_CREATE | p9l.L_EXCL, perm, p9l.NOGID))
    return client.request(p9.Tcreate(fid, name, perm, mode))


def error_number(reply: p9.Message) -> int:
    assert isinstance(reply, p9l.Rlerror), reply
    return reply.ecode
