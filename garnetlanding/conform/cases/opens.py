"""Opening: modes, permissions, truncation, remove on close."""

from __future__ import annotations

from garnetlanding.conform.client import Client, check
from garnetlanding.conform.suite import case, linux, plain
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors

EBADF = errors.EBADF


def opened(c: Client, access: int = p9.OREAD, truncate: bool = False) -> int:
    c.clunk(c.make("f", b"0123456789"))
    fid = c.at("f")
    c.open(fid, access, truncate)
    return fid


@case("open(5): a file open for reading is read")
def open_for_reading(c: Client) -> None:
    check(c.read(opened(c)) == b"0123456789", "it reads otherwise")


@case("open(5): a file open for reading is not written")
def open_for_reading_not_written(c: Client) -> None:
    c.fails(p9.Twrite(opened(c), 0, b"x"), EBADF)
    check(c.content("f") == b"0123456789", "it was written")


@case("open(5): a file open for writing is written")
def open_for_writing(c: Client) -> None:
    c.write(opened(c, p9.OWRITE), b"ab")
    check(c.content("f") == b"ab23456789", "it was not")


@case("open(5): a file open for writing is not read")
def open_for_writing_not_read(c: Client) -> None:
    c.fails(p9.Tread(opened(c, p9.OWRITE), 0, 4), EBADF)


@case("open(5): a file open for both is read and written")
def open_for_both(c: Client) -> None:
    fid = opened(c, p9.ORDWR)
    c.write(fid, b"ab")
    check(c.read(fid) == b"ab23456789", "it reads otherwise")


@case("open(5): an open fid is not opened again")
def open_twice(c: Client) -> None:
    fid = opened(c)
    c.fails(c.open_message(fid), EBADF, errors.EINVAL, errors.EBUSY)


@case("open(5): the fid must be one")
def open_unknown_fid(c: Client) -> None:
    c.fails(c.open_message(c.new_fid()), EBADF)


@case("open(5): the qid is the file's")
def open_tells_qid(c: Client) -> None:
    c.make("f")
    fid = c.at("f")
    check(c.open(fid).path == c.facts(c.at("f")).qid.path, "another file's")


@case("open(5): an iounit is no more than a message holds")
def open_iounit_fits(c: Client) -> None:
    c.make("f")
    reply = c.ask(c.open_message(c.at("f")))
    iounit = c.expect(p9l.Rlopen, reply).iounit if c.linux else c.expect(p9.Ropen, reply).iounit
    check(iounit <= c.msize, f"iounit {iounit}, msize {c.msize}")


@case("open(5): reading needs permission to read")
def open_read_denied(c: Client) -> None:
    c.set_perm(c.make("f", b"x"), 0o200)
    c.fails(c.open_message(c.at("f")), errors.EACCES)


@case("open(5): writing needs permission to write")
def open_write_denied(c: Client) -> None:
    c.set_perm(c.make("f", b"x"), 0o400)
    for access in (p9.OWRITE, p9.ORDWR):
        c.fails(c.open_message(c.at("f"), access), errors.EACCES)


@case("open(5): truncating needs permission to write, also when open for reading")
def open_truncate_denied(c: Client) -> None:
    c.set_perm(c.make("f", b"x"), 0o400)
    c.fails(c.open_message(c.at("f"), p9.OREAD, truncate=True), errors.EACCES)
    check(c.content("f") == b"x", "it was truncated")


@case("open(5): a directory is opened for reading only")
def open_directory_for_writing(c: Client) -> None:
    for access in (p9.OWRITE, p9.ORDWR):
        c.fails(c.open_message(c.at(), access), errors.EISDIR)


@case("open(5): a directory is not truncated")
def open_directory_truncate(c: Client) -> None:
    c.fails(c.open_message(c.at(), p9.OREAD, truncate=True), errors.EISDIR)


@case("open(5): a directory can be opened for reading")
def open_directory(c: Client) -> None:
    check(bool(c.open(c.at()).type & p9.QTDIR), "its qid is no directory's")


@case("open(5): truncating empties the file")
def open_truncates(c: Client) -> None:
    fid = opened(c, p9.OWRITE, truncate=True)
    check(c.facts(fid).length == 0 and c.content("f") == b"", "it is not empty")


@case("open(5): a truncated file is the same file")
def open_truncate_keeps_file(c: Client) -> None:
    c.make("f", b"x")
    before = c.facts(c.at("f")).qid.path
    fid = c.at("f")
    check(c.open(fid, p9.OWRITE, True).path == before, "its qid path changed")


@case("open(5): without truncation the content stays")
def open_keeps_content(c: Client) -> None:
    opened(c, p9.ORDWR)
    check(c.content("f") == b"0123456789", "it changed")


@case("read(5): a fid that is not open is not read")
def unopened_not_read(c: Client) -> None:
    c.make("f", b"x")
    c.fails(p9.Tread(c.at("f"), 0, 4), EBADF, errors.EINVAL)


@case("write(5): a fid that is not open is not written")
def unopened_not_written(c: Client) -> None:
    c.make("f", b"x")
    c.fails(p9.Twrite(c.at("f"), 0, b"y"), EBADF, errors.EINVAL)


@case("open(5): two fids of one file see one content")
def open_by_two_fids(c: Client) -> None:
    one = opened(c, p9.ORDWR)
    two = c.at("f")
    c.open(two)
    c.write(one, b"shared")
    check(c.read(two, 0, 6) == b"shared", "the other fid reads otherwise")


@case("open(5): a fid once opened still tells its attributes")
def open_fid_has_attributes(c: Client) -> None:
    check(c.facts(opened(c)).length == 10, "another length")


@case("open(5): a file open for execution is read", plain)
def open_for_execution(c: Client) -> None:
    c.make("f", b"run", 0o755)
    fid = c.at("f")
    c.open(fid, p9.OEXEC)
    check(c.read(fid) == b"run", "it reads otherwise")
    c.fails(p9.Twrite(fid, 0, b"x"))


@case("open(5): execution needs permission to execute", plain)
def open_execute_denied(c: Client) -> None:
    c.make("f", b"run", 0o600)
    c.fails(c.open_message(c.at("f"), p9.OEXEC))


@case("open(5): ORCLOSE removes the file when the fid is clunked", plain)
def orclose_removes_at_clunk(c: Client) -> None:
    c.make("f")
    fid = c.at("f")
    c.must(p9.Ropen, p9.Topen(fid, p9.OREAD | p9.ORCLOSE))
    check(c.exists("f"), "it is gone before")
    c.clunk(fid)
    check(not c.exists("f"), "it is still there")


@case("open(5): ORCLOSE removes the file when the connection ends", plain)
def orclose_removes_at_end(c: Client) -> None:
    c.make("f")
    other = c.another()
    other.must(p9.Ropen, p9.Topen(other.at("f"), p9.OREAD | p9.ORCLOSE))
    other.close()
    for _ in range(20):
        c.quiet()
        if not c.exists("f"):
            return
    check(False, "it is still there")


@case("version(5): ORCLOSE removes the file when Tversion ends the session", plain)
def orclose_removes_at_version(c: Client) -> None:
    c.make("f")
    c.must(p9.Ropen, p9.Topen(c.at("f"), p9.OREAD | p9.ORCLOSE))
    c.hello()
    c.attach()
    for _ in range(20):
        c.quiet()
        if not c.exists("f"):
            return
    check(False, "it is still there")


@case("open(5): an unknown mode is an error", plain)
def open_mode_unknown(c: Client) -> None:
    c.make("f")
    c.fails(p9.Topen(c.at("f"), 0x08))


@case("open(2): the access mode 3 is none", linux)
def lopen_access_invalid(c: Client) -> None:
    c.make("f")
    c.fails(p9l.Tlopen(c.at("f"), 3), errors.EINVAL)


@case("open(2): O_DIRECTORY opens directories only", linux)
def lopen_directory_flag(c: Client) -> None:
    c.make("f")
    c.fails(p9l.Tlopen(c.at("f"), p9l.L_DIRECTORY), errors.ENOTDIR)
    c.must(p9l.Rlopen, p9l.Tlopen(c.at(), p9l.L_DIRECTORY))


@case("open(2): with O_APPEND each write goes to the end", linux)
def lopen_append(c: Client) -> None:
    c.make("f", b"one ")
    fid = c.at("f")
    c.expect(p9l.Rlopen, c.supported(c.ask(p9l.Tlopen(fid, p9.OWRITE | p9l.L_APPEND))))
    c.must(p9.Rwrite, p9.Twrite(fid, 0, b"two"))
    check(c.content("f") == b"one two", "it was written elsewhere")


@case("open(2): a symbolic link itself is not opened", linux)
def lopen_symlink(c: Client) -> None:
    c.expect(p9l.Rsymlink, c.supported(c.ask(p9l.Tsymlink(c.at(), "link", "target", p9l.NOGID))))
    c.fails(p9l.Tlopen(c.at("link"), 0), errors.ELOOP)
