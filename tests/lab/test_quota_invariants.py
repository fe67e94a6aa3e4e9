"""Invariants of shared limits: each test shows that one detects its violation and nothing else."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.lab.faults import FaultKind
from garnetlanding.lab.limits import SECOND
from garnetlanding.lab.workload import volume_name
from tests.support.lab import BASELINE, fault
from tests.support.run_histories import violations, violations_with

QUOTAS = [
    {
        "t": 9,
        "what": "parts",
        "who": f"n{number}",
        "life": 1,
        "until": 99,
        "parts": {volume_name(0): 0.7},
    }
    for number in (0, 1)
]


def test_quotas_above_the_whole_are_a_violation() -> None:
    assert "add up to 1.400" in violations_with(*QUOTAS)
    assert not violations_with(QUOTAS[0])
    assert not violations_with(
        QUOTAS[0] | {"until": 9}, QUOTAS[1]
    ), "an instance with an expired quota computes it anew before it sends"


def test_quota_sum_beside_a_duplicate_identity_is_bounded() -> None:
    duplicate = fault(FaultKind.DUPLICATE_IDENTITY, 0, 4, instance=2, claimed_instance=1)
    doubled = replace(BASELINE, faults=(duplicate,))
    assert violations(doubled, [], QUOTAS) == "", "an even quota is a half"
    excessive = [line | {"parts": {volume_name(0): 0.8}} for line in QUOTAS]
    assert violations(doubled, [], excessive) == (
        "parts: beside a duplicate identity the quotas of a volume add up to 1.600"
    )


def test_overloaded_warming_backend_is_a_violation() -> None:
    restart = fault(FaultKind.RESTART, 0, 1, backend=1)
    settings = {"Rules": {"FallMultiple": 0.0}, "FamilyInfo": {"ColdBears": 4.0}}
    warming = replace(BASELINE, faults=(restart,), settings=settings)
    down = {"t": 1, "who": "bricks", "what": "fault", "kind": "down", "which": 1}
    back = down | {"t": 2, "kind": "up"}
    executed = [
        {"t": 3, "who": "bricks", "what": "ran", "id": f"r{n}", "brick": 1, "volume": "v"} for n in range(3)
    ]
    assert violations(warming, [], [down, back, *executed[:2]]) == ""
    assert violations(warming, [], [down, back, *executed]) == (
        "budgets: a cold backend was sent 1.50 of the load it can take"
    )
    elsewhere = [line | {"brick": 0} for line in executed]
    assert violations(warming, [], [down, back, *elsewhere]) == "", "the other backend is warm"


def test_too_many_connections_at_a_backend_are_a_violation() -> None:
    limited = replace(BASELINE, backend_connections=4)
    opened = {"t": 5 * SECOND, "who": "bricks", "what": "open", "brick": 0, "count": 4}
    assert violations(limited, [], [opened]) == ""
    assert violations(limited, [], [opened, opened | {"count": 5}]) == (
        "places: a backend had 5 concurrent connections"
    )
