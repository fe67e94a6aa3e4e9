"""9P2000.L: directories, links, renames, unlinks."""

from __future__ import annotations

import stat

from garnetlanding.conform.client import Client
from garnetlanding.conform.descriptions import attributes_text, qid_text
from garnetlanding.conform.errors import UnsupportedError, check
from garnetlanding.conform.registry import LINUX_ONLY, case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors

NOT_SUPPORTED = errors.reply_from_errno(errors.EOPNOTSUPP).text


def create_symlink(client: Client, name: str, target: str) -> p9.Qid:
    """Create a symbolic link and return its qid."""
    reply = client.skip_if_unsupported(
        client.request(p9l.Tsymlink(client.walk_to(), name, target, p9l.NOGID))
    )
    return client.expect(p9l.Rsymlink, reply).qid


def rename_across(client: Client, message: p9.Message) -> None:
    """Send a rename across directories, which a server may refuse as such (EXDEV)."""
    reply = client.request(message)
    if is_error(client, reply, errors.EXDEV):
        raise UnsupportedError(NOT_SUPPORTED)
    client.expect(p9l.Rrename if isinstance(message, p9l.Trename) else p9l.Rrenameat, reply)


def is_error(client: Client, reply: p9.Message, number: int) -> bool:
    """Return whether the reply is the error with this number."""
    error = client.error_of(reply)
    return error is not None and error.errno == number


@case("mkdir: a directory", LINUX_ONLY)
def mkdir_makes(client: Client) -> None:
    """Tmkdir: a directory with the name and the permissions is created; Rmkdir has its qid."""
    qid = client.call(p9l.Rmkdir, p9l.Tmkdir(client.walk_to(), "d", 0o750, p9l.NOGID)).qid
    found = client.attributes(client.walk_to("d"))
    check(qid.path == found.qid.path and found.is_dir and found.permissions == 0o750, attributes_text(found))


@case("mkdir: the fid still stands for the parent", LINUX_ONLY)
def mkdir_fid_stays(client: Client) -> None:
    """Tmkdir: dfid is not affected: it still represents the parent directory."""
    fid = client.walk_to()
    client.call(p9l.Rmkdir, p9l.Tmkdir(fid, "d", 0o755, p9l.NOGID))
    client.call(p9l.Rmkdir, p9l.Tmkdir(fid, "e", 0o755, p9l.NOGID))


@case("mkdir(2): a name that is taken", LINUX_ONLY)
def mkdir_existing(client: Client) -> None:
    """Tmkdir: a name that exists, file or directory, is the error EEXIST, as by mkdir(2)."""
    client.create_file("f")
    client.create_directory("d")
    for name in ("f", "d"):
        client.call_expecting_error(p9l.Tmkdir(client.walk_to(), name, 0o755, p9l.NOGID), errors.EEXIST)


@case("mkdir(2): in a directory only", LINUX_ONLY)
def mkdir_in_file(client: Client) -> None:
    """Tmkdir: dfid must be a directory; a file is the error ENOTDIR, as by mkdir(2)."""
    client.create_file("f")
    client.call_expecting_error(p9l.Tmkdir(client.walk_to("f"), "d", 0o755, p9l.NOGID), errors.ENOTDIR)


@case("mkdir(2): names that are none", LINUX_ONLY)
def mkdir_bad_names(client: Client) -> None:
    """Tmkdir: the name is one path element: neither empty nor `.` nor `..`, and without slash."""
    for name in ("", ".", "..", "a/b"):
        client.call_expecting_error(p9l.Tmkdir(client.walk_to(), name, 0o755, p9l.NOGID))


@case("unlinkat: a file", LINUX_ONLY)
def unlinkat_file(client: Client) -> None:
    """Tunlinkat: the entry with the name is removed from the directory dirfd."""
    client.create_file("f")
    client.call(p9l.Runlinkat, p9l.Tunlinkat(client.walk_to(), "f", 0))
    check(not client.exists("f"), "it is still there")


@case("unlinkat(2): a directory goes with AT_REMOVEDIR only", LINUX_ONLY)
def unlinkat_directory(client: Client) -> None:
    """Tunlinkat: a directory is removed only with AT_REMOVEDIR in the flags, as by unlinkat(2)."""
    client.create_directory("d")
    client.call_expecting_error(p9l.Tunlinkat(client.walk_to(), "d", 0), errors.EISDIR, errors.EPERM)
    client.call(p9l.Runlinkat, p9l.Tunlinkat(client.walk_to(), "d", p9l.AT_REMOVEDIR))
    check(not client.exists("d"), "it is still there")


@case("unlinkat(2): AT_REMOVEDIR is for directories", LINUX_ONLY)
def unlinkat_file_as_directory(client: Client) -> None:
    """Tunlinkat: with AT_REMOVEDIR a file is the error ENOTDIR, as by unlinkat(2)."""
    client.create_file("f")
    client.call_expecting_error(p9l.Tunlinkat(client.walk_to(), "f", p9l.AT_REMOVEDIR), errors.ENOTDIR)
    check(client.exists("f"), "it is gone")


@case("unlinkat(2): a directory with something in it stays", LINUX_ONLY)
def unlinkat_full_directory(client: Client) -> None:
    """Tunlinkat: a directory that is not empty is the error ENOTEMPTY or EEXIST, as by rmdir(2)."""
    client.create_directory("d")
    client.create_file("f", b"", 0o644, "d")
    client.call_expecting_error(
        p9l.Tunlinkat(client.walk_to(), "d", p9l.AT_REMOVEDIR), errors.ENOTEMPTY, errors.EEXIST
    )
    check(client.exists("d", "f"), "what was in it is gone")


@case("unlinkat(2): a name that is not there", LINUX_ONLY)
def unlinkat_missing(client: Client) -> None:
    """Tunlinkat: a name that does not exist is the error ENOENT, as by unlinkat(2)."""
    client.call_expecting_error(p9l.Tunlinkat(client.walk_to(), "gone", 0), errors.ENOENT)


@case("unlinkat(2): unknown flags", LINUX_ONLY)
def unlinkat_flags(client: Client) -> None:
    """Tunlinkat: flags other than AT_REMOVEDIR are the error EINVAL, as by unlinkat(2)."""
    client.create_file("f")
    client.call_expecting_error(p9l.Tunlinkat(client.walk_to(), "f", 0x1000), errors.EINVAL)
    check(client.exists("f"), "it is gone")


@case("renameat: within a directory", LINUX_ONLY)
def renameat_within(client: Client) -> None:
    """Trenameat: an entry gets a new name in the same directory."""
    client.create_file("f", b"same")
    fid = client.walk_to()
    client.call(p9l.Rrenameat, p9l.Trenameat(fid, "f", fid, "g"))
    check(not client.exists("f") and client.read_file("g") == b"same", "it is not moved")


@case("renameat: to another directory", LINUX_ONLY)
def renameat_across(client: Client) -> None:
    """Trenameat: an entry moves from olddirfid to newdirfid; a server may refuse (EXDEV)."""
    client.create_directory("d")
    client.create_file("f", b"same")
    rename_across(client, p9l.Trenameat(client.walk_to(), "f", client.walk_to("d"), "g"))
    check(not client.exists("f") and client.read_file("d", "g") == b"same", "it is not moved")


@case("rename: the fid goes with its file", LINUX_ONLY)
def rename_by_fid(client: Client) -> None:
    """Trename: the fid's file moves to the directory dfid, and the fid represents it there."""
    client.create_directory("d")
    fid = client.create_file("f", b"same")
    rename_across(client, p9l.Trename(fid, client.walk_to("d"), "g"))
    client.write(fid, b"after")
    check(client.read_file("d", "g") == b"after", "it does not")


@case("rename: within its directory, by the fid", LINUX_ONLY)
def rename_within(client: Client) -> None:
    """Trename: the file may stay in its directory and change just its name; its fid stays open."""
    fid = client.create_file("f", b"same")
    client.call(p9l.Rrename, p9l.Trename(fid, client.walk_to(), "g"))
    check(client.read(fid) == b"same" and client.exists("g") and not client.exists("f"), "it is not moved")


@case("rename(2): what had the new name is replaced", LINUX_ONLY)
def renameat_replaces(client: Client) -> None:
    """Trenameat: a file that has the new name is replaced, as by rename(2); EEXIST: unsupported."""
    client.create_file("f", b"new")
    client.create_file("g", b"old")
    fid = client.walk_to()
    reply = client.request(p9l.Trenameat(fid, "f", fid, "g"))
    if is_error(client, reply, errors.EEXIST):
        raise UnsupportedError(NOT_SUPPORTED)
    client.expect(p9l.Rrenameat, reply)
    check(client.read_file("g") == b"new" and not client.exists("f"), "it is not")


@case("rename(2): a directory does not replace a file", LINUX_ONLY)
def renameat_directory_over_file(client: Client) -> None:
    """Trenameat: a directory does not replace a file (rename(2): ENOTDIR or EEXIST)."""
    client.create_directory("d")
    client.create_file("f", b"kept")
    fid = client.walk_to()
    client.call_expecting_error(p9l.Trenameat(fid, "d", fid, "f"), errors.ENOTDIR, errors.EEXIST)
    check(client.read_file("f") == b"kept" and client.exists("d"), "it did")


@case("rename(2): a directory does not move below itself", LINUX_ONLY)
def renameat_below_itself(client: Client) -> None:
    """Trenameat: a directory cannot move to a place below itself (rename(2): EINVAL)."""
    client.create_directory("d")
    client.call_expecting_error(p9l.Trenameat(client.walk_to(), "d", client.walk_to("d"), "e"), errors.EINVAL)
    check(client.exists("d"), "it is gone")


@case("rename(2): a name that is not there", LINUX_ONLY)
def renameat_missing(client: Client) -> None:
    """Trenameat: an old name that does not exist is the error ENOENT, as by rename(2)."""
    fid = client.walk_to()
    client.call_expecting_error(p9l.Trenameat(fid, "gone", fid, "g"), errors.ENOENT)


@case("rename: a directory takes along what is in it, also for fids", LINUX_ONLY)
def renameat_directory(client: Client) -> None:
    """Trenameat: a directory moves with its content, and fids of files below it remain valid."""
    client.create_directory("d")
    inside = client.create_file("f", b"inside", 0o644, "d")
    fid = client.walk_to()
    client.call(p9l.Rrenameat, p9l.Trenameat(fid, "d", fid, "e"))
    check(client.read_file("e", "f") == b"inside" and client.read(inside) == b"inside", "it does not")


@case("symlink, readlink: the target as it was given", LINUX_ONLY)
def symlink_target(client: Client) -> None:
    """Tsymlink, Treadlink: the target is kept as it was given; it need not exist."""
    for position, target in enumerate(("f", "../elsewhere", "/absolute/path", "dangling name")):
        create_symlink(client, f"link{position}", target)
        found = client.call(p9l.Rreadlink, p9l.Treadlink(client.walk_to(f"link{position}"))).target
        check(found == target, f"{found!r} for {target!r}")


@case("symlink: its qid and mode say what it is", LINUX_ONLY)
def symlink_type(client: Client) -> None:
    """Tsymlink: the qid of the reply and the mode of the attributes say that it is a link."""
    qid = create_symlink(client, "link", "f")
    found = client.linux_attributes(client.walk_to("link"))
    check(bool(qid.type & p9.QTSYMLINK) and stat.S_ISLNK(found.mode), f"{qid_text(qid)}, mode {found.mode:o}")


@case("symlink(2): a name that is taken", LINUX_ONLY)
def symlink_existing(client: Client) -> None:
    """Tsymlink: a name that exists is the error EEXIST, as by symlink(2)."""
    create_symlink(client, "link", "f")
    client.call_expecting_error(p9l.Tsymlink(client.walk_to(), "link", "g", p9l.NOGID), errors.EEXIST)


@case("symlink: removing it leaves its target", LINUX_ONLY)
def symlink_removed(client: Client) -> None:
    """Tunlinkat: of a symbolic link the link itself is removed, not its target."""
    client.create_file("f", b"kept")
    create_symlink(client, "link", "f")
    client.call(p9l.Runlinkat, p9l.Tunlinkat(client.walk_to(), "link", 0))
    check(client.read_file("f") == b"kept" and not client.exists("link"), "it does not")


@case("readlink(2): of a link only", LINUX_ONLY)
def readlink_of_file(client: Client) -> None:
    """Treadlink: the fid must represent a symbolic link; another file is the error EINVAL."""
    client.create_file("f")
    client.call_expecting_error(p9l.Treadlink(client.walk_to("f")), errors.EINVAL)


@case("link: a further name for the same file", LINUX_ONLY)
def link_same_file(client: Client) -> None:
    """Tlink: the name becomes a further entry for the file of the fid; its link count grows."""
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
    """Tlink: a file remains as long as one entry for it is left."""
    client.create_file("f", b"same")
    client.expect(
        p9l.Rlink,
        client.skip_if_unsupported(client.request(p9l.Tlink(client.walk_to(), client.walk_to("f"), "g"))),
    )
    client.call(p9l.Runlinkat, p9l.Tunlinkat(client.walk_to(), "f", 0))
    check(client.read_file("g") == b"same" and not client.exists("f"), "it is not")


@case("link(2): a name that is taken", LINUX_ONLY)
def link_existing(client: Client) -> None:
    """Tlink: a name that exists is the error EEXIST, as by link(2)."""
    client.create_file("f")
    client.create_file("g")
    client.expect_error(
        client.skip_if_unsupported(client.request(p9l.Tlink(client.walk_to(), client.walk_to("f"), "g"))),
        errors.EEXIST,
    )


@case("link(2): not of a directory", LINUX_ONLY)
def link_directory(client: Client) -> None:
    """Tlink: a directory gets no further entries (link(2): EPERM)."""
    client.create_directory("d")
    client.call_expecting_error(p9l.Tlink(client.walk_to(), client.walk_to("d"), "e"), errors.EPERM)


@case("mknod: a regular file", LINUX_ONLY)
def mknod_regular(client: Client) -> None:
    """Tmknod: with the type of a regular file in the mode a regular file is created."""
    reply = client.request(p9l.Tmknod(client.walk_to(), "f", stat.S_IFREG | 0o644, 0, 0, p9l.NOGID))
    client.expect(p9l.Rmknod, client.skip_if_unsupported(reply))
    check(stat.S_ISREG(client.linux_attributes(client.walk_to("f")).mode), "another kind of file")
