"""One connection of the suite: messages out by tag, replies in, and what a case expects of a reply."""

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
LAST_TAG = 0xFFF0  # tags are taken from 1 to this in a circle; cases give tags of their own as well


@dataclass(frozen=True, slots=True)
class Options:
    """How to attach to a server, and how long a reply may take; times in seconds."""

    version: str = p9.VERSION
    aname: str = ""
    uname: str = "conform"
    uid: int = 1000
    msize: int = 8192
    reply_timeout_s: float = 5.0
    quiet_period_s: float = 0.2  # after which no further reply is expected


class Connection:
    """Sends messages over a transport and keeps all replies, in the order of their arrival.

    Replies are matched to requests by tag; each is handed out by `wait_reply` once. A reply that cannot be
    decoded fails the case.
    """

    def __init__(self, transport: Transport, options: Options) -> None:
        self.transport = transport
        self.options = options
        self.linux = options.version == p9l.VERSION
        self.closed_by_server = False
        self.replies: list[tuple[int, p9.Message]] = []  # with their tags
        # Until a version is agreed on, errors have the base dialect's form: its table is read as well.
        table = p9.PLAIN_MESSAGES | p9l.LINUX_MESSAGES if self.linux else p9.PLAIN_MESSAGES
        pool = BufferPool(BUFFER_BYTES, BUFFERS_PER_CHAIN, BUFFER_COUNT)
        self._framer = p9.Framer(pool, MAX_FRAME_BYTES, table)
        self._consumed: set[int] = set()  # positions in `replies` that `wait_reply` has handed out
        self._last_tag = 0

    def close(self) -> None:
        """Close the connection."""
        self.transport.close()

    # Sending

    def send_bytes(self, data: bytes) -> None:
        """Send bytes as they are, whether or not they make messages."""
        self.transport.send(data)

    def send(self, message: p9.Message, tag: int | None = None) -> int:
        """Send a message and return its tag, a new one unless it is given."""
        if tag is None:
            self._last_tag = self._last_tag % LAST_TAG + 1
            tag = self._last_tag
        self.send_bytes(p9.encode(tag, message))
        return tag

    def request(self, message: p9.Message, tag: int | None = None) -> p9.Message:
        """Send a message and return its reply, whatever it is."""
        return self.wait_reply(self.send(message, tag))

    def call(self, kind: type[MessageT], message: p9.Message, tag: int | None = None) -> MessageT:
        """Send a message and return its reply, which must be of this kind."""
        return self.expect(kind, self.request(message, tag))

    def call_failing(self, message: p9.Message, *numbers: int) -> None:
        """Send a message whose reply must be an error, as in `expect_error`."""
        self.expect_error(self.request(message), *numbers)

    # Receiving

    def wait_reply(self, tag: int) -> p9.Message:
        """Return the next reply to a tag that has not been returned before."""
        while True:
            for position, (reply_tag, message) in enumerate(self.replies):
                if reply_tag == tag and position not in self._consumed:
                    self._consumed.add(position)
                    return message
            if not self._receive(self.options.reply_timeout_s):
                raise CaseFailedError(self._missing_reply(tag))

    def drain_replies(self) -> None:
        """Receive until nothing arrives for the quiet period."""
        while self._receive(self.options.quiet_period_s):
            pass

    def replies_to(self, tag: int) -> list[p9.Message]:
        """Return all replies to a tag that have arrived, also those that were waited for."""
        return [message for reply_tag, message in self.replies if reply_tag == tag]

    def forget_replies(self) -> None:
        """Drop the replies kept so far; a long-lived connection would keep them all."""
        self.replies.clear()
        self._consumed.clear()

    def _receive(self, wait_s: float) -> bool:
        """Receive once; return False when nothing arrived or the server closed the connection."""
        data = self.transport.receive(wait_s)
        if data is None:
            return False
        if not data:
            self.closed_by_server = True
            return False
        try:
            for tag, message in self._framer.feed(data):
                if isinstance(message, p9.MalformedMessage):
                    raise CaseFailedError(f"an answer that cannot be read: {message.reason}")
                self.replies.append((tag, message))
        except p9.FrameError as problem:
            raise CaseFailedError(f"the answers' framing is lost: {problem}") from problem
        return True

    def _missing_reply(self, tag: int) -> str:
        if self.closed_by_server:
            return "the connection ended in place of an answer"
        return f"no answer to tag {tag} within {self.options.reply_timeout_s:g} s"

    # Expectations

    @staticmethod
    def error_of(reply: p9.Message) -> errors.ErrorReply | None:
        """Return the error that a reply carries in either dialect's form, None for any other reply."""
        if isinstance(reply, p9.Rerror):
            return errors.reply_from_text(reply.ename)
        if isinstance(reply, p9l.Rlerror):
            return errors.reply_from_errno(reply.ecode)
        return None

    def expect(self, kind: type[MessageT], reply: p9.Message) -> MessageT:
        """Return the reply, which must be of this kind."""
        if isinstance(reply, kind):
            return reply
        error = self.error_of(reply)
        if error is not None:
            raise CaseFailedError(f"{message_name(kind)} expected, found the error {error.text!r}")
        raise CaseFailedError(f"{message_name(kind)} expected, found {message_name(type(reply))}")

    def expect_error(self, reply: p9.Message, *numbers: int) -> None:
        """Fail unless the reply is an error; in 9P2000.L, where errors are numbers, one of these."""
        error = self.error_of(reply)
        if error is None:
            raise CaseFailedError(f"an error expected, found {message_name(type(reply))}")
        if self.linux and numbers and error.errno not in numbers:
            expected = ", ".join(map(str, numbers))
            raise CaseFailedError(f"error {error.errno} ({error.text}), expected one of {expected}")

    def skip_if_unsupported(self, reply: p9.Message) -> p9.Message:
        """Return the reply; when it states that the operation is not supported, end the case as such."""
        error = self.error_of(reply)
        if error is not None and error.errno in (errors.EOPNOTSUPP, errors.ENOSYS):
            raise UnsupportedError(error.text)
        return reply
