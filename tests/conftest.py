"""Settings, fixtures and case names that all tests share."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterator

import pytest
from hypothesis import settings

from tests.support.simulated_instance import SimulatedInstance

LONGEST_ID = 40  # characters of one value in the name of a parametrized case

# Hypothesis draws the same examples every time: the same code gives the same result.
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
    """Name each case of a parametrized test by its values, in a bounded number of printable characters."""
    name = case_name(val)
    if name is None or (isinstance(val, str | bytes) and len(name) <= LONGEST_ID):
        return None  # pytest's own name of a short text or number is readable
    printable = name.encode("unicode_escape").decode("ascii")
    if len(printable) <= LONGEST_ID:
        return printable
    return f"{printable[:LONGEST_ID]}...{len(name)}"


@pytest.fixture(autouse=True)
def _close_simulated_instance() -> Iterator[None]:
    """Release the sockets of the instance that a test leaves open."""
    yield
    SimulatedInstance.close_open()
