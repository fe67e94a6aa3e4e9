"""9P2000.L: getattr, setattr, statfs, fsync, xattr."""

from __future__ import annotations

import stat

from garnetlanding.conform.client import Client, check
from garnetlanding.conform.suite import case, linux
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors


def setattr(fid: int, valid: int, mode: int = 0, size: int = 0, mtime: int = 0, uid: int = 0) -> p9l.Tsetattr:
    return p9l.Tsetattr(fid, valid, mode, uid, 0, size, 0, 0, mtime, 0)


@case("getattr: type and permissions of a file", linux)
def getattr_file(c: Client) -> None:
    a = c.attributes(c.make("f", b"12345", 0o640))
    check(stat.S_ISREG(a.mode) and stat.S_IMODE(a.mode) == 0o640 and a.size == 5, f"{a}")


@case("getattr: type of a directory", linux)
def getattr_directory(c: Client) -> None:
    a = c.attributes(c.at())
    check(stat.S_ISDIR(a.mode) and a.qid.type == 0x80, f"{a}")


@case("getattr: the basic attributes are told", linux)
def getattr_valid(c: Client) -> None:
    a = c.attributes(c.make("f"))
    check(a.valid & p9l.GETATTR_BASIC == p9l.GETATTR_BASIC, f"valid {a.valid:#x}")


@case("getattr: the owner is who created it", linux)
def getattr_owner(c: Client) -> None:
    a = c.attributes(c.make("f"))
    check(a.uid == c.options.uid, f"owner {a.uid}")


@case("getattr: the fid must be one", linux)
def getattr_unknown_fid(c: Client) -> None:
    c.fails(p9l.Tgetattr(c.new_fid(), p9l.GETATTR_BASIC), errors.EBADF)


@case("setattr: a smaller size cuts", linux)
def setattr_size_cuts(c: Client) -> None:
    c.must(p9l.Rsetattr, setattr(c.make("f", b"0123456789"), p9l.SET_SIZE, size=4))
    check(c.content("f") == b"0123", "it was not cut there")


@case("setattr: a larger size adds zeros", linux)
def setattr_size_adds(c: Client) -> None:
    c.must(p9l.Rsetattr, setattr(c.make("f", b"01"), p9l.SET_SIZE, size=5))
    check(c.content("f") == b"01\0\0\0", "it reads otherwise")


@case("setattr: a directory has no size to set", linux)
def setattr_size_of_directory(c: Client) -> None:
    c.fails(setattr(c.at(), p9l.SET_SIZE, size=5), errors.EISDIR, errors.EINVAL)


@case("setattr: permissions alone", linux)
def setattr_mode(c: Client) -> None:
    fid = c.make("f", b"kept", 0o600)
    c.must(p9l.Rsetattr, setattr(fid, p9l.SET_MODE, mode=0o640))
    a = c.attributes(fid)
    check(stat.S_IMODE(a.mode) == 0o640 and stat.S_ISREG(a.mode) and a.size == 4, f"{a}")


@case("setattr: a given time", linux)
def setattr_mtime(c: Client) -> None:
    fid = c.make("f")
    c.must(p9l.Rsetattr, setattr(fid, p9l.SET_MTIME | p9l.SET_MTIME_TO, mtime=1234567))
    check(c.attributes(fid).mtime_s == 1234567, f"mtime {c.attributes(fid).mtime_s}")


@case("setattr: size and permissions in one", linux)
def setattr_two(c: Client) -> None:
    fid = c.make("f", b"0123456789", 0o600)
    c.must(p9l.Rsetattr, setattr(fid, p9l.SET_SIZE | p9l.SET_MODE, mode=0o640, size=3))
    a = c.attributes(fid)
    check((stat.S_IMODE(a.mode), a.size) == (0o640, 3), f"{a}")


@case("setattr: with nothing valid nothing changes", linux)
def setattr_nothing(c: Client) -> None:
    fid = c.make("f", b"kept", 0o600)
    before = c.attributes(fid)
    c.must(p9l.Rsetattr, setattr(fid, 0, mode=0o777, size=1, mtime=5))
    after = c.attributes(fid)
    check((after.mode, after.size, after.mtime_s) == (before.mode, before.size, before.mtime_s), "it did")


@case("setattr: who is not root does not give files away", linux)
def setattr_owner(c: Client) -> None:
    c.fails(setattr(c.make("f"), p9l.SET_UID, uid=c.options.uid + 1), errors.EPERM, errors.EOPNOTSUPP)


@case("setattr: the fid must be one", linux)
def setattr_unknown_fid(c: Client) -> None:
    c.fails(setattr(c.new_fid(), p9l.SET_MODE), errors.EBADF)


@case("statfs: figures that can be", linux)
def statfs_figures(c: Client) -> None:
    s = c.expect(p9l.Rstatfs, c.supported(c.ask(p9l.Tstatfs(c.at()))))
    check(s.bsize > 0 and s.bfree <= s.blocks and s.bavail <= s.bfree and s.namelen > 0, f"{s}")


@case("fsync: an open file", linux)
def fsync_open_file(c: Client) -> None:
    fid = c.make("f", b"x")
    for data_only in (0, 1):
        c.must(p9l.Rfsync, p9l.Tfsync(fid, data_only))


@case("fsync: the fid must be open", linux)
def fsync_unopened(c: Client) -> None:
    c.make("f")
    c.fails(p9l.Tfsync(c.at("f"), 0), errors.EBADF)


@case("xattrwalk: attributes, or 'not supported'", linux)
def xattrwalk_answered(c: Client) -> None:
    reply = c.ask(p9l.Txattrwalk(c.make("f"), c.new_fid(), "user.none"))
    if not isinstance(reply, p9l.Rxattrwalk):
        c.is_error(reply, errors.EOPNOTSUPP, errors.ENODATA, errors.ENOSYS)
