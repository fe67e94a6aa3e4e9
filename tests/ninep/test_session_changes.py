"""Changes over 9P: both dialects on both sides, order, what may have happened, and hard cases."""

from __future__ import annotations

import stat
from dataclasses import replace

import pytest

from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import linux as p9l
from garnetlanding.ninep import problems
from garnetlanding.ninep.model import (
    DMAPPEND,
    DMDIR,
    DMEXCL,
    KEEP4,
    KEEP8,
    STAT_HEAD,
    parse_stat,
    read_entries,
)
from tests.helpers import MS, SECOND, NineWorld, Tool, error, heard

PLAIN, LINUX = p9.VERSION, p9l.VERSION
BOTH = [PLAIN, LINUX]


def wstat(
    name: str = "",
    mode: int = KEEP4,
    mtime: int = KEEP4,
    length: int = KEEP8,
    gid: str = "",
    uid: str = "",
    atime: int = KEEP4,
) -> bytes:
    texts = b"".join(p9.pack("s", text) for text in (name, uid, gid, ""))
    return (
        STAT_HEAD.pack(
            STAT_HEAD.size - 2 + len(texts), 0xFFFF, KEEP4, 0xFF, KEEP4, KEEP8, mode, atime, mtime, length
        )
        + texts
    )


def rw(client: str = PLAIN, server: str = PLAIN, servers: int = 1, **more: object) -> tuple[NineWorld, Tool]:
    w = NineWorld(servers, access="rw", offer=server, **more)  # type: ignore[arg-type]
    return w, Tool(w, version=client)


def create(tool: Tool, fid: int, name: str, perm: int = 0o644, mode: int = p9.ORDWR) -> p9.Message:
    tool.walk(fid)
    if tool.linux:
        return tool.ask(p9l.Tlcreate(fid, name, mode | p9l.L_CREATE | p9l.L_EXCL, perm, p9l.NOGID))
    return tool.ask(p9.Tcreate(fid, name, perm, mode))


def number(reply: p9.Message) -> int:
    assert isinstance(reply, p9l.Rlerror), reply
    return reply.ecode


@pytest.mark.parametrize("client", BOTH)
@pytest.mark.parametrize("server", BOTH)
def test_a_file_is_made_written_read_and_removed(client: str, server: str) -> None:
    w, tool = rw(client, server)
    assert isinstance(create(tool, 5, "new"), p9.Rcreate | p9l.Rlcreate)
    assert tool.ask(p9.Twrite(5, 0, b"hello world")) == p9.Rwrite(11)
    assert tool.ask(p9.Twrite(5, 6, b"there")) == p9.Rwrite(5)
    assert tool.ask(p9.Tread(5, 0, 100)) == p9.Rread(b"hello there")
    assert w.disk.read("new") == b"hello there"
    assert tool.ask(p9.Tremove(5)) == p9.Rremove()
    assert "new" not in w.disk.root.names
    assert tool.ask(p9.Tclunk(5)) == (p9l.Rlerror(9) if tool.linux else p9.Rerror("unknown fid"))


@pytest.mark.parametrize("server", BOTH)
def test_each_field_of_a_wstat_and_what_it_leaves_alone(server: str) -> None:
    w, tool = rw(PLAIN, server)
    create(tool, 5, "f", perm=0o640)
    tool.ask(p9.Twrite(5, 0, b"0123456789"))
    node = w.disk.find("f")
    for change in ({"mode": 0o600}, {"length": 4}, {"mtime": 12345}, {"gid": "77"}, {"name": "g"}, {}):
        before = w.disk.attr(node)
        assert tool.ask(p9.Twstat(5, wstat(**change))) == p9.Rwstat()  # type: ignore[arg-type]
        after = w.disk.attr(node)
        kept = {"mode": after.mode & 0o777, "length": after.length, "mtime": after.mtime.s, "gid": after.gid}
        was = {
            "mode": before.mode & 0o777,
            "length": before.length,
            "mtime": before.mtime.s,
            "gid": before.gid,
        }
        wanted = was | {k: v for k, v in change.items() if k != "name"}
        kept.pop("mtime" if "length" in change else "none", None)
        assert all(wanted[key] == value for key, value in kept.items()), change
    assert list(w.disk.root.names)[-1] == "g"
    reply = tool.ask(p9.Tstat(5))
    assert isinstance(reply, p9.Rstat) and parse_stat(reply.stat).name == "g", "the fid follows its file"
    assert "cannot change" in error(tool.ask(p9.Twstat(5, wstat(uid="other", atime=3))))
    assert "directory" in error(tool.ask(p9.Twstat(5, wstat(mode=DMDIR | 0o700))))


def test_a_name_together_with_other_changes_is_atomic_or_refused() -> None:
    w, tool = rw(PLAIN, PLAIN)
    create(tool, 5, "f")
    assert tool.ask(p9.Twstat(5, wstat(name="g", mode=0o600))) == p9.Rwstat()
    w, tool = rw(PLAIN, LINUX)
    create(tool, 5, "f")
    assert "together" in error(tool.ask(p9.Twstat(5, wstat(name="g", mode=0o600))))
    assert "f" in w.disk.root.names
    create(tool, 6, "h")
    assert error(tool.ask(p9.Twstat(6, wstat(name="f")))) == "file already exists"


@pytest.mark.parametrize("server", BOTH)
def test_truncating_and_removing_on_close(server: str) -> None:
    w, tool = rw(PLAIN, server)
    tool.open(5, "readme", mode=p9.OWRITE | p9.OTRUNC)
    assert w.disk.read("readme") == b""
    create(tool, 6, "temp", mode=p9.ORDWR | p9.ORCLOSE)
    tool.ask(p9.Twrite(6, 0, b"x"))
    assert "temp" in w.disk.root.names
    assert tool.ask(p9.Tclunk(6)) == p9.Rclunk()
    assert "temp" not in w.disk.root.names


def test_remove_on_close_when_the_client_vanishes() -> None:
    w, tool = rw()
    create(tool, 6, "temp", mode=p9.ORDWR | p9.ORCLOSE)
    tool.close()
    w.run(100 * MS)
    assert "temp" not in w.disk.root.names and w.core.open_requests == 0


def test_append_only_files_take_each_write_once_at_their_end() -> None:
    w, tool = rw()
    create(tool, 5, "log", perm=DMAPPEND | 0o600, mode=p9.OWRITE)
    tool.ask(p9.Twrite(5, 0, b"one "))
    assert tool.ask(p9.Twrite(5, 0, b"two")) == p9.Rwrite(3)
    assert w.disk.read("log") == b"one two"
    w.files[0].script.add(Rule(p9.Twrite, Fault.RESET_AFTER))
    tool.send(p9.Twrite(5, 0, b"!"))
    w.run(3 * SECOND)
    assert error(tool.answers[-1][1]).startswith("may have happened")
    assert w.disk.read("log") == b"one two!", "not sent again, though it may be"


def test_exclusive_files_are_open_once() -> None:
    w, tool = rw()
    create(tool, 5, "lock", perm=DMEXCL | 0o600)
    other = Tool(w)
    other.walk(6, "lock")
    assert error(other.ask(p9.Topen(6, p9.OREAD))) == "exclusive use file already open"
    tool.ask(p9.Twrite(5, 0, b"mine"))
    tool.close()
    w.settle()
    assert isinstance(other.ask(p9.Topen(6, p9.OREAD)), p9.Ropen)
    assert other.ask(p9.Tread(6, 0, 9)) == p9.Rread(b"mine")


@pytest.mark.parametrize("server", BOTH)
def test_linux_names_links_and_directories(server: str) -> None:
    w, tool = rw(LINUX, server)
    made = tool.ask(p9l.Tmkdir(0, "dir", 0o755, p9l.NOGID))
    assert isinstance(made, p9l.Rmkdir) and made.qid.type == p9.QTDIR
    assert number(tool.ask(p9l.Tmkdir(0, "dir", 0o755, p9l.NOGID))) == problems.EEXIST
    create(tool, 5, "f")
    tool.walk(7, "dir")
    moved = tool.ask(p9l.Trename(5, 7, "g"))
    if server == LINUX:
        assert moved == p9l.Rrename() and tool.ask(p9.Twrite(5, 0, b"x")) == p9.Rwrite(1)
        assert w.disk.read("dir", "g") == b"x"
        assert isinstance(tool.ask(p9l.Tsymlink(0, "link", "dir/g", p9l.NOGID)), p9l.Rsymlink)
        tool.walk(8, "link")
        assert tool.ask(p9l.Treadlink(8)) == p9l.Rreadlink("dir/g")
        assert number(tool.ask(p9l.Tlopen(8, 0))) == problems.ELOOP
        assert tool.ask(p9l.Tlink(0, 5, "second")) == p9l.Rlink()
        assert w.disk.find("second") is w.disk.find("dir", "g")
        assert tool.ask(p9l.Trenameat(0, "second", 7, "g")) == p9l.Rrenameat()
        assert isinstance(tool.ask(p9l.Tstatfs(0)), p9l.Rstatfs)
    else:
        assert number(moved) == problems.EXDEV
        assert number(tool.ask(p9l.Tsymlink(0, "link", "dir/g", 0))) == problems.EOPNOTSUPP
        assert number(tool.ask(p9l.Tlink(0, 5, "second"))) == problems.EOPNOTSUPP
        assert number(tool.ask(p9l.Tstatfs(0))) == problems.EOPNOTSUPP
        assert tool.ask(p9l.Trenameat(0, "f", 0, "g")) == p9l.Rrenameat()
    assert number(tool.ask(p9l.Txattrwalk(0, 9, "user.x"))) == problems.EOPNOTSUPP
    assert number(tool.ask(p9l.Tunlinkat(0, "dir", 0))) == problems.EISDIR
    name = "f" if server == LINUX else "g"
    if server != LINUX:
        assert number(tool.ask(p9l.Tunlinkat(0, name, p9l.AT_REMOVEDIR))) == problems.ENOTDIR
        assert tool.ask(p9l.Tunlinkat(0, name, 0)) == p9l.Runlinkat()
        assert tool.ask(p9l.Tunlinkat(0, "dir", p9l.AT_REMOVEDIR)) == p9l.Runlinkat()


@pytest.mark.parametrize("server", BOTH)
def test_linux_attributes(server: str) -> None:
    w, tool = rw(LINUX, server)
    create(tool, 5, "f", perm=0o640)
    tool.ask(p9.Twrite(5, 0, b"0123456789"))
    valid = p9l.SET_MODE | p9l.SET_SIZE | p9l.SET_MTIME | p9l.SET_MTIME_TO
    assert tool.ask(p9l.Tsetattr(5, valid, 0o600, 0, 0, 4, 0, 0, 99, 5)) == p9l.Rsetattr()
    got = tool.ask(p9l.Tgetattr(5, p9l.GETATTR_BASIC))
    assert isinstance(got, p9l.Rgetattr)
    assert (stat.S_IMODE(got.mode), got.size, got.mtime_s) == (0o600, 4, 99) and stat.S_ISREG(got.mode)
    assert got.mtime_ns == (5 if server == LINUX else 0)
    assert tool.ask(p9l.Tfsync(5, 0)) == p9l.Rfsync()
    assert tool.ask(p9l.Tsetattr(5, p9l.SET_CTIME, 0, 0, 0, 0, 0, 0, 0, 0)) == p9l.Rsetattr()


@pytest.mark.parametrize("client", BOTH)
@pytest.mark.parametrize("server", BOTH)
def test_directories_are_read_in_small_pieces(client: str, server: str) -> None:
    names = [f"file{i:03}" for i in range(60)]
    w, tool = rw(client, server, tree={"d": {name: b"x" * i for i, name in enumerate(names)}})
    tool.open(5, "d")
    got: list[str] = []
    offset, sizes = 0, set()
    while True:
        if client == LINUX:
            reply = tool.ask(p9l.Treaddir(5, offset, 100))
            assert isinstance(reply, p9l.Rreaddir) and len(reply.data) <= 100
            entries = read_entries(reply.data)
            if not entries:
                break
            offset = entries[-1].cookie
            got += [e.name for e in entries if e.name not in (".", "..")]
        else:
            reply = tool.ask(p9.Tread(5, offset, 200))
            assert isinstance(reply, p9.Rread) and len(reply.data) <= 200
            if not reply.data:
                break
            offset += len(reply.data)
            reader = p9.Reader(reply.data)
            while reader.left:
                size = reader.number(2)
                raw = parse_stat(p9.pack("2", size) + reader.raw(size))
                got.append(raw.name)
                sizes.add(raw.length)
    assert got == names and (client == LINUX or sizes == set(range(60)))
    small = tool.ask(p9l.Treaddir(5, 0, 10) if client == LINUX else p9.Tread(5, 0, 10))
    assert small == (p9l.Rlerror(22) if tool.linux else p9.Rerror("count too small for a directory entry"))


def test_locks_are_kept_by_the_head() -> None:
    w, tool = rw(LINUX, LINUX)
    tool.open(5, "readme", mode=p9.ORDWR)
    other = Tool(w, version=LINUX)
    other.open(5, "readme", mode=p9.ORDWR)
    take = p9l.Tlock(5, p9l.LOCK_WRITE, 0, 10, 20, 7, "a")
    assert tool.ask(take) == p9l.Rlock(p9l.LOCK_DONE)
    assert other.ask(replace(take, start=25, client_id="b")) == p9l.Rlock(p9l.LOCK_BLOCKED)
    assert other.ask(p9l.Tgetlock(5, p9l.LOCK_READ, 0, 0, 8, "b")) == p9l.Rgetlock(
        p9l.LOCK_WRITE, 10, 20, 7, "a"
    )
    assert tool.ask(p9l.Tlock(5, p9l.LOCK_NONE, 0, 15, 5, 7, "a")) == p9l.Rlock(p9l.LOCK_DONE)
    assert other.ask(replace(take, start=15, length=5, client_id="b")) == p9l.Rlock(p9l.LOCK_DONE)
    assert other.ask(replace(take, start=20, length=5, client_id="b")) == p9l.Rlock(p9l.LOCK_BLOCKED)
    tool.close()
    w.settle()
    assert other.ask(replace(take, start=20, length=5, client_id="b")) == p9l.Rlock(p9l.LOCK_DONE)
    other.ask(p9.Tclunk(5))
    assert w.front_9p.locks.count == 0


# Order, and what may have happened.


def test_changes_of_one_file_go_in_the_order_they_came_also_after_a_lost_attempt() -> None:
    """Writes went out together: the second overtook the first, whose attempt was sent again over it."""
    w, tool = rw(servers=2)
    tool.open(5, "readme", mode=p9.OWRITE)
    w.files[0].script.add(Rule(p9.Twrite, Fault.RESET_BEFORE))
    for tag, data in ((1, b"first"), (2, b"secnd"), (3, b"third")):
        tool.say(p9.encode(tag, p9.Twrite(5, 0, data)))
    w.run(2 * SECOND)
    assert [m for t, m in tool.answers[-3:]] == [p9.Rwrite(5)] * 3
    assert [r[3] for r in w.disk.ran if r[0] == "write"] == [b"first", b"secnd", b"third"]


def test_a_late_first_attempt_does_not_undo_what_came_after_it() -> None:
    """A server that was given up ran the first write after the second was acknowledged."""
    w, tool = rw()
    tool.open(5, "readme", mode=p9.OWRITE)
    other = Tool(w)
    other.open(5, "readme", mode=p9.OWRITE)
    w.files[0].script.add(Rule(p9.Twrite, Fault.LATE, delay_us=300 * MS))
    tool.send(p9.Twrite(5, 0, b"first"), tag=1)
    w.run(200 * MS)
    assert tool.answers[-1] == (1, p9.Rwrite(5)), "by its second attempt"
    other.send(p9.Twrite(5, 0, b"other"), tag=2)
    w.run(SECOND)
    assert other.answers[-1] == (2, p9.Rwrite(5)) and w.disk.read("readme") == b"other"


def test_what_is_renamed_by_one_request_is_written_by_the_next() -> None:
    w, tool = rw()
    tool.open(5, "sv", "notes", mode=p9.OWRITE)
    tool.walk(6, "sv")
    tool.say(p9.encode(1, p9.Twstat(6, wstat(name="se"))) + p9.encode(2, p9.Twrite(5, 0, b"DRAFT")))
    w.run(SECOND)
    assert tool.answers[-2:] == [(1, p9.Rwstat()), (2, p9.Rwrite(5))]
    assert w.disk.read("se", "notes") == b"DRAFT"


@pytest.mark.parametrize(
    "fault, ran, words",
    [
        (Fault.RESET_AFTER, 1, "may have happened"),
        (Fault.HALF, 1, "may have happened"),
        (Fault.WRONG_TAG, 1, "may have happened"),
        (Fault.RESET_BEFORE, 0, "may have happened"),
    ],
)
def test_what_may_not_run_twice_is_not_sent_twice(fault: Fault, ran: int, words: str) -> None:
    w, tool = rw(servers=2)
    tool.walk(6)
    w.files[0].script.add(Rule(p9.Tcreate, fault))
    tool.send(p9.Tcreate(6, "once", 0o644, p9.ORDWR), tag=1)
    w.run(2 * SECOND)
    assert error(tool.answers[-1][1]).startswith(words)
    assert len([r for r in w.disk.ran if r[0] == "make"]) == ran
    assert len(heard(w, p9.Tcreate, 0)) + len(heard(w, p9.Tcreate, 1)) == 1


def test_a_walk_that_is_lost_ahead_of_a_create_proves_that_nothing_ran() -> None:
    """Such an attempt counted as one that may have run, and the create was given up for nothing."""
    w, tool = rw(servers=2)
    tool.walk(6)
    w.files[0].script.add(Rule(p9.Twalk, Fault.RESET_BEFORE))
    tool.send(p9.Tcreate(6, "once", 0o644, p9.ORDWR), tag=1)
    w.run(2 * SECOND)
    assert isinstance(tool.answers[-1][1], p9.Rcreate)


def test_a_refused_change_that_was_never_sent_may_come_again() -> None:
    w, tool = rw()
    tool.open(5, "readme", mode=p9.OWRITE)
    w.drained(0)
    tool.send(p9.Twrite(5, 0, b"x"), tag=2)
    w.run(2 * SECOND)
    assert error(tool.answers[-1][1]) == "busy; come again after 1000 ms"


def test_a_large_write_goes_in_parts_and_a_drain_half_way_sends_no_more_there() -> None:
    w = NineWorld(2, access="rw")
    for server in w.files:
        server.msize = 1024
    big = Tool(w, msize=8192)
    big.open(5, "readme", mode=p9.OWRITE)
    w.files[0].script.add(Rule(p9.Twrite, Fault.STALL, after=1))
    data = bytes(range(250)) * 12
    big.send(p9.Twrite(5, 0, data), tag=1)
    sent = len(heard(w, p9.Twrite, 0))
    w.drained(0)
    w.list(w.boxes[1], whole=False)
    w.files[0].release()
    w.run(2 * SECOND)
    assert big.answers[-1] == (1, p9.Rwrite(len(data))) and w.disk.read("readme") == data
    assert len(heard(w, p9.Twrite, 0)) == sent == 2


def test_a_server_that_drains_between_the_walk_and_the_open_is_not_sent_the_open() -> None:
    w, tool = rw(servers=2)
    tool.walk(5, "readme")
    w.drained(0)
    w.list(w.boxes[1], whole=False)
    before = len(w.files[0].heard)
    assert isinstance(tool.ask(p9.Topen(5, p9.ORDWR)), p9.Ropen)
    assert tool.ask(p9.Twrite(5, 0, b"HELLO")) == p9.Rwrite(5)
    assert len(w.files[0].heard) == before and w.disk.read("readme") == b"HELLO"


def test_a_server_that_drains_within_an_open_is_sent_no_further_message() -> None:
    """The walk of the attempt was out when the drain was told; the open behind it is new work."""
    w, tool = rw(servers=2)
    tool.walk(5, "readme")
    w.hold(p9.Twalk)
    tool.send(p9.Topen(5, p9.OWRITE | p9.OTRUNC), tag=1)
    w.drained(0)
    w.list(w.boxes[1], whole=False)
    w.files[0].release()
    w.run(SECOND)
    assert isinstance(tool.answers[-1][1], p9.Ropen)
    assert not heard(w, p9.Topen, 0) and len(heard(w, p9.Topen, 1)) == 1


@pytest.mark.parametrize(
    "message",
    [
        p9.Twalk(0, 9, ("sv",)),
        p9.Tcreate(6, "made", 0o644, 1),
        p9.Tread(7, 0, 200),
        p9.Twrite(5, 0, b"HELLO"),
    ],
)
@pytest.mark.parametrize("end", ["flush", "clunk"])
def test_a_flush_or_a_clunk_in_the_middle_leaves_one_answer_a_tag(message: p9.Message, end: str) -> None:
    w, tool = rw()
    tool.open(5, "readme", mode=p9.OWRITE)
    tool.walk(6)
    tool.open(7, "sv")
    w.files[0].script.add(Rule(type(message), Fault.SLOW, delay_us=100 * MS))
    fid = {p9.Twalk: 0, p9.Tcreate: 6, p9.Tread: 7, p9.Twrite: 5}[type(message)]  # type: ignore[index]
    tool.send(message, tag=71)
    tool.send(p9.Tflush(71) if end == "flush" else p9.Tclunk(fid), tag=72)
    w.run(SECOND)
    tags = [tag for tag, _ in tool.answers]
    assert tags.count(72) == 1 and tags.count(71) == (
        0 if end == "flush" and isinstance(message, p9.Twalk | p9.Tread) else 1
    )
    assert tags[-1] == 72 or isinstance(message, p9.Twalk), "what it ends is answered first, or not at all"
    assert w.core.open_requests == 0 and len(w.front_9p.order) == 0


# Flush, clunk, hang up.


def test_a_flush_of_a_change_that_may_have_run_waits_for_its_answer() -> None:
    w, tool = rw()
    tool.walk(6)
    w.files[0].script.add(Rule(p9.Tcreate, Fault.SLOW, delay_us=100 * MS))
    tool.send(p9.Tcreate(6, "f", 0o644, p9.ORDWR), tag=1)
    assert tool.send(p9.Tflush(1), tag=2) == [] and tool.send(p9.Tflush(2), tag=3) == []
    w.run(300 * MS)
    assert [t for t, _ in tool.answers[-3:]] == [1, 2, 3] and isinstance(tool.answers[-3][1], p9.Rcreate)
    assert tool.ask(p9.Twrite(6, 0, b"x"), tag=1) == p9.Rwrite(1), "the tag is free"


def test_a_flush_of_a_change_that_waits_takes_it_back() -> None:
    w, tool = rw()
    tool.open(5, "readme", mode=p9.OWRITE)
    w.files[0].script.add(Rule(p9.Twrite, Fault.SLOW, delay_us=100 * MS))
    tool.send(p9.Twrite(5, 0, b"HELLO"), tag=1)
    tool.send(p9.Twrite(5, 0, b"never"), tag=2)
    assert tool.send(p9.Tflush(2), tag=3) == [(3, p9.Rflush())]
    w.run(SECOND)
    assert w.disk.read("readme") == b"HELLO" and tool.answers[-1] == (1, p9.Rwrite(5))


def test_a_clunk_waits_for_changes_and_gives_up_reads() -> None:
    w, tool = rw()
    tool.open(5, "readme", mode=p9.ORDWR)
    w.files[0].script.add(Rule(p9.Twrite, Fault.SLOW, delay_us=100 * MS), Rule(p9.Tread, Fault.STALL))
    tool.send(p9.Twrite(5, 0, b"HELLO"), tag=1)
    tool.send(p9.Tread(5, 0, 10), tag=2)
    tool.send(p9.Twrite(5, 1, b"u"), tag=3)
    assert tool.send(p9.Tclunk(5), tag=4) == [(2, p9.Rerror("fid clunked"))]
    assert error(tool.ask(p9.Tstat(5), tag=9)) == "unknown fid"
    w.run(SECOND)
    assert tool.answers[-3:] == [(1, p9.Rwrite(5)), (3, p9.Rwrite(1)), (4, p9.Rclunk())]
    assert w.disk.read("readme") == b"HuLLO"


@pytest.mark.parametrize(
    "message",
    [
        p9.Twrite(5, 0, b"HELLO"),
        p9.Tcreate(6, "made", 0o644, 1),
        p9.Twalk(0, 9, ("sv",)),
        p9.Tread(7, 0, 200),
    ],
)
def test_a_client_that_hangs_up_half_way_leaves_nothing_behind(message: p9.Message) -> None:
    w, tool = rw()
    tool.open(5, "readme", mode=p9.OWRITE)
    tool.walk(6)
    tool.open(7, "sv")
    w.files[0].script.add(Rule(type(message), Fault.SLOW, delay_us=100 * MS))
    tool.send(message, tag=1)
    tool.close()
    w.run(2 * SECOND)
    assert w.core.open_requests == 0 and len(w.front_9p.order) == 0 and not w.front_9p.clients
    if isinstance(message, p9.Twrite):
        assert w.disk.read("readme") == b"HELLO", "what was sent whole runs to its end"


def test_a_new_version_lets_a_change_run_to_its_end_unheard() -> None:
    w, tool = rw()
    tool.open(5, "readme", mode=p9.OWRITE)
    w.files[0].script.add(Rule(p9.Twrite, Fault.SLOW, delay_us=100 * MS))
    tool.send(p9.Twrite(5, 0, b"HELLO"), tag=1)
    assert tool.ask(p9.Tversion(512, PLAIN), p9.NOTAG) == p9.Rversion(512, PLAIN)
    before = len(tool.answers)
    w.run(SECOND)
    assert tool.answers[before:] == [] and w.disk.read("readme") == b"HELLO"
    tool.ask(p9.Tattach(0, p9.NOFID, "ann", "glossaries"))
    tool.open(5, "sv", "law", "terms")
    reply = tool.ask(p9.Tread(5, 0, 8192))
    assert isinstance(reply, p9.Rread) and len(reply.data) == 512 - 24


def test_a_client_that_vanishes_with_a_clunk_waiting_for_a_change() -> None:
    """Dropping the change ended the clunk, which the reset then missed: its removals were lost."""
    w, tool = rw()
    tool.open(5, "readme", mode=p9.OWRITE)
    create(tool, 6, "temp", mode=p9.ORDWR | p9.ORCLOSE)
    w.files[0].script.add(Rule(p9.Twalk, Fault.STALL))
    w.nine._idle.clear()
    w.files[0].drop()
    tool.send(p9.Twrite(5, 0, b"x"), tag=1)
    tool.send(p9.Tclunk(5), tag=2)
    tool.close()
    w.run(SECOND)
    assert "temp" not in w.disk.root.names and not w.front_9p.clients and len(w.front_9p.order) == 0


def test_a_burst_of_messages_is_taken_a_few_a_turn() -> None:
    """A hundred messages in one segment held the loop up until all were taken."""
    w, tool = rw(ninep_turn=4)
    tool.open(5, "readme")
    [machine] = w.front_9p.clients.values()
    machine.feed(b"".join(p9.encode(tag, p9.Tflush(9)) for tag in range(10, 20)))
    assert machine.waiting and machine.taken == 4 + 4, "hello, attach, walk, open, and four of these"
    machine.feed(b"")
    machine.feed(b"")
    assert not machine.waiting and machine.taken == 14
    tool.say(b"".join(p9.encode(tag, p9.Tread(5, 0, 9)) for tag in range(50, 80)))
    w.settle()
    assert sorted(tag for tag, _ in tool.answers if 50 <= tag < 80) == list(range(50, 80))


def test_a_client_that_floods_waits_for_itself_and_not_others_for_it() -> None:
    """All of a client's requests were with the core at once: others waited behind a hundred of them."""
    w, tool = rw(ninep_items=3)
    tool.open(5, "readme")
    other = Tool(w)
    other.open(5, "readme")
    w.files[0].script.add(Rule(p9.Tread, Fault.SLOW, times=-1, delay_us=10 * MS))
    w.run(200 * MS)
    tool.say(b"".join(p9.encode(tag, p9.Tread(5, 0, 9)) for tag in range(10, 40)))
    assert w.core.open_requests == 3
    tool.say(p9.encode(99, p9.Tflush(39)))
    assert tool.answers[-1] == (99, p9.Rflush()), "also what waits can be flushed"
    other.send(p9.Tread(5, 0, 9), tag=1)
    assert w.core.open_requests == 4
    w.run(10 * MS)
    assert w.core.open_requests == 1, "beside another client it has its part"
    w.run(800 * MS)
    assert sorted(tag for tag, _ in tool.answers if 10 <= tag < 40) == list(range(10, 39))
    tool.say(b"".join(p9.encode(tag, p9.Tread(5, 0, 9)) for tag in range(10, 40)))
    tool.close()
    w.run(SECOND)
    assert w.core.open_requests == 0


# Files that are no longer what they were.


@pytest.mark.parametrize("how", ["replaced", "restarted", "removed"])
def test_a_path_that_names_another_file_gives_an_error_not_its_bytes(how: str) -> None:
    """Only the qid's type was compared: after a reset, a read returned the bytes of a new file."""
    w, tool = rw()
    tool.open(5, "readme", mode=p9.ORDWR)
    tool.walk(6, "readme")
    if how == "restarted":
        w.files[0].restart(new_qids=True)
    else:
        w.disk.unlink(w.disk.root, "readme", "root")
        w.files[0].restart()
    if how == "replaced":
        w.disk.write(w.disk.make(w.disk.root, "readme", 0o100666, "root"), 0, b"other", "root")
    w.settle()
    words = "does not exist" if how == "removed" else "replaced by another"
    for message in (p9.Tread(5, 0, 9), p9.Twrite(5, 0, b"x"), p9.Tstat(6), p9.Topen(6, p9.OREAD)):
        assert words in error(tool.ask(message))
    assert words in error(tool.ask(p9.Tremove(6)))
    assert ("readme" in w.disk.root.names) == (how != "removed")


def test_a_file_removed_while_open_is_read_on_where_it_is_open() -> None:
    w, tool = rw()
    tool.open(5, "readme")
    assert tool.ask(p9.Tread(5, 0, 2)) == p9.Rread(b"he")
    w.disk.unlink(w.disk.root, "readme", "root")
    assert tool.ask(p9.Tread(5, 2, 9)) == p9.Rread(b"llo")


def test_two_clients_make_the_same_file_through_two_servers_and_one_wins() -> None:
    w, tool = rw(servers=2)
    other = Tool(w)
    tool.walk(6)
    other.walk(6)
    w.hold(p9.Tcreate)
    tool.send(p9.Tcreate(6, "one", 0o644, p9.ORDWR), tag=71)
    w.drained(0)
    w.list(w.boxes[1], whole=False)
    assert isinstance(other.ask(p9.Tcreate(6, "one", 0o644, p9.ORDWR)), p9.Rcreate)
    w.files[0].release()
    w.run(SECOND)
    assert tool.answers[-1] == (71, p9.Rerror("file already exists"))
    assert len(heard(w, p9.Tcreate, 0)) == len(heard(w, p9.Tcreate, 1)) == 1
    assert len([r for r in w.disk.ran if r[0] == "make"]) == 1


# Servers that do wrong.


@pytest.mark.parametrize(
    "fault",
    [Fault.WRONG_COUNT, Fault.WRONG_TYPE, Fault.WRONG_TAG, Fault.HALF, Fault.RESET_AFTER, Fault.RESET_BEFORE],
)
def test_a_write_whose_answer_is_spoilt_is_sent_again_and_is_there(fault: Fault) -> None:
    w, tool = rw()
    tool.open(5, "readme", mode=p9.OWRITE)
    w.files[0].script.add(Rule(p9.Twrite, fault))
    tool.send(p9.Twrite(5, 0, b"HELLO"), tag=1)
    w.run(2 * SECOND)
    assert tool.answers[-1] == (1, p9.Rwrite(5)) and w.disk.read("readme") == b"HELLO"


@pytest.mark.parametrize("client, code", [(PLAIN, "no space left on device"), (LINUX, problems.ENOSPC)])
def test_a_full_disk_and_a_denied_permission_are_told_in_the_clients_words(client: str, code: object) -> None:
    w, tool = rw(client, PLAIN)
    tool.open(5, "readme", mode=p9.OWRITE)
    w.disk.capacity = w.disk.used
    reply = tool.ask(p9.Twrite(5, 0, b"x" * 100))
    assert code == (number(reply) if tool.linux else error(reply))
    w.disk.find("sv").mode = stat.S_IFDIR | 0o500
    tool.walk(7, "sv")
    w.disk.find("sv", "notes").mode = stat.S_IFREG | 0o400
    denied = tool.ask(
        p9l.Tlcreate(7, "x", p9l.L_CREATE, 0o644, 0) if tool.linux else p9.Tcreate(7, "x", 0o644, p9.OWRITE)
    )
    assert (number(denied) if tool.linux else error(denied)) == (
        problems.EACCES if tool.linux else "permission denied"
    )


def test_offsets_past_what_a_server_can_hold() -> None:
    w, tool = rw()
    tool.open(5, "readme", mode=p9.ORDWR)
    for message in (
        p9.Tread(5, 1 << 63, 9),
        p9.Twrite(5, (1 << 64) - 1, b"x"),
        p9.Tread(5, (1 << 63) - 4, 9),
    ):
        assert error(tool.ask(message)) == "illegal offset"
    assert tool.ask(p9.Tread(5, 1 << 62, 9)) == p9.Rread(b"")


def test_in_an_export_that_is_read_only_nothing_reaches_a_server() -> None:
    w = NineWorld(offer=LINUX)
    tool = Tool(w, version=LINUX)
    tool.open(5, "readme")
    heard_before = len(w.files[0].heard)
    for message in (
        p9l.Tlcreate(0, "x", 1, 0, 0),
        p9l.Tmkdir(0, "x", 0, 0),
        p9l.Tunlinkat(0, "readme", 0),
        p9l.Trenameat(0, "readme", 0, "x"),
        p9l.Tsymlink(0, "x", "y", 0),
        p9l.Tsetattr(5, 1, 0, 0, 0, 0, 0, 0, 0, 0),
        p9l.Tlink(0, 5, "x"),
    ):
        assert number(tool.ask(message)) == problems.EROFS, message
    assert tool.ask(p9l.Tfsync(5, 0)) == p9l.Rfsync()
    assert len(w.files[0].heard) == heard_before
