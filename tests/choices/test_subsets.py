"""Choices of many heads that add up: subsets, turns, budgets of further attempts."""

from __future__ import annotations

import pathlib
from collections import Counter
from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from garnetlanding import config
from garnetlanding.choices import subsets as module
from garnetlanding.choices.setup import ChoicesSetup, read
from garnetlanding.choices.stagger import stagger_offset
from garnetlanding.choices.subset_tracker import SubsetTracker
from garnetlanding.choices.subsets import subsets
from garnetlanding.emulator.brick import Brick
from garnetlanding.emulator.discovery import Box
from garnetlanding.lab.experiment import load
from garnetlanding.lab.run import run
from tests import helpers
from tests.helpers import SECOND, Peer, World, read_command

ROOT = pathlib.Path(__file__).parents[2]
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
    real_weight, real_match, real_shares = module.weight.__wrapped__, module.match, module.shares
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
            return "shares", lambda head, zones, k: {
                z: min(k, len(m)) if z == min(zones) else 0 for z, m in zones.items()
            }
        case "what does not divide goes nowhere":
            return "shares", lambda head, zones, k: {
                z: n - (n > 0 and z == max(zones)) for z, n in real_shares(head, zones, k).items()
            }
        case "who is turned away over the quota":
            return "_make_room", lambda head, ranked, found, room: found[head].add(
                next(s for s in ranked if s not in found[head])
            )
        case "who is turned away gives up":
            return "_make_room", lambda head, ranked, found, room: None
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


# Turns


@given(st.integers(1, 300), st.text(max_size=9))
def test_turns_are_evenly_spaced_and_no_head_is_always_last(heads: int, signal: str) -> None:
    places = sorted(stagger_offset(number, heads, signal) for number in range(heads))
    assert all(0 <= place < 1 for place in places)
    assert all(b - a == pytest.approx(1 / heads) for a, b in pairwise(places))
    wrong = [stagger_offset(number, 2 * heads, signal) for number in range(heads)]
    assert len(set(wrong)) == heads, "wrong by a factor of two: half of the span, one after another"


def test_the_order_of_turns_changes_with_the_signal() -> None:
    last = {max(range(10), key=lambda n: stagger_offset(n, 10, f"signal {i}")) for i in range(60)}
    assert len(last) >= 8 and stagger_offset(3, 0) == 0.0


# In the head


def test_the_kept_servers_are_looked_up_again_only_when_something_has_changed() -> None:
    kept, servers = SubsetTracker(2), {f"s{i}": "a" for i in range(6)}
    first = kept.update(1, range(4), servers)
    assert len(first) == 2 and kept.update(1, [3, 2, 1, 0], dict(servers)) == first and kept.changes == 1
    assert len(kept.update(1, range(4), servers | {"s9": "b"})) == 2 and kept.changes == 2
    assert kept.update(9, range(4), servers) == frozenset(), "it has been put out"


def test_idle_connections_are_kept_to_some_servers_only() -> None:
    w = World()
    bricks = [w.server(Brick), w.server(Brick)]
    w.list(Box("n0", bricks[0].address, 0), Box("n1", bricks[1].address, 1))
    w.bricks.keeps, w.bricks.outside_idle_us = lambda: frozenset({"n1"}), SECOND
    peer = Peer(w, w.front().address)
    assert all(peer.say(read_command(f"r{cell}", cell=cell)).startswith(b"$") for cell in (0, 1))
    assert [len(brick.conns) for brick in bricks] == [1, 1]
    w.run(3 * SECOND)
    assert [len(brick.conns) for brick in bricks] == [0, 1], "n0 is asked on a new one when it is asked again"
    assert peer.say(read_command("r2")).startswith(b"$")


@pytest.mark.parametrize(
    "data, key",
    [
        ({"subset": 1.5}, "key choices.subset: expected a whole"),
        ({"subset": -1}, "key choices.subset"),
        ({"idle_s": 0}, "key choices.idle_s"),
        ({"resend_share": "x"}, "key choices.resend_share"),
        ({"turns": 1}, "key choices.turns: not known"),
    ],
)
def test_a_fault_in_the_section_names_its_key(data: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        read(data)


def test_a_budget_of_further_attempts_is_the_operators_where_the_settings_have_none() -> None:
    plain = helpers.settings()
    chosen = ChoicesSetup(retry_budget_ratio=0.1, retry_budget_floor=3, retry_budget_window_us=5 * SECOND)
    used = chosen.with_retry_budget(plain)
    assert (used.retry_budget_ratio, used.retry_budget_floor, used.retry_budget_window_us) == (
        0.1,
        3,
        5 * SECOND,
    )
    theirs = replace(plain, retry_budget_ratio=0.5, retry_budget_window_us=SECOND)
    assert chosen.with_retry_budget(theirs) == theirs and ChoicesSetup().with_retry_budget(plain) == plain


# Processes


@pytest.mark.parametrize("name", ["subset", "resend-budget"])
def test_choices_of_real_processes_add_up(name: str, tmp_path: pathlib.Path) -> None:
    """Eight heads, of which one joins, one leaves and one is cut off; six whose connections break."""
    result = run(load(str(ROOT / "experiments" / f"{name}.toml")), tmp_path / "run")
    assert result.findings.sound, result.findings.broken
    assert result.findings.outcomes["served"] > 0
    if name == "resend-budget":
        assert result.findings.attempts > result.findings.outcomes["served"], "some did run again"
