"""Hypothesis settings, fixtures and test ids for all tests."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator

import pytest
from hypothesis import settings

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


@pytest.fixture(autouse=True)
def _close_simulated_instance() -> Iterator[None]:
    """Close the instance that a test has left open, and with it its sockets."""
    yield
    SimulatedInstance.close_open()
