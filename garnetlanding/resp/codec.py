"""RESP2 as a state machine that is fed bytes. It knows no socket and bounds every length."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool, Chain


class ProtocolError(ValueError):
    """Framing is lost: nothing after this can be read."""


@dataclass(frozen=True, slots=True)
class Simple:
    text: bytes


@dataclass(frozen=True, slots=True)
class Error:
    text: bytes


@dataclass(frozen=True, slots=True)
class Begun:
    """A server's answer begins with a value of so many bytes, which is not held: its pieces follow."""

    length: int


@dataclass(frozen=True, slots=True)
class Piece:
    """The next bytes of the value begun."""

    data: bytes


Value = Simple | Error | int | bytes | None | Begun | Piece | list["Value"]

_MORE = object()
ANSWER_PARTS = 3  # of a brick's answer: value, figures, report


class Decoder:
    """Yields whole values; keeps the rest in pooled buffers until more comes."""

    def __init__(self, pool: BufferPool, limits: Limits, commands_only: bool = False) -> None:
        self._in, self._limits, self._commands_only = Chain(pool), limits, commands_only
        self._most = limits.value_bytes if commands_only else limits.reply_bytes
        self._bulk = -1  # bytes awaited of a bulk string
        self._begun: Begun | None = None  # that string, when it is given out in pieces
        self._open: list[tuple[int, list[Value]]] = []  # arrays begun: length, items so far

    @property
    def midway(self) -> bool:
        """Whether part of a value has come and the rest is awaited."""
        return bool(self._in.length or self._open or self._bulk >= 0)

    def feed(self, data: bytes | memoryview) -> Iterator[Value]:
        self._in.append(data)
        return self._values()

    def close(self) -> None:
        self._in.clear()
        self._open, self._bulk, self._begun = [], -1, None

    def _values(self) -> Iterator[Value]:
        while True:
            item = self._item()
            if item is _MORE:
                return
            if isinstance(item, Begun | Piece) and self._bulk >= 0:
                yield item  # part of an item still to come
                continue
            whole = self._fit(item)  # type: ignore[arg-type]
            if whole is not _MORE:
                yield whole  # type: ignore[misc]

    def _fit(self, item: Value) -> object:
        """Puts an item into the array that awaits it; gives back what is whole at the top."""
        while self._open:
            length, items = self._open[-1]
            items.append(item)
            if len(items) < length:
                return _MORE
            self._open.pop()
            item = items
        return item

    def _item(self) -> object:
        """The next item that is not an array still to be filled, or _MORE."""
        while True:
            if self._bulk >= 0:
                return self._take_piece() if self._begun else self._take_bulk()
            try:
                line = self._in.line(self._limits.line_bytes)
            except ValueError:
                raise ProtocolError("line too long") from None
            if line is None:
                return _MORE
            kind, rest = line[:1], line[1:]
            if self._commands_only and kind != (b"$" if self._open else b"*"):
                raise ProtocolError("expected an array of bulk strings")
            if kind == b"+":
                return Simple(rest)
            if kind == b"-":
                return Error(rest)
            if kind == b":":
                return self._number(rest)
            if kind == b"$":
                length = self._length(rest, self._most)
                if length < 0:
                    return None
                self._bulk = length
                if length > self._limits.stream_threshold_bytes and self._open[-1:] == [(ANSWER_PARTS, [])]:
                    self._begun = Begun(length)
                    return self._begun
                if length > self._limits.stream_threshold_bytes and not self._commands_only:
                    raise ProtocolError("length over the limit")
            elif kind == b"*":
                length = self._length(rest, self._limits.elements)
                if length <= 0:
                    return None if length < 0 else []
                if len(self._open) >= self._limits.nesting:
                    raise ProtocolError("arrays nested too deep")
                self._open.append((length, []))
            else:
                raise ProtocolError("unknown type byte")

    def _take_bulk(self) -> object:
        if self._in.length < self._bulk + 2:
            return _MORE
        body = self._in.take(self._bulk)
        if self._in.take(2) != b"\r\n":
            raise ProtocolError("bulk string without its end")
        self._bulk = -1
        return body

    def _take_piece(self) -> object:
        """What has come of the value begun; once it is whole, what stands for it in its array."""
        if self._bulk and not self._in.length:
            return _MORE
        if self._bulk:
            piece = self._in.take(self._bulk)
            self._bulk -= len(piece)
            return Piece(piece)
        if self._in.length < 2:
            return _MORE
        if self._in.take(2) != b"\r\n":
            raise ProtocolError("bulk string without its end")
        begun, self._begun, self._bulk = self._begun, None, -1
        return begun

    def _length(self, text: bytes, most: int) -> int:
        n = self._number(text)
        if n < -1 or (n < 0 and self._commands_only):
            raise ProtocolError("invalid length")
        if n > most:
            raise ProtocolError("length over the limit")
        return n

    def _number(self, text: bytes) -> int:
        digits = text[1:] if text[:1] == b"-" else text
        if not digits.isdigit() or len(digits) > 18:
            raise ProtocolError("invalid number")
        return int(text)


def command(words: list[bytes]) -> bytes:
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(w), w) for w in words]
    return b"".join(parts)


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def error(text: str) -> bytes:
    return b"-" + " ".join(text.split()).encode("ascii", "replace") + b"\r\n"
