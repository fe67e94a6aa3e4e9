"""The peer coordinator, the UDP link, and both within the daemon."""

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
from garnetlanding.decision.volume import Volume
from garnetlanding.ops import admin_client, admin_output
from garnetlanding.peers import lease_message
from garnetlanding.peers.coordinator import PeerCoordinator, PeerSubsystems
from garnetlanding.peers.drop_reasons import LinkDropReason
from garnetlanding.peers.lease_message import LeaseMessage, QuotaRequest
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.link import PeerLink
from garnetlanding.peers.membership_protocol import MembershipProtocol
from garnetlanding.peers.membership_table import InstanceRecord
from garnetlanding.peers.name_tag import name_tag
from garnetlanding.peers.setup import PeerSetup
from garnetlanding.peers.shared_budgets import SharedBudgets
from tests.support.clock import MS, SECOND, T0
from tests.support.daemon import PLATFORM_CONFIG, PLATFORM_SETTINGS, SimulatedDaemon
from tests.support.decision_bench import make_settings, up_endpoint
from tests.support.membership import started_instance
from tests.support.simulated_instance import SimulatedInstance, read_command

LIMITS = PeerLimits()
PLAN = api.PlanSpec("gold", weight=4.0, usual_rate=10.0, reserve_rate=8.0, limit_rate=40.0, limit_burst=60.0)
LIMITED = make_settings(may_message_peers=True, plans={"gold": PLAN})


def volume(coordinator: PeerCoordinator) -> Volume:
    module = coordinator.module
    assert isinstance(module, Controller)
    return module.state.volumes.by_name["v"]


class SimulatedFleet:
    """Three instances with their decision modules; the test controls which messages arrive."""

    def __init__(self) -> None:
        self.now = T0
        self.coordinators = [
            PeerCoordinator(Controller(replace(LIMITED, instance_id=instance), 1), incarnation=1)
            for instance in range(3)
        ]
        self.inbox: list[list[api.Event]] = [[] for _ in self.coordinators]
        self.sent: list[list[str]] = [[] for _ in self.coordinators]
        for coordinator in self.coordinators:
            coordinator.handle(
                T0, [api.EndpointListUpdate((up_endpoint("n0", 0),), complete=True, at_start=True)]
            )

    def run(self, seconds: float, loaded: tuple[int, ...] = (0,), partitioned: tuple[int, ...] = ()) -> None:
        """Send each loaded instance 50 units a second, which a backend serves at once.

        Messages from and to partitioned instances are lost.
        """
        for _ in range(int(seconds * 25)):
            self.now += 40 * MS
            for instance, coordinator in enumerate(self.coordinators):
                events, self.inbox[instance] = self.inbox[instance], []
                if instance in loaded:
                    name = f"r{len(self.sent[instance])}-{self.now}"
                    events.append(api.Arrival(name, "read", "gold", "v", "k", 2, 0, self.now + SECOND, 2))
                self._act(instance, coordinator.handle(self.now, events), partitioned)

    def _act(self, instance: int, actions: list[api.Action], partitioned: tuple[int, ...]) -> None:
        for action in actions:
            if isinstance(action, api.SendPeerMessage):
                assert action.recipient is not None
                if {instance, action.recipient} & set(partitioned):
                    continue
                self.inbox[action.recipient].append(api.PeerMessage(instance, action.payload))
            elif isinstance(action, api.Send):
                self.sent[instance].append(action.request)
                self.inbox[instance].append(api.Result(action.request, 0, "n0", api.Outcome.SERVED, MS, True))


def test_module_sends_what_its_quota_allows_and_no_more() -> None:
    fleet = SimulatedFleet()
    fleet.run(4)
    assert volume(fleet.coordinators[0]).quota == pytest.approx(1.0)
    assert volume(fleet.coordinators[0]).limit.rate == pytest.approx(40)
    before = len(fleet.sent[0])
    fleet.run(4)
    assert 70 <= len(fleet.sent[0]) - before <= 82, "40 units a second, where a fixed half allowed 20"
    fleet.run(2, partitioned=(0,))
    assert volume(fleet.coordinators[0]).limit.rate == pytest.approx(20)
    assert volume(fleet.coordinators[0]).limit.capacity == 30
    fleet.run(4, loaded=(0, 1))
    quotas = [volume(fleet.coordinators[instance]).quota for instance in (0, 1)]
    assert sum(quotas) <= 1 + 1e-9, "two with the same demand have a half each"
    assert min(quotas) > 0.4, "two with the same demand have a half each"


def test_volume_with_an_uneven_quota_is_not_forgotten() -> None:
    """A forgotten volume would start again with an even quota, part of which has been granted to a peer."""
    fleet = SimulatedFleet()
    fleet.run(3, loaded=(0, 1))
    fleet.run(70)
    assert volume(fleet.coordinators[1]).quota < 0.1
    assert volume(fleet.coordinators[0]).quota > 0.9
    fleet.run(0.04, loaded=(1,))
    assert volume(fleet.coordinators[1]).limit.rate < 4


def test_without_limits_no_message_is_sent() -> None:
    coordinator = PeerCoordinator(Controller(make_settings(may_message_peers=True), 1), incarnation=1)
    for i in range(40):
        now = T0 + i * 100 * MS
        actions = coordinator.handle(
            now, [api.Arrival(f"r{i}", "read", "gold", "v", "k", 1, 0, now + SECOND, 2)]
        )
        assert not [action for action in actions if isinstance(action, api.SendPeerMessage)]


def test_another_number_of_instances_begins_anew_without_any_quota() -> None:
    """Quota granted under the old number of instances may still be in use."""
    fleet = SimulatedFleet()
    fleet.run(4)
    coordinator = fleet.coordinators[0]
    coordinator.handle(fleet.now, [api.NewSettings(replace(LIMITED, instances=4))])
    fleet.run(0.08, partitioned=(0, 1, 2))
    assert volume(coordinator).quota == 0.0
    fleet.run(1.5, partitioned=(0, 1, 2))
    assert volume(coordinator).quota == 0.5


def test_budgets_observe_actions_by_the_settings_that_the_same_events_brought(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    observed: list[int] = []

    def observe(*call: Any) -> None:
        observed.append(call[-1].retry_budget_window_us)

    monkeypatch.setattr(SharedBudgets, "observe_actions", observe)
    coordinator = PeerCoordinator(
        Controller(replace(LIMITED, retry_budget_window_us=SECOND), 1),
        incarnation=1,
        subsystems=PeerSubsystems(
            make_budgets=lambda settings, incarnation, now: SharedBudgets(LIMITS, settings, incarnation, now)
        ),
    )
    coordinator.handle(T0, [])
    coordinator.handle(T0, [api.NewSettings(replace(LIMITED, retry_budget_window_us=2 * SECOND))])
    assert observed == [SECOND, 2 * SECOND]


def test_inactive_coordinator_sends_nothing_until_it_is_activated() -> None:
    coordinator = PeerCoordinator(Controller(LIMITED, 1), incarnation=1, is_active=False)
    arrival = api.Arrival("r", "read", "gold", "v", "k", 2, 0, T0 + SECOND, 2)

    def messages_sent(now: int) -> int:
        actions = coordinator.handle(now, [replace(arrival, request=f"r{now}")])
        return sum(isinstance(action, api.SendPeerMessage) for action in actions)

    assert [messages_sent(T0 + delay * LIMITS.send_interval_us) for delay in range(4)] == [0, 0, 0, 0]
    coordinator.activate(T0 + 4 * LIMITS.send_interval_us)
    assert messages_sent(T0 + 4 * LIMITS.send_interval_us) == 2, "one to each peer"


def test_forged_datagrams_are_counted_by_cause_and_change_nothing() -> None:
    coordinator = PeerCoordinator(Controller(make_settings(may_message_peers=True), 1), incarnation=1)
    valid = lease_message.encode(
        LeaseMessage(1, 1, 0, 0, {name_tag("v"): QuotaRequest(1.0, 2)}, {name_tag("v"): 1.0})
    )
    forged = (b"", valid[:-1], valid + b"x", b"\x09" + valid[1:], bytes(300))
    coordinator.handle(T0, [api.PeerMessage(1, payload) for payload in forged])
    assert coordinator.dropped == {"torn": 3, "other version": 1, "too long": 1}
    assert coordinator.leases
    assert not coordinator.leases.contacts.by_peer


def test_link_drops_datagrams_that_are_oversized_or_from_unknown_senders_and_logs_one_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    instance, received = SimulatedInstance(), list[tuple[int, bytes]]()
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
    for bound in sockets:
        bound.bind(("127.0.0.1", 0))
    peer, unknown_sender = sockets
    setup = PeerSetup("127.0.0.1:0", {4: f"127.0.0.1:{peer.getsockname()[1]}"})
    link = PeerLink(instance.scheduler, setup, lambda *message: received.append(message), Counter())
    link_address = ("127.0.0.1", int(link.address.rpartition(":")[2]))
    for sender, text in ((peer, b"one"), (unknown_sender, b"forged"), (peer, bytes(257)), (peer, b"two")):
        sender.sendto(text, link_address)
    instance.settle()
    assert received == [(4, b"one"), (4, b"two")]
    assert link.dropped == {"no peer": 1, "too long": 1}
    link.send(b"hello")
    link.send(bytes(257))
    assert peer.recv(300) == b"hello"
    assert link.dropped["too long to send"] == 1
    assert {reason.value for reason in LinkDropReason} == {
        "no peer",
        "too long",
        "too long to send",
        "not sent",
    }, "operators match these causes in the log"
    peer.close()
    link.send(b"to a peer that is down")
    link.send(b"again")
    instance.settle()
    assert not caplog.records
    instance.run(LIMITS.drop_report_us, SECOND)
    [line] = caplog.records
    assert line.__dict__["kv"]["count"] >= 3, "one line for all of them"
    assert not link.dropped, "one line for all of them"
    link.close()
    instance.settle()
    assert link.closed
    assert len(received) == 2
    unknown_sender.close()


def test_link_to_discovered_peers_sends_and_receives_by_their_routes() -> None:
    """A peer's record contains its advertised address; a route maps that to the address to send to."""
    instance, received = SimulatedInstance(), list[tuple[int, bytes]]()
    peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    peer.bind(("127.0.0.1", 0))
    advertised = "10.9.9.9:7946"
    setup = PeerSetup("127.0.0.1:0", routes={advertised: f"127.0.0.1:{peer.getsockname()[1]}"})
    members = started_instance(0)
    members.merge([InstanceRecord(5, 1, False, advertised)])
    link = PeerLink(
        instance.scheduler,
        setup,
        lambda *message: received.append(message),
        Counter(),
        MembershipProtocol(LIMITS, members),
    )
    peer.sendto(b"from a peer", ("127.0.0.1", int(link.address.rpartition(":")[2])))
    instance.settle()
    assert received == [(5, b"from a peer")]
    link.send(b"to a peer", 5)
    assert peer.recv(300) == b"to a peer"
    link.send(b"to an unknown instance", 6)
    link.send(b"to all instances")
    peer.setblocking(False)
    with pytest.raises(BlockingIOError):
        peer.recv(300)
    link.close()
    instance.settle()
    peer.close()


# The daemon

PLAN_LIMIT = {"NeverOver": 40.0, "LimitBurst": 60.0}
LINKED_SETTINGS = PLATFORM_SETTINGS | {
    "Limits": PLATFORM_SETTINGS["Limits"] | {"MayTell": True},
    "Balancers": 3,
    "Contracts": [PLATFORM_SETTINGS["Contracts"][0] | PLAN_LIMIT],
}


class LinkedInstance(SimulatedDaemon):
    """Instance 0 of three; the test acts as the other two through their sockets."""

    def __init__(self, config: dict[str, Any] = LINKED_SETTINGS) -> None:
        self.peer_sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
        for peer in self.peer_sockets:
            peer.bind(("127.0.0.1", 0))
            peer.setblocking(False)
        addresses = [f"127.0.0.1:{peer.getsockname()[1]}" for peer in self.peer_sockets]
        super().__init__(settings=config, peer_listen="127.0.0.1:0", peers=["127.0.0.1:9", *addresses])

    @property
    def coordinator(self) -> PeerCoordinator:
        coordinator = self.daemon.core.module
        assert isinstance(coordinator, PeerCoordinator)
        return coordinator

    def request(self) -> None:
        """Send a request for a volume that two instances serve, and run for a second."""
        self.client().send_bytes(read_command(f"r{self.time}").replace(b"hosts=1", b"hosts=2"))
        self.run(SECOND, 50 * MS)

    def received(self) -> list[list[LeaseMessage]]:
        """Return the messages that each of the peers has received since the last call."""
        by_peer: list[list[LeaseMessage]] = [[], []]
        for messages, peer in zip(by_peer, self.peer_sockets, strict=True):
            try:
                while data := peer.recv(300):
                    messages.append(lease_message.decode(data, LIMITS.datagram_bytes))
            except BlockingIOError:
                pass
        return by_peer


def test_instance_sends_to_every_peer_and_receives_from_them() -> None:
    instance = LinkedInstance()
    instance.request()
    received = instance.received()
    assert len(received[0]) == len(received[1]) >= 3
    assert received[0][-1].requests[name_tag("v")][1] == 2
    assert {message.incarnation for message in received[0]} == {instance.coordinator.incarnation}
    assert instance.coordinator.incarnation > 10**12
    link = instance.daemon.assembly.peer_link.link
    assert link
    assert instance.daemon.core.send_to_peer
    host, port = link.address.split(":")
    instance.peer_sockets[1].sendto(lease_message.encode(LeaseMessage(1, 1)), (host, int(port)))
    instance.settle()
    assert instance.coordinator.leases
    assert list(instance.coordinator.leases.contacts.by_peer) == [2]


def test_operators_see_who_holds_which_quota_until_when() -> None:
    instance = LinkedInstance()
    instance.request()
    link = instance.daemon.assembly.peer_link.link
    assert link
    assert instance.coordinator.leases
    host, port = link.address.split(":")
    tag, acknowledged = name_tag("v"), instance.received()[0][-1]
    grant = LeaseMessage(
        1,
        1,
        acknowledged.incarnation,
        acknowledged.number,
        {tag: QuotaRequest(1.0, 2)},
        {tag: 0.6},
    )
    instance.peer_sockets[0].sendto(lease_message.encode(grant), (host, int(port)))
    instance.settle()
    [row] = [row.as_json() for row in instance.coordinator.limit_rows(instance.time)]
    assert row["volume"] == "v"
    assert row["hosts"] == 2
    assert row["had"] == [{"head": 1, "share": 0.6, "for_ms": row["had"][0]["for_ms"]}]  # type: ignore[index]
    rows = [row.as_json() for row in instance.coordinator.member_rows(instance.time)]
    assert [(row["head"], row["life"]) for row in rows] == [
        (0, instance.coordinator.incarnation),
        (1, 1),
        (2, None),
    ]
    text = admin_output.as_text("fleet/limits", admin_client.Reply(200, json.dumps([row])))
    assert "n1 0.6 for" in text
    assert "volume" in text
    assert (
        json.loads(admin_output.as_json("fleet/members", admin_client.Reply(200, json.dumps(rows))))[
            "members"
        ]
        == rows
    )
    assert admin_client.method_and_path("fleet/limits") == ("GET", "/-/fleet/limits")


def test_fleet_call_exists_only_where_instances_exchange_messages(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr(tempfile, "tempdir", None)
    for settings, status in ((LINKED_SETTINGS, b"200 OK"), (PLATFORM_SETTINGS, b"404")):
        instance = SimulatedDaemon(
            settings=settings, ops="127.0.0.1:0", peer_listen="127.0.0.1:0", peers=["127.0.0.1:9"] * 3
        )
        assert instance.daemon.assembly.admin is not None
        response = instance.connect(instance.daemon.assembly.admin.listener.address).send_bytes(
            b"GET /-/fleet/members HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        assert response.startswith(b"HTTP/1.1 " + status)
        instance.daemon.scheduler.close()


def test_reload_closes_the_link_where_messages_are_forbidden_and_opens_it_where_allowed() -> None:
    instance = LinkedInstance()
    link = instance.daemon.assembly.peer_link.link
    assert link
    instance.platform_config = instance.platform_config | {"settings": PLATFORM_SETTINGS | {"Balancers": 3}}
    instance.daemon.reload()
    instance.request()
    instance.received()
    instance.request()
    assert link.closed
    assert instance.daemon.assembly.peer_link.link is None
    assert instance.received() == [[], []]
    assert instance.client().send_bytes(read_command()) == b"$0\r\n\r\n"
    instance.platform_config = instance.platform_config | {"settings": LINKED_SETTINGS}
    instance.daemon.reload()
    instance.request()
    assert instance.daemon.assembly.peer_link.link
    assert len(instance.received()[0]) >= 3


def test_forbidden_messages_open_no_socket_and_import_nothing() -> None:
    instance = LinkedInstance(PLATFORM_SETTINGS)
    assert instance.daemon.config.peers is None
    assert instance.daemon.assembly.peer_link.link is None
    assert not isinstance(instance.daemon.core.module, PeerCoordinator)
    program = (
        "import json, sys; from garnetlanding import config; from garnetlanding.daemon import Daemon;"
        "Daemon(config.read(json.loads(sys.argv[1]))); "
        "print([m for m in sys.modules if m.startswith('garnetlanding.peers')])"
    )
    link_config = {"peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:9"]}
    completed = subprocess.run(
        [sys.executable, "-c", program, json.dumps(PLATFORM_CONFIG | link_config)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == "[]"


def test_address_held_by_a_predecessor_process_is_tried_again(caplog: pytest.LogCaptureFixture) -> None:
    predecessor = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    predecessor.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{predecessor.getsockname()[1]}"
    instance = SimulatedDaemon(settings=LINKED_SETTINGS, peer_listen=address, peers=["127.0.0.1:9"] * 3)
    assert instance.daemon.assembly.peer_link.link is None
    assert "peer link not opened" in caplog.text
    assert instance.client().send_bytes(read_command()) == b"$0\r\n\r\n"
    predecessor.close()
    client = instance.client()
    command = read_command("r2").replace(b"hosts=1", b"hosts=2")
    assert (
        client.send_bytes(command).startswith(b"-BUSY") or not instance.backend.received[1:]
    ), "the predecessor has this instance's quota"
    coordinator = instance.daemon.assembly.peer_link.coordinator
    assert coordinator
    assert volume(coordinator).quota == 0.0
    instance.run(LIMITS.bind_retry_us, 100 * MS)
    assert instance.daemon.assembly.peer_link.link
    assert instance.daemon.assembly.peer_link.link.address == address
    client.send_bytes(command.replace(b"r2", b"r3"))
    assert volume(coordinator).quota == 0.0, "the predecessor may have granted it to a peer"
    instance.run(2 * LIMITS.lease_us, 100 * MS)
    client.send_bytes(command.replace(b"r2", b"r4"))
    instance.run(100 * MS)
    assert volume(coordinator).quota == 0.5


def test_process_that_ends_beside_its_successor_leaves_it_the_link_and_every_quota() -> None:
    instance = LinkedInstance()
    instance.request()
    instance.request()
    assert volume(instance.coordinator).quota == 0.5
    assert instance.daemon.assembly.peer_link.link
    link = instance.daemon.assembly.peer_link.link

    class RegistryWithSuccessor:
        has_successor = True

        def close(self) -> None: ...

    instance.daemon.assembly.instance.process.registry = RegistryWithSuccessor()  # type: ignore[assignment]
    instance.daemon.scheduler.spawn(instance.daemon.shut_down)
    instance.settle()
    assert link.closed
    assert instance.coordinator.leases
    assert instance.coordinator.leases.usable_quota(name_tag("v"), instance.time) == 0.0


@pytest.mark.parametrize(
    ("change", "key"),
    [
        pytest.param({"peer_listen": "nowhere"}, "key peer_listen", id="listen without port"),
        pytest.param({"peers": "x:1"}, "key peers: expected a list", id="peers no list"),
        pytest.param({"peers": ["127.0.0.1:9", 7]}, "key peers.1", id="number for a peer"),
        pytest.param({"peers_all": "x"}, "key peers_all", id="broadcast without port"),
    ],
)
def test_invalid_link_setting_names_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        config.read(PLATFORM_CONFIG | {"settings": LINKED_SETTINGS, "peer_listen": "127.0.0.1:0"} | change)
