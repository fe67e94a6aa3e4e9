"""Operators: their calls, what outlasts a process, bans, drain, and the figures."""

from __future__ import annotations

import json
import pathlib
import random
import zlib
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding import cli, config
from garnetlanding.core.metrics import RequestMetrics, encode
from garnetlanding.core.ports import Failed, Rejected, Served
from garnetlanding.decision import interface as api
from garnetlanding.emulator.brick import Brick
from garnetlanding.emulator.discovery import Box
from garnetlanding.ops import admin_client
from garnetlanding.ops.admin_connection import AdminConnection
from garnetlanding.ops.admin_service import AdminService
from garnetlanding.ops.admin_state import AdminState, AdminStateError, decode
from garnetlanding.ops.managed_instance import ManagedInstance
from garnetlanding.ops.state_file import StateFile
from garnetlanding.resp.front import ClientMachine
from garnetlanding.runtime.listener import Listener
from tests.daemon.test_daemon import BASE
from tests.helpers import MS, SECOND, T0, Peer, World, read_command


class Office(World):
    """A head's front and its operators' front before two bricks of one cell each."""

    def __init__(self, folder: pathlib.Path, **limits: int) -> None:
        super().__init__(**limits)
        self.brick = self.server(Brick)
        self.boxes = [Box("b0", self.brick.address, 0), Box("b1", self.brick.address, 1)]
        self.told = True
        self.clients = Listener(
            self.scheduler,
            "127.0.0.1:0",
            self.pool,
            self.limits,
            self.limits.client_conns,
            lambda write: ClientMachine(
                self.core,
                self.bricks,
                self.pool,
                self.limits,
                set(),
                write,
                lambda: self.desk.accepts_clients,
            ),
            True,
        )
        self.desk = AdminService(
            ManagedInstance(
                scheduler=self.scheduler,
                engine=self.core,
                clients=self.clients,
                limits=self.limits,
                endpoints_known=lambda: self.told,
            ),
            StateFile(str(folder), "n1"),
        )
        self.ops = Listener(
            self.scheduler,
            "127.0.0.1:0",
            self.pool,
            self.limits,
            self.limits.ops_conns,
            lambda write: AdminConnection(self.desk, self.pool, self.limits, write),
        )
        self.list(*self.boxes)

    def call(self, what: str, method: str = "POST") -> tuple[int, str]:
        """Status and body of one call, whose connection the head ends."""
        peer = self.peer(self.ops.address)
        answer = peer.say(f"{method} {what} HTTP/1.1\r\nHost: h\r\n\r\n".encode()).decode()
        head, _, body = answer.partition("\r\n\r\n")
        assert peer.closed and "Connection: close" in head and f"Content-Length: {len(body)}" in head
        return int(head.split(" ")[1]), body

    def figures(self) -> dict[str, int]:
        lines = [line.partition(":") for line in self.call("/-/metrics", "GET")[1].splitlines()]
        return {name.removeprefix("app."): int(value.partition("|")[0]) for name, _, value in lines}


@pytest.fixture
def office(tmp_path: pathlib.Path) -> Office:
    return Office(tmp_path)


def machine(desk: Any = None) -> tuple[AdminConnection, list[bytes]]:
    w, said = World(), []
    return AdminConnection(desk, w.pool, w.limits, said.append), said


@given(st.lists(st.integers(1, 9), max_size=8))
def test_a_call_is_read_alike_however_it_is_cut(sizes: list[int]) -> None:
    call = b"\r\nPOST /-/nothing?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcMORE"
    m, said = machine()
    at = 0
    for size in [*sizes, len(call)]:
        m.feed(call[at : at + size])
        at += size
    assert m.ended and len(said) == 1 and said[0].startswith(b"HTTP/1.1 404 "), "one call, one answer"


@pytest.mark.parametrize(
    "call, status",
    [
        (b"HELLO\r\n", 400),
        (b"GET ready HTTP/1.1\r\n", 400),
        (b"GET / HTTP/2\r\n", 400),
        (b"GET / HTTP/1.1\r\nbad header\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413),
        (b"GET /" + b"x" * 9000, 431),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 65, 431),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
        (b"GET /-/drain HTTP/1.1\r\n\r\n", 405),
        (b"POST /-/ready HTTP/1.1\r\n\r\n", 405),
        (b"GET /-/bricks/b0/disable HTTP/1.1\r\n\r\n", 405),
        (b"POST /-/bricks/a%20b/disable HTTP/1.1\r\n\r\n", 400),
        (b"POST /-/bricks/b%FF/enable HTTP/1.1\r\n\r\n", 400),
        (b"POST /-/bricks//enable HTTP/1.1\r\n\r\n", 404),
        (b"POST /-/bricks/" + b"b" * 65 + b"/enable HTTP/1.1\r\n\r\n", 400),
    ],
)
def test_what_is_no_call_gets_its_own_no(call: bytes, status: int) -> None:
    m, said = machine()
    m.feed(call)
    assert m.ended and said[0].startswith(b"HTTP/1.1 %d " % status)


def test_a_defect_behind_a_call_is_answered_too(caplog: pytest.LogCaptureFixture) -> None:
    m, said = machine(desk=None)
    m.feed(b"GET /-/ready HTTP/1.1\r\n\r\n")
    assert said[0].startswith(b"HTTP/1.1 500 ") and "call failed" in caplog.text


def test_operators_are_heard_beside_half_calls_with_every_client_place_taken(tmp_path: pathlib.Path) -> None:
    w = Office(tmp_path, client_conns=4, new_us=20 * MS)
    clients = [w.peer(w.clients.address) for _ in range(4)]
    for i, client in enumerate(clients):
        client.say(read_command(id=f"r{i}"))
    for _ in range(200):
        Peer(w, w.ops.address, settle=False)
    w.settle()
    assert len(w.ops) == w.limits.ops_conns
    late = Peer(w, w.ops.address, settle=False)
    w.run(10 * MS)
    assert late.stream
    late.stream.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
    w.run(900 * MS)
    assert late.got.startswith(b"HTTP/1.1 200 ")


def test_a_head_is_ready_once_its_list_is_known_and_it_takes_clients(office: Office) -> None:
    assert office.call("/-/ready", "GET")[0] == 200
    office.told = False
    assert office.call("/-/ready", "GET")[0] == 503
    office.told = True
    office.clients.stop_accepting()
    assert office.call("/-/ready", "GET")[0] == 503


# Bans.


def test_a_brick_taken_out_gets_nothing_until_put_back_whatever_lists_say(office: Office) -> None:
    client = office.peer(office.clients.address)
    assert client.say(read_command(id="r1")).startswith(b"$")
    assert [office.call(f"/-/bricks/b0/{what}")[0] for what in ("disable", "disable")] == [200, 200]
    seen = len(office.brick.heard)
    office.list(*office.boxes)
    office.list(office.boxes[0], whole=False)
    office.peer(office.clients.address).say(read_command(id="r2", d=400))
    office.run(500 * MS)
    assert len(office.brick.heard) == seen
    assert office.figures()["targets_disabled"] == 1 and office.figures()["targets"] == 2
    assert office.call("/-/bricks/b0/enable")[0] == 200, "one call back undoes both"
    assert office.call("/-/bricks/b0/enable")[0] == 200, "one that isn't out is in use"
    assert client.say(read_command(id="r3")).startswith(b"$")
    assert office.figures()["targets_disabled"] == 0
    assert office.call("/-/bricks/b9/disable")[0] == office.call("/-/bricks/b9/enable")[0] == 404


def test_work_for_the_only_brick_of_a_cell_is_refused_at_once_when_it_is_taken_out(office: Office) -> None:
    office.brick.hold = True
    clients = [office.peer(office.clients.address) for _ in range(8)]
    for i, client in enumerate(clients):
        client.say(read_command(f"r{i}", volume=f"v{i}", d=1500))
    assert len(office.brick.heard) == 4, "the rest are held"
    office.call("/-/bricks/b0/disable")
    assert [c.got for c in clients[4:]] == [b"-BUSY 1000\r\n"] * 4
    late = office.peer(office.clients.address)
    assert late.say(read_command("late", d=1500)) == b"-BUSY 1000\r\n"
    office.brick.release()
    office.settle()
    assert all(c.got.startswith(b"$") for c in clients[:4]), "what it has it may finish"


def test_a_ban_outlasts_the_brick_s_absence_from_the_list(office: Office) -> None:
    office.call("/-/bricks/b0/disable")
    office.list(office.boxes[1])
    assert office.figures()["targets_disabled"] == 0, "only listed ones count"
    office.list(*office.boxes)
    assert office.core.endpoints.address_of("b0") is None
    office.list(office.boxes[1])
    assert office.call("/-/bricks/b0/enable")[0] == 200, "known, as it is out"
    office.list(*office.boxes)
    assert office.core.endpoints.address_of("b0")


def test_a_brick_put_back_is_cold_though_the_list_does_not_tell_of_its_restart(office: Office) -> None:
    told: list[api.Endpoint] = []
    handle = office.core.module.handle

    def listen(now: int, events: list[api.Event]) -> list[api.Action]:
        told.extend(e for event in events if isinstance(event, api.EndpointListUpdate) for e in event.entries)
        return handle(now, events)

    office.core.module.handle = listen  # type: ignore[method-assign]
    office.call("/-/bricks/b0/disable")
    assert told[-1].state is api.EndpointState.DRAINING
    office.run(SECOND)
    office.call("/-/bricks/b0/enable")
    assert told[-1].state is api.EndpointState.UP and told[-1].started_us == T0 + SECOND
    office.list(*office.boxes)
    assert next(e for e in told[::-1] if e.node == "b0").started_us == T0 + SECOND, "and stays so"


def test_an_attempt_half_written_to_a_brick_taken_out_is_finished_or_never_ran(office: Office) -> None:
    office.brick.hold = True
    client = office.peer(office.clients.address)
    client.say(read_command(id="r1"))
    assert len(office.brick.heard) == 1, "written whole before the ban"
    office.call("/-/bricks/b0/disable")
    office.brick.release()
    office.settle()
    assert client.got.startswith(b"$"), "what it has it may finish"


# What outlasts a process.


def test_bans_and_drain_outlast_the_process_and_reach_the_other_one(tmp_path: pathlib.Path) -> None:
    w = Office(tmp_path)
    w.call("/-/bricks/b0/disable")
    other = StateFile(str(tmp_path), "n1")
    assert other.load() == AdminState(frozenset({"b0"}))
    other.change(lambda state: state.disable("b1").with_draining(True))
    w.run(w.limits.ops_look_us + 10 * MS)
    assert w.core.endpoints.disabled == {"b0", "b1"} and not w.desk.accepts_clients
    w.call("/-/resume")
    assert other.news() == AdminState(frozenset({"b0", "b1"})), "neither undoes what the other said"
    assert other.news() is None


def sealed(**change: Any) -> bytes:
    body = json.dumps({"version": 1, "name": "n1", "banned": [], "draining": False} | change).encode()
    return b"%s\n%08x\n" % (body, zlib.crc32(body))


@pytest.mark.parametrize(
    "data, why",
    [
        (b"", "checksum"),
        (sealed()[:-5], "checksum"),
        (sealed().replace(b"n1", b"n2"), "checksum"),
        (sealed(version=0), "version 0"),
        (sealed(name="n2"), "head 'n2'"),
        (sealed(banned=[3]), "a field"),
        (sealed(draining="no"), "a field"),
    ],
)
def test_a_state_that_cannot_be_used_is_named_and_the_head_starts(
    data: bytes, why: str, tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    with pytest.raises(AdminStateError, match=why):
        decode("n1", data)
    (tmp_path / "garnetlanding-n1-operators.json").write_bytes(data)
    w = Office(tmp_path)
    assert w.call("/-/ready", "GET")[0] == 200 and "state file not taken" in caplog.text
    assert w.call("/-/bricks/b0/disable")[0] == 200
    kept = (tmp_path / "garnetlanding-n1-operators.json").read_bytes()
    assert decode("n1", kept) == AdminState(frozenset({"b0"}))


def test_a_change_that_cannot_be_kept_is_a_no(tmp_path: pathlib.Path) -> None:
    w = Office(tmp_path)
    (tmp_path / "garnetlanding-n1-operators.json.new").mkdir()
    assert w.call("/-/bricks/b0/disable")[0] == 500
    assert w.core.endpoints.address_of("b0"), "a yes is owed only for what outlasts the process"


def test_a_wrong_address_for_operators_is_named() -> None:
    with pytest.raises(config.ConfigError, match="key ops"):
        config.read(BASE | {"ops": "nowhere"})
    assert config.read(BASE, env={"RELAY_OPS": "127.0.0.1:1"}).ops == "127.0.0.1:1"
    assert config.read(BASE).ops == ""


# Drain.


def test_drained_clients_are_served_where_they_are_and_then_sent_away(office: Office) -> None:
    idle, used, busy = (office.peer(office.clients.address) for _ in range(3))
    assert used.say(b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"
    office.call("/-/drain")
    office.call("/-/drain")
    assert used.say(b"*1\r\n$4\r\nPING\r\n").startswith(b"-ERR")
    office.run(200 * MS)
    late = office.peer(office.clients.address)
    assert late.say(read_command(id="r1")).startswith(b"$"), "those that still come are served"
    office.run(1200 * MS)
    assert used.say(read_command(id="r2")).startswith(b"$") and not idle.closed
    office.brick.hold = True
    busy.say(read_command(id="r3", d=1500))
    office.run(300 * MS)
    assert idle.closed and used.closed and late.closed and not busy.closed
    office.brick.release()
    office.settle()
    assert busy.got.startswith(b"$") and busy.closed, "after its answer"
    office.brick.hold = False
    office.call("/-/resume")
    again = office.peer(office.clients.address)
    assert again.say(b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"
    office.run(4 * SECOND)
    assert not again.closed and again.say(read_command(id="r4")).startswith(b"$") and not again.closed
    assert office.call("/-/resume")[0] == 200, "resumed undrained: nothing to do"


def test_no_client_is_closed_whose_request_has_come_unread(office: Office) -> None:
    client = office.peer(office.clients.address)
    client.say(b"*1\r\n$4\r\nPING\r\n")
    office.run(200 * MS)
    assert client.stream
    client.stream.write(read_command(id="r1"))
    office.clients.close_idle()
    office.settle()
    assert client.got.endswith(b"\r\n") and b"$" in client.got


# Figures.


def test_the_text_names_every_class_from_the_start() -> None:
    figures = RequestMetrics(["read", "save"])
    for answer in (Served(b""), Rejected(), Failed("x"), Failed("y")):
        figures.record("read", answer)
    assert encode(figures, 7, 3, 1) == (
        "app.success.read:1|c\napp.overload.read:1|c\napp.error.read:2|c\n"
        "app.success.save:0|c\napp.overload.save:0|c\napp.error.save:0|c\n"
        "app.dispatches:0|c\napp.concurrent:7|g\napp.targets:3|g\napp.targets_disabled:1|g\n"
    )


@pytest.mark.parametrize("seed", range(4))
def test_taken_is_ended_and_open_at_every_moment(seed: int, tmp_path: pathlib.Path) -> None:
    w, rng = Office(tmp_path), random.Random(seed)
    peers, sent = [w.peer(w.clients.address) for _ in range(6)], 0
    for _ in range(60):
        match rng.randrange(6):
            case 0 | 1 | 2:
                peer = rng.choice(peers)
                if peer.stream and not peer.closed:
                    sent += 1
                    peer.say(read_command(id=f"r{sent}", d=rng.choice((50, 400)), cell=rng.randrange(3)))
            case 3:
                w.brick.hold = not w.brick.hold
                if not w.brick.hold:
                    w.brick.release()
            case 4:
                w.run(rng.randrange(1, 200) * MS)
            case 5:
                gone = rng.randrange(len(peers))
                peers[gone].close()
                peers[gone] = w.peer(w.clients.address)
        told, figures = w.figures(), w.core.metrics
        assert figures.accepted == sent == figures.ended + told["concurrent"]
        assert told["dispatches"] == len(w.brick.heard) == figures.dispatches
    w.run(SECOND)
    assert w.figures()["concurrent"] == 0


# The command line's side.


def test_what_a_call_is_and_how_its_answer_is_shown() -> None:
    assert admin_client.path_of("ready") == ("GET", "/-/ready")
    assert admin_client.path_of("disable", "a/b c") == ("POST", "/-/bricks/a%2Fb%20c/disable")
    figures = RequestMetrics(["read", "save.big"])
    figures.record("save.big", Rejected())
    reply = admin_client.Reply(200, encode(figures, 7, 3, 1))
    lines = admin_client.as_text("metrics", reply).splitlines()
    assert lines[0].split() == ["class", "success", "overload", "error"]
    assert lines[2].split() == ["save.big", "0", "1", "0"] and "concurrent: 7" in lines
    shown = json.loads(admin_client.as_json("metrics", reply))
    assert shown["yes"] and shown["figures"]["app.overload.save.big"] == 1
    assert (
        json.loads(admin_client.as_json("drain", admin_client.Reply(500, "failed\n")))["answer"] == "failed"
    )
    with pytest.raises(ValueError, match="not a figure: 'app.x:1'"):
        admin_client.as_text("metrics", admin_client.Reply(200, "app.x:1\n"))


def test_the_command_s_exit_code_says_yes_no_or_wrong(
    office: Office, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def call(address: str, what: str, brick: str = "", wait_s: float = 2.0) -> admin_client.Reply:
        method, path = admin_client.path_of(what, brick)
        return admin_client.Reply(*office.call(path, method))

    unheard = cli.main(["ops", "ready", "--address", "127.0.0.1:1", "--wait", "0.2"])
    wrong = cli.main(["ops", "ready", "--address", "nowhere"])
    monkeypatch.setattr(admin_client, "call", call)
    to = ["--address", office.ops.address]
    assert (unheard, wrong) == (1, 2) and "127.0.0.1:1: " in capsys.readouterr().err
    assert cli.main(["ops", "disable", "b0", *to]) == 0 and cli.main(["ops", "disable", "b9", *to]) == 1
    assert capsys.readouterr().out == "b0 disabled\nno brick b9\n"
