"""The platform's front: a state machine for one client connection."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from garnetlanding.core.body import Body, Sink
from garnetlanding.core.engine import RequestEngine
from garnetlanding.core.ports import Answer, Backend, InvalidRequestError, Rejected, Served
from garnetlanding.limits import MS, Limits
from garnetlanding.resp import codec
from garnetlanding.resp.request import BadRequest, read_request
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BufferPoolExhaustedError


def write_answer(answer: Answer) -> bytes | Body:
    match answer:
        case Served(Body() as body):
            return body
        case Served(value):
            return codec.bulk(value)
        case Rejected(retry_after_us):
            return b"-BUSY %d\r\n" % -(-retry_after_us // MS) if retry_after_us else b"-BUSY\r\n"
    return codec.error("ERR " + answer.reason)


Slot = list[bytes | Body | None]  # of one command: its answer, once there is one


class ClientMachine:
    """Fed a client's bytes; takes its commands to the core and gives the answers in their order."""

    waiting = False  # all that is fed is taken at once

    def __init__(
        self,
        core: RequestEngine,
        backend: Backend,
        pool: BufferPool,
        limits: Limits,
        ids: set[bytes],
        write: Sink,
        takes: Callable[[], bool] = lambda: True,
    ) -> None:
        """`ids` are those of the requests open on all connections of this front; `takes` tells whether
        clients are to come here, which is what they ask by PING."""
        self._core, self._backend, self._limits, self._write = core, backend, limits, write
        self._ids, self._takes = ids, takes
        self._decoder = codec.Decoder(pool, limits, commands_only=True)
        self._slots: deque[Slot] = deque()  # answers owed, in order of the commands
        self._open: dict[int, tuple[str, bytes]] = {}  # tickets and ids of open items, by their slot
        self._passing = False  # the first of these is on its way
        self.ended = False  # no more is read; closed once what is owed is written
        self.taken = self.bad = self.asked = 0

    @property
    def owed(self) -> int:
        return len(self._slots)

    @property
    def session(self) -> bool:
        return False

    @property
    def midway(self) -> bool:
        return self._decoder.midway

    def feed(self, data: bytes | memoryview) -> None:
        if self.ended:
            return
        try:
            for words in self._decoder.feed(data):
                self.taken += 1
                if words:  # an empty array is no command, as with any RESP server
                    self._command(words)  # type: ignore[arg-type]
                if self.ended:
                    break
        except codec.ProtocolError as problem:
            self._turn_away(f"Protocol error: {problem}")
        except BufferPoolExhaustedError:
            # Closed without a word, the connection would lose what it has open.
            self._turn_away("out of buffers")

    def _command(self, words: list[bytes]) -> None:
        if len(self._slots) >= self._limits.pipeline:
            self._turn_away("too many commands at once")
            return
        slot = self._slot()
        match words[0].upper():
            case b"BLK.READ" | b"BLK.WRITE":
                self._ask(slot, words)
            case b"PING" if not self._takes():
                self._settle(slot, codec.error("ERR draining"))
            case b"PING":
                self._settle(slot, codec.bulk(words[1]) if len(words) > 1 else b"+PONG\r\n")
            case b"CLIENT" | b"SELECT":
                self._settle(slot, b"+OK\r\n")
            case b"QUIT":
                self.ended = True
                self._settle(slot, b"+OK\r\n")
            case _:
                self._spoilt(slot, "unknown command")

    def _ask(self, slot: Slot, words: list[bytes]) -> None:
        try:
            ask = read_request(words, self._limits)
            if words[2] in self._ids:
                # Whoever sent it first is owed the answer; passed on, the two could be taken for each other.
                raise BadRequest("id: of a request that is open")
            # The core may answer before it returns: then there is no open item to note.
            self.asked += 1
            ticket = self._core.submit(ask, self._backend, lambda a: self._settle(slot, write_answer(a)))
        except (BadRequest, InvalidRequestError) as problem:
            self._spoilt(slot, str(problem))
            return
        if slot[0] is None:
            self._open[id(slot)] = ticket, words[2]
            self._ids.add(words[2])

    def _spoilt(self, slot: Slot, why: str) -> None:
        self.bad += 1
        self._settle(slot, codec.error("ERR " + why))
        if self.bad >= self._limits.bad_commands:
            self._turn_away("too many errors")

    def _turn_away(self, why: str) -> None:
        """Such a client is owed an error and a close soon: what it has open does not hold them up."""
        self.ended = True
        for ticket, _ in list(self._open.values()):
            self._core.abort(ticket, why)
        self._settle(self._slot(), codec.error("ERR " + why))

    def _slot(self) -> Slot:
        slot: Slot = [None]
        self._slots.append(slot)
        return slot

    def _settle(self, slot: Slot, answer: bytes | Body) -> None:
        """Keeps the answer until all before it are written: a client matches answers by order alone."""
        slot[0] = answer
        if id(slot) in self._open:
            self._ids.discard(self._open.pop(id(slot))[1])
        if isinstance(answer, Body):
            answer.on_end.append(lambda whole: self._passed(slot, whole))
        self._answer()

    def _answer(self) -> None:
        ready: list[bytes] = []
        while not self._passing and self._slots and (answer := self._slots[0][0]) is not None:
            if isinstance(answer, Body):
                self._write(b"".join([*ready, b"$%d\r\n" % answer.length]))
                answer.attach_sink(self._write)
                if not answer.ended:
                    self._passing = True
                    return
                ready, answer = [], b"\r\n"
            self._slots.popleft()
            ready.append(answer)
        if ready:
            self._write(b"".join(ready))

    def _passed(self, slot: Slot, whole: bool) -> None:
        """A value has come to its end. Cut short, what was begun of it ends the connection, so that its
        client can tell."""
        if not (self._passing and self._slots[0] is slot):
            if not whole:
                slot[0] = codec.error("ERR cut short")
        elif whole:
            self._passing = False
            self._slots.popleft()
            self._write(b"\r\n")
            self._answer()
        else:
            self._write.cut()

    def close(self) -> None:
        """The client has gone away."""
        self.ended = True
        for slot in list(self._slots):
            if isinstance(slot[0], Body):
                slot[0].end(False)
        self._decoder.close()
        for ticket, request in self._open.values():
            self._ids.discard(request)
            self._core.client_disconnected(ticket)
        self._open.clear()
