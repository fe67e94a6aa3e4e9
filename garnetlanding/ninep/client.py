"""The protocol that carries attempts to file servers: runs one program after another on a connection."""

from __future__ import annotations

from collections.abc import Callable, Generator

from garnetlanding.core.ports import Trial
from garnetlanding.decision.interface import Outcome
from garnetlanding.limits import Limits
from garnetlanding.ninep import codec
from garnetlanding.ninep.work import Read, Session, Work, tidy_up
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import parse_address
from garnetlanding.runtime.upstream import PeerFault, Upstream

TAG = 1  # one message is out at a time


class ServerMachine:
    def __init__(self, work: Work, pool: BufferPool, limits: Limits, write: Callable[[bytes], None],
                 done: Callable[[], None]) -> None:
        self._write, self._done = write, done
        self._session = Session(work.uname, work.aname, limits.ninep_msize, limits.ninep_keep_open)
        self._framer = codec.Framer(pool, limits.ninep_msize)
        self._trial: Trial | None = None
        self._program: Generator[codec.Message, codec.Message, codec.Message | None] | None = None

    def begin(self, trial: Trial) -> None:
        self._trial = trial
        self._program = trial.work.program(self._session)
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
        if self._trial and self._trial.endpoint() is None:
            raise PeerFault("server drains")
        self._write(codec.encode(codec.NOTAG if isinstance(message, codec.Tversion) else TAG, message))

    def _end(self, answer: codec.Message | None) -> None:
        """The attempt has its end; then the connection is tidied, and is free once that is done."""
        trial, self._trial = self._trial, None
        if trial:
            trial.ended(Outcome.SERVED, answer)
            self._program = tidy_up(self._session)
            self._step(None)
        else:
            self._program = None
            self._done()

    def feed(self, data: bytes | memoryview) -> None:
        try:
            for tag, message in self._framer.feed(data):
                if self._program is None or isinstance(message, codec.Malformed):
                    raise PeerFault("answer to nothing" if self._program is None else message)
                if tag != (codec.NOTAG if isinstance(message, codec.Rversion) else TAG):
                    raise PeerFault(f"answer to tag {tag}")
                self._step(message)
        except codec.FrameError as problem:
            raise PeerFault(problem) from None

    @property
    def midway(self) -> bool:
        return self._framer.midway

    def suits(self, trial: Trial) -> bool:
        work = trial.work
        return isinstance(work, Read) and (work.path, work.mode) in self._session.open

    def close(self) -> None:
        self._framer.close()


def file_servers(scheduler: Scheduler, pool: BufferPool, limits: Limits, port: int) -> Upstream:
    """`port`: where file servers listen on the machines that discovery names; 0: at the address it gives."""
    def place(endpoint: str) -> str:
        return f"{parse_address(endpoint)[0]}:{port}" if port else endpoint

    return Upstream(
        scheduler, pool, limits, limits.ninep_server_conns,
        lambda trial, write, done: ServerMachine(trial.work, pool, limits, write, done), place,
        lambda trial: f"{trial.work.uname}\0{trial.work.aname}")
