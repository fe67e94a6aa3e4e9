"""The protocol that carries attempts to bricks.

A brick answers a connection's requests in order, so an attempt behind another would also wait for it:
one more reason for one at a time, and as many connections as attempts are out.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Callable

from garnetlanding.core.body import Body
from garnetlanding.core.ports import AttemptHandle, Timers
from garnetlanding.decision.interface import Outcome
from garnetlanding.limits import Limits
from garnetlanding.resp import codec
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BackendProtocolError
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.upstream import Upstream

log = logging.getLogger(__name__)

REPORTED = (b"inflight", b"queue", b"util", b"latency_ms", b"qps", b"eps")
NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


def read_use(figures: codec.Value, most: int) -> int:
    """The controller's figure (1 + percent) from `used=37,cost=4`; 0 where it is not told. A figure that
    cannot be read, or that no volume reaches, counts as not told: it would steer the volume's weight."""
    if not isinstance(figures, bytes):
        return 0
    told = [value for name, _, value in (p.partition(b"=") for p in figures.split(b",")) if name == b"used"]
    if len(told) != 1 or not told[0].isdigit() or len(told[0]) > len(str(most)) or int(told[0]) > most:
        return 0
    return int(told[0]) + 1


def read_report(report: codec.Value) -> dict[str, float]:
    """The load report `inflight=7,latency_ms=31.5`, of the names that the settings may give. One that cannot
    be read counts as not told, whole: half of it would pass for all."""
    told: dict[str, float] = {}
    if not isinstance(report, bytes):
        return told
    for name, _, value in (pair.partition(b"=") for pair in report.split(b",")):
        if name not in REPORTED or not NUMBER.fullmatch(value):
            return {}
        told[name.decode()] = float(value)
    return told


def read_reply(reply: codec.Value, most_use: int) -> tuple[Outcome, bytes | None, int, dict[str, float]]:
    """Outcome, value, use and load report that one answer of a brick means. Raises PeerFault for what no
    brick says: the attempt may have run, and nothing after it on that connection can be trusted."""
    match reply:
        case [bytes() as value, figures, report]:
            return Outcome.SERVED, value, read_use(figures, most_use), read_report(report)
        case [codec.Begun(), _, _]:
            return Outcome.SERVED, None, 0, {}  # all of it has been passed on
        case codec.Error(text):
            words = text.split()
            if words[:1] == [b"BUSY"]:
                return Outcome.FULL, None, 0, read_report(words[-1])
            if words[:1] in ([b"ERR"], [b"SYNTAX"]):
                # The figures on use come after the first words, the report behind them; either may be absent.
                used = max((read_use(word, most_use) for word in words[1:]), default=0)
                return Outcome.ERROR, None, used, read_report(words[-1])
    raise BackendProtocolError("spoilt answer")


class BrickMachine:
    """Fed a brick's bytes; matches each answer to the one attempt that is out."""

    def __init__(
        self,
        scheduler: Timers,
        pool: BufferPool,
        limits: Limits,
        write: Callable[[bytes], None],
        done: Callable[[], None],
    ) -> None:
        self._timers, self._write, self._done = scheduler, write, done
        self._decoder, self._most_use = codec.Decoder(pool, limits), limits.use_percent
        self._trial: AttemptHandle | None = None
        self.body: Body | None = None  # the value that is being passed on
        self.exposed = True  # a command is one message: whole at the brick, it may have run

    @property
    def midway(self) -> bool:
        return self._decoder.midway

    def begin(self, trial: AttemptHandle) -> None:
        self._trial = trial
        self._write(trial.work.for_brick(trial.until_us - self._timers.now))

    def feed(self, data: bytes | memoryview) -> None:
        try:
            # Even part of an answer that nobody awaits would be taken for the next attempt's.
            if self._trial is None and self.body is None:
                raise BackendProtocolError("answer to nothing")
            if self._trial:
                self._trial.response_started()
            for reply in self._decoder.feed(data):
                if self._part(reply):
                    continue
                if self._trial is None and self.body is None:
                    raise BackendProtocolError("more than one answer")
                meaning = read_reply(reply, self._most_use)
                trial, self._trial = self._trial, None
                body, self.body = self.body, None
                # A whole answer counts whatever stands behind it: with one attempt out, it is that one's.
                if trial:
                    trial.finish(*meaning)
                elif body:
                    body.end(True)
                if self._decoder.midway:
                    raise BackendProtocolError("more behind an answer")
                self._done()
        except codec.ProtocolError as problem:
            raise BackendProtocolError(problem) from None

    def _part(self, reply: codec.Value) -> bool:
        """Whether this is part of a value that is passed on; from its first byte on the attempt has ended,
        and its one answer is on its way."""
        if isinstance(reply, codec.Begun) and self._trial:
            trial, self._trial = self._trial, None
            self.body = Body(reply.length)
            trial.finish(Outcome.SERVED, self.body)
        elif isinstance(reply, codec.Piece) and self.body:
            self.body.feed(reply.data)
        else:
            return False
        return True

    def suits(self, trial: AttemptHandle) -> bool:
        return True

    def close(self) -> None:
        self._decoder.close()
        if self.body:
            self.body.end(False)


def bricks(scheduler: Scheduler, pool: BufferPool, limits: Limits) -> Upstream:
    return Upstream(
        scheduler,
        pool,
        limits,
        limits.backend_conns,
        lambda _, write, done: BrickMachine(scheduler, pool, limits, write, done),
    )
