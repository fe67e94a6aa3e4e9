"""RESP2 framing: a decoder that is fed bytes, and encoders. It knows no socket and bounds every length.

The decoder yields values as Python ones: a bulk string is `bytes`, an integer `int`, an array `list`, and a
null of either kind `None`; simple strings and errors have types of their own. A bulk string too long to be
buffered whole is yielded in pieces where the protocol allows for it: `BulkStart`, `BulkChunk`s, and then the
array around it, in which the same `BulkStart` stands in its place.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final, Literal

from garnetlanding.limits import Limits
from garnetlanding.resp.errors import ProtocolError
from garnetlanding.runtime.buffers import BufferChain, BufferPool
from garnetlanding.runtime.errors import LineTooLongError

CRLF = b"\r\n"
_CRLF_BYTES = len(CRLF)
REPLY_ELEMENTS = 3
"""Elements of a backend's reply to a request that succeeded: value, metrics, load report."""

_INTEGER_DIGITS = 18
"""More digits in an integer or a length are an error."""


@dataclass(frozen=True, slots=True)
class SimpleString:
    """A simple string (`+`)."""

    text: bytes


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """An error reply (`-`)."""

    text: bytes


@dataclass(frozen=True, slots=True)
class BulkStart:
    """A backend's reply begins with a value of `length` bytes, which is not buffered: its pieces follow."""

    length: int


@dataclass(frozen=True, slots=True)
class BulkChunk:
    """The next bytes of the value that a `BulkStart` announced."""

    data: bytes


Value = SimpleString | ErrorReply | int | bytes | None | BulkStart | BulkChunk | list["Value"]


class _Step(Enum):
    """What reading on came to where it gave no value."""

    NEED_DATA = auto()
    """Nothing more can be read until bytes arrive."""
    CONTINUE = auto()
    """A header was read; what it announces comes next."""


# Members are looked up slowly in a class of enums, and each element of a command passes by here.
_NEED_DATA: Final = _Step.NEED_DATA
_CONTINUE: Final = _Step.CONTINUE
_NeedData = Literal[_Step.NEED_DATA]
_Continue = Literal[_Step.CONTINUE]


class Decoder:
    """Decodes values incrementally; incomplete ones stay in pooled buffers until more bytes arrive.

    With `commands_only`, as a server reads, only arrays of bulk strings are allowed. Otherwise, as a client
    reads, a bulk string longer than `Limits.stream_threshold_bytes` is allowed as the first element of a
    reply alone, and is yielded in pieces.
    """

    def __init__(self, pool: BufferPool, limits: Limits, commands_only: bool = False) -> None:
        self._buffer = BufferChain(pool)
        self._limits = limits
        self._commands_only = commands_only
        self._max_bulk_bytes = limits.value_bytes if commands_only else limits.reply_bytes
        self._bulk_remaining: int | None = None
        """Bytes still to be read of the present bulk string; `None` between bulk strings."""
        self._bulk_start: BulkStart | None = None
        """That string, where it is yielded in pieces."""
        self._arrays: list[tuple[int, list[Value]]] = []
        """Arrays that are not complete, the innermost last: their length and elements so far."""

    @property
    def has_partial_message(self) -> bool:
        """Whether part of a value has arrived and the rest is awaited."""
        return bool(self._buffer.length or self._arrays or self._bulk_remaining is not None)

    def feed(self, data: bytes | memoryview) -> Iterator[Value]:
        """Take received bytes and return an iterator of the values that are complete with them.

        Iterating raises `ProtocolError`; the decoder cannot be used after it.
        """
        self._buffer.append(data)
        return self._values()

    def close(self) -> None:
        """Drop what is incomplete and give its buffers back to the pool."""
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
                yield element  # part of a bulk string that goes on
                continue
            value = self._add_to_array(element)
            if value is not _CONTINUE:
                yield value

    def _add_to_array(self, element: Value) -> Value | _Continue:
        """Add an element to the array that awaits it; return what is complete at the top level by it."""
        while self._arrays:
            length, elements = self._arrays[-1]
            elements.append(element)
            if len(elements) < length:
                return _CONTINUE
            self._arrays.pop()
            element = elements
        return element

    def _next_element(self) -> Value | _NeedData:
        """Return the next element that is not an array with elements to come, or `NEED_DATA`."""
        while True:
            if self._bulk_remaining is not None:
                return self._read_piece() if self._bulk_start else self._read_bulk(self._bulk_remaining)
            try:
                line = self._buffer.take_line(self._limits.line_bytes)
            except LineTooLongError as error:
                raise ProtocolError("line too long") from error
            if line is None:
                return _NEED_DATA
            element = self._read_header(line[:1], line[1:])
            if element is not _CONTINUE:
                return element

    def _read_header(self, kind: bytes, rest: bytes) -> Value | _Continue:
        """Read the line that begins an element; return the element where the line is all of it."""
        if self._commands_only and kind != (b"$" if self._arrays else b"*"):
            raise ProtocolError("expected an array of bulk strings")
        if kind == b"$":
            return self._begin_bulk(self._read_length(rest, self._max_bulk_bytes))
        if kind == b"*":
            return self._begin_array(self._read_length(rest, self._limits.elements))
        if kind == b"+":
            return SimpleString(rest)
        if kind == b"-":
            return ErrorReply(rest)
        if kind == b":":
            return _read_integer(rest)
        raise ProtocolError("unknown type byte")

    def _begin_bulk(self, length: int) -> Value | _Continue:
        if length < 0:
            return None
        self._bulk_remaining = length
        if length > self._limits.stream_threshold_bytes:
            if self._arrays and self._arrays[-1] == (REPLY_ELEMENTS, []):
                self._bulk_start = BulkStart(length)
                return self._bulk_start
            if not self._commands_only:
                raise ProtocolError("length over the limit")
        return _CONTINUE

    def _begin_array(self, length: int) -> Value | _Continue:
        if length < 0:
            return None
        if length == 0:
            return []
        if len(self._arrays) >= self._limits.nesting:
            raise ProtocolError("arrays nested too deep")
        self._arrays.append((length, []))
        return _CONTINUE

    def _read_bulk(self, length: int) -> Value | _NeedData:
        if self._buffer.length < length + _CRLF_BYTES:
            return _NEED_DATA
        body = self._buffer.take(length)
        self._end_bulk()
        return body

    def _read_piece(self) -> Value | _NeedData:
        """Return what has arrived of the value begun; once all has, what stands for it in its array."""
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
            raise ProtocolError("bulk string without its end")
        self._bulk_remaining = None

    def _read_length(self, text: bytes, most: int) -> int:
        """Return a length, or -1 for a null, which a command never has."""
        length = _read_integer(text)
        if length < -1 or (length < 0 and self._commands_only):
            raise ProtocolError("invalid length")
        if length > most:
            raise ProtocolError("length over the limit")
        return length


def _read_integer(text: bytes) -> int:
    digits = text[1:] if text[:1] == b"-" else text
    if not digits.isdigit() or len(digits) > _INTEGER_DIGITS:
        raise ProtocolError("invalid number")
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
    """Encode an error reply; line breaks become spaces, and what is not ASCII question marks."""
    return b"-" + " ".join(text.split()).encode("ascii", "replace") + CRLF
