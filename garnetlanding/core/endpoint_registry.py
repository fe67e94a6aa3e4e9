"""The backends as this instance last learnt of them: which may be sent something, and where they listen."""

from __future__ import annotations

import zlib
from dataclasses import replace

from garnetlanding.core.ports import EndpointListing
from garnetlanding.decision.interface import Endpoint, EndpointState

INSTANCE_PREFIX = "head/"  # before an instance's number, where instances are disabled among backends


class EndpointRegistry:
    """The endpoint list as discovery gave it, overlaid with what operators have administratively disabled.

    A disabled backend counts as draining until it is enabled again, whatever lists say of it meanwhile, and
    as just started from then on.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Endpoint] = {}  # as listed
        self._addresses: dict[str, str] = {}  # of the same backends
        self._enabled_at: dict[str, int] = {}  # when those once disabled were enabled again, microseconds
        self.disabled: frozenset[str] = frozenset()

    def apply(self, listing: EndpointListing) -> list[str]:
        """Take up a listing and return its anomalies, described for the log.

        A listing with anomalies can be read, and what it says counts as notified, so it holds all the same;
        of several entries for one backend the last one does.
        """
        anomalies = self._anomalies(listing)
        if listing.complete:
            # What a complete list leaves out is gone; its address is forgotten with it.
            self._entries.clear()
            self._addresses.clear()
        for entry in listing.entries:
            if entry.state is EndpointState.GONE:
                # Replaced backends come back under other names: the entries of old ones would grow without
                # end.
                self._entries.pop(entry.node, None)
                self._addresses.pop(entry.node, None)
            else:
                self._entries[entry.node] = entry
                self._addresses[entry.node] = listing.addresses[entry.node]
        if listing.complete:
            self._enabled_at = {node: at for node, at in self._enabled_at.items() if node in self._entries}
        return anomalies

    def _anomalies(self, listing: EndpointListing) -> list[str]:
        if listing.complete and not listing.entries and self._entries:
            return [f"whole list is empty, {len(self._entries)} servers were known"]
        anomalies: list[str] = []
        named: set[str] = set()
        for entry in listing.entries:
            if entry.node in named:
                anomalies.append(f"{entry.node} is named twice")
            named.add(entry.node)
            known = self._entries.get(entry.node, entry)
            if known.cell != entry.cell and entry.state is not EndpointState.GONE:
                # A backend that restarts or is replaced keeps its cell: requests for either cell would go
                # astray.
                anomalies.append(f"{entry.node} moved from cell {known.cell} to {entry.cell}")
        return anomalies

    def effective_entry(self, entry: Endpoint) -> Endpoint:
        """Return a listed entry as the decision module is to see it, with the operators' overlay."""
        if entry.node in self.disabled and entry.state is EndpointState.UP:
            return replace(entry, state=EndpointState.DRAINING, admin_disabled=True)
        # While it was disabled it was restarted, which the list may show late: it comes back warming up.
        enabled_at = self._enabled_at.get(entry.node, 0)
        if enabled_at > entry.started_us:
            return replace(entry, started_us=enabled_at)
        return entry

    def set_disabled(self, disabled: frozenset[str], now: int) -> list[Endpoint]:
        """Replace the set of disabled backends; return the effective entries that this changes, by name.

        `now`: the monotonic clock in microseconds, from which those enabled again warm up.
        """
        changed = sorted(disabled ^ self.disabled)
        self._enabled_at |= {node: now for node in changed if node not in disabled}
        self.disabled = disabled
        return [self.effective_entry(self._entries[node]) for node in changed if node in self._entries]

    def instance_disabled(self, number: int) -> bool:
        """Whether operators have disabled the load balancer's instance of that number."""
        return f"{INSTANCE_PREFIX}{number}" in self.disabled

    @property
    def disabled_digest(self) -> str:
        """A digest that is the same for the same set of disabled names; empty where none is."""
        if not self.disabled:
            return ""
        return f"{zlib.crc32(' '.join(sorted(self.disabled)).encode()):08x}"

    def is_known(self, node: str) -> bool:
        """Whether a backend of that name is listed or disabled."""
        return node in self._entries or node in self.disabled

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def unavailable(self) -> int:
        """How many listed backends are sent nothing."""
        return sum(self.address_of(node) is None for node in self._entries)

    def zones(self) -> dict[str, str]:
        """Return the zone of each backend that may be sent something, by its name."""
        return {node: entry.zone for node, entry in self._entries.items() if self.address_of(node)}

    def address_of(self, node: str) -> str | None:
        """Return where a backend listens, or None where it may not be sent anything.

        That is one which drains, is gone, is disabled or was never listed.
        """
        entry = self._entries.get(node)
        if entry is None or entry.state is not EndpointState.UP or node in self.disabled:
            return None
        return self._addresses[node]
