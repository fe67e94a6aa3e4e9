"""RESP2 encoders and an incremental decoder, without I/O and with a limit on every length.

The decoder yields values as Python objects: a bulk string as `bytes`, an integer as `int`, an array as
`list`, and a null bulk string or array as `None`; simple strings and errors have their own types.

A bulk string that is too long to be buffered is yielded in chunks where that is allowed: one `BulkStart`, any
number of `BulkChunk`, and then the complete array, which contains the `BulkStart` in place of the string.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final, Literal

from garnetlanding.limits import Limits
from garnetlanding.resp.errors import ProtocolError, Violation
from garnetlanding.runtime.buffers import BufferChain, BufferPool
from garnetlanding.runtime.errors import BufferPoolExhaustedError, LineTooLongError
from garnetlanding.runtime.memory import MemoryAccount

CRLF = b"\r\n"
_CRLF_BYTES = len(CRLF)
REPLY_ELEMENTS = 3
"""Number of elements in the reply to a request that succeeded: value, metrics, load report."""

ELEMENT_BYTES = 64
"""Memory that an element of an array needs besides its bytes."""

_INTEGER_DIGITS = 18
"""Maximum number of digits of an integer or a length."""


@dataclass(frozen=True, slots=True)
class SimpleString:
    """A simple string, marked by `+` on the wire."""

    text: bytes


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """An error reply, marked by `-` on the wire."""

    text: bytes


@dataclass(frozen=True, slots=True)
class BulkStart:
    """The beginning of a bulk string of `length` bytes that is yielded in chunks."""

    length: int


@dataclass(frozen=True, slots=True)
class BulkChunk:
    """The next bytes of the bulk string that began with the last `BulkStart`."""

    data: bytes


Value = SimpleString | ErrorReply | int | bytes | None | BulkStart | BulkChunk | list["Value"]


class _Step(Enum):
    """The result of a decoding step that did not complete a value."""

    NEED_DATA = auto()
    """More bytes are needed."""
    CONTINUE = auto()
    """A header was decoded; its content comes next."""


# Module constants, because the lookup of an Enum member is slow and would happen for every decoded element.
_NEED_DATA: Final = _Step.NEED_DATA
_CONTINUE: Final = _Step.CONTINUE
_NeedData = Literal[_Step.NEED_DATA]
_Continue = Literal[_Step.CONTINUE]


class Decoder:
    """Decodes values incrementally; incomplete ones stay in pooled buffers until more bytes arrive.

    With `commands_only`, on the server side, only arrays of bulk strings are accepted. On the client side any
    value is accepted; a bulk string longer than `Limits.stream_threshold_bytes` must be the first element of
    a reply, and is yielded in chunks. What is held of incomplete values is charged to `account`, by default
    to the process.
    """

    def __init__(
        self,
        pool: BufferPool,
        limits: Limits,
        account: MemoryAccount | None = None,
        *,
        commands_only: bool = False,
    ) -> None:
        self._account = account or pool.budget.process_account
        self._buffer = BufferChain(pool, self._account)
        self._limits = limits
        self._commands_only = commands_only
        self._max_bulk_bytes = limits.value_bytes if commands_only else limits.reply_bytes
        max_command_bytes = limits.array_elements * (limits.value_bytes + limits.line_bytes)
        self._max_array_bytes = max_command_bytes if commands_only else limits.buffered_reply_bytes
        self._bulk_remaining: int | None = None
        """Bytes still missing from the current bulk string; `None` between bulk strings."""
        self._bulk_start: BulkStart | None = None
        """The start of the current bulk string if it is yielded in chunks."""
        self._arrays: list[tuple[int, list[Value]]] = []
        """Length and elements so far of each incomplete array, the innermost one last."""
        self._element_bytes = 0
        """Size of the elements of the incomplete arrays."""
        self._charged_bytes = 0
        """What of `_element_bytes` has been charged to the account."""

    @property
    def has_partial_message(self) -> bool:
        """Whether a value has arrived only in part."""
        return bool(self._buffer.length or self._arrays or self._bulk_remaining is not None)

    def feed(self, data: bytes | memoryview) -> Iterator[Value]:
        """Decode received bytes and return an iterator over the values that they complete.

        The iterator raises `ProtocolError`, after which the decoder must not be used again.
        """
        self._buffer.append(data)
        return self._values()

    def close(self) -> None:
        """Discard incomplete values and release all buffers."""
        self._buffer.clear()
        self._arrays = []
        self._element_bytes = 0
        self._charge_elements()
        self._bulk_remaining = None
        self._bulk_start = None

    def _values(self) -> Iterator[Value]:
        while True:
            element = self._next_element()
            if element is _NEED_DATA:
                if self._element_bytes != self._charged_bytes:
                    self._charge_elements()
                return
            if self._bulk_remaining is not None and isinstance(element, BulkStart | BulkChunk):
                yield element  # part of an incomplete bulk string
                continue
            value = self._add_to_array(element)
            if value is not _CONTINUE:
                yield value

    def _add_to_array(self, element: Value) -> Value | _Continue:
        """Add an element to the innermost array; return the top-level value that it completes, if any."""
        while self._arrays:
            length, elements = self._arrays[-1]
            elements.append(element)
            if len(elements) < length:
                return _CONTINUE
            self._arrays.pop()
            element = elements
        self._element_bytes = 0
        return element

    def _charge_elements(self) -> None:
        """Charge what incomplete arrays hold; complete ones, which the caller has processed, hold nothing.

        Raises `BufferPoolExhaustedError` if they must not be held.
        """
        more_bytes = self._element_bytes - self._charged_bytes
        if more_bytes > 0:
            if not self._account.charge(more_bytes):
                raise BufferPoolExhaustedError
        elif more_bytes < 0:
            self._account.release(-more_bytes)
        self._charged_bytes = self._element_bytes

    def _next_element(self) -> Value | _NeedData:
        """Return the next element other than a non-empty array, or `_NEED_DATA`."""
        while True:
            if self._bulk_remaining is not None:
                return self._read_chunk() if self._bulk_start else self._read_bulk(self._bulk_remaining)
            try:
                line = self._buffer.take_line(self._limits.line_bytes)
            except LineTooLongError as error:
                raise ProtocolError(Violation.LINE_TOO_LONG) from error
            if line is None:
                return _NEED_DATA
            element = self._read_header(line[:1], line[1:])
            if element is not _CONTINUE:
                return element

    def _read_header(self, kind: bytes, rest: bytes) -> Value | _Continue:
        """Decode the first line of an element; return the element if it consists of that line only."""
        if self._commands_only and kind != (b"$" if self._arrays else b"*"):
            raise ProtocolError(Violation.NOT_A_COMMAND)
        if self._arrays:
            self._element_bytes += len(rest) + ELEMENT_BYTES
            if self._element_bytes > self._max_array_bytes:
                raise ProtocolError(Violation.ARRAY_OVER_LIMIT)
        if kind == b"$":
            return self._begin_bulk(self._parse_length(rest, self._max_bulk_bytes))
        if kind == b"*":
            return self._begin_array(self._parse_length(rest, self._limits.array_elements))
        if kind == b"+":
            return SimpleString(rest)
        if kind == b"-":
            return ErrorReply(rest)
        if kind == b":":
            return _parse_integer(rest)
        raise ProtocolError(Violation.UNKNOWN_TYPE)

    def _begin_bulk(self, length: int) -> Value | _Continue:
        if length < 0:
            return None
        self._bulk_remaining = length
        if length > self._limits.stream_threshold_bytes:
            if self._arrays and self._arrays[-1] == (REPLY_ELEMENTS, []):
                self._bulk_start = BulkStart(length)
                return self._bulk_start
            if not self._commands_only:
                raise ProtocolError(Violation.LENGTH_OVER_LIMIT)
        if self._arrays and self._element_bytes + length > self._max_array_bytes:
            raise ProtocolError(Violation.ARRAY_OVER_LIMIT)
        return _CONTINUE

    def _begin_array(self, length: int) -> Value | _Continue:
        if length < 0:
            return None
        if length == 0:
            return []
        if len(self._arrays) >= self._limits.array_nesting:
            raise ProtocolError(Violation.NESTING_OVER_LIMIT)
        self._arrays.append((length, []))
        return _CONTINUE

    def _read_bulk(self, length: int) -> Value | _NeedData:
        if self._buffer.length < length + _CRLF_BYTES:
            return _NEED_DATA
        bulk_string = self._buffer.take(length)
        if self._arrays:
            self._element_bytes += length
        self._finish_bulk()
        return bulk_string

    def _read_chunk(self) -> Value | _NeedData:
        """Return the next chunk of a bulk string, or its `BulkStart` after the last chunk."""
        if self._bulk_remaining:
            if not self._buffer.length:
                return _NEED_DATA
            chunk = self._buffer.take(self._bulk_remaining)
            self._bulk_remaining -= len(chunk)
            return BulkChunk(chunk)
        if self._buffer.length < _CRLF_BYTES:
            return _NEED_DATA
        start = self._bulk_start
        self._bulk_start = None
        self._finish_bulk()
        return start

    def _finish_bulk(self) -> None:
        if self._buffer.take(_CRLF_BYTES) != CRLF:
            raise ProtocolError(Violation.UNTERMINATED_BULK_STRING)
        self._bulk_remaining = None

    def _parse_length(self, text: bytes, max_length: int) -> int:
        """Parse a length; -1 denotes a null value, which commands must not contain."""
        length = _parse_integer(text)
        if length < -1 or (length < 0 and self._commands_only):
            raise ProtocolError(Violation.INVALID_LENGTH)
        if length > max_length:
            raise ProtocolError(Violation.LENGTH_OVER_LIMIT)
        return length


def _parse_integer(text: bytes) -> int:
    digits = text[1:] if text[:1] == b"-" else text
    if not digits.isdigit() or len(digits) > _INTEGER_DIGITS:
        raise ProtocolError(Violation.INVALID_NUMBER)
    return int(text)


def encode_command(arguments: list[bytes]) -> bytes:
    """Encode a command: an array of bulk strings."""
    parts = [b"*%d\r\n" % len(arguments)]
    parts += [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"".join(parts)


def encode_bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_error(text: str) -> bytes:
    """Encode an error reply, with line breaks replaced by spaces and non-ASCII characters by `?`."""
    return b"-" + " ".join(text.split()).encode("ascii", "replace") + CRLF
