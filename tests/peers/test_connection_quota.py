"""Connection quota of one backend, divided among the instances."""

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


class TwoInstances:
    """Leases of two instances that exchange messages, and the connection quota of the first."""

    def __init__(self) -> None:
        self.now, window = T0, 2 * SECOND
        self.instances = [
            Leases(LIMITS, InstanceIdentity(me, 2, 7), T0 - SECOND, budget_window_us=window)
            for me in range(2)
        ]
        self.quota = ConnectionQuota(8, window, lambda: self.now, lambda: BudgetLeases(self.instances[0], 2))

    def exchange(self, seconds: float, own: int = 0, peers: int = 0, lacking: bool = False) -> None:
        """Exchange messages while each instance has so many connections open.

        The first one, where it is `lacking`, wants one more.
        """
        for _ in range(int(seconds * 4)):
            self.now += SECOND // 4
            self.quota.set_open("n0", own, lacking=lacking)
            self.instances[1].record_demand("places:n0", 2, 4.0, 0, self.now, 2 * SECOND)
            self.instances[1].demands.set_in_use("places:n0", peers)
            for sender, receiver in ((0, 1), (1, 0)):
                number = self.instances[sender].contacts.next_number(self.now)
                for page in self.instances[sender].compose(self.now).values():
                    last_received = self.instances[sender].contacts.last_received(receiver)
                    self.instances[receiver].receive(
                        sender, LeaseMessage(7, number, *last_received, *page), self.now
                    )

    def peers_quota(self) -> int:
        return int(self.instances[1].usable_quota(name_tag("places:n0"), self.now) * 8 + 1e-9)


def test_connection_quota_moves_to_the_instance_that_lacks_it_and_never_exceeds_the_whole() -> None:
    fleet = TwoInstances()
    assert fleet.quota.max_connections("n0") == 0, "what an earlier incarnation had open may not be closed"
    fleet.exchange(3)
    assert fleet.quota.max_connections("n0") == 4
    fleet.exchange(3, own=4, lacking=True)
    assert fleet.quota.max_connections("n0") > 5
    assert fleet.quota.max_connections("n0") + fleet.peers_quota() <= 8
    busy = TwoInstances()
    busy.exchange(3)
    busy.exchange(3, own=4, peers=4, lacking=True)
    assert busy.quota.max_connections("n0") == 4, "none of those that the other has open"
    nobody = ConnectionQuota(8, SECOND, lambda: T0, lambda: None)
    nobody.set_open("n0", 1)
    assert nobody.max_connections("n0") == 0
    alone = Leases(LIMITS, InstanceIdentity(0, 1, 7), T0, budget_window_us=SECOND)
    assert ConnectionQuota(8, SECOND, lambda: T0, lambda: BudgetLeases(alone, 1)).max_connections("n0") == 8


class FixedQuota:
    """A quota that a test sets."""

    def __init__(self) -> None:
        self.allowed, self.reported = 2, list[tuple[int, bool]]()

    def max_connections(self, _backend: str) -> int:
        return self.allowed

    def set_open(self, _backend: str, count: int, *, lacking: bool = False) -> None:
        self.reported.append((count, lacking))


def test_pool_opens_no_more_connections_than_the_quota_and_closes_those_beyond_it() -> None:
    w, quota = SimulatedInstance(), FixedQuota()
    w.bricks.connections.quota = quota
    brick = w.server(EmulatedBackend)
    brick.holds_responses = True
    w.list(EmulatedEndpoint("n0", brick.address, 0))
    front = w.front()
    peers = [LoopbackClient(w, front.address) for _ in range(3)]
    for i, peer in enumerate(peers):
        peer.say(read_command(f"r{i}"))
    assert len(brick.connections) == 2, "the third lacks a connection"
    assert (2, True) in quota.reported, "the third lacks a connection"
    quota.allowed = 1
    brick.holds_responses = False
    brick.release()
    w.run(SECOND)
    assert len(brick.connections) == 1, "the other was closed as it came free"
    assert quota.reported[-1][0] == 1, "the other was closed as it came free"
