"""The messages of 9P2000.L, the dialect of Linux clients, that it does not share with 9P2000.

Field order and numbers follow the published protocol description of the Linux client (include/net/9p).
"""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.ninep.codec import (
    SHARED_MESSAGES,
    EmptyReply,
    FidRequest,
    OpenReply,
    QidReply,
    RangeRequest,
)
from garnetlanding.ninep.wire_format import Message, MessageLayout, Qid, register_messages

VERSION = "9P2000.L"

# Numeric user and group id for "not given".
NONUNAME = 0xFFFFFFFF
NOGID = 0xFFFFFFFF

# Flags of lopen and lcreate: the values of open(2) on Linux.
L_ACCESS_MASK = 0o3
L_CREATE = 0o100
L_EXCL = 0o200
L_TRUNC = 0o1000
L_APPEND = 0o2000
L_DSYNC = 0o10000
L_DIRECTORY = 0o200000
L_SYNC = 0o4000000

AT_REMOVEDIR = 0x200  # a flag of unlinkat

GETATTR_BASIC = 0x7FF  # the attributes of stat(2)

# Bits of Tsetattr's `valid`: which attributes change.
SETATTR_MODE = 1
SETATTR_UID = 2
SETATTR_GID = 4
SETATTR_SIZE = 8
SETATTR_ATIME = 16
SETATTR_MTIME = 32
SETATTR_CTIME = 64
SETATTR_ATIME_SET = 128  # to the given time instead of the server's current time
SETATTR_MTIME_SET = 256

# Lock types.
LOCK_TYPE_READ = 0
LOCK_TYPE_WRITE = 1
LOCK_TYPE_UNLOCK = 2

LOCK_FLAG_BLOCK = 1  # a flag: the client would block until the lock is granted

# Status of an Rlock.
LOCK_STATUS_SUCCESS = 0
LOCK_STATUS_BLOCKED = 1
LOCK_STATUS_ERROR = 2


@dataclass(frozen=True, slots=True)
class Rlerror(Message):
    """Server to client: the request failed; `ecode` is the Linux errno."""

    ecode: int


@dataclass(frozen=True, slots=True)
class Tstatfs(FidRequest):
    """Client to server: requests the statistics of the file system that holds the file."""


@dataclass(frozen=True, slots=True)
class Rstatfs(Message):
    """Server to client: the file system statistics, as in statfs(2).

    Block counts are in units of `bsize` bytes; `bavail` counts the blocks free for unprivileged users;
    `namelen` is in bytes.
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
    """Client to server: opens the file; `flags` are those of open(2), the L_ constants."""

    fid: int
    flags: int


@dataclass(frozen=True, slots=True)
class Rlopen(OpenReply):
    """Server to client: the file is open."""


@dataclass(frozen=True, slots=True)
class Tlcreate(Message):
    """Client to server: creates the regular file `name` in the fid's directory and opens it.

    The fid is then bound to the new file. `flags` are as in Tlopen; `mode` holds the permission bits.
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
    """Client to server: creates the symbolic link `name` to `target` in the directory `dfid`."""

    dfid: int
    name: str
    target: str
    gid: int


@dataclass(frozen=True, slots=True)
class Rsymlink(QidReply):
    """Server to client: the link is created."""


@dataclass(frozen=True, slots=True)
class Tmknod(Message):
    """Client to server: creates a file of the type in `mode`; `major` and `minor` are device numbers."""

    dfid: int
    name: str
    mode: int
    major: int
    minor: int
    gid: int


@dataclass(frozen=True, slots=True)
class Rmknod(QidReply):
    """Server to client: the file is created."""


@dataclass(frozen=True, slots=True)
class Trename(Message):
    """Client to server: renames the fid's file to `name` in the directory `dfid`."""

    fid: int
    dfid: int
    name: str


@dataclass(frozen=True, slots=True)
class Rrename(EmptyReply):
    """Server to client: the file is renamed."""


@dataclass(frozen=True, slots=True)
class Treadlink(FidRequest):
    """Client to server: requests the target of a symbolic link."""


@dataclass(frozen=True, slots=True)
class Rreadlink(Message):
    """Server to client: the target of the link."""

    target: str


@dataclass(frozen=True, slots=True)
class Tgetattr(Message):
    """Client to server: requests the attributes whose GETATTR bits are in `request_mask`."""

    fid: int
    request_mask: int


@dataclass(frozen=True, slots=True)
class Rgetattr(Message):
    """Server to client: the attributes; `valid` holds the GETATTR bits of those that are set.

    `size` is in bytes, `blocks` in units of 512 bytes; times are in seconds (`_s`) and nanoseconds (`_ns`).
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
    """Client to server: changes the attributes whose SETATTR bits are in `valid`.

    Without SETATTR_ATIME_SET or SETATTR_MTIME_SET, a time is set to the server's current time.
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
    """Client to server: binds `newfid` to the extended attribute `name`; an empty name means their list."""

    fid: int
    newfid: int
    name: str


@dataclass(frozen=True, slots=True)
class Rxattrwalk(Message):
    """Server to client: how many bytes can be read from `newfid`."""

    size: int


@dataclass(frozen=True, slots=True)
class Txattrcreate(Message):
    """Client to server: prepares the fid for writing `size` bytes, the attribute's new value."""

    fid: int
    name: str
    size: int
    flags: int


@dataclass(frozen=True, slots=True)
class Rxattrcreate(EmptyReply):
    """Server to client: the fid accepts the value."""


@dataclass(frozen=True, slots=True)
class Treaddir(RangeRequest):
    """Client to server: reads entries of an open directory; `offset` is that of the last entry, or 0."""


@dataclass(frozen=True, slots=True)
class Rreaddir(Message):
    """Server to client: complete entries, see `attribute_format.pack_entry`; none at the end."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Tfsync(Message):
    """Client to server: flushes the open file to stable storage; with `datasync` 1 only its data."""

    fid: int
    datasync: int


@dataclass(frozen=True, slots=True)
class Rfsync(EmptyReply):
    """Server to client: the file is on stable storage."""


@dataclass(frozen=True, slots=True)
class Tlock(Message):
    """Client to server: locks or unlocks bytes of an open file, as fcntl(2) does.

    `type` and `flags` are LOCK constants; a `length` of 0 extends to the end of the file, however large it
    grows. The owner is the process `proc_id` on the client `client_id`.
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
    """Server to client: the result; `status` is one of the LOCK_STATUS constants."""

    status: int


@dataclass(frozen=True, slots=True)
class Tgetlock(Message):
    """Client to server: requests a lock that conflicts with this one, if any; fields as in Tlock."""

    fid: int
    type: int
    start: int
    length: int
    proc_id: int
    client_id: str


@dataclass(frozen=True, slots=True)
class Rgetlock(Message):
    """Server to client: the conflicting lock, or the requested one with the type LOCK_TYPE_UNLOCK."""

    type: int
    start: int
    length: int
    proc_id: int
    client_id: str


@dataclass(frozen=True, slots=True)
class Tlink(Message):
    """Client to server: creates the hard link `name` to the fid's file in the directory `dfid`."""

    dfid: int
    fid: int
    name: str


@dataclass(frozen=True, slots=True)
class Rlink(EmptyReply):
    """Server to client: the hard link is created."""


@dataclass(frozen=True, slots=True)
class Tmkdir(Message):
    """Client to server: creates the directory `name` in the directory `dfid`."""

    dfid: int
    name: str
    mode: int
    gid: int


@dataclass(frozen=True, slots=True)
class Rmkdir(QidReply):
    """Server to client: the directory is created."""


@dataclass(frozen=True, slots=True)
class Trenameat(Message):
    """Client to server: moves `oldname` to `newname` in another directory, replacing a file there."""

    olddirfid: int
    oldname: str
    newdirfid: int
    newname: str


@dataclass(frozen=True, slots=True)
class Rrenameat(EmptyReply):
    """Server to client: the file is renamed."""


@dataclass(frozen=True, slots=True)
class Tunlinkat(Message):
    """Client to server: removes a name; AT_REMOVEDIR is set in `flags` if and only if it is a directory."""

    dirfd: int
    name: str
    flags: int


@dataclass(frozen=True, slots=True)
class Runlinkat(EmptyReply):
    """Server to client: the name is removed."""


@dataclass(frozen=True, slots=True)
class Tlauth(Message):
    """Client to server: Tauth with the numeric user id, or NONUNAME."""

    afid: int
    uname: str
    aname: str
    n_uname: int


@dataclass(frozen=True, slots=True)
class Tlattach(Message):
    """Client to server: Tattach with the numeric user id, or NONUNAME."""

    fid: int
    afid: int
    uname: str
    aname: str
    n_uname: int


LINUX_MESSAGES = SHARED_MESSAGES | register_messages(
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
"""The messages of 9P2000.L, by message type."""
