"""The interfaces between connections, which do the I/O, and the protocols spoken on them, which do none.

A protocol is a state machine, one object for each connection. The connection feeds it the bytes that arrive;
the protocol sends bytes through the `write` that its factory was given, and shows its state in attributes,
which the connection reads after each call. RESP2, 9P, HTTP and replication implement these interfaces.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Protocol

from garnetlanding.core.body import Body
from garnetlanding.core.ports import AttemptHandle

Write = Callable[[bytes], None]
"""Sends bytes, in order; a client protocol that streams values needs the core's `Sink` instead."""


class ClientProtocol(Protocol):
    """The server side of a protocol on one client connection.

    States:

    - receiving, from the start: `feed` is called with what arrives;
    - closing, once `is_closing` is set: nothing more is fed, and the connection is closed as soon as
      `pending_responses` is 0 and the last of them is sent;
    - closed, once `close` has been called: nothing more is fed, and what is written goes nowhere.

    Invariants: `is_closing` is never reset; the three counters never decrease, and neither
    `invalid_messages` nor `requests_received` exceeds `messages_received`.
    """

    is_closing: bool
    """Whether no more input is accepted: the client said that it leaves, or has broken the protocol."""
    messages_received: int
    """Number of complete messages received. The time limit for a message starts anew with each of them."""
    invalid_messages: int
    """Number of messages rejected as unusable. Reading pauses after each, to slow down a faulty client."""
    requests_received: int
    """Number of messages that were requests. Connections that have made none are the first to be evicted."""
    has_buffered_input: bool
    """Whether complete messages are left over from the last `feed`; `feed(b"")` processes more of them."""

    @property
    def pending_responses(self) -> int:
        """Number of responses that have not been written completely."""

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message has arrived and the rest is awaited."""

    @property
    def has_session_state(self) -> bool:
        """Whether closing between two requests would lose state for the client, so that it is not evicted."""

    def feed(self, data: bytes | memoryview) -> None:
        """Process received bytes; `data` is only valid during the call."""

    def close(self) -> None:
        """Abandon open requests and free all buffers. May be called more than once."""


class BackendProtocol(Protocol):
    """The client side of a protocol on one backend connection, which carries one attempt at a time.

    States:

    - idle, before the first `begin` and whenever `on_idle` has been called;
    - busy, from `begin` on: the attempt's request is being sent, or its response is awaited. The protocol
      ends the attempt (`AttemptHandle.finish`) before it calls `on_idle`;
    - closed, once `close` has been called.
    """

    def begin(self, attempt: AttemptHandle) -> None:
        """Write the attempt's request. Raises `BackendProtocolError` if the backend may not be sent it."""

    def feed(self, data: bytes | memoryview) -> None:
        """Process received bytes; `data` is only valid during the call.

        Raises `BackendProtocolError` if they violate the protocol: the connection is then closed.
        """

    @property
    def bytes_may_have_been_sent(self) -> bool:
        """Whether the backend may execute the attempt once it has received everything written so far."""

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a message has arrived and the rest is awaited."""

    @property
    def body(self) -> Body | None:
        """The response value that is being streamed, if any."""

    def can_carry(self, attempt: AttemptHandle) -> bool:
        """Return whether this connection, among several idle ones, is preferred for the attempt."""

    def close(self) -> None:
        """Abandon a response that is incomplete and free all buffers."""


class BackendProtocolFactory(ABC):
    """What `Upstream` needs to know of a protocol: how to create it, and which connections are alike."""

    @abstractmethod
    def create(self, attempt: AttemptHandle, write: Write, on_idle: Callable[[], None]) -> BackendProtocol:
        """Return the protocol of a new connection, which is opened for the attempt.

        It sends bytes by `write`, and calls `on_idle` when the connection is free for another attempt.
        """

    def resolve_address(self, endpoint: str) -> str:
        """Return the address (`HOST:PORT`) to connect to for an address of the endpoint list."""
        return endpoint

    def connection_key(self, attempt: AttemptHandle) -> str:  # noqa: ARG002 - for protocols with identities
        """Return what else than the address has to be equal for two attempts to share a connection."""
        return ""
