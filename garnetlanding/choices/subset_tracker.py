"""The servers to which this head keeps connections that stand idle, as the list and the fleet are now."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from garnetlanding.choices.subsets import subsets


class SubsetTracker:
    """Computed anew only when a head or a server has come or gone."""

    def __init__(self, k: int) -> None:
        self._k = k
        self._of: tuple[int, frozenset[int], dict[str, str]] | None = None
        self._kept: frozenset[str] = frozenset()
        self.changes = 0

    def update(self, me: int, heads: Collection[int], servers: Mapping[str, str]) -> frozenset[str]:
        """`servers`: the zone of each that may be sent anything. A head that is not among the heads, as one
        that has been put out, keeps nothing."""
        now = me, frozenset(heads), dict(servers)
        if now != self._of:
            self._of, self.changes = now, self.changes + 1
            self._kept = frozenset(subsets(now[1], now[2], self._k).get(me, ()))
        return self._kept
