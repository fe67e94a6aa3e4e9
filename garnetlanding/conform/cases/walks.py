"""Cases for walks: names, partial walks, clones and `..`."""

from __future__ import annotations

from garnetlanding.conform.client import ROOT, Client
from garnetlanding.conform.descriptions import qids_text
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import errors

ENOENT = errors.ENOENT
EBADF = errors.EBADF


def request_walk(client: Client, fid: int, newfid: int, *names: str) -> p9.Message:
    """Send a Twalk and return its reply, which may be an error."""
    return client.request(p9.Twalk(fid, newfid, names))


@case("walk(5): a walk returns one qid for each name")
def walk_to_file(client: Client) -> None:
    """walk(5): a successful walk returns one qid for each element of the path."""
    client.create_directory("d")
    client.create_file("f", b"", 0o644, "d")
    qids = client.call(p9.Rwalk, p9.Twalk(client.walk_to(), client.new_fid(), ("d", "f"))).qids
    check(len(qids) == 2 and bool(qids[0].type & p9.QTDIR) and not qids[1].type & p9.QTDIR, qids_text(qids))


@case("walk(5): a walk without names clones the fid")
def walk_clone(client: Client) -> None:
    """walk(5): with zero names newfid represents the same file as fid, and no qids are returned."""
    client.create_file("f", b"clone")
    fid = client.walk_to("f")
    clone = client.new_fid()
    check(client.call(p9.Rwalk, p9.Twalk(fid, clone, ())).qids == (), "a walk without names returned qids")
    check(client.attributes(clone).qid == client.attributes(fid).qid, "the clone represents another file")
    client.clunk(fid)
    client.open(clone)
    check(client.read(clone) == b"clone", "unexpected file content through the clone")


@case("walk(5): newfid may equal fid, also without names")
def walk_clone_onto_itself(client: Client) -> None:
    """walk(5): newfid may be equal to fid; without names the walk has no effect."""
    fid = client.walk_to()
    client.expect(p9.Rwalk, request_walk(client, fid, fid))
    client.attributes(fid)


@case("walk(5): if newfid equals fid, the fid moves to the file reached")
def walk_moves_fid(client: Client) -> None:
    """walk(5): if newfid is equal to fid, the fid represents the file that the walk reached."""
    client.create_file("f", b"moved")
    fid = client.walk_to()
    client.expect(p9.Rwalk, request_walk(client, fid, fid, "f"))
    client.open(fid)
    check(client.read(fid) == b"moved", "the fid represents another file")


@case("walk(5): a missing first name is an error")
def walk_first_missing(client: Client) -> None:
    """walk(5): if the first element cannot be walked for any reason, Rerror is returned."""
    client.call_expecting_error(p9.Twalk(client.walk_to(), client.new_fid(), ("gone",)), ENOENT)


@case("walk(5): a failed walk does not establish newfid")
def walk_failed_newfid_free(client: Client) -> None:
    """walk(5): newfid is not affected by a walk that fails, and may be used again."""
    client.create_file("f")
    fid = client.walk_to()
    newfid = client.new_fid()
    client.call_expecting_error(p9.Twalk(fid, newfid, ("gone",)), ENOENT)
    client.call_expecting_error(p9.Tclunk(newfid), EBADF)
    client.expect(p9.Rwalk, request_walk(client, fid, newfid, "f"))


@case("walk(5): a walk that fails after the first name returns the qids reached")
def walk_partial(client: Client) -> None:
    """walk(5): if a later element fails, Rwalk has the qids of those before it and newfid stays unused."""
    client.create_directory("d")
    fid = client.walk_to()
    newfid = client.new_fid()
    reply = client.expect(p9.Rwalk, request_walk(client, fid, newfid, "d", "gone", "further"))
    check(len(reply.qids) == 1, f"{len(reply.qids)} qids")
    client.call_expecting_error(p9.Tclunk(newfid), EBADF)


@case("walk(5): a partial walk does not move fid, even if newfid is the same")
def walk_partial_fid_stays(client: Client) -> None:
    """walk(5): a walk that does not reach its last name does not affect fid, even if newfid is the same."""
    client.create_directory("d")
    client.create_file("here")
    fid = client.walk_to()
    client.expect(p9.Rwalk, request_walk(client, fid, fid, "d", "gone"))
    client.expect(p9.Rwalk, request_walk(client, fid, client.new_fid(), "here"))


@case("walk(5): names are looked up in directories only")
def walk_through_file(client: Client) -> None:
    """walk(5): names are looked up in directories only; a walk stops at any other file."""
    client.create_file("f")
    fid = client.walk_to()
    newfid = client.new_fid()
    reply = client.expect(p9.Rwalk, request_walk(client, fid, newfid, "f", "below"))
    check(len(reply.qids) == 1, f"{len(reply.qids)} qids")
    client.call_expecting_error(
        p9.Twalk(client.walk_to("f"), client.new_fid(), ("below",)), errors.ENOTDIR, ENOENT
    )


@case("walk(5): `..` is the parent directory")
def walk_dotdot(client: Client) -> None:
    """walk(5): the name `..` represents the parent directory."""
    client.create_directory("d")
    qids = client.call(p9.Rwalk, p9.Twalk(client.walk_to("d"), client.new_fid(), ("..",))).qids
    check(qids[0].path == client.attributes(client.walk_to()).qid.path, "the walk reached another file")


@case("walk(5): `..` may appear between other names")
def walk_dotdot_between(client: Client) -> None:
    """walk(5): `..` may appear at any position in a walk."""
    client.create_directory("d")
    client.create_file("f")
    qids = client.call(p9.Rwalk, p9.Twalk(client.walk_to(), client.new_fid(), ("d", "..", "f"))).qids
    check(
        len(qids) == 3 and qids[2].path == client.attributes(client.walk_to("f")).qid.path,
        "the walk reached another file",
    )


@case("walk(5): `..` in the root is the root")
def walk_dotdot_at_root(client: Client) -> None:
    """walk(5): a walk of `..` in the root of the server's tree is the same as one with no names."""
    fid = client.new_fid()
    qids = client.call(p9.Rwalk, p9.Twalk(ROOT, fid, ("..", "..", client.scratch_directory))).qids
    check(len(qids) == 3 and qids[0].path == qids[1].path, qids_text(qids))
    check(
        client.attributes(fid).qid.path == client.attributes(client.walk_to()).qid.path,
        "the walk reached another file",
    )


@case("walk(5): a walk may have sixteen names")
def walk_sixteen_names(client: Client) -> None:
    """walk(5): a walk may have up to MAXWELEM names, which is sixteen."""
    names: list[str] = []
    for depth in range(15):
        client.create_directory(f"n{depth}", *names)
        names.append(f"n{depth}")
    client.create_file("leaf", b"deep", 0o644, *names)
    fid = client.new_fid()
    qids = client.call(p9.Rwalk, p9.Twalk(client.walk_to(), fid, (*names, "leaf"))).qids
    check(len(qids) == 16, f"{len(qids)} qids")
    client.open(fid)
    check(client.read(fid) == b"deep", "unexpected file content")


@case("walk(5): a walk has at most sixteen names")
def walk_seventeen_names(client: Client) -> None:
    """walk(5): a maximum of sixteen names may be in one walk message."""
    client.send(p9.Twalk(client.walk_to(), client.new_fid(), ("x",) * 17), 9)
    client.drain_replies()
    check(
        client.server_closed or all(client.error_of(reply) for reply in client.replies_to(9)),
        "a walk of seventeen names was served",
    )


@case("walk(5): newfid must not be in use")
def walk_newfid_in_use(client: Client) -> None:
    """walk(5): newfid must not be in use unless it is the same as fid."""
    client.create_file("f")
    client.call_expecting_error(p9.Twalk(client.walk_to(), client.walk_to(), ("f",)))


@case("walk(5): an unknown fid is an error")
def walk_unknown_fid(client: Client) -> None:
    """walk(5): the fid must be one that an earlier attach or walk has established."""
    client.call_expecting_error(p9.Twalk(client.new_fid(), client.new_fid(), ()), EBADF)


@case("walk(5): NOFID is not a valid newfid")
def walk_to_nofid(client: Client) -> None:
    """attach(5): NOFID is not a valid fid, so a walk cannot establish it either."""
    client.call_expecting_error(p9.Twalk(client.walk_to(), p9.NOFID, ()))


@case("walk(5): an open fid cannot be walked")
def walk_open_fid(client: Client) -> None:
    """walk(5): the fid must not have been opened for I/O by an open or a create."""
    fid = client.walk_to()
    client.open(fid)
    client.call_expecting_error(p9.Twalk(fid, client.new_fid(), ()))


@case("walk(5): a name must not contain a slash")
def walk_name_with_slash(client: Client) -> None:
    """intro(5): a name is one path element: the slash separates elements and is illegal in one."""
    client.create_directory("d")
    client.create_file("f", b"", 0o644, "d")
    client.call_expecting_error(p9.Twalk(client.walk_to(), client.new_fid(), ("d/f",)))


@case("walk(5): a name must not be empty")
def walk_empty_name(client: Client) -> None:
    """intro(5): a name has at least one character; the empty string names no file."""
    client.call_expecting_error(p9.Twalk(client.walk_to(), client.new_fid(), ("",)))


@case("intro(5): the qid path of a file does not change")
def qid_stays(client: Client) -> None:
    """intro(5): the path of a qid is unique to its file among all files; a write does not change it."""
    fid = client.create_file("f")
    before = client.attributes(client.walk_to("f")).qid
    client.write(fid, b"changed")
    check(client.attributes(client.walk_to("f")).qid.path == before.path, "a write changed the qid path")


@case("intro(5): different files have different qid paths")
def qid_differs(client: Client) -> None:
    """intro(5): two files are the same if and only if their qids' paths are the same."""
    client.create_file("f")
    client.create_file("g")
    check(
        client.attributes(client.walk_to("f")).qid.path != client.attributes(client.walk_to("g")).qid.path,
        "two files have the same qid path",
    )


@case("walk(5): names match byte by byte and are case-sensitive")
def walk_names_exact(client: Client) -> None:
    """walk(5): a name matches a file of exactly that name, compared by bytes and case-sensitively."""
    client.create_file("Name")
    check(
        not client.exists("name") and not client.exists("Name ") and client.exists("Name"),
        "a name matched a file with a different name",
    )


@case("walk(5): walking through a directory requires search permission")
def walk_needs_search(client: Client) -> None:
    """walk(5): walking through a directory requires search permission on it."""
    client.create_directory("d")
    client.create_file("f", b"", 0o644, "d")
    fid = client.walk_to("d")
    client.set_permissions(fid, 0o600)
    reply = request_walk(client, client.walk_to(), client.new_fid(), "d", "f")
    found = isinstance(reply, p9.Rwalk) and len(reply.qids) == 2
    client.set_permissions(fid, 0o755)
    check(not found, "the walk succeeded without search permission")
