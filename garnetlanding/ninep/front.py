"""The state machine of one 9P client connection: framing, version negotiation, and dispatch to handlers.

It does no I/O: the listener feeds it the received bytes, and it writes through a callback.
"""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.ninep import codec, errors
from garnetlanding.ninep.client_session import ClientSession
from garnetlanding.ninep.codec import MalformedMessage, Message
from garnetlanding.ninep.fids import Fid, RequestRejectedError
from garnetlanding.ninep.server_dialect import Handlers, ServerDialect
from garnetlanding.ninep.server_dialects import choose_dialect
from garnetlanding.ninep.shared_state import SharedState
from garnetlanding.runtime.memory import MemoryAccount

_UNKNOWN_VERSION = "unknown"  # version(5): the reply to a version that is not understood


class NinepClientProtocol:
    """Implements the listener's `ClientProtocol` for a 9P client.

    The connection is closed if framing is lost or the client sends too many malformed messages, because then
    no tag can be trusted for a reply. What the client makes the process hold is charged to `account`, by
    default that of the process.
    """

    def __init__(
        self, shared: SharedState, write: Callable[[bytes], None], account: MemoryAccount | None = None
    ) -> None:
        account = account or shared.pool.budget.process_account
        self._shared = shared
        self._limits = shared.limits
        self._framer = codec.Framer(shared.pool, shared.limits.ninep_msize, account=account)
        self.id = shared.register_client(self)
        self._session = ClientSession(shared, self.id, write, account)
        self._handlers: Handlers = {}
        self.is_closing = False
        self.has_buffered_input = False
        self.messages_received = 0
        self.invalid_messages = 0
        self.requests_received = 0

    # Interface to the listener

    @property
    def pending_responses(self) -> int:
        """Number of messages without a reply, not counting flushes."""
        return len(self._session.requests.pending)

    @property
    def has_partial_message(self) -> bool:
        """Whether an incomplete message has been received."""
        return self._framer.has_partial_message

    @property
    def has_session_state(self) -> bool:
        """Whether the client has fids, which closing the connection would discard."""
        return bool(self._session.fids.by_number)

    @property
    def fids(self) -> dict[int, Fid]:
        """The session's fids by number."""
        return self._session.fids.by_number

    @property
    def msize(self) -> int:
        """Negotiated maximum message size in bytes; 0 until a version has been negotiated."""
        return self._session.msize

    def feed(self, data: bytes | memoryview) -> None:
        """Buffer received bytes and process complete messages, up to a limit per call.

        The limit keeps one client from blocking the event loop. While `has_buffered_input` is set,
        `feed(b"")` processes further messages.
        """
        self.has_buffered_input = False
        if self.is_closing:
            return
        remaining = self._limits.ninep_messages_per_iteration
        try:
            for tag, message in self._framer.feed(data):
                self.messages_received += 1
                self._process(tag, message)
                if self.is_closing:
                    return
                if self.invalid_messages >= self._limits.max_invalid_commands:
                    self.fail_pending("too many errors")
                    return
                remaining -= 1
                if not remaining:
                    self.has_buffered_input = self._framer.has_complete_message
                    return
        except codec.FrameError:
            self.fail_pending("message framing lost")

    def fail_waiting(self, reason: str) -> None:
        """Answer the requests that wait for others with an error; nothing of them begins any more."""
        self._session.requests.fail_waiting(reason)

    def fail_pending(self, reason: str) -> None:
        """Answer all requests with an error, and end the session."""
        if not self.is_closing:
            self._session.requests.fail_all(reason)
            self.close()

    def close(self) -> None:
        """End the session, after the client has disconnected or in order to disconnect it."""
        self.is_closing = True
        self._framer.close()
        self._session.close()
        self._handlers = {}
        self._shared.unregister_client(self.id)

    # Messages

    def _process(self, tag: int, message: Message | MalformedMessage) -> None:
        if isinstance(message, codec.Tversion):
            self._session.reset()
            self._negotiate(tag, message)
            return
        try:
            self._handle(tag, message)
        except RequestRejectedError as rejection:
            self._session.reply_error(tag, rejection.error_reply)

    def _handle(self, tag: int, message: Message | MalformedMessage) -> None:
        dialect = self._session.dialect
        if dialect is None:
            raise RequestRejectedError(errors.EPROTO, "no version agreed")
        if self._session.requests.uses_tag(tag):
            raise RequestRejectedError(errors.EPROTO, "duplicate tag")
        if isinstance(message, MalformedMessage):
            self.invalid_messages += 1
            raise RequestRejectedError(errors.EPROTO, message.reason)
        handler = self._handlers.get(type(message))
        if handler is None:
            self._session.reply_error(tag, dialect.unsupported)
            return
        handler(tag, message)
        self.requests_received = self._session.requests.submitted

    def _negotiate(self, tag: int, message: codec.Tversion) -> None:
        """Process Tversion, which negotiates the dialect and the maximum message size (version(5))."""
        session = self._session
        session.msize = 0
        session.dialect = None
        self._framer.max_size = self._limits.ninep_msize
        self._framer.table = codec.PLAIN_MESSAGES
        if message.msize < self._limits.ninep_msize_min:
            session.reply(tag, codec.Rerror("msize too small"))
            return
        msize = min(message.msize, self._limits.ninep_msize)
        dialect = choose_dialect(message.version, session)
        if dialect:
            self._set_dialect(dialect, msize)
        session.reply(tag, codec.Rversion(msize, dialect.version if dialect else _UNKNOWN_VERSION))

    def _set_dialect(self, dialect: ServerDialect, msize: int) -> None:
        self._session.dialect = dialect
        self._session.msize = msize
        self._handlers = {**self._session.handlers, **dialect.handlers}
        self._framer.max_size = msize
        self._framer.table = dialect.table
