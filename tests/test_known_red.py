"""CI passes over exactly the tests that KNOWN-RED.txt names."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

from tests.support.known_red import divide_tests, listed_tests

TESTS = [
    "tests/a.py::test_one",
    "tests/a.py::test_one_more",
    "tests/a.py::test_sizes[32]",
    "tests/b.py::test_b",
]


def test_only_entries_with_the_test_command_name_tests() -> None:
    text = (
        "review/1/run.sh (seed 44): seen; issue 29\n"
        "python -m pytest tests/a.py::test_sizes[32] (seed 47): seen; issue 29\n"
        "python -m pytest tests/b.py: seen; issue 9\n"
        "python -m benchmarks.memory_floods --seed 47: seen; issue 29\n"
    )
    assert listed_tests(text) == ["tests/a.py::test_sizes[32]", "tests/b.py"]


@pytest.mark.parametrize(
    ("listed", "passed_over"),
    [
        ("tests/a.py::test_one", ["tests/a.py::test_one"]),
        ("tests/a.py::test_sizes", ["tests/a.py::test_sizes[32]"]),
        ("tests/a.py", TESTS[:3]),
        ("tests/b.py::test_b", ["tests/b.py::test_b"]),
    ],
)
def test_a_listed_test_is_passed_over_and_one_with_a_longer_name_is_not(
    listed: str, passed_over: list[str]
) -> None:
    assert divide_tests(TESTS, [listed]) == (passed_over, [])


def test_an_entry_that_names_no_test_is_stale() -> None:
    assert divide_tests(TESTS, ["tests/a.py::test_on"]) == ([], ["tests/a.py::test_on"])


def run_pytest(folder: pathlib.Path, listed: str, processes: int) -> subprocess.CompletedProcess[str]:
    (folder / "known-red.txt").write_text(f"python -m pytest {listed} (no seed): fails; issue 29\n")
    (folder / "test_it.py").write_text(
        "def test_red():\n    assert False\n\n\ndef test_red_too():\n    pass\n"
    )
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.conftest"]
    options = ["-n", str(processes), "--rootdir", str(folder), "--known-red", str(folder / "known-red.txt")]
    return subprocess.run(
        [*command, *options, str(folder / "test_it.py")],
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.mark.parametrize("processes", [0, 2])
def test_a_run_passes_over_the_listed_test_and_runs_the_others(
    processes: int, tmp_path: pathlib.Path
) -> None:
    result = run_pytest(tmp_path, "test_it.py::test_red", processes)
    assert result.returncode == 0, result.stdout
    assert "1 passed" in result.stdout
    assert "failed" not in result.stdout


def test_a_run_whose_list_names_no_test_fails(tmp_path: pathlib.Path) -> None:
    result = run_pytest(tmp_path, "test_it.py::test_renamed", processes=0)
    assert result.returncode
    assert "test_it.py::test_renamed" in result.stdout + result.stderr
