"""The emulated file server's part that only 9P2000 has: Topen, Tcreate, Tstat, Twstat, directory reads."""

from __future__ import annotations

import stat
from dataclasses import replace

from garnetlanding.emulator.disk import WRITE, DiskError, InodeExtras
from garnetlanding.emulator.file_connection import SIGNED_END, Dialect, FileConnection, OpenFid
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import errors
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.model import DM_FLAGS, DMDIR, AttributeChanges, Timestamp, is_valid_name
from garnetlanding.ninep.stat_format import RawStat, changes_from_stat, pack_stat, parse_stat

PERM = 0o777
ACCESS = 3  # the bits of an open mode that tell reading, writing, both and executing apart
STAT_OVERHEAD = 9  # bytes of an Rstat besides the stat


class PlainDialect(Dialect):
    """9P2000 as the manual's section 5 describes it, with errors as text."""

    table = p9.PLAIN_MESSAGES

    def error(self, problem: ErrorReply) -> p9.Message:
        """Return the Rerror with the problem's text."""
        return p9.Rerror(problem.text)

    def reply(self, connection: FileConnection, message: p9.Message) -> p9.Message | None:
        """Serve Topen, Tcreate, Tstat and Twstat."""
        match message:
            case p9.Topen(fid, mode):
                return self._open(connection, fid, mode)
            case p9.Tcreate():
                return self._create(connection, message)
            case p9.Tstat(fid):
                at = connection.fid(fid)
                packed = pack_stat(at.name, connection.server.disk.attr(at.node, connection.server.salt))
                if len(packed) + STAT_OVERHEAD > connection.msize:
                    raise DiskError(errors.ERANGE, "stat does not fit msize")
                return p9.Rstat(packed)
            case p9.Twstat(fid, data):
                self._wstat(connection, connection.fid(fid), data)
                return p9.Rwstat()
        return None

    def read_directory(self, connection: FileConnection, at: OpenFid, offset: int, count: int) -> p9.Message:
        """Serve a Tread of a directory, with complete stats."""
        return read_dir(connection, at, offset, count)

    def _open(self, connection: FileConnection, fid: int, mode: int) -> p9.Message:
        at = connection.unopened(fid)
        if mode & ~(ACCESS | p9.OTRUNC | p9.ORCLOSE):
            raise DiskError(errors.EINVAL, "unknown open mode")
        if mode & p9.ORCLOSE:
            self._may_remove(connection, at)
        qid = connection.open(fid, at, mode & ACCESS, bool(mode & p9.OTRUNC))
        at.remove_on_close = bool(mode & p9.ORCLOSE)
        return p9.Ropen(qid, 0)

    @staticmethod
    def _may_remove(connection: FileConnection, at: OpenFid) -> None:
        if at.parent is None:
            raise DiskError(errors.EBUSY, "cannot remove the root")
        connection.server.disk.need(at.parent, at.user, WRITE)

    def _create(self, connection: FileConnection, message: p9.Tcreate) -> p9.Message:
        at = connection.unopened(message.fid)
        disk = connection.server.disk
        if not at.node.is_dir:
            raise DiskError(errors.ENOTDIR)
        if not is_valid_name(message.name):
            raise DiskError(errors.EINVAL, "illegal name")
        is_dir = bool(message.perm & DMDIR)
        access = message.mode & ACCESS
        if message.perm & ~(DMDIR | DM_FLAGS | PERM) or message.mode & ~(ACCESS | p9.OTRUNC | p9.ORCLOSE):
            raise DiskError(errors.EINVAL)
        if is_dir and access != p9.OREAD:
            raise DiskError(errors.EISDIR)
        disk.need(at.node, at.user, WRITE)
        # What the directory does not allow to others, nothing made in it does (open(5)).
        inheritable = 0o777 if is_dir else 0o666
        mask = ~inheritable | at.node.mode & inheritable
        mode = (stat.S_IFDIR if is_dir else stat.S_IFREG) | message.perm & PERM & mask
        extras = InodeExtras(gid=at.node.gid, flags=message.perm & DM_FLAGS)
        node = disk.make(at.node, message.name, mode, at.user, extras)
        connection.exclude(message.fid, node)
        made = OpenFid(node, at.user, at.node, message.name, access)
        made.remove_on_close = bool(message.mode & p9.ORCLOSE)
        connection.fids[message.fid] = made
        return p9.Rcreate(connection.qid(node), 0)

    def _wstat(self, connection: FileConnection, at: OpenFid, data: bytes) -> None:
        """Make all changes or none: everything is checked before anything changes (stat(5))."""
        try:
            raw = parse_stat(data)
        except ValueError:
            raise DiskError(errors.EINVAL, "bad stat") from None
        wanted = changes_from_stat(raw)
        self._check_unchangeable(connection, at, raw, wanted.unchangeable)
        self._check_changes(connection, at, wanted)
        if wanted.name is not None and wanted.name != at.name:
            self._rename(connection, at, wanted.name)
        self._apply_changes(connection, at, wanted)
        if replace(wanted, unchangeable=()) != type(wanted)():
            connection.server.disk.ran.append(("wstat", at.node.number, wanted))

    @staticmethod
    def _check_changes(connection: FileConnection, at: OpenFid, wanted: AttributeChanges) -> None:
        node = at.node
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
            connection.server.disk.need(node, at.user, WRITE)

    @staticmethod
    def _apply_changes(connection: FileConnection, at: OpenFid, wanted: AttributeChanges) -> None:
        node = at.node
        if wanted.perm is not None and wanted.flags is not None:
            node.mode = stat.S_IFMT(node.mode) | wanted.perm
            node.flags = wanted.flags & DM_FLAGS
        if wanted.gid is not None:
            node.gid = wanted.gid
        if wanted.length is not None and not node.is_dir:
            connection.server.disk.truncate(node, wanted.length, at.user)
        if wanted.mtime is not None:
            node.mtime = Timestamp(wanted.mtime.seconds)

    @staticmethod
    def _check_unchangeable(
        connection: FileConnection, at: OpenFid, raw: RawStat, fields: tuple[str, ...]
    ) -> None:
        """Refuse new values of fields that cannot change; their present values may be given."""
        now = parse_stat(pack_stat(at.name, connection.server.disk.attr(at.node, connection.server.salt)))
        changed = [name for name in fields if getattr(raw, name) != getattr(now, name)]
        if changed:
            raise DiskError(errors.EPERM, f"wstat cannot change {', '.join(changed)}")

    def _rename(self, connection: FileConnection, at: OpenFid, name: str) -> None:
        if not is_valid_name(name):
            raise DiskError(errors.EINVAL, "illegal name")
        self._may_remove(connection, at)
        assert at.parent
        old = at.name
        connection.server.disk.rename(at.parent, old, at.parent, name, at.user, replace=False)
        connection.server.renamed(at.parent, old, at.parent, name, at.node)


def read_dir(connection: FileConnection, at: OpenFid, offset: int, count: int) -> p9.Message:
    """Serve a Tread of a directory: complete stats, from the start or the last read's end (read(5))."""
    disk = connection.server.disk
    if offset == 0:
        at.directory_offset = 0
        at.listing = [
            pack_stat(name, disk.attr(node, connection.server.salt))
            for name, node, _ in disk.entries(at.node)
        ]
    if offset != at.directory_offset or at.listing is None:
        raise DiskError(errors.EINVAL, "bad offset in directory read")
    stats: list[bytes] = []
    remaining = count
    while at.listing and len(at.listing[0]) <= remaining:
        remaining -= len(at.listing[0])
        stats.append(at.listing.pop(0))
    if at.listing and not stats:
        raise DiskError(errors.EINVAL, "count too small for a directory entry")
    data = b"".join(stats)
    at.directory_offset += len(data)
    return p9.Rread(data)
