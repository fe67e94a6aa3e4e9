"""How fields and messages of 9P are packed: the part that both dialects share.

A dialect is a table of `MessageLayout`s, one a message; packing and unpacking both follow it. All integers
are unsigned and little-endian, and a message begins with `size[4] type[1] tag[2]`.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any

MAX_WALK = 16
"""The most names, or qids, that one walk may carry."""

QID = struct.Struct("<BIQ")
COUNTS = {
    "s": struct.Struct("<H"),
    "n": struct.Struct("<H"),
    "d": struct.Struct("<I"),
    "S": struct.Struct("<H"),
    "Q": struct.Struct("<H"),
}
FIXED = {"1": "B", "2": "H", "4": "I", "8": "Q"}


@dataclass(frozen=True, slots=True)
class Qid:
    """The server's identity of a file: two files are the same exactly when their `path`s are.

    `type` has the QT bits (directory, append-only, ...); `version` grows with each change of the file.
    """

    type: int
    version: int
    path: int


class Message:
    """Base of all messages; T-messages go to a server, R-messages come from it."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Malformed:
    """A frame that is complete but holds no readable message; its tag can be answered with `reason`."""

    reason: str


def pack(kind: str, value: Any) -> bytes:
    """Return one field's bytes; `MessageLayout` lists the kinds.

    Raises ValueError or struct.error for a value that its kind cannot hold.
    """
    match kind:
        case "s":
            raw: bytes = value.encode()
            return COUNTS["s"].pack(len(raw)) + raw
        case "q":
            return QID.pack(value.type, value.version, value.path)
        case "d" | "n":
            return COUNTS[kind].pack(len(value)) + bytes(value)
        case "S" | "Q":
            return COUNTS[kind].pack(len(value)) + b"".join(pack(kind.lower(), item) for item in value)
    return struct.pack("<" + FIXED[kind], value)


class Reader:
    """Takes fields off bytes, front to back. Raises ValueError where the bytes do not hold them."""

    def __init__(self, data: bytes, position: int = 0) -> None:
        self._data = data
        self._position = position

    def raw(self, count: int) -> bytes:
        """Take `count` bytes as they are."""
        if self._position + count > len(self._data):
            raise ValueError("message cut short")
        self._position += count
        return self._data[self._position - count : self._position]

    def number(self, size: int) -> int:
        """Take an integer of `size` bytes."""
        return int.from_bytes(self.raw(size), "little")

    def value(self, kind: str) -> Any:
        """Take one field; `MessageLayout` lists the kinds."""
        match kind:
            case "s":
                raw = self.raw(self.number(2))
                if b"\0" in raw:
                    raise ValueError("NUL in text")
                return raw.decode()  # a UnicodeDecodeError is a ValueError
            case "q":
                return Qid(*QID.unpack(self.raw(QID.size)))
            case "d" | "n":
                return self.raw(self.number(COUNTS[kind].size))
            case "S" | "Q":
                count = self.number(2)
                if count > MAX_WALK:
                    raise ValueError("too many names in a walk")
                return tuple(self.value(kind.lower()) for _ in range(count))
        return self.number(int(kind))

    @property
    def left(self) -> int:
        """How many bytes have not been taken yet."""
        return len(self._data) - self._position

    def end(self) -> None:
        """Raise ValueError if bytes are left over."""
        if self.left:
            raise ValueError("bytes left over")


class MessageLayout:
    """How one message is packed: its leading integers by one struct, the rest field by field.

    `name` is the message's name in the specification; it stands in error texts, which reach clients. `kinds`
    has one letter a field, in the order of the class's fields:

    - `1` `2` `4` `8`: an unsigned integer of that many bytes;
    - `s`: a UTF-8 text with a two-byte count of bytes;
    - `q`: a qid;
    - `d`: data with a four-byte count;
    - `n`: a 9P2000 stat, its own size included, with a two-byte count;
    - `S` `Q`: a sequence of texts or qids with a two-byte count, at most `MAX_WALK`.
    """

    __slots__ = (
        "number",
        "name",
        "cls",
        "_get_values",
        "_lead_count",
        "_header",
        "_lead",
        "_rest",
        "_is_single",
    )

    def __init__(self, number: int, name: str, cls: type[Any], kinds: str) -> None:
        field_names = [field.name for field in fields(cls)]
        if len(field_names) != len(kinds):
            raise TypeError(f"{name}: {len(field_names)} fields, {len(kinds)} kinds")
        self.number = number
        self.name = name
        self.cls = cls
        self._get_values = attrgetter(*field_names) if field_names else lambda _: ()
        self._is_single = len(field_names) == 1
        self._lead_count = next((i for i, kind in enumerate(kinds) if kind not in FIXED), len(kinds))
        lead = "".join(FIXED[kind] for kind in kinds[: self._lead_count])
        self._header = struct.Struct("<IBH" + lead)
        self._lead = struct.Struct("<" + lead)
        self._rest = kinds[self._lead_count :]

    def encode(self, tag: int, message: Message) -> bytes:
        """Return the whole frame. Raises ValueError or struct.error for a value that has no place in it."""
        values = self._get_values(message)
        if self._is_single:
            values = (values,)
        rest = b"".join(
            [pack(kind, value) for kind, value in zip(self._rest, values[self._lead_count :], strict=True)]
        )
        size = self._header.size + len(rest)
        return self._header.pack(size, self.number, tag, *values[: self._lead_count]) + rest

    def decode(self, body: bytes) -> Message | Malformed:
        """Return the message of what follows a frame's header."""
        size = self._lead.size
        try:
            if len(body) < size:
                raise ValueError("message cut short")
            values = self._lead.unpack_from(body)
            reader = Reader(body, size)
            if self._rest:
                values += tuple([reader.value(kind) for kind in self._rest])
            reader.end()
        except ValueError as error:
            return Malformed(f"bad {self.name}: {error}")
        message: Message = self.cls(*values)
        return message


Table = dict[int, MessageLayout]
_LAYOUTS: dict[type[Any], MessageLayout] = {}


def message_table(*layouts: MessageLayout) -> Table:
    """Return a dialect's layouts by their numbers; from now on its messages can be encoded."""
    _LAYOUTS.update({layout.cls: layout for layout in layouts})
    return {layout.number: layout for layout in layouts}


def encode(tag: int, message: Message) -> bytes:
    """Return the message's whole frame. Raises ValueError or struct.error for a value with no place in it."""
    return _LAYOUTS[type(message)].encode(tag, message)


def message_name(cls: type[Message]) -> str:
    """Return a message's name for error texts."""
    return _LAYOUTS[cls].name
