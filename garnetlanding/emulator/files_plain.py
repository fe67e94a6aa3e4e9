"""The emulated file server's part that only 9P2000 has."""

from __future__ import annotations

import stat
from dataclasses import replace

from garnetlanding.emulator.disk import DiskError
from garnetlanding.emulator.file_connection import SIGNED_END, Dialect, FileConnection, OpenFid
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import errors
from garnetlanding.ninep.errors import Problem
from garnetlanding.ninep.model import DM_FLAGS, DMDIR, Time, good_name
from garnetlanding.ninep.stat_format import RawStat, pack_stat, parse_stat, raw_changes

PERM = 0o777


class PlainDialect(Dialect):
    table = p9.PLAIN

    def error(self, problem: Problem) -> p9.Message:
        return p9.Rerror(problem.text)

    def reply(self, conn: FileConnection, message: p9.Message) -> p9.Message | None:
        match message:
            case p9.Topen(fid, mode):
                return self._open(conn, fid, mode)
            case p9.Tcreate():
                return self._create(conn, message)
            case p9.Tstat(fid):
                at = conn.fid(fid)
                packed = pack_stat(at.name, conn.server.disk.attr(at.node, conn.server.salt))
                if len(packed) + 9 > conn.msize:
                    raise DiskError(errors.ERANGE, "stat does not fit msize")
                return p9.Rstat(packed)
            case p9.Twstat(fid, data):
                self._wstat(conn, conn.fid(fid), data)
                return p9.Rwstat()
        return None

    def read_directory(self, conn: FileConnection, at: OpenFid, offset: int, count: int) -> p9.Message:
        """Answer with whole stats."""
        return read_dir(conn, at, offset, count)

    def _open(self, conn: FileConnection, fid: int, mode: int) -> p9.Message:
        at = conn.unopened(fid)
        if mode & ~(3 | p9.OTRUNC | p9.ORCLOSE):
            raise DiskError(errors.EINVAL, "unknown open mode")
        if mode & p9.ORCLOSE:
            self._may_remove(conn, at)
        qid = conn.open(fid, at, mode & 3, bool(mode & p9.OTRUNC))
        at.remove_on_close = bool(mode & p9.ORCLOSE)
        return p9.Ropen(qid, 0)

    @staticmethod
    def _may_remove(conn: FileConnection, at: OpenFid) -> None:
        if at.parent is None:
            raise DiskError(errors.EBUSY, "cannot remove the root")
        conn.server.disk.need(at.parent, at.user, 2)

    def _create(self, conn: FileConnection, message: p9.Tcreate) -> p9.Message:
        at, disk = conn.unopened(message.fid), conn.server.disk
        if not at.node.is_dir:
            raise DiskError(errors.ENOTDIR)
        if not good_name(message.name):
            raise DiskError(errors.EINVAL, "illegal name")
        folder, access = bool(message.perm & DMDIR), message.mode & 3
        if message.perm & ~(DMDIR | DM_FLAGS | PERM) or message.mode & ~(3 | p9.OTRUNC | p9.ORCLOSE):
            raise DiskError(errors.EINVAL)
        if folder and access != p9.OREAD:
            raise DiskError(errors.EISDIR)
        disk.need(at.node, at.user, 2)
        # What the directory does not allow to others, nothing made in it does (open(5)).
        mask = ~0o777 | at.node.mode & 0o777 if folder else ~0o666 | at.node.mode & 0o666
        mode = (stat.S_IFDIR if folder else stat.S_IFREG) | message.perm & PERM & mask
        node = disk.make(at.node, message.name, mode, at.user, at.node.gid, message.perm & DM_FLAGS)
        conn.exclude(message.fid, node)
        made = OpenFid(node, at.user, at.node, message.name, access)
        made.remove_on_close = bool(message.mode & p9.ORCLOSE)
        conn.fids[message.fid] = made
        return p9.Rcreate(conn.qid(node), 0)

    def _wstat(self, conn: FileConnection, at: OpenFid, data: bytes) -> None:
        """All of it or nothing: everything is checked before anything changes (stat(5))."""
        try:
            raw = parse_stat(data)
        except ValueError:
            raise DiskError(errors.EINVAL, "bad stat") from None
        disk, node = conn.server.disk, at.node
        wanted = raw_changes(raw)
        self._no_odd(conn, at, raw, wanted.unchangeable)
        owner = at.user in (node.uid, "root")
        if wanted.flags is not None and bool(wanted.flags & DMDIR) != node.is_dir:
            raise DiskError(errors.EINVAL, "wstat cannot make a file a directory, or the reverse")
        if (wanted.perm is not None or wanted.mtime is not None or wanted.gid is not None) and not owner:
            raise DiskError(errors.EPERM)
        if wanted.length is not None:
            if node.is_dir and wanted.length:
                raise DiskError(errors.EISDIR)
            if wanted.length > SIGNED_END:
                raise DiskError(errors.EINVAL, "illegal offset")
            disk.need(node, at.user, 2)
        if wanted.name is not None and wanted.name != at.name:
            self._rename(conn, at, wanted.name)
        if wanted.perm is not None and wanted.flags is not None:
            node.mode = stat.S_IFMT(node.mode) | wanted.perm
            node.flags = wanted.flags & DM_FLAGS
        if wanted.gid is not None:
            node.gid = wanted.gid
        if wanted.length is not None and not node.is_dir:
            disk.truncate(node, wanted.length, at.user)
        if wanted.mtime is not None:
            node.mtime = Time(wanted.mtime.s)
        if replace(wanted, unchangeable=()) != type(wanted)():
            disk.ran.append(("wstat", node.number, wanted))

    @staticmethod
    def _no_odd(conn: FileConnection, at: OpenFid, raw: RawStat, odd: tuple[str, ...]) -> None:
        """What may not change may be given as it is."""
        now = parse_stat(pack_stat(at.name, conn.server.disk.attr(at.node, conn.server.salt)))
        changed = [name for name in odd if getattr(raw, name) != getattr(now, name)]
        if changed:
            raise DiskError(errors.EPERM, f"wstat cannot change {', '.join(changed)}")

    def _rename(self, conn: FileConnection, at: OpenFid, name: str) -> None:
        if not good_name(name):
            raise DiskError(errors.EINVAL, "illegal name")
        self._may_remove(conn, at)
        assert at.parent
        old = at.name
        conn.server.disk.rename(at.parent, old, at.parent, name, at.user, replace=False)
        conn.server.renamed(at.parent, old, at.parent, name, at.node)


def read_dir(conn: FileConnection, at: OpenFid, offset: int, count: int) -> p9.Message:
    """Whole stats, from the start or from where the last read ended (read(5))."""
    disk = conn.server.disk
    if offset == 0:
        at.dir_at = 0
        at.listing = [
            pack_stat(name, disk.attr(node, conn.server.salt)) for name, node, _ in disk.entries(at.node)
        ]
    if offset != at.dir_at or at.listing is None:
        raise DiskError(errors.EINVAL, "bad offset in directory read")
    out: list[bytes] = []
    room = count
    while at.listing and len(at.listing[0]) <= room:
        room -= len(at.listing[0])
        out.append(at.listing.pop(0))
    if at.listing and not out:
        raise DiskError(errors.EINVAL, "count too small for a directory entry")
    data = b"".join(out)
    at.dir_at += len(data)
    return p9.Rread(data)
