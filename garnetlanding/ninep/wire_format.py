"""Encoding and decoding of 9P fields and messages, common to both dialects.

A dialect is a table with one `MessageLayout` per message type, which drives both encoding and decoding. All
integers are unsigned and little-endian; a message starts with `size[4] type[1] tag[2]`.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any

MAX_WALK_NAMES = 16
"""The maximum number of names in a Twalk, or of qids in an Rwalk."""

QID_STRUCT = struct.Struct("<BIQ")
LENGTH_PREFIXES = {
    "s": struct.Struct("<H"),
    "n": struct.Struct("<H"),
    "d": struct.Struct("<I"),
    "S": struct.Struct("<H"),
    "Q": struct.Struct("<H"),
}
INTEGER_FORMATS = {"1": "B", "2": "H", "4": "I", "8": "Q"}


@dataclass(frozen=True, slots=True)
class Qid:
    """The server's identity of a file: two files are the same if and only if their `path`s are equal.

    `type` holds the QT bits (directory, append-only, ...); `version` increases with each change to the file.
    """

    type: int
    version: int
    path: int


class Message:
    """Base class of all messages: T-messages are requests to a server, R-messages its replies."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """A complete frame that cannot be decoded; its tag can be answered with `reason` as the error text."""

    reason: str


def pack_field(code: str, value: Any) -> bytes:
    """Encode one field; `MessageLayout` lists the field codes.

    Raises ValueError or struct.error for a value that the field cannot hold.
    """
    match code:
        case "s":
            raw: bytes = value.encode()
            return LENGTH_PREFIXES["s"].pack(len(raw)) + raw
        case "q":
            return QID_STRUCT.pack(value.type, value.version, value.path)
        case "d" | "n":
            return LENGTH_PREFIXES[code].pack(len(value)) + bytes(value)
        case "S" | "Q":
            return LENGTH_PREFIXES[code].pack(len(value)) + b"".join(
                pack_field(code.lower(), item) for item in value
            )
    return struct.pack("<" + INTEGER_FORMATS[code], value)


class FieldReader:
    """Decodes fields from bytes in order. Methods raise ValueError if the bytes do not hold the field."""

    def __init__(self, data: bytes, position: int = 0) -> None:
        self._data = data
        self._position = position

    def read_bytes(self, count: int) -> bytes:
        """Consume `count` bytes and return them unchanged."""
        if self._position + count > len(self._data):
            raise ValueError("message cut short")
        self._position += count
        return self._data[self._position - count : self._position]

    def read_int(self, size: int) -> int:
        """Consume an integer of `size` bytes."""
        return int.from_bytes(self.read_bytes(size), "little")

    def read_field(self, code: str) -> Any:
        """Consume one field; `MessageLayout` lists the field codes."""
        match code:
            case "s":
                raw = self.read_bytes(self.read_int(2))
                if b"\0" in raw:
                    raise ValueError("NUL in text")
                return raw.decode()  # a UnicodeDecodeError is a ValueError
            case "q":
                return Qid(*QID_STRUCT.unpack(self.read_bytes(QID_STRUCT.size)))
            case "d" | "n":
                return self.read_bytes(self.read_int(LENGTH_PREFIXES[code].size))
            case "S" | "Q":
                count = self.read_int(2)
                if count > MAX_WALK_NAMES:
                    raise ValueError("too many names in a walk")
                return tuple(self.read_field(code.lower()) for _ in range(count))
        return self.read_int(int(code))

    @property
    def remaining(self) -> int:
        """The number of bytes not consumed yet."""
        return len(self._data) - self._position

    def expect_end(self) -> None:
        """Raise ValueError unless all bytes have been consumed."""
        if self.remaining:
            raise ValueError("bytes left over")


class MessageLayout:
    """The encoding of one message type: its leading integers as one struct, the other fields one by one.

    `name` is the message's name in the specification and appears in error texts sent to clients.
    `field_codes` has one character per field, in the order of the class's fields:

    - `1` `2` `4` `8`: an unsigned integer of that many bytes;
    - `s`: a UTF-8 string with a two-byte length prefix;
    - `q`: a qid;
    - `d`: data with a four-byte length prefix;
    - `n`: a 9P2000 stat, including its own size field, with a two-byte length prefix;
    - `S` `Q`: a sequence of strings or qids with a two-byte count, at most `MAX_WALK_NAMES`.
    """

    __slots__ = (
        "message_type",
        "name",
        "message_class",
        "_get_values",
        "_has_one_field",
        "_leading_count",
        "_header_struct",
        "_leading_integers",
        "_trailing_codes",
    )

    def __init__(self, message_type: int, name: str, message_class: type[Any], field_codes: str) -> None:
        field_names = [field.name for field in fields(message_class)]
        if len(field_names) != len(field_codes):
            raise TypeError(f"{name}: {len(field_names)} fields, {len(field_codes)} field codes")
        self.message_type = message_type
        self.name = name
        self.message_class = message_class
        self._get_values = attrgetter(*field_names) if field_names else lambda _: ()
        self._has_one_field = len(field_names) == 1
        self._leading_count = next(
            (i for i, code in enumerate(field_codes) if code not in INTEGER_FORMATS), len(field_codes)
        )
        leading_formats = "".join(INTEGER_FORMATS[code] for code in field_codes[: self._leading_count])
        self._header_struct = struct.Struct("<IBH" + leading_formats)
        self._leading_integers = struct.Struct("<" + leading_formats)
        self._trailing_codes = field_codes[self._leading_count :]

    def encode(self, tag: int, message: Message) -> bytes:
        """Return the frame. Raises ValueError or struct.error for a value that its field cannot hold."""
        values = self._get_values(message)
        if self._has_one_field:
            values = (values,)
        leading, trailing = values[: self._leading_count], values[self._leading_count :]
        packed = b"".join(
            [pack_field(code, value) for code, value in zip(self._trailing_codes, trailing, strict=True)]
        )
        size = self._header_struct.size + len(packed)
        return self._header_struct.pack(size, self.message_type, tag, *leading) + packed

    def decode(self, body: bytes) -> Message | MalformedMessage:
        """Decode the part of a frame that follows its header."""
        size = self._leading_integers.size
        try:
            if len(body) < size:
                raise ValueError("message cut short")
            values = self._leading_integers.unpack_from(body)
            reader = FieldReader(body, size)
            if self._trailing_codes:
                values += tuple([reader.read_field(code) for code in self._trailing_codes])
            reader.expect_end()
        except ValueError as error:
            return MalformedMessage(f"bad {self.name}: {error}")
        message: Message = self.message_class(*values)
        return message


MessageTable = dict[int, MessageLayout]
_LAYOUT_BY_CLASS: dict[type[Any], MessageLayout] = {}


def register_messages(*layouts: MessageLayout) -> MessageTable:
    """Make the messages known to `encode` and return their layouts by message type."""
    _LAYOUT_BY_CLASS.update({layout.message_class: layout for layout in layouts})
    return {layout.message_type: layout for layout in layouts}


def encode(tag: int, message: Message) -> bytes:
    """Return the message as a frame. Raises ValueError or struct.error if a field cannot hold its value."""
    return _LAYOUT_BY_CLASS[type(message)].encode(tag, message)


def message_name(message_class: type[Message]) -> str:
    """Return the message's name in the specification, for use in error texts."""
    return _LAYOUT_BY_CLASS[message_class].name
