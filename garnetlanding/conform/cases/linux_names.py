"""9P2000.L: directories, links, renames, unlinks."""

from __future__ import annotations

import stat

from garnetlanding.conform.client import Client, check
from garnetlanding.conform.suite import case, linux
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors


def linked(c: Client, name: str, target: str) -> p9.Qid:
    reply = c.supported(c.ask(p9l.Tsymlink(c.at(), name, target, p9l.NOGID)))
    return c.expect(p9l.Rsymlink, reply).qid


def moved(c: Client, message: p9.Message) -> None:
    """A rename across directories, where the server has such."""
    reply = c.ask(message)
    problem = c.problem(reply)
    if problem and problem.number == errors.EXDEV:
        c.supported(linux_error(errors.EOPNOTSUPP))
    c.expect(p9l.Rrename if isinstance(message, p9l.Trename) else p9l.Rrenameat, reply)


def linux_error(number: int) -> p9.Message:
    return p9l.Rlerror(number)


@case("mkdir: a directory", linux)
def mkdir_makes(c: Client) -> None:
    qid = c.must(p9l.Rmkdir, p9l.Tmkdir(c.at(), "d", 0o750, p9l.NOGID)).qid
    facts = c.facts(c.at("d"))
    check(qid.path == facts.qid.path and facts.is_dir and facts.perm == 0o750, f"{facts}")


@case("mkdir: the fid still stands for the parent", linux)
def mkdir_fid_stays(c: Client) -> None:
    fid = c.at()
    c.must(p9l.Rmkdir, p9l.Tmkdir(fid, "d", 0o755, p9l.NOGID))
    c.must(p9l.Rmkdir, p9l.Tmkdir(fid, "e", 0o755, p9l.NOGID))


@case("mkdir(2): a name that is taken", linux)
def mkdir_existing(c: Client) -> None:
    c.make("f")
    c.make_dir("d")
    for name in ("f", "d"):
        c.fails(p9l.Tmkdir(c.at(), name, 0o755, p9l.NOGID), errors.EEXIST)


@case("mkdir(2): in a directory only", linux)
def mkdir_in_file(c: Client) -> None:
    c.make("f")
    c.fails(p9l.Tmkdir(c.at("f"), "d", 0o755, p9l.NOGID), errors.ENOTDIR)


@case("mkdir(2): names that are none", linux)
def mkdir_bad_names(c: Client) -> None:
    for name in ("", ".", "..", "a/b"):
        c.fails(p9l.Tmkdir(c.at(), name, 0o755, p9l.NOGID))


@case("unlinkat: a file", linux)
def unlinkat_file(c: Client) -> None:
    c.make("f")
    c.must(p9l.Runlinkat, p9l.Tunlinkat(c.at(), "f", 0))
    check(not c.exists("f"), "it is still there")


@case("unlinkat(2): a directory goes with AT_REMOVEDIR only", linux)
def unlinkat_directory(c: Client) -> None:
    c.make_dir("d")
    c.fails(p9l.Tunlinkat(c.at(), "d", 0), errors.EISDIR, errors.EPERM)
    c.must(p9l.Runlinkat, p9l.Tunlinkat(c.at(), "d", p9l.AT_REMOVEDIR))
    check(not c.exists("d"), "it is still there")


@case("unlinkat(2): AT_REMOVEDIR is for directories", linux)
def unlinkat_file_as_directory(c: Client) -> None:
    c.make("f")
    c.fails(p9l.Tunlinkat(c.at(), "f", p9l.AT_REMOVEDIR), errors.ENOTDIR)
    check(c.exists("f"), "it is gone")


@case("unlinkat(2): a directory with something in it stays", linux)
def unlinkat_full_directory(c: Client) -> None:
    c.make_dir("d")
    c.make("f", b"", 0o644, "d")
    c.fails(p9l.Tunlinkat(c.at(), "d", p9l.AT_REMOVEDIR), errors.ENOTEMPTY, errors.EEXIST)
    check(c.exists("d", "f"), "what was in it is gone")


@case("unlinkat(2): a name that is not there", linux)
def unlinkat_missing(c: Client) -> None:
    c.fails(p9l.Tunlinkat(c.at(), "gone", 0), errors.ENOENT)


@case("unlinkat(2): unknown flags", linux)
def unlinkat_flags(c: Client) -> None:
    c.make("f")
    c.fails(p9l.Tunlinkat(c.at(), "f", 0x1000), errors.EINVAL)
    check(c.exists("f"), "it is gone")


@case("renameat: within a directory", linux)
def renameat_within(c: Client) -> None:
    c.make("f", b"same")
    fid = c.at()
    c.must(p9l.Rrenameat, p9l.Trenameat(fid, "f", fid, "g"))
    check(not c.exists("f") and c.content("g") == b"same", "it is not moved")


@case("renameat: to another directory", linux)
def renameat_across(c: Client) -> None:
    c.make_dir("d")
    c.make("f", b"same")
    moved(c, p9l.Trenameat(c.at(), "f", c.at("d"), "g"))
    check(not c.exists("f") and c.content("d", "g") == b"same", "it is not moved")


@case("rename: the fid goes with its file", linux)
def rename_by_fid(c: Client) -> None:
    c.make_dir("d")
    fid = c.make("f", b"same")
    moved(c, p9l.Trename(fid, c.at("d"), "g"))
    c.write(fid, b"after")
    check(c.content("d", "g") == b"after", "it does not")


@case("rename: within its directory, by the fid", linux)
def rename_within(c: Client) -> None:
    fid = c.make("f", b"same")
    c.must(p9l.Rrename, p9l.Trename(fid, c.at(), "g"))
    check(c.read(fid) == b"same" and c.exists("g") and not c.exists("f"), "it is not moved")


@case("rename(2): what had the new name is replaced", linux)
def renameat_replaces(c: Client) -> None:
    c.make("f", b"new")
    c.make("g", b"old")
    fid = c.at()
    reply = c.ask(p9l.Trenameat(fid, "f", fid, "g"))
    problem = c.problem(reply)
    if problem and problem.number == errors.EEXIST:
        c.supported(linux_error(errors.EOPNOTSUPP))
    c.expect(p9l.Rrenameat, reply)
    check(c.content("g") == b"new" and not c.exists("f"), "it is not")


@case("rename(2): a directory does not replace a file", linux)
def renameat_directory_over_file(c: Client) -> None:
    c.make_dir("d")
    c.make("f", b"kept")
    fid = c.at()
    c.fails(p9l.Trenameat(fid, "d", fid, "f"), errors.ENOTDIR, errors.EEXIST)
    check(c.content("f") == b"kept" and c.exists("d"), "it did")


@case("rename(2): a directory does not move below itself", linux)
def renameat_below_itself(c: Client) -> None:
    c.make_dir("d")
    c.fails(p9l.Trenameat(c.at(), "d", c.at("d"), "e"), errors.EINVAL)
    check(c.exists("d"), "it is gone")


@case("rename(2): a name that is not there", linux)
def renameat_missing(c: Client) -> None:
    fid = c.at()
    c.fails(p9l.Trenameat(fid, "gone", fid, "g"), errors.ENOENT)


@case("rename: a directory takes along what is in it, also for fids", linux)
def renameat_directory(c: Client) -> None:
    c.make_dir("d")
    inside = c.make("f", b"inside", 0o644, "d")
    fid = c.at()
    c.must(p9l.Rrenameat, p9l.Trenameat(fid, "d", fid, "e"))
    check(c.content("e", "f") == b"inside" and c.read(inside) == b"inside", "it does not")


@case("symlink, readlink: the target as it was given", linux)
def symlink_target(c: Client) -> None:
    for at, target in enumerate(("f", "../elsewhere", "/absolute/path", "dangling name")):
        linked(c, f"link{at}", target)
        got = c.must(p9l.Rreadlink, p9l.Treadlink(c.at(f"link{at}"))).target
        check(got == target, f"{got!r} for {target!r}")


@case("symlink: its qid and mode say what it is", linux)
def symlink_type(c: Client) -> None:
    qid = linked(c, "link", "f")
    a = c.attributes(c.at("link"))
    check(bool(qid.type & p9.QTSYMLINK) and stat.S_ISLNK(a.mode), f"{qid}, mode {a.mode:o}")


@case("symlink(2): a name that is taken", linux)
def symlink_existing(c: Client) -> None:
    linked(c, "link", "f")
    c.fails(p9l.Tsymlink(c.at(), "link", "g", p9l.NOGID), errors.EEXIST)


@case("symlink: removing it leaves its target", linux)
def symlink_removed(c: Client) -> None:
    c.make("f", b"kept")
    linked(c, "link", "f")
    c.must(p9l.Runlinkat, p9l.Tunlinkat(c.at(), "link", 0))
    check(c.content("f") == b"kept" and not c.exists("link"), "it does not")


@case("readlink(2): of a link only", linux)
def readlink_of_file(c: Client) -> None:
    c.make("f")
    c.fails(p9l.Treadlink(c.at("f")), errors.EINVAL)


@case("link: a further name for the same file", linux)
def link_same_file(c: Client) -> None:
    c.make("f", b"same")
    c.expect(p9l.Rlink, c.supported(c.ask(p9l.Tlink(c.at(), c.at("f"), "g"))))
    check(c.facts(c.at("f")).qid.path == c.facts(c.at("g")).qid.path, "another file")
    check(c.attributes(c.at("f")).nlink == 2, "another count of links")


@case("link: while one name is left the file is there", linux)
def link_outlives_name(c: Client) -> None:
    c.make("f", b"same")
    c.expect(p9l.Rlink, c.supported(c.ask(p9l.Tlink(c.at(), c.at("f"), "g"))))
    c.must(p9l.Runlinkat, p9l.Tunlinkat(c.at(), "f", 0))
    check(c.content("g") == b"same" and not c.exists("f"), "it is not")


@case("link(2): a name that is taken", linux)
def link_existing(c: Client) -> None:
    c.make("f")
    c.make("g")
    c.is_error(c.supported(c.ask(p9l.Tlink(c.at(), c.at("f"), "g"))), errors.EEXIST)


@case("link(2): not of a directory", linux)
def link_directory(c: Client) -> None:
    c.make_dir("d")
    c.fails(p9l.Tlink(c.at(), c.at("d"), "e"), errors.EPERM)


@case("mknod: a regular file", linux)
def mknod_regular(c: Client) -> None:
    reply = c.ask(p9l.Tmknod(c.at(), "f", stat.S_IFREG | 0o644, 0, 0, p9l.NOGID))
    c.expect(p9l.Rmknod, c.supported(reply))
    check(stat.S_ISREG(c.attributes(c.at("f")).mode), "another kind of file")
