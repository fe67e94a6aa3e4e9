"""One T-message that waits for its reply."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from garnetlanding.ninep.codec import Message
from garnetlanding.ninep.fids import Fid
from garnetlanding.ninep.operations import Operation

ReplyBuilder = Callable[[Any], Message]
"""Makes the R-message of an operation's result, and takes the result over into the fid.

May raise RequestRejectedError where the result cannot be given to the client.
"""


@dataclass(slots=True)
class PendingRequest:
    """A T-message that waits for its reply, with the operation that it needs at a file server."""

    target: Fid
    """The fid that the operation is about; its path is followed through renames."""
    operation: Operation | None
    """None for a clunk that only waits for the changes before it."""
    build_reply: ReplyBuilder
    fid: int | None = None
    """The number under which the message uses the target; None when it has no number (any more)."""
    newfid: int | None = None
    """A number that is reserved for the fid which the message makes."""
    alters_fid: bool = False
    """While it waits, no other message may use its fid."""
    size: int = 0
    """Bytes that it reads or writes; its cost is counted by them."""
    must_run: bool = False
    """Whether it cannot be cancelled, as the fid is gone already: a flush waits for its end."""
    deadline: int = 0
    """On the event loop's clock, in microseconds."""
    ticket: str = ""
    """The core's name for it; empty until it is submitted."""
    change_ticket: int = 0
    """Its place in the order of changes; 0: none."""
    settled: bool = False
    """Whether its reply was written, or nobody waits for one any more."""
    cancelled: bool = False
    """Whether it need not be submitted any more."""
    flush_tags: list[int] = field(default_factory=list)
    """Tags of the flushes that are answered right after it."""

    @property
    def is_change(self) -> bool:
        """Whether it changes something at a file server."""
        return self.operation is not None and self.operation.spec.changes_tree

    @property
    def must_complete(self) -> bool:
        """Whether it may have changed something, so that nobody may say it never arrived."""
        if self.must_run:
            return True
        operation = self.operation
        return operation is not None and operation.spec.changes_tree and operation.delivery.maybe_delivered
