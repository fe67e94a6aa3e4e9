"""The grants that an instance has made and received, until they expire.

A grant lets its receiver use a fraction, 0 to 1, of the grantor's own even quota for a bounded time. The
grantor records it in a `GrantLedger`, the receiver in `ReceivedGrants`; each measures the time by its own
clock, in microseconds. Volumes and budgets are identified by their `name_tag`.
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
    """What an instance has granted of its even quotas, by volume and receiver."""

    def __init__(self, by_volume: dict[int, dict[int, list[Grant]]] | None = None) -> None:
        self.by_volume: dict[int, dict[int, list[Grant]]] = {} if by_volume is None else by_volume

    def copy(self) -> GrantLedger:
        """Return an independent ledger of the same grants."""
        return GrantLedger(
            {
                volume: {peer: list(grants) for peer, grants in receivers.items()}
                for volume, receivers in self.by_volume.items()
            }
        )

    def add(self, volume: int, peer: int, grant: Grant) -> None:
        """Record a grant beside the earlier ones to the same peer.

        Those count until they expire: the message that announces this one may be lost.
        """
        self.by_volume.setdefault(volume, {}).setdefault(peer, []).append(grant)

    def usable_fraction(self, volume: int, peer: int, now: int) -> float:
        """Return the most that a peer may still use: the greatest grant that has not expired."""
        grants = self.by_volume[volume][peer]
        return max((grant.fraction for grant in grants if grant.expires_at > now), default=0.0)

    def total(self, volume: int, now: int, except_peer: int | None = None) -> float:
        """Return the sum of what peers may still use of this instance's even quota."""
        peers = self.by_volume.get(volume, {})
        return sum(self.usable_fraction(volume, peer, now) for peer in peers if peer != except_peer)

    def latest(self, volume: int, now: int) -> list[tuple[int, Grant]]:
        """Return each receiver, in ascending order, with its last grant, where that has not expired."""
        receivers = sorted(self.by_volume.get(volume, {}).items())
        return [
            (peer, grant) for peer, grants in receivers for grant in grants[-1:] if grant.expires_at > now
        ]

    def drop_expired(self, now: int) -> list[int]:
        """Forget the grants that have expired; return the times at which the others will."""
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
    """What an instance may use of its peers' even quotas: by volume and grantor, the last grant."""

    def __init__(self, by_volume: dict[int, dict[int, Grant]] | None = None) -> None:
        self.by_volume: dict[int, dict[int, Grant]] = {} if by_volume is None else by_volume

    def copy(self) -> ReceivedGrants:
        """Return an independent table of the same grants."""
        return ReceivedGrants({volume: dict(grantors) for volume, grantors in self.by_volume.items()})

    def add(self, volume: int, peer: int, grant: Grant) -> None:
        """Replace the earlier grant of the same peer."""
        self.by_volume.setdefault(volume, {})[peer] = grant

    def fractions(self, volume: int, now: int) -> dict[int, float]:
        """Return what each grantor has granted, by grantor, where it has not expired."""
        grantors = self.by_volume.get(volume, {})
        return {peer: grant.fraction for peer, grant in grantors.items() if grant.expires_at > now}

    def current(self, volume: int, now: int) -> list[tuple[int, Grant]]:
        """Return each grantor, in ascending order, with its grant, where that has not expired."""
        grantors = sorted(self.by_volume.get(volume, {}).items(), key=lambda item: item[0])
        return [(peer, grant) for peer, grant in grantors if grant.expires_at > now]

    def forget_peers(self, peers: Iterable[int]) -> None:
        """Revoke every grant of these peers."""
        departed = list(peers)
        for grantors in self.by_volume.values():
            for peer in departed:
                grantors.pop(peer, None)

    def forget_volume(self, volume: int) -> None:
        """Drop the grants of a volume that is no longer requested here."""
        self.by_volume.pop(volume, None)

    def clear(self) -> None:
        """Drop every grant."""
        self.by_volume.clear()

    def drop_expired(self, now: int) -> list[int]:
        """Forget the grants that have expired; return the times at which the others will."""
        expirations: list[int] = []
        for volume, grantors in list(self.by_volume.items()):
            for peer in [peer for peer, grant in grantors.items() if grant.expires_at <= now]:
                del grantors[peer]
            expirations += [grant.expires_at for grant in grantors.values()]
            if not grantors:
                del self.by_volume[volume]
        return expirations
