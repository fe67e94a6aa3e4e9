"""Assign a subset of backends to each instance; every instance computes the same result.

The result depends only on the sets of instances and backends. The algorithm is rendezvous hashing with quotas
(docs/design/adding-up.md), as deferred acceptance (Gale and Shapley): each instance proposes to the backends
with the highest weights, a backend accepts the proposals with the highest weights up to its quota, and a
rejected instance proposes to its next backend. Both sides rank a pair by the same weight, so that a change of
the sets changes few pairs.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Collection, Mapping
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

Subsets = dict[int, set[str]]
"""The names of the backends in each instance's subset, by the instance's number."""

NO_INSTANCE = -1
"""Stands for no instance, in the weight by which backends alone are ranked."""

WEIGHT_RANGE = 1 << 64
"""Weights are below this."""


@lru_cache(maxsize=1 << 17)
def weight(instance: int, backend: str) -> int:
    """Return the rendezvous weight of a pair, in [0, WEIGHT_RANGE): a hash that both sides rank it by."""
    return int.from_bytes(blake2b(f"{instance} {backend}".encode(), digest_size=8).digest(), "big")


def zone_counts(instance: int, zones: Mapping[str, Collection[str]], size: int) -> dict[str, int]:
    """Return how many of an instance's `size` backends are in each zone, in proportion to the zones' sizes.

    The remainder is distributed pseudo-randomly by instance, so that many instances together have backends in
    proportion.
    """
    total = sum(map(len, zones.values()))
    size = min(size, total)
    counts = {zone: size * len(backends) // total for zone, backends in zones.items()}

    def sampling_key(zone: str) -> float:
        """Return the key of weighted random sampling (Efraimidis and Spirakis): the highest are drawn."""
        fraction = size * len(zones[zone]) / total - counts[zone]
        if not fraction:
            return -1.0
        uniform = (weight(instance, f"zone {zone}") + 1) / WEIGHT_RANGE
        return float(uniform ** (1 / fraction))

    remainder = size - sum(counts.values())
    for zone in sorted(zones, key=lambda zone: (-sampling_key(zone), zone))[:remainder]:
        counts[zone] += 1
    return counts


def match_within_quotas(wanted: Mapping[int, int], quotas: Mapping[str, int]) -> Subsets:
    """Assign the wanted number of backends to each instance, and to each backend at most its quota.

    If all backends have rejected an instance, another instance is reassigned to free a slot for it.
    """
    backends = list(quotas)
    ranked = {
        instance: sorted(backends, key=lambda backend: weight(instance, backend), reverse=True)
        for instance in wanted
    }
    accepted, unmatched = _deferred_acceptance(wanted, quotas, ranked)
    assigned: Subsets = {instance: set() for instance in wanted}
    for backend, instances in accepted.items():
        for instance in instances:
            assigned[instance].add(backend)
    free_slots = {backend: quotas[backend] - len(accepted[backend]) for backend in backends}
    for instance in sorted(unmatched):
        _assign_unmatched(instance, ranked[instance], assigned, free_slots)
    return assigned


class _Matching(NamedTuple):
    accepted: dict[str, list[int]]  # the instances that each backend has accepted
    # Instances that all backends have rejected. An instance is listed once per backend it still lacks.
    unmatched: list[int]


def _deferred_acceptance(
    wanted: Mapping[int, int], quotas: Mapping[str, int], ranked: Mapping[int, list[str]]
) -> _Matching:
    """Let instances propose to backends in order of weight until each is accepted or rejected by all."""
    next_choice = dict.fromkeys(wanted, 0)  # by instance, an index into its list in `ranked`
    accepted: dict[str, list[tuple[int, int]]] = {backend: [] for backend in quotas}  # heaps by weight
    proposing = [instance for instance, count in sorted(wanted.items()) for _ in range(count)]
    unmatched: list[int] = []
    while proposing:
        instance = proposing.pop()
        if next_choice[instance] == len(ranked[instance]):
            unmatched.append(instance)
            continue
        backend = ranked[instance][next_choice[instance]]
        next_choice[instance] += 1
        heapq.heappush(accepted[backend], (weight(instance, backend), instance))
        if len(accepted[backend]) > quotas[backend]:
            _, rejected = heapq.heappop(accepted[backend])
            proposing.append(rejected)
    by_backend = {backend: [instance for _, instance in heap] for backend, heap in accepted.items()}
    return _Matching(by_backend, unmatched)


def _assign_unmatched(
    instance: int, ranked: list[str], assigned: Subsets, free_slots: dict[str, int]
) -> None:
    """Assign one more backend to an instance that all of its unassigned backends have rejected as full.

    Another instance is reassigned from one of these to a backend with a free slot, to which `instance` is
    already assigned, and `instance` gets the slot that this frees. If no instance can be reassigned, it is
    assigned the one of them with the highest weight, beyond the quota.
    """
    unassigned = [backend for backend in ranked if backend not in assigned[instance]]
    for free in sorted(backend for backend, slots in free_slots.items() if slots > 0):
        for backend in unassigned:
            candidates = [
                other for other, subset in assigned.items() if backend in subset and free not in subset
            ]
            if candidates:
                moved = min(candidates, key=lambda other: (weight(other, backend), other))
                assigned[moved] = assigned[moved] - {backend} | {free}
                assigned[instance].add(backend)
                free_slots[free] -= 1
                return
    assigned[instance].add(unassigned[0])


def assign_subsets(
    instances: Collection[int], zones: Mapping[str, str], size: int, slack: int = 0
) -> Subsets:
    """Return the subset of backends of each instance.

    `zones` has the zone of each backend, `size` is the size of each subset. `slack` is the number of
    instances that a backend accepts beyond its even quota: with more slack a change of the sets changes fewer
    pairs, but instances are distributed less evenly.
    """
    members: dict[str, list[str]] = defaultdict(list)  # the backends of each zone
    for backend, zone in sorted(zones.items()):
        members[zone].append(backend)
    assigned: Subsets = {instance: set() for instance in instances}
    if not zones:
        return assigned
    counts = {instance: zone_counts(instance, members, size) for instance in instances}
    for zone, backends in members.items():
        wanted = {instance: counts[instance][zone] for instance in instances}
        quotas = _even_quotas(backends, sum(wanted.values()), slack)
        for instance, subset in match_within_quotas(wanted, quotas).items():
            assigned[instance] |= subset
    return assigned


def _even_quotas(backends: list[str], slots: int, slack: int) -> dict[str, int]:
    """Divide the slots evenly among the backends; those with the highest weights get the remainder."""
    even, remainder = divmod(slots, len(backends))
    ranked = sorted(backends, key=lambda backend: weight(NO_INSTANCE, backend), reverse=True)
    with_one_more = set(ranked[:remainder])
    return {backend: even + (backend in with_one_more) + slack for backend in backends}
