"""Tables of the unexpired grants that an instance has made and received.

A grant permits its receiver to use a fraction, from 0 to 1, of the grantor's own even quota until the grant
expires. The grantor records it in a `GrantLedger`, the receiver in `ReceivedGrants`. Each of them uses its
own clock, in microseconds. Volumes and budgets are identified by the `name_tag` of their names.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Grant:
    """A fraction of the grantor's even quota that the receiver may use before `expires_at`."""

    fraction: float
    expires_at: int


class GrantLedger:
    """The grants that an instance has made from its even quotas, by volume and receiver."""

    def __init__(self, by_volume: dict[int, dict[int, list[Grant]]] | None = None) -> None:
        self.by_volume: dict[int, dict[int, list[Grant]]] = {} if by_volume is None else by_volume

    def copy(self) -> GrantLedger:
        """Return an independent copy."""
        return GrantLedger(
            {
                volume: {peer: list(grants) for peer, grants in receivers.items()}
                for volume, receivers in self.by_volume.items()
            }
        )

    def add(self, volume: int, peer: int, grant: Grant) -> None:
        """Record a grant in addition to earlier ones to the same peer.

        Earlier grants count until they expire, because the message with the new one may be lost.
        """
        self.by_volume.setdefault(volume, {}).setdefault(peer, []).append(grant)

    def usable_fraction(self, volume: int, peer: int, now: int) -> float:
        """Return the largest fraction that a peer may still be using: its greatest unexpired grant."""
        grants = self.by_volume[volume][peer]
        return max((grant.fraction for grant in grants if grant.expires_at > now), default=0.0)

    def total(self, volume: int, now: int, except_peer: int | None = None) -> float:
        """Return the sum of the fractions that peers may still be using, without that of `except_peer`."""
        peers = self.by_volume.get(volume, {})
        return sum(self.usable_fraction(volume, peer, now) for peer in peers if peer != except_peer)

    def latest(self, volume: int, now: int) -> list[tuple[int, Grant]]:
        """Return the latest grant to each receiver, unless it has expired, ordered by receiver."""
        receivers = sorted(self.by_volume.get(volume, {}).items())
        return [
            (peer, grant) for peer, grants in receivers for grant in grants[-1:] if grant.expires_at > now
        ]

    def drop_expired(self, now: int) -> list[int]:
        """Remove expired grants; return the expiration times of the others."""
        expirations: list[int] = []
        for volume, receivers in list(self.by_volume.items()):
            for peer, grants in list(receivers.items()):
                receivers[peer] = [grant for grant in grants if grant.expires_at > now]
                expirations += [grant.expires_at for grant in receivers[peer]]
                if not receivers[peer]:
                    del receivers[peer]
            if not receivers:
                del self.by_volume[volume]
        return expirations


class ReceivedGrants:
    """The latest grant that an instance has received from each peer, by volume and grantor."""

    def __init__(self, by_volume: dict[int, dict[int, Grant]] | None = None) -> None:
        self.by_volume: dict[int, dict[int, Grant]] = {} if by_volume is None else by_volume

    def copy(self) -> ReceivedGrants:
        """Return an independent copy."""
        return ReceivedGrants({volume: dict(grantors) for volume, grantors in self.by_volume.items()})

    def add(self, volume: int, peer: int, grant: Grant) -> None:
        """Record a grant, which replaces the previous one from the same peer."""
        self.by_volume.setdefault(volume, {})[peer] = grant

    def fractions(self, volume: int, now: int) -> dict[int, float]:
        """Return the fractions of the unexpired grants, by grantor."""
        grantors = self.by_volume.get(volume, {})
        return {peer: grant.fraction for peer, grant in grantors.items() if grant.expires_at > now}

    def current(self, volume: int, now: int) -> list[tuple[int, Grant]]:
        """Return the unexpired grants with their grantors, ordered by grantor."""
        grantors = sorted(self.by_volume.get(volume, {}).items(), key=lambda item: item[0])
        return [(peer, grant) for peer, grant in grantors if grant.expires_at > now]

    def forget_peers(self, peers: Iterable[int]) -> None:
        """Remove all grants from these peers."""
        departed = list(peers)
        for grantors in self.by_volume.values():
            for peer in departed:
                grantors.pop(peer, None)

    def forget_volume(self, volume: int) -> None:
        """Remove all grants of a volume, which this instance no longer requests."""
        self.by_volume.pop(volume, None)

    def clear(self) -> None:
        """Remove all grants."""
        self.by_volume.clear()

    def drop_expired(self, now: int) -> list[int]:
        """Remove expired grants; return the expiration times of the others."""
        expirations: list[int] = []
        for volume, grantors in list(self.by_volume.items()):
            expired = [peer for peer, grant in grantors.items() if grant.expires_at <= now]
            for peer in expired:
                del grantors[peer]
            expirations += [grant.expires_at for grant in grantors.values()]
            if not grantors:
                del self.by_volume[volume]
        return expirations
