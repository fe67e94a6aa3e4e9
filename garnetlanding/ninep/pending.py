"""A T-message that waits for its reply."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from garnetlanding.ninep.codec import Message
from garnetlanding.ninep.fids import Fid
from garnetlanding.ninep.operations import Operation

ReplyBuilder = Callable[[Any], Message]
"""Builds the R-message from an operation's result, and updates the fid with the result.

May raise RequestRejectedError if the result cannot be sent to the client.
"""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A T-message that waits for its reply, with the operation to be executed by a file server."""

    target: Fid
    """The fid that the operation applies to; its path is updated by renames."""
    operation: Operation | None
    """None for a clunk that only waits for earlier changes."""
    build_reply: ReplyBuilder
    fid: int | None = None
    """The number of the target in the fid table; None if it has none or has been released."""
    newfid: int | None = None
    """A number that is reserved for the fid that the message creates."""
    alters_fid: bool = False
    """Whether no other message may use its fid until the reply is written."""
    data_bytes: int = 0
    """Number of bytes to read or write, which determines the cost in units."""
    must_run: bool = False
    """Whether it cannot be cancelled, because its fid has been released; a flush waits for its end."""
    deadline: int = 0
    """Time on the event loop's clock, in microseconds."""
    ticket: str = ""
    """The core's identifier of the request; empty until it is submitted."""
    change_ticket: int = 0
    """Its ticket in the `ChangeOrder`; 0 if it has none."""
    charged_bytes: int = 0
    """Memory charged to its client until it is submitted to the core, which charges it from then on."""
    settled: bool = False
    """Whether its reply has been written or is no longer needed."""
    flush_tags: list[int] = field(default_factory=list)
    """Tags of the flushes to be answered immediately after it."""

    @property
    def is_change(self) -> bool:
        """Whether it changes something at a file server."""
        return self.operation is not None and self.operation.spec.changes_tree

    @property
    def must_complete(self) -> bool:
        """Whether it may have had an effect, so that it cannot be cancelled as if never received."""
        if self.must_run:
            return True
        operation = self.operation
        return operation is not None and operation.spec.changes_tree and operation.delivery.maybe_delivered
