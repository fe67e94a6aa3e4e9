"""Which backends each instance keeps connections to: the same at every instance that has the same two sets.

Highest random weights with quotas (docs/design/adding-up.md): every instance wants the backends with its
highest weights, a backend accepts the instances with the highest weights up to its quota, and who is rejected
proposes to its next best. That is deferred acceptance (Gale and Shapley), whose outcome depends on nothing
but the sets; here both sides rank a pair by one number, so that a change of the sets moves few pairs.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Collection, Mapping
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

Subsets = dict[int, set[str]]
"""The names of each instance's backends, by the instance's number."""

NOBODY = -1  # in place of an instance, for weights that a backend has of its own
WEIGHT_RANGE = 1 << 64


@lru_cache(maxsize=1 << 17)
def weight(instance: int, backend: str) -> int:
    """Return the rank, in [0, WEIGHT_RANGE), that an instance and a backend give each other."""
    return int.from_bytes(blake2b(f"{instance} {backend}".encode(), digest_size=8).digest(), "big")


def zone_counts(instance: int, zones: Mapping[str, Collection[str]], size: int) -> dict[str, int]:
    """Return how many of an instance's `size` backends lie in each zone: in proportion to its backends.

    What does not divide goes to zones by lots of the instance's own, so that it does over many instances.
    """
    total = sum(map(len, zones.values()))
    size = min(size, total)
    counts = {zone: size * len(backends) // total for zone, backends in zones.items()}

    def lot(zone: str) -> float:
        remainder = size * len(zones[zone]) / total - counts[zone]
        if not remainder:
            return -1.0
        draw = (weight(instance, f"zone {zone}") + 1) / WEIGHT_RANGE
        return float(draw ** (1 / remainder))

    undivided = size - sum(counts.values())
    for zone in sorted(zones, key=lambda zone: (-lot(zone), zone))[:undivided]:
        counts[zone] += 1
    return counts


def match(wanted: Mapping[int, int], quotas: Mapping[str, int]) -> Subsets:
    """Give each instance its best backends, as many as wanted, and no backend more instances than its quota.

    For an instance that all backends have rejected another one moves.
    """
    backends = list(quotas)
    ranked = {
        instance: sorted(backends, key=lambda backend: weight(instance, backend), reverse=True)
        for instance in wanted
    }
    accepted, short = _deferred_acceptance(wanted, quotas, ranked)
    found: Subsets = {instance: set() for instance in wanted}
    for backend, instances in accepted.items():
        for instance in instances:
            found[instance].add(backend)
    free_places = {backend: quotas[backend] - len(accepted[backend]) for backend in backends}
    for instance in sorted(short):
        _place(instance, ranked[instance], found, free_places)
    return found


class _Acceptance(NamedTuple):
    accepted: dict[str, list[int]]  # the instances that each backend accepts
    short: list[int]  # an instance as often as places are left to it that every backend has rejected


def _deferred_acceptance(
    wanted: Mapping[int, int], quotas: Mapping[str, int], ranked: Mapping[int, list[str]]
) -> _Acceptance:
    """Let instances propose, backend by backend in their own order, until all are accepted or rejected."""
    next_choice = dict.fromkeys(wanted, 0)  # index into `ranked`
    accepted: dict[str, list[tuple[int, int]]] = {backend: [] for backend in quotas}  # heaps by weight
    proposing = [instance for instance, count in sorted(wanted.items()) for _ in range(count)]
    short: list[int] = []
    while proposing:
        instance = proposing.pop()
        if next_choice[instance] == len(ranked[instance]):
            short.append(instance)
            continue
        backend = ranked[instance][next_choice[instance]]
        next_choice[instance] += 1
        heapq.heappush(accepted[backend], (weight(instance, backend), instance))
        if len(accepted[backend]) > quotas[backend]:
            _, rejected = heapq.heappop(accepted[backend])
            proposing.append(rejected)
    by_backend = {backend: [instance for _, instance in heap] for backend, heap in accepted.items()}
    return _Acceptance(by_backend, short)


def _place(instance: int, ranked: list[str], found: Subsets, free_places: dict[str, int]) -> None:
    """Find a place for an instance that every backend which it lacks has rejected, being full.

    Some other instance moves from one of those to a backend with a free place, which the instance itself has
    already, and it takes that one's place. Where none can move, it takes its best backend, over the quota.
    """
    lacking = [backend for backend in ranked if backend not in found[instance]]
    for free in sorted(backend for backend, places in free_places.items() if places > 0):
        for backend in lacking:
            movers = [other for other, some in found.items() if backend in some and free not in some]
            if movers:
                mover = min(movers, key=lambda other: (weight(other, backend), other))
                found[mover] = found[mover] - {backend} | {free}
                found[instance].add(backend)
                free_places[free] -= 1
                return
    found[instance].add(lacking[0])


def subsets(instances: Collection[int], zones: Mapping[str, str], size: int, slack: int = 0) -> Subsets:
    """Return the backends of each instance.

    `zones`: the zone of each backend. `size`: how many backends each instance is to have. `slack`: how many
    instances a backend accepts beyond its even quota: fewer pairs move at a change, and instances are spread
    less evenly.
    """
    members: dict[str, list[str]] = defaultdict(list)  # the backends of each zone
    for backend, zone in sorted(zones.items()):
        members[zone].append(backend)
    found: Subsets = {instance: set() for instance in instances}
    if not zones:
        return found
    counts = {instance: zone_counts(instance, members, size) for instance in instances}
    for zone, backends in members.items():
        wanted = {instance: counts[instance][zone] for instance in instances}
        quotas = _even_quotas(backends, sum(wanted.values()), slack)
        for instance, some in match(wanted, quotas).items():
            found[instance] |= some
    return found


def _even_quotas(backends: list[str], places: int, slack: int) -> dict[str, int]:
    """Spread so many places over backends; what does not divide goes to those of the highest own weights."""
    even, undivided = divmod(places, len(backends))
    ranked = sorted(backends, key=lambda backend: weight(NOBODY, backend), reverse=True)
    first = set(ranked[:undivided])
    return {backend: even + (backend in first) + slack for backend in backends}
