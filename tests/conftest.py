"""Hypothesis settings, fixtures and test ids for all tests."""

from __future__ import annotations

import dataclasses
import enum
import pathlib
from collections.abc import Iterator

import pytest
from hypothesis import settings

from tests.support.known_red import divide_tests, read_listed_tests
from tests.support.simulated_instance import SimulatedInstance

MAX_ID_CHARS = 40  # of one value in the id of a parametrized test

# Derandomized: Hypothesis generates the same examples in every run.
settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60, database=None)
settings.load_profile("ci")


def case_name(value: object) -> str | None:
    """Return a readable name of a parametrized value; None leaves it to pytest."""
    match value:
        case enum.Enum():
            return value.name.lower()
        case dict():
            return ",".join(f"{key}={case_name(item) or item}" for key, item in value.items())
        case list() | tuple():
            return ",".join(case_name(item) or str(item) for item in value)
        case str():
            return value
        case bytes():
            return value.decode("latin-1")
        case _ if dataclasses.is_dataclass(value) and not isinstance(value, type):
            return type(value).__name__
    return None


def pytest_make_parametrize_id(val: object) -> str | None:
    """Build the id of a parametrized test from its values, in a bounded number of printable characters."""
    name = case_name(val)
    if name is None or (isinstance(val, str | bytes) and len(name) <= MAX_ID_CHARS):
        return None  # pytest's own id of a short text or a number is readable
    printable = name.encode("unicode_escape").decode("ascii")
    if len(printable) <= MAX_ID_CHARS:
        return printable
    return f"{printable[:MAX_ID_CHARS]}...{len(name)}"


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option by which CI passes over the tests that are known to fail."""
    parser.addoption("--known-red", type=pathlib.Path, help="pass over the tests that this file lists")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the tests that the file of `--known-red` lists; each entry must name one."""
    path = config.getoption("known_red")
    if path is None:
        return
    passed_over, stale = divide_tests([item.nodeid for item in items], read_listed_tests(path))
    if stale:
        raise pytest.UsageError(f"{path}: names no test of the suite: {', '.join(stale)}")
    deselected = [item for item in items if item.nodeid in passed_over]
    config.hook.pytest_deselected(items=deselected)
    items[:] = [item for item in items if item.nodeid not in passed_over]


@pytest.fixture(autouse=True)
def _close_simulated_instance() -> Iterator[None]:
    """Close the instance that a test has left open, and with it its sockets."""
    yield
    SimulatedInstance.close_open()
