"""File servers that are wrong in one point each; the conformance suite must see every one of them."""

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


def _partial_walk_makes_fid(real: Any) -> Any:
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


def _read_gives_more(real: Any) -> Any:
    return lambda self, fid, offset, count: real(self, fid, offset, count + 1 if count else 0)


def _read_ignores_access(real: Any) -> Any:
    def read(self: FileConnection, fid: int, offset: int, count: int) -> p9.Message:
        at = self.fids.get(fid)
        if at and at.access == p9.OWRITE:
            return p9.Rread(bytes(at.node.data[offset : offset + count]))
        return real(self, fid, offset, count)  # type: ignore[no-any-return]  # the real method is untyped here

    return read


def _remove_keeps_fid(real: Any) -> Any:
    def clunk(self: FileConnection, fid: int, removed: bool = False) -> None:
        if not removed:
            real(self, fid, removed)

    return clunk


def _orclose_forgotten(real: Any) -> Any:
    def clunk(self: FileConnection, fid: int, removed: bool = False) -> None:
        if fid in self.fids:
            self.fids[fid].remove_on_close = False
        real(self, fid, removed)

    return clunk


def _truncate_forgotten(real: Any) -> Any:
    return lambda self, fid, at, access, _truncate: real(self, fid, at, access, False)


def _permissions_forgotten(_real: Any) -> Any:
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


def _exclusive_forgotten(_real: Any) -> Any:
    return lambda _self, _fid, _node: None


def _full_directory_removed(real: Any) -> Any:
    def unlink(self: Disk, at: Inode, name: str, user: str) -> None:
        self.child(at, name).names.clear()
        real(self, at, name, user)

    return unlink


def _wstat_in_two_halves(real: Any) -> Any:
    def wstat(self: Any, conn: FileConnection, at: FidState, data: bytes) -> None:
        raw = stat_format.parse_stat(data)
        if raw.length < 1 << 32 and not at.node.is_dir:
            conn.server.disk.truncate(at.node, raw.length, at.user)
        real(self, conn, at, data)

    return wstat


def _stat_cut(real: Any) -> Any:
    return lambda name, attr: real(name, replace(attr, length=attr.length // 2))


def _directory_seek_allowed(real: Any) -> Any:
    def read_dir(conn: FileConnection, at: FidState, offset: int, count: int) -> p9.Message:
        at.directory_offset = offset
        return real(conn, at, offset, count)  # type: ignore[no-any-return]  # the real method is untyped here

    return read_dir


def _rename_by_fid_leaves_fid(_real: Any) -> Any:
    return lambda _self, _parent, _name, _to, _new, _node: None


def _rename_does_not_replace(real: Any) -> Any:
    def rename(self: Disk, at: Inode, name: str, to: Inode, new: str, user: str, replace: bool) -> None:
        if new in to.names and replace:
            raise DiskError(1)
        real(self, at, name, to, new, user, replace)

    return rename


def _errors_are_one(_real: Any) -> Any:
    return lambda _self, _problem: p9l.Rlerror(5)


def _locks_overlap(_real: Any) -> Any:
    return lambda _self, _file, _wanted: None


def _readdir_repeats(real: Any) -> Any:
    return lambda self, conn, at, offset, count: real(self, conn, at, max(0, offset - 1), count)


def _unlink_ignores_flag(_real: Any) -> Any:
    def unlink(conn: FileConnection, at: FidState, name: str, _flags: int) -> None:
        conn.server.disk.unlink(at.node, name, at.user)

    return staticmethod(unlink)


def _flush_answers_twice(real: Any) -> Any:
    def shared(self: FileConnection, message: p9.Message) -> p9.Message | None:
        if isinstance(message, p9.Tflush):
            self._send(message.oldtag, p9.Rread(b""))
            self._send(message.oldtag, p9.Rread(b""))
        return real(self, message)  # type: ignore[no-any-return]  # the real method is untyped here

    return shared


@dataclass(frozen=True, slots=True)
class SeededFault:
    """One way in which a file server is wrong.

    `replace` makes the faulty method from the real one, which is `method` of `owner` (a class or a module).
    `case` is a case that must fail then, in the dialect `version`.
    """

    owner: Any
    method: str
    replace: Callable[..., Any]
    version: str
    case: str


VARIANTS: dict[str, SeededFault] = {
    "a partial walk makes a fid": SeededFault(
        FileConnection, "_walk", _partial_walk_makes_fid, p9.VERSION, "walk-partial"
    ),
    "a fid in use is taken over": SeededFault(
        FileConnection, "_walk", _walk_ignores_newfid_in_use, p9.VERSION, "walk-newfid-in-use"
    ),
    "a read gives more than asked for": SeededFault(
        FileConnection, "_read", _read_gives_more, p9.VERSION, "read-no-more-than-asked"
    ),
    "a file open for writing is read": SeededFault(
        FileConnection, "_read", _read_ignores_access, p9l.VERSION, "open-for-writing-not-read"
    ),
    "a remove keeps its fid": SeededFault(
        FileConnection, "clunk", _remove_keeps_fid, p9.VERSION, "remove-clunks"
    ),
    "ORCLOSE is forgotten": SeededFault(
        FileConnection, "clunk", _orclose_forgotten, p9.VERSION, "orclose-removes-at-clunk"
    ),
    "truncation is forgotten": SeededFault(
        FileConnection, "open", _truncate_forgotten, p9l.VERSION, "open-truncates"
    ),
    "permissions are not looked at": SeededFault(
        Disk, "check_permission", _permissions_forgotten, p9.VERSION, "open-read-denied"
    ),
    "qid paths are shared": SeededFault(Disk, "qid", _qid_reused, p9l.VERSION, "qid-differs"),
    "msize is raised": SeededFault(
        FileConnection, "_version", _version_raises_msize, p9.VERSION, "version-msize-not-raised"
    ),
    "a new version keeps the old fids": SeededFault(
        FileConnection, "reset", _version_keeps_fids, p9.VERSION, "version-drops-fids"
    ),
    "append-only files are written anywhere": SeededFault(
        FileConnection, "_write", _append_at_offset, p9.VERSION, "append-only"
    ),
    "exclusive use is not kept": SeededFault(
        FileConnection, "acquire_exclusive_use", _exclusive_forgotten, p9.VERSION, "exclusive-use"
    ),
    "a full directory is removed": SeededFault(
        Disk, "unlink", _full_directory_removed, p9l.VERSION, "remove-full-directory"
    ),
    "a wstat is done by halves": SeededFault(
        files_plain.PlainDialect, "_wstat", _wstat_in_two_halves, p9.VERSION, "wstat-all-or-nothing"
    ),
    "a stat tells half the length": SeededFault(
        files_plain, "pack_stat", _stat_cut, p9.VERSION, "stat-fields"
    ),
    "a directory is read from anywhere": SeededFault(
        files_plain, "read_directory_stats", _directory_seek_allowed, p9.VERSION, "directory-seek"
    ),
    "a rename leaves its fids behind": SeededFault(
        FileServer, "update_renamed_fids", _rename_by_fid_leaves_fid, p9.VERSION, "wstat-name"
    ),
    "a rename does not replace": SeededFault(
        Disk, "rename", _rename_does_not_replace, p9l.VERSION, "renameat-replaces"
    ),
    "all errors are one": SeededFault(
        files_linux.LinuxDialect, "error", _errors_are_one, p9l.VERSION, "mkdir-existing"
    ),
    "locks do not exclude": SeededFault(
        LockTable, "find_conflict", _locks_overlap, p9l.VERSION, "lock-excludes"
    ),
    "readdir repeats entries": SeededFault(
        files_linux.LinuxDialect, "_readdir", _readdir_repeats, p9l.VERSION, "readdir-any-offset"
    ),
    "unlinkat ignores its flag": SeededFault(
        files_linux.LinuxDialect, "_unlink", _unlink_ignores_flag, p9l.VERSION, "unlinkat-directory"
    ),
    "a flushed request is answered": SeededFault(
        FileConnection, "_run_shared", _flush_answers_twice, p9l.VERSION, "flush-is-last"
    ),
}


@contextmanager
def broken(name: str) -> Iterator[None]:
    """Give all file servers the named fault for the time of the block."""
    fault = VARIANTS[name]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(fault.owner, fault.method, fault.replace(getattr(fault.owner, fault.method)))
        yield
