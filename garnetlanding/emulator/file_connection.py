"""The emulated 9P file server and its connections, without the parts specific to a dialect.

Written from the manual (Plan 9, section 5) and the description of 9P2000.L, independently of the 9P server of
the instances: tests compare the two. The dialects are in `files_plain.py` and `files_linux.py`, and
`fileserver.py` combines the parts.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from garnetlanding.emulator.base import EmulatedConnection, EmulatedServer
from garnetlanding.emulator.disk import READ, SEARCH, WRITE, Disk, DiskError, Inode, Tree
from garnetlanding.emulator.faults import Fault, FaultScript, Rule
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.locks import ExclusiveUse, LockTable
from garnetlanding.runtime.protocols import Write

MIN_MSIZE = 256  # bytes
DEFAULT_MSIZE = 1 << 16  # bytes
MAX_FRAME_BYTES = 1 << 17  # until a Tversion has agreed on an msize
MAX_LOCKS = 1024
SIGNED_END = 1 << 63  # offsets are signed numbers of 64 bits
NEW_QIDS_OFFSET = 1 << 40


@dataclass(eq=False, slots=True)
class FidState:
    """The file that a fid refers to, and how it is open.

    `parent` and `name` say where the walk found the file; `parent` is None for the root. `access` is None
    until the fid is open. The next read of a 9P2000 directory must be at `directory_offset`; `listing` holds
    the stats that are still unread since the last read at offset 0.
    """

    node: Inode
    user: str
    parent: Inode | None = None
    name: str = "/"
    access: int | None = None
    append: bool = False
    remove_on_close: bool = False
    directory_offset: int = 0
    listing: list[bytes] | None = None


class Dialect:
    """The part of the server that is specific to a dialect."""

    table: p9.MessageTable

    def reply(self, connection: FileConnection, message: p9.Message) -> p9.Message | None:
        """Execute a message that only this dialect has and return the reply; None if it is no request."""
        raise NotImplementedError

    def error(self, problem: ErrorReply) -> p9.Message:
        """Return the reply to a request that failed."""
        raise NotImplementedError

    def read_directory(
        self, connection: FileConnection, fid_state: FidState, offset: int, count: int
    ) -> p9.Message:
        """Serve a Tread of a directory, which only 9P2000 has."""
        del connection, fid_state, offset, count  # used by the 9P2000 dialect
        raise DiskError(errors.EISDIR)


class FileConnection(EmulatedConnection):
    """One client's connection: its fids, and the messages of both dialects."""

    server: BaseFileServer

    def __init__(self, server: BaseFileServer, write: Write) -> None:
        super().__init__(server, write)
        self.msize = 0
        self.dialect: Dialect | None = None
        self._framer = p9.Framer(server.pool, MAX_FRAME_BYTES)
        self.fids: dict[int, FidState] = {}
        self.id = server.next_id()
        self._pending: dict[int, p9.Message] = {}  # by tag; held or slow

    def feed(self, data: bytes | memoryview) -> None:
        """Handle bytes from the client."""
        try:
            for tag, message in self._framer.feed(data):
                self._receive(tag, message)
        except p9.FrameError:
            self.server.close_connection(self)

    def _receive(self, tag: int, message: p9.Message | p9.MalformedMessage) -> None:
        server = self.server
        if isinstance(message, p9.MalformedMessage):
            self._send(tag, self._error(ErrorReply(errors.EPROTO, message.reason)))
            return
        server.received.append(message)
        if tag in self._pending and not isinstance(message, p9.Tversion):
            self._send(tag, self._error(ErrorReply(errors.EPROTO, "duplicate tag")))
            return
        if server.holds_reply and server.holds_reply(message):
            self._hold(tag, message)
            return
        rule = server.script.rule_for(message)
        if rule is None:
            self.answer(tag, message)
        else:
            self._inject_fault(tag, message, rule)

    def _hold(self, tag: int, message: p9.Message) -> None:
        self._pending[tag] = message
        self.server.held_messages.append((tag, message, self))

    def _inject_fault(self, tag: int, message: p9.Message, rule: Rule) -> None:
        server = self.server
        match rule.fault:
            case Fault.STALL:
                self._hold(tag, message)
            case Fault.SLOW:
                self._pending[tag] = message
                fids_at_arrival = self._copy_fids()
                server.call_later(rule.delay_us, lambda: self._answer_slowly(tag, message, fids_at_arrival))
            case Fault.LATE:
                fids = self._copy_fids()
                server.call_later(rule.delay_us, lambda: self._run_late(message, fids))
                server.close_connection(self)
            case Fault.RESET_BEFORE:
                server.close_connection(self)
            case Fault.RESET_AFTER:
                self.run(message)
                server.close_connection(self)
            case Fault.REFUSE:
                self._send(tag, self._error(ErrorReply(rule.error_number)))
            case _:
                self._send_faulty_reply(tag, message, rule.fault)

    def _send_faulty_reply(self, tag: int, message: p9.Message, fault: Fault) -> None:
        reply = self.run(message)
        match fault:
            case Fault.HALF:
                frame = p9.encode(tag, reply)
                self.write(frame[: len(frame) // 2])
            case Fault.WRONG_TAG:
                self._send(tag + 1, reply)
            case Fault.WRONG_TYPE:
                self._send(tag, p9.Rclunk() if isinstance(reply, p9.Rflush) else p9.Rflush())
            case Fault.WRONG_COUNT:
                self._send(tag, self._with_wrong_count(message, reply))

    def _copy_fids(self) -> dict[int, FidState]:
        return {fid: replace(fid_state) for fid, fid_state in self.fids.items()}

    def _answer_slowly(self, tag: int, message: p9.Message, fids: dict[int, FidState]) -> None:
        if self.is_closing:
            self._run_late(message, fids)
        else:
            self.answer(tag, message)

    def _run_late(self, message: p9.Message, fids: dict[int, FidState]) -> None:
        """Execute a message with the fids as they were when it was received."""
        self.fids = fids
        self.run(message)

    @staticmethod
    def _with_wrong_count(message: p9.Message, reply: p9.Message) -> p9.Message:
        match message, reply:
            case ((p9.Tread(count=count) | p9l.Treaddir(count=count)), p9.Rread(_)):
                return p9.Rread(b"\xff" * (count + 1))
            case p9l.Treaddir(count=count), _:
                return p9l.Rreaddir(b"\xff" * (count + 1))
            case p9.Twrite(data=data), p9.Rwrite(_):
                return p9.Rwrite(len(data) + 1)
            case _, p9.Rwalk(qids):
                return p9.Rwalk((*qids, p9.Qid(0, 0, 0)))
        return reply

    def answer(self, tag: int, message: p9.Message) -> None:
        """Execute a message and reply, unless the connection has ended or the message was flushed."""
        pending = self._pending.pop(tag, None)
        if not self.is_closing and (pending is message or pending is None):
            self._send(tag, self.run(message))

    def _send(self, tag: int, message: p9.Message) -> None:
        if not self.is_closing:
            self.write(p9.encode(tag, message))

    def _error(self, problem: ErrorReply) -> p9.Message:
        return self.dialect.error(problem) if self.dialect else p9.Rerror(problem.text)

    # Messages of both dialects

    def run(self, message: p9.Message) -> p9.Message:
        """Execute a message of either dialect and return the reply, an error if it fails."""
        try:
            if isinstance(message, p9.Tversion):
                return self._version(message)
            if self.dialect is None:
                raise DiskError(errors.EPROTO, "no version agreed")
            reply = self._run_shared(message) or self.dialect.reply(self, message)
            if reply is None:
                raise DiskError(errors.EOPNOTSUPP, "not a request")
            return reply
        except DiskError as error:
            return self._error(error.problem)

    def _run_shared(self, message: p9.Message) -> p9.Message | None:
        match message:
            case p9.Tflush(oldtag):
                self._flush(oldtag)
                return p9.Rflush()
            case p9.Tattach(fid, afid, uname, aname):
                return self._attach(fid, afid, uname, p9l.NONUNAME, aname)
            case p9l.Tlattach(fid, afid, uname, aname, n_uname):
                return self._attach(fid, afid, uname, n_uname, aname)
            case p9.Tauth() | p9l.Tlauth():
                raise DiskError(errors.EOPNOTSUPP, "authentication not required")
            case p9.Twalk(fid, newfid, names):
                return self._walk(fid, newfid, names)
            case p9.Tread(fid, offset, count):
                return self._read(fid, offset, count)
            case p9.Twrite(fid, offset, data):
                return self._write(fid, offset, data)
            case p9.Tclunk(fid):
                self.clunk(fid)
                return p9.Rclunk()
            case p9.Tremove(fid):
                fid_state = self.fid(fid)
                self.clunk(fid, removed=True)
                self.remove(fid_state)
                return p9.Rremove()
        return None

    def _version(self, message: p9.Tversion) -> p9.Message:
        self.reset()
        self.dialect = None
        self.msize = 0
        if message.msize < MIN_MSIZE:
            return p9.Rerror("msize too small")
        version = self.server.version_for(message.version)
        self.msize = min(message.msize, self.server.msize)
        self.dialect = self.server.dialects[version] if version else None
        self._framer.max_size = self.msize
        self._framer.table = self.dialect.table if self.dialect else p9.PLAIN_MESSAGES
        return p9.Rversion(self.msize, version or "unknown")

    def reset(self) -> None:
        """End the session, as a Tversion does: release its fids and locks; pending messages get no reply."""
        self._pending.clear()
        for fid in list(self.fids):
            self.clunk(fid)
        self.server.locks.release_session(self.id)

    def close(self) -> None:
        """End the session with its connection."""
        if not self.is_closing:
            super().close()
            self.reset()
            self._pending.clear()

    def _flush(self, oldtag: int) -> None:
        self._pending.pop(oldtag, None)

    def fid(self, fid: int) -> FidState:
        """Return the state of a fid."""
        if fid not in self.fids:
            raise DiskError(errors.EBADF, "unknown fid")
        return self.fids[fid]

    def unopened(self, fid: int) -> FidState:
        """Return the state of a fid that must not be open."""
        fid_state = self.fid(fid)
        if fid_state.access is not None:
            raise DiskError(errors.EBADF, "fid already open")
        return fid_state

    def new_fid(self, fid: int, fid_state: FidState) -> None:
        """Set the state of an unused fid."""
        if fid in self.fids or fid == p9.NOFID:
            raise DiskError(errors.EBADF, "fid already in use")
        self.fids[fid] = fid_state

    def qid(self, node: Inode) -> p9.Qid:
        """Return the file's qid on this server."""
        return self.server.disk.qid(node, self.server.qid_offset)

    def _attach(self, fid: int, afid: int, uname: str, n_uname: int, aname: str) -> p9.Message:
        if afid != p9.NOFID:
            raise DiskError(errors.EOPNOTSUPP, "authentication not required")
        if self.server.aname is not None and aname != self.server.aname:
            raise DiskError(errors.ENOENT, "no such export")
        user = str(n_uname) if n_uname != p9l.NONUNAME else uname
        self.new_fid(fid, FidState(self.server.disk.root, user))
        return p9.Rattach(self.qid(self.server.disk.root))

    def _walk(self, fid: int, newfid: int, names: tuple[str, ...]) -> p9.Message:
        fid_state = self.fid(fid)
        if fid_state.access is not None:
            raise DiskError(errors.EBADF, "cannot walk an open fid")
        if newfid != fid and (newfid in self.fids or newfid == p9.NOFID):
            raise DiskError(errors.EBADF, "fid already in use")
        if any(not name or name == "." or "/" in name for name in names):
            raise DiskError(errors.EINVAL, "bad name in walk")
        to = replace(fid_state)
        qids: list[p9.Qid] = []
        for name in names:
            try:
                to = self._walk_step(to, name)
            except DiskError:
                if not qids:
                    raise
                break
            qids.append(self.qid(to.node))
        if len(qids) == len(names):
            self.fids[newfid] = to
        return p9.Rwalk(tuple(qids))

    def _walk_step(self, fid_state: FidState, name: str) -> FidState:
        disk = self.server.disk
        if fid_state.node.is_dir:
            disk.check_permission(fid_state.node, fid_state.user, SEARCH)
        child = disk.child(fid_state.node, name)
        if name == "..":
            return self.server.fid_state_of_directory(child, fid_state.user)
        return FidState(child, fid_state.user, fid_state.node, name)

    def _read(self, fid: int, offset: int, count: int) -> p9.Message:
        fid_state = self.fid(fid)
        if fid_state.access is None or fid_state.access == p9.OWRITE:
            raise DiskError(errors.EBADF, "fid not open for reading")
        count = min(count, self.msize - p9.IO_HEADER_BYTES)
        if fid_state.node.is_dir:
            assert self.dialect
            return self.dialect.read_directory(self, fid_state, offset, count)
        if offset + count > SIGNED_END:
            raise DiskError(errors.EINVAL, "illegal offset")
        return p9.Rread(bytes(fid_state.node.data[offset : offset + count]))

    def _write(self, fid: int, offset: int, data: bytes) -> p9.Message:
        fid_state = self.fid(fid)
        if fid_state.access not in (p9.OWRITE, p9.ORDWR):
            raise DiskError(errors.EBADF, "fid not open for writing")
        if fid_state.append or self.qid(fid_state.node).type & p9.QTAPPEND:
            offset = len(fid_state.node.data)
        elif offset + len(data) > SIGNED_END:
            raise DiskError(errors.EINVAL, "illegal offset")
        return p9.Rwrite(self.server.disk.write(fid_state.node, offset, data, fid_state.user) if data else 0)

    def open(self, fid: int, fid_state: FidState, access: int, truncate: bool) -> p9.Qid:
        """Open a file, for Topen, Tlopen and Tlcreate, and return its qid."""
        disk = self.server.disk
        node = fid_state.node
        is_writing = access in (p9.OWRITE, p9.ORDWR)
        if node.is_dir and (is_writing or truncate):
            raise DiskError(errors.EISDIR)
        permissions = (
            (READ if access in (p9.OREAD, p9.ORDWR) else 0)
            | (WRITE if is_writing or truncate else 0)
            | (SEARCH if access == p9.OEXEC else 0)
        )
        disk.check_permission(node, fid_state.user, permissions)
        self.acquire_exclusive_use(fid, node)
        if truncate and not self.qid(node).type & p9.QTAPPEND:
            disk.truncate(node, 0, fid_state.user)
        fid_state.access = access
        return self.qid(node)

    def acquire_exclusive_use(self, fid: int, node: Inode) -> None:
        """Acquire an exclusive-use file for this fid; raises DiskError if another fid has it open."""
        if self.qid(node).type & p9.QTEXCL and not self.server.exclusive_use.acquire(
            ("", node.number), self.id, fid
        ):
            raise DiskError(errors.EBUSY)

    def clunk(self, fid: int, removed: bool = False) -> None:
        """Release a fid, for Tclunk and Tremove; with `removed`, the caller removes its file."""
        fid_state = self.fid(fid)
        del self.fids[fid]
        self.server.locks.release_fid(self.id, fid)
        self.server.exclusive_use.release_fid(self.id, fid)
        if fid_state.remove_on_close and not removed:
            with contextlib.suppress(DiskError):  # a clunk does not fail
                self.remove(fid_state)

    def remove(self, fid_state: FidState) -> None:
        """Remove the file from the directory where it was found, for Tremove and ORCLOSE."""
        if fid_state.parent is None:
            raise DiskError(errors.EBUSY, "cannot remove the root")
        disk = self.server.disk
        if fid_state.parent.names.get(fid_state.name, (None,))[0] is not fid_state.node:
            raise DiskError(errors.ENOENT)
        disk.check_permission(fid_state.parent, fid_state.user, WRITE)
        disk.unlink(fid_state.parent, fid_state.name, fid_state.user)


class BaseFileServer(EmulatedServer):
    """A file server with one disk and any number of connections; `dialects` are keyed by version."""

    connection_class = FileConnection

    def __init__(
        self,
        *args: Any,
        tree: Tree | None = None,
        disk: Disk | None = None,
        dialects: dict[str, Dialect],
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.disk = disk or Disk(tree)
        self.dialects = dialects
        self.msize = DEFAULT_MSIZE
        self.aname: str | None = None  # the only name that may be attached; None: any
        self.qid_offset = 0  # added to every qid's path
        self.received: list[p9.Message] = []  # every message, in order
        self.holds_reply: Callable[[p9.Message], bool] | None = None
        self.held_messages: list[tuple[int, p9.Message, FileConnection]] = []
        self.script = FaultScript()
        self.locks = LockTable(MAX_LOCKS)
        self.exclusive_use = ExclusiveUse()
        self._ids = 0

    def next_id(self) -> int:
        """Return the number of a new connection."""
        self._ids += 1
        return self._ids

    def version_for(self, wanted: str) -> str:
        """Return the version that answers a Tversion's offer, empty if none fits.

        An unknown suffix after a dot is ignored (version(5)).
        """
        if wanted in self.dialects:
            return wanted
        base = wanted.split(".")[0]
        return base if base in self.dialects else ""

    @property
    def tree(self) -> Tree:
        """Raise AttributeError: the tree can only be set."""
        raise AttributeError("the tree is on the disk")

    @tree.setter
    def tree(self, tree: Tree) -> None:
        self.disk = Disk(tree)

    def release(self) -> None:
        """Answer the held messages and stop holding messages."""
        pending = self.held_messages
        self.held_messages = []
        self.holds_reply = None
        for tag, message, connection in pending:
            connection.answer(tag, message)

    def call_later(self, delay_us: int, call: Callable[[], Any]) -> None:
        """Schedule a call after a delay in microseconds."""
        self.scheduler.call_at(self.scheduler.now + delay_us, call)

    def restart(self, new_qids: bool = False) -> None:
        """Close every connection; with `new_qids`, every file gets a new qid, as if it were replaced."""
        self.held_messages.clear()
        self.qid_offset += NEW_QIDS_OFFSET * new_qids
        self.close_connections()

    def fid_state_of_directory(self, node: Inode, user: str) -> FidState:
        """Return the fid state of a directory, with its parent and name in the tree."""
        if node is self.disk.root or node.parent is None:
            return FidState(node, user)
        name = next((name for name, (child, _) in node.parent.names.items() if child is node), "")
        return FidState(node, user, node.parent, name)

    def update_renamed_fids(
        self, parent: Inode, name: str, new_parent: Inode, new_name: str, node: Inode
    ) -> None:
        """Update parent and name in every fid of a renamed file."""
        for connection in self.connections:
            if isinstance(connection, FileConnection):
                for fid_state in connection.fids.values():
                    if fid_state.node is node and fid_state.parent is parent and fid_state.name == name:
                        fid_state.parent = new_parent
                        fid_state.name = new_name
