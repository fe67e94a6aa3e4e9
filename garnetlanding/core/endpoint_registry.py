"""The registry of backends: their endpoint list entries, addresses and availability."""

from __future__ import annotations

import zlib
from dataclasses import replace

from garnetlanding.core.ports import EndpointListing
from garnetlanding.decision.interface import Endpoint, EndpointState

INSTANCE_PREFIX = "head/"
"""Prefix of the number of a load balancer instance in the set of disabled names; other names are backends."""


class EndpointRegistry:
    """The endpoint list from discovery, combined with the backends that operators have disabled.

    A disabled backend that the list reports as up counts as draining until it is enabled again, and as just
    started from then on.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Endpoint] = {}  # as discovery lists them
        self._addresses: dict[str, str] = {}  # HOST:PORT, of the same backends
        self._enabled_at: dict[str, int] = {}  # of backends that had been disabled, microseconds
        self.disabled: frozenset[str] = frozenset()

    def apply(self, listing: EndpointListing) -> list[str]:
        """Apply an endpoint list or changes to it; return its anomalies as texts for the log.

        A listing with anomalies is applied all the same, because it is still the newest state that discovery
        has. The last of several entries for one backend takes effect.
        """
        anomalies = self._anomalies(listing)
        if listing.complete:
            # Backends that a complete list does not name are gone.
            self._entries.clear()
            self._addresses.clear()
        for entry in listing.entries:
            if entry.state is EndpointState.GONE:
                # Replacements have new names, so keeping entries of terminated backends would leak memory.
                self._entries.pop(entry.backend, None)
                self._addresses.pop(entry.backend, None)
            else:
                self._entries[entry.backend] = entry
                self._addresses[entry.backend] = listing.addresses[entry.backend]
        if listing.complete:
            self._enabled_at = {
                backend: at for backend, at in self._enabled_at.items() if backend in self._entries
            }
        return anomalies

    def _anomalies(self, listing: EndpointListing) -> list[str]:
        if listing.complete and not listing.entries and self._entries:
            return [f"complete list is empty, {len(self._entries)} backends were known"]
        anomalies: list[str] = []
        named: set[str] = set()
        for entry in listing.entries:
            if entry.backend in named:
                anomalies.append(f"{entry.backend} is listed twice")
            named.add(entry.backend)
            known = self._entries.get(entry.backend, entry)
            if known.cell != entry.cell and entry.state is not EndpointState.GONE:
                # A backend keeps its cell when it restarts; requests for both cells would be misrouted.
                anomalies.append(f"{entry.backend} moved from cell {known.cell} to {entry.cell}")
        return anomalies

    def effective_entry(self, entry: Endpoint) -> Endpoint:
        """Return an entry as the decision module must receive it: with the operators' changes applied."""
        if entry.backend in self.disabled and entry.state is EndpointState.UP:
            return replace(entry, state=EndpointState.DRAINING, admin_disabled=True)
        # It was probably restarted while it was disabled, and the list may report that late: let it warm up.
        enabled_at = self._enabled_at.get(entry.backend, 0)
        if enabled_at > entry.started_us:
            return replace(entry, started_us=enabled_at)
        return entry

    def set_disabled(self, disabled: frozenset[str], now: int) -> list[Endpoint]:
        """Replace the set of disabled names; return the effective entries that this changes, sorted by name.

        Backends that are enabled again warm up from `now` on (monotonic clock, microseconds).
        """
        changed = sorted(disabled ^ self.disabled)
        self._enabled_at |= {backend: now for backend in changed if backend not in disabled}
        self.disabled = disabled
        return [
            self.effective_entry(self._entries[backend]) for backend in changed if backend in self._entries
        ]

    def instance_disabled(self, number: int) -> bool:
        """Return whether operators have disabled the load balancer instance with that number."""
        return f"{INSTANCE_PREFIX}{number}" in self.disabled

    @property
    def disabled_digest(self) -> str:
        """A digest of the set of disabled names; empty if the set is."""
        if not self.disabled:
            return ""
        return f"{zlib.crc32(' '.join(sorted(self.disabled)).encode()):08x}"

    def is_known(self, backend: str) -> bool:
        """Return whether a backend of that name is listed or disabled."""
        return backend in self._entries or backend in self.disabled

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def unavailable(self) -> int:
        """The number of listed backends that receive no requests."""
        return sum(self.address_of(backend) is None for backend in self._entries)

    def zones(self) -> dict[str, str]:
        """Return the zone of each available backend, by its name."""
        return {backend: entry.zone for backend, entry in self._entries.items() if self.address_of(backend)}

    def address_of(self, backend: str) -> str | None:
        """Return the HOST:PORT of a backend, or None if it is not available.

        A backend is available if it is listed, is up and is not disabled.
        """
        entry = self._entries.get(backend)
        if entry is None or entry.state is not EndpointState.UP or backend in self.disabled:
            return None
        return self._addresses[backend]
