"""How tests wait: for observable conditions, never by sleeping or by counting event-loop iterations."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from tests.support import waiting
from tests.support.source_modules import ROOT

WAITING = Path("tests/support/waiting.py")
"""The only module that may sleep, between polls of another process's state."""


def calls_of(tree: ast.AST, name: str) -> list[int]:
    """Return the lines that call a method, or a function of a module, with this name."""
    return [
        node.lineno
        for node in ast.walk(tree)
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr == name
    ]


def sleeps(tree: ast.AST) -> list[int]:
    """Return the lines that sleep in real time; the scheduler's `sleep` uses the test's simulated clock."""
    return [
        node.lineno
        for node in ast.walk(tree)
        if (isinstance(node, ast.Attribute) and ast.unparse(node) == "time.sleep")
        or (isinstance(node, ast.ImportFrom) and node.module == "time" and "sleep" in ast.unparse(node))
    ]


def counted_iterations(tree: ast.AST) -> list[int]:
    """Return the lines that run a fixed number of event-loop iterations, in a `for` or a comprehension."""
    counted = (ast.For, ast.GeneratorExp, ast.ListComp)
    return [
        line
        for node in ast.walk(tree)
        if isinstance(node, counted) and "range(" in ast.unparse(node)
        for line in calls_of(node, "run_iteration")
    ]


def test_no_test_waits_by_sleeping_or_by_a_number_of_iterations() -> None:
    """How long either takes depends on the machine; `tests.support.waiting` waits for conditions."""
    trees = {
        path.relative_to(ROOT): ast.parse(path.read_text()) for path in sorted((ROOT / "tests").rglob("*.py"))
    }
    assert sleeps(trees[WAITING])
    violations = {
        str(path): [*sleeps(tree), *counted_iterations(tree)]
        for path, tree in trees.items()
        if path != WAITING
    }
    assert not {path: lines for path, lines in violations.items() if lines}


def test_wait_for_what_never_happens_fails_with_its_name_and_the_bound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(waiting, "MAX_WAIT_S", 0.02)
    with pytest.raises(waiting.WaitTimeoutError, match="MAX_WAIT_S = 0.02 s: a reply to nothing"):
        waiting.poll_until(lambda: False, "a reply to nothing")
