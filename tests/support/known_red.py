"""Reads the list of tests that are known to fail, and tells which collected tests it names."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable

COMMAND = "python -m pytest "
"""An entry that begins with this names a test of the suite; other entries name programs of other folders."""


def listed_tests(text: str) -> list[str]:
    """Return the ids of the tests that the list names, each one a test, a function, a class or a file."""
    commands = [line.removeprefix(COMMAND) for line in text.splitlines() if line.startswith(COMMAND)]
    return [command.split()[0].rstrip(":") for command in commands]


def is_listed(test_id: str, listed: str) -> bool:
    """Return whether the listed id is that of the test, or of the function, class or file that holds it."""
    return test_id == listed or test_id.startswith((f"{listed}::", f"{listed}["))


def divide_tests(test_ids: Iterable[str], listed: Iterable[str]) -> tuple[list[str], list[str]]:
    """Return the ids of the tests that the list names, and the listed ids that name no test."""
    known = list(test_ids)
    listed = list(listed)
    passed_over = [test_id for test_id in known if any(is_listed(test_id, entry) for entry in listed)]
    stale = [entry for entry in listed if not any(is_listed(test_id, entry) for test_id in known)]
    return passed_over, stale


def read_listed_tests(path: pathlib.Path) -> list[str]:
    """Return the ids that the file names; none if there is no such file."""
    return listed_tests(path.read_text()) if path.exists() else []
