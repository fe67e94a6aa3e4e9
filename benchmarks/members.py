"""Instances that discover each other, and budgets that they share: simulated, and explored exhaustively.

python -m benchmarks.members [--seeds N]        writes benchmarks/results/members.md
"""

from __future__ import annotations

import argparse
import pathlib
from dataclasses import replace

from rich.progress import track

from garnetlanding.emulator.budget_simulation import BudgetScenario, BudgetSimulation
from garnetlanding.emulator.group_model import Scope, explore
from garnetlanding.emulator.group_simulation import GroupResult, GroupScenario, GroupSimulation
from garnetlanding.peers.limits import SECOND

RESULTS = pathlib.Path(__file__).parent / "results" / "members.md"
LARGE = GroupScenario(instances=40, seeds=3, events=40, length_us=40 * SECOND, all_at_once=True)
HUGE = replace(LARGE, instances=200, events=60, length_us=90 * SECOND, calm_us=30 * SECOND)
GROUPS = {
    "6 instances, 12 events": (GroupScenario(), 1),
    "12 instances, 30 events": (GroupScenario(instances=12, events=30), 1),
    "6 instances, 40 events, 0.4 of messages lost": (
        GroupScenario(events=40, loss=0.4, length_us=30 * SECOND),
        1,
    ),
    "one seed": (GroupScenario(seeds=1, events=20), 1),
    "40 instances, 40 events": (LARGE, 20),
    "200 instances, 60 events": (HUGE, 100),
}
BUDGETS = {
    "3 instances": BudgetScenario(),
    "8 instances": BudgetScenario(instances=8),
    "half of messages lost": BudgetScenario(loss=0.5),
    "12 faults": BudgetScenario(faults=12),
    "messages 2 s late": BudgetScenario(instances=4, late_us=2 * SECOND, faults=8),
    "window 6 s": BudgetScenario(window_us=6 * SECOND, shift_us=2 * SECOND),
}
ALONE = BudgetScenario(calm=True, other_demand=0.0, shift_us=60 * SECOND, length_us=30 * SECOND)
SCOPES = [
    Scope(max_depth=9),
    Scope(max_depth=10, restarts=0),
    Scope(seeds=1, max_depth=13),
    Scope(instances=4, max_depth=7, restarts=0),
]


def group_row(name: str, scenario: GroupScenario, results: list[GroupResult]) -> str:
    """Return the table row of one group, over all of its runs."""
    known_after_us = sorted(us for result in results for us in result.known_after_us)
    seconds = scenario.length_us / SECOND
    bytes_per_second = (
        sum(result.bytes_sent for result in results) / len(results) / scenario.instances / seconds
    )
    final_sum = sum(result.final_quota_sum for result in results) / len(results)
    return (
        f"| {name} | {len(results)} | {sum(result.starts for result in results)} "
        f"| {max(result.max_quota_sum for result in results):.4f} "
        f"| {sum(result.agreed for result in results)} | {final_sum:.3f} "
        f"| {known_after_us[len(known_after_us) // 2] / SECOND:.1f}, {known_after_us[-1] / SECOND:.1f} "
        f"| {bytes_per_second:.0f} |"
    )


def group_rows(seeds: int) -> list[str]:
    """Return the table of groups whose instances join, leave, crash and are partitioned."""
    lines = [
        "| instances that join, leave, crash, are partitioned | runs | starts | greatest sum of even quotas "
        "| runs with equal tables at the end | mean sum at the end "
        "| s until all know of a start: median, maximum "
        "| bytes per instance and second |",
        "| --- " * 8 + "|",
    ]
    for name, (scenario, divisor) in GROUPS.items():
        count = max(1, seeds // divisor)
        results = [GroupSimulation(replace(scenario, seed=seed)).run() for seed in track(range(count), name)]
        lines.append(group_row(name, scenario, results))
        print(lines[-1], flush=True)
    return lines


def budget_rows(seeds: int) -> list[str]:
    """Return the table of what all instances spend of a budget within one window."""
    lines = [
        "| budget | runs | greatest fraction spent within one window, all instances |",
        "| --- | --- | --- |",
    ]
    for name, budget in BUDGETS.items():
        results = [BudgetSimulation(replace(budget, seed=seed)).run() for seed in track(range(seeds), name)]
        lines.append(f"| {name} | {seeds} | {max(result.max_sum for result in results):.4f} |")
    utilization = sum(BudgetSimulation(replace(ALONE, seed=seed)).run().utilization for seed in range(5)) / 5
    note = f"One of three instances alone spends {utilization:.3f} of a budget; an even quota is 0.333."
    return [*lines, "", note]


def exploration_rows() -> list[str]:
    """Return the table of the scopes that are explored exhaustively."""
    lines = [
        "| explored exhaustively | moves | restarts | states | moves tried | greatest sum "
        "| instances joined at a time |",
        "| --- " * 7 + "|",
    ]
    for scope in track(SCOPES, "exploration"):
        found = explore(scope)
        lines.append(
            f"| {scope.instances} instances, {scope.seeds} seeds{'' if found.is_complete else ', given up'} "
            f"| {scope.max_depth} | {scope.restarts} | {found.states} | {found.transitions} "
            f"| {found.max_quota_sum:.4f} | {found.max_joined} |"
        )
    return lines


def main() -> None:
    """Run everything, print the tables and write them to `RESULTS`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=300)
    seeds = parser.parse_args().seeds
    lines = [
        "# Instances that discover each other, and budgets that they share",
        "",
        f"`python -m benchmarks.members --seeds {seeds}`. Runs end with 10 calm s (200 instances: 30).",
        "",
        *group_rows(seeds),
        "",
        *budget_rows(seeds),
        "",
        *exploration_rows(),
    ]
    RESULTS.write_text("\n".join(lines) + "\n")
    print("\n".join(lines))


if __name__ == "__main__":
    main()
