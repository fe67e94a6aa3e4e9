"""The protocol that carries attempts to file servers: runs one program after another on a connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from garnetlanding.core.ports import AttemptHandle
from garnetlanding.decision.interface import Outcome
from garnetlanding.limits import Limits
from garnetlanding.ninep import codec, codec_linux
from garnetlanding.ninep.client_dialect import may_change
from garnetlanding.ninep.operations import Read, ReadDirectory, Work, Write
from garnetlanding.ninep.session import Session, Steps, clunk_surplus_fids
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BackendProtocolError
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import parse_address
from garnetlanding.runtime.upstream import Upstream

TAG = 1  # one message of an attempt is out at a time
CLUNK_TAGS = range(2, 0xFFFF)  # of clunks, which nothing waits for
OFFERS = {
    "auto": (codec_linux.VERSION, codec.VERSION),
    codec.VERSION: (codec.VERSION,),
    codec_linux.VERSION: (codec_linux.VERSION,),
}


class ServerMachine:
    def __init__(
        self,
        work: Work,
        pool: BufferPool,
        limits: Limits,
        offer: tuple[str, ...],
        write: Callable[[bytes], None],
        done: Callable[[], None],
    ) -> None:
        self._write, self._done = write, done
        self._session = Session(
            work.identity, limits.ninep_msize, limits.ninep_msize_min, limits.ninep_keep_open, offer
        )
        self._framer = codec.Framer(pool, limits.ninep_msize)
        self._trial: AttemptHandle | None = None
        self._work: Work | None = None
        self._program: Steps[Any] | None = None
        self._clunks: set[int] = set()  # tags of those out
        self._next_clunk = CLUNK_TAGS[0]
        self.exposed = False
        self.body = None  # what file servers send is bounded by msize

    def begin(self, attempt: AttemptHandle) -> None:
        self._trial, self._work = attempt, attempt.work
        self.exposed = False
        self._program = attempt.work.program(self._session)
        self._step(None)

    def _step(self, reply: codec.Message | None) -> None:
        assert self._program
        try:
            # A generator that has not begun takes None alone, which is what begin() hands over.
            message = self._program.send(reply)  # type: ignore[arg-type]
        except StopIteration as end:
            self._end(end.value)
            return
        # Each message of a longer program is new work for the server: it may have begun to drain.
        if self._trial and self._trial.address() is None:
            raise BackendProtocolError("server drains")
        self._expose(message)
        self._framer.table = self._session.table
        self._write(codec.encode(codec.NOTAG if isinstance(message, codec.Tversion) else TAG, message))

    def _expose(self, message: codec.Message) -> None:
        """Of a program that changes something, the messages before the one that does prove nothing ran."""
        work = self._work
        if self._trial and work and not self.exposed:
            self.exposed = not work.spec.change or may_change(message)
            if work.spec.change and self.exposed:
                work.trace.exposed = True
                work.trace.unsure += 1

    def _end(self, answer: object) -> None:
        """The attempt has its end, and the connection is free: what it leaves open serves the next one, which
        another connection might not be allowed to open. Clunks of the rest go out behind it."""
        attempt, self._trial = self._trial, None
        if attempt:
            work: Work = attempt.work
            if work.spec.change and self.exposed:
                work.trace.unsure -= 1
            self._work = None
            if self._session.clunk_before_next:
                self._program = clunk_surplus_fids(self._session)
                attempt.finish(Outcome.SERVED, answer)
                return self._step(None)
            attempt.finish(Outcome.SERVED, answer)
        self._program = None
        self._clunk()
        self._done()

    def _clunk(self) -> None:
        surplus_fids, self._session.surplus_fids = self._session.surplus_fids, []
        for fid in surplus_fids:
            tag = self._next_clunk
            self._next_clunk = tag + 1 if tag + 1 in CLUNK_TAGS else CLUNK_TAGS[0]
            self._clunks.add(tag)
            self._write(codec.encode(tag, codec.Tclunk(fid)))

    def feed(self, data: bytes | memoryview) -> None:
        try:
            for tag, message in self._framer.feed(data):
                if tag in self._clunks and isinstance(message, codec.Rclunk):
                    self._clunks.remove(tag)
                    continue
                if self._program is None or isinstance(message, codec.Malformed):
                    raise BackendProtocolError("answer to nothing" if self._program is None else message)
                if tag != (codec.NOTAG if isinstance(message, codec.Rversion) else TAG):
                    raise BackendProtocolError(f"answer to tag {tag}")
                self._step(message)
        except codec.FrameError as problem:
            raise BackendProtocolError(problem) from None

    @property
    def midway(self) -> bool:
        return self._framer.midway

    def suits(self, attempt: AttemptHandle) -> bool:
        work = attempt.work
        return (
            isinstance(work, Read | ReadDirectory | Write)
            and (work.path, work.open_mode) in self._session.open
        )

    def close(self) -> None:
        self._framer.close()


def file_servers(
    scheduler: Scheduler, pool: BufferPool, limits: Limits, port: int, dialect: str = "auto"
) -> Upstream:
    """`port`: where file servers listen on the machines that discovery names; 0: at the address it gives.
    `dialect`: the one to offer them, or auto: the richer first."""

    def place(endpoint: str) -> str:
        return f"{parse_address(endpoint)[0]}:{port}" if port else endpoint

    def identity_key(attempt: AttemptHandle) -> str:
        """A connection is attached as one user to one tree; only attempts of the same may share it."""
        identity = attempt.work.identity
        return f"{identity.uname}\0{identity.n_uname}\0{identity.aname}"

    return Upstream(
        scheduler,
        pool,
        limits,
        limits.ninep_server_conns,
        lambda attempt, write, done: ServerMachine(attempt.work, pool, limits, OFFERS[dialect], write, done),
        place,
        identity_key,
    )
