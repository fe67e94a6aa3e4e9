"""Subsets of backends: evenly loaded, stable and spread over zones."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from garnetlanding.choices import subsets as module
from garnetlanding.choices.subsets import assign_subsets

FLEETS = st.sets(st.integers(0, 60), min_size=1, max_size=24)
ZONES = st.dictionaries(st.integers(0, 60).map("s{}".format), st.sampled_from("abc"), min_size=1, max_size=24)


def violated_invariant(instances: set[int], backends: dict[str, str], k: int) -> str:
    """Return the first invariant that is violated; empty if all hold."""
    found = assign_subsets(instances, backends, k)
    if any(len(subset) != min(k, len(backends)) or not subset <= set(backends) for subset in found.values()):
        return "k backends each"
    loads = Counter(backend for subset in found.values() for backend in subset)
    for zone in set(backends.values()):
        counts = [loads[backend] for backend, where in backends.items() if where == zone]
        if max(counts) - min(counts) > 1:
            return "even within a zone"
    other = assign_subsets(sorted(instances, reverse=True), dict(reversed(backends.items())), k)
    return "" if found == other else "order"


@settings(max_examples=300)
@given(FLEETS, ZONES, st.integers(1, 12))
def test_every_instance_has_its_size_of_subset_and_backends_are_evenly_loaded(
    instances: set[int], backends: dict[str, str], k: int
) -> None:
    assert violated_invariant(instances, backends, k) == ""


def test_the_invariants_hold_for_every_small_fleet() -> None:
    """Up to 5 instances by 5 backends, in one zone and in two."""
    seen = 0
    for instances in range(1, 6):
        for backends in range(1, 6):
            for k in range(1, backends + 1):
                for zones in (1, 2):
                    names = {f"s{i}": "ab"[i % zones] for i in range(backends)}
                    assert violated_invariant(set(range(instances)), names, k) == "", (
                        instances,
                        backends,
                        k,
                        zones,
                    )
                    seen += 1
    assert seen == 150


@given(st.integers(4, 200), st.integers(10, 80), st.integers(2, 10))
@settings(max_examples=40)
def test_one_instance_or_backend_more_moves_few_pairs(instances: int, count: int, k: int) -> None:
    backends = {f"s{i}": "" for i in range(count)}
    before = assign_subsets(range(instances), backends, k)

    def moved(after: dict[int, set[str]]) -> int:
        return sum(len(subset - before.get(instance, set())) for instance, subset in after.items())

    assert moved(assign_subsets(range(instances + 1), backends, k)) <= 6 * k + 6
    assert (
        moved(assign_subsets(range(instances), backends | {"new": ""}, k))
        <= 6 * (instances * k // (count + 1) + 1) + 6
    )
    assert assign_subsets(range(instances), backends, k) == before


def test_a_subset_is_spread_over_zones() -> None:
    backends = {f"s{i}": "abc"[i % 3] for i in range(30)}
    for subset in assign_subsets(range(20), backends, 7).values():
        counts = Counter(backends[backend] for backend in subset)
        assert set(counts.values()) <= {2, 3}


@given(FLEETS, ZONES, st.sets(st.integers(0, 60), max_size=2))
@settings(max_examples=60)
def test_instances_with_different_lists_keep_each_backends_load_bounded(
    instances: set[int], backends: dict[str, str], terminated: set[int]
) -> None:
    """Half of the instances know fewer backends: each half loads a backend up to its own quota."""
    k, fewer = 3, {s: z for s, z in backends.items() if int(s[1:]) not in terminated}
    old, new = assign_subsets(instances, backends, k), assign_subsets(instances, fewer, k)
    mixed = {instance: (old if instance % 2 else new)[instance] for instance in instances}
    loads = Counter(backend for subset in mixed.values() for backend in subset)
    for backend in backends:
        old_load = sum(backend in subset for subset in old.values())
        new_load = sum(backend in subset for subset in new.values())
        assert loads[backend] <= old_load + new_load


def seeded_fault(name: str) -> Any:  # noqa: C901 - one case for each seeded fault, and no other branch
    """Return the name of a function and a faulty replacement."""
    real_weight, real_match, real_counts = (
        module.weight.__wrapped__,
        module.match_within_quotas,
        module.zone_counts,
    )
    match name:
        case "the first backend is left out":
            return "match_within_quotas", lambda wanted, quotas: real_match(
                wanted, {s: q for s, q in quotas.items() if s != min(quotas) or len(quotas) == 1}
            )
        case "weights differ by process":
            salt = iter(range(10**9))
            return "weight", lambda instance, backend: real_weight(instance, backend) * (
                2 * next(salt) + 1
            ) % (1 << 64)
        case "no quota":
            return "match_within_quotas", lambda wanted, quotas: real_match(
                wanted, dict.fromkeys(quotas, 10**6)
            )
        case "quotas one too large":
            return "match_within_quotas", lambda wanted, quotas: real_match(
                wanted, {s: q + 1 for s, q in quotas.items()}
            )
        case "one backend too few":
            return "match_within_quotas", lambda wanted, quotas: real_match(
                {h: max(0, n - 1) for h, n in wanted.items()}, quotas
            )
        case "all in one zone":
            return "zone_counts", lambda _instance, zones, k: {
                z: min(k, len(m)) if z == min(zones) else 0 for z, m in zones.items()
            }
        case "the remainder is not distributed":
            return "zone_counts", lambda instance, zones, k: {
                z: n - (n > 0 and z == max(zones)) for z, n in real_counts(instance, zones, k).items()
            }
        case "an instance that all backends rejected exceeds a quota":
            return "_assign_unmatched", lambda instance, ranked, assigned, _free_slots: assigned[
                instance
            ].add(next(backend for backend in ranked if backend not in assigned[instance]))
        case "an instance that all backends rejected is not placed":
            return "_assign_unmatched", lambda _instance, _ranked, _assigned, _free_slots: None
        case "first come, first served":

            def first_come(wanted: dict[int, int], quotas: dict[str, int]) -> dict[int, set[str]]:
                left, found = dict(quotas), {}
                for instance, count in wanted.items():
                    found[instance] = {s for s in sorted(left, key=lambda s: -left[s])[:count]}
                    for backend in found[instance]:
                        left[backend] -= 1
                return found

            return "match_within_quotas", first_come
    raise AssertionError(name)


@pytest.mark.parametrize(
    "fault",
    [
        "the first backend is left out",
        "weights differ by process",
        "no quota",
        "quotas one too large",
        "one backend too few",
        "all in one zone",
        "the remainder is not distributed",
        "an instance that all backends rejected exceeds a quota",
        "an instance that all backends rejected is not placed",
        "first come, first served",
    ],
)
def test_a_seeded_fault_violates_an_invariant(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, instead = seeded_fault(fault)
    monkeypatch.setattr(module, name, instead)
    fleets = [
        (set(range(h)), {f"s{i}": "abc"[i % z] for i in range(n)}, k)
        for h in (3, 7, 16)
        for n in (4, 9, 20)
        for z in (1, 3)
        for k in (2, 3, 5, 7)
    ]
    assert any(violated_invariant(*fleet) for fleet in fleets)
