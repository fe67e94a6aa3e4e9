"""The client that cases are written with: messages as they are, and short ways in either dialect."""

from __future__ import annotations

import stat as posix
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from garnetlanding.conform.wire import Wire
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors
from garnetlanding.ninep.attribute_format import read_entries
from garnetlanding.ninep.model import DMDIR, Entry
from garnetlanding.ninep.stat_format import KEEP4, KEEP8, STAT_HEAD, RawStat, parse_stat
from garnetlanding.runtime.buffers import BufferPool

M = TypeVar("M", bound=p9.Message)
ROOT = 0
FRAME_MOST = 1 << 24
BUFFERS, BUFFER_BYTES = 1 << 12, 8192
FIRST_FID = 100  # of those that the short ways take


class Failure(Exception):
    """The server did not do what the case's rule says."""


class Unsupported(Exception):
    """The server says that it has no such operation, which the rule allows."""


@dataclass(frozen=True, slots=True)
class Options:
    """How to attach, and how long an answer may take; times in seconds."""

    version: str = p9.VERSION
    aname: str = ""
    uname: str = "conform"
    uid: int = 1000
    msize: int = 8192
    wait_s: float = 5.0
    quiet_s: float = 0.2  # within which nothing more may come


@dataclass(frozen=True, slots=True)
class Facts:
    """What either dialect tells of a file."""

    qid: p9.Qid
    is_dir: bool
    perm: int
    length: int
    mtime: int


def check(holds: bool, why: str) -> None:
    if not holds:
        raise Failure(why)


def wstat(
    name: str = "",
    mode: int = KEEP4,
    mtime: int = KEEP4,
    length: int = KEEP8,
    gid: str = "",
    uid: str = "",
    muid: str = "",
    atime: int = KEEP4,
    type: int = 0xFFFF,
    dev: int = KEEP4,
) -> bytes:
    """A stat that leaves alone whatever is not given."""
    texts = b"".join(p9.pack("s", text) for text in (name, uid, gid, muid))
    return (
        STAT_HEAD.pack(
            STAT_HEAD.size - 2 + len(texts), type, dev, 0xFF, KEEP4, KEEP8, mode, atime, mtime, length
        )
        + texts
    )


class Client:
    """One connection. `dial` opens another to the same server."""

    def __init__(self, dial: Callable[[], Wire], options: Options) -> None:
        self.dial, self.options = dial, options
        self.wire = dial()
        self.linux = options.version == p9l.VERSION
        self.msize = 0
        self.ended = False
        self.got: list[tuple[int, p9.Message]] = []  # all that came, in order
        # Until a version is agreed on, errors have the base dialect's form.
        self._framer = p9.Framer(
            BufferPool(BUFFER_BYTES, 4, BUFFERS), FRAME_MOST, p9.PLAIN | p9l.LINUX if self.linux else p9.PLAIN
        )
        self._taken: set[int] = set()  # of what came, what some wait has had
        self._fid = FIRST_FID
        self._tag = 0
        self.scratch = ""

    # Messages

    def raw(self, data: bytes) -> None:
        self.wire.send(data)

    def send(self, message: p9.Message, tag: int | None = None) -> int:
        if tag is None:
            self._tag = self._tag % 0xFFF0 + 1
            tag = self._tag
        self.raw(p9.encode(tag, message))
        return tag

    def _more(self, wait_s: float) -> bool:
        data = self.wire.receive(wait_s)
        if data is None:
            return False
        if not data:
            self.ended = True
            return False
        try:
            for tag, message in self._framer.feed(data):
                if isinstance(message, p9.Malformed):
                    raise Failure(f"an answer that cannot be read: {message.reason}")
                self.got.append((tag, message))
        except p9.FrameError as problem:
            raise Failure(f"the answers' framing is lost: {problem}") from None
        return True

    def wait(self, tag: int) -> p9.Message:
        """The answer to a tag."""
        while True:
            for i, (got, message) in enumerate(self.got):
                if got == tag and i not in self._taken:
                    self._taken.add(i)
                    return message
            if not self._more(self.options.wait_s):
                raise Failure(
                    "the connection ended in place of an answer"
                    if self.ended
                    else f"no answer to tag {tag} within {self.options.wait_s:g} s"
                )

    def ask(self, message: p9.Message, tag: int | None = None) -> p9.Message:
        return self.wait(self.send(message, tag))

    def quiet(self) -> None:
        """Reads on until nothing comes for a while."""
        while self._more(self.options.quiet_s):
            pass

    def answers(self, tag: int) -> list[p9.Message]:
        return [message for got, message in self.got if got == tag]

    def must(self, kind: type[M], message: p9.Message, tag: int | None = None) -> M:
        """The answer, which must be of this kind."""
        return self.expect(kind, self.ask(message, tag))

    def expect(self, kind: type[M], reply: p9.Message) -> M:
        if not isinstance(reply, kind):
            if (problem := self.problem(reply)) is not None:
                raise Failure(f"{kind.__name__} expected, found the error {problem.text!r}")
            raise Failure(f"{kind.__name__} expected, found {type(reply).__name__}")
        return reply

    @staticmethod
    def problem(reply: p9.Message) -> errors.Problem | None:
        if isinstance(reply, p9.Rerror):
            return errors.from_text(reply.ename)
        return errors.from_number(reply.ecode) if isinstance(reply, p9l.Rlerror) else None

    def fails(self, message: p9.Message, *numbers: int) -> None:
        """The answer must be an error; in 9P2000.L, where errors are numbers, one of these."""
        self.is_error(self.ask(message), *numbers)

    def is_error(self, reply: p9.Message, *numbers: int) -> None:
        problem = self.problem(reply)
        if problem is None:
            raise Failure(f"an error expected, found {type(reply).__name__}")
        if self.linux and numbers and problem.number not in numbers:
            raise Failure(
                f"error {problem.number} ({problem.text}), expected one of " f"{', '.join(map(str, numbers))}"
            )

    def supported(self, reply: p9.Message) -> p9.Message:
        problem = self.problem(reply)
        if problem and problem.number in (errors.EOPNOTSUPP, errors.ENOSYS):
            raise Unsupported(problem.text)
        return reply

    # A session

    def hello(self) -> None:
        version = self.must(p9.Rversion, p9.Tversion(self.options.msize, self.options.version), p9.NOTAG)
        if version.version != self.options.version:
            raise Unsupported(f"the server speaks {version.version!r}")
        self.msize = version.msize

    def attach(self, fid: int = ROOT) -> p9.Qid:
        return self.must(p9.Rattach, self.attach_message(fid)).qid

    def attach_message(self, fid: int, afid: int = p9.NOFID) -> p9.Message:
        o = self.options
        if self.linux:
            return p9l.Tlattach(fid, afid, o.uname, o.aname, o.uid)
        return p9.Tattach(fid, afid, o.uname, o.aname)

    def another(self) -> Client:
        """A second connection, attached."""
        client = Client(self.dial, self.options)
        client.hello()
        client.attach()
        client.scratch = self.scratch
        return client

    def close(self) -> None:
        self.wire.close()

    # Short ways; what a case is about it says by messages

    def new_fid(self) -> int:
        self._fid += 1
        return self._fid

    def at(self, *names: str) -> int:
        """A new fid for what lies there below the case's own directory."""
        fid, source, path = self.new_fid(), ROOT, (self.scratch, *names)
        for at in range(0, len(path), p9.MAX_WALK):
            part = path[at : at + p9.MAX_WALK]
            walked = self.must(p9.Rwalk, p9.Twalk(source, fid, part))
            check(len(walked.qids) == len(part), f"a walk to {'/'.join(names)} came only part of the way")
            source = fid
        return fid

    def open_message(self, fid: int, access: int = p9.OREAD, truncate: bool = False) -> p9.Message:
        if self.linux:
            return p9l.Tlopen(fid, access | (p9l.L_TRUNC if truncate else 0))
        return p9.Topen(fid, access | (p9.OTRUNC if truncate else 0))

    def open(self, fid: int, access: int = p9.OREAD, truncate: bool = False) -> p9.Qid:
        reply = self.ask(self.open_message(fid, access, truncate))
        return self.expect(p9l.Rlopen, reply).qid if self.linux else self.expect(p9.Ropen, reply).qid

    def create_message(self, fid: int, name: str, perm: int = 0o644, access: int = p9.ORDWR) -> p9.Message:
        if self.linux:
            return p9l.Tlcreate(fid, name, access | p9l.L_CREATE | p9l.L_EXCL, perm, p9l.NOGID)
        return p9.Tcreate(fid, name, perm, access)

    def make(
        self, name: str, data: bytes = b"", perm: int = 0o644, *below: str, access: int = p9.ORDWR
    ) -> int:
        """A new file, open, with this in it."""
        fid = self.at(*below)
        reply = self.ask(self.create_message(fid, name, perm, access))
        self.expect(p9l.Rlcreate if self.linux else p9.Rcreate, reply)
        if data:
            self.write(fid, data)
        return fid

    def make_dir(self, name: str, *below: str, perm: int = 0o755) -> None:
        fid = self.at(*below)
        if self.linux:
            self.must(p9l.Rmkdir, p9l.Tmkdir(fid, name, perm, p9l.NOGID))
        else:
            self.must(p9.Rcreate, p9.Tcreate(fid, name, DMDIR | perm, p9.OREAD))
        self.clunk(fid)

    def write(self, fid: int, data: bytes, offset: int = 0) -> None:
        room = self.msize - p9.READ_OVERHEAD
        done = 0
        while done < len(data):
            part = data[done : done + room]
            count = self.must(p9.Rwrite, p9.Twrite(fid, offset + done, part)).count
            check(0 < count <= len(part), f"{count} bytes written of {len(part)}")
            done += count

    def read(self, fid: int, offset: int = 0, most: int = 1 << 20) -> bytes:
        out = b""
        while len(out) < most:
            count = min(most - len(out), self.msize - p9.READ_OVERHEAD)
            data = self.must(p9.Rread, p9.Tread(fid, offset + len(out), count)).data
            if not data:
                break
            out += data
        return out

    def clunk(self, fid: int) -> None:
        self.must(p9.Rclunk, p9.Tclunk(fid))

    def remove(self, fid: int) -> None:
        self.must(p9.Rremove, p9.Tremove(fid))

    def raw_stat(self, fid: int) -> RawStat:
        try:
            return parse_stat(self.must(p9.Rstat, p9.Tstat(fid)).stat)
        except ValueError as problem:
            raise Failure(f"a stat that cannot be read: {problem}") from None

    def attributes(self, fid: int) -> p9l.Rgetattr:
        return self.must(p9l.Rgetattr, p9l.Tgetattr(fid, p9l.GETATTR_BASIC))

    def facts(self, fid: int) -> Facts:
        if self.linux:
            a = self.attributes(fid)
            return Facts(a.qid, posix.S_ISDIR(a.mode), posix.S_IMODE(a.mode), a.size, a.mtime_s)
        s = self.raw_stat(fid)
        return Facts(s.qid, bool(s.mode & DMDIR), s.mode & 0o777, s.length, s.mtime)

    def set_perm(self, fid: int, perm: int) -> None:
        if self.linux:
            self.must(p9l.Rsetattr, p9l.Tsetattr(fid, p9l.SET_MODE, perm, 0, 0, 0, 0, 0, 0, 0))
        else:
            is_dir = self.facts(fid).is_dir
            self.must(p9.Rwstat, p9.Twstat(fid, wstat(mode=perm | (DMDIR if is_dir else 0))))

    def listing(self, fid: int, count: int = 0) -> list[tuple[str, p9.Qid]]:
        """Names and qids of an open directory, without `.` and `..`."""
        return [
            (e.name, e.qid)
            for e in self.entries(fid, count or self.msize - p9.READ_OVERHEAD)
            if e.name not in (".", "..")
        ]

    def entries(self, fid: int, count: int) -> list[Entry]:
        out: list[Entry] = []
        offset = 0
        while True:
            if self.linux:
                data = self.must(p9l.Rreaddir, p9l.Treaddir(fid, offset, count)).data
            else:
                data = self.must(p9.Rread, p9.Tread(fid, offset, count)).data
            check(len(data) <= count, f"{len(data)} bytes of directory, {count} asked for")
            if not data:
                return out
            part = self.parse(data, offset)
            out += part
            check(part[-1].cookie != offset, "the directory does not go on")
            offset = part[-1].cookie

    def parse(self, data: bytes, offset: int) -> list[Entry]:
        try:
            if self.linux:
                return read_entries(data)
            out, reader = [], p9.Reader(data)
            while reader.left:
                size = reader.number(2)
                raw = parse_stat(p9.pack("2", size) + reader.raw(size))
                out.append(Entry(raw.name, raw.qid, offset + len(data) - reader.left))
            return out
        except ValueError as problem:
            raise Failure(f"directory entries that cannot be read: {problem}") from None

    def exists(self, *names: str) -> bool:
        fid = self.new_fid()
        reply = self.ask(p9.Twalk(ROOT, fid, (self.scratch, *names)))
        found = isinstance(reply, p9.Rwalk) and len(reply.qids) == 1 + len(names)
        if found:
            self.clunk(fid)
        return found

    def content(self, *names: str) -> bytes:
        fid = self.at(*names)
        self.open(fid)
        data = self.read(fid)
        self.clunk(fid)
        return data
