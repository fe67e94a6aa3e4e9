"""The messages of 9P2000 (Plan 9 manual, section 5) and the framing, as a state machine that is fed bytes.

`codec_linux.py` adds the messages of 9P2000.L; `wire_format.py` packs the fields of both.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from garnetlanding.ninep.errors import NinepError
from garnetlanding.ninep.wire_format import MAX_WALK as MAX_WALK
from garnetlanding.ninep.wire_format import Malformed as Malformed
from garnetlanding.ninep.wire_format import Message as Message
from garnetlanding.ninep.wire_format import MessageLayout, message_table
from garnetlanding.ninep.wire_format import Qid as Qid
from garnetlanding.ninep.wire_format import Reader as Reader
from garnetlanding.ninep.wire_format import Table as Table
from garnetlanding.ninep.wire_format import encode as encode
from garnetlanding.ninep.wire_format import pack as pack
from garnetlanding.runtime.buffers import BufferChain, BufferPool

VERSION = "9P2000"

NOTAG = 0xFFFF  # the tag of a Tversion
NOFID = 0xFFFFFFFF  # no fid, as the afid of an attach without authentication

HEADER = 7  # bytes: size[4] type[1] tag[2]
READ_OVERHEAD = 24  # bytes that the protocol keeps free of msize in a read or a write

# Type bits of a qid. QTSYMLINK is 9P2000.L's.
QTDIR = 0x80
QTAPPEND = 0x40
QTEXCL = 0x20
QTAUTH = 0x08
QTTMP = 0x04
QTSYMLINK = 0x02

# Modes of open and create: one of four, and flags beside it.
OREAD = 0
OWRITE = 1
ORDWR = 2
OEXEC = 3
OTRUNC = 0x10
ORCLOSE = 0x40


class FrameError(NinepError, ValueError):
    """The size field cannot be right, so nothing after it can be read. `size`: what it says, in bytes."""

    def __init__(self, size: int) -> None:
        super().__init__(f"message of {size} bytes")
        self.size = size


# Fields that several messages have in common. The classes below that add none differ by their type alone.


@dataclass(frozen=True, slots=True)
class FidRequest(Message):
    """A request about one fid and nothing else."""

    fid: int


@dataclass(frozen=True, slots=True)
class RangeRequest(Message):
    """A request for at most `count` bytes from `offset` on."""

    fid: int
    offset: int
    count: int


@dataclass(frozen=True, slots=True)
class EmptyReply(Message):
    """A reply that says only that the request was done."""


@dataclass(frozen=True, slots=True)
class QidReply(Message):
    """A reply with the qid of the file that was attached or made."""

    qid: Qid


@dataclass(frozen=True, slots=True)
class OpenReply(Message):
    """The opened file, and how many bytes one message moves atomically; `iounit` 0: as msize allows."""

    qid: Qid
    iounit: int


# Both dialects


@dataclass(frozen=True, slots=True)
class Tversion(Message):
    """Client to server: offers a dialect and the largest message in bytes; ends any session there was."""

    msize: int
    version: str


@dataclass(frozen=True, slots=True)
class Rversion(Message):
    """Server to client: the agreed msize, at most the offered one, and dialect, or `unknown`."""

    msize: int
    version: str


@dataclass(frozen=True, slots=True)
class Rauth(Message):
    """Server to client: the qid of the authentication file."""

    aqid: Qid


@dataclass(frozen=True, slots=True)
class Rattach(QidReply):
    """Server to client: the qid of the tree's root."""


@dataclass(frozen=True, slots=True)
class Tflush(Message):
    """Client to server: the answer to the request with tag `oldtag` is not needed any more."""

    oldtag: int


@dataclass(frozen=True, slots=True)
class Rflush(EmptyReply):
    """Server to client: the flushed request will not be answered after this."""


@dataclass(frozen=True, slots=True)
class Twalk(Message):
    """Client to server: `newfid` is to stand for the file that `names` lead to from `fid`."""

    fid: int
    newfid: int
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Rwalk(Message):
    """Server to client: the qids of the names found; `newfid` is in use only when all were found."""

    qids: tuple[Qid, ...]


@dataclass(frozen=True, slots=True)
class Tread(RangeRequest):
    """Client to server: asks for bytes of an open file, or for whole stats of an open 9P2000 directory."""


@dataclass(frozen=True, slots=True)
class Rread(Message):
    """Server to client: the bytes; fewer than asked for at the end of the file."""

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
    """Client to server: the fid is not needed any more."""


@dataclass(frozen=True, slots=True)
class Rclunk(EmptyReply):
    """Server to client: the fid is free."""


@dataclass(frozen=True, slots=True)
class Tremove(FidRequest):
    """Client to server: removes the file; the fid is free afterwards, even if that fails."""


@dataclass(frozen=True, slots=True)
class Rremove(EmptyReply):
    """Server to client: the file is removed."""


# 9P2000 alone


@dataclass(frozen=True, slots=True)
class Tauth(Message):
    """Client to server: begins authentication of `uname` for the tree `aname` on `afid`."""

    afid: int
    uname: str
    aname: str


@dataclass(frozen=True, slots=True)
class Tattach(Message):
    """Client to server: `fid` is to stand for the root of the tree `aname`, used by `uname`."""

    fid: int
    afid: int
    uname: str
    aname: str


@dataclass(frozen=True, slots=True)
class Rerror(Message):
    """Server to client: the request failed, with the error's text."""

    ename: str


@dataclass(frozen=True, slots=True)
class Topen(Message):
    """Client to server: opens the fid's file; `mode` is one of OREAD to OEXEC, with OTRUNC and ORCLOSE."""

    fid: int
    mode: int


@dataclass(frozen=True, slots=True)
class Ropen(OpenReply):
    """Server to client: the file is open."""


@dataclass(frozen=True, slots=True)
class Tcreate(Message):
    """Client to server: makes `name` in the fid's directory and opens it; the fid then stands for it.

    `perm` has the permission bits and the DM bits; `mode` is as in Topen.
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
    """Client to server: asks for the file's attributes."""


@dataclass(frozen=True, slots=True)
class Rstat(Message):
    """Server to client: the attributes, packed as `stat_format.RawStat`."""

    stat: bytes


@dataclass(frozen=True, slots=True)
class Twstat(Message):
    """Client to server: changes attributes; a field of all ones, or an empty text, leaves one alone."""

    fid: int
    stat: bytes


@dataclass(frozen=True, slots=True)
class Rwstat(EmptyReply):
    """Server to client: the attributes are changed, all or none."""


SHARED = message_table(
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
"""The messages that both dialects have."""

PLAIN = SHARED | message_table(
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
"""The messages of 9P2000."""


def decode(number: int, body: bytes, table: Table = PLAIN) -> Message | Malformed:
    """Return the message of type `number` in the dialect of `table`; `body` is what follows the header."""
    layout = table.get(number)
    return layout.decode(body) if layout else Malformed(f"unknown message type {number}")


class Framer:
    """Takes messages off the bytes that are fed in; a message longer than a buffer waits in several.

    `max_size` bounds a message in bytes, and with it what waits here; `table` is the dialect. Both hold from
    the next message on, so that the answer to a message may change them before the next is taken.
    """

    def __init__(self, pool: BufferPool, max_size: int, table: Table = PLAIN) -> None:
        self._received = BufferChain(pool)
        self.max_size = max_size
        self.table = table

    @property
    def has_partial_message(self) -> bool:
        """Whether bytes are waiting here."""
        return bool(self._received.length)

    @property
    def has_complete_message(self) -> bool:
        """Whether the bytes here hold a message to be taken, or a size to be rejected."""
        if self._received.length < 4:
            return False
        size = int.from_bytes(self._received.peek(4), "little")
        return size < HEADER or size > self.max_size or self._received.length >= size

    def feed(self, data: bytes | memoryview) -> Iterator[tuple[int, Message | Malformed]]:
        """Yield tag and message, one after another.

        Messages that are not taken off the iterator wait for the next call. Raises FrameError when a size
        cannot be right.
        """
        self._received.append(data)
        while self._received.length >= 4:
            size = int.from_bytes(self._received.peek(4), "little")
            if size < HEADER or size > self.max_size:
                raise FrameError(size)
            if self._received.length < size:
                return
            raw = self._received.take(size)
            yield int.from_bytes(raw[5:7], "little"), decode(raw[4], raw[HEADER:], self.table)

    def close(self) -> None:
        """Give the buffers back."""
        self._received.clear()
