"""Cases for reading directories in both dialects."""

from __future__ import annotations

from garnetlanding.conform.client import Client
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import LINUX_ONLY, PLAIN_ONLY, case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors

ENTRY_NAMES = [f"entry{i:02}" for i in range(30)]


def open_filled_directory(client: Client) -> int:
    """Create the directory `d` with one file for each of ENTRY_NAMES and return its open fid."""
    client.create_directory("d")
    for name in ENTRY_NAMES:
        client.clunk(client.create_file(name, b"x", 0o644, "d"))
    fid = client.walk_to("d")
    client.open(fid)
    return fid


@case("read(5), readdir: each entry is listed once")
def directory_lists_all(client: Client) -> None:
    """read(5): reading a directory to its end returns one entry for each file in it."""
    check(
        sorted(name for name, _ in client.list_directory(open_filled_directory(client))) == ENTRY_NAMES,
        "unexpected directory listing",
    )


@case("read(5), readdir: small counts yield the same listing")
def directory_in_small_counts(client: Client) -> None:
    """read(5): each read continues at the offset where the previous one ended, whatever its count."""
    fid = open_filled_directory(client)
    for count in (150, 333):
        check(
            sorted(name for name, _ in client.list_directory(fid, count)) == ENTRY_NAMES,
            f"unexpected directory listing with reads of {count} bytes",
        )


@case("read(5), readdir: an empty directory has no entries")
def directory_empty(client: Client) -> None:
    """read(5): reading an empty directory returns no entries; Rreaddir may include `.` and `..`."""
    client.create_directory("d")
    fid = client.walk_to("d")
    client.open(fid)
    check(client.list_directory(fid) == [], "the empty directory has entries")


@case("read(5), readdir: the qid of an entry is the one that a walk returns")
def directory_qids(client: Client) -> None:
    """read(5): an entry's qid is that of the file that a walk to its name reaches."""
    client.create_file("f")
    client.create_directory("d")
    fid = client.walk_to()
    client.open(fid)
    for name, qid in client.list_directory(fid):
        check(
            client.attributes(client.walk_to(name)).qid.path == qid.path,
            f"the qid of the entry {name} differs from the file's",
        )


@case("read(5), readdir: offset 0 restarts the listing")
def directory_again(client: Client) -> None:
    """read(5): a read at offset zero restarts from the first entry."""
    fid = open_filled_directory(client)
    check(
        client.list_directory(fid) == client.list_directory(fid), "the second listing differs from the first"
    )


@case("read(5), readdir: a new listing includes files created after the previous one")
def directory_changes(client: Client) -> None:
    """read(5): a listing from offset zero includes all files created before it."""
    fid = open_filled_directory(client)
    client.list_directory(fid)
    client.create_file("late", b"", 0o644, "d")
    check(
        sorted(name for name, _ in client.list_directory(fid)) == sorted([*ENTRY_NAMES, "late"]),
        "unexpected directory listing",
    )


@case("read(5), readdir: a count smaller than an entry returns no partial entry")
def directory_count_too_small(client: Client) -> None:
    """read(5): only whole entries are returned; a count below one entry returns none, or an error."""
    fid = open_filled_directory(client)
    reply = client.request(p9l.Treaddir(fid, 0, 10) if client.linux else p9.Tread(fid, 0, 10))
    if isinstance(reply, p9.Rread | p9l.Rreaddir):
        check(reply.data == b"", "the reply contains a partial entry")
    else:
        client.expect_error(reply, errors.EINVAL)


@case("read(5), readdir: a read after the last entry returns no data")
def directory_past_end(client: Client) -> None:
    """read(5): a read after the last entry returns a count of zero."""
    fid = open_filled_directory(client)
    count = client.msize - p9.IO_HEADER_BYTES
    end = client.read_directory(fid, count)[-1].cookie
    reply = client.request(p9l.Treaddir(fid, end, count) if client.linux else p9.Tread(fid, end, count))
    check(
        isinstance(reply, p9.Rread | p9l.Rreaddir) and reply.data == b"",
        "the read after the last entry returned data",
    )


@case("read(5): a read of a directory returns whole stats only, whatever the count", PLAIN_ONLY)
def directory_whole_stats(client: Client) -> None:
    """read(5): a read of a directory returns an integral number of stats."""
    fid = open_filled_directory(client)
    for count in range(100, 400, 37):
        client.parse_directory(client.call(p9.Rread, p9.Tread(fid, 0, count)).data, 0)


@case("read(5): a directory offset at which no read ended is an error", PLAIN_ONLY)
def directory_seek(client: Client) -> None:
    """read(5): the offset must be zero or the end of the previous read; seeking elsewhere is illegal."""
    fid = open_filled_directory(client)
    first = client.call(p9.Rread, p9.Tread(fid, 0, 400)).data
    client.call_expecting_error(p9.Tread(fid, len(first) - 1, 400))


@case("read(5): directory entries equal the stats of the files", PLAIN_ONLY)
def directory_stats(client: Client) -> None:
    """read(5): the entries of a directory are stats as Rstat returns them."""
    client.create_file("f", b"12345", 0o640)
    fid = client.walk_to()
    client.open(fid)
    data = client.call(p9.Rread, p9.Tread(fid, 0, 1000)).data
    check(
        data == client.call(p9.Rstat, p9.Tstat(client.walk_to("f"))).stat,
        "the entry differs from the stat of the file",
    )


@case("readdir: reading resumes after the entry with the given offset, in any order", LINUX_ONLY)
def readdir_any_offset(client: Client) -> None:
    """Treaddir: the offset may be that of any entry received, and reading resumes after that entry."""
    fid = open_filled_directory(client)
    entries = client.read_directory(fid, 2000)
    for position in (20, 3, 11):
        data = client.call(p9l.Rreaddir, p9l.Treaddir(fid, entries[position].cookie, 1000)).data
        check(
            client.parse_directory(data, 0)[0].name == entries[position + 1].name,
            f"unexpected entry after entry {position}",
        )


@case("readdir: the entry type distinguishes directories from files", LINUX_ONLY)
def readdir_types(client: Client) -> None:
    """Rreaddir: the type of an entry is directory (4), file (8) or unknown (0)."""
    client.create_file("f")
    client.create_directory("d")
    fid = client.walk_to()
    client.open(fid)
    types = {entry.name: entry.d_type for entry in client.read_directory(fid, 2000)}
    check(types.get("f") in (0, 8) and types.get("d") in (0, 4), f"entry types {types}")


@case("readdir: the fid must be open", LINUX_ONLY)
def readdir_unopened(client: Client) -> None:
    """Treaddir: the fid must be an open directory; one that is not open yields EBADF."""
    client.call_expecting_error(p9l.Treaddir(client.walk_to(), 0, 1000), errors.EBADF)


@case("readdir: the fid must be a directory", LINUX_ONLY)
def readdir_of_file(client: Client) -> None:
    """Treaddir: the fid must be an open directory; a file yields ENOTDIR."""
    client.call_expecting_error(p9l.Treaddir(client.create_file("f"), 0, 1000), errors.ENOTDIR)


@case("read(5): in 9P2000.L a directory cannot be read with Tread", LINUX_ONLY)
def read_of_directory(client: Client) -> None:
    """Treaddir: it replaces Tread for directories; Tread of a directory yields EISDIR."""
    fid = client.walk_to()
    client.open(fid)
    client.call_expecting_error(p9.Tread(fid, 0, 1000), errors.EISDIR)
