"""Replies to commands that are not completely written, and the encoding of the engine's answers."""

from __future__ import annotations

from garnetlanding.core.body import Body
from garnetlanding.core.ports import Answer, Rejected, Served, Timer
from garnetlanding.limits import MS
from garnetlanding.resp import codec


class PendingReply:
    """The reply to one command, which is written after the replies to all earlier commands.

    `reply` is `None` until it is known. `held_bytes` have been charged to the client while it waits. While
    the command's request is in progress, `ticket` identifies it to the engine and `request_id` to the client.
    `stream_by` is the time at which a streamed value is no longer collected, `collect_timer` the timer that
    ends it, both set for a request only.
    """

    __slots__ = ("collect_timer", "held_bytes", "reply", "request_id", "stream_by", "ticket")

    def __init__(self) -> None:
        self.reply: bytes | Body | None = None
        self.held_bytes = 0
        self.ticket: str | None = None
        self.request_id = b""
        self.stream_by = 0
        self.collect_timer: Timer | None = None

    def stop_collect_timer(self) -> None:
        """Cancel the timer, if it is set."""
        if self.collect_timer:
            self.collect_timer.cancel()
            self.collect_timer = None


def encode_answer(answer: Answer) -> bytes | Body:
    """Encode the engine's answer as a reply; a streamed value is returned as its `Body`."""
    match answer:
        case Served(Body() as body):
            return body
        case Served(value):
            return codec.encode_bulk(value)
        case Rejected(retry_after_us) if retry_after_us:
            retry_after_ms = -(-retry_after_us // MS)  # rounded up: a retry must not come early
            return b"-BUSY %d\r\n" % retry_after_ms
        case Rejected():
            return b"-BUSY\r\n"
    return codec.encode_error("ERR " + answer.reason)
