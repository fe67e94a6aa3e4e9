"""Drives the state machines of client connections: accepts, bounds, reads, and ends in an orderly way."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from typing import Protocol

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.closing import Closing, Event, State
from garnetlanding.runtime.scheduler import READ, Expired, Scheduler
from garnetlanding.runtime.stream import Closed, Stream, listen

log = logging.getLogger(__name__)

Write = Callable[[bytes], None]  # a machine that passes values on needs the core's Sink


class LetGo(Exception):
    """Thrown into a connection's task: it is to linger from now on."""


class ClientMachine(Protocol):
    """One client connection's protocol. It writes through what its maker was given."""

    ended: bool  # nothing more is read; to be closed once nothing is owed
    taken: int  # whole messages that have come
    bad: int  # of these, such as cannot be used
    asked: int  # of these, requests for the core
    waiting: bool  # whole messages have been fed and not taken yet; feed(b"") takes some more

    @property
    def owed(self) -> int:
        """Answers not yet written."""

    @property
    def midway(self) -> bool:
        """Part of a message has come."""

    @property
    def session(self) -> bool:
        """The client would lose something if the connection were closed between requests."""

    def feed(self, data: bytes | memoryview) -> None: ...

    def close(self) -> None:
        """The client has gone away."""


class Client:
    def __init__(self, listener: Listener, sock: socket.socket) -> None:
        self._listener, self._scheduler = listener, listener.scheduler
        self.stream = Stream(listener.scheduler, sock, listener.pool, listener.limits)
        self.machine = listener.make(self)
        self.closing = Closing()
        self._waits = False  # not read; woken when something is written
        self.came_at = self.used_at = self._scheduler.now
        self._begun: int | None = self.used_at  # when the message now awaited began; the first: on connecting
        self._seen = 0  # messages taken when that was noted
        self._task = self._scheduler.spawn(self._run)

    @property
    def idle(self) -> bool:
        return not self.machine.owed and not self.machine.midway and self.stream.flushed

    @property
    def spare_from(self) -> int | None:
        """When its place may go to another client; None: not while it is as it is."""
        limits = self._listener.limits
        if self.machine.owed or self.machine.session or not self.stream.flushed:
            return None
        if self.machine.midway:
            return (self._begun or self.used_at) + limits.new_us
        # A client with something to ask sends it, whole: who says nothing, or only greets, is mostly nobody.
        return self.used_at + (limits.idle_us if self.machine.asked else limits.new_us)

    def __call__(self, data: bytes) -> None:
        """What the machine has to say."""
        self.used_at = self._scheduler.now
        self.stream.write(data)
        if self._waits:
            self._scheduler.wake(self._task)
        if self._listener.ending:
            # What else this turn brings may still be for this connection: look once it is over.
            self._scheduler.call_at(self._scheduler.now, self.close_if_idle)

    @property
    def full(self) -> bool:
        """Where buffers run short, whoever has any left unread waits."""
        listener = self._listener
        most = 0 if listener.pool.scarce else listener.limits.pass_window
        return not self.stream.closed and self.stream.unsent > most

    def when_writable(self, call: Callable[[], None]) -> None:
        self.stream.on_flushed = call

    def cut(self) -> None:
        self.closing.on(Event.CUT)
        self.stream.close()

    def close_if_idle(self) -> None:
        """Not one whose request has come and is not read yet, nor one that has only just connected: these
        would have to send it again."""
        fresh = not self.machine.asked and self._scheduler.now < self.came_at + self._listener.limits.new_us
        if self.idle and not fresh:
            self.let_go()

    def let_go(self) -> bool:
        """Between requests: unless one has come that nobody has read yet, says that this is the end, and
        reads past what still comes. Called by others than the connection's own task."""
        if not self.closing.reads or self.stream.closed or not self.stream.quiet():
            return False
        self._end(Event.LET_GO)
        self._scheduler.wake(self._task, LetGo())
        return True

    def _end(self, event: Event) -> None:
        """From now on nothing that comes is taken, and nothing more is said."""
        if self.closing.on(event) is State.LINGERING:
            self.machine.close()
            self.stream.finish()
            self._listener.lingers(self)

    def _whole_by(self) -> int | None:
        """The latest for the message now awaited, however slowly it comes; None between messages."""
        machine = self.machine
        if machine.taken != self._seen:
            self._seen, self._begun = machine.taken, None
        if machine.taken and not machine.midway:
            return None
        if self._begun is None:
            self._begun = self._scheduler.now
        return self._begun + self._listener.limits.command_us

    def _run(self) -> None:
        try:
            try:
                self._serve()
                self._finish()
            except LetGo:
                pass
            self._linger()
        except (Expired, Closed, LetGo):
            pass
        finally:
            self.closing.on(Event.CUT)
            self.machine.close()
            self.stream.close()
            self._listener.gone(self)

    def _serve(self) -> None:
        machine, stream, limits = self.machine, self.stream, self._listener.limits
        bad = got = 0

        def feed(data: memoryview) -> None:
            nonlocal got
            got += len(data)
            machine.feed(data)

        while not machine.ended:
            try:
                if not stream.read(feed, self._whole_by()):
                    raise Closed
            except Expired:
                # Only what it still has open keeps the connection.
                self._end(Event.NO_MORE if machine.owed else Event.LATE)
                return
            while machine.waiting and not machine.ended:
                # Others have their turn in between, and nothing more is read meanwhile.
                self._scheduler.sleep(0)
                self._leave_if(self.stream.hung_up())
                machine.feed(b"")
            if machine.bad > bad and not machine.ended:
                # It may send the same again at full speed: others share this loop.
                bad = machine.bad
                self._pause()
            if got >= limits.read_turn_bytes:
                got = 0
                self._scheduler.sleep(0)
        self._end(Event.NO_MORE)

    def _leave_if(self, hung_up: bool) -> None:
        if hung_up:
            self.closing.on(Event.FIN)
            raise Closed

    def _wait(self) -> None:
        """A moment without reading, or until woken; Closed once the client has left, whatever it sent."""
        self._waits = True
        try:
            hung_up = self.stream.wait_hung_up(self._scheduler.now + self._listener.limits.gone_look_us)
        finally:
            self._waits = False
        self._leave_if(hung_up)

    def _pause(self) -> None:
        self.closing.on(Event.BAD)
        until = self._scheduler.now + self._listener.limits.bad_pause_us
        while self._scheduler.now < until:
            self._wait()
        self.closing.on(Event.PAUSE_OVER)

    def _finish(self) -> None:
        """What is owed is written, and taken by the client."""
        while self.closing.state is State.FINISHING:
            if not self.machine.owed and self.stream.flushed:
                self._end(Event.SENT)
            else:
                self._wait()

    def _linger(self) -> None:
        """Closed with input unread, a connection is reset, which may take the last answer from the client."""
        limits, scheduler = self._listener.limits, self._scheduler
        until = scheduler.now + limits.linger_us
        got = 0

        def count(data: memoryview) -> None:
            nonlocal got
            got += len(data)

        while got < limits.linger_bytes and scheduler.now < until and self.stream.read(count, until):
            pass
        self.closing.on(Event.SPENT)


class Listener:
    """One listening address and the connections it has accepted."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: str,
        pool: BufferPool,
        limits: Limits,
        most: int,
        make: Callable[[Client], ClientMachine],
        shared: bool = False,
    ) -> None:
        self.scheduler, self.pool, self.limits, self.make = scheduler, pool, limits, make
        self._most = most
        self.lent: Callable[[], int] = lambda: 0  # how many of its places others have at present
        self._clients: set[Client] = set()
        self._lingering: dict[Client, None] = {}  # without a place of theirs, the oldest first
        self.ending = False
        self.part = 1.0  # of its places, to be kept to while another process has the rest
        self._sock: socket.socket | None = listen(address, limits.backlog, shared)
        host, port = self._sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        scheduler.spawn(self._accept)
        scheduler.call_at(scheduler.now + limits.client_sweep_us, self._sweep)

    def __len__(self) -> int:
        return len(self._clients) + len(self._lingering)

    @property
    def accepting(self) -> bool:
        return self._sock is not None

    def _accept(self) -> None:
        try:
            while self._sock:
                self.scheduler.wait(self._sock.fileno(), READ)
                try:
                    self._take_waiting()
                except OSError as problem:
                    # Out of descriptors, or the client is gone already: it must not end the listening.
                    log.warning("accept failed", extra={"kv": {"error": problem}})
                    self.scheduler.sleep(self.limits.accept_pause_us)
        except Closed:
            pass
        finally:
            if self._sock:
                self._sock.close()

    def _take_waiting(self) -> None:
        assert self._sock
        if not self.lend():
            # Waiting clients stay with the kernel: taking one now could only lose it.
            self.scheduler.sleep(self.limits.accept_pause_us)
            return
        # At the bound, room is made for a client that waits, which only the next poll tells.
        for _ in range(min(self.limits.accept_turn, self._free)):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            self._adopt(sock)

    def _adopt(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._clients.add(Client(self, sock))
        self._cut_lingering()

    @property
    def _free(self) -> int:
        return int(self._most * self.part) - self.lent() - len(self._clients)

    @property
    def used(self) -> float:
        """What part of its places is taken."""
        return (self.lent() + len(self._clients)) / self._most

    def lend(self) -> bool:
        """Whether a place is free, or could be made so."""
        return self._free > 0 or self._make_room()

    def lingers(self, client: Client) -> None:
        """It has been told that this is the end: its place is free, its descriptor only once it has closed
        too, or when so many others linger."""
        self._clients.discard(client)
        self._lingering[client] = None
        self._cut_lingering()

    def _cut_lingering(self) -> None:
        while len(self._lingering) > self.limits.linger_conns + max(0, self._free):
            oldest = next(iter(self._lingering))
            self._lingering.pop(oldest)
            oldest.cut()

    def _sweep(self) -> None:
        """Clients may hold so many connections and no more: those kept for good leave them none to ask on."""
        if self._sock:
            self.scheduler.call_at(self.scheduler.now + self.limits.client_sweep_us, self._sweep)
        self.shed(self.limits.idle_clients)

    def shed(self, most: int) -> None:
        """Lets connections go that may be, as long as there are more than that."""
        if len(self._clients) > most:
            self._make_room(len(self._clients) - most)

    def _make_room(self, places: int = 1) -> bool:
        """Between requests a head may let a connection go: first those that never asked for anything, of
        these the longest idle, unless a request has come on them that is not read yet."""
        now = self.scheduler.now
        spare = [
            (c.machine.asked > 0, at, c)
            for c in self._clients
            if (at := c.spare_from) is not None and at <= now
        ]
        made = 0
        for _, _, victim in sorted(spare, key=lambda one: one[:2]):
            if made >= places:
                break
            made += victim.let_go()
        return made > 0

    def gone(self, client: Client) -> None:
        self._clients.discard(client)
        self._lingering.pop(client, None)

    def stop_accepting(self) -> None:
        """Takes what the kernel has accepted already, then refuses new connections. Those beyond the places
        are reset with the listening socket: taken, they would use up what discovery and servers need."""
        sock, self._sock = self._sock, None
        if sock is None:
            return
        while self.lend():
            try:
                taken, _ = sock.accept()
            except OSError:
                break
            self._adopt(taken)
        self.scheduler.forget(sock.fileno(), Closed())
        sock.close()

    def close_idle(self) -> None:
        """From now on, and until `ending` is taken back, a connection is let go once it waits for nothing."""
        self.ending = True
        for client in list(self._clients):
            client.close_if_idle()

    def cut_all(self) -> None:
        """At the very end: nothing is owed any more that a client would still take."""
        for client in [*self._clients, *self._lingering]:
            client.cut()
