"""The 9P2000 dialect of the emulated file server: Topen, Tcreate, Tstat, Twstat and directory reads."""

from __future__ import annotations

import stat
from dataclasses import replace

from garnetlanding.emulator.disk import WRITE, DiskError, InodeExtras
from garnetlanding.emulator.file_connection import SIGNED_END, Dialect, FidState, FileConnection
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import errors
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.model import DM_FLAGS, DMDIR, AttributeChanges, Timestamp, is_valid_name
from garnetlanding.ninep.stat_format import RawStat, changes_from_stat, pack_stat, parse_stat

PERM = 0o777
ACCESS = 3  # the bits of an open mode for reading, writing, both or executing
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
                fid_state = connection.fid(fid)
                packed = pack_stat(
                    fid_state.name, connection.server.disk.attr(fid_state.node, connection.server.qid_offset)
                )
                if len(packed) + STAT_OVERHEAD > connection.msize:
                    raise DiskError(errors.ERANGE, "stat does not fit msize")
                return p9.Rstat(packed)
            case p9.Twstat(fid, data):
                self._wstat(connection, connection.fid(fid), data)
                return p9.Rwstat()
        return None

    def read_directory(
        self, connection: FileConnection, fid_state: FidState, offset: int, count: int
    ) -> p9.Message:
        """Serve a Tread of a directory, with complete stats."""
        return read_directory_stats(connection, fid_state, offset, count)

    def _open(self, connection: FileConnection, fid: int, mode: int) -> p9.Message:
        fid_state = connection.unopened(fid)
        if mode & ~(ACCESS | p9.OTRUNC | p9.ORCLOSE):
            raise DiskError(errors.EINVAL, "unknown open mode")
        if mode & p9.ORCLOSE:
            self._check_may_remove(connection, fid_state)
        qid = connection.open(fid, fid_state, mode & ACCESS, bool(mode & p9.OTRUNC))
        fid_state.remove_on_close = bool(mode & p9.ORCLOSE)
        return p9.Ropen(qid, 0)

    @staticmethod
    def _check_may_remove(connection: FileConnection, fid_state: FidState) -> None:
        if fid_state.parent is None:
            raise DiskError(errors.EBUSY, "cannot remove the root")
        connection.server.disk.check_permission(fid_state.parent, fid_state.user, WRITE)

    def _create(self, connection: FileConnection, message: p9.Tcreate) -> p9.Message:
        fid_state = connection.unopened(message.fid)
        disk = connection.server.disk
        if not fid_state.node.is_dir:
            raise DiskError(errors.ENOTDIR)
        if not is_valid_name(message.name):
            raise DiskError(errors.EINVAL, "illegal name")
        is_dir = bool(message.perm & DMDIR)
        access = message.mode & ACCESS
        if message.perm & ~(DMDIR | DM_FLAGS | PERM) or message.mode & ~(ACCESS | p9.OTRUNC | p9.ORCLOSE):
            raise DiskError(errors.EINVAL)
        if is_dir and access != p9.OREAD:
            raise DiskError(errors.EISDIR)
        disk.check_permission(fid_state.node, fid_state.user, WRITE)
        # A new file gets no permission that its directory lacks (open(5)).
        inheritable = 0o777 if is_dir else 0o666
        mask = ~inheritable | fid_state.node.mode & inheritable
        mode = (stat.S_IFDIR if is_dir else stat.S_IFREG) | message.perm & PERM & mask
        extras = InodeExtras(gid=fid_state.node.gid, flags=message.perm & DM_FLAGS)
        node = disk.make(fid_state.node, message.name, mode, fid_state.user, extras)
        connection.acquire_exclusive_use(message.fid, node)
        created = FidState(node, fid_state.user, fid_state.node, message.name, access)
        created.remove_on_close = bool(message.mode & p9.ORCLOSE)
        connection.fids[message.fid] = created
        return p9.Rcreate(connection.qid(node), 0)

    def _wstat(self, connection: FileConnection, fid_state: FidState, data: bytes) -> None:
        """Make all changes or none: everything is checked before anything changes (stat(5))."""
        try:
            raw = parse_stat(data)
        except ValueError:
            raise DiskError(errors.EINVAL, "bad stat") from None
        wanted = changes_from_stat(raw)
        self._check_unchangeable(connection, fid_state, raw, wanted.unchangeable)
        self._check_changes(connection, fid_state, wanted)
        if wanted.name is not None and wanted.name != fid_state.name:
            self._rename(connection, fid_state, wanted.name)
        self._apply_changes(connection, fid_state, wanted)
        if replace(wanted, unchangeable=()) != type(wanted)():
            connection.server.disk.changes.append(("wstat", fid_state.node.number, wanted))

    @staticmethod
    def _check_changes(connection: FileConnection, fid_state: FidState, wanted: AttributeChanges) -> None:
        node = fid_state.node
        is_owner = fid_state.user in (node.uid, "root")
        if wanted.flags is not None and bool(wanted.flags & DMDIR) != node.is_dir:
            raise DiskError(errors.EINVAL, "wstat cannot make a file a directory, or the reverse")
        if (wanted.perm is not None or wanted.mtime is not None or wanted.gid is not None) and not is_owner:
            raise DiskError(errors.EPERM)
        if wanted.length is not None:
            if node.is_dir and wanted.length:
                raise DiskError(errors.EISDIR)
            if wanted.length > SIGNED_END:
                raise DiskError(errors.EINVAL, "illegal offset")
            connection.server.disk.check_permission(node, fid_state.user, WRITE)

    @staticmethod
    def _apply_changes(connection: FileConnection, fid_state: FidState, wanted: AttributeChanges) -> None:
        node = fid_state.node
        if wanted.perm is not None and wanted.flags is not None:
            node.mode = stat.S_IFMT(node.mode) | wanted.perm
            node.flags = wanted.flags & DM_FLAGS
        if wanted.gid is not None:
            node.gid = wanted.gid
        if wanted.length is not None and not node.is_dir:
            connection.server.disk.truncate(node, wanted.length, fid_state.user)
        if wanted.mtime is not None:
            node.mtime = Timestamp(wanted.mtime.seconds)

    @staticmethod
    def _check_unchangeable(
        connection: FileConnection, fid_state: FidState, raw: RawStat, fields: tuple[str, ...]
    ) -> None:
        """Reject new values for unchangeable fields; repeating the current value is allowed."""
        now = parse_stat(
            pack_stat(
                fid_state.name, connection.server.disk.attr(fid_state.node, connection.server.qid_offset)
            )
        )
        changed = [name for name in fields if getattr(raw, name) != getattr(now, name)]
        if changed:
            raise DiskError(errors.EPERM, f"wstat cannot change {', '.join(changed)}")

    def _rename(self, connection: FileConnection, fid_state: FidState, name: str) -> None:
        if not is_valid_name(name):
            raise DiskError(errors.EINVAL, "illegal name")
        self._check_may_remove(connection, fid_state)
        assert fid_state.parent
        old_name = fid_state.name
        connection.server.disk.rename(
            fid_state.parent, old_name, fid_state.parent, name, fid_state.user, replace=False
        )
        connection.server.update_renamed_fids(
            fid_state.parent, old_name, fid_state.parent, name, fid_state.node
        )


def read_directory_stats(
    connection: FileConnection, fid_state: FidState, offset: int, count: int
) -> p9.Message:
    """Serve a Tread of a directory: complete stats, from the start or the last read's end (read(5))."""
    disk = connection.server.disk
    if offset == 0:
        fid_state.directory_offset = 0
        fid_state.listing = [
            pack_stat(name, disk.attr(node, connection.server.qid_offset))
            for name, node, _ in disk.entries(fid_state.node)
        ]
    if offset != fid_state.directory_offset or fid_state.listing is None:
        raise DiskError(errors.EINVAL, "bad offset in directory read")
    stats: list[bytes] = []
    remaining = count
    while fid_state.listing and len(fid_state.listing[0]) <= remaining:
        remaining -= len(fid_state.listing[0])
        stats.append(fid_state.listing.pop(0))
    if fid_state.listing and not stats:
        raise DiskError(errors.EINVAL, "count too small for a directory entry")
    data = b"".join(stats)
    fid_state.directory_offset += len(data)
    return p9.Rread(data)
