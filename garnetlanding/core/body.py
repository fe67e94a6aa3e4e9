"""Streaming of responses that are too long to buffer whole, from a backend to a client. No sockets."""

from __future__ import annotations

from collections import deque
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

    def end_after_flush(self) -> None:
        """End the connection once everything that was written is sent.

        So the client gets all earlier responses, and can tell that the last one is incomplete.
        """

    def abort(self) -> None:
        """End the connection at once and discard what is not sent, to release its memory."""


class _ClosedSink:
    """The sink of a connection that has ended: it discards what is written."""

    def __call__(self, data: bytes) -> None:
        pass

    def blocked_until(self, callback: WritableCallback) -> bool:  # noqa: ARG002 - part of `Sink`
        """Return False: nothing is ever unsent."""
        return False

    def end_after_flush(self) -> None:
        """Do nothing: the connection has ended."""

    def abort(self) -> None:
        """Do nothing: the connection has ended."""


CLOSED_SINK: Sink = _ClosedSink()
"""What a protocol writes to after the end of its connection, which it must not keep in memory."""


class Body:
    """A value of `length` bytes that is streamed from a producer, the backend's side, to the client's sink.

    States:

    - waiting, from the start: earlier responses on the client's connection are still pending; `feed` buffers
      the bytes and the producer is blocked;
    - collecting, from `collect` on: `feed` buffers the bytes and the producer is not blocked, until the value
      is whole or must not be collected any further, which `on_ready` reports;
    - streaming, from `attach_sink` on: buffered bytes are written first, then `feed` writes through; the
      producer is blocked while the sink is, or while buffered bytes are left;
    - ended: complete, once the sink has all bytes, or truncated by either side. Further calls have no effect,
      and the body refers to neither side any more.

    Invariants: each `on_end` callback is called exactly once; the producer calls `blocked_until` after each
    piece and stops reading while it is blocked. What is buffered is charged to `account`, that of the client
    for which it waits; a body that the client must not hold ends as truncated.
    """

    def __init__(self, length: int) -> None:
        self.length = length
        self.ended = False
        self.is_whole = False
        """Whether the producer has delivered all bytes."""
        self.on_end: list[EndCallback] = []
        self.account: MemoryHolder | None = None
        self._buffered: deque[bytes] = deque()
        self._sink: Sink | None = None
        self._on_writable: WritableCallback | None = None
        self._on_ready: Callable[[], None] | None = None
        self._may_collect: Callable[[], bool] | None = None

    # The producer's side

    def feed(self, data: bytes) -> None:
        """Write the next bytes from the producer to the sink, or buffer them until the sink takes them."""
        if self.ended or self.is_whole:
            return
        if self._sink is not None and not self._buffered:
            self._sink(data)
        elif self.account and not self.account.charge(len(data)):
            self._end(complete=False)
        else:
            self._buffered.append(data)
            if self._may_collect and not self._may_collect():
                self._stop_collecting()

    def blocked_until(self, callback: WritableCallback) -> bool:
        """Return whether the producer has to stop reading for now.

        If so, the callback is called once the producer may go on, or at the end. It may be called early: the
        producer asks again then. A later call replaces the callback.
        """
        if self.ended or self._may_collect:
            return False
        if self._sink is not None and not self._buffered and not self._sink.blocked_until(callback):
            return False
        self._on_writable = callback
        return True

    def end(self, *, complete: bool) -> None:
        """End the body, from either side; only the first call has an effect.

        A complete body ends once the sink has taken what is buffered.
        """
        if self.ended or (self.is_whole and complete):
            return
        if complete and self._buffered:
            self.is_whole = True
            self._stop_collecting()
        else:
            self._end(complete=complete)

    # The client's side

    def collect(self, on_ready: Callable[[], None], may_collect: Callable[[], bool]) -> None:
        """Let the producer go on before a sink is attached, as long as `may_collect` returns true.

        `on_ready` is called once, when the value is whole or `may_collect` has returned false.
        """
        self._on_ready = on_ready
        self._may_collect = may_collect
        self._notify_producer()

    def attach_sink(self, sink: Sink) -> None:
        """Start streaming to the client, buffered bytes first. Called once, after all earlier responses."""
        self._on_ready = None
        self._may_collect = None
        if not self.ended:
            self._sink = sink
            self._write_buffered()

    def _write_buffered(self) -> None:
        """Write buffered bytes while the sink takes them; then end a whole body, or wake the producer."""
        sink = self._sink
        while sink and self._buffered and not sink.blocked_until(self._write_buffered):
            data = self._buffered.popleft()
            if self.account:
                self.account.release(len(data))
            sink(data)
        if self._buffered or self.ended:
            return
        if self.is_whole:
            self._end(complete=True)
        else:
            self._notify_producer()

    def _stop_collecting(self) -> None:
        self._may_collect = None
        on_ready = self._on_ready
        self._on_ready = None
        if on_ready:
            on_ready()

    def _notify_producer(self) -> None:
        callback = self._on_writable
        self._on_writable = None
        if callback:
            callback()

    def _end(self, *, complete: bool) -> None:
        """Release everything and notify both sides."""
        self.ended = True
        self._sink = None
        self._on_ready = None
        self._may_collect = None
        if self.account:
            self.account.release(sum(map(len, self._buffered)))
        self._buffered.clear()
        callbacks, self.on_end = self.on_end, []
        for callback in callbacks:
            callback(complete)
        self._notify_producer()
