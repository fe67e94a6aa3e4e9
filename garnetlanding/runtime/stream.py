"""One TCP connection on the event loop: connects, reads into a pooled buffer, writes without blocking."""

from __future__ import annotations

import contextlib
import errno
import select
import socket
from collections.abc import Callable

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool, Chain
from garnetlanding.runtime.errors import (
    BufferPoolExhaustedError,
    DeadlineExceededError,
    StreamClosedError,
)
from garnetlanding.runtime.scheduler import HANGUP, READ, WRITE, Scheduler

MAX_PORT = 65535
NOTHING_YET = -1  # of `_read_once`: no bytes are there, and the stream has not ended


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of `HOST:PORT` or `[IPV6]:PORT`; raises `ValueError` for anything else."""
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"not HOST:PORT: {text!r}")
    return host.strip("[]"), int(port)


def _socket(host: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def listen(address: str, backlog: int, shared: bool = False) -> socket.socket:
    """Return a listening socket.

    `shared`: another process of the same user may listen at the address too, and the kernel gives each its
    part of the connections (SO_REUSEPORT). Raises `OSError` and `ValueError`.
    """
    host, port = parse_address(address)
    sock = _socket(host)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((host, port))
    sock.listen(backlog)
    return sock


class Stream:
    """One connection. Only tasks read; anyone may write, close, or look at what has arrived.

    `read_failed` says that a read failed (a reset, mostly), so that what arrived before has no end.
    `on_flushed` is called once, when the kernel has the last byte written; `on_broken` when a write failed.
    """

    def __init__(self, scheduler: Scheduler, sock: socket.socket, pool: BufferPool, limits: Limits) -> None:
        self._scheduler = scheduler
        self._sock = sock
        self._pool = pool
        self._limits = limits
        self._out = Chain(pool)
        self._writing = False  # a task waits for the kernel to take more
        self.closed = False
        self.read_failed = False
        self.on_flushed: Callable[[], None] | None = None
        self.on_broken: Callable[[], None] | None = None

    @classmethod
    def connect(
        cls, scheduler: Scheduler, address: str, pool: BufferPool, limits: Limits, deadline: int
    ) -> Stream:
        """Connect, waiting in the calling task.

        Raises `OSError` when refused, `DeadlineExceededError` when the connection is not up in time.
        """
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

    # Reading

    def read(self, feed: Callable[[memoryview], None], deadline: int | None = None) -> bool:
        """Wait for bytes and feed them once; return False when the stream has ended or broken.

        Raises `DeadlineExceededError`, and what `feed` raises apart from `OSError` and
        `BufferPoolExhaustedError`, which count as a failed read.
        """
        while not self.closed:
            try:
                count = self._read_once(feed)
                if count != NOTHING_YET:
                    return count > 0
            except (OSError, BufferPoolExhaustedError):
                self.read_failed = True
                break
            try:
                self._scheduler.wait(self._sock.fileno(), READ, deadline)
            except StreamClosedError:
                break
            except DeadlineExceededError:
                # Where this process itself stood still, what it waits for may have arrived long ago.
                if not self.unread():
                    raise
        return False

    def _read_once(self, feed: Callable[[memoryview], None]) -> int:
        """Return how many bytes were fed; 0 at the end of the stream, or `NOTHING_YET`."""
        buffer = self._pool.scratch
        try:
            count = self._sock.recv_into(buffer)
        except BlockingIOError:
            return NOTHING_YET
        if count:
            feed(memoryview(buffer)[:count])
        return count

    def _peek(self) -> bytes | None:
        """Return what waits unread: empty if the other side has closed, `None` if nothing has arrived."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def unread(self) -> bool:
        """Return whether bytes wait that nobody has read yet."""
        return bool(self._peek())

    def ended(self) -> bool:
        """Return whether the other side has closed already, though nobody has read that yet."""
        return self._peek() == b""

    def quiet(self) -> bool:
        """Return whether the other side has neither closed nor sent anything that is unread."""
        return self._peek() is None

    def hung_up(self) -> bool:
        """Return whether the other side has closed, even if bytes before that are unread."""
        if self.closed or self.ended():
            return True
        poll = select.poll()
        poll.register(self._sock.fileno(), HANGUP)
        return bool(poll.poll(0))

    def wait_hung_up(self, deadline: int) -> bool:
        """Wait without reading; return False at the deadline, or when somebody wakes the task."""
        if not self.hung_up():
            with contextlib.suppress(DeadlineExceededError):
                self._scheduler.wait(self._sock.fileno(), HANGUP, deadline)
        return self.hung_up()

    # Writing

    def write(self, data: bytes) -> None:
        """Hand bytes to the kernel, or keep them until it takes more; breaks where too many are kept."""
        if self.closed or not data:
            return
        if not self._writing:
            try:
                sent = self._sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._break()
                return
            if sent == len(data):
                self._flushed()
                return
            data = data[sent:]
        self._keep(data)

    def _keep(self, data: bytes) -> None:
        """Keep what the kernel did not take, and have a task write it."""
        try:
            self._out.append(data)
        except BufferPoolExhaustedError:
            self._break()
            return
        if self._out.length > self._limits.unsent_bytes:
            self._break()
            return
        if not self._writing:
            self._writing = True
            self._scheduler.spawn(self._write_rest)

    def _write_rest(self) -> None:
        try:
            while self._out.length and not self.closed:
                deadline = self._scheduler.now + self._limits.write_stall_us
                self._scheduler.wait(self._sock.fileno(), WRITE, deadline)
                self._out.skip(self._sock.send(self._out.peek(self._pool.size)))
        except BlockingIOError:
            pass
        except (StreamClosedError, DeadlineExceededError, OSError):
            self._break()
            return
        self._writing = False
        if self.closed:
            return
        if self._out.length:
            self._writing = True
            self._write_rest()
            return
        self._flushed()

    def finish(self) -> None:
        """Shut down the write side; what still arrives can be read."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._break()

    @property
    def flushed(self) -> bool:
        """Return whether the kernel has every byte written."""
        return not self._out.length

    @property
    def unsent(self) -> int:
        """Return how many bytes the kernel has not taken."""
        return self._out.length

    def _flushed(self) -> None:
        call = self.on_flushed
        self.on_flushed = None
        if call:
            call()

    # The end

    def _break(self) -> None:
        if not self.closed:
            self.close()
            if self.on_broken:
                self.on_broken()

    def close(self) -> None:
        """Close the connection at once; a task that reads wakes up and sees the end."""
        if self.closed:
            return
        self.closed = True
        self._scheduler.forget(self._sock.fileno(), StreamClosedError())
        self._sock.close()
        self._out.clear()
