"""Reading directories, in either dialect's form."""

from __future__ import annotations

from garnetlanding.conform.client import Client
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import LINUX_ONLY, PLAIN_ONLY, case
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors

NAMES = [f"entry{i:02}" for i in range(30)]


def open_filled_directory(client: Client) -> int:
    """Create the directory `d` with a file of each of the names in it, and return its fid, open."""
    client.create_directory("d")
    for name in NAMES:
        client.clunk(client.create_file(name, b"x", 0o644, "d"))
    fid = client.walk_to("d")
    client.open(fid)
    return fid


@case("read(5), readdir: every entry once")
def directory_lists_all(client: Client) -> None:
    """read(5): reading a directory to its end returns one entry for each file in it."""
    check(
        sorted(name for name, _ in client.list_directory(open_filled_directory(client))) == NAMES,
        "another listing",
    )


@case("read(5), readdir: small counts list the same")
def directory_in_small_counts(client: Client) -> None:
    """read(5): each read continues at the offset where the one before ended, whatever its count."""
    fid = open_filled_directory(client)
    for count in (150, 333):
        check(
            sorted(name for name, _ in client.list_directory(fid, count)) == NAMES,
            f"another listing by {count}",
        )


@case("read(5), readdir: an empty directory has no entries")
def directory_empty(client: Client) -> None:
    """read(5): reading an empty directory returns no entries; Rreaddir may have `.` and `..`."""
    client.create_directory("d")
    fid = client.walk_to("d")
    client.open(fid)
    check(client.list_directory(fid) == [], "entries")


@case("read(5), readdir: the qids are those of a walk")
def directory_qids(client: Client) -> None:
    """read(5): an entry's qid is that of the file that a walk to its name reaches."""
    client.create_file("f")
    client.create_directory("d")
    fid = client.walk_to()
    client.open(fid)
    for name, qid in client.list_directory(fid):
        check(client.attributes(client.walk_to(name)).qid.path == qid.path, f"{name} has another")


@case("read(5), readdir: from the start again at offset 0")
def directory_again(client: Client) -> None:
    """read(5): a read at offset zero begins the directory anew."""
    fid = open_filled_directory(client)
    check(client.list_directory(fid) == client.list_directory(fid), "two listings differ")


@case("read(5), readdir: what is created later is in the next listing")
def directory_changes(client: Client) -> None:
    """read(5): a listing from offset zero has the files that were created before it."""
    fid = open_filled_directory(client)
    client.list_directory(fid)
    client.create_file("late", b"", 0o644, "d")
    check(
        sorted(name for name, _ in client.list_directory(fid)) == sorted([*NAMES, "late"]), "another listing"
    )


@case("read(5), readdir: a count too small for one entry gives none of it")
def directory_count_too_small(client: Client) -> None:
    """read(5): only whole entries are returned; a count below one entry returns none, or an error."""
    fid = open_filled_directory(client)
    reply = client.request(p9l.Treaddir(fid, 0, 10) if client.linux else p9.Tread(fid, 0, 10))
    if isinstance(reply, p9.Rread | p9l.Rreaddir):
        check(reply.data == b"", "part of an entry")
    else:
        client.expect_error(reply, errors.EINVAL)


@case("read(5), readdir: past the end there is nothing")
def directory_past_end(client: Client) -> None:
    """read(5): a read behind the last entry returns a count of zero."""
    fid = open_filled_directory(client)
    count = client.msize - p9.IO_HEADER_BYTES
    end = client.read_directory(fid, count)[-1].cookie
    reply = client.request(p9l.Treaddir(fid, end, count) if client.linux else p9.Tread(fid, end, count))
    check(isinstance(reply, p9.Rread | p9l.Rreaddir) and reply.data == b"", "entries behind the last")


@case("read(5): whole stats only, whatever the count", PLAIN_ONLY)
def directory_whole_stats(client: Client) -> None:
    """read(5): a read of a directory returns an integral number of stats."""
    fid = open_filled_directory(client)
    for count in range(100, 400, 37):
        client.parse_directory(client.call(p9.Rread, p9.Tread(fid, 0, count)).data, 0)


@case("read(5): an offset that no read ended at is an error", PLAIN_ONLY)
def directory_seek(client: Client) -> None:
    """read(5): the offset must be zero or the end of the read before; seeking elsewhere is illegal."""
    fid = open_filled_directory(client)
    first = client.call(p9.Rread, p9.Tread(fid, 0, 400)).data
    client.expect_error(client.request(p9.Tread(fid, len(first) - 1, 400)))


@case("read(5): the stats are those of the files", PLAIN_ONLY)
def directory_stats(client: Client) -> None:
    """read(5): the entries of a directory are stats as Rstat returns them."""
    client.create_file("f", b"12345", 0o640)
    fid = client.walk_to()
    client.open(fid)
    data = client.call(p9.Rread, p9.Tread(fid, 0, 1000)).data
    check(data == client.call(p9.Rstat, p9.Tstat(client.walk_to("f"))).stat, "another stat")


@case("readdir: an offset continues where that entry ended, also out of order", LINUX_ONLY)
def readdir_any_offset(client: Client) -> None:
    """Treaddir: its offset is that of any entry received, and reading goes on behind that entry."""
    fid = open_filled_directory(client)
    entries = client.read_directory(fid, 2000)
    for position in (20, 3, 11):
        data = client.call(p9l.Rreaddir, p9l.Treaddir(fid, entries[position].cookie, 1000)).data
        check(
            client.parse_directory(data, 0)[0].name == entries[position + 1].name,
            f"it goes on elsewhere behind entry {position}",
        )


@case("readdir: the types tell directories from files", LINUX_ONLY)
def readdir_types(client: Client) -> None:
    """Rreaddir: the type of an entry tells directories (4) from files (8), or is unknown (0)."""
    client.create_file("f")
    client.create_directory("d")
    fid = client.walk_to()
    client.open(fid)
    kinds = {e.name: e.d_type for e in client.read_directory(fid, 2000)}
    check(kinds.get("f") in (0, 8) and kinds.get("d") in (0, 4), f"{kinds}")


@case("readdir: the fid must be open", LINUX_ONLY)
def readdir_unopened(client: Client) -> None:
    """Treaddir: the fid must be an open directory; one that is not open is the error EBADF."""
    client.call_expecting_error(p9l.Treaddir(client.walk_to(), 0, 1000), errors.EBADF)


@case("readdir: only directories are listed", LINUX_ONLY)
def readdir_of_file(client: Client) -> None:
    """Treaddir: the fid must be an open directory; a file is the error ENOTDIR."""
    client.call_expecting_error(p9l.Treaddir(client.create_file("f"), 0, 1000), errors.ENOTDIR)


@case("read(5): in 9P2000.L a directory is not read as a file", LINUX_ONLY)
def read_of_directory(client: Client) -> None:
    """Treaddir: it replaces Tread for directories; a Tread of one is the error EISDIR."""
    fid = client.walk_to()
    client.open(fid)
    client.call_expecting_error(p9.Tread(fid, 0, 1000), errors.EISDIR)
