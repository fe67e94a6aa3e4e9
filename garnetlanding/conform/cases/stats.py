"""Cases for stat and wstat in 9P2000."""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.conform.client import ROOT, Client
from garnetlanding.conform.descriptions import stat_text
from garnetlanding.conform.errors import check
from garnetlanding.conform.registry import PLAIN_ONLY, case
from garnetlanding.conform.stat_change import StatChange
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep.model import DMDIR
from garnetlanding.ninep.stat_format import RawStat

# The fields that a wstat can change, by their names in the results.
CHANGEABLE_FIELDS: dict[str, Callable[[RawStat], object]] = {
    "mode": lambda stat: stat.mode,
    "mtime": lambda stat: stat.mtime,
    "length": lambda stat: stat.length,
    "name": lambda stat: stat.name,
    "uid": lambda stat: stat.uid,
    "gid": lambda stat: stat.gid,
}


def expect_unchanged(client: Client, before: RawStat, fid: int, *except_for: str) -> None:
    """Fail if the stat of the fid differs from `before` in a field that is not in `except_for`."""
    after = client.stat(fid)
    for name, value_of in CHANGEABLE_FIELDS.items():
        if name not in except_for:
            check(value_of(after) == value_of(before), f"{name} changed")
    check(after.qid.path == before.qid.path, "the fid represents another file")


@case("stat(5): a stat has the name, length and mode of the file", PLAIN_ONLY)
def stat_fields(client: Client) -> None:
    """stat(5): a stat contains the last element of the path, the length in bytes and the permissions."""
    stat = client.stat(client.create_file("f", b"12345", 0o640))
    check((stat.name, stat.length, stat.mode) == ("f", 5, 0o640), stat_text(stat))


@case("stat(5): a directory has length zero and DMDIR in its mode", PLAIN_ONLY)
def stat_directory(client: Client) -> None:
    """stat(5): directories have a length of zero by convention, and the bit DMDIR in their mode."""
    client.create_directory("d")
    stat = client.stat(client.walk_to("d"))
    check(stat.length == 0 and bool(stat.mode & DMDIR) and bool(stat.qid.type & p9.QTDIR), stat_text(stat))


@case("stat(5): the qid of a stat is the one that a walk returns", PLAIN_ONLY)
def stat_qid(client: Client) -> None:
    """stat(5): the qid of a stat is the one that a walk to the file returns."""
    client.create_file("f")
    fid = client.new_fid()
    qids = client.call(p9.Rwalk, p9.Twalk(ROOT, fid, (client.scratch_directory, "f"))).qids
    check(client.stat(fid).qid == qids[-1], "the qids of stat and walk differ")


@case("stat(5): the high byte of the mode is the qid type", PLAIN_ONLY)
def stat_mode_and_qid(client: Client) -> None:
    """stat(5): the high byte of the mode is the type of the qid."""
    for fid in (client.create_file("f"), client.walk_to()):
        stat = client.stat(fid)
        check(stat.mode >> 24 == stat.qid.type, f"mode {stat.mode:#x}, qid type {stat.qid.type:#x}")


@case("stat(5): an unknown fid is an error", PLAIN_ONLY)
def stat_unknown_fid(client: Client) -> None:
    """stat(5): the fid must be established; an unknown one is an error."""
    client.call_expecting_error(p9.Tstat(client.new_fid()))


@case("stat(5): the owner is the user who created the file", PLAIN_ONLY)
def stat_owner(client: Client) -> None:
    """open(5): the owner of a new file is the user of the fid that created it."""
    stat = client.stat(client.create_file("f"))
    check(stat.uid in (client.options.uname, str(client.options.uid)), f"owner {stat.uid!r}")


@case("stat(5): a stat is the same through every fid", PLAIN_ONLY)
def stat_same_by_any_fid(client: Client) -> None:
    """stat(5): a stat describes the file, so it is the same through every fid."""
    client.create_file("f", b"x")
    check(
        client.stat(client.walk_to("f")) == client.stat(client.walk_to("f")), "the stats of two fids differ"
    )


@case("stat(5): a wstat without new values changes nothing", PLAIN_ONLY)
def wstat_nothing(client: Client) -> None:
    """stat(5): a wstat in which each field is 'don't touch' changes no attribute."""
    fid = client.create_file("f", b"x")
    before = client.stat(fid)
    client.call(p9.Rwstat, p9.Twstat(fid, StatChange().encode()))
    expect_unchanged(client, before, fid)


@case("stat(5): a wstat renames the file and its fids stay valid", PLAIN_ONLY)
def wstat_name(client: Client) -> None:
    """stat(5): a wstat may change the name; the fid represents the renamed file."""
    fid = client.create_file("f", b"same")
    before = client.stat(fid)
    client.call(p9.Rwstat, p9.Twstat(fid, StatChange(name="g").encode()))
    expect_unchanged(client, before, fid, "name", "mtime")
    check(
        client.stat(fid).name == "g" and not client.exists("f") and client.read_file("g") == b"same",
        "the file was not renamed",
    )


@case("stat(5): renaming to the name of another file is an error", PLAIN_ONLY)
def wstat_name_taken(client: Client) -> None:
    """stat(5): it is an error to change the name to that of an existing file."""
    fid = client.create_file("f", b"one")
    client.create_file("g", b"two")
    client.call_expecting_error(p9.Twstat(fid, StatChange(name="g").encode()))
    check(client.read_file("f") == b"one" and client.read_file("g") == b"two", "a file was moved or replaced")


@case("stat(5): a name must not be `.`, `..` or contain a slash", PLAIN_ONLY)
def wstat_name_with_slash(client: Client) -> None:
    """intro(5): a wstat cannot rename a file to an invalid name: `.`, `..` or one with a slash."""
    fid = client.create_file("f")
    for name in ("a/b", "..", "."):
        client.call_expecting_error(p9.Twstat(fid, StatChange(name=name).encode()))
    check(client.exists("f"), "the file was renamed")


@case("stat(5): renaming a directory keeps its content", PLAIN_ONLY)
def wstat_name_of_directory(client: Client) -> None:
    """stat(5): the name of a directory may be changed; the files in it are kept."""
    client.create_directory("d")
    inside = client.create_file("f", b"inside", 0o644, "d")
    client.call(p9.Rwstat, p9.Twstat(client.walk_to("d"), StatChange(name="e").encode()))
    check(
        client.read_file("e", "f") == b"inside" and client.read(inside) == b"inside",
        "unexpected content after the rename",
    )


@case("stat(5): a wstat of the mode changes nothing else", PLAIN_ONLY)
def wstat_mode(client: Client) -> None:
    """stat(5): the owner of a file may change its mode; no other attribute changes."""
    fid = client.create_file("f", b"x", 0o600)
    before = client.stat(fid)
    client.call(p9.Rwstat, p9.Twstat(fid, StatChange(mode=0o640).encode()))
    expect_unchanged(client, before, fid, "mode")
    check(client.stat(fid).mode == 0o640, f"mode {client.stat(fid).mode:o}")


@case("stat(5): the directory bit cannot be changed", PLAIN_ONLY)
def wstat_directory_bit(client: Client) -> None:
    """stat(5): the directory bit of the mode cannot be changed by a wstat."""
    client.create_directory("d")
    client.call_expecting_error(p9.Twstat(client.create_file("f"), StatChange(mode=DMDIR | 0o755).encode()))
    client.call_expecting_error(p9.Twstat(client.walk_to("d"), StatChange(mode=0o755).encode()))


@case("stat(5): a shorter length truncates the file", PLAIN_ONLY)
def wstat_length_cuts(client: Client) -> None:
    """stat(5): a wstat of a smaller length truncates the file."""
    fid = client.create_file("f", b"0123456789")
    client.call(p9.Rwstat, p9.Twstat(fid, StatChange(length=4).encode()))
    check(client.read_file("f") == b"0123", "the file was not truncated to the length")


@case("stat(5): a longer length extends the file with zeros", PLAIN_ONLY)
def wstat_length_adds(client: Client) -> None:
    """stat(5): a wstat of a greater length extends the file, with zeros."""
    fid = client.create_file("f", b"01")
    client.call(p9.Rwstat, p9.Twstat(fid, StatChange(length=5).encode()))
    check(client.read_file("f") == b"01\0\0\0", "unexpected file content")


@case("stat(5): the length of a directory cannot be set", PLAIN_ONLY)
def wstat_length_of_directory(client: Client) -> None:
    """stat(5): the length of a directory can only be set to zero."""
    client.call_expecting_error(p9.Twstat(client.walk_to(), StatChange(length=10).encode()))


@case("stat(5): the modification time can be set", PLAIN_ONLY)
def wstat_mtime(client: Client) -> None:
    """stat(5): the owner of a file may set its mtime."""
    fid = client.create_file("f")
    client.call(p9.Rwstat, p9.Twstat(fid, StatChange(mtime=1234567).encode()))
    check(client.stat(fid).mtime == 1234567, f"mtime {client.stat(fid).mtime}")


@case("stat(5): the owner cannot be changed", PLAIN_ONLY)
def wstat_owner(client: Client) -> None:
    """stat(5): it is illegal to change the owner of a file."""
    client.call_expecting_error(p9.Twstat(client.create_file("f"), StatChange(uid="somebody-else").encode()))


@case("stat(5): the user who last modified the file cannot be changed", PLAIN_ONLY)
def wstat_muid(client: Client) -> None:
    """stat(5): the name of the user who last modified the file cannot be changed by a wstat."""
    client.call_expecting_error(p9.Twstat(client.create_file("f"), StatChange(muid="somebody-else").encode()))


@case("stat(5): type and dev cannot be changed", PLAIN_ONLY)
def wstat_type_and_dev(client: Client) -> None:
    """stat(5): the fields type and dev cannot be changed by a wstat."""
    fid = client.create_file("f")
    client.call_expecting_error(p9.Twstat(fid, StatChange(type=9).encode()))
    client.call_expecting_error(p9.Twstat(fid, StatChange(dev=9).encode()))


@case("stat(5): a wstat makes all of its changes or none", PLAIN_ONLY)
def wstat_all_or_nothing(client: Client) -> None:
    """stat(5): either all the changes of a wstat are made or, with an error, none."""
    fid = client.create_file("f", b"0123456789", 0o600)
    client.create_file("g")
    before = client.stat(fid)
    client.call_expecting_error(p9.Twstat(fid, StatChange(name="g", length=2, mode=0o777).encode()))
    expect_unchanged(client, before, fid)


@case("stat(5): a stat whose size field does not match its length is an error", PLAIN_ONLY)
def wstat_size_wrong(client: Client) -> None:
    """stat(5): a stat is preceded by its own length; data that disagree with it are an error."""
    fid = client.create_file("f", b"x")
    valid = StatChange(length=0).encode()
    for malformed in (valid[:-1], b"\x05\0" + valid[2:], valid + b"x", b""):
        client.send(p9.Twstat(fid, malformed), 70)
        client.expect_error(client.wait_for_reply(70))
    check(client.read_file("f") == b"x", "a malformed wstat took effect")


@case("stat(5): an unknown fid is an error", PLAIN_ONLY)
def wstat_unknown_fid(client: Client) -> None:
    """stat(5): the fid of a wstat must be established; an unknown one is an error."""
    client.call_expecting_error(p9.Twstat(client.new_fid(), StatChange().encode()))


@case("stat(5): a change of permissions does not affect fids that are already open", PLAIN_ONLY)
def wstat_through_open_fid(client: Client) -> None:
    """open(5): permissions are checked at the open; later changes do not affect the open fid."""
    fid = client.create_file("f", b"x", 0o600)
    client.call(p9.Rwstat, p9.Twstat(fid, StatChange(mode=0o400).encode()))
    client.write(fid, b"y")
    check(client.read_file("f") == b"y", "the open fid can no longer be written")
