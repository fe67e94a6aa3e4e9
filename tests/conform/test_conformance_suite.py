"""The conformance suite: the same verdicts on the stand-in and through the head, and it can fail."""

from __future__ import annotations

import json
import pathlib

import pytest

from garnetlanding import cli
from garnetlanding.conform import suite
from garnetlanding.conform.client import Options
from garnetlanding.conform.suite import Result
from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from tests.conform.seeded_faults import VARIANTS, broken
from tests.support.ninep_instance import NinepInstance, SimulatedWire, run_beside

BOTH = [p9.VERSION, p9l.VERSION]


def verdicts(world: NinepInstance, address: str, version: str, pattern: str = "") -> list[Result]:
    options = Options(
        version=version, aname="glossaries" if address == world.listener.address else "", quiet_s=0.05
    )
    return list(
        suite.run(
            suite.cases(version, pattern),
            lambda: SimulatedWire(world, address),
            options,
            clock=lambda: world.time / 1e6,
        )
    )


@pytest.mark.parametrize("version", BOTH)
def test_stand_in_passes_every_case_and_the_instance_gives_the_same_results(version: str) -> None:
    instance = NinepInstance(access="rw", offer=version, tree={})
    direct = verdicts(instance, instance.files[0].address, version)
    assert [r for r in direct if r.verdict != suite.PASS] == []
    through = verdicts(instance, instance.listener.address, version)
    assert [(r.name, r.verdict, r.why) for r in through if r.verdict != suite.PASS] == []
    assert len(direct) == len(through) > 150, "each case cleans up"
    assert not instance.disk.root.names, "each case cleans up"


@pytest.mark.parametrize("flaw", VARIANTS)
def test_suite_detects_each_seeded_fault(flaw: str) -> None:
    """A suite that cannot fail proves nothing."""
    _, _, _, version, name = VARIANTS[flaw]
    instance = NinepInstance(access="rw", offer=version, tree={})
    [sound] = [r for r in verdicts(instance, instance.files[0].address, version, f"^{name}$")]
    with broken(flaw):
        [flawed] = verdicts(instance, instance.files[0].address, version, f"^{name}$")
    assert (sound.verdict, flawed.verdict) == (suite.PASS, suite.FAIL), flawed.why


def test_unreachable_server_makes_each_case_an_error() -> None:
    def dial() -> SimulatedWire:
        raise OSError("refused")

    results = list(suite.run(suite.cases(p9.VERSION, "^walk-"), dial, Options()))
    assert results
    assert {r.verdict for r in results} == {suite.BROKEN}


def test_unresponsive_server_fails_a_case_in_time() -> None:
    instance = NinepInstance(access="rw", tree={})
    instance.files[0].script.add(Rule(p9.Tread, Fault.STALL, times=None))
    [result] = verdicts(instance, instance.files[0].address, p9.VERSION, "^read-nothing$")
    assert result.verdict == suite.FAIL
    assert "no answer" in result.why


def called(world: NinepInstance, *words: str) -> int:
    code: list[int] = []
    run_beside(world, lambda: code.append(cli.main(["conform", "9p", *words])))
    return code[0]


def test_command_reports_results_as_table_json_and_exit_code(
    capsys: pytest.CaptureFixture[str], tmp_path: pathlib.Path
) -> None:
    instance = NinepInstance(access="rw", tree={})
    quick = ["--address", instance.files[0].address, "--quiet", "0.01", "--only", "^remove-(clunks|file)$"]
    file = tmp_path / "out.json"
    assert called(instance, *quick, "--json", str(file)) == 0
    told = json.loads(file.read_text())
    assert [run["counts"]["pass"] for run in told] == [2, 2]
    assert "9P2000.L: 2 pass" in capsys.readouterr().out
    with broken("a remove keeps its fid"):
        assert called(instance, *quick, "--dialect", "9P2000") == 1
    assert "remove-clunks" in capsys.readouterr().out
    assert called(instance, *quick, "--json", str(tmp_path / "no" / "out.json")) == 2


@pytest.mark.parametrize(
    ("words", "told"),
    [
        (["--address", "nowhere"], "--address"),
        (["--address", "x:1", "--only", "("], "--only"),
        (["--address", "x:1", "--only", "^none$"], "no case"),
        (["--address", "x:1", "--msize", "5"], "--msize"),
        ([], "--address"),
    ],
)
def test_invalid_arguments_give_exit_code_2(
    words: list[str], told: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(["conform", "9p", *words]) == 2
    assert told in capsys.readouterr().err


def test_list_option_prints_the_cases(capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["conform", "9p", "--address", "x:1", "--list", "--only", "^walk-"]) == 0
    assert "walk-sixteen-names" in capsys.readouterr().out
