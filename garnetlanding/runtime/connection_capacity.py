"""Limits on open connections; client and backend connections share the available descriptors."""

from __future__ import annotations

from typing import Protocol


class CapacityOwner(Protocol):
    """The client side, which lends capacity that it does not need to backend connections."""

    @property
    def has_free_capacity(self) -> bool:
        """Whether there is room for one connection without evicting a client."""

    def reserve(self) -> bool:
        """Make room for one connection, evicting an idle client if needed; return whether there is room."""


class CapacityUser(Protocol):
    """The backend side, which borrows capacity from the client side."""

    @property
    def granted(self) -> int:
        """Number of open backend connections beyond the reserved ones."""


class ConnectionQuota(Protocol):
    """The instance's share of the connections that all instances together may open to a backend."""

    def max_connections(self, backend: str) -> int:
        """Return how many connections to the backend this instance may have open at present."""

    def set_open(self, backend: str, count: int, *, denied_by_quota: bool = False) -> None:
        """Report the number of open connections, and whether the quota denied one more that was needed."""


class UpstreamCapacity:
    """The limit on the number of connections to all backends together.

    At most `max_connections` may be open. `reserved` of them are always available; the others need the
    consent of `owner` if one is set. During an upgrade this process may use the fraction `quota` of both
    numbers, and the other process of the instance has the rest. The connection pool maintains `open_count`.
    """

    def __init__(self, max_connections: int, reserved: int) -> None:
        self._max_connections = max_connections
        self._reserved = reserved
        self.quota = 1.0
        self.owner: CapacityOwner | None = None
        self.open_count = 0

    @property
    def reserved(self) -> int:
        """Number of connections that are available regardless of the clients' needs."""
        return int(self._reserved * self.quota)

    @property
    def granted(self) -> int:
        """Number of open connections beyond the reserved ones."""
        return max(0, self.open_count - self.reserved)

    @property
    def utilization(self) -> float:
        """Fraction of the connections that are open, from 0 to 1."""
        return self.open_count / self._max_connections

    @property
    def has_free_capacity(self) -> bool:
        """Whether one more connection may be opened without evicting a client."""
        if self.open_count >= int(self._max_connections * self.quota):
            return False
        return self.open_count < self.reserved or self.owner is None or self.owner.has_free_capacity

    def reserve(self) -> bool:
        """Return whether one more connection may be opened, evicting an idle client if necessary."""
        if self.open_count >= int(self._max_connections * self.quota):
            return False
        return self.open_count < self.reserved or self.owner is None or self.owner.reserve()
