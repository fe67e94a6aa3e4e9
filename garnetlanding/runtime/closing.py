"""How a client connection ends: what each event means in each state. No socket, no clock."""

from __future__ import annotations

from enum import Enum


class State(Enum):
    SERVING = "serving"
    PAUSED = "paused"  # not read for a moment, after something that cannot be used
    FINISHING = "finishing"  # nothing more is read; answers are owed, or not all sent
    LINGERING = "lingering"  # the write side is shut; what still comes is read past and goes nowhere
    CLOSED = "closed"


class Event(Enum):
    BAD = "bad command"
    PAUSE_OVER = "pause over"
    NO_MORE = "no more is read"  # the client quit, or was turned away, or is late and still owed something
    LATE = "command late, nothing owed"
    SENT = "all answered and sent"
    LET_GO = "let go between requests"  # the head needs the place, or ends
    FIN = "client's FIN"
    BROKEN = "reset, stall"
    SPENT = "lingered long enough"
    CUT = "cut"  # at once, so that the client can tell


TO: dict[State, dict[Event, State]] = {
    State.SERVING: {
        Event.BAD: State.PAUSED,
        Event.NO_MORE: State.FINISHING,
        Event.LATE: State.LINGERING,
        Event.LET_GO: State.LINGERING,
    },
    State.PAUSED: {
        Event.PAUSE_OVER: State.SERVING,
        Event.NO_MORE: State.FINISHING,
        Event.LATE: State.LINGERING,
        Event.LET_GO: State.LINGERING,
    },
    State.FINISHING: {Event.SENT: State.LINGERING},
    State.LINGERING: {Event.SPENT: State.CLOSED},
    State.CLOSED: {},
}
for _after in TO.values():
    _after |= dict.fromkeys((Event.FIN, Event.BROKEN, Event.CUT), State.CLOSED)


class Closing:
    """One connection's state. An event that means nothing in a state changes nothing."""

    def __init__(self) -> None:
        self.state = State.SERVING

    def on(self, event: Event) -> State:
        self.state = TO[self.state].get(event, self.state)
        return self.state

    @property
    def reads(self) -> bool:
        """What comes is the protocol's to take."""
        return self.state in (State.SERVING, State.PAUSED)

    @property
    def over(self) -> bool:
        """Nothing more will be said: the client has left, or has been told that this is the end."""
        return self.state in (State.LINGERING, State.CLOSED)
