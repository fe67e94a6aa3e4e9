"""Heads that tell each other what they are asked for: around the module, over the link, in the daemon."""

from __future__ import annotations

import json
import pathlib
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest

from garnetlanding import config
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.decision.requests import Volume
from garnetlanding.ops import admin_client, admin_output
from garnetlanding.peers import codec
from garnetlanding.peers.codec import LeaseMessage
from garnetlanding.peers.coordinator import PeerCoordinator
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.link import PeerLink
from garnetlanding.peers.setup import PeerSetup
from tests.support.clock import MS, SECOND, T0
from tests.support.daemon import PLATFORM_CONFIG, PLATFORM_SETTINGS, SimulatedDaemon
from tests.support.decision_bench import make_settings, up_endpoint
from tests.support.simulated_instance import SimulatedInstance, read_command

LIMITS = PeerLimits()
PLAN = api.PlanSpec("gold", weight=4.0, usual_rate=10.0, reserve_rate=8.0, limit_rate=40.0, limit_burst=60.0)
LIMITED = make_settings(may_message_peers=True, plans={"gold": PLAN})


def volume(talk: PeerCoordinator) -> Volume:
    module = talk.module
    assert isinstance(module, Controller)
    return module.state.volumes["v"]


class FailureDetector:
    """Three heads with their modules; a test says which messages arrive."""

    def __init__(self) -> None:
        self.now = T0
        self.talks = [
            PeerCoordinator(Controller(replace(LIMITED, instance_id=me), 1), incarnation=1) for me in range(3)
        ]
        self.inbox: list[list[api.Event]] = [[] for _ in self.talks]
        self.sent: list[list[str]] = [[] for _ in self.talks]
        for talk in self.talks:
            talk.handle(T0, [api.EndpointListUpdate((up_endpoint("n0", 0),), whole=True, at_start=True)])

    def run(self, seconds: float, asked: tuple[int, ...] = (0,), cut: tuple[int, ...] = ()) -> None:
        """Each head that is asked gets 50 units a second, and a node answers at once."""
        for _ in range(int(seconds * 25)):
            self.now += 40 * MS
            for me, talk in enumerate(self.talks):
                events, self.inbox[me] = self.inbox[me], []
                if me in asked:
                    name = f"r{len(self.sent[me])}-{self.now}"
                    events.append(api.Arrival(name, "read", "gold", "v", "k", 2, 0, self.now + SECOND, 2))
                self._act(me, talk.handle(self.now, events), cut)

    def _act(self, me: int, actions: list[api.Action], cut: tuple[int, ...]) -> None:
        for action in actions:
            if isinstance(action, api.SendPeerMessage) and not {me, action.to} & set(cut):
                self.inbox[action.to].append(api.PeerMessage(me, action.payload))
            elif isinstance(action, api.Send):
                self.sent[me].append(action.request)
                self.inbox[me].append(api.Result(action.request, 0, "n0", api.Outcome.SERVED, MS, True))


def test_the_module_sends_what_its_part_of_the_limit_allows_and_no_more() -> None:
    f = FailureDetector()
    f.run(4)
    assert volume(f.talks[0]).quota_share == pytest.approx(1.0)
    assert volume(f.talks[0]).limit.rate == pytest.approx(40)
    before = len(f.sent[0])
    f.run(4)
    assert 70 <= len(f.sent[0]) - before <= 82, "40 units a second, where a fixed half allowed 20"
    f.run(2, cut=(0,))
    assert volume(f.talks[0]).limit.rate == pytest.approx(20)
    assert volume(f.talks[0]).limit.capacity == 30
    f.run(4, asked=(0, 1))
    parts = [volume(f.talks[me]).quota_share for me in (0, 1)]
    assert sum(parts) <= 1 + 1e-9, "two that ask alike have a half each"
    assert min(parts) > 0.4, "two that ask alike have a half each"


def test_a_volume_with_another_part_than_an_even_one_is_not_forgotten() -> None:
    """Were it, it would come back with an even part, though the rest has been left to another head."""
    f = FailureDetector()
    f.run(3, asked=(0, 1))
    f.run(70)
    assert volume(f.talks[1]).quota_share < 0.1
    assert volume(f.talks[0]).quota_share > 0.9
    f.run(0.04, asked=(1,))
    assert volume(f.talks[1]).limit.rate < 4


def test_without_limits_nothing_is_told() -> None:
    talk = PeerCoordinator(Controller(make_settings(may_message_peers=True), 1), incarnation=1)
    for i in range(40):
        now = T0 + i * 100 * MS
        actions = talk.handle(now, [api.Arrival(f"r{i}", "read", "gold", "v", "k", 1, 0, now + SECOND, 2)])
        assert not [a for a in actions if isinstance(a, api.SendPeerMessage)]


def test_another_number_of_heads_is_like_a_start() -> None:
    """What was given under the old numbers may still be in use."""
    f = FailureDetector()
    f.run(4)
    talk = f.talks[0]
    talk.handle(f.now, [api.NewSettings(replace(LIMITED, instances=4))])
    f.run(0.08, cut=(0, 1, 2))
    assert volume(talk).quota_share == 0.0
    f.run(1.5, cut=(0, 1, 2))
    assert volume(talk).quota_share == 0.5


def test_forged_bytes_are_counted_by_cause_and_change_nothing() -> None:
    talk = PeerCoordinator(Controller(make_settings(may_message_peers=True), 1), incarnation=1)
    whole = codec.encode_leases(
        LeaseMessage(1, 1, 0, 0, {codec.tag("v"): codec.Ask(1.0, 2)}, {codec.tag("v"): 1.0})
    )
    talk.handle(
        T0, [api.PeerMessage(1, p) for p in (b"", whole[:-1], whole + b"x", b"\x09" + whole[1:], bytes(300))]
    )
    assert talk.dropped == {"torn": 3, "other version": 1, "too long": 1}
    assert talk.leases
    assert not talk.leases.contacts.by_peer


def test_the_link_hears_its_peers_alone(caplog: pytest.LogCaptureFixture) -> None:
    w, heard = SimulatedInstance(), list[tuple[int, bytes]]()
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    peer, stranger = socks
    at = f"127.0.0.1:{peer.getsockname()[1]}"
    link = PeerLink(w.scheduler, PeerSetup("127.0.0.1:0", {4: at}), lambda *m: heard.append(m), Counter())
    to = ("127.0.0.1", int(link.address.rpartition(":")[2]))
    for sock, text in ((peer, b"one"), (stranger, b"forged"), (peer, bytes(257)), (peer, b"two")):
        sock.sendto(text, to)
    w.settle()
    assert heard == [(4, b"one"), (4, b"two")]
    assert link.dropped == {"no peer": 1, "too long": 1}
    link.send(b"hello")
    link.send(bytes(257))
    assert peer.recv(300) == b"hello"
    assert link.dropped["too long to send"] == 1
    peer.close()
    link.send(b"to a head that is down")
    link.send(b"again")
    w.settle()
    assert not caplog.records
    w.run(LIMITS.drop_report_us, SECOND)
    [line] = caplog.records
    assert line.__dict__["kv"]["count"] >= 3, "one line for all of them"
    assert not link.dropped, "one line for all of them"
    link.close()
    w.settle()
    assert link.closed
    assert len(heard) == 2
    stranger.close()


# The daemon

LIMIT = {"NeverOver": 40.0, "LimitBurst": 60.0}
TELLS = PLATFORM_SETTINGS | {
    "Limits": PLATFORM_SETTINGS["Limits"] | {"MayTell": True},
    "Balancers": 3,
    "Contracts": [PLATFORM_SETTINGS["Contracts"][0] | LIMIT],
}


class TalkingHead(SimulatedDaemon):
    """Head 0 of three; a test stands for the other two."""

    def __init__(self, config: dict[str, Any] = TELLS) -> None:
        self.others = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
        for sock in self.others:
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
        at = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in self.others]
        super().__init__(settings=config, peer_listen="127.0.0.1:0", peers=["127.0.0.1:9", *at])

    @property
    def talk(self) -> PeerCoordinator:
        talk = self.daemon.core.module
        assert isinstance(talk, PeerCoordinator)
        return talk

    def ask(self) -> None:
        """A request of a volume that comes through two heads, and a second for what follows from it."""
        self.client().say(read_command(f"r{self.time}").replace(b"hosts=1", b"hosts=2"))
        self.run(SECOND, 50 * MS)

    def heard(self) -> list[list[LeaseMessage]]:
        """What each of the others has got since the last look."""
        got: list[list[LeaseMessage]] = [[], []]
        for uses, sock in zip(got, self.others, strict=True):
            try:
                while data := sock.recv(300):
                    uses.append(codec.decode_leases(data, LIMITS.datagram_bytes))
            except BlockingIOError:
                pass
        return got


def test_a_head_tells_every_other_and_hears_them() -> None:
    h = TalkingHead()
    h.ask()
    told = h.heard()
    assert len(told[0]) == len(told[1]) >= 3
    assert told[0][-1].asks[codec.tag("v")][1] == 2
    assert {use.incarnation for use in told[0]} == {h.talk.incarnation}
    assert h.talk.incarnation > 10**12
    link = h.daemon.assembly.peer_link.link
    assert link
    assert h.daemon.core.send_to_peer
    host, port = link.address.split(":")
    h.others[1].sendto(codec.encode_leases(LeaseMessage(1, 1)), (host, int(port)))
    h.settle()
    assert h.talk.leases
    assert list(h.talk.leases.contacts.by_peer) == [2]


def test_operators_see_who_has_which_part_until_when() -> None:
    h = TalkingHead()
    h.ask()
    link = h.daemon.assembly.peer_link.link
    assert link
    assert h.talk.leases
    host, port = link.address.split(":")
    tag, sent = codec.tag("v"), h.heard()[0][-1]
    grant = LeaseMessage(1, 1, sent.incarnation, sent.number, {tag: codec.Ask(1.0, 2)}, {tag: 0.6})
    h.others[0].sendto(codec.encode_leases(grant), (host, int(port)))
    h.settle()
    [row] = [row.as_json() for row in h.talk.limit_rows(h.time)]
    assert row["volume"] == "v"
    assert row["hosts"] == 2
    assert row["had"] == [{"head": 1, "share": 0.6, "for_ms": row["had"][0]["for_ms"]}]  # type: ignore[index]
    rows = [row.as_json() for row in h.talk.member_rows(h.time)]
    assert [(r["head"], r["life"]) for r in rows] == [(0, h.talk.incarnation), (1, 1), (2, None)]
    shown = admin_output.as_text("fleet/limits", admin_client.Reply(200, json.dumps([row])))
    assert "n1 0.6 for" in shown
    assert "volume" in shown
    assert (
        json.loads(admin_output.as_json("fleet/members", admin_client.Reply(200, json.dumps(rows))))[
            "members"
        ]
        == rows
    )
    assert admin_client.method_and_path("fleet/limits") == ("GET", "/-/fleet/limits")


def test_the_call_on_the_fleet_is_known_only_where_heads_hear_each_other(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr(tempfile, "tempdir", None)
    for config_used, status in ((TELLS, b"200 OK"), (PLATFORM_SETTINGS, b"404")):
        h = SimulatedDaemon(
            settings=config_used, ops="127.0.0.1:0", peer_listen="127.0.0.1:0", peers=["127.0.0.1:9"] * 3
        )
        assert h.daemon.assembly.admin is not None
        got = h.peer(h.daemon.assembly.admin.listener.address).say(
            b"GET /-/fleet/members HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        assert got.startswith(b"HTTP/1.1 " + status)
        h.daemon.scheduler.close()


def test_settings_that_forbid_messages_close_the_link_and_those_that_allow_them_open_it() -> None:
    h = TalkingHead()
    link = h.daemon.assembly.peer_link.link
    assert link
    h.file = h.file | {"settings": PLATFORM_SETTINGS | {"Balancers": 3}}
    h.daemon.reload()
    h.ask()
    h.heard()
    h.ask()
    assert link.closed
    assert h.daemon.assembly.peer_link.link is None
    assert h.heard() == [[], []]
    assert h.client().say(read_command()) == b"$0\r\n\r\n"
    h.file = h.file | {"settings": TELLS}
    h.daemon.reload()
    h.ask()
    assert h.daemon.assembly.peer_link.link
    assert len(h.heard()[0]) >= 3


def test_where_messages_are_forbidden_no_socket_is_opened_and_nothing_is_imported() -> None:
    h = TalkingHead(PLATFORM_SETTINGS)
    assert h.daemon.config.peers is None
    assert h.daemon.assembly.peer_link.link is None
    assert not isinstance(h.daemon.core.module, PeerCoordinator)
    program = (
        "import json, sys; from garnetlanding import config; from garnetlanding.daemon import Daemon;"
        "Daemon(config.read(json.loads(sys.argv[1]))); "
        "print([m for m in sys.modules if m.startswith('garnetlanding.peers')])"
    )
    told = {"peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:9"]}
    out = subprocess.run(
        [sys.executable, "-c", program, json.dumps(PLATFORM_CONFIG | told)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert out.stdout.strip() == "[]"


def test_an_address_that_an_older_process_still_has_is_tried_again(caplog: pytest.LogCaptureFixture) -> None:
    taken = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    taken.bind(("127.0.0.1", 0))
    at = f"127.0.0.1:{taken.getsockname()[1]}"
    h = SimulatedDaemon(settings=TELLS, peer_listen=at, peers=["127.0.0.1:9"] * 3)
    assert h.daemon.assembly.peer_link.link is None
    assert "peer link not opened" in caplog.text
    assert h.client().say(read_command()) == b"$0\r\n\r\n"
    taken.close()
    client = h.client()
    ask = read_command("r2").replace(b"hosts=1", b"hosts=2")
    assert client.say(ask).startswith(b"-BUSY") or not h.brick.heard[1:], "the other one has this head's part"
    talk = h.daemon.assembly.peer_link.coordinator
    assert talk
    assert volume(talk).quota_share == 0.0
    h.run(LIMITS.open_retry_us, 100 * MS)
    assert h.daemon.assembly.peer_link.link
    assert h.daemon.assembly.peer_link.link.address == at
    client.say(ask.replace(b"r2", b"r3"))
    assert volume(talk).quota_share == 0.0, "nor may it have given nothing away"
    h.run(2 * LIMITS.lease_us, 100 * MS)
    client.say(ask.replace(b"r2", b"r4"))
    h.run(100 * MS)
    assert volume(talk).quota_share == 0.5


def test_a_process_that_ends_beside_a_newer_one_leaves_it_the_link_and_every_part() -> None:
    h = TalkingHead()
    h.ask()
    h.ask()
    assert volume(h.talk).quota_share == 0.5
    assert h.daemon.assembly.peer_link.link
    link = h.daemon.assembly.peer_link.link

    class Newer:
        has_successor = True

        def close(self) -> None: ...

    h.daemon.assembly.instance.process.registry = Newer()  # type: ignore[assignment]
    h.daemon.scheduler.spawn(h.daemon.end)
    h.settle()
    assert link.closed
    assert h.talk.leases
    assert h.talk.leases.usable_share(codec.tag("v"), h.time) == 0.0


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"peer_listen": "nowhere"}, "key peer_listen"),
        ({"peers": "x:1"}, "key peers: expected a list"),
        ({"peers": ["127.0.0.1:9", 7]}, "key peers.1"),
        ({"peers_all": "x"}, "key peers_all"),
    ],
)
def test_a_fault_in_the_keys_of_the_link_names_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        config.read(PLATFORM_CONFIG | {"settings": TELLS, "peer_listen": "127.0.0.1:0"} | change)
