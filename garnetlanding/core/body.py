"""Streaming of responses that are too long to buffer whole, from a backend to a client. No sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

EndCallback = Callable[[bool], None]
"""Called with true if the body is complete, with false if it was truncated."""

WritableCallback = Callable[[], None]


class Sink(Protocol):
    """The client's connection, to which a streamed body is written."""

    def __call__(self, data: bytes) -> None:
        """Write bytes to the client, in order."""

    @property
    def write_blocked(self) -> bool:
        """Whether so much is unsent, because the client does not read it, that writing must pause."""

    def when_writable(self, callback: WritableCallback) -> None:
        """Call the callback once, once the kernel has accepted everything that was written."""

    def abort(self) -> None:
        """Abort the connection, so that the client can tell that the response is incomplete."""


def _ignore_writable() -> None:
    """Do nothing: the default until a producer registers its callback."""


class Body:
    """A value of `length` bytes that is streamed from a producer, the backend's side, to the client's sink.

    States:

    - buffering, from the start: earlier responses on the client's connection are still pending, `feed`
      collects the bytes and the body is blocked;
    - streaming, from `attach_sink` on: `feed` writes through; blocked while the sink is full;
    - ended, from `end` on, by either side: complete or truncated; further calls have no effect.

    Invariants: each `on_end` callback is called exactly once; the producer checks `is_blocked` after each
    piece and stops reading while it is set, so that no more is buffered than the producer reads at once;
    `on_writable` is called whenever the producer may continue, and at the end.
    """

    def __init__(self, length: int) -> None:
        self.length = length
        self.ended = False
        self.on_end: list[EndCallback] = []
        self.on_writable: WritableCallback = _ignore_writable
        self._buffered: list[bytes] = []
        self._sink: Sink | None = None

    @property
    def is_blocked(self) -> bool:
        """Whether the producer has to stop reading for now."""
        return not self.ended and (self._sink is None or self._sink.write_blocked)

    def feed(self, data: bytes) -> None:
        """Write the next bytes from the producer to the sink, or buffer them until a sink is attached."""
        if self.ended:
            return
        if self._sink is None:
            self._buffered.append(data)
            return
        self._sink(data)
        if self._sink.write_blocked:
            self._sink.when_writable(self.on_writable)

    def attach_sink(self, sink: Sink) -> None:
        """Start streaming to the client, buffered bytes first. Called once, after all earlier responses."""
        self._sink = sink
        buffered = self._buffered
        self._buffered = []
        if buffered:
            sink(b"".join(buffered))
        if sink.write_blocked:
            sink.when_writable(self.on_writable)
        else:
            self.on_writable()

    def end(self, *, complete: bool) -> None:
        """End the body, from either side, and notify both; only the first call has an effect."""
        if self.ended:
            return
        self.ended = True
        if not complete:
            self._buffered.clear()
        for callback in self.on_end:
            callback(complete)
        self.on_writable()
