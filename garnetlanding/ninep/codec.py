"""9P messages and their framing, as a state machine that is fed bytes.

One table a dialect names the fields of every message; packing and unpacking both follow it. The messages
here are those of 9P2000 (Plan 9 manual, section 5); `codec_linux.py` adds those of 9P2000.L.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any

from garnetlanding.runtime.buffers import BufferPool, Chain

VERSION = "9P2000"
NOTAG, NOFID = 0xFFFF, 0xFFFFFFFF
HEADER = 7  # size[4] type[1] tag[2]
READ_OVERHEAD = 24  # what the protocol keeps free of msize in a read or a write
MAX_WALK = 16
QTDIR, QTAPPEND, QTEXCL, QTAUTH, QTTMP, QTSYMLINK = 0x80, 0x40, 0x20, 0x08, 0x04, 0x02
OREAD, OWRITE, ORDWR, OEXEC = 0, 1, 2, 3
OTRUNC, ORCLOSE = 0x10, 0x40


class FrameError(ValueError):
    """The size field cannot be right: nothing after it can be read."""


@dataclass(frozen=True, slots=True)
class Qid:
    type: int
    version: int
    path: int


class Message:
    """Base of all messages."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Malformed:
    """Framed well, but not a message that can be read; its tag can be answered."""

    why: str


@dataclass(frozen=True, slots=True)
class Tversion(Message):
    msize: int
    version: str


@dataclass(frozen=True, slots=True)
class Rversion(Message):
    msize: int
    version: str


@dataclass(frozen=True, slots=True)
class Tauth(Message):
    afid: int
    uname: str
    aname: str


@dataclass(frozen=True, slots=True)
class Rauth(Message):
    aqid: Qid


@dataclass(frozen=True, slots=True)
class Tattach(Message):
    fid: int
    afid: int
    uname: str
    aname: str


@dataclass(frozen=True, slots=True)
class Rattach(Message):
    qid: Qid


@dataclass(frozen=True, slots=True)
class Rerror(Message):
    ename: str


@dataclass(frozen=True, slots=True)
class Tflush(Message):
    oldtag: int


@dataclass(frozen=True, slots=True)
class Rflush(Message):
    pass


@dataclass(frozen=True, slots=True)
class Twalk(Message):
    fid: int
    newfid: int
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Rwalk(Message):
    qids: tuple[Qid, ...]


@dataclass(frozen=True, slots=True)
class Topen(Message):
    fid: int
    mode: int


@dataclass(frozen=True, slots=True)
class Ropen(Message):
    qid: Qid
    iounit: int


@dataclass(frozen=True, slots=True)
class Tcreate(Message):
    fid: int
    name: str
    perm: int
    mode: int


@dataclass(frozen=True, slots=True)
class Tread(Message):
    fid: int
    offset: int
    count: int


@dataclass(frozen=True, slots=True)
class Rread(Message):
    data: bytes


@dataclass(frozen=True, slots=True)
class Twrite(Message):
    fid: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Rwrite(Message):
    count: int


@dataclass(frozen=True, slots=True)
class Tclunk(Message):
    fid: int


@dataclass(frozen=True, slots=True)
class Rclunk(Message):
    pass


@dataclass(frozen=True, slots=True)
class Tremove(Message):
    fid: int


@dataclass(frozen=True, slots=True)
class Rcreate(Message):
    qid: Qid
    iounit: int


@dataclass(frozen=True, slots=True)
class Rremove(Message):
    pass


@dataclass(frozen=True, slots=True)
class Tstat(Message):
    fid: int


@dataclass(frozen=True, slots=True)
class Rstat(Message):
    stat: bytes


@dataclass(frozen=True, slots=True)
class Twstat(Message):
    fid: int
    stat: bytes


@dataclass(frozen=True, slots=True)
class Rwstat(Message):
    pass


QID = struct.Struct("<BIQ")
COUNTS = {
    "s": struct.Struct("<H"),
    "n": struct.Struct("<H"),
    "d": struct.Struct("<I"),
    "S": struct.Struct("<H"),
    "Q": struct.Struct("<H"),
}
FIXED = {"1": "B", "2": "H", "4": "I", "8": "Q"}


def pack(kind: str, value: Any) -> bytes:
    """One field. Raises ValueError or struct.error for a value that has no place in it."""
    match kind:
        case "s":
            raw: bytes = value.encode()
            return COUNTS["s"].pack(len(raw)) + raw
        case "q":
            return QID.pack(value.type, value.version, value.path)
        case "d" | "n":
            return COUNTS[kind].pack(len(value)) + bytes(value)
        case "S" | "Q":
            return COUNTS[kind].pack(len(value)) + b"".join(pack(kind.lower(), v) for v in value)
    return struct.pack("<" + FIXED[kind], value)


class Reader:
    """Takes fields off a body, front to back; ValueError where it does not hold them."""

    def __init__(self, data: bytes, at: int = 0) -> None:
        self._data, self._at = data, at

    def raw(self, n: int) -> bytes:
        if self._at + n > len(self._data):
            raise ValueError("message cut short")
        self._at += n
        return self._data[self._at - n : self._at]

    def number(self, size: int) -> int:
        return int.from_bytes(self.raw(size), "little")

    def value(self, kind: str) -> Any:
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
        return len(self._data) - self._at

    def end(self) -> None:
        if self.left:
            raise ValueError("bytes left over")


class Plan:
    """How one message is packed: its leading numbers by one struct, the rest field by field.

    Kinds, in order: 1 2 4 8 unsigned integers of that many bytes, s text, q qid, d data with a four-byte
    count, n a stat with a two-byte count, S and Q sequences of texts and qids with a two-byte count.
    """

    __slots__ = ("number", "cls", "_get", "_lead", "_head", "_body", "_rest", "_single")

    def __init__(self, number: int, cls: type[Any], kinds: str) -> None:
        names = [field.name for field in fields(cls)]
        if len(names) != len(kinds):
            raise TypeError(f"{cls.__name__}: {len(names)} fields, {len(kinds)} kinds")
        self.number, self.cls = number, cls
        self._get = attrgetter(*names) if names else lambda message: ()
        self._single = len(names) == 1
        self._lead = next((i for i, kind in enumerate(kinds) if kind not in FIXED), len(kinds))
        lead = "".join(FIXED[kind] for kind in kinds[: self._lead])
        self._head, self._body = struct.Struct("<IBH" + lead), struct.Struct("<" + lead)
        self._rest = kinds[self._lead :]

    def encode(self, tag: int, message: Message) -> bytes:
        values = self._get(message)
        if self._single:
            values = (values,)
        rest = b"".join(
            [pack(kind, value) for kind, value in zip(self._rest, values[self._lead :], strict=True)]
        )
        return self._head.pack(self._head.size + len(rest), self.number, tag, *values[: self._lead]) + rest

    def decode(self, body: bytes) -> Message | Malformed:
        size = self._body.size
        try:
            if len(body) < size:
                raise ValueError("message cut short")
            values = self._body.unpack_from(body)
            reader = Reader(body, size)
            if self._rest:
                values += tuple([reader.value(kind) for kind in self._rest])
            reader.end()
        except ValueError as problem:
            return Malformed(f"bad {self.cls.__name__}: {problem}")
        message: Message = self.cls(*values)
        return message


Table = dict[int, Plan]
PLANS: dict[type[Any], Plan] = {}


def table(messages: dict[int, tuple[type[Any], str]]) -> Table:
    """The plans of a dialect by their numbers; also how each of its messages is encoded from now on."""
    plans = {number: Plan(number, cls, kinds) for number, (cls, kinds) in messages.items()}
    PLANS.update({plan.cls: plan for plan in plans.values()})
    return plans


# What both dialects have.
SHARED = table(
    {
        100: (Tversion, "4s"),
        101: (Rversion, "4s"),
        103: (Rauth, "q"),
        105: (Rattach, "q"),
        108: (Tflush, "2"),
        109: (Rflush, ""),
        110: (Twalk, "44S"),
        111: (Rwalk, "Q"),
        116: (Tread, "484"),
        117: (Rread, "d"),
        118: (Twrite, "48d"),
        119: (Rwrite, "4"),
        120: (Tclunk, "4"),
        121: (Rclunk, ""),
        122: (Tremove, "4"),
        123: (Rremove, ""),
    }
)
PLAIN = SHARED | table(
    {
        102: (Tauth, "4ss"),
        104: (Tattach, "44ss"),
        107: (Rerror, "s"),
        112: (Topen, "41"),
        113: (Ropen, "q4"),
        114: (Tcreate, "4s41"),
        115: (Rcreate, "q4"),
        124: (Tstat, "4"),
        125: (Rstat, "n"),
        126: (Twstat, "4n"),
        127: (Rwstat, ""),
    }
)


def encode(tag: int, message: Message) -> bytes:
    return PLANS[type(message)].encode(tag, message)


def decode(number: int, body: bytes, table: Table = PLAIN) -> Message | Malformed:
    plan = table.get(number)
    return plan.decode(body) if plan else Malformed(f"unknown message type {number}")


class Framer:
    """Yields tag and message; a message longer than a buffer waits in several.

    `most` bounds a message, and with it what waits here; `table` is the dialect. Both hold from the next
    message on, so that one answered in between may change them.
    """

    def __init__(self, pool: BufferPool, most: int, table: Table = PLAIN) -> None:
        self._in = Chain(pool)
        self.most, self.table = most, table

    @property
    def midway(self) -> bool:
        return bool(self._in.length)

    @property
    def whole(self) -> bool:
        """Something is there to be yielded, or to be refused."""
        if self._in.length < 4:
            return False
        size = int.from_bytes(self._in.peek(4), "little")
        return size < HEADER or size > self.most or self._in.length >= size

    def feed(self, data: bytes | memoryview) -> Iterator[tuple[int, Message | Malformed]]:
        """What is not taken off the iterator waits for the next call. Raises FrameError when a size cannot be
        right."""
        self._in.append(data)
        while self._in.length >= 4:
            size = int.from_bytes(self._in.peek(4), "little")
            if size < HEADER or size > self.most:
                raise FrameError(f"message of {size} bytes")
            if self._in.length < size:
                return
            raw = self._in.take(size)
            yield int.from_bytes(raw[5:7], "little"), decode(raw[4], raw[HEADER:], self.table)

    def close(self) -> None:
        self._in.clear()
