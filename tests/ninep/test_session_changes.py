"""Changes over 9P, with each dialect on the client side and on the server side."""

from __future__ import annotations

import stat
from dataclasses import replace

import pytest

from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors
from garnetlanding.ninep.attribute_format import read_entries
from garnetlanding.ninep.model import DMAPPEND, DMDIR, DMEXCL
from garnetlanding.ninep.stat_format import parse_stat
from tests.support.clock import MS, SECOND
from tests.support.ninep_changes import LINUX, PLAIN, create_file, error_number, writable_instance, wstat
from tests.support.ninep_instance import NinepClient, error_text

BOTH = [PLAIN, LINUX]


@pytest.mark.parametrize("client_version", BOTH)
@pytest.mark.parametrize("server_version", BOTH)
def test_file_is_created_written_read_and_removed(client_version: str, server_version: str) -> None:
    instance, client = writable_instance(client_version, server_version)
    assert isinstance(create_file(client, 5, "new"), p9.Rcreate | p9l.Rlcreate)
    assert client.request(p9.Twrite(5, 0, b"hello world")) == p9.Rwrite(11)
    assert client.request(p9.Twrite(5, 6, b"there")) == p9.Rwrite(5)
    assert client.request(p9.Tread(5, 0, 100)) == p9.Rread(b"hello there")
    assert instance.disk.read("new") == b"hello there"
    assert client.request(p9.Tremove(5)) == p9.Rremove()
    assert "new" not in instance.disk.root.names
    assert client.request(p9.Tclunk(5)) == (p9l.Rlerror(9) if client.linux else p9.Rerror("unknown fid"))


@pytest.mark.parametrize("server_version", BOTH)
def test_wstat_changes_its_field_and_no_other(server_version: str) -> None:
    instance, client = writable_instance(PLAIN, server_version)
    create_file(client, 5, "f", perm=0o640)
    client.request(p9.Twrite(5, 0, b"0123456789"))
    node = instance.disk.find("f")
    for change in ({"mode": 0o600}, {"length": 4}, {"mtime": 12345}, {"gid": "77"}, {"name": "g"}, {}):
        before = instance.disk.attr(node)
        assert client.request(p9.Twstat(5, wstat(**change))) == p9.Rwstat()
        after = instance.disk.attr(node)
        kept = {
            "mode": after.mode & 0o777,
            "length": after.length,
            "mtime": after.mtime.seconds,
            "gid": after.gid,
        }
        was = {
            "mode": before.mode & 0o777,
            "length": before.length,
            "mtime": before.mtime.seconds,
            "gid": before.gid,
        }
        wanted = was | {k: v for k, v in change.items() if k != "name"}
        kept.pop("mtime" if "length" in change else "none", None)
        assert all(wanted[key] == value for key, value in kept.items()), change
    assert list(instance.disk.root.names)[-1] == "g"
    reply = client.request(p9.Tstat(5))
    assert isinstance(reply, p9.Rstat), "the fid follows its file"
    assert parse_stat(reply.stat).name == "g", "the fid follows its file"
    assert "cannot change" in error_text(client.request(p9.Twstat(5, wstat(uid="other", atime=3))))
    assert "directory" in error_text(client.request(p9.Twstat(5, wstat(mode=DMDIR | 0o700))))


def test_wstat_of_a_name_with_other_fields_is_atomic_or_rejected() -> None:
    instance, client = writable_instance(PLAIN, PLAIN)
    create_file(client, 5, "f")
    assert client.request(p9.Twstat(5, wstat(name="g", mode=0o600))) == p9.Rwstat()
    instance, client = writable_instance(PLAIN, LINUX)
    create_file(client, 5, "f")
    assert "together" in error_text(client.request(p9.Twstat(5, wstat(name="g", mode=0o600))))
    assert "f" in instance.disk.root.names
    create_file(client, 6, "h")
    assert error_text(client.request(p9.Twstat(6, wstat(name="f")))) == "file already exists"


@pytest.mark.parametrize("server_version", BOTH)
def test_truncate_on_open_and_remove_on_close_take_effect(server_version: str) -> None:
    instance, client = writable_instance(PLAIN, server_version)
    client.open(5, "readme", mode=p9.OWRITE | p9.OTRUNC)
    assert instance.disk.read("readme") == b""
    create_file(client, 6, "temp", mode=p9.ORDWR | p9.ORCLOSE)
    client.request(p9.Twrite(6, 0, b"x"))
    assert "temp" in instance.disk.root.names
    assert client.request(p9.Tclunk(6)) == p9.Rclunk()
    assert "temp" not in instance.disk.root.names


def test_remove_on_close_happens_when_the_client_disconnects() -> None:
    instance, client = writable_instance()
    create_file(client, 6, "temp", mode=p9.ORDWR | p9.ORCLOSE)
    client.close()
    instance.run(100 * MS)
    assert "temp" not in instance.disk.root.names
    assert instance.core.open_requests == 0


def test_append_only_file_takes_each_write_once_at_its_end() -> None:
    instance, client = writable_instance()
    create_file(client, 5, "log", perm=DMAPPEND | 0o600, mode=p9.OWRITE)
    client.request(p9.Twrite(5, 0, b"one "))
    assert client.request(p9.Twrite(5, 0, b"two")) == p9.Rwrite(3)
    assert instance.disk.read("log") == b"one two"
    instance.file_servers[0].script.add(Rule(p9.Twrite, Fault.RESET_AFTER))
    client.send(p9.Twrite(5, 0, b"!"))
    instance.run(3 * SECOND)
    assert error_text(client.replies[-1][1]).startswith("may have happened")
    assert instance.disk.read("log") == b"one two!", "executed once and not retried"


def test_exclusive_file_is_open_once_at_a_time() -> None:
    instance, client = writable_instance()
    create_file(client, 5, "lock", perm=DMEXCL | 0o600)
    other = NinepClient(instance)
    other.walk(6, "lock")
    assert error_text(other.request(p9.Topen(6, p9.OREAD))) == "exclusive use file already open"
    client.request(p9.Twrite(5, 0, b"mine"))
    client.close()
    instance.settle()
    assert isinstance(other.request(p9.Topen(6, p9.OREAD)), p9.Ropen)
    assert other.request(p9.Tread(6, 0, 9)) == p9.Rread(b"mine")


@pytest.mark.parametrize("server_version", BOTH)
def test_linux_dialect_creates_links_and_directories(server_version: str) -> None:
    instance, client = writable_instance(LINUX, server_version)
    made = client.request(p9l.Tmkdir(0, "dir", 0o755, p9l.NOGID))
    assert isinstance(made, p9l.Rmkdir)
    assert made.qid.type == p9.QTDIR
    assert error_number(client.request(p9l.Tmkdir(0, "dir", 0o755, p9l.NOGID))) == errors.EEXIST
    create_file(client, 5, "f")
    client.walk(7, "dir")
    moved = client.request(p9l.Trename(5, 7, "g"))
    if server_version == LINUX:
        assert moved == p9l.Rrename()
        assert client.request(p9.Twrite(5, 0, b"x")) == p9.Rwrite(1)
        assert instance.disk.read("dir", "g") == b"x"
        assert isinstance(client.request(p9l.Tsymlink(0, "link", "dir/g", p9l.NOGID)), p9l.Rsymlink)
        client.walk(8, "link")
        assert client.request(p9l.Treadlink(8)) == p9l.Rreadlink("dir/g")
        assert error_number(client.request(p9l.Tlopen(8, 0))) == errors.ELOOP
        assert client.request(p9l.Tlink(0, 5, "second")) == p9l.Rlink()
        assert instance.disk.find("second") is instance.disk.find("dir", "g")
        assert client.request(p9l.Trenameat(0, "second", 7, "g")) == p9l.Rrenameat()
        assert isinstance(client.request(p9l.Tstatfs(0)), p9l.Rstatfs)
    else:
        assert error_number(moved) == errors.EXDEV
        assert error_number(client.request(p9l.Tsymlink(0, "link", "dir/g", 0))) == errors.EOPNOTSUPP
        assert error_number(client.request(p9l.Tlink(0, 5, "second"))) == errors.EOPNOTSUPP
        assert error_number(client.request(p9l.Tstatfs(0))) == errors.EOPNOTSUPP
        assert client.request(p9l.Trenameat(0, "f", 0, "g")) == p9l.Rrenameat()
    assert error_number(client.request(p9l.Txattrwalk(0, 9, "user.x"))) == errors.EOPNOTSUPP
    assert error_number(client.request(p9l.Tunlinkat(0, "dir", 0))) == errors.EISDIR
    name = "f" if server_version == LINUX else "g"
    if server_version != LINUX:
        assert error_number(client.request(p9l.Tunlinkat(0, name, p9l.AT_REMOVEDIR))) == errors.ENOTDIR
        assert client.request(p9l.Tunlinkat(0, name, 0)) == p9l.Runlinkat()
        assert client.request(p9l.Tunlinkat(0, "dir", p9l.AT_REMOVEDIR)) == p9l.Runlinkat()


@pytest.mark.parametrize("server_version", BOTH)
def test_linux_dialect_reads_and_sets_attributes(server_version: str) -> None:
    instance, client = writable_instance(LINUX, server_version)
    create_file(client, 5, "f", perm=0o640)
    client.request(p9.Twrite(5, 0, b"0123456789"))
    valid = p9l.SETATTR_MODE | p9l.SETATTR_SIZE | p9l.SETATTR_MTIME | p9l.SETATTR_MTIME_SET
    assert client.request(p9l.Tsetattr(5, valid, 0o600, 0, 0, 4, 0, 0, 99, 5)) == p9l.Rsetattr()
    got = client.request(p9l.Tgetattr(5, p9l.GETATTR_BASIC))
    assert isinstance(got, p9l.Rgetattr)
    assert (stat.S_IMODE(got.mode), got.size, got.mtime_s) == (0o600, 4, 99)
    assert stat.S_ISREG(got.mode)
    assert got.mtime_ns == (5 if server_version == LINUX else 0)
    assert client.request(p9l.Tfsync(5, 0)) == p9l.Rfsync()
    assert client.request(p9l.Tsetattr(5, p9l.SETATTR_CTIME, 0, 0, 0, 0, 0, 0, 0, 0)) == p9l.Rsetattr()


@pytest.mark.parametrize("client_version", BOTH)
@pytest.mark.parametrize("server_version", BOTH)
def test_directory_is_read_whole_in_small_pieces(client_version: str, server_version: str) -> None:
    names = [f"file{i:03}" for i in range(60)]
    instance, client = writable_instance(
        client_version, server_version, tree={"d": {name: b"x" * i for i, name in enumerate(names)}}
    )
    client.open(5, "d")
    got: list[str] = []
    offset, sizes = 0, set()
    while True:
        if client_version == LINUX:
            reply = client.request(p9l.Treaddir(5, offset, 100))
            assert isinstance(reply, p9l.Rreaddir)
            assert len(reply.data) <= 100
            entries = read_entries(reply.data)
            if not entries:
                break
            offset = entries[-1].cookie
            got += [e.name for e in entries if e.name not in (".", "..")]
        else:
            reply = client.request(p9.Tread(5, offset, 200))
            assert isinstance(reply, p9.Rread)
            assert len(reply.data) <= 200
            if not reply.data:
                break
            offset += len(reply.data)
            reader = p9.FieldReader(reply.data)
            while reader.remaining:
                size = reader.read_int(2)
                raw = parse_stat(p9.pack_field("2", size) + reader.read_bytes(size))
                got.append(raw.name)
                sizes.add(raw.length)
    assert got == names
    assert client_version == LINUX or sizes == set(range(60))
    small = client.request(p9l.Treaddir(5, 0, 10) if client_version == LINUX else p9.Tread(5, 0, 10))
    assert small == (p9l.Rlerror(22) if client.linux else p9.Rerror("count too small for a directory entry"))


def test_locks_are_held_by_the_instance() -> None:
    instance, client = writable_instance(LINUX, LINUX)
    client.open(5, "readme", mode=p9.ORDWR)
    other = NinepClient(instance, version=LINUX)
    other.open(5, "readme", mode=p9.ORDWR)
    take = p9l.Tlock(5, p9l.LOCK_TYPE_WRITE, 0, 10, 20, 7, "a")
    assert client.request(take) == p9l.Rlock(p9l.LOCK_STATUS_SUCCESS)
    assert other.request(replace(take, start=25, client_id="b")) == p9l.Rlock(p9l.LOCK_STATUS_BLOCKED)
    assert other.request(p9l.Tgetlock(5, p9l.LOCK_TYPE_READ, 0, 0, 8, "b")) == p9l.Rgetlock(
        p9l.LOCK_TYPE_WRITE, 10, 20, 7, "a"
    )
    assert client.request(p9l.Tlock(5, p9l.LOCK_TYPE_UNLOCK, 0, 15, 5, 7, "a")) == p9l.Rlock(
        p9l.LOCK_STATUS_SUCCESS
    )
    assert other.request(replace(take, start=15, length=5, client_id="b")) == p9l.Rlock(
        p9l.LOCK_STATUS_SUCCESS
    )
    assert other.request(replace(take, start=20, length=5, client_id="b")) == p9l.Rlock(
        p9l.LOCK_STATUS_BLOCKED
    )
    client.close()
    instance.settle()
    assert other.request(replace(take, start=20, length=5, client_id="b")) == p9l.Rlock(
        p9l.LOCK_STATUS_SUCCESS
    )
    other.request(p9.Tclunk(5))
    assert instance.shared_state.locks.count == 0
