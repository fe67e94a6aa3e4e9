"""The graceful close of a client connection, as a state machine without sockets and without a clock.

    SERVING <-> PAUSED              reading is paused for a moment after invalid input
    SERVING, PAUSED -> FINISHING    reading has ended; responses are pending or not completely sent
    SERVING, PAUSED -> LINGERING    nothing is left to be sent, and the write side is shut down
    FINISHING -> LINGERING          the pending responses are sent
    LINGERING -> CLOSED             the client has closed too, or has taken too long
    any -> CLOSED                   the client has closed, the connection failed, or it is aborted

The connection lingers because closing a socket with unread input resets it, and the client may lose the last
response by that (RFC 9112, section 9.6).
"""

from __future__ import annotations

from enum import Enum


class CloseState(Enum):
    """How far the connection is closed."""

    SERVING = "serving"
    """Input is read and processed."""
    PAUSED = "paused"
    """Nothing is read for a moment."""
    FINISHING = "finishing"
    """Nothing more is read; pending responses are still sent."""
    LINGERING = "lingering"
    """Nothing more is sent; what still arrives is discarded."""
    CLOSED = "closed"
    """The socket is closed, or about to be."""


class CloseEvent(Enum):
    """What may change the state."""

    BAD_COMMAND = "bad command"
    """The client sent an invalid message."""
    PAUSE_OVER = "pause over"
    """The pause after an invalid message has ended."""
    INPUT_ENDED = "no more is read"
    """The client said that it leaves, has broken the protocol, or is late with responses pending."""
    COMMAND_LATE = "command late, nothing pending"
    """A message was not complete in time, and no response is pending."""
    RESPONSES_SENT = "all responses sent"
    """The last pending response has been accepted by the kernel."""
    RELEASED = "released between requests"
    """The connection is idle, and its descriptor is needed or the instance drains or terminates."""
    CLIENT_CLOSED = "client closed"
    """The client closed its side."""
    BROKEN = "reset or stall"
    """The connection was reset, or the client has stopped reading."""
    LINGER_ENDED = "lingered long enough"
    """The limit on the time or the input of a lingering connection is reached."""
    ABORTED = "aborted"
    """Closed at once, so that the client can tell that a response is incomplete."""


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
    """The state of one connection's close."""

    def __init__(self) -> None:
        self.state = CloseState.SERVING

    def on(self, event: CloseEvent) -> CloseState:
        """Apply an event and return the new state; an event that the state does not expect is ignored."""
        self.state = TRANSITIONS[self.state].get(event, self.state)
        return self.state

    @property
    def reads(self) -> bool:
        """Whether input is still passed to the protocol."""
        return self.state in (CloseState.SERVING, CloseState.PAUSED)

    @property
    def over(self) -> bool:
        """Whether nothing more will be sent to the client."""
        return self.state in (CloseState.LINGERING, CloseState.CLOSED)
