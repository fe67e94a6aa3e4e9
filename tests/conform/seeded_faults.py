"""Faults seeded into the emulated file server one at a time, each to be detected by the suite."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

import pytest

from garnetlanding.emulator import files_linux, files_plain
from garnetlanding.emulator.disk import Disk, DiskError, Inode
from garnetlanding.emulator.file_connection import FidState, FileConnection
from garnetlanding.emulator.fileserver import FileServer
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import stat_format
from garnetlanding.ninep.locks import LockTable


def _partial_walk_establishes_newfid(real: Any) -> Any:
    def walk(self: FileConnection, fid: int, newfid: int, names: tuple[str, ...]) -> p9.Message:
        reply = real(self, fid, newfid, names)
        if isinstance(reply, p9.Rwalk) and len(reply.qids) < len(names):
            self.fids[newfid] = replace(self.fids[fid])
        return reply  # type: ignore[no-any-return]  # the real method is untyped here

    return walk


def _walk_ignores_newfid_in_use(real: Any) -> Any:
    def walk(self: FileConnection, fid: int, newfid: int, names: tuple[str, ...]) -> p9.Message:
        if newfid != fid:
            self.fids.pop(newfid, None)
        return real(self, fid, newfid, names)  # type: ignore[no-any-return]  # the real method is untyped here

    return walk


def _read_exceeds_count(real: Any) -> Any:
    return lambda self, fid, offset, count: real(self, fid, offset, count + 1 if count else 0)


def _read_ignores_access(real: Any) -> Any:
    def read(self: FileConnection, fid: int, offset: int, count: int) -> p9.Message:
        open_fid = self.fids.get(fid)
        if open_fid and open_fid.access == p9.OWRITE:
            return p9.Rread(bytes(open_fid.node.data[offset : offset + count]))
        return real(self, fid, offset, count)  # type: ignore[no-any-return]  # the real method is untyped here

    return read


def _remove_keeps_fid(real: Any) -> Any:
    def clunk(self: FileConnection, fid: int, removed: bool = False) -> None:
        if not removed:
            real(self, fid, removed)

    return clunk


def _orclose_ignored(real: Any) -> Any:
    def clunk(self: FileConnection, fid: int, removed: bool = False) -> None:
        if fid in self.fids:
            self.fids[fid].remove_on_close = False
        real(self, fid, removed)

    return clunk


def _truncate_ignored(real: Any) -> Any:
    return lambda self, fid, at, access, _truncate: real(self, fid, at, access, False)


def _permissions_ignored(_real: Any) -> Any:
    return lambda _self, _node, _user, _want: None


def _qid_reused(real: Any) -> Any:
    return lambda self, node, salt=0: replace(real(self, node, salt), path=len(node.data) % 3)


def _version_raises_msize(real: Any) -> Any:
    def version(self: FileConnection, message: p9.Tversion) -> p9.Message:
        reply = real(self, message)
        return replace(reply, msize=reply.msize + 1) if isinstance(reply, p9.Rversion) else reply

    return version


def _version_keeps_fids(_real: Any) -> Any:
    return lambda _self: None


def _append_at_offset(real: Any) -> Any:
    def write(self: FileConnection, fid: int, offset: int, data: bytes) -> p9.Message:
        at = self.fid(fid)
        if self.qid(at.node).type & p9.QTAPPEND:
            return p9.Rwrite(self.server.disk.write(at.node, offset, data, at.user))
        return real(self, fid, offset, data)  # type: ignore[no-any-return]  # the real method is untyped here

    return write


def _exclusive_use_ignored(_real: Any) -> Any:
    return lambda _self, _fid, _node: None


def _nonempty_directory_removed(real: Any) -> Any:
    def unlink(self: Disk, at: Inode, name: str, user: str) -> None:
        self.child(at, name).names.clear()
        real(self, at, name, user)

    return unlink


def _wstat_not_atomic(real: Any) -> Any:
    def wstat(self: Any, conn: FileConnection, at: FidState, data: bytes) -> None:
        raw = stat_format.parse_stat(data)
        if raw.length < 1 << 32 and not at.node.is_dir:
            conn.server.disk.truncate(at.node, raw.length, at.user)
        real(self, conn, at, data)

    return wstat


def _stat_halves_length(real: Any) -> Any:
    return lambda name, attr: real(name, replace(attr, length=attr.length // 2))


def _directory_seek_allowed(real: Any) -> Any:
    def read_dir(conn: FileConnection, at: FidState, offset: int, count: int) -> p9.Message:
        at.directory_offset = offset
        return real(conn, at, offset, count)  # type: ignore[no-any-return]  # the real method is untyped here

    return read_dir


def _rename_does_not_update_fids(_real: Any) -> Any:
    return lambda _self, _parent, _name, _to, _new, _node: None


def _rename_does_not_replace(real: Any) -> Any:
    def rename(self: Disk, at: Inode, name: str, to: Inode, new: str, user: str, replace: bool) -> None:
        if new in to.names and replace:
            raise DiskError(1)
        real(self, at, name, to, new, user, replace)

    return rename


def _all_errors_same_number(_real: Any) -> Any:
    return lambda _self, _problem: p9l.Rlerror(5)


def _lock_conflicts_ignored(_real: Any) -> Any:
    return lambda _self, _file, _wanted: None


def _readdir_repeats(real: Any) -> Any:
    return lambda self, conn, at, offset, count: real(self, conn, at, max(0, offset - 1), count)


def _unlinkat_ignores_flags(_real: Any) -> Any:
    def unlink(conn: FileConnection, at: FidState, name: str, _flags: int) -> None:
        conn.server.disk.unlink(at.node, name, at.user)

    return staticmethod(unlink)


def _flush_sends_extra_replies(real: Any) -> Any:
    def shared(self: FileConnection, message: p9.Message) -> p9.Message | None:
        if isinstance(message, p9.Tflush):
            self._send(message.oldtag, p9.Rread(b""))
            self._send(message.oldtag, p9.Rread(b""))
        return real(self, message)  # type: ignore[no-any-return]  # the real method is untyped here

    return shared


@dataclass(frozen=True, slots=True)
class SeededFault:
    """A fault in the emulated file server.

    `replace` takes the real function, the attribute `method` of `owner` (a class or module), and returns the
    faulty one. With the fault the case `case` must fail in the dialect `version`.
    """

    owner: Any
    method: str
    replace: Callable[..., Any]
    version: str
    case: str


SEEDED_FAULTS: dict[str, SeededFault] = {
    "partial-walk-establishes-newfid": SeededFault(
        FileConnection, "_walk", _partial_walk_establishes_newfid, p9.VERSION, "walk-partial"
    ),
    "newfid-in-use-is-replaced": SeededFault(
        FileConnection, "_walk", _walk_ignores_newfid_in_use, p9.VERSION, "walk-newfid-in-use"
    ),
    "read-exceeds-count": SeededFault(
        FileConnection, "_read", _read_exceeds_count, p9.VERSION, "read-no-more-than-asked"
    ),
    "read-ignores-open-mode": SeededFault(
        FileConnection, "_read", _read_ignores_access, p9l.VERSION, "open-for-writing-not-read"
    ),
    "remove-keeps-fid": SeededFault(FileConnection, "clunk", _remove_keeps_fid, p9.VERSION, "remove-clunks"),
    "orclose-ignored": SeededFault(
        FileConnection, "clunk", _orclose_ignored, p9.VERSION, "orclose-removes-at-clunk"
    ),
    "truncation-ignored": SeededFault(
        FileConnection, "open", _truncate_ignored, p9l.VERSION, "open-truncates"
    ),
    "permissions-ignored": SeededFault(
        Disk, "check_permission", _permissions_ignored, p9.VERSION, "open-read-denied"
    ),
    "qid-paths-not-unique": SeededFault(Disk, "qid", _qid_reused, p9l.VERSION, "qid-differs"),
    "msize-raised": SeededFault(
        FileConnection, "_version", _version_raises_msize, p9.VERSION, "version-msize-not-raised"
    ),
    "version-keeps-fids": SeededFault(
        FileConnection, "reset", _version_keeps_fids, p9.VERSION, "version-drops-fids"
    ),
    "append-only-ignored": SeededFault(
        FileConnection, "_write", _append_at_offset, p9.VERSION, "append-only"
    ),
    "exclusive-use-ignored": SeededFault(
        FileConnection, "acquire_exclusive_use", _exclusive_use_ignored, p9.VERSION, "exclusive-use"
    ),
    "nonempty-directory-removed": SeededFault(
        Disk, "unlink", _nonempty_directory_removed, p9l.VERSION, "remove-full-directory"
    ),
    "wstat-not-atomic": SeededFault(
        files_plain.PlainDialect, "_wstat", _wstat_not_atomic, p9.VERSION, "wstat-all-or-nothing"
    ),
    "stat-halves-length": SeededFault(
        files_plain, "pack_stat", _stat_halves_length, p9.VERSION, "stat-fields"
    ),
    "directory-seek-allowed": SeededFault(
        files_plain, "read_directory_stats", _directory_seek_allowed, p9.VERSION, "directory-seek"
    ),
    "rename-does-not-update-fids": SeededFault(
        FileServer, "update_renamed_fids", _rename_does_not_update_fids, p9.VERSION, "wstat-name"
    ),
    "rename-does-not-replace": SeededFault(
        Disk, "rename", _rename_does_not_replace, p9l.VERSION, "renameat-replaces"
    ),
    "all-errors-same-number": SeededFault(
        files_linux.LinuxDialect, "error", _all_errors_same_number, p9l.VERSION, "mkdir-existing"
    ),
    "lock-conflicts-ignored": SeededFault(
        LockTable, "find_conflict", _lock_conflicts_ignored, p9l.VERSION, "lock-excludes"
    ),
    "readdir-repeats-entries": SeededFault(
        files_linux.LinuxDialect, "_readdir", _readdir_repeats, p9l.VERSION, "readdir-any-offset"
    ),
    "unlinkat-ignores-flags": SeededFault(
        files_linux.LinuxDialect, "_unlink", _unlinkat_ignores_flags, p9l.VERSION, "unlinkat-directory"
    ),
    "flush-sends-extra-replies": SeededFault(
        FileConnection, "_run_shared", _flush_sends_extra_replies, p9l.VERSION, "flush-is-last"
    ),
}


@contextmanager
def seeded_fault(name: str) -> Iterator[None]:
    """Apply the named fault to all file servers within the block."""
    fault = SEEDED_FAULTS[name]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(fault.owner, fault.method, fault.replace(getattr(fault.owner, fault.method)))
        yield
