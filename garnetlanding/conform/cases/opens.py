"""Opening: modes, permissions, truncation, remove on close."""

from __future__ import annotations

from garnetlanding.conform.client import Client
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import LINUX_ONLY, PLAIN_ONLY, case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors

EBADF = errors.EBADF
MAX_CHECKS = 20  # quiet periods within which the server must notice that a session ended


def create_and_open(client: Client, access: int = p9.OREAD, truncate: bool = False) -> int:
    """Create the file `f` of ten digits and return a fid of its own, opened so."""
    client.clunk(client.create_file("f", b"0123456789"))
    fid = client.walk_to("f")
    client.open(fid, access, truncate)
    return fid


def expect_removed_in_time(client: Client, name: str) -> None:
    """Fail unless the file is removed within some quiet periods."""
    for _ in range(MAX_CHECKS):
        client.drain_replies()
        if not client.exists(name):
            return
    check(False, "it is still there")


@case("open(5): a file open for reading is read")
def open_for_reading(client: Client) -> None:
    """open(5): a fid open with OREAD can be read."""
    check(client.read(create_and_open(client)) == b"0123456789", "it reads otherwise")


@case("open(5): a file open for reading is not written")
def open_for_reading_not_written(client: Client) -> None:
    """write(5): the fid must be open for writing; OREAD permits none."""
    client.call_expecting_error(p9.Twrite(create_and_open(client), 0, b"x"), EBADF)
    check(client.read_file("f") == b"0123456789", "it was written")


@case("open(5): a file open for writing is written")
def open_for_writing(client: Client) -> None:
    """open(5): a fid open with OWRITE can be written."""
    client.write(create_and_open(client, p9.OWRITE), b"ab")
    check(client.read_file("f") == b"ab23456789", "it was not")


@case("open(5): a file open for writing is not read")
def open_for_writing_not_read(client: Client) -> None:
    """read(5): the fid must be open for reading; OWRITE permits none."""
    client.call_expecting_error(p9.Tread(create_and_open(client, p9.OWRITE), 0, 4), EBADF)


@case("open(5): a file open for both is read and written")
def open_for_both(client: Client) -> None:
    """open(5): a fid open with ORDWR can be read and written."""
    fid = create_and_open(client, p9.ORDWR)
    client.write(fid, b"ab")
    check(client.read(fid) == b"ab23456789", "it reads otherwise")


@case("open(5): an open fid is not opened again")
def open_twice(client: Client) -> None:
    """open(5): it is an error if the fid has already been opened."""
    fid = create_and_open(client)
    client.call_expecting_error(client.open_message(fid), EBADF, errors.EINVAL, errors.EBUSY)


@case("open(5): the fid must be one")
def open_unknown_fid(client: Client) -> None:
    """open(5): the fid must be established; an unknown one is an error."""
    client.call_expecting_error(client.open_message(client.new_fid()), EBADF)


@case("open(5): the qid is the file's")
def open_tells_qid(client: Client) -> None:
    """open(5): the reply's qid is the server's identification of the file that was opened."""
    client.create_file("f")
    fid = client.walk_to("f")
    check(client.open(fid).path == client.attributes(client.walk_to("f")).qid.path, "another file's")


@case("open(5): an iounit is no more than a message holds")
def open_iounit_fits(client: Client) -> None:
    """open(5): iounit is what one message can surely carry, or zero, so it is no more than msize."""
    client.create_file("f")
    reply = client.request(client.open_message(client.walk_to("f")))
    iounit = (
        client.expect(p9l.Rlopen, reply).iounit if client.linux else client.expect(p9.Ropen, reply).iounit
    )
    check(iounit <= client.msize, f"iounit {iounit}, msize {client.msize}")


@case("open(5): reading needs permission to read")
def open_read_denied(client: Client) -> None:
    """open(5): an open for reading needs permission to read the file."""
    client.set_permissions(client.create_file("f", b"x"), 0o200)
    client.call_expecting_error(client.open_message(client.walk_to("f")), errors.EACCES)


@case("open(5): writing needs permission to write")
def open_write_denied(client: Client) -> None:
    """open(5): an open for writing, alone or with reading, needs permission to write the file."""
    client.set_permissions(client.create_file("f", b"x"), 0o400)
    for access in (p9.OWRITE, p9.ORDWR):
        client.call_expecting_error(client.open_message(client.walk_to("f"), access), errors.EACCES)


@case("open(5): truncating needs permission to write, also when open for reading")
def open_truncate_denied(client: Client) -> None:
    """open(5): OTRUNC needs permission to write the file, even when it is opened for reading."""
    client.set_permissions(client.create_file("f", b"x"), 0o400)
    client.call_expecting_error(
        client.open_message(client.walk_to("f"), p9.OREAD, truncate=True), errors.EACCES
    )
    check(client.read_file("f") == b"x", "it was truncated")


@case("open(5): a directory is opened for reading only")
def open_directory_for_writing(client: Client) -> None:
    """open(5): it is illegal to open a directory for writing."""
    for access in (p9.OWRITE, p9.ORDWR):
        client.call_expecting_error(client.open_message(client.walk_to(), access), errors.EISDIR)


@case("open(5): a directory is not truncated")
def open_directory_truncate(client: Client) -> None:
    """open(5): it is illegal to truncate a directory."""
    client.call_expecting_error(client.open_message(client.walk_to(), p9.OREAD, truncate=True), errors.EISDIR)


@case("open(5): a directory can be opened for reading")
def open_directory(client: Client) -> None:
    """open(5): a directory may be opened for reading; the reply's qid says that it is one."""
    check(bool(client.open(client.walk_to()).type & p9.QTDIR), "its qid is no directory's")


@case("open(5): truncating empties the file")
def open_truncates(client: Client) -> None:
    """open(5): with OTRUNC the file is truncated to length zero."""
    fid = create_and_open(client, p9.OWRITE, truncate=True)
    check(client.attributes(fid).length == 0 and client.read_file("f") == b"", "it is not empty")


@case("open(5): a truncated file is the same file")
def open_truncate_keeps_file(client: Client) -> None:
    """open(5): truncating changes the content of the file, which remains the same file."""
    client.create_file("f", b"x")
    before = client.attributes(client.walk_to("f")).qid.path
    fid = client.walk_to("f")
    check(client.open(fid, p9.OWRITE, True).path == before, "its qid path changed")


@case("open(5): without truncation the content stays")
def open_keeps_content(client: Client) -> None:
    """open(5): without OTRUNC an open leaves the content alone."""
    create_and_open(client, p9.ORDWR)
    check(client.read_file("f") == b"0123456789", "it changed")


@case("read(5): a fid that is not open is not read")
def unopened_not_read(client: Client) -> None:
    """read(5): the fid must have been opened before it is read."""
    client.create_file("f", b"x")
    client.call_expecting_error(p9.Tread(client.walk_to("f"), 0, 4), EBADF, errors.EINVAL)


@case("write(5): a fid that is not open is not written")
def unopened_not_written(client: Client) -> None:
    """write(5): the fid must have been opened before it is written."""
    client.create_file("f", b"x")
    client.call_expecting_error(p9.Twrite(client.walk_to("f"), 0, b"y"), EBADF, errors.EINVAL)


@case("open(5): two fids of one file see one content")
def open_by_two_fids(client: Client) -> None:
    """open(5): several fids may be open on one file; what one writes the other reads."""
    one = create_and_open(client, p9.ORDWR)
    two = client.walk_to("f")
    client.open(two)
    client.write(one, b"shared")
    check(client.read(two, 0, 6) == b"shared", "the other fid reads otherwise")


@case("open(5): a fid once opened still tells its attributes")
def open_fid_has_attributes(client: Client) -> None:
    """stat(5): a stat needs no special permission and may be asked for through an open fid."""
    check(client.attributes(create_and_open(client)).length == 10, "another length")


@case("open(5): a file open for execution is read", PLAIN_ONLY)
def open_for_execution(client: Client) -> None:
    """open(5): OEXEC permits reading, for execution, and no writing."""
    client.create_file("f", b"run", 0o755)
    fid = client.walk_to("f")
    client.open(fid, p9.OEXEC)
    check(client.read(fid) == b"run", "it reads otherwise")
    client.call_expecting_error(p9.Twrite(fid, 0, b"x"))


@case("open(5): execution needs permission to execute", PLAIN_ONLY)
def open_execute_denied(client: Client) -> None:
    """open(5): OEXEC needs permission to execute the file."""
    client.create_file("f", b"run", 0o600)
    client.call_expecting_error(client.open_message(client.walk_to("f"), p9.OEXEC))


@case("open(5): ORCLOSE removes the file when the fid is clunked", PLAIN_ONLY)
def orclose_removes_at_clunk(client: Client) -> None:
    """open(5): with ORCLOSE the file is removed when the fid is clunked, and no sooner."""
    client.create_file("f")
    fid = client.walk_to("f")
    client.call(p9.Ropen, p9.Topen(fid, p9.OREAD | p9.ORCLOSE))
    check(client.exists("f"), "it is gone before")
    client.clunk(fid)
    check(not client.exists("f"), "it is still there")


@case("open(5): ORCLOSE removes the file when the connection ends", PLAIN_ONLY)
def orclose_removes_at_end(client: Client) -> None:
    """open(5): the end of the connection clunks the fid, so ORCLOSE removes the file then as well."""
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


@case("open(5): an unknown mode is an error", PLAIN_ONLY)
def open_mode_unknown(client: Client) -> None:
    """open(5): mode bits other than those listed are reserved and must be zero."""
    client.create_file("f")
    client.call_expecting_error(p9.Topen(client.walk_to("f"), 0x08))


@case("open(2): the access mode 3 is none", LINUX_ONLY)
def lopen_access_invalid(client: Client) -> None:
    """Tlopen: its flags are those of open(2), where the access mode 3 is not one of the three."""
    client.create_file("f")
    client.call_expecting_error(p9l.Tlopen(client.walk_to("f"), 3), errors.EINVAL)


@case("open(2): O_DIRECTORY opens directories only", LINUX_ONLY)
def lopen_directory_flag(client: Client) -> None:
    """Tlopen: with O_DIRECTORY the open fails with ENOTDIR unless the file is a directory."""
    client.create_file("f")
    client.call_expecting_error(p9l.Tlopen(client.walk_to("f"), p9l.L_DIRECTORY), errors.ENOTDIR)
    client.call(p9l.Rlopen, p9l.Tlopen(client.walk_to(), p9l.L_DIRECTORY))


@case("open(2): with O_APPEND each write goes to the end", LINUX_ONLY)
def lopen_append(client: Client) -> None:
    """Tlopen: with O_APPEND each write goes to the end of the file, whatever its offset."""
    client.create_file("f", b"one ")
    fid = client.walk_to("f")
    client.expect(
        p9l.Rlopen, client.skip_if_unsupported(client.request(p9l.Tlopen(fid, p9.OWRITE | p9l.L_APPEND)))
    )
    client.call(p9.Rwrite, p9.Twrite(fid, 0, b"two"))
    check(client.read_file("f") == b"one two", "it was written elsewhere")


@case("open(2): a symbolic link itself is not opened", LINUX_ONLY)
def lopen_symlink(client: Client) -> None:
    """Tlopen: names are resolved by walks, so a symbolic link itself cannot be opened (ELOOP)."""
    client.expect(
        p9l.Rsymlink,
        client.skip_if_unsupported(
            client.request(p9l.Tsymlink(client.walk_to(), "link", "target", p9l.NOGID))
        ),
    )
    client.call_expecting_error(p9l.Tlopen(client.walk_to("link"), 0), errors.ELOOP)
