"""The backends to which this instance keeps idle connections, as the list and the fleet are now."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from garnetlanding.choices.subsets import subsets


class _Inputs(NamedTuple):
    instance: int
    instances: frozenset[int]
    zones: dict[str, str]


class SubsetTracker:
    """Caches this instance's subset; computes it only when an instance or a backend has come or gone."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._inputs: _Inputs | None = None
        self._subset: frozenset[str] = frozenset()
        self.changes = 0  # how often it was computed

    def update(self, instance: int, instances: Collection[int], zones: Mapping[str, str]) -> frozenset[str]:
        """Return the names of the backends of `instance`, the number of this one.

        `zones`: the zone of each backend that may be sent anything. An instance that is not among
        `instances`, such as one that the fleet has excluded, has no subset.
        """
        inputs = _Inputs(instance, frozenset(instances), dict(zones))
        if inputs != self._inputs:
            self._inputs = inputs
            self.changes += 1
            by_instance = subsets(inputs.instances, inputs.zones, self._size)
            self._subset = frozenset(by_instance.get(instance, ()))
        return self._subset
