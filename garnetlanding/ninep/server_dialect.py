"""What differs between the dialects of clients, as one interface, which imports neither of them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from garnetlanding.ninep.codec import Message, MessageTable
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.fids import Fid

Handlers = Mapping[type[Any], Callable[[int, Any], None]]
"""By type of T-message, what processes it with its tag. A handler may raise RequestRejectedError."""


class ServerDialect(Protocol):
    """One dialect on one client connection, from the Tversion that agreed on it to the next."""

    version: str
    """As Tversion and Rversion name it."""
    table: MessageTable
    """How its messages are packed."""
    handlers: Handlers
    """The messages that only this dialect has, or has in this form."""
    unsupported: ErrorReply
    """The reply to a message that no handler exists for."""

    def read_directory(self, tag: int, number: int, fid: Fid, offset: int, count: int, /) -> None:
        """Process a Tread of a directory. Raise RequestRejectedError where the dialect has none."""

    def error_reply(self, problem: ErrorReply, msize: int, /) -> Message:
        """Return the R-message for a problem, within the agreed message size."""
