"""The thin driver: connects, reads into pooled buffers, writes what state machines leave to be written."""

from __future__ import annotations

import errno
import select
import socket
from collections.abc import Callable

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool, Chain, PoolEmpty
from garnetlanding.runtime.scheduler import HANGUP, READ, WRITE, Expired, Scheduler


class Closed(Exception):
    """The stream is closed, by either side or by an error."""


def parse_address(text: str) -> tuple[str, int]:
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host.strip("[]"), int(port)


def _socket(host: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def listen(address: str, backlog: int, shared: bool = False) -> socket.socket:
    """`shared`: another process of the same user may listen there too, and each gets its part."""
    host, port = parse_address(address)
    sock = _socket(host)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((host, port))
    sock.listen(backlog)
    return sock


class Stream:
    """One connection. Only tasks read; anyone may write, close, or ask what has left."""

    def __init__(self, scheduler: Scheduler, sock: socket.socket, pool: BufferPool, limits: Limits) -> None:
        self._scheduler, self._sock, self._pool, self._limits = scheduler, sock, pool, limits
        self._out = Chain(pool)
        self._writing = False
        self.closed = False
        self.read_failed = False  # reset, mostly: what came before has no end
        self.on_flushed: Callable[[], None] | None = None  # once, when the last byte is with the kernel
        self.on_broken: Callable[[], None] | None = None  # a write failed and nobody was reading

    @classmethod
    def connect(
        cls, scheduler: Scheduler, address: str, pool: BufferPool, limits: Limits, deadline: int
    ) -> Stream:
        """Raises OSError when it is refused, Expired when it is not up in time."""
        host, port = parse_address(address)
        sock = _socket(host)
        try:
            code = sock.connect_ex((host, port))
            if code == errno.EINPROGRESS:
                scheduler.wait(sock.fileno(), WRITE, deadline)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, "cannot connect")
        except BaseException:
            sock.close()
            raise
        return cls(scheduler, sock, pool, limits)

    def read(self, feed: Callable[[memoryview], None], deadline: int | None = None) -> bool:
        """Waits for bytes and feeds them once; False when the peer has ended or the stream has broken."""
        while not self.closed:
            try:
                n = self._read_once(feed)
                if n >= 0:
                    return n > 0
            except (OSError, PoolEmpty):
                self.read_failed = True
                break
            try:
                self._scheduler.wait(self._sock.fileno(), READ, deadline)
            except Closed:
                break
            except Expired:
                # Where this process itself stood still, what it waits for may have come long ago.
                if not self.unread():
                    raise
        return False

    def _read_once(self, feed: Callable[[memoryview], None]) -> int:
        """Bytes fed; 0 at the end of the stream, -1 when there is nothing yet."""
        buffer = self._pool.scratch
        try:
            n = self._sock.recv_into(buffer)
        except BlockingIOError:
            return -1
        if n:
            feed(memoryview(buffer)[:n])
        return n

    def write(self, data: bytes) -> None:
        """Hands bytes to the kernel, or keeps them until it takes more."""
        if self.closed or not data:
            return
        if not self._writing:
            try:
                sent = self._sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                return self._break()
            if sent == len(data):
                return self._flushed()
            data = data[sent:]
        try:
            self._out.append(data)
        except PoolEmpty:
            return self._break()
        if self._out.length > self._limits.out_bytes:
            return self._break()
        if not self._writing:
            self._writing = True
            self._scheduler.spawn(self._write_rest)

    def _write_rest(self) -> None:
        try:
            while self._out.length and not self.closed:
                self._scheduler.wait(
                    self._sock.fileno(), WRITE, self._scheduler.now + self._limits.write_stall_us
                )
                self._out.skip(self._sock.send(self._out.peek(self._pool.size)))
        except BlockingIOError:
            pass
        except (Closed, Expired, OSError):
            return self._break()
        self._writing = False
        if self.closed:
            return
        if self._out.length:
            self._writing = True
            return self._write_rest()
        self._flushed()

    def _peek(self) -> bytes | None:
        """What waits unread; empty: the other side has closed; None: nothing has come."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def unread(self) -> bool:
        """Whether something waits that nobody has read yet."""
        return bool(self._peek())

    def ended(self) -> bool:
        """Whether the other side has closed already, though nobody has read that yet."""
        return self._peek() == b""

    def quiet(self) -> bool:
        """Whether the other side has neither closed nor said anything that nobody has read yet."""
        return self._peek() is None

    def hung_up(self) -> bool:
        """Whether the other side has closed, also with bytes before that which nobody has read yet."""
        if self.closed or self.ended():
            return True
        poll = select.poll()
        poll.register(self._sock.fileno(), HANGUP)
        return bool(poll.poll(0))

    def wait_hung_up(self, deadline: int) -> bool:
        """Waits without reading; False at the deadline, or when somebody wakes the task."""
        if not self.hung_up():
            try:
                self._scheduler.wait(self._sock.fileno(), HANGUP, deadline)
            except Expired:
                pass
        return self.hung_up()

    def finish(self) -> None:
        """Says that nothing more will be written; what still comes can be read."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._break()

    @property
    def flushed(self) -> bool:
        return not self._out.length

    @property
    def unsent(self) -> int:
        """Bytes that the kernel has not taken."""
        return self._out.length

    def _flushed(self) -> None:
        call, self.on_flushed = self.on_flushed, None
        if call:
            call()

    def _break(self) -> None:
        if not self.closed:
            self.close()
            if self.on_broken:
                self.on_broken()

    def close(self) -> None:
        """Ends the connection at once; a reader wakes up and sees the end."""
        if self.closed:
            return
        self.closed = True
        self._scheduler.forget(self._sock.fileno(), Closed())
        self._sock.close()
        self._out.clear()
