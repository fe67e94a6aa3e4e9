"""9P2000's stat and wstat."""

from __future__ import annotations

from garnetlanding.conform.client import ROOT, Client, check, wstat
from garnetlanding.conform.suite import case, plain
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep.model import DMDIR
from garnetlanding.ninep.stat_format import RawStat


def unchanged(c: Client, before: RawStat, fid: int, *but: str) -> None:
    after = c.raw_stat(fid)
    for field in ("mode", "mtime", "length", "name", "uid", "gid"):
        if field not in but:
            check(getattr(after, field) == getattr(before, field), f"{field} changed")
    check(after.qid.path == before.qid.path, "it is another file")


@case("stat(5): name, length and type", plain)
def stat_fields(c: Client) -> None:
    s = c.raw_stat(c.make("f", b"12345", 0o640))
    check((s.name, s.length, s.mode) == ("f", 5, 0o640), f"{s}")


@case("stat(5): a directory's length is zero, its mode says what it is", plain)
def stat_directory(c: Client) -> None:
    c.make_dir("d")
    s = c.raw_stat(c.at("d"))
    check(s.length == 0 and bool(s.mode & DMDIR) and bool(s.qid.type & p9.QTDIR), f"{s}")


@case("stat(5): the qid is that of the walk", plain)
def stat_qid(c: Client) -> None:
    c.make("f")
    fid = c.new_fid()
    qids = c.must(p9.Rwalk, p9.Twalk(ROOT, fid, (c.scratch, "f"))).qids
    check(c.raw_stat(fid).qid == qids[-1], "another")


@case("stat(5): the upper byte of the mode is the qid's type", plain)
def stat_mode_and_qid(c: Client) -> None:
    for fid in (c.make("f"), c.at()):
        s = c.raw_stat(fid)
        check(s.mode >> 24 == s.qid.type, f"mode {s.mode:#x}, qid type {s.qid.type:#x}")


@case("stat(5): the fid must be one", plain)
def stat_unknown_fid(c: Client) -> None:
    c.fails(p9.Tstat(c.new_fid()))


@case("stat(5): the owner is who created it", plain)
def stat_owner(c: Client) -> None:
    s = c.raw_stat(c.make("f"))
    check(s.uid in (c.options.uname, str(c.options.uid)), f"owner {s.uid!r}")


@case("stat(5): a stat tells the same through every fid", plain)
def stat_same_by_any_fid(c: Client) -> None:
    c.make("f", b"x")
    check(c.raw_stat(c.at("f")) == c.raw_stat(c.at("f")), "two answers differ")


@case("stat(5): a wstat that leaves all alone changes nothing", plain)
def wstat_nothing(c: Client) -> None:
    fid = c.make("f", b"x")
    before = c.raw_stat(fid)
    c.must(p9.Rwstat, p9.Twstat(fid, wstat()))
    unchanged(c, before, fid)


@case("stat(5): a name is changed, and the fid goes with its file", plain)
def wstat_name(c: Client) -> None:
    fid = c.make("f", b"same")
    before = c.raw_stat(fid)
    c.must(p9.Rwstat, p9.Twstat(fid, wstat(name="g")))
    unchanged(c, before, fid, "name", "mtime")
    check(c.raw_stat(fid).name == "g" and not c.exists("f") and c.content("g") == b"same", "it is not moved")


@case("stat(5): a name that another file has is not taken", plain)
def wstat_name_taken(c: Client) -> None:
    fid = c.make("f", b"one")
    c.make("g", b"two")
    c.is_error(c.ask(p9.Twstat(fid, wstat(name="g"))))
    check(c.content("f") == b"one" and c.content("g") == b"two", "something moved")


@case("stat(5): a name has no slash", plain)
def wstat_name_with_slash(c: Client) -> None:
    fid = c.make("f")
    for name in ("a/b", "..", "."):
        c.is_error(c.ask(p9.Twstat(fid, wstat(name=name))))
    check(c.exists("f"), "it is gone")


@case("stat(5): a directory is renamed with what is in it", plain)
def wstat_name_of_directory(c: Client) -> None:
    c.make_dir("d")
    inside = c.make("f", b"inside", 0o644, "d")
    c.must(p9.Rwstat, p9.Twstat(c.at("d"), wstat(name="e")))
    check(c.content("e", "f") == b"inside" and c.read(inside) == b"inside", "it is not")


@case("stat(5): permissions are changed, and nothing else", plain)
def wstat_mode(c: Client) -> None:
    fid = c.make("f", b"x", 0o600)
    before = c.raw_stat(fid)
    c.must(p9.Rwstat, p9.Twstat(fid, wstat(mode=0o640)))
    unchanged(c, before, fid, "mode")
    check(c.raw_stat(fid).mode == 0o640, f"mode {c.raw_stat(fid).mode:o}")


@case("stat(5): the directory bit cannot be changed", plain)
def wstat_directory_bit(c: Client) -> None:
    c.make_dir("d")
    c.is_error(c.ask(p9.Twstat(c.make("f"), wstat(mode=DMDIR | 0o755))))
    c.is_error(c.ask(p9.Twstat(c.at("d"), wstat(mode=0o755))))


@case("stat(5): a shorter length cuts the file", plain)
def wstat_length_cuts(c: Client) -> None:
    fid = c.make("f", b"0123456789")
    c.must(p9.Rwstat, p9.Twstat(fid, wstat(length=4)))
    check(c.content("f") == b"0123", "it was not cut there")


@case("stat(5): a longer length adds zeros", plain)
def wstat_length_adds(c: Client) -> None:
    fid = c.make("f", b"01")
    c.must(p9.Rwstat, p9.Twstat(fid, wstat(length=5)))
    check(c.content("f") == b"01\0\0\0", "it reads otherwise")


@case("stat(5): a directory's length cannot be set", plain)
def wstat_length_of_directory(c: Client) -> None:
    c.is_error(c.ask(p9.Twstat(c.at(), wstat(length=10))))


@case("stat(5): the time of the last change is set", plain)
def wstat_mtime(c: Client) -> None:
    fid = c.make("f")
    c.must(p9.Rwstat, p9.Twstat(fid, wstat(mtime=1234567)))
    check(c.raw_stat(fid).mtime == 1234567, f"mtime {c.raw_stat(fid).mtime}")


@case("stat(5): the owner cannot be changed", plain)
def wstat_owner(c: Client) -> None:
    c.is_error(c.ask(p9.Twstat(c.make("f"), wstat(uid="somebody-else"))))


@case("stat(5): who changed it last cannot be changed", plain)
def wstat_muid(c: Client) -> None:
    c.is_error(c.ask(p9.Twstat(c.make("f"), wstat(muid="somebody-else"))))


@case("stat(5): type and dev cannot be changed", plain)
def wstat_type_and_dev(c: Client) -> None:
    fid = c.make("f")
    c.is_error(c.ask(p9.Twstat(fid, wstat(type=9))))
    c.is_error(c.ask(p9.Twstat(fid, wstat(dev=9))))


@case("stat(5): all of a wstat is done, or nothing", plain)
def wstat_all_or_nothing(c: Client) -> None:
    fid = c.make("f", b"0123456789", 0o600)
    c.make("g")
    before = c.raw_stat(fid)
    c.is_error(c.ask(p9.Twstat(fid, wstat(name="g", length=2, mode=0o777))))
    unchanged(c, before, fid)


@case("stat(5): a stat whose size is not its own is an error", plain)
def wstat_size_wrong(c: Client) -> None:
    fid, good = c.make("f", b"x"), wstat(length=0)
    for bad in (good[:-1], b"\x05\0" + good[2:], good + b"x", b""):
        c.send(p9.Twstat(fid, bad), 70)
        c.is_error(c.wait(70))
    check(c.content("f") == b"x", "it was done")


@case("stat(5): the fid must be one", plain)
def wstat_unknown_fid(c: Client) -> None:
    c.fails(p9.Twstat(c.new_fid(), wstat()))


@case("stat(5): only the owner changes permissions, also through an open fid", plain)
def wstat_through_open_fid(c: Client) -> None:
    fid = c.make("f", b"x", 0o600)
    c.must(p9.Rwstat, p9.Twstat(fid, wstat(mode=0o400)))
    c.write(fid, b"y")
    check(c.content("f") == b"y", "the open fid no longer writes")
