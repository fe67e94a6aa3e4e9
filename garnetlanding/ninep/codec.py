"""The messages of 9P2000 (Plan 9 manual, section 5) and the framing, a state machine without I/O.

`codec_linux.py` adds the messages of 9P2000.L; `wire_format.py` encodes the fields of both.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from garnetlanding.ninep.errors import NinepError
from garnetlanding.ninep.wire_format import MAX_WALK_NAMES as MAX_WALK_NAMES
from garnetlanding.ninep.wire_format import FieldReader as FieldReader
from garnetlanding.ninep.wire_format import MalformedMessage as MalformedMessage
from garnetlanding.ninep.wire_format import Message as Message
from garnetlanding.ninep.wire_format import MessageLayout, register_messages
from garnetlanding.ninep.wire_format import MessageTable as MessageTable
from garnetlanding.ninep.wire_format import Qid as Qid
from garnetlanding.ninep.wire_format import encode as encode
from garnetlanding.ninep.wire_format import pack_field as pack_field
from garnetlanding.runtime.buffers import BufferChain, BufferPool
from garnetlanding.runtime.memory import MemoryAccount

VERSION = "9P2000"

NOTAG = 0xFFFF  # the tag of a Tversion
NOFID = 0xFFFFFFFF  # means "no fid": the afid of an attach without authentication

HEADER_BYTES = 7  # bytes: size[4] type[1] tag[2]
IO_HEADER_BYTES = 24  # part of msize that is reserved for the header of an Rread or a Twrite

# Type bits of a qid. QTSYMLINK exists in 9P2000.L only.
QTDIR = 0x80
QTAPPEND = 0x40
QTEXCL = 0x20
QTAUTH = 0x08
QTTMP = 0x04
QTSYMLINK = 0x02

# Modes of open and create: one of the four access modes, and flags.
OREAD = 0
OWRITE = 1
ORDWR = 2
OEXEC = 3
OTRUNC = 0x10
ORCLOSE = 0x40


class FrameError(NinepError, ValueError):
    """The size field is invalid, so nothing after it can be decoded; `size` is its value in bytes."""

    def __init__(self, size: int) -> None:
        super().__init__(f"message of {size} bytes")
        self.size = size


# Base classes for messages with the same fields. Subclasses without fields of their own differ by type only.


@dataclass(frozen=True, slots=True)
class FidRequest(Message):
    """A request whose only field is a fid."""

    fid: int


@dataclass(frozen=True, slots=True)
class RangeRequest(Message):
    """A request for at most `count` bytes, starting at `offset`."""

    fid: int
    offset: int
    count: int


@dataclass(frozen=True, slots=True)
class EmptyReply(Message):
    """A reply without fields: the request succeeded."""


@dataclass(frozen=True, slots=True)
class QidReply(Message):
    """A reply with the qid of the file that was attached or created."""

    qid: Qid


@dataclass(frozen=True, slots=True)
class OpenReply(Message):
    """The opened file.

    `iounit` is the most bytes that one message transfers atomically, 0 if only msize limits it.
    """

    qid: Qid
    iounit: int


# Messages of both dialects


@dataclass(frozen=True, slots=True)
class Tversion(Message):
    """Client to server: proposes a dialect and a maximum message size in bytes; ends any earlier session."""

    msize: int
    version: str


@dataclass(frozen=True, slots=True)
class Rversion(Message):
    """Server to client: the agreed msize, at most the proposed one, and the dialect or `unknown`."""

    msize: int
    version: str


@dataclass(frozen=True, slots=True)
class Rauth(Message):
    """Server to client: the qid of the authentication file."""

    aqid: Qid


@dataclass(frozen=True, slots=True)
class Rattach(QidReply):
    """Server to client: the qid of the root of the tree."""


@dataclass(frozen=True, slots=True)
class Tflush(Message):
    """Client to server: aborts the request with tag `oldtag`."""

    oldtag: int


@dataclass(frozen=True, slots=True)
class Rflush(EmptyReply):
    """Server to client: no reply to the flushed request follows."""


@dataclass(frozen=True, slots=True)
class Twalk(Message):
    """Client to server: binds `newfid` to the file that is reached from `fid` by `names`."""

    fid: int
    newfid: int
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Rwalk(Message):
    """Server to client: the qids of the names found; `newfid` is bound only if all were found."""

    qids: tuple[Qid, ...]


@dataclass(frozen=True, slots=True)
class Tread(RangeRequest):
    """Client to server: reads bytes of an open file, or complete stats of an open 9P2000 directory."""


@dataclass(frozen=True, slots=True)
class Rread(Message):
    """Server to client: the bytes; fewer than requested at the end of the file."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Twrite(Message):
    """Client to server: writes `data` at byte `offset`, or at the end of an append-only file."""

    fid: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Rwrite(Message):
    """Server to client: how many bytes were written."""

    count: int


@dataclass(frozen=True, slots=True)
class Tclunk(FidRequest):
    """Client to server: releases the fid."""


@dataclass(frozen=True, slots=True)
class Rclunk(EmptyReply):
    """Server to client: the fid is released."""


@dataclass(frozen=True, slots=True)
class Tremove(FidRequest):
    """Client to server: removes the file and releases the fid, even if the removal fails."""


@dataclass(frozen=True, slots=True)
class Rremove(EmptyReply):
    """Server to client: the file is removed."""


# Messages of 9P2000 only


@dataclass(frozen=True, slots=True)
class Tauth(Message):
    """Client to server: starts the authentication of `uname` for the tree `aname`, on `afid`."""

    afid: int
    uname: str
    aname: str


@dataclass(frozen=True, slots=True)
class Tattach(Message):
    """Client to server: binds `fid` to the root of the tree `aname`, for the user `uname`."""

    fid: int
    afid: int
    uname: str
    aname: str


@dataclass(frozen=True, slots=True)
class Rerror(Message):
    """Server to client: the request failed; `ename` is the error text."""

    ename: str


@dataclass(frozen=True, slots=True)
class Topen(Message):
    """Client to server: opens the file; `mode` is one of OREAD to OEXEC, plus the flags OTRUNC, ORCLOSE."""

    fid: int
    mode: int


@dataclass(frozen=True, slots=True)
class Ropen(OpenReply):
    """Server to client: the file is open."""


@dataclass(frozen=True, slots=True)
class Tcreate(Message):
    """Client to server: creates `name` in the fid's directory, opens it and binds the fid to it.

    `perm` holds the permission bits and the DM bits; `mode` is as in Topen.
    """

    fid: int
    name: str
    perm: int
    mode: int


@dataclass(frozen=True, slots=True)
class Rcreate(OpenReply):
    """Server to client: the new file is open."""


@dataclass(frozen=True, slots=True)
class Tstat(FidRequest):
    """Client to server: requests the file's attributes."""


@dataclass(frozen=True, slots=True)
class Rstat(Message):
    """Server to client: the attributes, in the encoding of `stat_format.RawStat`."""

    stat: bytes


@dataclass(frozen=True, slots=True)
class Twstat(Message):
    """Client to server: changes attributes; a field of all ones or an empty string stays unchanged."""

    fid: int
    stat: bytes


@dataclass(frozen=True, slots=True)
class Rwstat(EmptyReply):
    """Server to client: all the requested attributes are changed."""


SHARED_MESSAGES = register_messages(
    MessageLayout(100, "Tversion", Tversion, "4s"),
    MessageLayout(101, "Rversion", Rversion, "4s"),
    MessageLayout(103, "Rauth", Rauth, "q"),
    MessageLayout(105, "Rattach", Rattach, "q"),
    MessageLayout(108, "Tflush", Tflush, "2"),
    MessageLayout(109, "Rflush", Rflush, ""),
    MessageLayout(110, "Twalk", Twalk, "44S"),
    MessageLayout(111, "Rwalk", Rwalk, "Q"),
    MessageLayout(116, "Tread", Tread, "484"),
    MessageLayout(117, "Rread", Rread, "d"),
    MessageLayout(118, "Twrite", Twrite, "48d"),
    MessageLayout(119, "Rwrite", Rwrite, "4"),
    MessageLayout(120, "Tclunk", Tclunk, "4"),
    MessageLayout(121, "Rclunk", Rclunk, ""),
    MessageLayout(122, "Tremove", Tremove, "4"),
    MessageLayout(123, "Rremove", Rremove, ""),
)
"""The messages that both dialects have, by message type."""

PLAIN_MESSAGES = SHARED_MESSAGES | register_messages(
    MessageLayout(102, "Tauth", Tauth, "4ss"),
    MessageLayout(104, "Tattach", Tattach, "44ss"),
    MessageLayout(107, "Rerror", Rerror, "s"),
    MessageLayout(112, "Topen", Topen, "41"),
    MessageLayout(113, "Ropen", Ropen, "q4"),
    MessageLayout(114, "Tcreate", Tcreate, "4s41"),
    MessageLayout(115, "Rcreate", Rcreate, "q4"),
    MessageLayout(124, "Tstat", Tstat, "4"),
    MessageLayout(125, "Rstat", Rstat, "n"),
    MessageLayout(126, "Twstat", Twstat, "4n"),
    MessageLayout(127, "Rwstat", Rwstat, ""),
)
"""The messages of 9P2000, by message type."""


def decode(
    message_type: int, body: bytes, table: MessageTable = PLAIN_MESSAGES
) -> Message | MalformedMessage:
    """Decode a message in the dialect of `table`; `body` is the part of the frame after the header."""
    layout = table.get(message_type)
    return layout.decode(body) if layout else MalformedMessage(f"unknown message type {message_type}")


class Framer:
    """Splits a byte stream into messages and decodes them; an incomplete message is buffered.

    `max_size` is the maximum size of a message in bytes, which also bounds the buffered data; `table` is the
    dialect. Changes to either apply from the next message on, so the reply to one message may change them
    before the next one is decoded.
    """

    def __init__(
        self,
        pool: BufferPool,
        max_size: int,
        table: MessageTable = PLAIN_MESSAGES,
        account: MemoryAccount | None = None,
    ) -> None:
        self._received = BufferChain(pool, account)
        self.max_size = max_size
        self.table = table

    @property
    def has_partial_message(self) -> bool:
        """Whether any bytes are buffered."""
        return bool(self._received.length)

    @property
    def has_complete_message(self) -> bool:
        """Whether the buffered bytes hold a complete message or an invalid size."""
        if self._received.length < 4:
            return False
        size = int.from_bytes(self._received.peek(4), "little")
        return size < HEADER_BYTES or size > self.max_size or self._received.length >= size

    def feed(self, data: bytes | memoryview) -> Iterator[tuple[int, Message | MalformedMessage]]:
        """Append the data and yield the tag and message of each complete frame.

        Messages that the caller does not consume stay buffered for the next call. Raises FrameError if a size
        field is invalid.
        """
        self._received.append(data)
        while self._received.length >= 4:
            size = int.from_bytes(self._received.peek(4), "little")
            if size < HEADER_BYTES or size > self.max_size:
                raise FrameError(size)
            if self._received.length < size:
                return
            raw = self._received.take(size)
            yield int.from_bytes(raw[5:7], "little"), decode(raw[4], raw[HEADER_BYTES:], self.table)

    def close(self) -> None:
        """Return the buffers to the pool."""
        self._received.clear()
