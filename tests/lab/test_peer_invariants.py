"""Invariants between instances: each test shows that one detects its violation and nothing else."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from garnetlanding.lab.faults import FaultKind
from garnetlanding.lab.limits import SECOND
from tests.support.lab import BASELINE, fault
from tests.support.run_histories import violations, violations_with


def test_suspicion_without_recent_evidence_is_a_violation() -> None:
    observed = {"t": 5, "what": "seen", "who": "n1", "servers": {"b0": ["dead", 5]}}
    suspected = {"t": 9, "what": "doubted", "who": "n0", "servers": {"b0": 5 + 2 * SECOND}}
    assert not violations_with(observed, suspected)
    assert "n0 suspects b0 without recent evidence" in violations_with(suspected)
    both = suspected | {"servers": dict.fromkeys(("b0", "b1"), 5)}
    assert "suspects 2 backends" in violations_with(observed, both)


def test_request_at_a_disabled_backend_is_a_violation() -> None:
    disable = fault(FaultKind.DISABLE, 1, 4, instance=0, backend=1)
    disabling = replace(BASELINE, instances=2, faults=(disable,))
    disabled = [{"t": 2, "what": "bans", "who": f"n{number}", "out": ["b1"]} for number in (0, 1)]
    executed = {"t": SECOND, "who": "bricks", "what": "ran", "id": "r", "brick": 1, "volume": "v"}

    def found(*lines: dict[str, Any]) -> str:
        return violations(disabling, [], lines)

    assert found(*disabled) == ""
    assert "which every instance had disabled" in found(*disabled, executed)
    assert "differ at the end" in found(disabled[0], executed)
    assert "which" not in found(disabled[0], executed)


def test_diverging_membership_is_a_violation() -> None:
    grouped = replace(BASELINE, instances=2, seed_instances=1)
    end = {"t": 9, "who": "clients", "what": "asked", "id": "r"}
    members = [
        {"t": 5, "who": f"n{number}", "what": "heads", "even": 0.5, "entitled": [0, 1]} for number in (0, 1)
    ]
    assert violations(grouped, [], [*members, end]) == ""
    alone = members[1] | {"entitled": [1]}
    assert violations(grouped, [], [members[0], alone, end]) == (
        "heads: n1 knows [1] at the end, [0, 1] are running"
    )
    whole = members[1] | {"even": 1.0}
    assert violations(grouped, [], [members[0], whole, end]) == "heads: even quotas add up to 1.500"
    after_the_end = alone | {"t": 10}
    assert violations(grouped, [], [*members, end, after_the_end]) == ""


def test_number_that_two_instances_use_is_a_violation() -> None:
    duplicate = fault(FaultKind.DUPLICATE_IDENTITY, 1, 4, instance=1, claimed_instance=0)
    grouped = replace(BASELINE, instances=2, seed_instances=1, faults=(duplicate,))
    end = {"t": 9, "who": "clients", "what": "asked", "id": "r"}
    members = [
        {"t": 5, "who": f"n{number}", "what": "heads", "even": 0.5, "entitled": [0]} for number in (0, 1)
    ]
    assert (
        violations(grouped, [], [*members, end])
        == "heads: n1 and n0 both use the quota of one instance number"
    )
    assert violations(grouped, [], [members[0], members[1] | {"even": 0.0}, end]) == ""
