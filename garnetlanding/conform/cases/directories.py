"""Reading directories, in either dialect's form."""

from __future__ import annotations

from garnetlanding.conform.client import Client, check
from garnetlanding.conform.suite import case, linux, plain
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors

NAMES = [f"entry{i:02}" for i in range(30)]


def filled(c: Client) -> int:
    """An open directory with the names in it."""
    c.make_dir("d")
    for name in NAMES:
        c.clunk(c.make(name, b"x", 0o644, "d"))
    fid = c.at("d")
    c.open(fid)
    return fid


@case("read(5), readdir: every entry once")
def directory_lists_all(c: Client) -> None:
    check(sorted(name for name, _ in c.listing(filled(c))) == NAMES, "another listing")


@case("read(5), readdir: small counts list the same")
def directory_in_small_counts(c: Client) -> None:
    fid = filled(c)
    for count in (150, 333):
        check(sorted(name for name, _ in c.listing(fid, count)) == NAMES, f"another listing by {count}")


@case("read(5), readdir: an empty directory has no entries")
def directory_empty(c: Client) -> None:
    c.make_dir("d")
    fid = c.at("d")
    c.open(fid)
    check(c.listing(fid) == [], "entries")


@case("read(5), readdir: the qids are those of a walk")
def directory_qids(c: Client) -> None:
    c.make("f")
    c.make_dir("d")
    fid = c.at()
    c.open(fid)
    for name, qid in c.listing(fid):
        check(c.facts(c.at(name)).qid.path == qid.path, f"{name} has another")


@case("read(5), readdir: from the start again at offset 0")
def directory_again(c: Client) -> None:
    fid = filled(c)
    check(c.listing(fid) == c.listing(fid), "two listings differ")


@case("read(5), readdir: what is created later is in the next listing")
def directory_changes(c: Client) -> None:
    fid = filled(c)
    c.listing(fid)
    c.make("late", b"", 0o644, "d")
    check(sorted(name for name, _ in c.listing(fid)) == sorted([*NAMES, "late"]), "another listing")


@case("read(5), readdir: a count too small for one entry gives none of it")
def directory_count_too_small(c: Client) -> None:
    fid = filled(c)
    reply = c.ask(p9l.Treaddir(fid, 0, 10) if c.linux else p9.Tread(fid, 0, 10))
    if isinstance(reply, p9.Rread | p9l.Rreaddir):
        check(reply.data == b"", "part of an entry")
    else:
        c.is_error(reply, errors.EINVAL)


@case("read(5), readdir: past the end there is nothing")
def directory_past_end(c: Client) -> None:
    fid = filled(c)
    count = c.msize - p9.READ_OVERHEAD
    end = c.entries(fid, count)[-1].cookie
    reply = c.ask(p9l.Treaddir(fid, end, count) if c.linux else p9.Tread(fid, end, count))
    check(isinstance(reply, p9.Rread | p9l.Rreaddir) and reply.data == b"", "entries behind the last")


@case("read(5): whole stats only, whatever the count", plain)
def directory_whole_stats(c: Client) -> None:
    fid = filled(c)
    for count in range(100, 400, 37):
        c.parse(c.must(p9.Rread, p9.Tread(fid, 0, count)).data, 0)


@case("read(5): an offset that no read ended at is an error", plain)
def directory_seek(c: Client) -> None:
    fid = filled(c)
    first = c.must(p9.Rread, p9.Tread(fid, 0, 400)).data
    c.is_error(c.ask(p9.Tread(fid, len(first) - 1, 400)))


@case("read(5): the stats are those of the files", plain)
def directory_stats(c: Client) -> None:
    c.make("f", b"12345", 0o640)
    fid = c.at()
    c.open(fid)
    data = c.must(p9.Rread, p9.Tread(fid, 0, 1000)).data
    check(data == c.must(p9.Rstat, p9.Tstat(c.at("f"))).stat, "another stat")


@case("readdir: an offset continues where that entry ended, also out of order", linux)
def readdir_any_offset(c: Client) -> None:
    fid = filled(c)
    entries = c.entries(fid, 2000)
    for at in (20, 3, 11):
        data = c.must(p9l.Rreaddir, p9l.Treaddir(fid, entries[at].cookie, 1000)).data
        check(c.parse(data, 0)[0].name == entries[at + 1].name, f"it goes on elsewhere behind entry {at}")


@case("readdir: the types tell directories from files", linux)
def readdir_types(c: Client) -> None:
    c.make("f")
    c.make_dir("d")
    fid = c.at()
    c.open(fid)
    kinds = {e.name: e.kind for e in c.entries(fid, 2000)}
    check(kinds.get("f") in (0, 8) and kinds.get("d") in (0, 4), f"{kinds}")


@case("readdir: the fid must be open", linux)
def readdir_unopened(c: Client) -> None:
    c.fails(p9l.Treaddir(c.at(), 0, 1000), errors.EBADF)


@case("readdir: only directories are listed", linux)
def readdir_of_file(c: Client) -> None:
    c.fails(p9l.Treaddir(c.make("f"), 0, 1000), errors.ENOTDIR)


@case("read(5): in 9P2000.L a directory is not read as a file", linux)
def read_of_directory(c: Client) -> None:
    fid = c.at()
    c.open(fid)
    c.fails(p9.Tread(fid, 0, 1000), errors.EISDIR)
