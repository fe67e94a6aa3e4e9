"""A new version under load: two processes of one head share bounds, address and what operators said."""

from __future__ import annotations

import pathlib
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding import config
from garnetlanding.daemon import Daemon
from garnetlanding.decision import interface as api
from garnetlanding.emulator.brick import Brick
from garnetlanding.emulator.discovery import Box
from garnetlanding.ops.process_quota import (
    MIN_ENDING_SHARE,
    UNREADABLE_RECORD,
    ProcessRecord,
    decode,
    encode,
    next_share,
)
from garnetlanding.ops.process_registry import ProcessRegistry
from garnetlanding.runtime.files import file_name
from tests.daemon.test_daemon import BASE
from tests.helpers import MS, SECOND, T0, Bench, Peer, World, read_command, settings, up

PING = b"*1\r\n$4\r\nPING\r\n"


@given(
    st.lists(
        st.tuples(st.sampled_from(["born", "look", "end", "gone"]), st.integers(0, 3), st.floats(0, 1)),
        max_size=60,
    )
)
def test_the_parts_never_add_up_to_more_than_the_whole(steps: list[tuple[str, int, float]]) -> None:
    words: dict[int, ProcessRecord] = {0: ProcessRecord(0, 1.0)}
    ending: set[int] = set()
    for n, (what, which, share) in enumerate(steps, 1):
        who = sorted(words)[which % len(words)] if words else None
        if what == "born" and len(words) < 4:
            words[n] = ProcessRecord(n, 0.0)
        elif who is not None and what == "gone":
            del words[who]
        elif who is not None:
            ending |= {who} if what == "end" else set()
            others = [word for other, word in words.items() if other != who]
            part = next_share(words[who], others, share * words[who].share, who in ending)
            assert 0 <= part <= 1
            words[who] = replace(words[who], share=part)
        assert sum(word.share for word in words.values()) <= 1 + 1e-9


def test_an_elder_comes_down_to_half_or_what_it_uses_and_at_its_end_to_little() -> None:
    elder, newer = ProcessRecord(1, 1.0), ProcessRecord(2, 0.0)
    assert next_share(newer, [elder], 0, False) == 0, "nothing until the elder has come down"
    assert next_share(elder, [newer], 0.1, False) == 0.5 and next_share(elder, [newer], 0.6, False) == 0.75
    assert next_share(elder, [newer], 0.01, True) == MIN_ENDING_SHARE
    assert next_share(replace(elder, share=0.5), [newer], 0.9, False) == 0.5, "it never raises it"
    assert next_share(newer, [], 0, False) == 1


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"x" * 300,
        encode("n2", ProcessRecord(1, 0.5)),
        encode("n1", ProcessRecord(1, 0.5))[3:],
        encode("n1", ProcessRecord(1, 0.5)).replace(b"0.5", b"0.6"),
    ],
)
def test_a_word_that_cannot_be_read_is_none(data: bytes) -> None:
    assert decode("n1", data) is None and decode("n1", encode("n1", ProcessRecord(7, 0.25))) == ProcessRecord(
        7, 0.25
    )


def test_processes_hear_each_other_and_that_one_is_gone(
    tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    stale = tmp_path / (file_name("n1", "life-") + "1-1")
    stale.write_bytes(encode("n1", ProcessRecord(1, 1.0)))
    elder = ProcessRegistry(str(tmp_path), "n1")
    elder.publish(elder.next_share(0, False))
    assert elder.record.share == 1 and not stale.exists() and "is gone" in caplog.text
    newer, stranger = ProcessRegistry(str(tmp_path), "n1"), ProcessRegistry(str(tmp_path), "n2")
    assert newer.next_share(0, False) == 0 and stranger.next_share(0, False) == 1
    assert elder.next_share(0, False) == 0.5 and elder.has_successor and not newer.has_successor
    assert newer.next_share(0, False) == 0, "looked at, not kept to yet"
    elder.publish(0.5)
    assert newer.next_share(0, False) == 0.5
    elder.close()
    assert newer.next_share(0, False) == 1


def test_a_process_that_lives_and_is_not_understood_counts_as_half(
    tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    elder, newer = ProcessRegistry(str(tmp_path), "n1"), ProcessRegistry(str(tmp_path), "n1")
    pathlib.Path(elder._path).write_bytes(b"half a wor")
    assert newer.next_share(0, False) == 1 - UNREADABLE_RECORD.share and "not understood" in caplog.text


# In the module.


def test_a_part_holds_for_depth_at_once_and_grows_for_cold_bricks_one_window_later() -> None:
    config = settings(instances=1, parallel_attempts=False)
    b = Bench(config, [up("n0", 0)])
    h = b.c.nodes[0].health
    assert h and b.c._depth(h) == 4
    b.ask("a")
    b.c.volumes["v"].weight = 9
    b.tell(api.NewSettings(replace(config, part=0.5)))
    assert b.c._depth(h) == 2 and b.c.cold_part == 0.5
    assert b.c.volumes["v"].weight == 9, "what was learnt of a volume is not forgotten"
    b.tell(api.NewSettings(replace(config, part=1.0)))
    assert b.c._depth(h) == 4 and b.c.cold_part == 0.5
    b.run(config.overload_window_us - 10 * MS)
    b.tell()
    assert b.c.cold_part == 0.5
    b.run(20 * MS)
    b.tell()
    assert b.c.cold_part == 1.0


def fullest_window(config: api.Settings, *parts: dict[int, float]) -> int:
    """Most units that a cold brick gets in one window from processes whose parts change at those steps."""
    sent: list[int] = []
    benches = [Bench(replace(config, part=part[0]), []) for part in parts]
    for bench in benches:
        bench.tell(api.EndpointListUpdate((up("n0", 0, started=T0),), whole=True))
    for step in range(600):
        for bench, part in zip(benches, parts, strict=True):
            bench.now = max(bench.now, T0 + step * 10 * MS)
            if step and step in part:
                bench.tell(api.NewSettings(replace(config, part=part[step])))
            done = bench.ask(f"a{step}", volume=f"v{step % 5}", units=1) + bench.run(0)
            for send in [a for a in done if isinstance(a, api.Send)]:
                sent.append(bench.now)
                bench.end(send.request, took=0)
    return max(sum(end - config.overload_window_us < at <= end for at in sent) for end in sent)


def test_two_processes_send_a_cold_brick_no_more_than_one_may_in_any_window() -> None:
    """The elder is alone, halves, and ends; the newer one has nothing, a half, and all."""
    config = settings(instances=1, parallel_attempts=False, warmup_units=9.0)
    most = fullest_window(config, {0: 1.0})
    assert most >= 9
    assert fullest_window(config, {0: 1.0, 100: 0.5, 300: 0.0}, {0: 0.0, 100: 0.5, 300: 1.0}) <= most


# A whole upgrade, two daemons on one clock.


class Upgrade(World):
    def __init__(self, folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__()
        monkeypatch.setattr("garnetlanding.daemon.tempfile.gettempdir", lambda: str(folder))
        self.brick = self.server(Brick)
        probe = self.front()
        self.address = probe.address
        probe.stop_accepting()
        self.settle()
        self.daemons: list[Daemon] = []

    def start_daemon(self) -> Daemon:
        daemon = Daemon(
            config.read(
                BASE
                | {
                    "listen": self.address,
                    "ops": "127.0.0.1:0",
                    "known": {
                        "generation": 4,
                        "reset": True,
                        "instances": [Box("b0", self.brick.address, 0).entry()],
                    },
                }
            ),
            clock=lambda: self.time,
        )
        daemon.start()
        self.daemons.append(daemon)
        self.settle()
        return daemon

    def settle(self) -> None:
        quiet = 0
        while quiet < 3:
            busy = self.scheduler.turn(1)
            for daemon in getattr(self, "daemons", []):
                busy = (not daemon.scheduler._stopped and daemon.scheduler.turn(0)) or busy
            quiet = 0 if busy else quiet + 1

    def call(self, daemon: Daemon, what: str, method: str = "POST") -> str:
        assert daemon.ops is not None
        return self.peer(daemon.ops.address).say(f"{method} {what} HTTP/1.1\r\n\r\n".encode()).decode()[9:12]


@pytest.fixture
def upgrade(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> Upgrade:
    return Upgrade(tmp_path, monkeypatch)


def test_a_new_process_takes_over_and_no_request_is_lost(upgrade: Upgrade) -> None:
    w = upgrade
    old = w.start_daemon()
    w.run(2 * SECOND)
    assert w.call(old, "/-/ready", "GET") == "200"
    clients = [w.peer(w.address) for _ in range(6)]
    for i, client in enumerate(clients):
        assert client.say(read_command(f"a{i}")).startswith(b"$")
    new = w.start_daemon()
    w.run(300 * MS)
    assert (old.part, new.part) == (0.5, 0.5)
    assert w.call(new, "/-/ready", "GET") == "503", "no list yet, and discovery is away"
    w.run(1300 * MS)
    assert w.call(new, "/-/ready", "GET") == "200", "with the list it was started with"
    w.brick.hold = True
    clients[0].say(read_command("busy"))
    old.scheduler.spawn(old.end)
    w.run(100 * MS)
    assert [c.closed for c in clients] == [False] + [True] * 5, "idle ones have somewhere to go"
    w.brick.hold = False
    w.brick.release()
    w.run(300 * MS)
    assert clients[0].got.endswith(b"$0\r\n\r\n") and clients[0].closed and old.scheduler._stopped
    late = w.peer(w.address)
    assert late.say(PING) == b"+PONG\r\n" and len(new.listeners[0]) == 1
    w.run(300 * MS)
    assert new.part == 1


def test_bans_and_a_drain_are_taken_up_by_the_new_process_and_said_to_the_old(upgrade: Upgrade) -> None:
    w = upgrade
    old = w.start_daemon()
    w.call(old, "/-/bricks/b0/disable")
    w.call(old, "/-/drain")
    new = w.start_daemon()
    assert new.core.endpoints.disabled == {"b0"} and new.desk and not new.desk.accepts_clients
    assert w.call(new, "/-/resume") == "200" and w.call(new, "/-/bricks/b0/enable") == "200"
    w.run(200 * MS)
    assert not old.core.endpoints.disabled and old.desk and old.desk.accepts_clients


def test_a_new_process_that_fails_its_start_leaves_the_old_one_serving(upgrade: Upgrade) -> None:
    w = upgrade
    old = w.start_daemon()
    taken = w.peer(w.address)
    broken = Daemon(config.read(BASE | {"listen": "192.0.2.1:1", "ops": "127.0.0.1:0"}), clock=lambda: w.time)
    with pytest.raises(OSError):
        broken.start()
    assert broken.lives
    broken.lives.close()
    w.run(300 * MS)
    assert taken.say(PING) == b"+PONG\r\n" and w.call(old, "/-/ready", "GET") in ("200", "503")
    assert Peer(w, w.address).say(PING) == b"+PONG\r\n"
