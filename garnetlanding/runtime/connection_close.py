"""How a client connection ends: a state machine without sockets and without a clock.

    SERVING <-> PAUSED          after input that cannot be used the connection is not read for a moment
    SERVING, PAUSED -> FINISHING    nothing more is read; responses are still owed, or not all sent
    SERVING, PAUSED -> LINGERING    nothing is owed: the write side is shut down
    FINISHING -> LINGERING          everything owed is sent
    LINGERING -> CLOSED             the client has closed too, or lingered long enough
    any -> CLOSED                   the client closed, the connection broke, or it is aborted

The connection lingers because closing it over unread input resets it, which may take the last response from
the client (RFC 9112, 9.6).
"""

from __future__ import annotations

from enum import Enum


class CloseState(Enum):
    """What a connection still does."""

    SERVING = "serving"
    PAUSED = "paused"
    FINISHING = "finishing"
    LINGERING = "lingering"
    CLOSED = "closed"


class CloseEvent(Enum):
    """What may change the state."""

    BAD_COMMAND = "bad command"
    PAUSE_OVER = "pause over"
    INPUT_ENDED = "no more is read"  # the client quit, was rejected, or is late and still owed something
    COMMAND_LATE = "command late, nothing owed"
    RESPONSES_SENT = "all responses sent"
    RELEASED = (
        "released between requests"  # the descriptor is needed, the instance is drained, or it terminates
    )
    CLIENT_CLOSED = "client closed"
    BROKEN = "reset or stall"
    LINGER_ENDED = "lingered long enough"
    ABORTED = "aborted"  # at once, so that the client can tell that a response is cut short


_WHILE_READING = {
    CloseEvent.INPUT_ENDED: CloseState.FINISHING,
    CloseEvent.COMMAND_LATE: CloseState.LINGERING,
    CloseEvent.RELEASED: CloseState.LINGERING,
}
_AT_ANY_TIME = dict.fromkeys(
    (CloseEvent.CLIENT_CLOSED, CloseEvent.BROKEN, CloseEvent.ABORTED), CloseState.CLOSED
)
TRANSITIONS: dict[CloseState, dict[CloseEvent, CloseState]] = {
    CloseState.SERVING: _WHILE_READING | _AT_ANY_TIME | {CloseEvent.BAD_COMMAND: CloseState.PAUSED},
    CloseState.PAUSED: _WHILE_READING | _AT_ANY_TIME | {CloseEvent.PAUSE_OVER: CloseState.SERVING},
    CloseState.FINISHING: _AT_ANY_TIME | {CloseEvent.RESPONSES_SENT: CloseState.LINGERING},
    CloseState.LINGERING: _AT_ANY_TIME | {CloseEvent.LINGER_ENDED: CloseState.CLOSED},
    CloseState.CLOSED: _AT_ANY_TIME,
}


class ConnectionClose:
    """The state of one connection. An event that means nothing in the present state changes nothing."""

    def __init__(self) -> None:
        self.state = CloseState.SERVING

    def on(self, event: CloseEvent) -> CloseState:
        """Take an event and return the state after it."""
        self.state = TRANSITIONS[self.state].get(event, self.state)
        return self.state

    @property
    def reads(self) -> bool:
        """Return whether input is still the protocol's to take."""
        return self.state in (CloseState.SERVING, CloseState.PAUSED)

    @property
    def over(self) -> bool:
        """Return whether nothing more will be sent: the client has left, or was told of the end."""
        return self.state in (CloseState.LINGERING, CloseState.CLOSED)
