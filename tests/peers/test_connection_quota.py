"""The connection quota of a backend, divided among instances by leases."""

from __future__ import annotations

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.peers.connection_quota import ConnectionQuota
from garnetlanding.peers.lease_message import LeaseMessage
from garnetlanding.peers.leases import BudgetLeases, Leases
from garnetlanding.peers.limits import SECOND
from garnetlanding.peers.name_tag import name_tag
from garnetlanding.peers.peer_contacts import InstanceIdentity
from tests.support.clock import T0
from tests.support.membership import LIMITS
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command

PER_BACKEND = 8  # connections of both instances to a backend
WINDOW_US = 2 * SECOND
BUDGET = "places:n0"
ROUNDING_SLACK = 1e-9  # in connections


class TwoInstanceFleet:
    """The leases of two instances that exchange messages, and the connection quota of the first."""

    def __init__(self) -> None:
        self.now = T0
        self.instances = [
            Leases(LIMITS, InstanceIdentity(number, 2, 7), T0 - SECOND, budget_window_us=WINDOW_US)
            for number in range(2)
        ]
        self.quota = ConnectionQuota(
            PER_BACKEND, WINDOW_US, lambda: self.now, lambda: BudgetLeases(self.instances[0], 2)
        )

    def exchange(self, seconds: float, own: int = 0, peers: int = 0, denied_by_quota: bool = False) -> None:
        """Exchange messages while the first instance has `own` connections open and the second `peers`.

        If `denied_by_quota`, the first instance needs another connection.
        """
        for _ in range(int(seconds * 4)):
            self.now += SECOND // 4
            self.quota.set_open("n0", own, denied_by_quota=denied_by_quota)
            rate = PER_BACKEND * SECOND / WINDOW_US
            self.instances[1].record_demand(BUDGET, 2, rate, 0, self.now, WINDOW_US)
            self.instances[1].demands.set_in_use(BUDGET, peers)
            for sender, receiver in ((0, 1), (1, 0)):
                number = self.instances[sender].contacts.next_number(self.now)
                for page in self.instances[sender].compose(self.now).values():
                    last_received = self.instances[sender].contacts.last_received(receiver)
                    self.instances[receiver].receive(
                        sender, LeaseMessage(7, number, *last_received, *page), self.now
                    )

    def peers_quota(self) -> int:
        quota = self.instances[1].usable_quota(name_tag(BUDGET), self.now)
        return int(quota * PER_BACKEND + ROUNDING_SLACK)


def test_connection_quota_moves_to_the_instance_that_lacks_connections_within_the_limit() -> None:
    fleet = TwoInstanceFleet()
    assert fleet.quota.max_connections("n0") == 0, "connections of an earlier incarnation may still be open"
    fleet.exchange(3)
    assert fleet.quota.max_connections("n0") == 4
    fleet.exchange(3, own=4, denied_by_quota=True)
    assert fleet.quota.max_connections("n0") > 5
    assert fleet.quota.max_connections("n0") + fleet.peers_quota() <= PER_BACKEND


def test_connections_that_a_peer_has_open_are_not_granted() -> None:
    busy = TwoInstanceFleet()
    busy.exchange(3)
    busy.exchange(3, own=4, peers=4, denied_by_quota=True)
    assert busy.quota.max_connections("n0") == 4, "the peer keeps its open connections"


def test_connection_quota_is_zero_without_leases() -> None:
    without_leases = ConnectionQuota(PER_BACKEND, SECOND, lambda: T0, lambda: None)
    without_leases.set_open("n0", 1)
    assert without_leases.max_connections("n0") == 0


def test_only_instance_has_the_whole_connection_quota() -> None:
    alone = Leases(LIMITS, InstanceIdentity(0, 1, 7), T0, budget_window_us=SECOND)
    quota = ConnectionQuota(PER_BACKEND, SECOND, lambda: T0, lambda: BudgetLeases(alone, 1))
    assert quota.max_connections("n0") == PER_BACKEND


class FixedQuota:
    """A quota that a test sets, with the open connections reported to it."""

    def __init__(self) -> None:
        self.allowed = 2
        self.reported: list[tuple[int, bool]] = []

    def max_connections(self, _backend: str) -> int:
        return self.allowed

    def set_open(self, _backend: str, count: int, *, denied_by_quota: bool = False) -> None:
        self.reported.append((count, denied_by_quota))


def test_pool_opens_no_more_connections_than_the_quota_and_closes_those_beyond_it() -> None:
    instance = SimulatedInstance()
    quota = FixedQuota()
    instance.resp_upstream.connections.quota = quota
    backend = instance.server(EmulatedBackend)
    backend.holds_responses = True
    instance.list_endpoints(EmulatedEndpoint("n0", backend.address, 0))
    front = instance.start_resp_listener()
    clients = [LoopbackClient(instance, front.address) for _ in range(3)]
    for i, client in enumerate(clients):
        client.send_bytes(read_command(f"r{i}"))
    assert len(backend.connections) == 2, "the third request needs another connection"
    assert (2, True) in quota.reported, "the third request needs another connection"
    quota.allowed = 1
    backend.holds_responses = False
    backend.release()
    instance.run(SECOND)
    assert len(backend.connections) == 1, "one connection was closed when its request ended"
    assert quota.reported[-1][0] == 1, "one connection was closed when its request ended"
