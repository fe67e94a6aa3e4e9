"""Tests that an emulated server and an instance in front of it pass the suite, and that it detects faults."""

from __future__ import annotations

import json
import pathlib

import pytest

from garnetlanding import cli
from garnetlanding.conform import suite
from garnetlanding.conform.connection import Options
from garnetlanding.conform.registry import select_cases
from garnetlanding.conform.suite import Outcome, Result
from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from tests.conform.seeded_faults import SEEDED_FAULTS, seeded_fault
from tests.support.ninep_instance import NinepInstance, SimulatedTransport, run_beside

BOTH_DIALECTS = [p9.VERSION, p9l.VERSION]


def run_suite(instance: NinepInstance, address: str, version: str, pattern: str = "") -> list[Result]:
    through_instance = address == instance.listener.address
    options = Options(version=version, aname="glossaries" if through_instance else "", quiet_period_s=0.05)
    return list(
        suite.run(
            select_cases(version, pattern),
            lambda: SimulatedTransport(instance, address),
            options,
            clock=lambda: instance.time / 1e6,
        )
    )


@pytest.mark.parametrize("version", BOTH_DIALECTS)
def test_emulated_server_and_instance_pass_every_case(version: str) -> None:
    instance = NinepInstance(access="rw", server_dialect=version, tree={})
    direct_results = run_suite(instance, instance.file_servers[0].address, version)
    assert [result for result in direct_results if result.outcome != Outcome.PASS] == []
    instance_results = run_suite(instance, instance.listener.address, version)
    assert [
        (result.name, result.outcome, result.reason)
        for result in instance_results
        if result.outcome != Outcome.PASS
    ] == []
    assert len(direct_results) == len(instance_results) > 150
    assert not instance.disk.root.names, "each case removes its scratch directory"


@pytest.mark.parametrize("fault", SEEDED_FAULTS)
def test_suite_detects_each_seeded_fault(fault: str) -> None:
    """Guards against cases that pass whatever the server does."""
    seeded = SEEDED_FAULTS[fault]
    instance = NinepInstance(access="rw", server_dialect=seeded.version, tree={})
    address = instance.file_servers[0].address
    pattern = f"^{seeded.case}$"
    [correct] = run_suite(instance, address, seeded.version, pattern)
    with seeded_fault(fault):
        [faulty] = run_suite(instance, address, seeded.version, pattern)
    assert (correct.outcome, faulty.outcome) == (Outcome.PASS, Outcome.FAIL), faulty.reason


def test_unreachable_server_gives_each_case_outcome_error() -> None:
    def connect() -> SimulatedTransport:
        raise OSError("refused")

    results = list(suite.run(select_cases(p9.VERSION, "^walk-"), connect, Options()))
    assert results
    assert {result.outcome for result in results} == {Outcome.ERROR}


def test_case_fails_after_timeout_if_server_does_not_reply() -> None:
    instance = NinepInstance(access="rw", tree={})
    instance.file_servers[0].script.add(Rule(p9.Tread, Fault.STALL, times=None))
    [result] = run_suite(instance, instance.file_servers[0].address, p9.VERSION, "^read-nothing$")
    assert result.outcome == Outcome.FAIL
    assert "no reply" in result.reason


def run_command(instance: NinepInstance, *arguments: str) -> int:
    exit_codes: list[int] = []
    run_beside(instance, lambda: exit_codes.append(cli.main(["conform", "9p", *arguments])))
    return exit_codes[0]


def test_command_reports_results_as_table_json_and_exit_code(
    capsys: pytest.CaptureFixture[str], tmp_path: pathlib.Path
) -> None:
    instance = NinepInstance(access="rw", tree={})
    arguments = [
        "--address",
        instance.file_servers[0].address,
        "--quiet",
        "0.01",
        "--only",
        "^remove-(clunks|file)$",
    ]
    json_file = tmp_path / "out.json"
    assert run_command(instance, *arguments, "--json", str(json_file)) == 0
    reports = json.loads(json_file.read_text())
    assert [report["counts"]["pass"] for report in reports] == [2, 2]
    assert "9P2000.L: 2 pass" in capsys.readouterr().out
    with seeded_fault("remove-keeps-fid"):
        assert run_command(instance, *arguments, "--dialect", "9P2000") == 1
    assert "remove-clunks" in capsys.readouterr().out
    assert run_command(instance, *arguments, "--json", str(tmp_path / "no" / "out.json")) == 2


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["--address", "nowhere"], "--address"),
        (["--address", "x:1", "--only", "("], "--only"),
        (["--address", "x:1", "--only", "^none$"], "no case"),
        (["--address", "x:1", "--msize", "5"], "--msize"),
        ([], "--address"),
    ],
    ids=["address-unreadable", "only-no-regex", "only-matches-none", "msize-too-small", "address-missing"],
)
def test_invalid_arguments_give_exit_code_2(
    arguments: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(["conform", "9p", *arguments]) == 2
    assert message in capsys.readouterr().err


def test_list_option_prints_the_cases(capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["conform", "9p", "--address", "x:1", "--list", "--only", "^walk-"]) == 0
    assert "walk-sixteen-names" in capsys.readouterr().out
