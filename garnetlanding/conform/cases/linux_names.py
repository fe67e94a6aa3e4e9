"""9P2000.L: directories, links, renames, unlinks."""

from __future__ import annotations

import stat

from garnetlanding.conform.client import Client
from garnetlanding.conform.descriptions import attributes_text, qid_text
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import LINUX_ONLY, case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors


def linked(client: Client, name: str, target: str) -> p9.Qid:
    reply = client.skip_if_unsupported(
        client.request(p9l.Tsymlink(client.walk_to(), name, target, p9l.NOGID))
    )
    return client.expect(p9l.Rsymlink, reply).qid


def moved(client: Client, message: p9.Message) -> None:
    """A rename across directories, where the server has such."""
    reply = client.request(message)
    problem = client.error_of(reply)
    if problem and problem.number == errors.EXDEV:
        client.skip_if_unsupported(linux_error(errors.EOPNOTSUPP))
    client.expect(p9l.Rrename if isinstance(message, p9l.Trename) else p9l.Rrenameat, reply)


def linux_error(number: int) -> p9.Message:
    return p9l.Rlerror(number)


@case("mkdir: a directory", LINUX_ONLY)
def mkdir_makes(client: Client) -> None:
    qid = client.call(p9l.Rmkdir, p9l.Tmkdir(client.walk_to(), "d", 0o750, p9l.NOGID)).qid
    found = client.attributes(client.walk_to("d"))
    check(qid.path == found.qid.path and found.is_dir and found.permissions == 0o750, attributes_text(found))


@case("mkdir: the fid still stands for the parent", LINUX_ONLY)
def mkdir_fid_stays(client: Client) -> None:
    fid = client.walk_to()
    client.call(p9l.Rmkdir, p9l.Tmkdir(fid, "d", 0o755, p9l.NOGID))
    client.call(p9l.Rmkdir, p9l.Tmkdir(fid, "e", 0o755, p9l.NOGID))


@case("mkdir(2): a name that is taken", LINUX_ONLY)
def mkdir_existing(client: Client) -> None:
    client.create_file("f")
    client.create_directory("d")
    for name in ("f", "d"):
        client.call_failing(p9l.Tmkdir(client.walk_to(), name, 0o755, p9l.NOGID), errors.EEXIST)


@case("mkdir(2): in a directory only", LINUX_ONLY)
def mkdir_in_file(client: Client) -> None:
    client.create_file("f")
    client.call_failing(p9l.Tmkdir(client.walk_to("f"), "d", 0o755, p9l.NOGID), errors.ENOTDIR)


@case("mkdir(2): names that are none", LINUX_ONLY)
def mkdir_bad_names(client: Client) -> None:
    for name in ("", ".", "..", "a/b"):
        client.call_failing(p9l.Tmkdir(client.walk_to(), name, 0o755, p9l.NOGID))


@case("unlinkat: a file", LINUX_ONLY)
def unlinkat_file(client: Client) -> None:
    client.create_file("f")
    client.call(p9l.Runlinkat, p9l.Tunlinkat(client.walk_to(), "f", 0))
    check(not client.exists("f"), "it is still there")


@case("unlinkat(2): a directory goes with AT_REMOVEDIR only", LINUX_ONLY)
def unlinkat_directory(client: Client) -> None:
    client.create_directory("d")
    client.call_failing(p9l.Tunlinkat(client.walk_to(), "d", 0), errors.EISDIR, errors.EPERM)
    client.call(p9l.Runlinkat, p9l.Tunlinkat(client.walk_to(), "d", p9l.AT_REMOVEDIR))
    check(not client.exists("d"), "it is still there")


@case("unlinkat(2): AT_REMOVEDIR is for directories", LINUX_ONLY)
def unlinkat_file_as_directory(client: Client) -> None:
    client.create_file("f")
    client.call_failing(p9l.Tunlinkat(client.walk_to(), "f", p9l.AT_REMOVEDIR), errors.ENOTDIR)
    check(client.exists("f"), "it is gone")


@case("unlinkat(2): a directory with something in it stays", LINUX_ONLY)
def unlinkat_full_directory(client: Client) -> None:
    client.create_directory("d")
    client.create_file("f", b"", 0o644, "d")
    client.call_failing(
        p9l.Tunlinkat(client.walk_to(), "d", p9l.AT_REMOVEDIR), errors.ENOTEMPTY, errors.EEXIST
    )
    check(client.exists("d", "f"), "what was in it is gone")


@case("unlinkat(2): a name that is not there", LINUX_ONLY)
def unlinkat_missing(client: Client) -> None:
    client.call_failing(p9l.Tunlinkat(client.walk_to(), "gone", 0), errors.ENOENT)


@case("unlinkat(2): unknown flags", LINUX_ONLY)
def unlinkat_flags(client: Client) -> None:
    client.create_file("f")
    client.call_failing(p9l.Tunlinkat(client.walk_to(), "f", 0x1000), errors.EINVAL)
    check(client.exists("f"), "it is gone")


@case("renameat: within a directory", LINUX_ONLY)
def renameat_within(client: Client) -> None:
    client.create_file("f", b"same")
    fid = client.walk_to()
    client.call(p9l.Rrenameat, p9l.Trenameat(fid, "f", fid, "g"))
    check(not client.exists("f") and client.read_file("g") == b"same", "it is not moved")


@case("renameat: to another directory", LINUX_ONLY)
def renameat_across(client: Client) -> None:
    client.create_directory("d")
    client.create_file("f", b"same")
    moved(client, p9l.Trenameat(client.walk_to(), "f", client.walk_to("d"), "g"))
    check(not client.exists("f") and client.read_file("d", "g") == b"same", "it is not moved")


@case("rename: the fid goes with its file", LINUX_ONLY)
def rename_by_fid(client: Client) -> None:
    client.create_directory("d")
    fid = client.create_file("f", b"same")
    moved(client, p9l.Trename(fid, client.walk_to("d"), "g"))
    client.write(fid, b"after")
    check(client.read_file("d", "g") == b"after", "it does not")


@case("rename: within its directory, by the fid", LINUX_ONLY)
def rename_within(client: Client) -> None:
    fid = client.create_file("f", b"same")
    client.call(p9l.Rrename, p9l.Trename(fid, client.walk_to(), "g"))
    check(client.read(fid) == b"same" and client.exists("g") and not client.exists("f"), "it is not moved")


@case("rename(2): what had the new name is replaced", LINUX_ONLY)
def renameat_replaces(client: Client) -> None:
    client.create_file("f", b"new")
    client.create_file("g", b"old")
    fid = client.walk_to()
    reply = client.request(p9l.Trenameat(fid, "f", fid, "g"))
    problem = client.error_of(reply)
    if problem and problem.number == errors.EEXIST:
        client.skip_if_unsupported(linux_error(errors.EOPNOTSUPP))
    client.expect(p9l.Rrenameat, reply)
    check(client.read_file("g") == b"new" and not client.exists("f"), "it is not")


@case("rename(2): a directory does not replace a file", LINUX_ONLY)
def renameat_directory_over_file(client: Client) -> None:
    client.create_directory("d")
    client.create_file("f", b"kept")
    fid = client.walk_to()
    client.call_failing(p9l.Trenameat(fid, "d", fid, "f"), errors.ENOTDIR, errors.EEXIST)
    check(client.read_file("f") == b"kept" and client.exists("d"), "it did")


@case("rename(2): a directory does not move below itself", LINUX_ONLY)
def renameat_below_itself(client: Client) -> None:
    client.create_directory("d")
    client.call_failing(p9l.Trenameat(client.walk_to(), "d", client.walk_to("d"), "e"), errors.EINVAL)
    check(client.exists("d"), "it is gone")


@case("rename(2): a name that is not there", LINUX_ONLY)
def renameat_missing(client: Client) -> None:
    fid = client.walk_to()
    client.call_failing(p9l.Trenameat(fid, "gone", fid, "g"), errors.ENOENT)


@case("rename: a directory takes along what is in it, also for fids", LINUX_ONLY)
def renameat_directory(client: Client) -> None:
    client.create_directory("d")
    inside = client.create_file("f", b"inside", 0o644, "d")
    fid = client.walk_to()
    client.call(p9l.Rrenameat, p9l.Trenameat(fid, "d", fid, "e"))
    check(client.read_file("e", "f") == b"inside" and client.read(inside) == b"inside", "it does not")


@case("symlink, readlink: the target as it was given", LINUX_ONLY)
def symlink_target(client: Client) -> None:
    for at, target in enumerate(("f", "../elsewhere", "/absolute/path", "dangling name")):
        linked(client, f"link{at}", target)
        got = client.call(p9l.Rreadlink, p9l.Treadlink(client.walk_to(f"link{at}"))).target
        check(got == target, f"{got!r} for {target!r}")


@case("symlink: its qid and mode say what it is", LINUX_ONLY)
def symlink_type(client: Client) -> None:
    qid = linked(client, "link", "f")
    found = client.linux_attributes(client.walk_to("link"))
    check(bool(qid.type & p9.QTSYMLINK) and stat.S_ISLNK(found.mode), f"{qid_text(qid)}, mode {found.mode:o}")


@case("symlink(2): a name that is taken", LINUX_ONLY)
def symlink_existing(client: Client) -> None:
    linked(client, "link", "f")
    client.call_failing(p9l.Tsymlink(client.walk_to(), "link", "g", p9l.NOGID), errors.EEXIST)


@case("symlink: removing it leaves its target", LINUX_ONLY)
def symlink_removed(client: Client) -> None:
    client.create_file("f", b"kept")
    linked(client, "link", "f")
    client.call(p9l.Runlinkat, p9l.Tunlinkat(client.walk_to(), "link", 0))
    check(client.read_file("f") == b"kept" and not client.exists("link"), "it does not")


@case("readlink(2): of a link only", LINUX_ONLY)
def readlink_of_file(client: Client) -> None:
    client.create_file("f")
    client.call_failing(p9l.Treadlink(client.walk_to("f")), errors.EINVAL)


@case("link: a further name for the same file", LINUX_ONLY)
def link_same_file(client: Client) -> None:
    client.create_file("f", b"same")
    client.expect(
        p9l.Rlink,
        client.skip_if_unsupported(client.request(p9l.Tlink(client.walk_to(), client.walk_to("f"), "g"))),
    )
    check(
        client.attributes(client.walk_to("f")).qid.path == client.attributes(client.walk_to("g")).qid.path,
        "another file",
    )
    check(client.linux_attributes(client.walk_to("f")).nlink == 2, "another count of links")


@case("link: while one name is left the file is there", LINUX_ONLY)
def link_outlives_name(client: Client) -> None:
    client.create_file("f", b"same")
    client.expect(
        p9l.Rlink,
        client.skip_if_unsupported(client.request(p9l.Tlink(client.walk_to(), client.walk_to("f"), "g"))),
    )
    client.call(p9l.Runlinkat, p9l.Tunlinkat(client.walk_to(), "f", 0))
    check(client.read_file("g") == b"same" and not client.exists("f"), "it is not")


@case("link(2): a name that is taken", LINUX_ONLY)
def link_existing(client: Client) -> None:
    client.create_file("f")
    client.create_file("g")
    client.expect_error(
        client.skip_if_unsupported(client.request(p9l.Tlink(client.walk_to(), client.walk_to("f"), "g"))),
        errors.EEXIST,
    )


@case("link(2): not of a directory", LINUX_ONLY)
def link_directory(client: Client) -> None:
    client.create_directory("d")
    client.call_failing(p9l.Tlink(client.walk_to(), client.walk_to("d"), "e"), errors.EPERM)


@case("mknod: a regular file", LINUX_ONLY)
def mknod_regular(client: Client) -> None:
    reply = client.request(p9l.Tmknod(client.walk_to(), "f", stat.S_IFREG | 0o644, 0, 0, p9l.NOGID))
    client.expect(p9l.Rmknod, client.skip_if_unsupported(reply))
    check(stat.S_ISREG(client.linux_attributes(client.walk_to("f")).mode), "another kind of file")
