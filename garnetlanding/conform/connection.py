"""A connection of the suite: sends messages, matches replies by tag, and checks replies for cases."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

from garnetlanding.conform.errors import CaseFailedError, UnsupportedError
from garnetlanding.conform.transport import Transport
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors
from garnetlanding.ninep.wire_format import message_name
from garnetlanding.runtime.buffers import BufferPool

MessageT = TypeVar("MessageT", bound=p9.Message)

MAX_FRAME_BYTES = 1 << 24
BUFFER_BYTES = 8192
BUFFER_COUNT = 1 << 12
BUFFERS_PER_CHAIN = 4
LAST_TAG = 0xFFF0  # generated tags wrap around after this one; cases may also choose tags


@dataclass(frozen=True, slots=True)
class Options:
    """Attach parameters and reply timeouts; times in seconds."""

    version: str = p9.VERSION
    aname: str = ""
    uname: str = "conform"
    uid: int = 1000
    msize: int = 8192
    reply_timeout_s: float = 5.0
    quiet_period_s: float = 0.2  # without received data, after which no further reply is expected


class Connection:
    """Sends messages over a transport and records all replies in the order of their arrival.

    Replies are matched to requests by tag; `wait_for_reply` returns each of them once. A reply that cannot
    be decoded fails the case.
    """

    def __init__(self, transport: Transport, options: Options) -> None:
        self.transport = transport
        self.options = options
        self.linux = options.version == p9l.VERSION
        self.server_closed = False
        self.replies: list[tuple[int, p9.Message]] = []  # (tag, message) in order of arrival
        # Errors before version negotiation have the 9P2000 form, so both dialects accept its messages.
        table = p9.PLAIN_MESSAGES | p9l.LINUX_MESSAGES if self.linux else p9.PLAIN_MESSAGES
        pool = BufferPool(BUFFER_BYTES, BUFFERS_PER_CHAIN, BUFFER_COUNT)
        self._framer = p9.Framer(pool, MAX_FRAME_BYTES, table)
        self._consumed: set[int] = set()  # indexes in `replies` that `wait_for_reply` has returned
        self._last_tag = 0

    def close(self) -> None:
        """Close the connection."""
        self.transport.close()

    # Sending

    def send_bytes(self, data: bytes) -> None:
        """Send raw bytes, which need not form valid messages."""
        self.transport.send(data)

    def send(self, message: p9.Message, tag: int | None = None) -> int:
        """Send a message and return its tag, which is generated unless given."""
        if tag is None:
            self._last_tag = self._last_tag % LAST_TAG + 1
            tag = self._last_tag
        self.send_bytes(p9.encode(tag, message))
        return tag

    def request(self, message: p9.Message, tag: int | None = None) -> p9.Message:
        """Send a message and return its reply, which may be an error."""
        return self.wait_for_reply(self.send(message, tag))

    def call(self, message_type: type[MessageT], message: p9.Message, tag: int | None = None) -> MessageT:
        """Send a message and return its reply; any other message type fails the case."""
        return self.expect(message_type, self.request(message, tag))

    def call_expecting_error(self, message: p9.Message, *errnos: int) -> None:
        """Send a message and fail the case unless the reply is an error, as `expect_error` does."""
        self.expect_error(self.request(message), *errnos)

    # Receiving

    def wait_for_reply(self, tag: int) -> p9.Message:
        """Return the next reply to the tag; fail the case if none arrives before the timeout."""
        while True:
            for index, (reply_tag, message) in enumerate(self.replies):
                if reply_tag == tag and index not in self._consumed:
                    self._consumed.add(index)
                    return message
            if not self._receive(self.options.reply_timeout_s):
                raise CaseFailedError(self._missing_reply_reason(tag))

    def drain_replies(self) -> None:
        """Receive until no data arrives for a whole quiet period."""
        while self._receive(self.options.quiet_period_s):
            pass

    def replies_to(self, tag: int) -> list[p9.Message]:
        """Return all replies to the tag so far, including those that `wait_for_reply` returned."""
        return [message for reply_tag, message in self.replies if reply_tag == tag]

    def clear_replies(self) -> None:
        """Discard the recorded replies, which would otherwise accumulate on a long-lived connection."""
        self.replies.clear()
        self._consumed.clear()

    def _receive(self, wait_s: float) -> bool:
        """Receive once; return False if nothing arrived or the server closed the connection."""
        data = self.transport.receive(wait_s)
        if data is None:
            return False
        if not data:
            self.server_closed = True
            return False
        try:
            for tag, message in self._framer.feed(data):
                if isinstance(message, p9.MalformedMessage):
                    raise CaseFailedError(f"malformed reply: {message.reason}")
                self.replies.append((tag, message))
        except p9.FrameError as error:
            raise CaseFailedError(f"invalid framing in the server's reply stream: {error}") from error
        return True

    def _missing_reply_reason(self, tag: int) -> str:
        if self.server_closed:
            return "the server closed the connection instead of replying"
        return f"no reply to tag {tag} within {self.options.reply_timeout_s:g} s"

    # Expectations

    @staticmethod
    def error_of(reply: p9.Message) -> errors.ErrorReply | None:
        """Return the error in an Rerror or Rlerror, or None for any other reply."""
        if isinstance(reply, p9.Rerror):
            return errors.reply_from_text(reply.ename)
        if isinstance(reply, p9l.Rlerror):
            return errors.reply_from_errno(reply.ecode)
        return None

    def expect(self, message_type: type[MessageT], reply: p9.Message) -> MessageT:
        """Return the reply; any other message type fails the case."""
        if isinstance(reply, message_type):
            return reply
        error = self.error_of(reply)
        if error is not None:
            raise CaseFailedError(f"{message_name(message_type)} expected, got error {error.text!r}")
        raise CaseFailedError(f"{message_name(message_type)} expected, got {message_name(type(reply))}")

    def expect_error(self, reply: p9.Message, *errnos: int) -> None:
        """Fail unless the reply is an error; in 9P2000.L its number must be in `errnos`, if any are given."""
        error = self.error_of(reply)
        if error is None:
            raise CaseFailedError(f"error reply expected, got {message_name(type(reply))}")
        if self.linux and errnos and error.errno not in errnos:
            expected = ", ".join(map(str, errnos))
            raise CaseFailedError(f"got error {error.errno} ({error.text}), expected one of {expected}")

    def skip_if_unsupported(self, reply: p9.Message) -> p9.Message:
        """Return the reply; if it is the error EOPNOTSUPP or ENOSYS, end the case as unsupported."""
        error = self.error_of(reply)
        if error is not None and error.errno in (errors.EOPNOTSUPP, errors.ENOSYS):
            raise UnsupportedError(error.text)
        return reply
