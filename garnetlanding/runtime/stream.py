"""Non-blocking TCP streams on the event loop, listening sockets, and address parsing."""

from __future__ import annotations

import contextlib
import errno
import select
import socket
from collections.abc import Callable

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferChain, BufferPool
from garnetlanding.runtime.errors import (
    AddressError,
    BufferPoolExhaustedError,
    DeadlineExceededError,
    StreamClosedError,
)
from garnetlanding.runtime.memory import MemoryAccount
from garnetlanding.runtime.scheduler import HANGUP, READ, WRITE, Scheduler

MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of `HOST:PORT` or `[IPV6]:PORT`. Raises `AddressError` if malformed."""
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise AddressError(text)
    return host.strip("[]"), int(port)


def configure_socket(sock: socket.socket) -> None:
    """Make a TCP socket non-blocking, and disable Nagle's algorithm on it."""
    sock.setblocking(False)  # noqa: FBT003 - positional-only parameter
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _create_socket(host: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    configure_socket(sock)
    return sock


def _raise_on_connect_error(code: int) -> None:
    """Raise `OSError` if `code`, the error number of a connect, is not 0."""
    if code:
        raise OSError(code, "cannot connect")


def create_listening_socket(address: str, backlog: int, *, reuse_port: bool = False) -> socket.socket:
    """Return a listening socket.

    With `reuse_port`, another process of the same user may listen on the same address, and the kernel
    distributes new connections between the two (SO_REUSEPORT). Raises `OSError` and `AddressError`.
    """
    host, port = parse_address(address)
    sock = _create_socket(host)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if reuse_port:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((host, port))
    sock.listen(backlog)
    return sock


class Stream:
    """A connected TCP socket.

    Unsent output is charged to `account`, by default to the process. Only tasks may call the methods that
    wait (`connect`, `read`, `wait_for_peer_close`). `read_failed` is set if the connection ended with an
    error, such as a reset, instead of an orderly close; what was received before may then be incomplete.
    `last_sent_at` is when the kernel last accepted bytes, on the event loop's clock.
    `on_flushed` is called once, when the kernel has accepted everything written; `on_write_error` is called
    when the stream has been closed because a write failed.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        sock: socket.socket,
        pool: BufferPool,
        limits: Limits,
        account: MemoryAccount | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._sock = sock
        self._pool = pool
        self._limits = limits
        self._unsent = BufferChain(pool, account)
        self._is_writing = False  # a task is writing the unsent bytes
        self.last_sent_at = scheduler.now  # when the kernel last accepted bytes
        self.closed = False
        self.read_failed = False
        self.on_flushed: Callable[[], None] | None = None
        self.on_write_error: Callable[[], None] | None = None

    @classmethod
    def connect(
        cls,
        scheduler: Scheduler,
        address: str,
        pool: BufferPool,
        limits: Limits,
        deadline: int,
        account: MemoryAccount | None = None,
    ) -> Stream:
        """Open a connection.

        Raises `OSError` if the peer refuses it or is unreachable, and `DeadlineExceededError` if it is not
        established by the deadline.
        """
        host, port = parse_address(address)
        sock = _create_socket(host)
        try:
            code = sock.connect_ex((host, port))
            if code == errno.EINPROGRESS:
                scheduler.wait(sock.fileno(), WRITE, deadline)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            _raise_on_connect_error(code)
        except BaseException:
            sock.close()
            raise
        return cls(scheduler, sock, pool, limits, account)

    # Reading

    def read(self, feed: Callable[[memoryview], None], deadline: int | None = None) -> bool:
        """Wait for data and pass it to `feed`; return False if the connection has ended.

        Raises `DeadlineExceededError`, and whatever `feed` raises except `OSError` and
        `BufferPoolExhaustedError`, which are treated as a failed read.
        """
        while not self.closed:
            try:
                count = self._read_once(feed)
                if count is not None:
                    return count > 0
            except (OSError, BufferPoolExhaustedError):
                self.read_failed = True
                break
            try:
                self._scheduler.wait(self._sock.fileno(), READ, deadline)
            except StreamClosedError:
                break
            except DeadlineExceededError:
                # If this process was suspended, data may have arrived before the deadline.
                if not self.has_unread_data():
                    raise
        return False

    def _read_once(self, feed: Callable[[memoryview], None]) -> int | None:
        """Return the number of bytes fed: 0 at the end of the stream, `None` if no data is available."""
        buffer = self._pool.scratch
        try:
            count = self._sock.recv_into(buffer)
        except BlockingIOError:
            return None
        if count:
            feed(memoryview(buffer)[:count])
        return count

    def _peek(self) -> bytes | None:
        """Return the next unread byte: empty at the end of the stream, `None` if no data is available."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def has_unread_data(self) -> bool:
        """Return whether unread data has arrived."""
        return bool(self._peek())

    def is_at_eof(self) -> bool:
        """Return whether the next read would find the end of the stream or an error."""
        return self._peek() == b""

    def read_would_block(self) -> bool:
        """Return whether a read would have to wait: neither data nor the end of the stream has arrived."""
        return self._peek() is None

    def peer_has_closed(self) -> bool:
        """Return whether the peer has closed its side, even if earlier data is unread."""
        if self.closed or self.is_at_eof():
            return True
        poll = select.poll()
        poll.register(self._sock.fileno(), HANGUP)
        return bool(poll.poll(0))

    def wait_for_peer_close(self, deadline: int) -> bool:
        """Wait, without reading, until the peer closes its side; return whether it has done so.

        Also returns at the deadline, and when the task is woken.
        """
        if not self.peer_has_closed():
            with contextlib.suppress(DeadlineExceededError):
                self._scheduler.wait(self._sock.fileno(), HANGUP, deadline)
        return self.peer_has_closed()

    # Writing

    def write(self, data: bytes) -> None:
        """Send bytes, and buffer those that the kernel does not accept yet.

        Closes the stream if sending fails or too many bytes are buffered.
        """
        if self.closed or not data:
            return
        if not self._is_writing:
            self.last_sent_at = self._scheduler.now
            try:
                sent = self._sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._close_after_write_error()
                return
            if sent == len(data):
                self._call_on_flushed()
                return
            data = data[sent:]
        self._buffer(data)

    def _buffer(self, data: bytes) -> None:
        """Buffer unsent bytes and start a task that writes them."""
        try:
            self._unsent.append(data)
        except BufferPoolExhaustedError:
            self._close_after_write_error()
            return
        if self._unsent.length > self._limits.unsent_bytes:
            self._close_after_write_error()
            return
        if not self._is_writing:
            self._is_writing = True
            self._scheduler.spawn(self._write_unsent)

    def _write_unsent(self) -> None:
        try:
            while self._unsent.length and not self.closed:
                deadline = self._scheduler.now + self._limits.write_stall_us
                self._scheduler.wait(self._sock.fileno(), WRITE, deadline)
                self._unsent.skip(self._sock.send(self._unsent.peek(self._pool.buffer_bytes)))
                self.last_sent_at = self._scheduler.now
        except BlockingIOError:
            pass
        except (StreamClosedError, DeadlineExceededError, OSError):
            self._close_after_write_error()
            return
        self._is_writing = False
        if self.closed:
            return
        if self._unsent.length:
            self._is_writing = True
            self._write_unsent()
            return
        self._call_on_flushed()

    def shutdown_write(self) -> None:
        """Shut down the write side; the stream can still be read."""
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close_after_write_error()

    @property
    def flushed(self) -> bool:
        """Whether the kernel has accepted all bytes written."""
        return not self._unsent.length

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes written that the kernel has not accepted yet."""
        return self._unsent.length

    def _call_on_flushed(self) -> None:
        callback = self.on_flushed
        self.on_flushed = None
        if callback:
            callback()

    # Closing

    def _close_after_write_error(self) -> None:
        if not self.closed:
            on_write_error = self.on_write_error
            self.close()
            if on_write_error:
                on_write_error()

    def close(self) -> None:
        """Close the connection immediately; a task that is reading sees the end of the stream."""
        if self.closed:
            return
        self.closed = True
        self._scheduler.cancel_waits(self._sock.fileno(), StreamClosedError())
        self._sock.close()
        self._unsent.clear()
        self.on_flushed = None  # callbacks refer to the owner, which refers to the stream
        self.on_write_error = None
