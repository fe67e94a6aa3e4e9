"""Removing and clunking: what is gone, and which fids."""

from __future__ import annotations

from garnetlanding.conform.client import ROOT, Client, Failure, check
from garnetlanding.conform.suite import case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import errors

EBADF = errors.EBADF


@case("remove(5): the file is gone")
def remove_file(c: Client) -> None:
    c.clunk(c.make("f"))
    c.remove(c.at("f"))
    check(not c.exists("f"), "it is still there")


@case("remove(5): an open file can be removed through its fid")
def remove_open_file(c: Client) -> None:
    c.remove(c.make("f", b"x"))
    check(not c.exists("f"), "it is still there")


@case("remove(5): the fid is clunked")
def remove_clunks(c: Client) -> None:
    fid = c.make("f")
    c.remove(fid)
    c.fails(p9.Tclunk(fid), EBADF)


@case("remove(5): the fid is clunked also when the remove fails")
def remove_failed_clunks(c: Client) -> None:
    c.make_dir("d")
    c.make("f", b"", 0o644, "d")
    fid = c.at("d")
    c.is_error(c.ask(p9.Tremove(fid)), errors.ENOTEMPTY, errors.EEXIST)
    c.fails(p9.Tclunk(fid), EBADF)


@case("remove(5): a directory with something in it stays")
def remove_full_directory(c: Client) -> None:
    c.make_dir("d")
    c.make("f", b"kept", 0o644, "d")
    c.is_error(c.ask(p9.Tremove(c.at("d"))))
    check(c.content("d", "f") == b"kept", "what was in it is gone")


@case("remove(5): an empty directory goes")
def remove_empty_directory(c: Client) -> None:
    c.make_dir("d")
    c.remove(c.at("d"))
    check(not c.exists("d"), "it is still there")


@case("remove(5): the fid must be one")
def remove_unknown_fid(c: Client) -> None:
    c.fails(p9.Tremove(c.new_fid()), EBADF)


@case("remove(5): removing needs permission to write the directory")
def remove_denied(c: Client) -> None:
    c.make_dir("d")
    c.make("f", b"kept", 0o644, "d")
    fid = c.at("d")
    c.set_perm(fid, 0o555)
    reply = c.ask(p9.Tremove(c.at("d", "f")))
    c.set_perm(fid, 0o755)
    c.is_error(reply, errors.EACCES)
    check(c.exists("d", "f"), "it is gone")


@case("remove(5): the root stays")
def remove_root(c: Client) -> None:
    fid = c.new_fid()
    c.must(p9.Rwalk, p9.Twalk(ROOT, fid, ()))
    c.is_error(c.ask(p9.Tremove(fid)))
    c.facts(ROOT)


@case("remove(5): its directory no longer lists it")
def remove_is_not_listed(c: Client) -> None:
    c.make("f")
    c.make("g")
    c.remove(c.at("f"))
    fid = c.at()
    c.open(fid)
    check([name for name, _ in c.listing(fid)] == ["g"], "another listing")


@case("intro(5): a new file under the old name has another qid path")
def remove_and_create_again(c: Client) -> None:
    first = c.facts(c.make("f")).qid.path
    c.remove(c.at("f"))
    check(c.facts(c.make("f")).qid.path != first, "the same qid path")


@case("remove(5): who has it open reads its bytes, or an error, and no others")
def remove_while_open(c: Client) -> None:
    c.clunk(c.make("f", b"first"))
    fid = c.at("f")
    c.open(fid)
    c.remove(c.at("f"))
    reply = c.ask(p9.Tread(fid, 0, 10))
    check(c.problem(reply) is not None or c.expect(p9.Rread, reply).data == b"first", "other bytes")


@case("intro(5): a fid does not pass to a new file of the same name")
def fid_stays_with_its_file(c: Client) -> None:
    c.clunk(c.make("f", b"first"))
    old, opened = c.at("f"), c.at("f")
    c.open(opened)
    path = c.facts(old).qid.path
    c.remove(c.at("f"))
    c.make("f", b"other")
    reply = c.ask(p9.Tread(opened, 0, 10))
    check(c.problem(reply) is not None or c.expect(p9.Rread, reply).data == b"first", "the new file's bytes")
    try:
        now = c.facts(old).qid.path
    except Failure:
        return
    check(now == path, "the new file's attributes")


@case("clunk(5): the fid is free")
def clunk_frees(c: Client) -> None:
    fid = c.at()
    c.clunk(fid)
    c.fails(p9.Tread(fid, 0, 1), EBADF)
    c.must(p9.Rwalk, p9.Twalk(ROOT, fid, ()))


@case("clunk(5): no fid is clunked twice")
def clunk_twice(c: Client) -> None:
    fid = c.at()
    c.clunk(fid)
    c.fails(p9.Tclunk(fid), EBADF)


@case("clunk(5): the fid must be one")
def clunk_unknown_fid(c: Client) -> None:
    c.fails(p9.Tclunk(c.new_fid()), EBADF)


@case("clunk(5): what is written stays written")
def clunk_keeps_content(c: Client) -> None:
    c.clunk(c.make("f", b"kept"))
    check(c.content("f") == b"kept", "it reads otherwise")


@case("clunk(5): other fids of the file stay")
def clunk_leaves_others(c: Client) -> None:
    c.clunk(c.make("f", b"x"))
    one, two = c.at("f"), c.at("f")
    c.open(one)
    c.open(two)
    c.clunk(one)
    check(c.read(two) == b"x", "it reads otherwise")


@case("clunk(5): reads still out on the fid are each answered once, ahead of Rclunk or not at all wrong")
def clunk_with_reads_out(c: Client) -> None:
    fid = c.make("f", b"data")
    tags = range(50, 53)
    for tag in tags:
        c.send(p9.Tread(fid, 0, 4), tag)
    c.send(p9.Tclunk(fid), 60)
    c.expect(p9.Rclunk, c.wait(60))
    c.quiet()
    for tag in tags:
        replies = c.answers(tag)
        check(len(replies) == 1, f"{len(replies)} answers to one read")
        right = isinstance(replies[0], p9.Rread) and replies[0].data == b"data"
        check(right or c.problem(replies[0]) is not None, "other bytes")


@case("clunk(5): a write sent ahead of the clunk is done")
def clunk_behind_write(c: Client) -> None:
    fid = c.make("f", b"....")
    c.send(p9.Twrite(fid, 0, b"done"), 50)
    c.send(p9.Tclunk(fid), 51)
    c.expect(p9.Rwrite, c.wait(50))
    c.expect(p9.Rclunk, c.wait(51))
    check(c.content("f") == b"done", "it was not")
