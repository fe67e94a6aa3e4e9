"""Cases for create: the new file, its name, permissions and open mode."""

from __future__ import annotations

from garnetlanding.conform.client import Client
from garnetlanding.conform.descriptions import qid_text
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import LINUX_ONLY, PLAIN_ONLY, case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors
from garnetlanding.ninep.model import DMAPPEND, DMDIR, DMEXCL


def expect_create_error(client: Client, name: str) -> None:
    """Fail unless creating a file with the name is an error."""
    client.call_expecting_error(client.create_message(client.walk_to(), name))


def create_with_mode(client: Client, name: str, mode: int) -> tuple[int, p9.Qid]:
    """Create a file with an optional mode bit; return its open fid and qid."""
    fid = client.walk_to()
    reply = client.skip_if_unsupported(client.request(p9.Tcreate(fid, name, mode | 0o644, p9.ORDWR)))
    return fid, client.expect(p9.Rcreate, reply).qid


@case("open(5): a create opens the new file")
def create_opens(client: Client) -> None:
    """open(5): a create creates the file and opens it in the given mode."""
    fid = client.create_file("f")
    client.write(fid, b"at once")
    check(client.read_file("f") == b"at once", "unexpected file content")


@case("open(5): the fid represents the new file")
def create_fid_is_file(client: Client) -> None:
    """open(5): after a create the fid represents the new file in place of the directory."""
    fid = client.create_file("f")
    check(
        client.attributes(fid).qid.path == client.attributes(client.walk_to("f")).qid.path,
        "the fid represents another file",
    )


@case("open(5): the reply has the qid of the new file")
def create_tells_qid(client: Client) -> None:
    """open(5): the reply's qid is that of the new file."""
    reply = client.request(client.create_message(client.walk_to(), "f"))
    qid = client.expect_created(reply)
    check(
        qid.path == client.attributes(client.walk_to("f")).qid.path and not qid.type & p9.QTDIR, qid_text(qid)
    )


@case("open(5): a new file is empty")
def create_empty(client: Client) -> None:
    """open(5): a newly created file has no content."""
    check(client.attributes(client.create_file("f")).length == 0, "the new file is not empty")


@case("open(5): a new file is listed in its directory")
def create_is_listed(client: Client) -> None:
    """open(5): the new file is an entry of the directory that the fid represented."""
    client.create_file("f")
    fid = client.walk_to()
    client.open(fid)
    check([name for name, _ in client.list_directory(fid)] == ["f"], "the file is not listed")


@case("open(5): creating an existing name is an error")
def create_existing(client: Client) -> None:
    """open(5): a create of a name that exists is an error, and the existing file is unchanged."""
    client.create_file("f", b"first")
    client.call_expecting_error(client.create_message(client.walk_to(), "f"), errors.EEXIST)
    check(client.read_file("f") == b"first", "the existing file changed")


@case("open(5): of two concurrent creates of a name exactly one succeeds")
def create_race(client: Client) -> None:
    """open(5): a create is atomic: of two clients that create one name exactly one succeeds."""
    other = client.connect_second_client()
    fid = client.walk_to()
    other_fid = other.walk_to()
    tag = client.send(client.create_message(fid, "f"))
    other_tag = other.send(other.create_message(other_fid, "f"))
    replies = [client.wait_for_reply(tag), other.wait_for_reply(other_tag)]
    check(
        sum(client.error_of(reply) is None for reply in replies) == 1, "both creates succeeded or both failed"
    )
    other.close()


@case("open(5): files can be created in directories only")
def create_in_file(client: Client) -> None:
    """open(5): the fid of a create must represent a directory."""
    client.create_file("f")
    client.call_expecting_error(client.create_message(client.walk_to("f"), "g"), errors.ENOTDIR)


@case("open(5): `.` cannot be created")
def create_dot(client: Client) -> None:
    """open(5): the name `.` cannot be created."""
    expect_create_error(client, ".")


@case("open(5): `..` cannot be created")
def create_dotdot(client: Client) -> None:
    """open(5): the name `..` cannot be created."""
    expect_create_error(client, "..")


@case("open(5): a name must not be empty")
def create_empty_name(client: Client) -> None:
    """intro(5): a name has at least one character; an empty name cannot be created."""
    expect_create_error(client, "")


@case("open(5): a name must not contain a slash")
def create_name_with_slash(client: Client) -> None:
    """intro(5): the slash is illegal in a name, so such a name cannot be created."""
    client.create_directory("d")
    expect_create_error(client, "d/f")


@case("open(5): a name of 200 bytes can be created")
def create_long_name(client: Client) -> None:
    """intro(5): names are counted strings; one of 200 bytes is not truncated."""
    client.create_file("n" * 200, b"long")
    check(client.read_file("n" * 200) == b"long", "unexpected file content")


@case("intro(5): a name may be in any script")
def create_unicode_name(client: Client) -> None:
    """intro(5): a name is UTF-8 text in any script and is returned byte for byte."""
    name = "Wörterbuch-日本語-ⴰⵎⴰⵣⵉⵖ"
    client.create_file(name, b"text")
    fid = client.walk_to()
    client.open(fid)
    check(
        client.read_file(name) == b"text" and [listed for listed, _ in client.list_directory(fid)] == [name],
        "unexpected file content or name",
    )


@case("open(5): a name may contain spaces and punctuation")
def create_name_with_marks(client: Client) -> None:
    """intro(5): a name may contain any character except slash and NUL, including spaces and punctuation."""
    for name in ("with space", "a:b", "semi;colon", "-dash", "tab\there", "...", ".hidden"):
        client.create_file(name, name.encode())
        check(client.read_file(name) == name.encode(), f"unexpected content of {name!r}")


@case("open(5): permissions are those requested, masked by the directory's")
def create_permissions(client: Client) -> None:
    """open(5): the new file has the requested permissions, masked by the directory's."""
    check(
        client.attributes(client.create_file("f", b"", 0o600)).permissions == 0o600, "unexpected permissions"
    )


@case("open(5): a file created for reading cannot be written")
def create_for_reading(client: Client) -> None:
    """open(5): a create opens the file in its mode: with OREAD it cannot be written."""
    fid = client.create_file("f", access=p9.OREAD)
    client.call_expecting_error(p9.Twrite(fid, 0, b"x"), errors.EBADF)


@case("open(5): a file created for writing cannot be read")
def create_for_writing(client: Client) -> None:
    """open(5): a create opens the file in its mode: with OWRITE it cannot be read."""
    fid = client.create_file("f", b"x", access=p9.OWRITE)
    client.call_expecting_error(p9.Tread(fid, 0, 1), errors.EBADF)


@case("open(5): a read-only file can be written through the fid that created it")
def create_read_only_is_written(client: Client) -> None:
    """open(5): the permissions of a new file do not apply to the fid that created it."""
    client.write(client.create_file("f", permissions=0o444), b"first")
    check(client.read_file("f") == b"first", "unexpected file content")


@case("open(5): an open fid cannot create")
def create_on_open_fid(client: Client) -> None:
    """open(5): it is an error if the fid of a create has already been opened."""
    fid = client.walk_to()
    client.open(fid)
    client.call_expecting_error(client.create_message(fid, "f"))


@case("open(5): creating requires write permission on the directory")
def create_denied(client: Client) -> None:
    """open(5): a create requires write permission on the directory."""
    client.create_directory("d")
    fid = client.walk_to("d")
    client.set_permissions(fid, 0o555)
    reply = client.request(client.create_message(client.walk_to("d"), "f"))
    client.set_permissions(fid, 0o755)
    client.expect_error(reply, errors.EACCES)
    check(not client.exists("d", "f"), "the file was created")


@case("open(5): after a failed create the fid still represents the directory")
def create_failed_fid_stays(client: Client) -> None:
    """open(5): only a successful create moves the fid; after an error it still represents the directory."""
    client.create_file("f")
    fid = client.walk_to()
    client.call_expecting_error(client.create_message(fid, "f"))
    check(client.attributes(fid).is_dir, "the fid no longer represents the directory")
    client.expect_created(client.request(client.create_message(fid, "g")))


@case("open(5): DMDIR creates a directory that is open for reading", PLAIN_ONLY)
def create_directory(client: Client) -> None:
    """open(5): with DMDIR in the permissions a directory is created, which can be read."""
    fid = client.walk_to()
    reply = client.call(p9.Rcreate, p9.Tcreate(fid, "d", DMDIR | 0o750, p9.OREAD))
    check(bool(reply.qid.type & p9.QTDIR), "the qid type is not a directory")
    check(client.call(p9.Rread, p9.Tread(fid, 0, 1000)).data == b"", "the new directory is not empty")
    check(client.attributes(client.walk_to("d")).is_dir, "the new file is not a directory")


@case("open(5): a directory cannot be created for writing", PLAIN_ONLY)
def create_directory_for_writing(client: Client) -> None:
    """open(5): a directory must be created with OREAD, because it cannot be written."""
    client.call_expecting_error(p9.Tcreate(client.walk_to(), "d", DMDIR | 0o755, p9.ORDWR))
    check(not client.exists("d"), "the file was created")


@case("open(5): permissions of a new file are masked by those of its directory", PLAIN_ONLY)
def create_masked_by_directory(client: Client) -> None:
    """open(5): a file's permissions are `perm & (~0666 | (dir.perm & 0666))`."""
    client.create_directory("d", permissions=0o750)
    check(
        client.attributes(client.create_file("f", b"", 0o666, "d")).permissions == 0o640,
        "unexpected permissions",
    )


@case("open(5): writes to an append-only file are appended", PLAIN_ONLY)
def append_only(client: Client) -> None:
    """open(5): in a file created with DMAPPEND each write is appended, whatever the offset."""
    fid, qid = create_with_mode(client, "log", DMAPPEND)
    check(bool(qid.type & p9.QTAPPEND), "the qid type does not include QTAPPEND")
    client.write(fid, b"one ")
    client.write(fid, b"two", 0)
    check(client.read_file("log") == b"one two", "the data were not appended")


@case("open(5): an append-only file cannot be truncated", PLAIN_ONLY)
def append_only_not_truncated(client: Client) -> None:
    """open(5): OTRUNC has no effect on an append-only file."""
    fid, _ = create_with_mode(client, "log", DMAPPEND)
    client.write(fid, b"kept")
    client.request(client.open_message(client.walk_to("log"), p9.OWRITE, truncate=True))
    check(client.read_file("log") == b"kept", "the file was truncated")


@case("stat(5): the mode of an append-only file includes DMAPPEND", PLAIN_ONLY)
def append_only_in_stat(client: Client) -> None:
    """stat(5): the mode of an append-only file includes the bit DMAPPEND."""
    fid, _ = create_with_mode(client, "log", DMAPPEND)
    check(bool(client.stat(fid).mode & DMAPPEND), "the mode does not include DMAPPEND")


@case("open(5): an exclusive-use file can be open only once", PLAIN_ONLY)
def exclusive_use(client: Client) -> None:
    """open(5): a file created with DMEXCL may be open by one client at a time."""
    create_with_mode(client, "lock", DMEXCL)
    other = client.connect_second_client()
    other.call_expecting_error(other.open_message(other.walk_to("lock")))
    other.close()


@case("open(5): an exclusive-use file can be opened again after a clunk", PLAIN_ONLY)
def exclusive_use_released(client: Client) -> None:
    """open(5): an exclusive-use file may be opened again once its fid is clunked."""
    fid, _ = create_with_mode(client, "lock", DMEXCL)
    client.clunk(fid)
    other = client.connect_second_client()
    other.open(other.walk_to("lock"))
    client.call_expecting_error(client.open_message(client.walk_to("lock")))
    other.close()


@case("open(5): ORCLOSE in a create removes the file when the fid is clunked", PLAIN_ONLY)
def create_orclose(client: Client) -> None:
    """open(5): with ORCLOSE in a create's mode the file is removed when the fid is clunked."""
    fid = client.walk_to()
    client.call(p9.Rcreate, p9.Tcreate(fid, "temp", 0o644, p9.ORDWR | p9.ORCLOSE))
    client.write(fid, b"x")
    check(client.exists("temp"), "the file was removed before the clunk")
    client.clunk(fid)
    check(not client.exists("temp"), "the file still exists")


@case("open(2): without O_EXCL an existing file is opened", LINUX_ONLY)
def lcreate_opens_existing(client: Client) -> None:
    """Tlcreate: without O_EXCL in its flags an existing file is opened, as by open(2)."""
    client.create_file("f", b"kept")
    fid = client.walk_to()
    client.call(p9l.Rlcreate, p9l.Tlcreate(fid, "f", p9.ORDWR | p9l.L_CREATE, 0o644, p9l.NOGID))
    check(client.read(fid) == b"kept", "unexpected file content")


@case("open(2): O_TRUNC in an lcreate truncates an existing file", LINUX_ONLY)
def lcreate_truncates(client: Client) -> None:
    """Tlcreate: with O_TRUNC in its flags an existing file is truncated, as by open(2)."""
    client.create_file("f", b"gone")
    flags = p9.ORDWR | p9l.L_CREATE | p9l.L_TRUNC
    client.call(p9l.Rlcreate, p9l.Tlcreate(client.walk_to(), "f", flags, 0o644, p9l.NOGID))
    check(client.read_file("f") == b"", "the file is not empty")


@case("open(2): O_EXCL fails for an existing name", LINUX_ONLY)
def lcreate_exclusive(client: Client) -> None:
    """Tlcreate: with O_EXCL in its flags a name that exists yields EEXIST, as by open(2)."""
    client.create_file("f")
    flags = p9.ORDWR | p9l.L_CREATE | p9l.L_EXCL
    client.call_expecting_error(p9l.Tlcreate(client.walk_to(), "f", flags, 0o644, p9l.NOGID), errors.EEXIST)
