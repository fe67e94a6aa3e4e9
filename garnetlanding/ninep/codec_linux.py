"""The messages of 9P2000.L, as Linux clients send it, beside those that it shares with 9P2000.

Field order and numbers follow the published protocol description of the Linux client (include/net/9p).
"""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.ninep.codec import SHARED, EmptyReply, FidRequest, OpenReply, QidReply, RangeRequest
from garnetlanding.ninep.wire_format import Message, MessageLayout, Qid, message_table

VERSION = "9P2000.L"

# In place of a user's or group's number: none given.
NONUNAME = 0xFFFFFFFF
NOGID = 0xFFFFFFFF

# Flags of lopen and lcreate: Linux's open(2), octal as there.
L_ACCESS = 0o3
L_CREATE = 0o100
L_EXCL = 0o200
L_TRUNC = 0o1000
L_APPEND = 0o2000
L_DSYNC = 0o10000
L_DIRECTORY = 0o200000
L_SYNC = 0o4000000

AT_REMOVEDIR = 0x200  # a flag of unlinkat

GETATTR_BASIC = 0x7FF  # the attributes of stat(2)

# Which attributes a setattr changes.
SET_MODE = 1
SET_UID = 2
SET_GID = 4
SET_SIZE = 8
SET_ATIME = 16
SET_MTIME = 32
SET_CTIME = 64
SET_ATIME_TO = 128  # to the given time
SET_MTIME_TO = 256

# Types of a lock.
LOCK_READ = 0
LOCK_WRITE = 1
LOCK_NONE = 2

LOCK_BLOCK = 1  # a flag: the client would wait

# What an Rlock says.
LOCK_DONE = 0
LOCK_BLOCKED = 1
LOCK_ERROR = 2


@dataclass(frozen=True, slots=True)
class Rlerror(Message):
    """Server to client: the request failed, with Linux's error number."""

    ecode: int


@dataclass(frozen=True, slots=True)
class Tstatfs(FidRequest):
    """Client to server: asks for the figures of the file system that holds the fid's file."""


@dataclass(frozen=True, slots=True)
class Rstatfs(Message):
    """Server to client: the file system's figures, as in statfs(2).

    Blocks are of `bsize` bytes; `bavail` are those free for unprivileged users; `namelen` is in bytes.
    """

    type: int
    bsize: int
    blocks: int
    bfree: int
    bavail: int
    files: int
    ffree: int
    fsid: int
    namelen: int


@dataclass(frozen=True, slots=True)
class Tlopen(Message):
    """Client to server: opens the fid's file; `flags` are those of open(2), the L_ constants."""

    fid: int
    flags: int


@dataclass(frozen=True, slots=True)
class Rlopen(OpenReply):
    """Server to client: the file is open."""


@dataclass(frozen=True, slots=True)
class Tlcreate(Message):
    """Client to server: makes the regular file `name` in the fid's directory and opens it.

    The fid then stands for it. `flags` are as in Tlopen, `mode` has the permission bits.
    """

    fid: int
    name: str
    flags: int
    mode: int
    gid: int


@dataclass(frozen=True, slots=True)
class Rlcreate(OpenReply):
    """Server to client: the new file is open."""


@dataclass(frozen=True, slots=True)
class Tsymlink(Message):
    """Client to server: makes the symbolic link `name` to `target` in the directory `dfid`."""

    dfid: int
    name: str
    target: str
    gid: int


@dataclass(frozen=True, slots=True)
class Rsymlink(QidReply):
    """Server to client: the link is made."""


@dataclass(frozen=True, slots=True)
class Tmknod(Message):
    """Client to server: makes a file of any kind; `mode` has its type, `major` and `minor` are a device's."""

    dfid: int
    name: str
    mode: int
    major: int
    minor: int
    gid: int


@dataclass(frozen=True, slots=True)
class Rmknod(QidReply):
    """Server to client: the file is made."""


@dataclass(frozen=True, slots=True)
class Trename(Message):
    """Client to server: the fid's file gets the name `name` in the directory `dfid`."""

    fid: int
    dfid: int
    name: str


@dataclass(frozen=True, slots=True)
class Rrename(EmptyReply):
    """Server to client: the file is renamed."""


@dataclass(frozen=True, slots=True)
class Treadlink(FidRequest):
    """Client to server: asks where a symbolic link leads."""


@dataclass(frozen=True, slots=True)
class Rreadlink(Message):
    """Server to client: the link's text."""

    target: str


@dataclass(frozen=True, slots=True)
class Tgetattr(Message):
    """Client to server: asks for the attributes whose GETATTR bits are in `request_mask`."""

    fid: int
    request_mask: int


@dataclass(frozen=True, slots=True)
class Rgetattr(Message):
    """Server to client: the attributes; `valid` has the GETATTR bits of those that hold.

    `size` is in bytes, `blocks` in units of 512 bytes; a time is in seconds (`_s`) and nanoseconds (`_ns`).
    """

    valid: int
    qid: Qid
    mode: int
    uid: int
    gid: int
    nlink: int
    rdev: int
    size: int
    blksize: int
    blocks: int
    atime_s: int
    atime_ns: int
    mtime_s: int
    mtime_ns: int
    ctime_s: int
    ctime_ns: int
    btime_s: int
    btime_ns: int
    gen: int
    data_version: int


@dataclass(frozen=True, slots=True)
class Tsetattr(Message):
    """Client to server: changes the attributes whose SET bits are in `valid`.

    Without SET_ATIME_TO or SET_MTIME_TO a time is set to the server's present.
    """

    fid: int
    valid: int
    mode: int
    uid: int
    gid: int
    size: int
    atime_s: int
    atime_ns: int
    mtime_s: int
    mtime_ns: int


@dataclass(frozen=True, slots=True)
class Rsetattr(EmptyReply):
    """Server to client: the attributes are changed."""


@dataclass(frozen=True, slots=True)
class Txattrwalk(Message):
    """Client to server: `newfid` is to stand for the extended attribute `name`, or for the list of them."""

    fid: int
    newfid: int
    name: str


@dataclass(frozen=True, slots=True)
class Rxattrwalk(Message):
    """Server to client: how many bytes `newfid` will read."""

    size: int


@dataclass(frozen=True, slots=True)
class Txattrcreate(Message):
    """Client to server: the fid is to take `size` bytes as the new value of the extended attribute."""

    fid: int
    name: str
    size: int
    flags: int


@dataclass(frozen=True, slots=True)
class Rxattrcreate(EmptyReply):
    """Server to client: the fid takes the value now."""


@dataclass(frozen=True, slots=True)
class Treaddir(RangeRequest):
    """Client to server: asks for entries of an open directory; `offset` is the last entry's, 0 at first."""


@dataclass(frozen=True, slots=True)
class Rreaddir(Message):
    """Server to client: whole entries, see `attribute_format.pack_entry`; none at the directory's end."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Tfsync(Message):
    """Client to server: writes the open file to stable storage; with `datasync` 1 its data alone."""

    fid: int
    datasync: int


@dataclass(frozen=True, slots=True)
class Rfsync(EmptyReply):
    """Server to client: the file is stored."""


@dataclass(frozen=True, slots=True)
class Tlock(Message):
    """Client to server: locks or unlocks bytes of an open file, as fcntl(2) does.

    `type` and `flags` are LOCK constants; `length` 0 reaches to the file's end, however far. The owner is the
    process `proc_id` on the client `client_id`.
    """

    fid: int
    type: int
    flags: int
    start: int
    length: int
    proc_id: int
    client_id: str


@dataclass(frozen=True, slots=True)
class Rlock(Message):
    """Server to client: LOCK_DONE, LOCK_BLOCKED or LOCK_ERROR."""

    status: int


@dataclass(frozen=True, slots=True)
class Tgetlock(Message):
    """Client to server: asks which lock, if any, is in the way of this one; fields as in Tlock."""

    fid: int
    type: int
    start: int
    length: int
    proc_id: int
    client_id: str


@dataclass(frozen=True, slots=True)
class Rgetlock(Message):
    """Server to client: the lock in the way, or what was asked for with the type LOCK_NONE."""

    type: int
    start: int
    length: int
    proc_id: int
    client_id: str


@dataclass(frozen=True, slots=True)
class Tlink(Message):
    """Client to server: the fid's file gets the further name `name` in the directory `dfid`."""

    dfid: int
    fid: int
    name: str


@dataclass(frozen=True, slots=True)
class Rlink(EmptyReply):
    """Server to client: the name is made."""


@dataclass(frozen=True, slots=True)
class Tmkdir(Message):
    """Client to server: makes the directory `name` in the directory `dfid`."""

    dfid: int
    name: str
    mode: int
    gid: int


@dataclass(frozen=True, slots=True)
class Rmkdir(QidReply):
    """Server to client: the directory is made."""


@dataclass(frozen=True, slots=True)
class Trenameat(Message):
    """Client to server: moves `oldname` of one directory to `newname` in another, replacing a file there."""

    olddirfid: int
    oldname: str
    newdirfid: int
    newname: str


@dataclass(frozen=True, slots=True)
class Rrenameat(EmptyReply):
    """Server to client: the file is renamed."""


@dataclass(frozen=True, slots=True)
class Tunlinkat(Message):
    """Client to server: removes a name; AT_REMOVEDIR in `flags` exactly when it is a directory's."""

    dirfd: int
    name: str
    flags: int


@dataclass(frozen=True, slots=True)
class Runlinkat(EmptyReply):
    """Server to client: the name is removed."""


@dataclass(frozen=True, slots=True)
class Tlauth(Message):
    """Client to server: Tauth with the user's number; NONUNAME if there is none."""

    afid: int
    uname: str
    aname: str
    n_uname: int


@dataclass(frozen=True, slots=True)
class Tlattach(Message):
    """Client to server: Tattach with the user's number; NONUNAME if there is none."""

    fid: int
    afid: int
    uname: str
    aname: str
    n_uname: int


LINUX = SHARED | message_table(
    MessageLayout(7, "Rlerror", Rlerror, "4"),
    MessageLayout(8, "Tstatfs", Tstatfs, "4"),
    MessageLayout(9, "Rstatfs", Rstatfs, "448888884"),
    MessageLayout(12, "Tlopen", Tlopen, "44"),
    MessageLayout(13, "Rlopen", Rlopen, "q4"),
    MessageLayout(14, "Tlcreate", Tlcreate, "4s444"),
    MessageLayout(15, "Rlcreate", Rlcreate, "q4"),
    MessageLayout(16, "Tsymlink", Tsymlink, "4ss4"),
    MessageLayout(17, "Rsymlink", Rsymlink, "q"),
    MessageLayout(18, "Tmknod", Tmknod, "4s4444"),
    MessageLayout(19, "Rmknod", Rmknod, "q"),
    MessageLayout(20, "Trename", Trename, "44s"),
    MessageLayout(21, "Rrename", Rrename, ""),
    MessageLayout(22, "Treadlink", Treadlink, "4"),
    MessageLayout(23, "Rreadlink", Rreadlink, "s"),
    MessageLayout(24, "Tgetattr", Tgetattr, "48"),
    MessageLayout(25, "Rgetattr", Rgetattr, "8q444888888888888888"),
    MessageLayout(26, "Tsetattr", Tsetattr, "4444488888"),
    MessageLayout(27, "Rsetattr", Rsetattr, ""),
    MessageLayout(30, "Txattrwalk", Txattrwalk, "44s"),
    MessageLayout(31, "Rxattrwalk", Rxattrwalk, "8"),
    MessageLayout(32, "Txattrcreate", Txattrcreate, "4s84"),
    MessageLayout(33, "Rxattrcreate", Rxattrcreate, ""),
    MessageLayout(40, "Treaddir", Treaddir, "484"),
    MessageLayout(41, "Rreaddir", Rreaddir, "d"),
    MessageLayout(50, "Tfsync", Tfsync, "44"),
    MessageLayout(51, "Rfsync", Rfsync, ""),
    MessageLayout(52, "Tlock", Tlock, "414884s"),
    MessageLayout(53, "Rlock", Rlock, "1"),
    MessageLayout(54, "Tgetlock", Tgetlock, "41884s"),
    MessageLayout(55, "Rgetlock", Rgetlock, "1884s"),
    MessageLayout(70, "Tlink", Tlink, "44s"),
    MessageLayout(71, "Rlink", Rlink, ""),
    MessageLayout(72, "Tmkdir", Tmkdir, "4s44"),
    MessageLayout(73, "Rmkdir", Rmkdir, "q"),
    MessageLayout(74, "Trenameat", Trenameat, "4s4s"),
    MessageLayout(75, "Rrenameat", Rrenameat, ""),
    MessageLayout(76, "Tunlinkat", Tunlinkat, "4s4"),
    MessageLayout(77, "Runlinkat", Runlinkat, ""),
    MessageLayout(102, "Tlauth", Tlauth, "4ss4"),
    MessageLayout(104, "Tlattach", Tlattach, "44ss4"),
)
"""The messages of 9P2000.L."""
