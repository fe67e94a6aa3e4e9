"""The 9P front: a state machine for one client connection, in either dialect.

Each request that needs a server is one item in the core, and whichever server the core picks finds the
file by its path. What the dialects word differently is in `speak_plain.py` and `speak_linux.py`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from garnetlanding.core.ports import Answer, Failed, InvalidRequestError, Rejected, RequestSpec, Served
from garnetlanding.limits import MS
from garnetlanding.ninep import codec, codec_linux, errors
from garnetlanding.ninep.codec import NOFID, QTEXCL, READ_OVERHEAD, Message, Qid
from garnetlanding.ninep.errors import Problem
from garnetlanding.ninep.fids import Fid, Pending, RequestRejectedError, normal
from garnetlanding.ninep.model import Path, good_name
from garnetlanding.ninep.operation_table import class_for
from garnetlanding.ninep.operations import Attach, Read, Remove, Walk, Work, Write
from garnetlanding.ninep.session import Identity, OpenFile, OpenMode
from garnetlanding.ninep.shared import Front

OFFSET_END = 1 << 63  # offsets are signed at every server


class Speaker(Protocol):
    """What differs between the dialects."""

    version: str
    table: codec.Table

    def handle(self, tag: int, message: Message) -> None:
        """What only this dialect has. Raises RequestRejectedError."""

    def read_directory(self, tag: int, fid: int, at: Fid, offset: int, count: int) -> None: ...

    def error(self, problem: Problem, msize: int) -> Message: ...


class ClientMachine:
    def __init__(self, front: Front, write: Callable[[bytes], None]) -> None:
        self.front, self._write = front, write
        self.limits = front.limits
        self._framer = codec.Framer(front.pool, front.limits.ninep_msize)
        self.msize = 0  # 0: no version agreed yet
        self.speaker: Speaker | None = None
        self.fids: dict[int, Fid] = {}
        self._pending: dict[int, Pending] = {}
        self._flushing: dict[int, Pending] = {}  # by the flush's tag
        self._items = 0  # with the core
        self._queue: deque[tuple[Pending, Callable[[], None]]] = deque()  # not yet with it, as they came
        self.id = front.join(self)
        self.ended = self.waiting = False
        self.taken = self.bad = self.asked = 0

    # For the driver

    @property
    def owed(self) -> int:
        return len(self._pending)

    @property
    def midway(self) -> bool:
        return self._framer.midway

    @property
    def session(self) -> bool:
        return bool(self.fids)

    def feed(self, data: bytes | memoryview) -> None:
        """A few messages a turn: the rest waits, and `feed(b"")` goes on with it."""
        self.waiting, left = False, self.limits.ninep_messages_per_iteration
        if self.ended:
            return
        try:
            for tag, message in self._framer.feed(data):
                self.taken += 1
                self._take(tag, message)
                if self.bad >= self.limits.bad_commands:
                    return self.close()
                left -= 1
                if not left:
                    self.waiting = self._framer.has_complete_message
                    return
        except codec.FrameError:
            # No tag can be trusted to answer with; what is in flight has lost its client.
            self.close()

    def close(self) -> None:
        self.ended = True
        self._framer.close()
        self._reset()
        self.front.left(self.id)

    def _reset(self) -> None:
        """The session is over, and its fids are gone. What only asks has lost its client; what may have
        changed something already runs to its end, so that what comes after it comes after it."""
        # The last first, so that none goes out because one before it was dropped; a clunk that waits may
        # end by the drop of another.
        for tag in reversed(list(self._pending)):
            if tag in self._pending and not self._drop(tag):
                self._pending.pop(tag).settled = True
        self._flushing.clear()
        fids, self.fids = self.fids, {}
        self.front.locks.clunked(self.id, None)
        self.front.exclusive.clunked(self.id, None)
        for at in fids.values():
            if at.remove_on_close:
                self._remove_unseen(at)

    def _drop(self, tag: int) -> bool:
        """Takes a request back as though it had never come; False when that can no longer be said of it."""
        pending = self._pending[tag]
        if pending.must_end:
            return False
        del self._pending[tag]
        pending.settled = pending.dropped = True
        if pending.ticket:
            self.front.core.client_disconnected(pending.ticket)
            self._item_ended()
        if pending.order:
            self.front.ended(self.id, pending.order, unsure=False)
        return True

    # Messages

    def _take(self, tag: int, message: Message | codec.Malformed) -> None:
        if isinstance(message, codec.Tversion):
            self._reset()
            self._version(tag, message)
            return
        try:
            if self.speaker is None:
                raise RequestRejectedError(errors.EPROTO, "no version agreed")
            if tag in self._pending or tag in self._flushing:
                raise RequestRejectedError(errors.EPROTO, "duplicate tag")
            if isinstance(message, codec.Malformed):
                self.bad += 1
                raise RequestRejectedError(errors.EPROTO, message.reason)
            self._handle(tag, message, self.speaker)
        except RequestRejectedError as refusal:
            self.fail(tag, refusal.problem)

    def _handle(self, tag: int, message: Message, speaker: Speaker) -> None:
        match message:
            case codec.Tflush(oldtag):
                self._flush(tag, oldtag)
            case codec.Tattach(fid, afid, uname, aname):
                self._attach(tag, fid, afid, uname, codec_linux.NONUNAME, aname)
            case codec_linux.Tlattach(fid, afid, uname, aname, n_uname):
                self._attach(tag, fid, afid, uname, n_uname, aname)
            case codec.Tauth() | codec_linux.Tlauth():
                raise RequestRejectedError(errors.EOPNOTSUPP, "authentication not required")
            case codec.Twalk():
                self._walk(tag, message)
            case codec.Tread(fid, offset, count):
                self._read(tag, fid, offset, count, speaker)
            case codec.Twrite(fid, offset, data):
                self._write_to(tag, fid, offset, data)
            case codec.Tclunk(fid):
                self._clunk(tag, fid)
            case codec.Tremove(fid):
                self._remove(tag, fid)
            case _:
                speaker.handle(tag, message)

    def _version(self, tag: int, message: codec.Tversion) -> None:
        self.msize, self.speaker = 0, None
        self._framer.max_size, self._framer.table = self.limits.ninep_msize, codec.PLAIN
        if message.msize < self.limits.ninep_msize_min:
            self.say(tag, codec.Rerror("msize too small"))
            return
        speaker = self._speaker(message.version)
        msize = min(message.msize, self.limits.ninep_msize)
        if speaker:
            self.speaker, self.msize = speaker, msize
            self._framer.max_size, self._framer.table = msize, speaker.table
        self.say(tag, codec.Rversion(msize, speaker.version if speaker else "unknown"))

    def _speaker(self, version: str) -> Speaker | None:
        """A version with an unknown suffix gets what stands before it (version(5))."""
        if version == codec_linux.VERSION:
            from garnetlanding.ninep.server_dialect_linux import LinuxSpeaker

            return LinuxSpeaker(self)
        if version.split(".")[0] == codec.VERSION:
            from garnetlanding.ninep.server_dialect_plain import PlainSpeaker

            return PlainSpeaker(self)
        return None

    def _flush(self, tag: int, oldtag: int) -> None:
        """Answered once no answer can follow to what it flushes. What may have changed something is not
        taken back: its own answer comes first (flush(5))."""
        old = self._pending.get(oldtag) or self._flushing.get(oldtag)
        if old is None or (oldtag in self._pending and self._drop(oldtag)):
            self.say(tag, codec.Rflush())
        else:
            old.flushes.append(tag)
            self._flushing[tag] = old

    # Fids

    def fid(self, fid: int) -> Fid:
        if fid not in self.fids:
            raise RequestRejectedError(errors.EBADF, "unknown fid")
        if any(p.alone and p.fid == fid for p in self._pending.values()):
            raise RequestRejectedError(errors.EBADF, "fid is being opened or walked")
        return self.fids[fid]

    def directory(self, fid: int, name: str) -> Fid:
        """A fid in which `name` is to come or go."""
        at = self.fid(fid)
        if not at.is_dir:
            raise RequestRejectedError(errors.ENOTDIR)
        self.good_name(name)
        return at

    def good_name(self, name: str) -> None:
        if not good_name(name):
            raise RequestRejectedError(errors.EINVAL, f"illegal name {name!r:.40}")

    def bounded(self, path: Path) -> None:
        """Raises RequestRejectedError for a path that is longer than a fid may have."""
        if len(path) > self.limits.ninep_path_names or sum(map(len, path)) > self.limits.ninep_path_bytes:
            raise RequestRejectedError(errors.ENAMETOOLONG, "path too long")

    def opened(self, fid: int) -> tuple[Fid, OpenMode]:
        at = self.fid(fid)
        if at.open_mode is None:
            raise RequestRejectedError(errors.EBADF, "fid not open")
        return at, at.open_mode

    def unopened(self, fid: int) -> Fid:
        at = self.fid(fid)
        if at.open_mode is not None:
            raise RequestRejectedError(errors.EBADF, "fid already open")
        return at

    def _free_fid(self, fid: int) -> None:
        reserved = [p.newfid for p in self._pending.values() if p.newfid is not None]
        if fid in self.fids or fid in reserved or fid == NOFID:
            raise RequestRejectedError(errors.EBADF, "fid already in use")
        if len(self.fids) + len(reserved) >= self.limits.ninep_fids:
            raise RequestRejectedError(errors.ENOMEM, "too many fids")

    def _attach(self, tag: int, fid: int, afid: int, uname: str, n_uname: int, aname: str) -> None:
        if afid != NOFID:
            raise RequestRejectedError(errors.EOPNOTSUPP, "authentication not required")
        exports = self.front.exports
        export = exports.get(aname)
        if not aname and len(exports) == 1:
            [export] = exports.values()  # what a client attaches that was told no name
        if export is None:
            raise RequestRejectedError(errors.ENOENT, "no such export")
        self._free_fid(fid)
        at = Fid(export, Identity(uname, n_uname, export.aname), (), Qid(codec.QTDIR, 0, 0))

        def told(qid: Any) -> Message:
            at.qid = qid
            self.fids[fid] = at
            return codec.Rattach(qid)

        self.ask(tag, Pending(NOFID, Attach(at.identity, ()), fid), at, told)

    def _walk(self, tag: int, message: codec.Twalk) -> None:
        at, newfid = self.fid(message.fid), message.newfid
        if at.open_mode is not None:
            raise RequestRejectedError(errors.EBADF, "cannot walk an open fid")
        if newfid != message.fid:
            self._free_fid(newfid)
        if any(not name or "/" in name or name == "." for name in message.names):
            raise RequestRejectedError(errors.EINVAL, "bad name in walk")
        path = normal(at.path, message.names)
        self.bounded(path)
        if not message.names:
            self.fids[newfid] = Fid(at.export, at.identity, at.path, at.qid)
            self.say(tag, codec.Rwalk(()))
            return

        def told(qids: Any) -> Message:
            # The new fid exists only when every name was found.
            if len(qids) == len(message.names):
                self.fids[newfid] = Fid(at.export, at.identity, path, qids[-1])
            return codec.Rwalk(qids)

        self.ask(
            tag,
            Pending(
                message.fid,
                Walk(at.identity, at.path, at.qid, message.names),
                None if newfid == message.fid else newfid,
                alone=newfid == message.fid,
            ),
            at,
            told,
        )

    def take_open(self, fid: int, at: Fid, file: OpenFile, open_mode: OpenMode) -> int:
        """The fid is open now; returns the iounit to tell. Raises RequestRejectedError for an exclusive
        file in use."""
        if file.qid.type & QTEXCL and not self.front.exclusive.open(
            (at.export.name, file.qid.path), self.id, fid
        ):
            raise RequestRejectedError(errors.EBUSY)
        at.qid, at.open_mode = file.qid, open_mode
        most = self.msize - READ_OVERHEAD
        return min(file.iounit or most, most)

    # Data

    def _read(self, tag: int, fid: int, offset: int, count: int, speaker: Speaker) -> None:
        at, open_mode = self.opened(fid)
        if not open_mode.reads:
            raise RequestRejectedError(errors.EBADF, "fid not open for reading")
        count = min(count, self.msize - READ_OVERHEAD)
        if at.is_dir:
            return speaker.read_directory(tag, fid, at, offset, count)
        self.good_offset(offset, count)
        if not count:
            return self.say(tag, codec.Rread(b""))
        self.ask(
            tag,
            Pending(fid, Read(at.identity, at.path, at.qid, open_mode, offset, count)),
            at,
            lambda data: codec.Rread(data),
            count,
        )

    def good_offset(self, offset: int, count: int) -> None:
        if offset + count > OFFSET_END:
            raise RequestRejectedError(errors.EINVAL, "illegal offset")

    def _write_to(self, tag: int, fid: int, offset: int, data: bytes) -> None:
        at, open_mode = self.opened(fid)
        if not open_mode.writes:
            raise RequestRejectedError(errors.EBADF, "fid not open for writing")
        append = open_mode.append or bool(at.qid.type & codec.QTAPPEND)
        if not append:
            self.good_offset(offset, len(data))
        if not data:
            return self.say(tag, codec.Rwrite(0))
        self.ask(
            tag,
            Pending(fid, Write(at.identity, at.path, at.qid, open_mode, offset, data, append)),
            at,
            lambda count: codec.Rwrite(count),
            len(data),
        )

    # The end of a fid

    def _forget(self, fid: int) -> Fid:
        """What only asks on it is given up and answered first: one answer a tag. Changes run to their end."""
        if fid not in self.fids:
            raise RequestRejectedError(errors.EBADF, "unknown fid")
        for tag, pending in list(self._pending.items()):
            on_it = pending.fid == fid and pending.newfid is None
            if on_it and not (pending.work and pending.work.spec.change) and self._drop(tag):
                self.fail(tag, Problem(errors.EBADF, "fid clunked"))
        self.front.locks.clunked(self.id, fid)
        self.front.exclusive.clunked(self.id, fid)
        return self.fids.pop(fid)

    def _clunk(self, tag: int, fid: int) -> None:
        at = self._forget(fid)
        if at.remove_on_close:
            return self._ask_removal(tag, at, codec.Rclunk())
        if not any(p.fid == fid and p.newfid is None for p in self._pending.values()):
            return self.say(tag, codec.Rclunk())
        # Changes are still out on it: answered behind them, as the client takes the answer for the last.
        pending = self._pending[tag] = Pending(NOFID, stays=True)

        def go() -> None:
            self.front.ended(self.id, pending.order, unsure=False)
            self.settle(tag, pending, codec.Rclunk())

        pending.order, free = self.front.enter(self.id, at, ((at.export.name, at.path),), go)
        if free:
            go()

    def _remove(self, tag: int, fid: int) -> None:
        at = self._forget(fid)  # a remove clunks its fid even when it fails
        if not at.export.writable:
            raise RequestRejectedError(errors.EROFS)
        if not at.path:
            raise RequestRejectedError(errors.EBUSY, "cannot remove the root")
        self._ask_removal(tag, at, codec.Rremove())

    def _ask_removal(self, tag: int, at: Fid, reply: Message) -> None:
        pending = Pending(NOFID, Remove(at.identity, at.path, at.qid), stays=True)
        self.ask(tag, pending, at, lambda _: reply)

    def _remove_unseen(self, at: Fid) -> None:
        """Remove on close, for a client that has gone: nobody hears what comes of it."""
        pending = Pending(NOFID, Remove(at.identity, at.path, at.qid), settled=True)
        self._enter(-1, pending, at, lambda _: codec.Rclunk(), 1)

    # Items

    def ask(self, tag: int, pending: Pending, at: Fid, told: Callable[[Any], Message], size: int = 0) -> None:
        """One item for what a message asks; `told` makes the answer of what comes back. `size`: bytes."""
        if len(self._pending) >= self.limits.ninep_tags:
            raise RequestRejectedError(errors.EAGAIN, "too many requests in flight")
        assert pending.work
        if pending.work.spec.change and not at.export.writable:
            raise RequestRejectedError(errors.EROFS)
        self._pending[tag] = pending
        self.asked += 1
        units = max(1, -(-size // at.export.unit_bytes))
        if pending.work.spec.change:
            self._enter(tag, pending, at, told, units)
        else:
            until = self.front.timers.now + at.export.deadline_us
            self._admit(pending, lambda: self._send(tag, pending, at, told, units, until))

    def _admit(self, pending: Pending, send: Callable[[], None]) -> None:
        """What goes past the client's share waits here, and goes as those before it end. Its time runs."""
        self.front.shares.asks(self.id, self.front.timers.now)
        self._queue.append((pending, send))
        self._send_queued()

    def _send_queued(self) -> None:
        share = self.front.shares.of(self.id, self.front.timers.now)
        while self._queue and self._items < share:
            pending, send = self._queue.popleft()
            if not pending.dropped:
                self._items += 1
                send()

    def _item_ended(self) -> None:
        self._items -= 1
        self._send_queued()

    def _enter(self, tag: int, pending: Pending, at: Fid, told: Callable[[Any], Message], units: int) -> None:
        """A change takes its place behind those it must not overtake; its time runs from now on."""
        work = pending.work
        assert work
        timers, export = self.front.timers, at.export
        until = timers.now + (export.change_deadline_us or export.deadline_us)
        path = at.path

        def go() -> None:
            if at.path != path:
                # Renamed by what went before it.
                pending.work = work.under(path, at.path)
            self._admit(pending, lambda: self._send(tag, pending, at, told, units, until))

        pending.order, free = self.front.enter(self.id, at, tuple((export.name, p) for p in work.paths), go)
        if free:
            go()

    def _send(
        self, tag: int, pending: Pending, at: Fid, told: Callable[[Any], Message], units: int, until: int
    ) -> None:
        export, work, core = at.export, pending.work, self.front.core
        assert work
        # One whose time went by while it waited still goes to the module, which turns it away.
        wait_us = max(1, until - self.front.timers.now)

        def answered(answer: Answer) -> None:
            self.settle(tag, pending, self._answer(work, answer, told))
            self._item_ended()
            if pending.order:
                self.front.ended(self.id, pending.order, unsure=work.trace.unsure > 0)

        cls = class_for(work.op, export.cls, export.change_cls or export.cls, core.settings.classes)
        try:
            pending.ticket = core.submit(
                RequestSpec(
                    cls,
                    export.plan,
                    export.volume,
                    "/" + "/".join(work.path),
                    float(units),
                    export.cell,
                    wait_us,
                    export.hosts,
                    work,
                    is_write=work.spec.change,
                    held_bytes=self._bytes(work),
                    allow_hedging=False,
                ),  # what it keeps of its attempts is for one at a time
                self.front.backend,
                answered,
            )
        except InvalidRequestError as problem:  # the operator's export and the settings do not go together
            answered(Served(Problem(errors.EINVAL, str(problem))))

    @staticmethod
    def _bytes(work: Work) -> int:
        return len(work.data) if isinstance(work, Write) else getattr(work, "count", 0)

    def _answer(self, work: Work, answer: Answer, told: Callable[[Any], Message]) -> Message | Problem:
        """What the client hears. A repeat of what may have happened is nobody's advice."""
        unknown = work.spec.change and work.trace.exposed
        match answer:
            case Served(Problem() as problem):
                if not (work.spec.change and work.trace.unsure):
                    return problem
                # This attempt failed; of one before it nobody heard the end.
                words = f"may have happened: {work.op.value}; tried again: {problem.text}"
                return Problem(errors.EIO, words)
            case Served(value):
                try:
                    return told(value)
                except RequestRejectedError as refusal:
                    return refusal.problem
            case Rejected(retry_after_us) if not unknown:
                wait = f"; come again after {-(-retry_after_us // MS)} ms" if retry_after_us else ""
                return Problem(errors.EAGAIN, "busy" + wait)
            case Failed(why) if not work.spec.change:
                return Problem(errors.EIO, why)
        return Problem(errors.EIO, f"may have happened: {work.op.value} was sent, and no answer came")

    def settle(self, tag: int, pending: Pending, answer: Message | Problem) -> None:
        """The one answer to a tag, and those of the flushes that wait for it."""
        if pending.settled:
            return
        pending.settled = True
        del self._pending[tag]
        if isinstance(answer, Problem):
            self.fail(tag, answer)
        else:
            self.say(tag, answer)
        for flush in pending.flushes:
            del self._flushing[flush]
            self.say(flush, codec.Rflush())

    def fail(self, tag: int, problem: Problem) -> None:
        self.say(tag, self.speaker.error(problem, self.msize) if self.speaker else codec.Rerror(problem.text))

    def say(self, tag: int, message: Message) -> None:
        self._write(codec.encode(tag, message))
