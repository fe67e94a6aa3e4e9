"""Creating: what comes to be, under which names, open how."""

from __future__ import annotations

from garnetlanding.conform.client import Client, check
from garnetlanding.conform.suite import case, linux, plain
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors
from garnetlanding.ninep.model import DMAPPEND, DMDIR, DMEXCL


def bad_name(c: Client, name: str) -> None:
    c.fails(c.create_message(c.at(), name))


@case("open(5): a file is created and open")
def create_opens(c: Client) -> None:
    fid = c.make("f")
    c.write(fid, b"at once")
    check(c.content("f") == b"at once", "it reads otherwise")


@case("open(5): the fid stands for the new file")
def create_fid_is_file(c: Client) -> None:
    fid = c.make("f")
    check(c.facts(fid).qid.path == c.facts(c.at("f")).qid.path, "it stands for another")


@case("open(5): the answer's qid is the new file's")
def create_tells_qid(c: Client) -> None:
    reply = c.ask(c.create_message(c.at(), "f"))
    qid = c.expect(p9l.Rlcreate, reply).qid if c.linux else c.expect(p9.Rcreate, reply).qid
    check(qid.path == c.facts(c.at("f")).qid.path and not qid.type & p9.QTDIR, f"{qid}")


@case("open(5): a new file is empty")
def create_empty(c: Client) -> None:
    check(c.facts(c.make("f")).length == 0, "it has a length")


@case("open(5): a new file is in its directory")
def create_is_listed(c: Client) -> None:
    c.make("f")
    fid = c.at()
    c.open(fid)
    check([name for name, _ in c.listing(fid)] == ["f"], "it is not listed")


@case("open(5): a name that is taken is not created again")
def create_existing(c: Client) -> None:
    c.make("f", b"first")
    c.fails(c.create_message(c.at(), "f"), errors.EEXIST)
    check(c.content("f") == b"first", "it changed")


@case("open(5): of two who create one name, one does")
def create_race(c: Client) -> None:
    other = c.another()
    mine, theirs = c.at(), other.at()
    tag, their_tag = c.send(c.create_message(mine, "f")), other.send(other.create_message(theirs, "f"))
    replies = [c.wait(tag), other.wait(their_tag)]
    check(sum(c.problem(reply) is None for reply in replies) == 1, "both, or neither, did")
    other.close()


@case("open(5): files are created in directories")
def create_in_file(c: Client) -> None:
    c.make("f")
    c.fails(c.create_message(c.at("f"), "g"), errors.ENOTDIR)


@case("open(5): `.` is not created")
def create_dot(c: Client) -> None:
    bad_name(c, ".")


@case("open(5): `..` is not created")
def create_dotdot(c: Client) -> None:
    bad_name(c, "..")


@case("open(5): a name is not empty")
def create_empty_name(c: Client) -> None:
    bad_name(c, "")


@case("open(5): a name has no slash")
def create_name_with_slash(c: Client) -> None:
    c.make_dir("d")
    bad_name(c, "d/f")


@case("open(5): a name of 200 bytes")
def create_long_name(c: Client) -> None:
    c.make("n" * 200, b"long")
    check(c.content("n" * 200) == b"long", "it reads otherwise")


@case("intro(5): a name in any script")
def create_unicode_name(c: Client) -> None:
    name = "Wörterbuch-日本語-ⴰⵎⴰⵣⵉⵖ"
    c.make(name, b"text")
    fid = c.at()
    c.open(fid)
    check(c.content(name) == b"text" and [n for n, _ in c.listing(fid)] == [name], "another name")


@case("open(5): a name with spaces and marks")
def create_name_with_marks(c: Client) -> None:
    for name in ("with space", "a:b", "semi;colon", "-dash", "tab\there", "...", ".hidden"):
        c.make(name, name.encode())
        check(c.content(name) == name.encode(), f"{name!r} reads otherwise")


@case("open(5): permissions are those asked for, less what the directory keeps from others")
def create_permissions(c: Client) -> None:
    check(c.facts(c.make("f", b"", 0o600)).perm == 0o600, "others")


@case("open(5): created for reading, it is not written")
def create_for_reading(c: Client) -> None:
    fid = c.make("f", access=p9.OREAD)
    c.fails(p9.Twrite(fid, 0, b"x"), errors.EBADF)


@case("open(5): created for writing, it is not read")
def create_for_writing(c: Client) -> None:
    fid = c.make("f", b"x", access=p9.OWRITE)
    c.fails(p9.Tread(fid, 0, 1), errors.EBADF)


@case("open(5): created without permission to write, it is written through the new fid")
def create_read_only_is_written(c: Client) -> None:
    c.write(c.make("f", perm=0o444), b"first")
    check(c.content("f") == b"first", "it reads otherwise")


@case("open(5): the fid must not be open")
def create_on_open_fid(c: Client) -> None:
    fid = c.at()
    c.open(fid)
    c.fails(c.create_message(fid, "f"))


@case("open(5): creating needs permission to write the directory")
def create_denied(c: Client) -> None:
    c.make_dir("d")
    fid = c.at("d")
    c.set_perm(fid, 0o555)
    reply = c.ask(c.create_message(c.at("d"), "f"))
    c.set_perm(fid, 0o755)
    c.is_error(reply, errors.EACCES)
    check(not c.exists("d", "f"), "it was created")


@case("open(5): after a failed create the fid stands for the directory")
def create_failed_fid_stays(c: Client) -> None:
    c.make("f")
    fid = c.at()
    c.is_error(c.ask(c.create_message(fid, "f")))
    check(c.facts(fid).is_dir, "it does not")
    c.expect(p9l.Rlcreate if c.linux else p9.Rcreate, c.ask(c.create_message(fid, "g")))


@case("open(5): DMDIR creates a directory, open for reading", plain)
def create_directory(c: Client) -> None:
    fid = c.at()
    reply = c.must(p9.Rcreate, p9.Tcreate(fid, "d", DMDIR | 0o750, p9.OREAD))
    check(bool(reply.qid.type & p9.QTDIR), "its qid is no directory's")
    check(c.must(p9.Rread, p9.Tread(fid, 0, 1000)).data == b"", "it is not empty")
    check(c.facts(c.at("d")).is_dir, "it is no directory")


@case("open(5): a directory is not created for writing", plain)
def create_directory_for_writing(c: Client) -> None:
    c.fails(p9.Tcreate(c.at(), "d", DMDIR | 0o755, p9.ORDWR))
    check(not c.exists("d"), "it was created")


@case("open(5): a file gets no permission that its directory keeps from others", plain)
def create_masked_by_directory(c: Client) -> None:
    c.make_dir("d", perm=0o750)
    check(c.facts(c.make("f", b"", 0o666, "d")).perm == 0o640, "other permissions")


@case("open(5): what is written to an append-only file goes to its end", plain)
def append_only(c: Client) -> None:
    reply = c.supported(c.ask(p9.Tcreate(fid := c.at(), "log", DMAPPEND | 0o644, p9.ORDWR)))
    check(bool(c.expect(p9.Rcreate, reply).qid.type & p9.QTAPPEND), "its qid does not say append-only")
    c.write(fid, b"one ")
    c.write(fid, b"two", 0)
    check(c.content("log") == b"one two", "it was written elsewhere")


@case("open(5): an append-only file is not truncated", plain)
def append_only_not_truncated(c: Client) -> None:
    c.expect(p9.Rcreate, c.supported(c.ask(p9.Tcreate(fid := c.at(), "log", DMAPPEND | 0o644, p9.ORDWR))))
    c.write(fid, b"kept")
    c.ask(c.open_message(c.at("log"), p9.OWRITE, truncate=True))
    check(c.content("log") == b"kept", "it was")


@case("stat(5): an append-only file says so", plain)
def append_only_in_stat(c: Client) -> None:
    c.expect(p9.Rcreate, c.supported(c.ask(p9.Tcreate(fid := c.at(), "log", DMAPPEND | 0o644, p9.ORDWR))))
    check(bool(c.raw_stat(fid).mode & DMAPPEND), "its mode does not")


@case("open(5): an exclusive-use file is open once", plain)
def exclusive_use(c: Client) -> None:
    c.expect(p9.Rcreate, c.supported(c.ask(p9.Tcreate(c.at(), "lock", DMEXCL | 0o644, p9.ORDWR))))
    other = c.another()
    other.fails(other.open_message(other.at("lock")))
    other.close()


@case("open(5): an exclusive-use file is free once it is clunked", plain)
def exclusive_use_released(c: Client) -> None:
    c.expect(p9.Rcreate, c.supported(c.ask(p9.Tcreate(fid := c.at(), "lock", DMEXCL | 0o644, p9.ORDWR))))
    c.clunk(fid)
    other = c.another()
    other.open(other.at("lock"))
    c.fails(c.open_message(c.at("lock")))
    other.close()


@case("open(5): ORCLOSE in a create removes the file when the fid is clunked", plain)
def create_orclose(c: Client) -> None:
    fid = c.at()
    c.must(p9.Rcreate, p9.Tcreate(fid, "temp", 0o644, p9.ORDWR | p9.ORCLOSE))
    c.write(fid, b"x")
    check(c.exists("temp"), "it is gone before")
    c.clunk(fid)
    check(not c.exists("temp"), "it is still there")


@case("open(2): without O_EXCL a file that is there is opened", linux)
def lcreate_opens_existing(c: Client) -> None:
    c.make("f", b"kept")
    fid = c.at()
    c.must(p9l.Rlcreate, p9l.Tlcreate(fid, "f", p9.ORDWR | p9l.L_CREATE, 0o644, p9l.NOGID))
    check(c.read(fid) == b"kept", "it reads otherwise")


@case("open(2): O_TRUNC in an lcreate empties a file that is there", linux)
def lcreate_truncates(c: Client) -> None:
    c.make("f", b"gone")
    flags = p9.ORDWR | p9l.L_CREATE | p9l.L_TRUNC
    c.must(p9l.Rlcreate, p9l.Tlcreate(c.at(), "f", flags, 0o644, p9l.NOGID))
    check(c.content("f") == b"", "it is not empty")


@case("open(2): O_EXCL fails on a name that is taken", linux)
def lcreate_exclusive(c: Client) -> None:
    c.make("f")
    flags = p9.ORDWR | p9l.L_CREATE | p9l.L_EXCL
    c.fails(p9l.Tlcreate(c.at(), "f", flags, 0o644, p9l.NOGID), errors.EEXIST)
