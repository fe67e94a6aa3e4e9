"""Cases for getattr, setattr, statfs, fsync and xattrwalk in 9P2000.L."""

from __future__ import annotations

import stat

from garnetlanding.conform.client import Client
from garnetlanding.conform.descriptions import getattr_text, statfs_text
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import LINUX_ONLY, case
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors


def setattr_message(
    fid: int, valid: int, mode: int = 0, size: int = 0, mtime: int = 0, uid: int = 0
) -> p9l.Tsetattr:
    """Return a Tsetattr for the attributes in `valid`; all other fields are zero unless given."""
    return p9l.Tsetattr(fid, valid, mode, uid, 0, size, 0, 0, mtime, 0)


@case("getattr: type, permissions and size of a file", LINUX_ONLY)
def getattr_file(client: Client) -> None:
    """Rgetattr: mode has the type and permissions as in stat(2), size the length in bytes."""
    attributes = client.linux_attributes(client.create_file("f", b"12345", 0o640))
    check(
        stat.S_ISREG(attributes.mode) and stat.S_IMODE(attributes.mode) == 0o640 and attributes.size == 5,
        getattr_text(attributes),
    )


@case("getattr: type of a directory", LINUX_ONLY)
def getattr_directory(client: Client) -> None:
    """Rgetattr: mode and qid of a directory both have the directory type."""
    attributes = client.linux_attributes(client.walk_to())
    check(stat.S_ISDIR(attributes.mode) and attributes.qid.type == 0x80, getattr_text(attributes))


@case("getattr: the basic attributes are returned", LINUX_ONLY)
def getattr_valid(client: Client) -> None:
    """Rgetattr: valid includes the bits of the basic attributes if these were requested."""
    attributes = client.linux_attributes(client.create_file("f"))
    check(attributes.valid & p9l.GETATTR_BASIC == p9l.GETATTR_BASIC, f"valid {attributes.valid:#x}")


@case("getattr: the owner is the user who created the file", LINUX_ONLY)
def getattr_owner(client: Client) -> None:
    """Rgetattr: uid is the numeric id of the user who created the file."""
    attributes = client.linux_attributes(client.create_file("f"))
    check(attributes.uid == client.options.uid, f"owner {attributes.uid}")


@case("getattr: an unknown fid is an error", LINUX_ONLY)
def getattr_unknown_fid(client: Client) -> None:
    """Tgetattr: the fid must be established; an unknown one yields EBADF."""
    client.call_expecting_error(p9l.Tgetattr(client.new_fid(), p9l.GETATTR_BASIC), errors.EBADF)


@case("setattr: a smaller size truncates the file", LINUX_ONLY)
def setattr_size_cuts(client: Client) -> None:
    """Tsetattr: a smaller size truncates the file."""
    client.call(
        p9l.Rsetattr, setattr_message(client.create_file("f", b"0123456789"), p9l.SETATTR_SIZE, size=4)
    )
    check(client.read_file("f") == b"0123", "the file was not truncated to the size")


@case("setattr: a larger size extends the file with zeros", LINUX_ONLY)
def setattr_size_adds(client: Client) -> None:
    """Tsetattr: a greater size extends the file, with zeros."""
    client.call(p9l.Rsetattr, setattr_message(client.create_file("f", b"01"), p9l.SETATTR_SIZE, size=5))
    check(client.read_file("f") == b"01\0\0\0", "unexpected file content")


@case("setattr: the size of a directory cannot be set", LINUX_ONLY)
def setattr_size_of_directory(client: Client) -> None:
    """Tsetattr: the size of a directory cannot be set (truncate(2): EISDIR or EINVAL)."""
    client.call_expecting_error(
        setattr_message(client.walk_to(), p9l.SETATTR_SIZE, size=5), errors.EISDIR, errors.EINVAL
    )


@case("setattr: permissions can be set alone", LINUX_ONLY)
def setattr_mode(client: Client) -> None:
    """Tsetattr: only the attributes in valid change: setting permissions keeps size and type."""
    fid = client.create_file("f", b"kept", 0o600)
    client.call(p9l.Rsetattr, setattr_message(fid, p9l.SETATTR_MODE, mode=0o640))
    attributes = client.linux_attributes(fid)
    check(
        stat.S_IMODE(attributes.mode) == 0o640 and stat.S_ISREG(attributes.mode) and attributes.size == 4,
        getattr_text(attributes),
    )


@case("setattr: the modification time can be set", LINUX_ONLY)
def setattr_mtime(client: Client) -> None:
    """Tsetattr: with the bits SETATTR_MTIME and SETATTR_MTIME_SET the file gets the given mtime."""
    fid = client.create_file("f")
    client.call(p9l.Rsetattr, setattr_message(fid, p9l.SETATTR_MTIME | p9l.SETATTR_MTIME_SET, mtime=1234567))
    check(client.linux_attributes(fid).mtime_s == 1234567, f"mtime {client.linux_attributes(fid).mtime_s}")


@case("setattr: size and permissions can be set in one request", LINUX_ONLY)
def setattr_two(client: Client) -> None:
    """Tsetattr: several attributes may be set in one request."""
    fid = client.create_file("f", b"0123456789", 0o600)
    client.call(p9l.Rsetattr, setattr_message(fid, p9l.SETATTR_SIZE | p9l.SETATTR_MODE, mode=0o640, size=3))
    attributes = client.linux_attributes(fid)
    check((stat.S_IMODE(attributes.mode), attributes.size) == (0o640, 3), getattr_text(attributes))


@case("setattr: without valid bits no attribute changes", LINUX_ONLY)
def setattr_nothing(client: Client) -> None:
    """Tsetattr: without any bit in valid no attribute changes, whatever the fields contain."""
    fid = client.create_file("f", b"kept", 0o600)
    before = client.linux_attributes(fid)
    client.call(p9l.Rsetattr, setattr_message(fid, 0, mode=0o777, size=1, mtime=5))
    after = client.linux_attributes(fid)
    check(
        (after.mode, after.size, after.mtime_s) == (before.mode, before.size, before.mtime_s),
        "an attribute changed",
    )


@case("setattr: only root may change the owner", LINUX_ONLY)
def setattr_owner(client: Client) -> None:
    """Tsetattr: only root may change the owner of a file (chown(2): EPERM)."""
    client.call_expecting_error(
        setattr_message(client.create_file("f"), p9l.SETATTR_UID, uid=client.options.uid + 1),
        errors.EPERM,
        errors.EOPNOTSUPP,
    )


@case("setattr: an unknown fid is an error", LINUX_ONLY)
def setattr_unknown_fid(client: Client) -> None:
    """Tsetattr: the fid must be established; an unknown one yields EBADF."""
    client.call_expecting_error(setattr_message(client.new_fid(), p9l.SETATTR_MODE), errors.EBADF)


@case("statfs: the block counts are consistent", LINUX_ONLY)
def statfs_figures(client: Client) -> None:
    """Rstatfs: bavail <= bfree <= blocks, as in statfs(2)."""
    reply = client.expect(
        p9l.Rstatfs, client.skip_if_unsupported(client.request(p9l.Tstatfs(client.walk_to())))
    )
    check(
        reply.bsize > 0 and reply.bfree <= reply.blocks and reply.bavail <= reply.bfree and reply.namelen > 0,
        statfs_text(reply),
    )


@case("fsync: an open file can be synced", LINUX_ONLY)
def fsync_open_file(client: Client) -> None:
    """Tfsync: an open file is synced to storage, with or without its metadata (datasync)."""
    fid = client.create_file("f", b"x")
    for datasync in (0, 1):
        client.call(p9l.Rfsync, p9l.Tfsync(fid, datasync))


@case("fsync: the fid must be open", LINUX_ONLY)
def fsync_unopened(client: Client) -> None:
    """Tfsync: the fid must be open (EBADF)."""
    client.create_file("f")
    client.call_expecting_error(p9l.Tfsync(client.walk_to("f"), 0), errors.EBADF)


@case("xattrwalk: the reply is an attribute or a matching error", LINUX_ONLY)
def xattrwalk_answered(client: Client) -> None:
    """Txattrwalk: newfid represents the attribute; a missing or unsupported attribute is an error."""
    reply = client.request(p9l.Txattrwalk(client.create_file("f"), client.new_fid(), "user.none"))
    if not isinstance(reply, p9l.Rxattrwalk):
        client.expect_error(reply, errors.EOPNOTSUPP, errors.ENODATA, errors.ENOSYS)
