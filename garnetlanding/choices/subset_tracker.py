"""The subset of backends to which this instance keeps idle connections open."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from garnetlanding.choices.subsets import assign_subsets


class _Inputs(NamedTuple):
    instance: int
    instances: frozenset[int]
    zones: dict[str, str]


class SubsetTracker:
    """Caches this instance's subset and recomputes it only when its inputs change."""

    def __init__(self, size: int) -> None:
        self._size = size
        self._inputs: _Inputs | None = None
        self._subset: frozenset[str] = frozenset()
        self.computations = 0

    def update(self, instance: int, instances: Collection[int], zones: Mapping[str, str]) -> frozenset[str]:
        """Return the names of the backends in the subset of this instance, whose number is `instance`.

        `zones` has the zone of each available backend. The subset is empty if `instance` is not
        among `instances`, for example after its peers have excluded it.
        """
        inputs = _Inputs(instance, frozenset(instances), dict(zones))
        if inputs != self._inputs:
            self._inputs = inputs
            self.computations += 1
            by_instance = assign_subsets(inputs.instances, inputs.zones, self._size)
            self._subset = frozenset(by_instance.get(instance, ()))
        return self._subset
