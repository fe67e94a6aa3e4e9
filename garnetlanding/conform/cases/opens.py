"""Cases for open: modes, permissions, truncation and remove on close."""

from __future__ import annotations

from garnetlanding.conform.client import Client
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import LINUX_ONLY, PLAIN_ONLY, case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors

EBADF = errors.EBADF
MAX_POLLS = 20  # quiet periods within which the server must notice the end of a session


def create_and_open(client: Client, access: int = p9.OREAD, truncate: bool = False) -> int:
    """Create the file `f` with ten digits and return a new fid, open in the given mode."""
    client.clunk(client.create_file("f", b"0123456789"))
    fid = client.walk_to("f")
    client.open(fid, access, truncate)
    return fid


def expect_removed_in_time(client: Client, name: str) -> None:
    """Fail unless the file is removed within MAX_POLLS quiet periods."""
    for _ in range(MAX_POLLS):
        client.drain_replies()
        if not client.exists(name):
            return
    check(False, "the file still exists")


@case("open(5): a file open for reading can be read")
def open_for_reading(client: Client) -> None:
    """open(5): a fid open with OREAD can be read."""
    check(client.read(create_and_open(client)) == b"0123456789", "unexpected file content")


@case("open(5): a file open for reading cannot be written")
def open_for_reading_not_written(client: Client) -> None:
    """write(5): the fid must be open for writing; OREAD does not permit writes."""
    client.call_expecting_error(p9.Twrite(create_and_open(client), 0, b"x"), EBADF)
    check(client.read_file("f") == b"0123456789", "the file was written")


@case("open(5): a file open for writing can be written")
def open_for_writing(client: Client) -> None:
    """open(5): a fid open with OWRITE can be written."""
    client.write(create_and_open(client, p9.OWRITE), b"ab")
    check(client.read_file("f") == b"ab23456789", "unexpected file content")


@case("open(5): a file open for writing cannot be read")
def open_for_writing_not_read(client: Client) -> None:
    """read(5): the fid must be open for reading; OWRITE does not permit reads."""
    client.call_expecting_error(p9.Tread(create_and_open(client, p9.OWRITE), 0, 4), EBADF)


@case("open(5): a file open for reading and writing can be read and written")
def open_for_both(client: Client) -> None:
    """open(5): a fid open with ORDWR can be read and written."""
    fid = create_and_open(client, p9.ORDWR)
    client.write(fid, b"ab")
    check(client.read(fid) == b"ab23456789", "unexpected file content")


@case("open(5): an open fid cannot be opened again")
def open_twice(client: Client) -> None:
    """open(5): it is an error if the fid has already been opened."""
    fid = create_and_open(client)
    client.call_expecting_error(client.open_message(fid), EBADF, errors.EINVAL, errors.EBUSY)


@case("open(5): an unknown fid is an error")
def open_unknown_fid(client: Client) -> None:
    """open(5): the fid must be established; an unknown one is an error."""
    client.call_expecting_error(client.open_message(client.new_fid()), EBADF)


@case("open(5): the reply has the qid of the file")
def open_tells_qid(client: Client) -> None:
    """open(5): the reply's qid is the server's identification of the file that was opened."""
    client.create_file("f")
    fid = client.walk_to("f")
    check(
        client.open(fid).path == client.attributes(client.walk_to("f")).qid.path,
        "the reply has the qid of another file",
    )


@case("open(5): iounit does not exceed msize")
def open_iounit_fits(client: Client) -> None:
    """open(5): iounit is the size guaranteed to fit in one message, or zero, so it cannot exceed msize."""
    client.create_file("f")
    reply = client.request(client.open_message(client.walk_to("f")))
    iounit = (
        client.expect(p9l.Rlopen, reply).iounit if client.linux else client.expect(p9.Ropen, reply).iounit
    )
    check(iounit <= client.msize, f"iounit {iounit}, msize {client.msize}")


@case("open(5): opening for reading requires read permission")
def open_read_denied(client: Client) -> None:
    """open(5): an open for reading requires read permission on the file."""
    client.set_permissions(client.create_file("f", b"x"), 0o200)
    client.call_expecting_error(client.open_message(client.walk_to("f")), errors.EACCES)


@case("open(5): opening for writing requires write permission")
def open_write_denied(client: Client) -> None:
    """open(5): an open for writing, with or without reading, requires write permission on the file."""
    client.set_permissions(client.create_file("f", b"x"), 0o400)
    for access in (p9.OWRITE, p9.ORDWR):
        client.call_expecting_error(client.open_message(client.walk_to("f"), access), errors.EACCES)


@case("open(5): truncation requires write permission, even when opening for reading")
def open_truncate_denied(client: Client) -> None:
    """open(5): OTRUNC requires write permission on the file, even when opening for reading."""
    client.set_permissions(client.create_file("f", b"x"), 0o400)
    client.call_expecting_error(
        client.open_message(client.walk_to("f"), p9.OREAD, truncate=True), errors.EACCES
    )
    check(client.read_file("f") == b"x", "the file was truncated")


@case("open(5): a directory cannot be opened for writing")
def open_directory_for_writing(client: Client) -> None:
    """open(5): it is illegal to open a directory for writing."""
    for access in (p9.OWRITE, p9.ORDWR):
        client.call_expecting_error(client.open_message(client.walk_to(), access), errors.EISDIR)


@case("open(5): a directory cannot be truncated")
def open_directory_truncate(client: Client) -> None:
    """open(5): it is illegal to truncate a directory."""
    client.call_expecting_error(client.open_message(client.walk_to(), p9.OREAD, truncate=True), errors.EISDIR)


@case("open(5): a directory can be opened for reading")
def open_directory(client: Client) -> None:
    """open(5): a directory may be opened for reading; the reply has a directory qid."""
    check(bool(client.open(client.walk_to()).type & p9.QTDIR), "the qid type is not a directory")


@case("open(5): truncation empties the file")
def open_truncates(client: Client) -> None:
    """open(5): with OTRUNC the file is truncated to length zero."""
    fid = create_and_open(client, p9.OWRITE, truncate=True)
    check(client.attributes(fid).length == 0 and client.read_file("f") == b"", "the file is not empty")


@case("open(5): truncation does not change the qid path")
def open_truncate_keeps_file(client: Client) -> None:
    """open(5): truncating changes the content of the file, which remains the same file."""
    client.create_file("f", b"x")
    before = client.attributes(client.walk_to("f")).qid.path
    fid = client.walk_to("f")
    check(client.open(fid, p9.OWRITE, True).path == before, "the qid path changed")


@case("open(5): opening without truncation keeps the content")
def open_keeps_content(client: Client) -> None:
    """open(5): without OTRUNC an open does not change the content."""
    create_and_open(client, p9.ORDWR)
    check(client.read_file("f") == b"0123456789", "the content changed")


@case("read(5): a fid that is not open cannot be read")
def unopened_not_read(client: Client) -> None:
    """read(5): the fid must have been opened before it is read."""
    client.create_file("f", b"x")
    client.call_expecting_error(p9.Tread(client.walk_to("f"), 0, 4), EBADF, errors.EINVAL)


@case("write(5): a fid that is not open cannot be written")
def unopened_not_written(client: Client) -> None:
    """write(5): the fid must have been opened before it is written."""
    client.create_file("f", b"x")
    client.call_expecting_error(p9.Twrite(client.walk_to("f"), 0, b"y"), EBADF, errors.EINVAL)


@case("open(5): writes through one fid are visible through another fid of the file")
def open_by_two_fids(client: Client) -> None:
    """open(5): several fids may be open on one file; writes through one are read through the other."""
    writer = create_and_open(client, p9.ORDWR)
    reader = client.walk_to("f")
    client.open(reader)
    client.write(writer, b"shared")
    check(client.read(reader, 0, 6) == b"shared", "unexpected data through the second fid")


@case("open(5): the attributes of an open fid can be read")
def open_fid_has_attributes(client: Client) -> None:
    """stat(5): a stat requires no special permission and works through an open fid."""
    check(client.attributes(create_and_open(client)).length == 10, "unexpected length")


@case("open(5): a file open for execution can be read and not written", PLAIN_ONLY)
def open_for_execution(client: Client) -> None:
    """open(5): OEXEC permits reading, for execution, and does not permit writes."""
    client.create_file("f", b"run", 0o755)
    fid = client.walk_to("f")
    client.open(fid, p9.OEXEC)
    check(client.read(fid) == b"run", "unexpected file content")
    client.call_expecting_error(p9.Twrite(fid, 0, b"x"))


@case("open(5): opening for execution requires execute permission", PLAIN_ONLY)
def open_execute_denied(client: Client) -> None:
    """open(5): OEXEC requires execute permission on the file."""
    client.create_file("f", b"run", 0o600)
    client.call_expecting_error(client.open_message(client.walk_to("f"), p9.OEXEC))


@case("open(5): ORCLOSE removes the file when the fid is clunked", PLAIN_ONLY)
def orclose_removes_at_clunk(client: Client) -> None:
    """open(5): with ORCLOSE the file is removed when the fid is clunked, and not before."""
    client.create_file("f")
    fid = client.walk_to("f")
    client.call(p9.Ropen, p9.Topen(fid, p9.OREAD | p9.ORCLOSE))
    check(client.exists("f"), "the file was removed before the clunk")
    client.clunk(fid)
    check(not client.exists("f"), "the file still exists")


@case("open(5): ORCLOSE removes the file when the connection is closed", PLAIN_ONLY)
def orclose_removes_at_end(client: Client) -> None:
    """open(5): closing the connection clunks the fid, so ORCLOSE removes the file then as well."""
    client.create_file("f")
    other = client.connect_second_client()
    other.call(p9.Ropen, p9.Topen(other.walk_to("f"), p9.OREAD | p9.ORCLOSE))
    other.close()
    expect_removed_in_time(client, "f")


@case("version(5): ORCLOSE removes the file when Tversion ends the session", PLAIN_ONLY)
def orclose_removes_at_version(client: Client) -> None:
    """version(5): Tversion clunks all fids, so ORCLOSE removes the file then as well."""
    client.create_file("f")
    client.call(p9.Ropen, p9.Topen(client.walk_to("f"), p9.OREAD | p9.ORCLOSE))
    client.negotiate()
    client.attach()
    expect_removed_in_time(client, "f")


@case("open(5): reserved mode bits are an error", PLAIN_ONLY)
def open_mode_unknown(client: Client) -> None:
    """open(5): mode bits other than those listed are reserved and must be zero."""
    client.create_file("f")
    client.call_expecting_error(p9.Topen(client.walk_to("f"), 0x08))


@case("open(2): access mode 3 is invalid", LINUX_ONLY)
def lopen_access_invalid(client: Client) -> None:
    """Tlopen: its flags are those of open(2), which define the access modes 0 to 2 only."""
    client.create_file("f")
    client.call_expecting_error(p9l.Tlopen(client.walk_to("f"), 3), errors.EINVAL)


@case("open(2): O_DIRECTORY rejects files that are not directories", LINUX_ONLY)
def lopen_directory_flag(client: Client) -> None:
    """Tlopen: with O_DIRECTORY the open fails with ENOTDIR unless the file is a directory."""
    client.create_file("f")
    client.call_expecting_error(p9l.Tlopen(client.walk_to("f"), p9l.L_DIRECTORY), errors.ENOTDIR)
    client.call(p9l.Rlopen, p9l.Tlopen(client.walk_to(), p9l.L_DIRECTORY))


@case("open(2): with O_APPEND each write is appended", LINUX_ONLY)
def lopen_append(client: Client) -> None:
    """Tlopen: with O_APPEND each write goes to the end of the file, whatever its offset."""
    client.create_file("f", b"one ")
    fid = client.walk_to("f")
    client.expect(
        p9l.Rlopen, client.skip_if_unsupported(client.request(p9l.Tlopen(fid, p9.OWRITE | p9l.L_APPEND)))
    )
    client.call(p9.Rwrite, p9.Twrite(fid, 0, b"two"))
    check(client.read_file("f") == b"one two", "the data were not appended")


@case("open(2): a symbolic link cannot be opened itself", LINUX_ONLY)
def lopen_symlink(client: Client) -> None:
    """Tlopen: names are resolved by walks, so a symbolic link itself cannot be opened (ELOOP)."""
    client.expect(
        p9l.Rsymlink,
        client.skip_if_unsupported(
            client.request(p9l.Tsymlink(client.walk_to(), "link", "target", p9l.NOGID))
        ),
    )
    client.call_expecting_error(p9l.Tlopen(client.walk_to("link"), 0), errors.ELOOP)
