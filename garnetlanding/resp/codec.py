"""RESP2 framing: an incremental decoder and encoders, without I/O and with a limit on every length.

The decoder yields values as Python objects: a bulk string as `bytes`, an integer as `int`, an array as
`list`, and a null bulk string or array as `None`; simple strings and errors have types of their own.

A bulk string that is too long to be buffered is yielded in pieces where that is allowed. The events are then,
in this order: one `BulkStart`, any number of `BulkChunk`, and the complete array, which contains the same
`BulkStart` in place of the string.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final, Literal

from garnetlanding.limits import Limits
from garnetlanding.resp.errors import ProtocolError, Violation
from garnetlanding.runtime.buffers import BufferChain, BufferPool
from garnetlanding.runtime.errors import LineTooLongError

CRLF = b"\r\n"
_CRLF_BYTES = len(CRLF)
REPLY_ELEMENTS = 3
"""Number of elements in the reply to a request that succeeded: value, metrics, load report."""

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
    """The beginning of a bulk string of `length` bytes that is yielded in pieces."""

    length: int


@dataclass(frozen=True, slots=True)
class BulkChunk:
    """The next bytes of the bulk string that the last `BulkStart` announced."""

    data: bytes


Value = SimpleString | ErrorReply | int | bytes | None | BulkStart | BulkChunk | list["Value"]


class _Step(Enum):
    """The result of a decoding step that did not complete a value."""

    NEED_DATA = auto()
    """More bytes have to arrive first."""
    CONTINUE = auto()
    """A header was decoded; what it announces is to be decoded next."""


# Bound once, because looking up a member in an Enum class is slow and happens for each element of a command.
_NEED_DATA: Final = _Step.NEED_DATA
_CONTINUE: Final = _Step.CONTINUE
_NeedData = Literal[_Step.NEED_DATA]
_Continue = Literal[_Step.CONTINUE]


class Decoder:
    """Decodes values incrementally; incomplete ones stay in pooled buffers until more bytes arrive.

    With `commands_only`, for a server, only arrays of bulk strings are accepted. Otherwise, for a client, any
    value is accepted; a bulk string longer than `Limits.stream_threshold_bytes` must be the first element of
    a reply, and is yielded in pieces.
    """

    def __init__(self, pool: BufferPool, limits: Limits, *, commands_only: bool = False) -> None:
        self._buffer = BufferChain(pool)
        self._limits = limits
        self._commands_only = commands_only
        self._max_bulk_bytes = limits.value_bytes if commands_only else limits.reply_bytes
        self._bulk_remaining: int | None = None
        """Number of bytes that the present bulk string still lacks; `None` between bulk strings."""
        self._bulk_start: BulkStart | None = None
        """The announcement of the present bulk string if it is yielded in pieces."""
        self._arrays: list[tuple[int, list[Value]]] = []
        """The incomplete arrays, the innermost one last: their length and their elements so far."""

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a value has arrived."""
        return bool(self._buffer.length or self._arrays or self._bulk_remaining is not None)

    def feed(self, data: bytes | memoryview) -> Iterator[Value]:
        """Decode received bytes and return an iterator over the values that they complete.

        The iterator raises `ProtocolError`, after which the decoder must not be used any more.
        """
        self._buffer.append(data)
        return self._values()

    def close(self) -> None:
        """Discard incomplete values and release all buffers."""
        self._buffer.clear()
        self._arrays = []
        self._bulk_remaining = None
        self._bulk_start = None

    def _values(self) -> Iterator[Value]:
        while True:
            element = self._next_element()
            if element is _NEED_DATA:
                return
            if self._bulk_remaining is not None and isinstance(element, BulkStart | BulkChunk):
                yield element  # a piece of a bulk string that is not complete yet
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
        return element

    def _next_element(self) -> Value | _NeedData:
        """Return the next element other than a non-empty array, or `_NEED_DATA`."""
        while True:
            if self._bulk_remaining is not None:
                return self._read_piece() if self._bulk_start else self._read_bulk(self._bulk_remaining)
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
        """Decode the first line of an element; return the element if that line is all of it."""
        if self._commands_only and kind != (b"$" if self._arrays else b"*"):
            raise ProtocolError(Violation.NOT_A_COMMAND)
        if kind == b"$":
            return self._begin_bulk(self._read_length(rest, self._max_bulk_bytes))
        if kind == b"*":
            return self._begin_array(self._read_length(rest, self._limits.array_elements))
        if kind == b"+":
            return SimpleString(rest)
        if kind == b"-":
            return ErrorReply(rest)
        if kind == b":":
            return _read_integer(rest)
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
        return _CONTINUE

    def _begin_array(self, length: int) -> Value | _Continue:
        if length < 0:
            return None
        if length == 0:
            return []
        if len(self._arrays) >= self._limits.array_nesting:
            raise ProtocolError(Violation.NESTED_TOO_DEEP)
        self._arrays.append((length, []))
        return _CONTINUE

    def _read_bulk(self, length: int) -> Value | _NeedData:
        if self._buffer.length < length + _CRLF_BYTES:
            return _NEED_DATA
        body = self._buffer.take(length)
        self._end_bulk()
        return body

    def _read_piece(self) -> Value | _NeedData:
        """Return the next piece of a bulk string, or its `BulkStart` once all pieces have been returned."""
        if self._bulk_remaining:
            if not self._buffer.length:
                return _NEED_DATA
            piece = self._buffer.take(self._bulk_remaining)
            self._bulk_remaining -= len(piece)
            return BulkChunk(piece)
        if self._buffer.length < _CRLF_BYTES:
            return _NEED_DATA
        start = self._bulk_start
        self._bulk_start = None
        self._end_bulk()
        return start

    def _end_bulk(self) -> None:
        if self._buffer.take(_CRLF_BYTES) != CRLF:
            raise ProtocolError(Violation.BULK_WITHOUT_END)
        self._bulk_remaining = None

    def _read_length(self, text: bytes, max_length: int) -> int:
        """Return a length, or -1 for a null value, which commands must not contain."""
        length = _read_integer(text)
        if length < -1 or (length < 0 and self._commands_only):
            raise ProtocolError(Violation.INVALID_LENGTH)
        if length > max_length:
            raise ProtocolError(Violation.LENGTH_OVER_LIMIT)
        return length


def _read_integer(text: bytes) -> int:
    digits = text[1:] if text[:1] == b"-" else text
    if not digits.isdigit() or len(digits) > _INTEGER_DIGITS:
        raise ProtocolError(Violation.INVALID_NUMBER)
    return int(text)


def command(arguments: list[bytes]) -> bytes:
    """Encode a command: an array of bulk strings."""
    parts = [b"*%d\r\n" % len(arguments)]
    parts += [b"$%d\r\n%b\r\n" % (len(argument), argument) for argument in arguments]
    return b"".join(parts)


def bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def error(text: str) -> bytes:
    """Encode an error reply, with line breaks replaced by spaces and non-ASCII characters by `?`."""
    return b"-" + " ".join(text.split()).encode("ascii", "replace") + CRLF
