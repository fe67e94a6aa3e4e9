"""Processes of the program under faults, judged by counts and histories."""

from __future__ import annotations

import json
import os
import pathlib
import signal
from dataclasses import replace

import pytest

from garnetlanding import cli
from garnetlanding.lab import experiment_file
from garnetlanding.lab.errors import InterruptedRunError, LabError
from garnetlanding.lab.experiment import Experiment, Workload
from garnetlanding.lab.faults import FaultKind, LinkKind
from garnetlanding.lab.limits import SECOND
from garnetlanding.lab.result import RunResult
from garnetlanding.lab.run import run
from garnetlanding.lab.workload import volume_name
from tests.support.lab import BASELINE, ROOT, fault


def run_and_verify(tmp_path: pathlib.Path, experiment: Experiment) -> RunResult:
    result = run(experiment, tmp_path / "run")
    assert result.report.passed, result.report.violations
    assert result.report.outcomes["served"] > 0
    return result


def recorded_quotas(result: RunResult, instance: int, volume: int = 0) -> list[tuple[float, float]]:
    """Return the quotas of a volume that an instance recorded as its own, each with its time in seconds."""
    name = volume_name(volume)
    return [
        ((line["t"] - result.began_us) / SECOND, line["parts"][name])
        for line in result.lines
        if line["what"] == "parts" and line["who"] == f"n{instance}" and name in line["parts"]
    ]


NETWORK_FAULT_KINDS = (FaultKind.LOSS, FaultKind.DUPLICATE, FaultKind.DELAY, FaultKind.REORDER)
# Each volume's requests are sent to its first instance only.
ONE_INSTANCE = Workload(volumes=3, requests_per_s=90.0, busiest_fraction=1.0)


def test_quota_is_leased_to_the_process_with_the_demand(tmp_path: pathlib.Path) -> None:
    result = run_and_verify(tmp_path, replace(BASELINE, workload=ONE_INSTANCE, duration_us=5 * SECOND))
    assert max(quota for _, quota in recorded_quotas(result, 0)) > 0.9
    assert result.report.incarnations == {"n0": 1, "n1": 1, "n2": 1}
    assert cli.main(["lab", "report", str(tmp_path / "run"), "--charts", "--json"]) == 0
    assert {path.name for path in (tmp_path / "run").iterdir()} >= {"series.csv", "answers.png", "parts.png"}
    assert cli.main(["lab", "report", str(tmp_path)]) == 2
    with pytest.raises(LabError, match="not empty"):
        run(BASELINE, tmp_path / "run")


@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_interrupted_lab_terminates_every_process_it_started(
    how: signal.Signals, tmp_path: pathlib.Path
) -> None:
    def interrupt(_done: float) -> None:
        os.kill(os.getpid(), how)

    # A shell that starts tests in the background makes them ignore SIGINT, and Python keeps it ignored.
    old = signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        with pytest.raises(KeyboardInterrupt if how == signal.SIGINT else InterruptedRunError):
            run(
                replace(BASELINE, faults=(fault(FaultKind.STOP, 0, 4, instance=1),)),
                tmp_path / "run",
                interrupt,
            )
    finally:
        signal.signal(signal.SIGINT, old)
    pids = json.loads((tmp_path / "run/pids.json").read_text())
    assert len(pids) == 3
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)


def test_partitioned_process_falls_back_to_its_even_quota_until_the_partition_heals(
    tmp_path: pathlib.Path,
) -> None:
    partition = (fault(FaultKind.PARTITION, 2, 4, sender=0), fault(FaultKind.PARTITION, 2, 4, receiver=0))
    result = run_and_verify(
        tmp_path, replace(BASELINE, workload=ONE_INSTANCE, duration_us=7 * SECOND, faults=partition)
    )
    quotas = recorded_quotas(result, 0)
    assert any(quota == 0.5 and 2 < at < 4.5 for at, quota in quotas), "during the partition"
    assert any(quota > 0.9 and at > 4 for at, quota in quotas), "after the partition"


def test_killed_process_restarts_without_the_quota_of_its_earlier_incarnation(tmp_path: pathlib.Path) -> None:
    kill = (fault(FaultKind.KILL, 2, 2.5, instance=0),)
    result = run_and_verify(
        tmp_path, replace(BASELINE, workload=ONE_INSTANCE, duration_us=7 * SECOND, faults=kill)
    )
    assert result.report.incarnations["n0"] == 2
    lives = [line["life"] for line in result.lines if line["what"] == "start" and line["who"] == "n0"]
    assert lives == sorted(lives)
    first = next(
        line
        for line in result.lines
        if line["what"] == "parts" and line["life"] == lives[1] and line["parts"]
    )
    assert set(first["parts"].values()) == {0.0}, "until the leases that it may have granted have expired"
    assert any(quota >= 0.5 for at, quota in recorded_quotas(result, 0) if at > 2.5)


def test_process_stopped_past_its_lease_sends_nothing_under_it(tmp_path: pathlib.Path) -> None:
    stop = (fault(FaultKind.STOP, 2, 4, instance=0),)
    both_busy = replace(ONE_INSTANCE, busiest_fraction=0.6)
    result = run_and_verify(
        tmp_path, replace(BASELINE, workload=both_busy, duration_us=6 * SECOND, faults=stop)
    )
    after = [quota for at, quota in recorded_quotas(result, 0) if at >= 4]
    assert after, "the resumed process records a quota"
    assert after[0] <= 0.5, "the leases granted to it expired meanwhile"


def test_lost_duplicated_late_and_reordered_messages_violate_no_invariant(tmp_path: pathlib.Path) -> None:
    network_faults = tuple(fault(kind, 0, 5, probability=0.3, span_us=60_000) for kind in NETWORK_FAULT_KINDS)
    result = run_and_verify(
        tmp_path,
        replace(
            BASELINE,
            duration_us=5 * SECOND,
            faults=network_faults,
            workload=replace(ONE_INSTANCE, busiest_fraction=0.5, shift_interval_us=2 * SECOND),
        ),
    )
    assert all(result.network_counts[kind.value] for kind in NETWORK_FAULT_KINDS)


def test_unresponsive_backend_and_restarted_instance_lose_no_request(tmp_path: pathlib.Path) -> None:
    both = (fault(FaultKind.UNRESPONSIVE, 1, 2.5, backend=1), fault(FaultKind.TERMINATE, 1.5, 2, instance=2))
    result = run_and_verify(tmp_path, replace(BASELINE, duration_us=5 * SECOND, faults=both))
    assert result.report.incarnations["n2"] == 2
    late = result.began_us + 4 * SECOND
    ran = {line["brick"] for line in result.lines if line["what"] == "ran" and line["t"] > late}
    assert ran == {0, 1, 2}, "every healthy backend is used"


def test_disable_at_one_process_holds_at_all_and_is_enabled_at_another(tmp_path: pathlib.Path) -> None:
    """One instance is partitioned meanwhile; one is killed and restores its disabled backends from disk."""
    calls = (
        fault(FaultKind.DISABLE, 0.5, 6, instance=0, backend=1),
        fault(FaultKind.PARTITION, 0.2, 1.5, receiver=2),
        fault(FaultKind.KILL, 1.6, 2.0, instance=1),
        fault(FaultKind.ENABLE, 3.6, 6, instance=2, backend=1),
    )
    result = run_and_verify(tmp_path, replace(BASELINE, duration_us=6 * SECOND, faults=calls))
    called = [line["status"] for line in result.lines if line["what"] == "called"]
    assert called == [200, 200]
    disabled = [(line["who"], line["out"]) for line in result.lines if line["what"] == "bans"]
    assert {who for who, out in disabled if out == ["b1"]} == {"n0", "n1", "n2"}
    assert [sorted(who for who, out in disabled[-3:]), disabled[-1][1]] == [["n0", "n1", "n2"], []]


def test_peers_learn_of_a_refusing_backend_and_suspect_no_other(tmp_path: pathlib.Path) -> None:
    down = (fault(FaultKind.DOWN, 1, 3, backend=2),)
    result = run_and_verify(tmp_path, replace(BASELINE, duration_us=4 * SECOND, faults=down))
    seen = {line["who"] for line in result.lines if line["what"] == "seen" and "b2" in line["servers"]}
    assert seen
    assert result.report.suspicions
    late = result.began_us + 3.5 * SECOND
    assert any(line["what"] == "ran" and line["brick"] == 2 and line["t"] > late for line in result.lines)


def test_byzantine_process_does_not_deprive_others_of_backends(tmp_path: pathlib.Path) -> None:
    """Every backend keeps serving requests of the instances that receive forged messages."""
    byzantine = (fault(FaultKind.BYZANTINE, 0.5, 4, instance=0),)
    result = run_and_verify(tmp_path, replace(BASELINE, faults=byzantine))
    assert result.network_counts["lie"]
    assert result.report.suspicions
    served = {line["id"] for line in result.lines if line["what"] == "answer" and line["outcome"] == "served"}
    ran = {
        line["brick"]
        for line in result.lines
        if line["what"] == "ran" and line["id"] in served and line["t"] > result.began_us + 2 * SECOND
    }
    assert ran == {0, 1, 2}


@pytest.mark.parametrize(("name", "lost"), [("upgrade", 0), ("upgrade-stalled", 30), ("ban-moving", 0)])
def test_upgrade_under_faults_loses_no_more_than_allowed(
    name: str, lost: int, tmp_path: pathlib.Path
) -> None:
    """Three cases: each process disables another backend at the time of SIGTERM; the predecessor is stopped
    while it holds its locks; a backend is disabled while a reload moves the instance to another discovery
    service. In each, all instances agree at the end."""
    result = run_and_verify(tmp_path, experiment_file.load(str(ROOT / "experiments" / f"{name}.toml")))
    assert all(line["status"] == 200 for line in result.lines if line["what"] == "called")
    outcomes = result.report.outcomes
    assert outcomes["lost"] + outcomes["none"] + outcomes["failed"] <= lost


@pytest.mark.parametrize("name", ["split-group", "twin", "clock-steps"])
def test_membership_changes_on_both_sides_of_a_partition_keep_the_limits(
    name: str, tmp_path: pathlib.Path
) -> None:
    """Three cases: instances that discover each other from seeds join on both sides of a partition; a second
    process claims an instance's number; wall clocks step while backends are disabled."""
    result = run_and_verify(tmp_path, experiment_file.load(str(ROOT / "experiments" / f"{name}.toml")))
    evens = [line for line in result.lines if line["what"] == "heads" and line["even"]]
    if name == "split-group":
        first = min(line["t"] for line in evens if line["who"] in ("n4", "n5"))
        assert (first - result.began_us) / SECOND > 10, "neither uses a quota before the partition has healed"
    if name == "twin":
        parts = [
            line["parts"]
            for line in result.lines
            if line["what"] == "parts" and line["who"] == "n1" and line["parts"]
        ]
        assert any(max(quota.values()) > 0 for quota in parts), "the earlier instance used its quota at first"
        assert not any(parts[-1].values()), "the earlier instance gave up its quota"


def test_all_instances_together_send_a_warming_backend_no_more_than_it_can_take(
    tmp_path: pathlib.Path,
) -> None:
    result = run_and_verify(tmp_path, experiment_file.load(str(ROOT / "experiments" / "cold-shared.toml")))
    assert 0 < result.report.warming_load_max <= 1.0
    shares = [line["parts"].get("cold:b0", 0) for line in result.lines if line["what"] == "shares"]
    assert max(shares) > 0.4, "the instance with the demand has more than its even quota, a third"


def test_frozen_trickling_or_reset_streams_lose_no_request(tmp_path: pathlib.Path) -> None:
    stream_faults = (
        fault(FaultKind.FREEZE, 1, 2.5, link=LinkKind.BACKEND, instance=0, backend=0),
        fault(FaultKind.RESET, 3, 3.3, link=LinkKind.BACKEND),
        fault(FaultKind.TRICKLE, 1, 3, link=LinkKind.BACKEND, instance=1, span_us=2000),
        fault(FaultKind.RESET, 1, 2, link=LinkKind.DISCOVERY),
    )
    result = run_and_verify(tmp_path, replace(BASELINE, duration_us=5 * SECOND, faults=stream_faults))
    assert result.network_counts["connections"] > 9
    late = result.began_us + 4 * SECOND
    assert {line["brick"] for line in result.lines if line["what"] == "ran" and line["t"] > late} == {0, 1, 2}
