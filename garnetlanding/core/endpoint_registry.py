"""The servers as this head last heard of them: who may be sent something, and where it listens."""

from __future__ import annotations

import zlib
from dataclasses import replace

from garnetlanding.core.ports import EndpointListing
from garnetlanding.decision.interface import Endpoint, EndpointState


class EndpointRegistry:
    """The list as told, and above it the servers that an operator has taken out: these count as draining
    until put back, whatever lists say of them meanwhile, and as just started from then on."""

    def __init__(self) -> None:
        self._entries: dict[str, Endpoint] = {}  # as listed
        self._addresses: dict[str, str] = {}
        self.disabled: frozenset[str] = frozenset()
        self._back_us: dict[str, int] = {}  # when those once taken out were put back

    def apply(self, listing: EndpointListing) -> list[str]:
        """Takes a listing up. What is odd in it, entry by entry, is returned for the log: it can be read, and
        what a list says of a server counts as told, so it holds all the same, the last word on each server
        above the ones before it."""
        odd = self._odd(listing)
        if listing.complete:
            # What a whole list leaves out is gone; its endpoint is forgotten with it.
            self._entries.clear()
            self._addresses.clear()
        for entry in listing.entries:
            if entry.state is EndpointState.GONE:
                # Replaced servers come back under other names: kept, these would grow without end.
                self._entries.pop(entry.node, None)
                self._addresses.pop(entry.node, None)
            else:
                self._entries[entry.node] = entry
                self._addresses[entry.node] = listing.addresses[entry.node]
        if listing.complete:
            self._back_us = {node: at for node, at in self._back_us.items() if node in self._entries}
        return odd

    def _odd(self, listing: EndpointListing) -> list[str]:
        if listing.complete and not listing.entries and self._entries:
            return [f"whole list is empty, {len(self._entries)} servers were known"]
        odd: list[str] = []
        named: set[str] = set()
        for entry in listing.entries:
            if entry.node in named:
                odd.append(f"{entry.node} is named twice")
            named.add(entry.node)
            known = self._entries.get(entry.node, entry)
            if known.cell != entry.cell and entry.state is not EndpointState.GONE:
                # A server that restarts or is replaced keeps its cell: what is held for either goes astray.
                odd.append(f"{entry.node} moved from cell {known.cell} to {entry.cell}")
        return odd

    def effective_entry(self, entry: Endpoint) -> Endpoint:
        """The entry with what an operator has said of that server above what the list says."""
        if entry.node in self.disabled and entry.state is EndpointState.UP:
            return replace(entry, state=EndpointState.DRAINING, admin_disabled=True)
        # While it was out it was restarted, which the list may tell late: it comes back cold.
        back = self._back_us.get(entry.node, 0)
        return replace(entry, started_us=back) if back > entry.started_us else entry

    def set_disabled(self, disabled: frozenset[str], now: int) -> list[Endpoint]:
        """Takes up who is out from now on; gives back the listed entries that this changes."""
        changed = sorted(disabled ^ self.disabled)
        self._back_us |= {node: now for node in changed if node not in disabled}
        self.disabled = disabled
        return [self.effective_entry(self._entries[node]) for node in changed if node in self._entries]

    def instance_disabled(self, head: int) -> bool:
        """Whether operators have taken this head itself out."""
        return f"head/{head}" in self.disabled

    @property
    def disabled_digest(self) -> str:
        """The same for the same servers taken out; empty where none is."""
        return f"{zlib.crc32(' '.join(sorted(self.disabled)).encode()):08x}" if self.disabled else ""

    def is_known(self, node: str) -> bool:
        return node in self._entries or node in self.disabled

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def unavailable(self) -> int:
        """Listed servers that are sent nothing."""
        return sum(self.address_of(node) is None for node in self._entries)

    def zones(self) -> dict[str, str]:
        """The zone of each server that may be sent something."""
        return {node: entry.zone for node, entry in self._entries.items() if self.address_of(node)}

    def address_of(self, node: str) -> str | None:
        """None for a server that drains, is gone or was never named: it may not be sent anything."""
        entry = self._entries.get(node)
        up = entry and entry.state is EndpointState.UP and node not in self.disabled
        return self._addresses[node] if up else None
