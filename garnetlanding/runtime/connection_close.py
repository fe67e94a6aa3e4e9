"""State machine for the graceful close of a client connection, without sockets and without a clock.

    SERVING <-> PAUSED              reading pauses for a short time after invalid input
    SERVING, PAUSED -> FINISHING    reading has ended; responses are pending or not completely sent
    SERVING, PAUSED -> LINGERING    nothing is left to send, and the write side is shut down
    FINISHING -> LINGERING          all pending responses have been sent
    LINGERING -> CLOSED             the client has closed its side or a limit is reached
    any -> CLOSED                   the client has closed, the connection failed or was aborted

The connection lingers because closing a socket with unread input resets the connection, by which the client
may lose the last response (RFC 9112, section 9.6).
"""

from __future__ import annotations

from enum import Enum


class CloseState(Enum):
    """The state of a connection's close."""

    SERVING = "serving"
    """Input is read and processed."""
    PAUSED = "paused"
    """Reading is paused for a short time."""
    FINISHING = "finishing"
    """Input is no longer read; pending responses are still sent."""
    LINGERING = "lingering"
    """Nothing more is sent; input is discarded."""
    CLOSED = "closed"
    """The socket is closed or about to be closed."""


class CloseEvent(Enum):
    """An event that may change the state."""

    INVALID_MESSAGE = "invalid message"
    """The client sent an invalid message."""
    PAUSE_ENDED = "pause ended"
    """The pause after an invalid message has ended."""
    INPUT_ENDED = "input ended"
    """The client said that it leaves, violated the protocol, or timed out with responses pending."""
    MESSAGE_TIMEOUT = "message timeout"
    """A message was not completed in time, and no response is pending."""
    RESPONSES_SENT = "responses sent"
    """The kernel has accepted the last pending response."""
    CLOSE_REQUESTED = "close requested"
    """The connection is idle, and its descriptor is needed or the instance is draining or terminating."""
    CLIENT_CLOSED = "client closed"
    """The client closed its side."""
    CONNECTION_FAILED = "connection failed"
    """The connection was reset, or the client no longer reads."""
    LINGER_ENDED = "linger ended"
    """A lingering connection has reached its limit on time or input."""
    ABORTED = "aborted"
    """Closed immediately, so that the client can tell that a response is incomplete."""


_WHILE_READING = {
    CloseEvent.INPUT_ENDED: CloseState.FINISHING,
    CloseEvent.MESSAGE_TIMEOUT: CloseState.LINGERING,
    CloseEvent.CLOSE_REQUESTED: CloseState.LINGERING,
}
_AT_ANY_TIME = dict.fromkeys(
    (CloseEvent.CLIENT_CLOSED, CloseEvent.CONNECTION_FAILED, CloseEvent.ABORTED), CloseState.CLOSED
)
TRANSITIONS: dict[CloseState, dict[CloseEvent, CloseState]] = {
    CloseState.SERVING: _WHILE_READING | _AT_ANY_TIME | {CloseEvent.INVALID_MESSAGE: CloseState.PAUSED},
    CloseState.PAUSED: _WHILE_READING | _AT_ANY_TIME | {CloseEvent.PAUSE_ENDED: CloseState.SERVING},
    CloseState.FINISHING: _AT_ANY_TIME | {CloseEvent.RESPONSES_SENT: CloseState.LINGERING},
    CloseState.LINGERING: _AT_ANY_TIME | {CloseEvent.LINGER_ENDED: CloseState.CLOSED},
    CloseState.CLOSED: _AT_ANY_TIME,
}


class ConnectionClose:
    """The state machine of one connection's close."""

    def __init__(self) -> None:
        self.state = CloseState.SERVING

    def apply(self, event: CloseEvent) -> CloseState:
        """Apply an event and return the new state; events without a transition are ignored."""
        self.state = TRANSITIONS[self.state].get(event, self.state)
        return self.state

    @property
    def accepts_input(self) -> bool:
        """Whether input is passed to the protocol."""
        return self.state in (CloseState.SERVING, CloseState.PAUSED)

    @property
    def output_ended(self) -> bool:
        """Whether nothing more will be sent to the client."""
        return self.state in (CloseState.LINGERING, CloseState.CLOSED)
