"""Cases for remove and clunk."""

from __future__ import annotations

from garnetlanding.conform.client import ROOT, Client
from garnetlanding.conform.errors import CaseFailedError, check
from garnetlanding.conform.registry import case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import errors

EBADF = errors.EBADF


@case("remove(5): the file is removed")
def remove_file(client: Client) -> None:
    """remove(5): the file that the fid represents is removed."""
    client.clunk(client.create_file("f"))
    client.remove(client.walk_to("f"))
    check(not client.exists("f"), "the file still exists")


@case("remove(5): an open file can be removed through its fid")
def remove_open_file(client: Client) -> None:
    """remove(5): a fid may be open when its file is removed."""
    client.remove(client.create_file("f", b"x"))
    check(not client.exists("f"), "the file still exists")


@case("remove(5): the fid is clunked")
def remove_clunks(client: Client) -> None:
    """remove(5): a remove clunks the fid."""
    fid = client.create_file("f")
    client.remove(fid)
    client.call_expecting_error(p9.Tclunk(fid), EBADF)


@case("remove(5): the fid is clunked even if the remove fails")
def remove_failed_clunks(client: Client) -> None:
    """remove(5): the fid is clunked even if the remove fails."""
    client.create_directory("d")
    client.create_file("f", b"", 0o644, "d")
    fid = client.walk_to("d")
    client.call_expecting_error(p9.Tremove(fid), errors.ENOTEMPTY, errors.EEXIST)
    client.call_expecting_error(p9.Tclunk(fid), EBADF)


@case("remove(5): a directory that is not empty cannot be removed")
def remove_full_directory(client: Client) -> None:
    """remove(5): a directory that is not empty is not removed."""
    client.create_directory("d")
    client.create_file("f", b"kept", 0o644, "d")
    client.call_expecting_error(p9.Tremove(client.walk_to("d")))
    check(client.read_file("d", "f") == b"kept", "the content of the directory was removed")


@case("remove(5): an empty directory can be removed")
def remove_empty_directory(client: Client) -> None:
    """remove(5): an empty directory can be removed like a file."""
    client.create_directory("d")
    client.remove(client.walk_to("d"))
    check(not client.exists("d"), "the directory still exists")


@case("remove(5): an unknown fid is an error")
def remove_unknown_fid(client: Client) -> None:
    """remove(5): the fid must be established; an unknown one is an error."""
    client.call_expecting_error(p9.Tremove(client.new_fid()), EBADF)


@case("remove(5): removing requires write permission on the directory")
def remove_denied(client: Client) -> None:
    """remove(5): a remove requires write permission on the parent directory."""
    client.create_directory("d")
    client.create_file("f", b"kept", 0o644, "d")
    fid = client.walk_to("d")
    client.set_permissions(fid, 0o555)
    reply = client.request(p9.Tremove(client.walk_to("d", "f")))
    client.set_permissions(fid, 0o755)
    client.expect_error(reply, errors.EACCES)
    check(client.exists("d", "f"), "the file was removed")


@case("remove(5): the root cannot be removed")
def remove_root(client: Client) -> None:
    """remove(5): the root has no parent directory and cannot be removed."""
    fid = client.new_fid()
    client.call(p9.Rwalk, p9.Twalk(ROOT, fid, ()))
    client.call_expecting_error(p9.Tremove(fid))
    client.attributes(ROOT)


@case("remove(5): a removed file is no longer listed")
def remove_is_not_listed(client: Client) -> None:
    """remove(5): a removed file is no longer listed in its directory, and the others still are."""
    client.create_file("f")
    client.create_file("g")
    client.remove(client.walk_to("f"))
    fid = client.walk_to()
    client.open(fid)
    check([name for name, _ in client.list_directory(fid)] == ["g"], "unexpected directory listing")


@case("intro(5): a new file with the name of a removed one has another qid path")
def remove_and_create_again(client: Client) -> None:
    """intro(5): a file created under the name of a removed one gets another qid path."""
    removed_path = client.attributes(client.create_file("f")).qid.path
    client.remove(client.walk_to("f"))
    check(
        client.attributes(client.create_file("f")).qid.path != removed_path,
        "the new file has the qid path of the removed one",
    )


@case("remove(5): a read through another fid of a removed file returns its data or an error")
def remove_while_open(client: Client) -> None:
    """remove(5): reads through other fids of a removed file return its data or an error."""
    client.clunk(client.create_file("f", b"first"))
    fid = client.walk_to("f")
    client.open(fid)
    client.remove(client.walk_to("f"))
    reply = client.request(p9.Tread(fid, 0, 10))
    check(
        client.error_of(reply) is not None or client.expect(p9.Rread, reply).data == b"first",
        "unexpected data",
    )


@case("intro(5): a fid does not move to a new file of the same name")
def fid_stays_with_its_file(client: Client) -> None:
    """intro(5): a fid represents one file; it never moves to a new one of the same name."""
    client.clunk(client.create_file("f", b"first"))
    unopened_fid = client.walk_to("f")
    open_fid = client.walk_to("f")
    client.open(open_fid)
    path = client.attributes(unopened_fid).qid.path
    client.remove(client.walk_to("f"))
    client.create_file("f", b"other")
    reply = client.request(p9.Tread(open_fid, 0, 10))
    check(
        client.error_of(reply) is not None or client.expect(p9.Rread, reply).data == b"first",
        "the fid reads the new file",
    )
    try:
        current_path = client.attributes(unopened_fid).qid.path
    except CaseFailedError:
        return
    check(current_path == path, "the fid has the attributes of the new file")


@case("clunk(5): a clunked fid can be reused")
def clunk_frees(client: Client) -> None:
    """clunk(5): after a clunk the fid is no longer in use and may be used again."""
    fid = client.walk_to()
    client.clunk(fid)
    client.call_expecting_error(p9.Tread(fid, 0, 1), EBADF)
    client.call(p9.Rwalk, p9.Twalk(ROOT, fid, ()))


@case("clunk(5): a fid cannot be clunked twice")
def clunk_twice(client: Client) -> None:
    """clunk(5): after a clunk the fid is unknown, so a second one is an error."""
    fid = client.walk_to()
    client.clunk(fid)
    client.call_expecting_error(p9.Tclunk(fid), EBADF)


@case("clunk(5): an unknown fid is an error")
def clunk_unknown_fid(client: Client) -> None:
    """clunk(5): the fid must be established; an unknown one is an error."""
    client.call_expecting_error(p9.Tclunk(client.new_fid()), EBADF)


@case("clunk(5): written data remain after a clunk")
def clunk_keeps_content(client: Client) -> None:
    """clunk(5): a clunk releases the fid; data written through it remain."""
    client.clunk(client.create_file("f", b"kept"))
    check(client.read_file("f") == b"kept", "unexpected file content")


@case("clunk(5): a clunk does not affect other fids of the file")
def clunk_leaves_others(client: Client) -> None:
    """clunk(5): a clunk releases only its own fid, not others of the same file."""
    client.clunk(client.create_file("f", b"x"))
    clunked_fid = client.walk_to("f")
    kept_fid = client.walk_to("f")
    client.open(clunked_fid)
    client.open(kept_fid)
    client.clunk(clunked_fid)
    check(client.read(kept_fid) == b"x", "unexpected file content")


@case("clunk(5): each read in flight during a clunk gets one reply: its data or an error")
def clunk_with_reads_out(client: Client) -> None:
    """clunk(5): each read in flight when its fid is clunked gets one reply: the correct data or an error."""
    fid = client.create_file("f", b"data")
    tags = range(50, 53)
    for tag in tags:
        client.send(p9.Tread(fid, 0, 4), tag)
    client.send(p9.Tclunk(fid), 60)
    client.expect(p9.Rclunk, client.wait_for_reply(60))
    client.drain_replies()
    for tag in tags:
        replies = client.replies_to(tag)
        check(len(replies) == 1, f"{len(replies)} replies to one read")
        valid = isinstance(replies[0], p9.Rread) and replies[0].data == b"data"
        check(valid or client.error_of(replies[0]) is not None, "unexpected data")


@case("clunk(5): a write sent before a clunk is executed")
def clunk_behind_write(client: Client) -> None:
    """clunk(5): requests that were sent on the fid before the clunk are executed before it."""
    fid = client.create_file("f", b"....")
    client.send(p9.Twrite(fid, 0, b"done"), 50)
    client.send(p9.Tclunk(fid), 51)
    client.expect(p9.Rwrite, client.wait_for_reply(50))
    client.expect(p9.Rclunk, client.wait_for_reply(51))
    check(client.read_file("f") == b"done", "the write was not executed")
