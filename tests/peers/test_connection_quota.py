"""Connection quota of one backend, divided among the instances."""

from __future__ import annotations

from garnetlanding.emulator.brick import Brick
from garnetlanding.emulator.discovery import Box
from garnetlanding.emulator.group_net import SECOND
from garnetlanding.peers import codec
from garnetlanding.peers.connection_quota import ConnectionQuota
from garnetlanding.peers.leases import InstanceIdentity, Leases, SharedLeases
from tests.support.clock import T0
from tests.support.membership import LIMITS
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command


class Shared:
    """Leases of two heads that hear each other, and the places of the first."""

    def __init__(self) -> None:
        self.now, window = T0, 2 * SECOND
        self.heads = [
            Leases(LIMITS, InstanceIdentity(me, 2, 7), T0 - SECOND, window_us=window) for me in range(2)
        ]
        self.places = ConnectionQuota(8, window, lambda: self.now, lambda: SharedLeases(self.heads[0], 2))

    def talk(self, seconds: float, mine: int = 0, theirs: int = 0, lacking: bool = False) -> None:
        """Each head has so many connections open; the first, where it is `lacking`, wants one more."""
        for _ in range(int(seconds * 4)):
            self.now += SECOND // 4
            self.places.set_open("n0", mine, lacking)
            self.heads[1].record_demand("places:n0", 2, 4.0, 0, self.now, 2 * SECOND)
            self.heads[1].set_in_use("places:n0", theirs)
            for sender, receiver in ((0, 1), (1, 0)):
                number = self.heads[sender].next_number(self.now)
                for page in self.heads[sender].compose(self.now).values():
                    heard = self.heads[sender].last_received(receiver)
                    self.heads[receiver].receive(
                        sender, codec.LeaseMessage(7, number, *heard, *page), self.now
                    )

    def others(self) -> int:
        return int(self.heads[1].usable_share(codec.tag("places:n0"), self.now) * 8 + 1e-9)


def test_places_at_a_server_move_to_the_head_that_lacks_them_and_never_add_up_to_more() -> None:
    s = Shared()
    assert s.places.max_connections("n0") == 0, "what an earlier life had open may not have ended"
    s.talk(3)
    assert s.places.max_connections("n0") == 4
    s.talk(3, mine=4, lacking=True)
    assert s.places.max_connections("n0") > 5 and s.places.max_connections("n0") + s.others() <= 8
    more = Shared()
    more.talk(3)
    more.talk(3, mine=4, theirs=4, lacking=True)
    assert more.places.max_connections("n0") == 4, "none that the other has open"
    nobody = ConnectionQuota(8, SECOND, lambda: T0, lambda: None)
    nobody.set_open("n0", 1)
    assert nobody.max_connections("n0") == 0
    alone = Leases(LIMITS, InstanceIdentity(0, 1, 7), T0, window_us=SECOND)
    assert ConnectionQuota(8, SECOND, lambda: T0, lambda: SharedLeases(alone, 1)).max_connections("n0") == 8


class Few:
    """Places that a test sets."""

    def __init__(self) -> None:
        self.allowed, self.told = 2, list[tuple[int, bool]]()

    def max_connections(self, backend: str) -> int:
        return self.allowed

    def set_open(self, backend: str, count: int, lacking: bool = False) -> None:
        self.told.append((count, lacking))


def test_a_head_opens_no_more_connections_than_it_has_places_and_closes_what_has_gone_back() -> None:
    w, few = SimulatedInstance(), Few()
    w.bricks.places = few
    brick = w.server(Brick)
    brick.hold = True
    w.list(Box("n0", brick.address, 0))
    front = w.front()
    peers = [LoopbackClient(w, front.address) for _ in range(3)]
    for i, peer in enumerate(peers):
        peer.say(read_command(f"r{i}"))
    assert len(brick.conns) == 2 and (2, True) in few.told, "the third lacks a place"
    few.allowed = 1
    brick.hold = False
    brick.release()
    w.run(SECOND)
    assert len(brick.conns) == 1 and few.told[-1][0] == 1, "the other was closed as it came free"
