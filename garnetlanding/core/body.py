"""A response too long to be buffered whole: streamed from a backend to a client. No protocol, no sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

EndCallback = Callable[[bool], None]  # gets whether the body is complete
WritableCallback = Callable[[], None]


class Sink(Protocol):
    """Where a client's bytes go."""

    def __call__(self, data: bytes) -> None:
        """Write bytes to the client, in order."""

    @property
    def full(self) -> bool:
        """Whether the client leaves too much unread, so that nothing more is to be written for now."""

    def when_writable(self, call: WritableCallback) -> None:
        """Call once, when the client has read all that was written."""

    def cut(self) -> None:
        """Close the connection at once, so that its client can tell that what was begun is not complete."""


def _ignore_writable() -> None:
    """Stand in until a producer registers its callback."""


class Body:
    """One value of `length` bytes on its way from a producer (the backend's side) to a sink (the client's).

    States:

    - buffering, from the start: answers before it are still owed, `feed` collects; the body is `blocked`;
    - streaming, from `attach_sink` on: `feed` writes through; `blocked` while the sink is full;
    - ended, from `end` on, by either side: complete or cut short; further calls change nothing.

    Invariants: each `on_end` callback is called exactly once; the producer looks at `blocked` after each
    piece and stops reading while it is set, so no more is buffered than it reads at once; `on_writable` is
    called at each moment at which the producer may go on, which includes the end.
    """

    def __init__(self, length: int) -> None:
        self.length = length
        self.ended = False
        self.on_end: list[EndCallback] = []
        self.on_writable: WritableCallback = _ignore_writable
        self._buffered: list[bytes] = []
        self._sink: Sink | None = None

    @property
    def blocked(self) -> bool:
        """Whether the producer is not to read further for now."""
        return not self.ended and (self._sink is None or self._sink.full)

    def feed(self, data: bytes) -> None:
        """Take the next bytes from the producer."""
        if self.ended:
            return
        if self._sink is None:
            self._buffered.append(data)
            return
        self._sink(data)
        if self._sink.full:
            self._sink.when_writable(self.on_writable)

    def attach_sink(self, sink: Sink) -> None:
        """Begin to stream: every answer before it has been sent. Called once."""
        self._sink = sink
        buffered = self._buffered
        self._buffered = []
        if buffered:
            sink(b"".join(buffered))
        if sink.full:
            sink.when_writable(self.on_writable)
        else:
            self.on_writable()

    def end(self, complete: bool) -> None:
        """End the body, from either side; after the first call nothing changes."""
        if self.ended:
            return
        self.ended = True
        if not complete:
            self._buffered.clear()
        for callback in self.on_end:
            callback(complete)
        self.on_writable()
