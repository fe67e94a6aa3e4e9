"""Walks: names, partial walks, clones, `..`."""

from __future__ import annotations

from garnetlanding.conform.client import ROOT, Client, check
from garnetlanding.conform.suite import case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import errors

ENOENT, EBADF = errors.ENOENT, errors.EBADF


def walk(c: Client, fid: int, newfid: int, *names: str) -> p9.Message:
    return c.ask(p9.Twalk(fid, newfid, names))


@case("walk(5): one qid for each name")
def walk_to_file(c: Client) -> None:
    c.make_dir("d")
    c.make("f", b"", 0o644, "d")
    qids = c.must(p9.Rwalk, p9.Twalk(c.at(), c.new_fid(), ("d", "f"))).qids
    check(len(qids) == 2 and bool(qids[0].type & p9.QTDIR) and not qids[1].type & p9.QTDIR, f"{qids}")


@case("walk(5): without names newfid stands for the same file")
def walk_clone(c: Client) -> None:
    c.make("f", b"clone")
    fid, copy = c.at("f"), c.new_fid()
    check(c.must(p9.Rwalk, p9.Twalk(fid, copy, ())).qids == (), "qids for no names")
    check(c.facts(copy).qid == c.facts(fid).qid, "the clone is another file")
    c.clunk(fid)
    c.open(copy)
    check(c.read(copy) == b"clone", "the clone reads otherwise")


@case("walk(5): newfid may be fid itself, also without names")
def walk_clone_onto_itself(c: Client) -> None:
    fid = c.at()
    c.expect(p9.Rwalk, walk(c, fid, fid))
    c.facts(fid)


@case("walk(5): with newfid the same, the fid moves")
def walk_moves_fid(c: Client) -> None:
    c.make("f", b"moved")
    fid = c.at()
    c.expect(p9.Rwalk, walk(c, fid, fid, "f"))
    c.open(fid)
    check(c.read(fid) == b"moved", "it stands elsewhere")


@case("walk(5): an error when the first name is missing")
def walk_first_missing(c: Client) -> None:
    c.fails(p9.Twalk(c.at(), c.new_fid(), ("gone",)), ENOENT)


@case("walk(5): after a failed walk newfid is not in use")
def walk_failed_newfid_free(c: Client) -> None:
    c.make("f")
    fid, newfid = c.at(), c.new_fid()
    c.fails(p9.Twalk(fid, newfid, ("gone",)), ENOENT)
    c.fails(p9.Tclunk(newfid), EBADF)
    c.expect(p9.Rwalk, walk(c, fid, newfid, "f"))


@case("walk(5): as many qids as names were found, when not the first is missing")
def walk_partial(c: Client) -> None:
    c.make_dir("d")
    fid, newfid = c.at(), c.new_fid()
    reply = c.expect(p9.Rwalk, walk(c, fid, newfid, "d", "gone", "further"))
    check(len(reply.qids) == 1, f"{len(reply.qids)} qids")
    c.fails(p9.Tclunk(newfid), EBADF)


@case("walk(5): a partial walk leaves fid where it was, also when newfid is the same")
def walk_partial_fid_stays(c: Client) -> None:
    c.make_dir("d")
    c.make("here")
    fid = c.at()
    c.expect(p9.Rwalk, walk(c, fid, fid, "d", "gone"))
    c.expect(p9.Rwalk, walk(c, fid, c.new_fid(), "here"))


@case("walk(5): only directories are walked through")
def walk_through_file(c: Client) -> None:
    c.make("f")
    fid, newfid = c.at(), c.new_fid()
    reply = c.expect(p9.Rwalk, walk(c, fid, newfid, "f", "below"))
    check(len(reply.qids) == 1, f"{len(reply.qids)} qids")
    c.fails(p9.Twalk(c.at("f"), c.new_fid(), ("below",)), errors.ENOTDIR, ENOENT)


@case("walk(5): `..` leads to the parent")
def walk_dotdot(c: Client) -> None:
    c.make_dir("d")
    qids = c.must(p9.Rwalk, p9.Twalk(c.at("d"), c.new_fid(), ("..",))).qids
    check(qids[0].path == c.facts(c.at()).qid.path, "it leads elsewhere")


@case("walk(5): `..` may stand between other names")
def walk_dotdot_between(c: Client) -> None:
    c.make_dir("d")
    c.make("f")
    qids = c.must(p9.Rwalk, p9.Twalk(c.at(), c.new_fid(), ("d", "..", "f"))).qids
    check(len(qids) == 3 and qids[2].path == c.facts(c.at("f")).qid.path, "it leads elsewhere")


@case("walk(5): `..` in the root stays there")
def walk_dotdot_at_root(c: Client) -> None:
    fid = c.new_fid()
    qids = c.must(p9.Rwalk, p9.Twalk(ROOT, fid, ("..", "..", c.scratch))).qids
    check(len(qids) == 3 and qids[0].path == qids[1].path, f"{qids}")
    check(c.facts(fid).qid.path == c.facts(c.at()).qid.path, "it leads elsewhere")


@case("walk(5): sixteen names in one walk")
def walk_sixteen_names(c: Client) -> None:
    names: list[str] = []
    for i in range(15):
        c.make_dir(f"n{i}", *names)
        names.append(f"n{i}")
    c.make("leaf", b"deep", 0o644, *names)
    fid = c.new_fid()
    qids = c.must(p9.Rwalk, p9.Twalk(c.at(), fid, (*names, "leaf"))).qids
    check(len(qids) == 16, f"{len(qids)} qids")
    c.open(fid)
    check(c.read(fid) == b"deep", "another file")


@case("walk(5): no more than sixteen names")
def walk_seventeen_names(c: Client) -> None:
    c.send(p9.Twalk(c.at(), c.new_fid(), ("x",) * 17), 9)
    c.quiet()
    check(c.ended or all(c.problem(m) for m in c.answers(9)), "it was served")


@case("walk(5): newfid must not be in use")
def walk_newfid_in_use(c: Client) -> None:
    c.make("f")
    c.fails(p9.Twalk(c.at(), c.at(), ("f",)))


@case("walk(5): the fid must be one")
def walk_unknown_fid(c: Client) -> None:
    c.fails(p9.Twalk(c.new_fid(), c.new_fid(), ()), EBADF)


@case("walk(5): NOFID is no newfid")
def walk_to_nofid(c: Client) -> None:
    c.fails(p9.Twalk(c.at(), p9.NOFID, ()))


@case("walk(5): the fid must not be open")
def walk_open_fid(c: Client) -> None:
    fid = c.at()
    c.open(fid)
    c.fails(p9.Twalk(fid, c.new_fid(), ()))


@case("walk(5): a name has no slash")
def walk_name_with_slash(c: Client) -> None:
    c.make_dir("d")
    c.make("f", b"", 0o644, "d")
    c.fails(p9.Twalk(c.at(), c.new_fid(), ("d/f",)))


@case("walk(5): a name is not empty")
def walk_empty_name(c: Client) -> None:
    c.fails(p9.Twalk(c.at(), c.new_fid(), ("",)))


@case("intro(5): a file's qid path does not change")
def qid_stays(c: Client) -> None:
    fid = c.make("f")
    before = c.facts(c.at("f")).qid
    c.write(fid, b"changed")
    check(c.facts(c.at("f")).qid.path == before.path, "a write gave it another path")


@case("intro(5): two files have two qid paths")
def qid_differs(c: Client) -> None:
    c.make("f")
    c.make("g")
    check(c.facts(c.at("f")).qid.path != c.facts(c.at("g")).qid.path, "one path for both")


@case("walk(5): names are told apart by case and by every byte")
def walk_names_exact(c: Client) -> None:
    c.make("Name")
    check(not c.exists("name") and not c.exists("Name ") and c.exists("Name"), "names are not exact")


@case("walk(5): a file without search permission on the way is not reached")
def walk_needs_search(c: Client) -> None:
    c.make_dir("d")
    c.make("f", b"", 0o644, "d")
    fid = c.at("d")
    c.set_perm(fid, 0o600)
    reply = walk(c, c.at(), c.new_fid(), "d", "f")
    found = isinstance(reply, p9.Rwalk) and len(reply.qids) == 2
    c.set_perm(fid, 0o755)
    check(not found, "it was reached")
