"""The interface of the dialects that clients use; it imports neither implementation."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from garnetlanding.ninep.codec import Message, MessageTable
from garnetlanding.ninep.errors import ErrorReply
from garnetlanding.ninep.fids import Fid

Handlers = Mapping[type[Any], Callable[[int, Any], None]]
"""The handler of each T-message type, called with tag and message. It may raise RequestRejectedError."""


class ServerDialect(Protocol):
    """A dialect on one client connection, from the Tversion that selected it to the next one."""

    version: str
    """The version string in Tversion and Rversion."""
    table: MessageTable
    """The wire formats of its messages."""
    unsupported: ErrorReply
    """The error for a message without a handler."""

    @property
    def handlers(self) -> Handlers:
        """Handlers of the messages whose form is specific to this dialect.

        A new mapping each time: an object that kept its own bound methods would be freed by the garbage
        collector only.
        """

    def read_directory(self, tag: int, fid_number: int, fid: Fid, offset: int, count: int, /) -> None:
        """Process a Tread of a directory. Raises RequestRejectedError if the dialect has no such message."""

    def error_reply(self, error: ErrorReply, msize: int, /) -> Message:
        """Return the R-message of an error reply, no longer than `msize` bytes."""
