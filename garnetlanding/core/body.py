"""A value too long to be held: passed on from a server to a client as it comes. Knows no wire, no socket."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Sink(Protocol):
    """Where a client's bytes go."""

    def __call__(self, data: bytes) -> None: ...

    @property
    def full(self) -> bool:
        """The client leaves too much unread: nothing more is to be written for now."""

    def when_writable(self, call: Callable[[], None]) -> None:
        """Calls once, when the client has taken all."""

    def cut(self) -> None:
        """Ends the connection at once, so that its client can tell that what was begun is not whole."""


class Body:
    """One value of `length` bytes on its way. It ends once: whole, or cut short by either side.

    Until the client's side takes it, what has come is held, which is no more than the server's side reads
    at once: it looks at `blocked` after each piece.
    """

    def __init__(self, length: int) -> None:
        self.length = length
        self._held: list[bytes] = []
        self._sink: Sink | None = None
        self.ended = False
        self.on_end: list[Callable[[bool], None]] = []  # told whether it is whole
        self.on_writable: Callable[[], None] = lambda: None  # the server may be read again

    @property
    def blocked(self) -> bool:
        """The server is not to be read further for now."""
        return not self.ended and (self._sink is None or self._sink.full)

    def feed(self, data: bytes) -> None:
        """From the server's side: the next bytes."""
        if self.ended:
            return
        if self._sink is None:
            self._held.append(data)
            return
        self._sink(data)
        if self._sink.full:
            self._sink.when_writable(self.on_writable)

    def attach_sink(self, sink: Sink) -> None:
        """From the client's side: its turn has come."""
        self._sink, held = sink, self._held
        self._held = []
        if held:
            sink(b"".join(held))
        if sink.full:
            sink.when_writable(self.on_writable)
        else:
            self.on_writable()

    def end(self, whole: bool) -> None:
        """From either side; what is said after the first time changes nothing."""
        if self.ended:
            return
        self.ended = True
        if not whole:
            self._held.clear()
        for call in self.on_end:
            call(whole)
        self.on_writable()
