"""Removing and clunking: what is gone, and which fids."""

from __future__ import annotations

from garnetlanding.conform.client import ROOT, Client
from garnetlanding.conform.errors import CaseFailedError, check
from garnetlanding.conform.registry import case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import errors

EBADF = errors.EBADF


@case("remove(5): the file is gone")
def remove_file(client: Client) -> None:
    """remove(5): the file that the fid represents is removed."""
    client.clunk(client.create_file("f"))
    client.remove(client.walk_to("f"))
    check(not client.exists("f"), "it is still there")


@case("remove(5): an open file can be removed through its fid")
def remove_open_file(client: Client) -> None:
    """remove(5): a fid may be open when its file is removed."""
    client.remove(client.create_file("f", b"x"))
    check(not client.exists("f"), "it is still there")


@case("remove(5): the fid is clunked")
def remove_clunks(client: Client) -> None:
    """remove(5): a remove clunks the fid."""
    fid = client.create_file("f")
    client.remove(fid)
    client.call_expecting_error(p9.Tclunk(fid), EBADF)


@case("remove(5): the fid is clunked also when the remove fails")
def remove_failed_clunks(client: Client) -> None:
    """remove(5): the fid is clunked even if the remove fails."""
    client.create_directory("d")
    client.create_file("f", b"", 0o644, "d")
    fid = client.walk_to("d")
    client.expect_error(client.request(p9.Tremove(fid)), errors.ENOTEMPTY, errors.EEXIST)
    client.call_expecting_error(p9.Tclunk(fid), EBADF)


@case("remove(5): a directory with something in it stays")
def remove_full_directory(client: Client) -> None:
    """remove(5): a directory that is not empty is not removed."""
    client.create_directory("d")
    client.create_file("f", b"kept", 0o644, "d")
    client.expect_error(client.request(p9.Tremove(client.walk_to("d"))))
    check(client.read_file("d", "f") == b"kept", "what was in it is gone")


@case("remove(5): an empty directory goes")
def remove_empty_directory(client: Client) -> None:
    """remove(5): an empty directory is removed as a file is."""
    client.create_directory("d")
    client.remove(client.walk_to("d"))
    check(not client.exists("d"), "it is still there")


@case("remove(5): the fid must be one")
def remove_unknown_fid(client: Client) -> None:
    """remove(5): the fid must be established; an unknown one is an error."""
    client.call_expecting_error(p9.Tremove(client.new_fid()), EBADF)


@case("remove(5): removing needs permission to write the directory")
def remove_denied(client: Client) -> None:
    """remove(5): a remove needs permission to write in the parent directory."""
    client.create_directory("d")
    client.create_file("f", b"kept", 0o644, "d")
    fid = client.walk_to("d")
    client.set_permissions(fid, 0o555)
    reply = client.request(p9.Tremove(client.walk_to("d", "f")))
    client.set_permissions(fid, 0o755)
    client.expect_error(reply, errors.EACCES)
    check(client.exists("d", "f"), "it is gone")


@case("remove(5): the root stays")
def remove_root(client: Client) -> None:
    """remove(5): the root has no parent to remove it from, so it stays."""
    fid = client.new_fid()
    client.call(p9.Rwalk, p9.Twalk(ROOT, fid, ()))
    client.expect_error(client.request(p9.Tremove(fid)))
    client.attributes(ROOT)


@case("remove(5): its directory no longer lists it")
def remove_is_not_listed(client: Client) -> None:
    """remove(5): a removed file is no entry of its directory any more, and the others are."""
    client.create_file("f")
    client.create_file("g")
    client.remove(client.walk_to("f"))
    fid = client.walk_to()
    client.open(fid)
    check([name for name, _ in client.list_directory(fid)] == ["g"], "another listing")


@case("intro(5): a new file under the old name has another qid path")
def remove_and_create_again(client: Client) -> None:
    """intro(5): a file created under the name of a removed one gets another qid path."""
    first = client.attributes(client.create_file("f")).qid.path
    client.remove(client.walk_to("f"))
    check(client.attributes(client.create_file("f")).qid.path != first, "the same qid path")


@case("remove(5): who has it open reads its bytes, or an error, and no others")
def remove_while_open(client: Client) -> None:
    """remove(5): other fids of a removed file may still read it or get errors, and nothing else."""
    client.clunk(client.create_file("f", b"first"))
    fid = client.walk_to("f")
    client.open(fid)
    client.remove(client.walk_to("f"))
    reply = client.request(p9.Tread(fid, 0, 10))
    check(
        client.error_of(reply) is not None or client.expect(p9.Rread, reply).data == b"first", "other bytes"
    )


@case("intro(5): a fid does not pass to a new file of the same name")
def fid_stays_with_its_file(client: Client) -> None:
    """intro(5): a fid represents one file; it never passes to a new one of the same name."""
    client.clunk(client.create_file("f", b"first"))
    old = client.walk_to("f")
    opened = client.walk_to("f")
    client.open(opened)
    path = client.attributes(old).qid.path
    client.remove(client.walk_to("f"))
    client.create_file("f", b"other")
    reply = client.request(p9.Tread(opened, 0, 10))
    check(
        client.error_of(reply) is not None or client.expect(p9.Rread, reply).data == b"first",
        "the new file's bytes",
    )
    try:
        now = client.attributes(old).qid.path
    except CaseFailedError:
        return
    check(now == path, "the new file's attributes")


@case("clunk(5): the fid is free")
def clunk_frees(client: Client) -> None:
    """clunk(5): after a clunk the fid is no longer in use and may be used again."""
    fid = client.walk_to()
    client.clunk(fid)
    client.call_expecting_error(p9.Tread(fid, 0, 1), EBADF)
    client.call(p9.Rwalk, p9.Twalk(ROOT, fid, ()))


@case("clunk(5): no fid is clunked twice")
def clunk_twice(client: Client) -> None:
    """clunk(5): after a clunk the fid is unknown, so a second one is an error."""
    fid = client.walk_to()
    client.clunk(fid)
    client.call_expecting_error(p9.Tclunk(fid), EBADF)


@case("clunk(5): the fid must be one")
def clunk_unknown_fid(client: Client) -> None:
    """clunk(5): the fid must be established; an unknown one is an error."""
    client.call_expecting_error(p9.Tclunk(client.new_fid()), EBADF)


@case("clunk(5): what is written stays written")
def clunk_keeps_content(client: Client) -> None:
    """clunk(5): a clunk ends the fid; what was written through it remains."""
    client.clunk(client.create_file("f", b"kept"))
    check(client.read_file("f") == b"kept", "it reads otherwise")


@case("clunk(5): other fids of the file stay")
def clunk_leaves_others(client: Client) -> None:
    """clunk(5): a clunk ends only its own fid, not others of the same file."""
    client.clunk(client.create_file("f", b"x"))
    one = client.walk_to("f")
    two = client.walk_to("f")
    client.open(one)
    client.open(two)
    client.clunk(one)
    check(client.read(two) == b"x", "it reads otherwise")


@case("clunk(5): reads still out on the fid are each answered once, ahead of Rclunk or not at all wrong")
def clunk_with_reads_out(client: Client) -> None:
    """clunk(5): reads that a clunk overtakes get one reply each: the right data or an error."""
    fid = client.create_file("f", b"data")
    tags = range(50, 53)
    for tag in tags:
        client.send(p9.Tread(fid, 0, 4), tag)
    client.send(p9.Tclunk(fid), 60)
    client.expect(p9.Rclunk, client.wait_for_reply(60))
    client.drain_replies()
    for tag in tags:
        replies = client.replies_to(tag)
        check(len(replies) == 1, f"{len(replies)} answers to one read")
        right = isinstance(replies[0], p9.Rread) and replies[0].data == b"data"
        check(right or client.error_of(replies[0]) is not None, "other bytes")


@case("clunk(5): a write sent ahead of the clunk is done")
def clunk_behind_write(client: Client) -> None:
    """clunk(5): requests that were sent on the fid before the clunk are done before it."""
    fid = client.create_file("f", b"....")
    client.send(p9.Twrite(fid, 0, b"done"), 50)
    client.send(p9.Tclunk(fid), 51)
    client.expect(p9.Rwrite, client.wait_for_reply(50))
    client.expect(p9.Rclunk, client.wait_for_reply(51))
    check(client.read_file("f") == b"done", "it was not")
