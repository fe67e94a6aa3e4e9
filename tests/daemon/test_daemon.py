"""Configuration, the command line, and a whole head that starts, serves and ends."""

from __future__ import annotations

import contextlib
import json
import logging
import os
import pathlib
import signal
import tomllib
from collections.abc import Iterator
from typing import Any

import pytest

from example import __main__ as example
from garnetlanding import cli, config, logs
from garnetlanding.daemon import Daemon
from garnetlanding.decision.interface import Effect
from garnetlanding.emulator.brick import Brick
from garnetlanding.emulator.discovery import Box, Discovery
from garnetlanding.emulator.fileserver import FileServer
from garnetlanding.logs import KeyValueFormatter
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import linux
from garnetlanding.runtime.signals import HEARD
from garnetlanding.store.cached_endpoints import SERVERS
from garnetlanding.store.cached_endpoints import SETTINGS as SETTINGS_KEY
from garnetlanding.store.persister import load
from garnetlanding.store.setup import StoreSetup
from garnetlanding.store.store import Entry, Snapshot
from tests.helpers import MS, SECOND, T0, Peer, World, read_command

ROOT = pathlib.Path(__file__).parents[2]
SETTINGS: dict[str, Any] = {
    "Balancers": 2,
    "Me": 0,
    "TickUs": 2000,
    "MembershipMode": "on_request",
    "Classes": [
        {
            "Name": "read",
            "Credit": 2.0,
            "LateValue": 0.1,
            "PromiseUs": 300_000,
            "GiveUpUs": 1_500_000,
            "Effect": "free",
        }
    ],
    "Contracts": [{"Name": "gold", "Weight": 1.0, "UsualRate": 9.0, "Guaranteed": 9.0}],
    "Limits": {
        "MaxAttempts": 4,
        "Cancel": True,
        "RetryAfter": True,
        "MaxRetryAfterUs": 2_000_000,
        "ConnIdleUs": 20_000_000,
        "DialTimeoutUs": 300_000,
    },
    "Rules": {"ColdFrom": 0.2, "ColdUs": 14_000_000, "FallMultiple": 2.5, "FallUs": 1_500_000},
    "FamilyInfo": {"ChangesData": [False], "ColdBears": 8.0, "Largest": 6},
    "Zones": ["a", "b"],
    "Off": None,
}
BASE: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": SETTINGS,
    "known": {"generation": 4, "reset": True, "instances": [Box("b0", "127.0.0.1:9", 0).entry()]},
}
EXPORT = {"name": "x", "volume": "v", "plan": "gold", "class": "read", "cell": 0, "deadline_ms": 1000}
NINEP: dict[str, Any] = {"listen": "127.0.0.1:0", "export": [EXPORT]}


# SIGKILL comes by the longest deadline; with this one, 3.7 s after SIGTERM at the earliest.
SLOW = SETTINGS | {"Classes": [SETTINGS["Classes"][0] | {"GiveUpUs": 3_000_000}]}


@contextlib.contextmanager
def handlers_put_back() -> Iterator[None]:
    old = {number: signal.getsignal(number) for number in HEARD}
    try:
        yield
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in old.items():
            signal.signal(number, handler)


def one_export(**change: Any) -> dict[str, Any]:
    return {"ninep": NINEP | {"export": [EXPORT | change]}}


def test_the_platforms_configuration_is_read_with_its_limits() -> None:
    c = config.read(BASE)
    assert (c.name, c.seed, c.settings.max_attempts) == ("n1", 0x8C1F30D27A5BE964, 4)
    assert (
        c.settings.may_cancel
        and c.settings.poll_endpoints
        and c.settings.classes["read"].latency_objective_us == 300_000
    )
    assert (c.limits.brick_idle_us, c.limits.dial_us) == (16 * SECOND, 300 * MS)
    assert (c.limits.client_conns, c.limits.brick_conns, c.limits.brick_conns_kept) == (822, 341, 170)
    both = config.read(BASE, {"ninep": NINEP}).limits
    assert both.client_conns + both.ninep_conns + both.ninep_server_conns == c.limits.client_conns
    assert c.operator == config.OperatorConfig(store=StoreSetup(writer="n1")), "all else is off"


@pytest.mark.parametrize(
    "change, key",
    [
        ({"name": ""}, "key name"),
        ({"listen": "nowhere"}, "key listen"),
        ({"seed": "xyz"}, "key seed"),
        ({"settings": None}, "key settings"),
        ({"settings": SETTINGS | {"Me": "zero"}}, "key settings: setting Me"),
        ({"limits": {"sockets": 5}}, "key limits.sockets"),
        ({"limits": {"memory_mb": "x"}}, "limits.memory_mb"),
        ({"known": {"instances": [{}]}}, "key known: field lifecycle"),
        ({"limits": 7}, "key limits"),
    ],
)
def test_a_fault_in_the_configuration_names_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        config.read(BASE | change)


@pytest.mark.parametrize(
    "operator, key",
    [
        ({"nine": {}}, "key nine: not known"),
        ({"ninep": {"listen": "x:1"}}, "key ninep.export"),
        ({"ninep": NINEP | {"listen": "x"}}, "key ninep.listen"),
        ({"ninep": NINEP | {"server_port": 70000}}, "key ninep.server_port"),
        ({"ninep": NINEP | {"export": [EXPORT, EXPORT]}}, "key ninep.export.1.name"),
        (one_export(plan="x"), "ninep.export.0.plan"),
        (
            {"ninep": NINEP | {"clients": 700}},
            "key ninep.clients: 700 and 68 server connections leave 54 of 822",
        ),
        ({"ninep": NINEP | {"server_dialect": "9P3"}}, "key ninep.server_dialect"),
        (one_export(access="rwx"), "ninep.export.0.access"),
        (one_export(change_class="read"), "ninep.export.0.change_class: nothing changes"),
        (one_export(access="rw", change_class="x"), "ninep.export.0.change_class"),
        (one_export(access="rw", change_deadline_ms=0), "ninep.export.0.change_deadline_ms"),
        (one_export(unit_bytes=0), "ninep.export.0.unit_bytes"),
        ({"telemetry": {"endpoint": "https://x:1"}}, "key telemetry.endpoint"),
        ({"telemetry": {"endpoint": "http://x"}}, "key telemetry.endpoint"),
        ({"store": {"role": "leader"}}, "key store.role"),
        ({"store": {"role": "writer", "writer": "n2", "address": "x:1"}}, "key store.writer"),
    ],
)
def test_a_fault_in_an_operators_file_names_its_key(operator: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        config.read(BASE, operator)


def test_a_small_machine_has_less_of_everything() -> None:
    """Sizes were fixed: 4,096 buffers alone are the 32 MB that the smallest heads get."""
    small = config.read(BASE | {"limits": {"memory_mb": 32, "sockets": 256}}).limits
    assert small.client_conns + small.brick_conns_kept + small.spare_sockets == 256
    assert small.client_conns >= 256 // 3
    assert (
        small.program_bytes
        + small.pool_most * small.buffer_bytes
        + small.open_bytes
        + small.open_items * small.item_bytes
        + small.record_bytes * (small.store_log_entries + small.telemetry_queue)
    ) <= 32 << 20
    busy = small.linger_conns + small.ops_linger_conns + 8  # standard streams, listeners, signals, discovery
    assert busy <= small.spare_sockets
    assert small.open_items >= small.client_conns and small.out_bytes > 2 * small.value_bytes
    with pytest.raises(config.ConfigError, match="limits.memory_mb"):
        config.read(BASE | {"limits": {"memory_mb": 31, "sockets": 256}})


def test_the_operators_file_that_is_delivered_is_sound() -> None:
    text = (ROOT / "deploy/operator.toml").read_text().replace("#[", "[")
    lines = [line[1:] if line[:1] == "#" and " = " in line else line for line in text.splitlines()]
    settings = SETTINGS | {
        "Classes": [SETTINGS["Classes"][0] | {"Name": name} for name in ("segment-read", "draft-save")],
        "Contracts": [SETTINGS["Contracts"][0] | {"Name": "standard"}],
    }
    parsed = tomllib.loads("\n".join(lines))
    c = config.read(BASE | {"name": "n2", "settings": settings}, parsed)
    assert c.operator.ninep and c.operator.telemetry and c.operator.store.role == "follower"


def test_the_examples_files_are_sound_and_fit_its_servers() -> None:
    c = config.load(str(ROOT / "example/config.json"), str(ROOT / "example/operator.toml"), env={})
    assert c.operator.ninep and c.operator.ninep.server_port == int(example.FILES.rpartition(":")[2])
    assert c.discovery == example.DISCOVERY
    pair = [config.load(str(ROOT / f"example/pushed-{me}.json"), env={}) for me in (0, 1)]
    assert [c.settings.instance_id for c in pair] == [0, 1] and not any(
        c.settings.poll_endpoints for c in pair
    )
    for c, other in zip(pair, reversed(pair), strict=True):
        assert c.peers and other.peers and list(c.peers.peers.values()) == [other.peers.listen]
        assert c.discovery == example.DISCOVERY


def test_the_command_line(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(BASE))
    monkeypatch.setattr(logs, "set_up", lambda level: None)
    assert cli.main(["version"]) == 0 and capsys.readouterr().out.startswith("garnetlanding ")
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    monkeypatch.setenv("RELAY_NAME", "n7")
    assert cli.main(["check-config"]) == 0 and "'n7' is sound" in capsys.readouterr().out
    path.write_text("{")
    assert cli.main(["check-config"]) == 2 and "not JSON" in capsys.readouterr().err
    assert cli.main(["check-config", "--config", str(tmp_path / "none")]) == 2
    monkeypatch.delenv("RELAY_CONFIG")
    assert cli.main(["serve"]) == 2 and "RELAY_CONFIG" in capsys.readouterr().err
    path.write_text(json.dumps(BASE | {"listen": "203.0.113.1:1"}))
    assert cli.main(["serve", "--config", str(path)]) == 1 and "cannot serve" in capsys.readouterr().err


def test_log_lines_are_pairs_that_can_be_taken_apart() -> None:
    record = logging.LogRecord("x", logging.INFO, "", 0, 'say "hi"\n', (), None)
    record.kv = {"a": 1, "b": "c d", "e": ""}
    line = KeyValueFormatter().format(record)
    assert line.endswith('level=info logger=x msg="say \\"hi\\"\\n" a=1 b="c d" e=""')


class Head(World):
    """A whole daemon, with discovery and servers, on the world's clock."""

    def __init__(
        self, operator: dict[str, Any] | None = None, settings: dict[str, Any] = SETTINGS, **more: Any
    ) -> None:
        super().__init__()
        self.discovery, self.brick = self.server(Discovery), self.server(Brick)
        self.files = self.server(FileServer, tree={"doc": b"text"})
        self.discovery.boxes = [Box("b0", self.brick.address, 0)]
        port = int(self.files.address.rpartition(":")[2])
        if operator and "ninep" in operator:
            operator["ninep"] = NINEP | {"server_port": port}
        self.file = BASE | {"discovery": self.discovery.address, "settings": settings} | more
        self.daemon = Daemon(self.read(operator), lambda: self.time, self.read)
        self.daemon.start()
        self.settle()

    def read(self, operator: dict[str, Any] | None = None) -> config.Config:
        return config.read(self.file, operator, {"RELAY_DISCOVERY": self.discovery.address})

    def settle(self) -> None:
        quiet = 0
        while quiet < 3:
            head = self.daemon.scheduler if hasattr(self, "daemon") else None
            moved = [s.turn(1) for s in (self.scheduler, head) if s and not s._stopped]
            quiet = 0 if any(moved) else quiet + 1

    def client(self, at: int = 0) -> Peer:
        return self.peer(self.daemon.listeners[at].address)


def test_a_head_serves_both_fronts_and_follows_its_list() -> None:
    h = Head({"ninep": True})
    assert h.client().say(read_command()) == b"$0\r\n\r\n"
    tool = h.client(1)
    tool.say(p9.encode(p9.NOTAG, p9.Tversion(8192, "9P2000")))
    tool.say(p9.encode(1, p9.Tattach(0, p9.NOFID, "ann", "x")))
    walked = tool.say(p9.encode(1, p9.Twalk(0, 1, ("doc",))))
    assert p9.decode(walked[4], walked[7:]) == p9.Rwalk((h.files.disk.qid(h.files.disk.find("doc")),))
    assert [type(m) for m in h.files.heard] == [p9.Tversion, linux.Tlattach, p9.Twalk, p9.Tclunk]
    other = h.server(Brick)
    h.discovery.tell(Box("b0", h.brick.address, 0, "DRAINING"), Box("b1", other.address, 0))
    h.settle()
    h.client().say(read_command("r2"))
    assert len(other.heard) == 1 and set(h.daemon.store.with_prefix(SERVERS)) == {
        SERVERS + "b0",
        SERVERS + "b1",
    }


@pytest.mark.parametrize("before, after", [("pushed", "on_request"), ("on_request", "pushed")])
def test_a_list_is_followed_under_either_form_of_settings_and_after_a_reload(before: str, after: str) -> None:
    h = Head(settings=SETTINGS | {"MembershipMode": before})
    assert h.discovery.calls == ["/v1/servers?follow=1&since=4"]
    h.file = h.file | {"settings": SETTINGS | {"MembershipMode": after}}
    h.daemon.reload()
    h.settle()
    assert len(h.discovery.calls) == 1, "the watch that stands goes on"
    h.discovery.conns[0].write(b"0\r\n\r\n")
    h.run(2 * SECOND)
    assert len(h.discovery.calls) == 2
    other = h.server(Brick)
    h.discovery.tell(Box("b0", h.brick.address, 0, "DRAINING"), Box("b1", other.address, 0))
    h.settle()
    h.client().say(read_command("r2"))
    assert len(other.heard) == 1 and not h.brick.heard


def test_a_drain_that_is_pushed_while_attempts_are_out_stops_new_ones_alone() -> None:
    h = Head(settings=SETTINGS | {"MembershipMode": "pushed"})
    h.brick.script = [None]
    client, late = h.client(), h.client()
    client.say(read_command())
    half = read_command("r2", volume="w")
    late.say(half[:-8])
    h.discovery.tell(Box("b0", h.brick.address, 0, "DRAINING"))
    h.settle()
    late.say(half[-8:])
    assert len(h.brick.heard) == 1, "what came half before the drain goes nowhere"
    h.brick.release()
    h.settle()
    assert client.got == b"$0\r\n\r\n", "what was out is answered"
    h.run(SECOND, 50 * MS)
    assert late.got.startswith(b"-BUSY") and len(h.brick.heard) == 1


def test_at_the_end_clients_are_served_for_a_while_and_all_is_finished() -> None:
    """Closed at once, a client's connection leaves it nobody to ask until the head is back."""
    h = Head(settings=SLOW)
    h.brick.script = [None]
    busy, idle = h.client(), h.client()
    busy.say(read_command(d=3000))
    h.daemon.scheduler.spawn(h.daemon.end)
    h.run(300 * MS)
    late = h.client()
    assert late.say(read_command("r2", d=3000, volume="w")) == b"$0\r\n\r\n" and not idle.closed
    h.run(h.daemon.limits.term_serve_us - 350 * MS)
    assert idle.say(read_command("r3", d=3000, volume="w")) == b"$0\r\n\r\n" and not late.closed
    h.run(100 * MS)
    assert late.closed and idle.closed and not busy.closed
    assert h.peer(h.daemon.listeners[0].address).closed, "no longer accepting"
    h.brick.release()
    h.settle()
    h.run(50 * MS)
    assert busy.got == b"$0\r\n\r\n" and busy.closed and h.daemon.scheduler._stopped


def test_at_the_end_nothing_is_left_for_sigkill_to_lose() -> None:
    h = Head(settings=SLOW)
    h.brick.script = [None]
    slow = h.client()
    h.daemon.scheduler.spawn(h.daemon.end)
    h.run(SECOND)
    slow.say(read_command(d=60_000))
    h.run(h.daemon.limits.term_reject_us - SECOND + 50 * MS)
    assert slow.got == b"-ERR ending\r\n" and slow.closed and h.daemon.scheduler._stopped


def test_a_head_that_nobody_uses_ends_soon() -> None:
    h = Head()
    h.daemon.scheduler.spawn(h.daemon.end)
    h.run(h.daemon.limits.term_accept_us + 50 * MS)
    assert h.daemon.scheduler._stopped


def test_a_reload_follows_the_new_discovery_at_once_while_requests_run_on() -> None:
    h = Head()
    h.brick.script = [None]
    client = h.client()
    client.say(read_command(d=1400))
    second = h.server(Discovery)
    second.boxes = [Box("b0", h.brick.address, 0), Box("b1", h.brick.address, 1)]
    # The environment still has the old address: it must not hide what the file newly says.
    h.file = h.file | {"discovery": second.address}
    h.daemon.reload()
    h.settle()
    assert second.calls == ["/v1/servers?follow=1&since=0"], "another's versions mean nothing here"
    assert not h.discovery.conns and h.daemon.core.endpoints.address_of("b1")
    h.brick.release()
    h.settle()
    assert client.got == b"$0\r\n\r\n" and not client.closed
    h.daemon.reload()
    h.settle()
    assert len(second.calls) == 1, "nothing new in the file: the watch goes on"


def test_a_reload_takes_up_new_settings_through_the_store() -> None:
    h = Head()
    h.file = h.file | {
        "listen": "127.0.0.1:1",
        "settings": SETTINGS | {"Classes": [SETTINGS["Classes"][0] | {"Name": "scan"}]},
    }
    h.daemon.reload()
    h.settle()
    assert h.client().say(read_command(cls="scan")) == b"$0\r\n\r\n"
    assert h.client().say(read_command()) == b"-ERR unknown class\r\n"
    assert h.daemon.store.get(SETTINGS_KEY)["Classes"][0]["Name"] == "scan"


@pytest.mark.parametrize(
    "change, key",
    [
        ({"discovery": "nowhere"}, "key discovery"),
        ({"settings": {}}, "key settings"),
        ({"seed": "x"}, "key seed"),
    ],
)
def test_a_bad_file_is_logged_and_the_old_stands(
    change: dict[str, Any], key: str, caplog: pytest.LogCaptureFixture
) -> None:
    h = Head()
    before, calls = h.daemon.config, len(h.discovery.calls)
    h.file = h.file | {"discovery": "127.0.0.1:9"} | change
    h.daemon.reload()
    h.settle()
    [record] = [r for r in caplog.records if "turned away" in r.message]
    assert key in str(record.__dict__["kv"]["why"]) and h.daemon.config is before
    assert len(h.discovery.calls) == calls and h.client().say(read_command()) == b"$0\r\n\r\n"


def test_a_signal_to_end_still_works_after_one_to_reload() -> None:
    """SIGHUP had no handler and ended the process; the signal pipe was read for the end alone."""
    with handlers_put_back():
        h = Head()
        h.daemon._catch_signals()
        second = h.server(Discovery)
        h.file = h.file | {"discovery": second.address}
        os.kill(os.getpid(), signal.SIGHUP)
        h.settle()
        assert len(second.calls) == 1 and not h.daemon.scheduler._stopped
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGTERM)
        h.run(SECOND, 50 * MS)
        assert h.daemon.scheduler._stopped


def test_a_follower_takes_up_what_its_writer_changes(caplog: pytest.LogCaptureFixture) -> None:
    h = Head({"store": {"role": "follower", "writer": "n0", "address": "127.0.0.1:9"}})
    theirs = SETTINGS | {"Limits": SETTINGS["Limits"] | {"MaxAttempts": 2}, "Balancers": 3, "Me": 2}
    h.daemon.store.restore(Snapshot(5, 1, {SETTINGS_KEY: theirs}))
    assert h.daemon.core._settings.max_attempts == 2
    assert (
        h.daemon.core.settings.instance_id == 0
    ), "the writer's number is the writer's: heads would all be one"
    h.daemon.store.apply(5, Entry(2, SETTINGS_KEY, {}))
    assert h.daemon.core._settings.max_attempts == 2 and "settings not taken" in caplog.text


def test_a_restarted_head_knows_its_list_and_settings_from_its_store(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "store.json")
    operator = {"store": {"role": "alone", "file": path}}
    first = Head(operator)
    first.discovery.tell(Box("b9", first.brick.address, 5))
    first.run(SECOND, 100 * MS)
    kept = load(path)
    assert kept and SERVERS + "b9" in kept.values
    second = Daemon(config.read(BASE, operator), lambda: T0)
    assert second.core.endpoints.address_of("b9") is None, "the list of the configuration is newer"
    older = BASE | {"known": BASE["known"] | {"generation": 1}}
    third = Daemon(config.read(older, operator), lambda: T0)
    assert third.core.endpoints.address_of("b9") and third.store.epoch > kept.epoch


def test_a_follower_takes_its_writers_settings(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "store.json"
    theirs = SETTINGS | {"Limits": SETTINGS["Limits"] | {"MaxAttempts": 2}}
    path.write_text(json.dumps({"epoch": 5, "revision": 1, "values": {"config/settings": theirs}}))
    operator = {"store": {"role": "follower", "writer": "n0", "address": "127.0.0.1:9", "file": str(path)}}
    assert Daemon(config.read(BASE, operator), lambda: T0).core._settings.max_attempts == 2


def test_a_writer_is_followed_over_its_own_listener() -> None:
    h = Head({"store": {"role": "writer", "writer": "n1", "address": "127.0.0.1:0"}})
    told = h.client(1).say(b'{"follow": [0, -1]}\n').split(b"\n")
    assert json.loads(told[0])["writer"][0] == "n1"
    assert "config/settings" in json.loads(told[1])["snapshot"][1]


def test_an_export_that_may_be_changed_has_a_twin_class_that_forbids_a_repeat() -> None:
    operator = one_export(access="rw", change_deadline_ms=2000)
    daemon = Daemon(config.read(BASE, operator), lambda: T0)
    twin = daemon.core.settings.classes["read/once"]
    assert (
        twin.effect is Effect.UNSAFE
        and twin.priority_weight == daemon.core.settings.classes["read"].priority_weight
    )
    assert "read/once" not in Daemon(config.read(BASE, one_export()), lambda: T0).core.settings.classes
    daemon.store.put(SETTINGS_KEY, SETTINGS)
    daemon.core.run_iteration()
    assert "read/once" in daemon.core.settings.classes, "also after a reload"


def test_a_historys_lines_have_the_time_at_which_they_are_written(tmp_path: pathlib.Path) -> None:
    """The turn's own time would put what a held-up process hears before what others said meanwhile."""
    file = tmp_path / "n1.history"
    h = Head({"history": {"file": str(file)}})
    h.time += 7 * MS
    assert h.daemon.history
    h.daemon.history.note("heard")
    assert json.loads(file.read_text().splitlines()[-1])["t"] == h.time
