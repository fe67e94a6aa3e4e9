"""The servers as this head last heard of them: who may be sent something, and where it listens."""

from __future__ import annotations

from garnetlanding.core.ports import Listing
from garnetlanding.decision.interface import NodeState


class Directory:
    def __init__(self) -> None:
        self._state: dict[str, NodeState] = {}
        self._endpoint: dict[str, str] = {}

    def apply(self, listing: Listing) -> None:
        if listing.whole:
            # What a whole list leaves out is gone; its endpoint is forgotten with it.
            self._state.clear()
            self._endpoint.clear()
        for entry in listing.entries:
            if entry.state is NodeState.GONE:
                # Replaced servers come back under other names: kept, these would grow without end.
                self._state.pop(entry.node, None)
                self._endpoint.pop(entry.node, None)
            else:
                self._state[entry.node] = entry.state
                self._endpoint[entry.node] = listing.endpoints[entry.node]

    def endpoint(self, node: str) -> str | None:
        """None for a server that drains, is gone or was never named: it may not be sent anything."""
        return self._endpoint[node] if self._state.get(node) is NodeState.UP else None
