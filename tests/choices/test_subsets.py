"""Subsets of backends: even, stable and spread over zones."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from garnetlanding.choices import subsets as module
from garnetlanding.choices.subsets import subsets

FLEETS = st.sets(st.integers(0, 60), min_size=1, max_size=24)
SERVERS = st.dictionaries(
    st.integers(0, 60).map("s{}".format), st.sampled_from("abc"), min_size=1, max_size=24
)


def laws(heads: set[int], servers: dict[str, str], k: int) -> str:
    """The first law that does not hold; empty: all do."""
    found = subsets(heads, servers, k)
    if any(len(some) != min(k, len(servers)) or not some <= set(servers) for some in found.values()):
        return "k servers each"
    loads = Counter(server for some in found.values() for server in some)
    for zone in set(servers.values()):
        per = [loads[server] for server, where in servers.items() if where == zone]
        if max(per) - min(per) > 1:
            return "even within a zone"
    other = subsets(sorted(heads, reverse=True), dict(reversed(servers.items())), k)
    return "" if found == other else "order"


@settings(max_examples=300)
@given(FLEETS, SERVERS, st.integers(1, 12))
def test_every_head_has_its_servers_and_every_server_its_part_of_the_heads(
    heads: set[int], servers: dict[str, str], k: int
) -> None:
    assert laws(heads, servers, k) == ""


def test_the_laws_hold_for_every_small_fleet() -> None:
    """Up to 5 heads by 5 servers, in one zone and in two."""
    seen = 0
    for heads in range(1, 6):
        for servers in range(1, 6):
            for k in range(1, servers + 1):
                for zones in (1, 2):
                    names = {f"s{i}": "ab"[i % zones] for i in range(servers)}
                    assert laws(set(range(heads)), names, k) == "", (heads, servers, k, zones)
                    seen += 1
    assert seen == 150


@given(st.integers(4, 200), st.integers(10, 80), st.integers(2, 10))
@settings(max_examples=40)
def test_a_head_or_a_server_more_moves_few_pairs(heads: int, count: int, k: int) -> None:
    servers = {f"s{i}": "" for i in range(count)}
    before = subsets(range(heads), servers, k)

    def moved(after: dict[int, set[str]]) -> int:
        return sum(len(some - before.get(head, set())) for head, some in after.items())

    assert moved(subsets(range(heads + 1), servers, k)) <= 6 * k + 6
    assert moved(subsets(range(heads), servers | {"new": ""}, k)) <= 6 * (heads * k // (count + 1) + 1) + 6
    assert subsets(range(heads), servers, k) == before


def test_zones_are_spread() -> None:
    servers = {f"s{i}": "abc"[i % 3] for i in range(30)}
    for some in subsets(range(20), servers, 7).values():
        per = Counter(servers[server] for server in some)
        assert set(per.values()) <= {2, 3}


@given(FLEETS, SERVERS, st.sets(st.integers(0, 60), max_size=2))
@settings(max_examples=60)
def test_heads_with_different_lists_stay_near(
    heads: set[int], servers: dict[str, str], gone: set[int]
) -> None:
    """Half of them know some servers less: a server is taken by each half up to that half's own quota."""
    k, less = 3, {s: z for s, z in servers.items() if int(s[1:]) not in gone}
    old, new = subsets(heads, servers, k), subsets(heads, less, k)
    mixed = {head: (old if head % 2 else new)[head] for head in heads}
    loads = Counter(server for some in mixed.values() for server in some)
    for server in servers:
        of_old = sum(server in some for some in old.values())
        of_new = sum(server in some for some in new.values())
        assert loads[server] <= of_old + of_new


def swapped(name: str) -> Any:
    """Variants that are broken on purpose."""
    real_weight, real_match, real_counts = module.weight.__wrapped__, module.match, module.zone_counts
    match name:
        case "the first server is left out":
            return "match", lambda wanted, quotas: real_match(
                wanted, {s: q for s, q in quotas.items() if s != min(quotas) or len(quotas) == 1}
            )
        case "weights differ by process":
            salt = iter(range(10**9))
            return "weight", lambda head, server: real_weight(head, server) * (2 * next(salt) + 1) % (1 << 64)
        case "no quota":
            return "match", lambda wanted, quotas: real_match(wanted, dict.fromkeys(quotas, 10**6))
        case "quotas one too large":
            return "match", lambda wanted, quotas: real_match(wanted, {s: q + 1 for s, q in quotas.items()})
        case "one server too few":
            return "match", lambda wanted, quotas: real_match(
                {h: max(0, n - 1) for h, n in wanted.items()}, quotas
            )
        case "all in one zone":
            return "zone_counts", lambda _head, zones, k: {
                z: min(k, len(m)) if z == min(zones) else 0 for z, m in zones.items()
            }
        case "what does not divide goes nowhere":
            return "zone_counts", lambda head, zones, k: {
                z: n - (n > 0 and z == max(zones)) for z, n in real_counts(head, zones, k).items()
            }
        case "who is turned away over the quota":
            return "_place", lambda head, ranked, found, _room: found[head].add(
                next(s for s in ranked if s not in found[head])
            )
        case "who is turned away gives up":
            return "_place", lambda _head, _ranked, _found, _room: None
        case "in the order of arrival":

            def first_come(wanted: dict[int, int], quotas: dict[str, int]) -> dict[int, set[str]]:
                left, found = dict(quotas), {}
                for head, count in wanted.items():
                    found[head] = {s for s in sorted(left, key=lambda s: -left[s])[:count]}
                    for server in found[head]:
                        left[server] -= 1
                return found

            return "match", first_come
    raise AssertionError(name)


@pytest.mark.parametrize(
    "bug",
    [
        "the first server is left out",
        "weights differ by process",
        "no quota",
        "quotas one too large",
        "one server too few",
        "all in one zone",
        "what does not divide goes nowhere",
        "who is turned away over the quota",
        "who is turned away gives up",
        "in the order of arrival",
    ],
)
def test_a_variant_that_is_broken_on_purpose_is_caught(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    name, instead = swapped(bug)
    monkeypatch.setattr(module, name, instead)
    fleets = [
        (set(range(h)), {f"s{i}": "abc"[i % z] for i in range(n)}, k)
        for h in (3, 7, 16)
        for n in (4, 9, 20)
        for z in (1, 3)
        for k in (2, 3, 5, 7)
    ]
    assert any(laws(*fleet) for fleet in fleets)
