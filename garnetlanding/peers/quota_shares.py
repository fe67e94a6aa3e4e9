"""The arithmetic of quota shares: how a limit is divided, and which grants of it have not expired.

A grant is a share of the grantor's own even share, 0 to 1, that another instance may use for a bounded time.
The grantor keeps a `GrantLedger`, the receiver `ReceivedGrants`; each counts by its own clock. Times are
microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Grant:
    """A share of the grantor's even share that the receiver may use before `expires_at`."""

    share: float
    expires_at: int


def max_min_fair_shares(supply: float, demands: list[float]) -> list[float]:
    """Divide a supply among demands; the shares add up to it.

    Nobody gets more than it demands while another lacks something. What nobody demands is divided evenly.
    """
    left = supply
    shares = [0.0] * len(demands)
    order = sorted(range(len(demands)), key=demands.__getitem__)
    for place, index in enumerate(order):
        shares[index] = min(demands[index], left / (len(order) - place))
        left -= shares[index]
    return [share + left / len(demands) for share in shares]


def spare_share(wanted: float, requests: Mapping[int, float], hosts: int, peer: int) -> float:
    """Return the share of its even share that an instance can spare for `peer`.

    `wanted` is what the instance wants of the limit for itself, `requests` what each peer wants of it. What
    the instance does not need is divided in proportion to how much each peer lacks.
    """
    idle_hosts = max(0, hosts - 1 - len(requests))
    targets = max_min_fair_shares(1.0, [wanted, *requests.values(), *[0.0] * idle_hosts])
    lacking = {
        requester: max(0.0, target - 1 / hosts)
        for requester, target in zip(requests, targets[1:], strict=False)
    }
    if not lacking.get(peer):
        return 0.0
    return max(0.0, 1 - targets[0] * hosts) * lacking[peer] / sum(lacking.values())


class GrantLedger:
    """What an instance has granted of its even shares: by volume and receiver, until it expires."""

    def __init__(self, by_volume: dict[int, dict[int, list[Grant]]] | None = None) -> None:
        self.by_volume: dict[int, dict[int, list[Grant]]] = {} if by_volume is None else by_volume

    def copy(self) -> GrantLedger:
        """Return a ledger of the same grants that changes by itself."""
        return GrantLedger(
            {
                volume: {peer: list(grants) for peer, grants in receivers.items()}
                for volume, receivers in self.by_volume.items()
            }
        )

    def add(self, volume: int, peer: int, grant: Grant) -> None:
        """Record a grant. Earlier ones to the same peer count until they expire: they may not be replaced."""
        self.by_volume.setdefault(volume, {}).setdefault(peer, []).append(grant)

    def share_of(self, volume: int, peer: int, now: int) -> float:
        """Return the most that a peer may still use: the greatest grant that has not expired."""
        receivers = self.by_volume[volume]
        receivers[peer] = [grant for grant in receivers[peer] if grant.expires_at > now]
        return max((grant.share for grant in receivers[peer]), default=0.0)

    def total(self, volume: int, now: int, except_peer: int | None = None) -> float:
        """Return the sum of what peers may still use of this instance's even share."""
        peers = self.by_volume.get(volume, {})
        return sum(self.share_of(volume, peer, now) for peer in peers if peer != except_peer)

    def latest(self, volume: int, now: int) -> list[tuple[int, Grant]]:
        """Return the last grant to each peer, by its number, where it has not expired."""
        receivers = sorted(self.by_volume.get(volume, {}).items())
        return [
            (peer, grant) for peer, grants in receivers for grant in grants[-1:] if grant.expires_at > now
        ]

    def drop_expired(self, now: int) -> list[int]:
        """Forget what has expired; return when each of the other grants will."""
        expirations: list[int] = []
        for volume, receivers in list(self.by_volume.items()):
            for peer in list(receivers):
                self.share_of(volume, peer, now)
                expirations += [grant.expires_at for grant in receivers[peer]]
                if not receivers[peer]:
                    del receivers[peer]
            if not receivers:
                del self.by_volume[volume]
        return expirations


class ReceivedGrants:
    """What an instance may use of its peers' even shares: by volume and grantor, the last grant."""

    def __init__(self, by_volume: dict[int, dict[int, Grant]] | None = None) -> None:
        self.by_volume: dict[int, dict[int, Grant]] = {} if by_volume is None else by_volume

    def copy(self) -> ReceivedGrants:
        """Return the same grants, in a table that changes by itself."""
        return ReceivedGrants({volume: dict(grantors) for volume, grantors in self.by_volume.items()})

    def add(self, volume: int, peer: int, grant: Grant) -> None:
        """Take a grant in place of the one before of the same peer."""
        self.by_volume.setdefault(volume, {})[peer] = grant

    def shares(self, volume: int, now: int) -> dict[int, float]:
        """Return the share of each grantor whose grant has not expired."""
        grantors = self.by_volume.get(volume, {})
        return {peer: grant.share for peer, grant in grantors.items() if grant.expires_at > now}

    def current(self, volume: int, now: int) -> list[tuple[int, Grant]]:
        """Return the grant of each grantor, by its number, where it has not expired."""
        grantors = sorted(self.by_volume.get(volume, {}).items(), key=lambda item: item[0])
        return [(peer, grant) for peer, grant in grantors if grant.expires_at > now]

    def forget_peers(self, peers: Iterable[int]) -> None:
        """Drop the grants of peers that have left the fleet."""
        gone = list(peers)
        for grantors in self.by_volume.values():
            for peer in gone:
                grantors.pop(peer, None)

    def forget_volume(self, volume: int) -> None:
        """Drop the grants of a volume that is not requested here any more."""
        self.by_volume.pop(volume, None)

    def clear(self) -> None:
        """Drop every grant."""
        self.by_volume.clear()

    def drop_expired(self, now: int) -> list[int]:
        """Forget what has expired; return when each of the other grants will."""
        expirations: list[int] = []
        for volume, grantors in list(self.by_volume.items()):
            for peer in [peer for peer, grant in grantors.items() if grant.expires_at <= now]:
                del grantors[peer]
            expirations += [grant.expires_at for grant in grantors.values()]
            if not grantors:
                del self.by_volume[volume]
        return expirations
