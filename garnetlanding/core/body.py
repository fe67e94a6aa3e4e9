"""Streaming of responses that are too long to buffer whole, from a backend to a client. No sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from garnetlanding.core.ports import MemoryHolder

EndCallback = Callable[[bool], None]
"""Called with true if the body is complete, with false if it was truncated."""

WritableCallback = Callable[[], None]


class Sink(Protocol):
    """The client's connection, to which a streamed body is written."""

    def __call__(self, data: bytes) -> None:
        """Write bytes to the client, in order."""

    def blocked_until(self, callback: WritableCallback) -> bool:
        """Return whether so much is unsent, because the client does not read it, that writing must pause.

        If so, the callback is called once, when the kernel has accepted everything that was written. A check
        without this registration could change its answer before a registration of its own.
        """

    def abort(self) -> None:
        """Abort the connection, so that the client can tell that the response is incomplete."""


class _ClosedSink:
    """The sink of a connection that has ended: it discards what is written."""

    def __call__(self, data: bytes) -> None:
        pass

    def blocked_until(self, callback: WritableCallback) -> bool:  # noqa: ARG002 - part of `Sink`
        """Return False: nothing is ever unsent."""
        return False

    def abort(self) -> None:
        """Do nothing: the connection has ended."""


CLOSED_SINK: Sink = _ClosedSink()
"""What a protocol writes to after the end of its connection, which it must not keep in memory."""


class Body:
    """A value of `length` bytes that is streamed from a producer, the backend's side, to the client's sink.

    States:

    - buffering, from the start: earlier responses on the client's connection are still pending, `feed`
      collects the bytes and the body is blocked;
    - streaming, from `attach_sink` on: `feed` writes through; blocked while the sink is full;
    - ended, from `end` on, by either side: complete or truncated; further calls have no effect. It refers to
      neither side any more, except that bytes of a complete body are kept until a sink is attached.

    Invariants: each `on_end` callback is called exactly once; the producer calls `blocked_until` after each
    piece and stops reading while it is blocked, so that no more is buffered than the producer reads at once.
    What is buffered is charged to `account`, that of the client for which it waits; a body that the client
    must not hold ends as truncated.
    """

    def __init__(self, length: int) -> None:
        self.length = length
        self.ended = False
        self.on_end: list[EndCallback] = []
        self.account: MemoryHolder | None = None
        self._buffered: list[bytes] = []
        self._charged_bytes = 0  # of the buffered bytes
        self._sink: Sink | None = None
        self._on_writable: WritableCallback | None = None

    def blocked_until(self, callback: WritableCallback) -> bool:
        """Return whether the producer has to stop reading for now.

        If so, the callback is called once the producer may go on, or at the end. It may be called early: the
        producer asks again then. A later call replaces the callback.
        """
        if self.ended:
            return False
        if self._sink is not None and not self._sink.blocked_until(callback):
            return False
        self._on_writable = callback
        return True

    def _notify_producer(self) -> None:
        callback = self._on_writable
        self._on_writable = None
        if callback:
            callback()

    def feed(self, data: bytes) -> None:
        """Write the next bytes from the producer to the sink, or buffer them until a sink is attached."""
        if self.ended:
            return
        if self._sink is None:
            self._buffer(data)
            return
        self._sink(data)

    def _buffer(self, data: bytes) -> None:
        if self.account:
            if not self.account.charge(len(data)):
                self.end(complete=False)
                return
            self._charged_bytes += len(data)
        self._buffered.append(data)

    def _take_buffered(self) -> list[bytes]:
        """Return the buffered bytes, which are charged no longer."""
        buffered, self._buffered = self._buffered, []
        if self.account:
            self.account.release(self._charged_bytes)
            self._charged_bytes = 0
        return buffered

    def attach_sink(self, sink: Sink) -> None:
        """Start streaming to the client, buffered bytes first. Called once, after all earlier responses."""
        if not self.ended:
            self._sink = sink
        if buffered := self._take_buffered():
            sink(b"".join(buffered))
        self._notify_producer()

    def end(self, *, complete: bool) -> None:
        """End the body, from either side, and notify both; only the first call has an effect."""
        if self.ended:
            return
        self.ended = True
        if not complete:
            self._take_buffered()
        self._sink = None
        callbacks, self.on_end = self.on_end, []
        for callback in callbacks:
            callback(complete)
        self._notify_producer()
