"""Interfaces between connections, which do the I/O, and protocols, which do none.

A protocol is a state machine, one object per connection. The connection feeds it received bytes; the protocol
sends bytes through the `write` callable passed to its factory and exposes its state in attributes, which the
connection reads after each call. RESP2, 9P, HTTP and replication implement these interfaces.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Protocol

from garnetlanding.core.body import Body
from garnetlanding.core.ports import AttemptHandle
from garnetlanding.runtime.memory import MemoryAccount

Write = Callable[[bytes], None]
"""Sends bytes in order; a client protocol that streams values needs the core's `Sink` instead."""


def discard_bytes(_: bytes) -> None:
    """Discard bytes: the `Write` of a protocol whose connection has ended, to which it must not refer."""


def ignore_idle() -> None:
    """Do nothing: the `on_idle` of a protocol whose connection has ended, to which it must not refer."""


class ClientProtocol(Protocol):
    """The server side of a protocol on one client connection.

    States:

    - receiving, initially: `feed` is called with received bytes;
    - closing, once `is_closing` is set: nothing more is fed, and the connection closes when
      `pending_responses` is 0 and the last response has been sent;
    - closed, after `close`: nothing more is fed, and written bytes are discarded.

    Invariants: `is_closing` is never reset; the three counters never decrease, and neither
    `invalid_messages` nor `requests_received` exceeds `messages_received`.
    """

    is_closing: bool
    """Whether no more input is accepted: the client said that it leaves or violated the protocol."""
    messages_received: int
    """Number of complete messages received. The time limit for a message restarts with each of them."""
    invalid_messages: int
    """Number of invalid messages received. Reading pauses after each, to slow down a faulty client."""
    requests_received: int
    """Number of requests among the messages. Connections without any are evicted first."""
    has_buffered_input: bool
    """Whether complete messages remain from the last `feed`; `feed(b"")` processes more of them."""

    @property
    def pending_responses(self) -> int:
        """Number of responses that are not completely written."""

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has arrived only in part."""

    @property
    def has_session_state(self) -> bool:
        """Whether a close between requests would lose client state; such a connection is not evicted."""

    def feed(self, data: bytes | memoryview) -> None:
        """Process received bytes; `data` is only valid during the call."""

    def fail_waiting(self, reason: str) -> None:
        """Answer with an error each request that the protocol has not passed on to the engine yet."""

    def fail_pending(self, reason: str) -> None:
        """Accept no more input; discard responses that wait, and answer what is pending with an error.

        The errors are written at once and are short. A protocol whose client can tell without them that its
        requests have failed may write nothing.
        """

    def close(self) -> None:
        """Abandon open requests, release all memory and drop `write`. May be called more than once."""


class BackendProtocol(Protocol):
    """The client side of a protocol on one backend connection, which carries one attempt at a time.

    States:

    - idle, initially and after each call of `on_idle`;
    - busy, after `begin`: the attempt's request is being sent or its response is awaited. The protocol calls
      `AttemptHandle.finish` before it calls `on_idle`;
    - closed, after `close`.
    """

    def begin(self, attempt: AttemptHandle) -> None:
        """Write the attempt's request. Raises `BackendProtocolError` if it must not be sent any more."""

    def feed(self, data: bytes | memoryview) -> None:
        """Process received bytes; `data` is only valid during the call.

        Raises `BackendProtocolError` if they violate the protocol; the connection is then closed.
        """

    @property
    def bytes_may_have_been_sent(self) -> bool:
        """Whether the backend may execute the attempt once it has received all bytes written so far."""

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has arrived only in part."""

    @property
    def body(self) -> Body | None:
        """The response value that is being streamed, if any."""

    def can_carry(self, attempt: AttemptHandle) -> bool:
        """Return whether this connection is preferred for the attempt among several idle ones."""

    def close(self) -> None:
        """Abandon the attempt and an incomplete response, release all memory, and drop the callbacks."""


class BackendProtocolFactory(ABC):
    """Creates protocols for `Upstream` and decides which attempts may share a connection."""

    rest_us = 0
    """Time between the end of an attempt and the next one on its connection, in microseconds.

    For protocols in which a second reply to the first attempt would be taken for the reply to the next one.
    """

    @abstractmethod
    def create(
        self, attempt: AttemptHandle, write: Write, on_idle: Callable[[], None], account: MemoryAccount
    ) -> BackendProtocol:
        """Return the protocol of a new connection that is opened for the attempt.

        It sends bytes with `write` and calls `on_idle` when the connection is free for another attempt. What
        it holds of the backend's responses is charged to `account`.
        """

    def resolve_address(self, endpoint: str) -> str:
        """Return the address (`HOST:PORT`) to connect to for an address in the endpoint list."""
        return endpoint

    def connection_key(self, attempt: AttemptHandle) -> str:  # noqa: ARG002 - used by protocols with user identities
        """Return what, besides the address, must be equal for two attempts to share a connection."""
        return ""
