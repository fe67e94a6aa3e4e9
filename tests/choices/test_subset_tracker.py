"""The subset tracker in an instance, its configuration section and retry budgets."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from garnetlanding import config
from garnetlanding.choices.setup import ChoicesSetup, read
from garnetlanding.choices.subset_tracker import SubsetTracker
from garnetlanding.emulator.brick import Brick
from garnetlanding.emulator.discovery import Box
from tests.support import decision_bench
from tests.support.clock import SECOND
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command

# In the head


def test_the_kept_servers_are_looked_up_again_only_when_something_has_changed() -> None:
    kept, servers = SubsetTracker(2), {f"s{i}": "a" for i in range(6)}
    first = kept.update(1, range(4), servers)
    assert len(first) == 2 and kept.update(1, [3, 2, 1, 0], dict(servers)) == first and kept.changes == 1
    assert len(kept.update(1, range(4), servers | {"s9": "b"})) == 2 and kept.changes == 2
    assert kept.update(9, range(4), servers) == frozenset(), "it has been put out"


def test_idle_connections_are_kept_to_some_servers_only() -> None:
    w = SimulatedInstance()
    bricks = [w.server(Brick), w.server(Brick)]
    w.list(Box("n0", bricks[0].address, 0), Box("n1", bricks[1].address, 1))
    w.bricks.keeps, w.bricks.outside_idle_us = lambda: frozenset({"n1"}), SECOND
    peer = LoopbackClient(w, w.front().address)
    assert all(peer.say(read_command(f"r{cell}", cell=cell)).startswith(b"$") for cell in (0, 1))
    assert [len(brick.conns) for brick in bricks] == [1, 1]
    w.run(3 * SECOND)
    assert [len(brick.conns) for brick in bricks] == [0, 1], "n0 is asked on a new one when it is asked again"
    assert peer.say(read_command("r2")).startswith(b"$")


@pytest.mark.parametrize(
    ("data", "key"),
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
    plain = decision_bench.make_settings()
    chosen = ChoicesSetup(retry_budget_ratio=0.1, retry_budget_floor=3, retry_budget_window_us=5 * SECOND)
    used = chosen.with_retry_budget(plain)
    assert (used.retry_budget_ratio, used.retry_budget_floor, used.retry_budget_window_us) == (
        0.1,
        3,
        5 * SECOND,
    )
    theirs = replace(plain, retry_budget_ratio=0.5, retry_budget_window_us=SECOND)
    assert chosen.with_retry_budget(theirs) == theirs and ChoicesSetup().with_retry_budget(plain) == plain
