"""Cases for mkdir, unlinkat, rename, links and mknod in 9P2000.L."""

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
    """Rename across directories; the case is unsupported if the server replies with EXDEV."""
    reply = client.request(message)
    if is_error(client, reply, errors.EXDEV):
        raise UnsupportedError(NOT_SUPPORTED)
    client.expect(p9l.Rrename if isinstance(message, p9l.Trename) else p9l.Rrenameat, reply)


def is_error(client: Client, reply: p9.Message, errno: int) -> bool:
    """Return whether the reply is the error `errno`."""
    error = client.error_of(reply)
    return error is not None and error.errno == errno


@case("mkdir: a directory is created", LINUX_ONLY)
def mkdir_makes(client: Client) -> None:
    """Tmkdir: creates a directory with the name and permissions; Rmkdir has its qid."""
    qid = client.call(p9l.Rmkdir, p9l.Tmkdir(client.walk_to(), "d", 0o750, p9l.NOGID)).qid
    attributes = client.attributes(client.walk_to("d"))
    check(
        qid.path == attributes.qid.path and attributes.is_dir and attributes.permissions == 0o750,
        attributes_text(attributes),
    )


@case("mkdir: the fid remains that of the parent", LINUX_ONLY)
def mkdir_fid_stays(client: Client) -> None:
    """Tmkdir: dfid is not affected: it still represents the parent directory."""
    fid = client.walk_to()
    client.call(p9l.Rmkdir, p9l.Tmkdir(fid, "d", 0o755, p9l.NOGID))
    client.call(p9l.Rmkdir, p9l.Tmkdir(fid, "e", 0o755, p9l.NOGID))


@case("mkdir(2): an existing name is an error", LINUX_ONLY)
def mkdir_existing(client: Client) -> None:
    """Tmkdir: a name that exists, file or directory, yields EEXIST, as by mkdir(2)."""
    client.create_file("f")
    client.create_directory("d")
    for name in ("f", "d"):
        client.call_expecting_error(p9l.Tmkdir(client.walk_to(), name, 0o755, p9l.NOGID), errors.EEXIST)


@case("mkdir(2): the parent must be a directory", LINUX_ONLY)
def mkdir_in_file(client: Client) -> None:
    """Tmkdir: dfid must be a directory; a file yields ENOTDIR, as by mkdir(2)."""
    client.create_file("f")
    client.call_expecting_error(p9l.Tmkdir(client.walk_to("f"), "d", 0o755, p9l.NOGID), errors.ENOTDIR)


@case("mkdir(2): invalid names are an error", LINUX_ONLY)
def mkdir_bad_names(client: Client) -> None:
    """Tmkdir: the name is one path element: not empty, not `.` or `..`, and without a slash."""
    for name in ("", ".", "..", "a/b"):
        client.call_expecting_error(p9l.Tmkdir(client.walk_to(), name, 0o755, p9l.NOGID))


@case("unlinkat: a file is removed", LINUX_ONLY)
def unlinkat_file(client: Client) -> None:
    """Tunlinkat: removes the entry with the name from the directory dirfd."""
    client.create_file("f")
    client.call(p9l.Runlinkat, p9l.Tunlinkat(client.walk_to(), "f", 0))
    check(not client.exists("f"), "the file still exists")


@case("unlinkat(2): removing a directory requires AT_REMOVEDIR", LINUX_ONLY)
def unlinkat_directory(client: Client) -> None:
    """Tunlinkat: a directory is removed only with AT_REMOVEDIR in the flags, as by unlinkat(2)."""
    client.create_directory("d")
    client.call_expecting_error(p9l.Tunlinkat(client.walk_to(), "d", 0), errors.EISDIR, errors.EPERM)
    client.call(p9l.Runlinkat, p9l.Tunlinkat(client.walk_to(), "d", p9l.AT_REMOVEDIR))
    check(not client.exists("d"), "the directory still exists")


@case("unlinkat(2): AT_REMOVEDIR rejects files that are not directories", LINUX_ONLY)
def unlinkat_file_as_directory(client: Client) -> None:
    """Tunlinkat: with AT_REMOVEDIR a file yields ENOTDIR, as by unlinkat(2)."""
    client.create_file("f")
    client.call_expecting_error(p9l.Tunlinkat(client.walk_to(), "f", p9l.AT_REMOVEDIR), errors.ENOTDIR)
    check(client.exists("f"), "the file was removed")


@case("unlinkat(2): a directory that is not empty cannot be removed", LINUX_ONLY)
def unlinkat_full_directory(client: Client) -> None:
    """Tunlinkat: a directory that is not empty yields ENOTEMPTY or EEXIST, as by rmdir(2)."""
    client.create_directory("d")
    client.create_file("f", b"", 0o644, "d")
    client.call_expecting_error(
        p9l.Tunlinkat(client.walk_to(), "d", p9l.AT_REMOVEDIR), errors.ENOTEMPTY, errors.EEXIST
    )
    check(client.exists("d", "f"), "the content of the directory was removed")


@case("unlinkat(2): a missing name is an error", LINUX_ONLY)
def unlinkat_missing(client: Client) -> None:
    """Tunlinkat: a name that does not exist yields ENOENT, as by unlinkat(2)."""
    client.call_expecting_error(p9l.Tunlinkat(client.walk_to(), "gone", 0), errors.ENOENT)


@case("unlinkat(2): unknown flags are an error", LINUX_ONLY)
def unlinkat_flags(client: Client) -> None:
    """Tunlinkat: flags other than AT_REMOVEDIR yield EINVAL, as by unlinkat(2)."""
    client.create_file("f")
    client.call_expecting_error(p9l.Tunlinkat(client.walk_to(), "f", 0x1000), errors.EINVAL)
    check(client.exists("f"), "the file was removed")


@case("renameat: within a directory", LINUX_ONLY)
def renameat_within(client: Client) -> None:
    """Trenameat: an entry gets a new name in the same directory."""
    client.create_file("f", b"same")
    fid = client.walk_to()
    client.call(p9l.Rrenameat, p9l.Trenameat(fid, "f", fid, "g"))
    check(not client.exists("f") and client.read_file("g") == b"same", "the file was not renamed")


@case("renameat: to another directory", LINUX_ONLY)
def renameat_across(client: Client) -> None:
    """Trenameat: an entry moves from olddirfid to newdirfid; a server may reject this with EXDEV."""
    client.create_directory("d")
    client.create_file("f", b"same")
    rename_across(client, p9l.Trenameat(client.walk_to(), "f", client.walk_to("d"), "g"))
    check(not client.exists("f") and client.read_file("d", "g") == b"same", "the file was not renamed")


@case("rename: the fid follows its file", LINUX_ONLY)
def rename_by_fid(client: Client) -> None:
    """Trename: the fid's file moves to the directory dfid, and the fid represents it there."""
    client.create_directory("d")
    fid = client.create_file("f", b"same")
    rename_across(client, p9l.Trename(fid, client.walk_to("d"), "g"))
    client.write(fid, b"after")
    check(client.read_file("d", "g") == b"after", "the fid no longer represents the renamed file")


@case("rename: by fid within a directory", LINUX_ONLY)
def rename_within(client: Client) -> None:
    """Trename: a file may be renamed within its directory; its fid stays open."""
    fid = client.create_file("f", b"same")
    client.call(p9l.Rrename, p9l.Trename(fid, client.walk_to(), "g"))
    check(
        client.read(fid) == b"same" and client.exists("g") and not client.exists("f"),
        "the file was not renamed",
    )


@case("rename(2): an existing file with the new name is replaced", LINUX_ONLY)
def renameat_replaces(client: Client) -> None:
    """Trenameat: replaces an existing file with the new name, as rename(2) does; EEXIST means unsupported."""
    client.create_file("f", b"new")
    client.create_file("g", b"old")
    fid = client.walk_to()
    reply = client.request(p9l.Trenameat(fid, "f", fid, "g"))
    if is_error(client, reply, errors.EEXIST):
        raise UnsupportedError(NOT_SUPPORTED)
    client.expect(p9l.Rrenameat, reply)
    check(client.read_file("g") == b"new" and not client.exists("f"), "the existing file was not replaced")


@case("rename(2): a directory cannot replace a file", LINUX_ONLY)
def renameat_directory_over_file(client: Client) -> None:
    """Trenameat: a directory cannot replace a file (rename(2): ENOTDIR or EEXIST)."""
    client.create_directory("d")
    client.create_file("f", b"kept")
    fid = client.walk_to()
    client.call_expecting_error(p9l.Trenameat(fid, "d", fid, "f"), errors.ENOTDIR, errors.EEXIST)
    check(client.read_file("f") == b"kept" and client.exists("d"), "the directory replaced the file")


@case("rename(2): a directory cannot move into itself", LINUX_ONLY)
def renameat_below_itself(client: Client) -> None:
    """Trenameat: a directory cannot move into itself (rename(2): EINVAL)."""
    client.create_directory("d")
    client.call_expecting_error(p9l.Trenameat(client.walk_to(), "d", client.walk_to("d"), "e"), errors.EINVAL)
    check(client.exists("d"), "the directory no longer exists")


@case("rename(2): a missing old name is an error", LINUX_ONLY)
def renameat_missing(client: Client) -> None:
    """Trenameat: an old name that does not exist yields ENOENT, as by rename(2)."""
    fid = client.walk_to()
    client.call_expecting_error(p9l.Trenameat(fid, "gone", fid, "g"), errors.ENOENT)


@case("rename: a directory moves with its content, and fids below it stay valid", LINUX_ONLY)
def renameat_directory(client: Client) -> None:
    """Trenameat: a directory moves with its content, and fids of files below it remain valid."""
    client.create_directory("d")
    inside = client.create_file("f", b"inside", 0o644, "d")
    fid = client.walk_to()
    client.call(p9l.Rrenameat, p9l.Trenameat(fid, "d", fid, "e"))
    check(
        client.read_file("e", "f") == b"inside" and client.read(inside) == b"inside",
        "unexpected content after the rename",
    )


@case("symlink, readlink: the target is returned unchanged", LINUX_ONLY)
def symlink_target(client: Client) -> None:
    """Tsymlink, Treadlink: the target is stored unchanged; it need not exist."""
    for position, target in enumerate(("f", "../elsewhere", "/absolute/path", "dangling name")):
        create_symlink(client, f"link{position}", target)
        returned = client.call(p9l.Rreadlink, p9l.Treadlink(client.walk_to(f"link{position}"))).target
        check(returned == target, f"target {returned!r} returned for {target!r}")


@case("symlink: qid and mode have the symbolic link type", LINUX_ONLY)
def symlink_type(client: Client) -> None:
    """Tsymlink: the qid in the reply and the mode have the type of a symbolic link."""
    qid = create_symlink(client, "link", "f")
    attributes = client.linux_attributes(client.walk_to("link"))
    check(
        bool(qid.type & p9.QTSYMLINK) and stat.S_ISLNK(attributes.mode),
        f"{qid_text(qid)}, mode {attributes.mode:o}",
    )


@case("symlink(2): an existing name is an error", LINUX_ONLY)
def symlink_existing(client: Client) -> None:
    """Tsymlink: a name that exists yields EEXIST, as by symlink(2)."""
    create_symlink(client, "link", "f")
    client.call_expecting_error(p9l.Tsymlink(client.walk_to(), "link", "g", p9l.NOGID), errors.EEXIST)


@case("symlink: removing a link keeps its target", LINUX_ONLY)
def symlink_removed(client: Client) -> None:
    """Tunlinkat: removes a symbolic link itself, not its target."""
    client.create_file("f", b"kept")
    create_symlink(client, "link", "f")
    client.call(p9l.Runlinkat, p9l.Tunlinkat(client.walk_to(), "link", 0))
    check(
        client.read_file("f") == b"kept" and not client.exists("link"),
        "the target is missing or the link still exists",
    )


@case("readlink(2): the file must be a symbolic link", LINUX_ONLY)
def readlink_of_file(client: Client) -> None:
    """Treadlink: the fid must represent a symbolic link; any other file yields EINVAL."""
    client.create_file("f")
    client.call_expecting_error(p9l.Treadlink(client.walk_to("f")), errors.EINVAL)


@case("link: creates another name for the same file", LINUX_ONLY)
def link_same_file(client: Client) -> None:
    """Tlink: the name becomes another entry for the file of the fid, whose link count increases."""
    client.create_file("f", b"same")
    client.expect(
        p9l.Rlink,
        client.skip_if_unsupported(client.request(p9l.Tlink(client.walk_to(), client.walk_to("f"), "g"))),
    )
    check(
        client.attributes(client.walk_to("f")).qid.path == client.attributes(client.walk_to("g")).qid.path,
        "the names refer to different files",
    )
    check(client.linux_attributes(client.walk_to("f")).nlink == 2, "unexpected link count")


@case("link: a file exists until its last name is removed", LINUX_ONLY)
def link_outlives_name(client: Client) -> None:
    """Tlink: a file exists as long as one entry for it remains."""
    client.create_file("f", b"same")
    client.expect(
        p9l.Rlink,
        client.skip_if_unsupported(client.request(p9l.Tlink(client.walk_to(), client.walk_to("f"), "g"))),
    )
    client.call(p9l.Runlinkat, p9l.Tunlinkat(client.walk_to(), "f", 0))
    check(
        client.read_file("g") == b"same" and not client.exists("f"),
        "the file is missing or the removed name still exists",
    )


@case("link(2): an existing name is an error", LINUX_ONLY)
def link_existing(client: Client) -> None:
    """Tlink: a name that exists yields EEXIST, as by link(2)."""
    client.create_file("f")
    client.create_file("g")
    client.expect_error(
        client.skip_if_unsupported(client.request(p9l.Tlink(client.walk_to(), client.walk_to("f"), "g"))),
        errors.EEXIST,
    )


@case("link(2): a directory cannot be linked", LINUX_ONLY)
def link_directory(client: Client) -> None:
    """Tlink: a directory cannot have further entries (link(2): EPERM)."""
    client.create_directory("d")
    client.call_expecting_error(p9l.Tlink(client.walk_to(), client.walk_to("d"), "e"), errors.EPERM)


@case("mknod: a regular file is created", LINUX_ONLY)
def mknod_regular(client: Client) -> None:
    """Tmknod: creates a regular file if the mode has its type."""
    reply = client.request(p9l.Tmknod(client.walk_to(), "f", stat.S_IFREG | 0o644, 0, 0, p9l.NOGID))
    client.expect(p9l.Rmknod, client.skip_if_unsupported(reply))
    check(
        stat.S_ISREG(client.linux_attributes(client.walk_to("f")).mode), "the new file is not a regular file"
    )
