"""The limits on open connections, which clients and backends share because descriptors are scarce."""

from __future__ import annotations

from typing import Protocol


class CapacityOwner(Protocol):
    """The clients' side, which grants capacity that it does not need to connections to backends."""

    def reserve(self) -> bool:
        """Make room for one more connection, evicting an idle client if needed; return whether there is."""


class CapacityUser(Protocol):
    """The backends' side, which uses capacity of the clients' side."""

    @property
    def granted(self) -> int:
        """Number of connections to backends that are open beyond the reserved ones."""


class ConnectionQuota(Protocol):
    """The instance's quota of the connections that all instances together may have open at a backend."""

    def max_connections(self, backend: str) -> int:
        """Return how many connections to the backend this instance may have open now."""

    def set_open(self, backend: str, count: int, *, lacking: bool = False) -> None:
        """Report how many connections are open; `lacking` if one more was needed than the quota allows."""


class UpstreamCapacity:
    """The limit on the number of connections to all backends together.

    At most `max_connections` may be open. `reserved` of them are always available, more only with the consent
    of `owner`, where one is set. During an upgrade this process keeps to the fraction `quota` of both
    numbers, and the other process of the instance has the rest. The pool keeps `open_count`.
    """

    def __init__(self, max_connections: int, reserved: int) -> None:
        self._max_connections = max_connections
        self._reserved = reserved
        self.quota = 1.0
        self.owner: CapacityOwner | None = None
        self.open_count = 0

    @property
    def reserved(self) -> int:
        """Number of connections that are available whatever clients need."""
        return int(self._reserved * self.quota)

    @property
    def granted(self) -> int:
        """Number of connections that are open beyond the reserved ones."""
        return max(0, self.open_count - self.reserved)

    @property
    def utilization(self) -> float:
        """Fraction of the connections that is open, from 0 to 1."""
        return self.open_count / self._max_connections

    def reserve(self) -> bool:
        """Return whether one more connection may be opened, evicting an idle client if necessary."""
        if self.open_count >= int(self._max_connections * self.quota):
            return False
        return self.open_count < self.reserved or self.owner is None or self.owner.reserve()
