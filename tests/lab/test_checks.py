"""Checks of a run: each finds what it is there for and nothing else."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from garnetlanding.lab import checks, plan
from garnetlanding.lab.limits import SECOND
from tests.support.lab import CALM, fault

# Checks: each finds what it is there for


def answered(requests: list[plan.Request], outcome: str = "served") -> list[dict[str, Any]]:
    lines: list[dict[str, Any]] = []
    for r in requests:
        lines.append({"t": r.at_us, "who": "bricks", "what": "ran", "id": r.id, "volume": r.volume})
        lines.append({"t": r.at_us + 1, "who": "clients", "what": "answer", "id": r.id, "outcome": outcome})
    return lines


def test_checks_report_each_violation_and_nothing_else() -> None:
    slow = replace(CALM, load=replace(CALM.load, rate=30.0))
    requests = plan.draw(slow)
    sound = answered(requests)
    assert checks.check(slow, requests, sound).sound
    first = requests[0]

    def found(*lines: dict[str, Any], without: int = 0) -> str:
        return " ".join(checks.check(slow, requests, [*sound[without:], *lines]).broken)

    twice = {"t": 9, "who": "clients", "what": "answer", "id": first.id, "outcome": "served"}
    assert "one answer" in found(twice)
    assert "never noted" in found(without=2)
    assert "no brick ran it" in found(without=1)
    ran = {"t": 9, "who": "bricks", "what": "ran", "id": first.id, "volume": first.volume}
    assert "ran 4 times" in found(*[ran] * 3)
    assert "more behind" in found({"t": 9, "who": "clients", "what": "extra", "id": first.id, "count": 1})
    parts = [
        {"t": 9, "what": "parts", "who": f"n{n}", "life": 1, "until": 99, "parts": {plan.volume_name(0): 0.7}}
        for n in (0, 1)
    ]
    assert "add up to 1.400" in found(*parts)
    assert not found(parts[0])
    assert not found(parts[0] | {"until": 9}, parts[1]), "that head looks again before it sends"
    seen = {"t": 5, "what": "seen", "who": "n1", "servers": {"b0": ["dead", 5]}}
    doubt = {"t": 9, "what": "doubted", "who": "n0", "servers": {"b0": 5 + 2 * SECOND}}
    assert not found(seen, doubt)
    assert "nobody has seen in time" in found(doubt)
    assert "doubts 2 servers" in found(seen, doubt | {"servers": dict.fromkeys(("b0", "b1"), 5)})
    lost = answered(requests, "lost")
    assert len(checks.check(slow, requests, lost).broken) >= len(requests)
    killed = replace(slow, faults=tuple(fault("kill", 0, 4, who=n) for n in range(3)))
    soon = replace(slow, faults=tuple(fault("kill", 0, 1, who=n) for n in range(3)))
    again = [{"t": SECOND + 9, "who": f"n{n}", "what": "up"} for n in range(3)]
    assert [b for b in checks.check(soon, requests, lost + again).broken if "one answer" in b], "came back"
    assert not [b for b in checks.check(soon, requests, lost).broken if "one answer" in b], "has not yet"
    assert not [b for b in checks.check(killed, requests, lost).broken if "one answer" in b]


def test_checks_report_a_disabled_backend_that_was_sent_requests() -> None:
    banned = replace(CALM, heads=2, faults=(fault("disable", 1, 4, who=0, brick=1),))
    out = [{"t": 2, "what": "bans", "who": f"n{n}", "out": ["b1"]} for n in (0, 1)]
    ran = {"t": SECOND, "who": "bricks", "what": "ran", "id": "r", "brick": 1, "volume": "v"}

    def found(*lines: dict[str, Any]) -> str:
        return " ".join(checks.check(banned, [], list(lines)).broken)

    assert found(*out) == ""
    assert "which all heads had out" in found(*out, ran)
    assert "differ at the end" in found(out[0], ran)
    assert "which" not in found(out[0], ran)


def test_checks_report_an_exceeded_limit() -> None:
    requests = plan.draw(replace(CALM, load=replace(CALM.load, rate=200.0)))
    findings = checks.check(CALM, requests, answered(requests))
    assert findings.over > 20
    assert any(b.startswith("limits:") for b in findings.broken)
