"""The messages of 9P2000.L, as Linux clients speak it, beside those that it shares with 9P2000.

Field order and numbers follow the published protocol description of the Linux client (include/net/9p).
"""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.ninep.codec import SHARED, Message, Qid, table

VERSION = "9P2000.L"
NOGID = NONUNAME = 0xFFFFFFFF

# Flags of lopen and lcreate: Linux's open(2), octal as there.
L_ACCESS, L_CREATE, L_EXCL, L_TRUNC, L_APPEND = 0o3, 0o100, 0o200, 0o1000, 0o2000
L_DSYNC, L_DIRECTORY, L_SYNC = 0o10000, 0o200000, 0o4000000
AT_REMOVEDIR = 0x200

# Which attributes a getattr tells, and a setattr sets.
GETATTR_BASIC = 0x7FF
SET_MODE, SET_UID, SET_GID, SET_SIZE, SET_ATIME, SET_MTIME, SET_CTIME = 1, 2, 4, 8, 16, 32, 64
SET_ATIME_TO, SET_MTIME_TO = 128, 256

LOCK_READ, LOCK_WRITE, LOCK_NONE = 0, 1, 2
LOCK_BLOCK = 1  # a flag: the client would wait
LOCK_DONE, LOCK_BLOCKED, LOCK_ERROR = 0, 1, 2


@dataclass(frozen=True, slots=True)
class Rlerror(Message):
    ecode: int


@dataclass(frozen=True, slots=True)
class Tstatfs(Message):
    fid: int


@dataclass(frozen=True, slots=True)
class Rstatfs(Message):
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
    fid: int
    flags: int


@dataclass(frozen=True, slots=True)
class Rlopen(Message):
    qid: Qid
    iounit: int


@dataclass(frozen=True, slots=True)
class Tlcreate(Message):
    fid: int
    name: str
    flags: int
    mode: int
    gid: int


@dataclass(frozen=True, slots=True)
class Rlcreate(Message):
    qid: Qid
    iounit: int


@dataclass(frozen=True, slots=True)
class Tsymlink(Message):
    dfid: int
    name: str
    target: str
    gid: int


@dataclass(frozen=True, slots=True)
class Rsymlink(Message):
    qid: Qid


@dataclass(frozen=True, slots=True)
class Tmknod(Message):
    dfid: int
    name: str
    mode: int
    major: int
    minor: int
    gid: int


@dataclass(frozen=True, slots=True)
class Rmknod(Message):
    qid: Qid


@dataclass(frozen=True, slots=True)
class Trename(Message):
    fid: int
    dfid: int
    name: str


@dataclass(frozen=True, slots=True)
class Rrename(Message):
    pass


@dataclass(frozen=True, slots=True)
class Treadlink(Message):
    fid: int


@dataclass(frozen=True, slots=True)
class Rreadlink(Message):
    target: str


@dataclass(frozen=True, slots=True)
class Tgetattr(Message):
    fid: int
    request_mask: int


@dataclass(frozen=True, slots=True)
class Rgetattr(Message):
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
class Rsetattr(Message):
    pass


@dataclass(frozen=True, slots=True)
class Txattrwalk(Message):
    fid: int
    newfid: int
    name: str


@dataclass(frozen=True, slots=True)
class Rxattrwalk(Message):
    size: int


@dataclass(frozen=True, slots=True)
class Txattrcreate(Message):
    fid: int
    name: str
    size: int
    flags: int


@dataclass(frozen=True, slots=True)
class Rxattrcreate(Message):
    pass


@dataclass(frozen=True, slots=True)
class Treaddir(Message):
    fid: int
    offset: int
    count: int


@dataclass(frozen=True, slots=True)
class Rreaddir(Message):
    data: bytes


@dataclass(frozen=True, slots=True)
class Tfsync(Message):
    fid: int
    datasync: int


@dataclass(frozen=True, slots=True)
class Rfsync(Message):
    pass


@dataclass(frozen=True, slots=True)
class Tlock(Message):
    fid: int
    type: int
    flags: int
    start: int
    length: int
    proc_id: int
    client_id: str


@dataclass(frozen=True, slots=True)
class Rlock(Message):
    status: int


@dataclass(frozen=True, slots=True)
class Tgetlock(Message):
    fid: int
    type: int
    start: int
    length: int
    proc_id: int
    client_id: str


@dataclass(frozen=True, slots=True)
class Rgetlock(Message):
    type: int
    start: int
    length: int
    proc_id: int
    client_id: str


@dataclass(frozen=True, slots=True)
class Tlink(Message):
    dfid: int
    fid: int
    name: str


@dataclass(frozen=True, slots=True)
class Rlink(Message):
    pass


@dataclass(frozen=True, slots=True)
class Tmkdir(Message):
    dfid: int
    name: str
    mode: int
    gid: int


@dataclass(frozen=True, slots=True)
class Rmkdir(Message):
    qid: Qid


@dataclass(frozen=True, slots=True)
class Trenameat(Message):
    olddirfid: int
    oldname: str
    newdirfid: int
    newname: str


@dataclass(frozen=True, slots=True)
class Rrenameat(Message):
    pass


@dataclass(frozen=True, slots=True)
class Tunlinkat(Message):
    dirfd: int
    name: str
    flags: int


@dataclass(frozen=True, slots=True)
class Runlinkat(Message):
    pass


@dataclass(frozen=True, slots=True)
class Tlauth(Message):
    afid: int
    uname: str
    aname: str
    n_uname: int


@dataclass(frozen=True, slots=True)
class Tlattach(Message):
    fid: int
    afid: int
    uname: str
    aname: str
    n_uname: int


LINUX = SHARED | table(
    {
        7: (Rlerror, "4"),
        8: (Tstatfs, "4"),
        9: (Rstatfs, "448888884"),
        12: (Tlopen, "44"),
        13: (Rlopen, "q4"),
        14: (Tlcreate, "4s444"),
        15: (Rlcreate, "q4"),
        16: (Tsymlink, "4ss4"),
        17: (Rsymlink, "q"),
        18: (Tmknod, "4s4444"),
        19: (Rmknod, "q"),
        20: (Trename, "44s"),
        21: (Rrename, ""),
        22: (Treadlink, "4"),
        23: (Rreadlink, "s"),
        24: (Tgetattr, "48"),
        25: (Rgetattr, "8q444888888888888888"),
        26: (Tsetattr, "4444488888"),
        27: (Rsetattr, ""),
        30: (Txattrwalk, "44s"),
        31: (Rxattrwalk, "8"),
        32: (Txattrcreate, "4s84"),
        33: (Rxattrcreate, ""),
        40: (Treaddir, "484"),
        41: (Rreaddir, "d"),
        50: (Tfsync, "44"),
        51: (Rfsync, ""),
        52: (Tlock, "414884s"),
        53: (Rlock, "1"),
        54: (Tgetlock, "41884s"),
        55: (Rgetlock, "1884s"),
        70: (Tlink, "44s"),
        71: (Rlink, ""),
        72: (Tmkdir, "4s44"),
        73: (Rmkdir, "q"),
        74: (Trenameat, "4s4s"),
        75: (Rrenameat, ""),
        76: (Tunlinkat, "4s4"),
        77: (Runlinkat, ""),
        102: (Tlauth, "4ss4"),
        104: (Tlattach, "44ss4"),
    }
)
