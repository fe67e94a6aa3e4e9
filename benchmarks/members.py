"""Heads that find each other, and budgets that all share: simulated, and explored whole.

python -m benchmarks.members [--seeds N]        writes benchmarks/results/members.md
"""

from __future__ import annotations

import argparse
import pathlib
from dataclasses import replace

from rich.progress import track

from garnetlanding.emulator.budget_net import BudgetScenario, BudgetSimulation
from garnetlanding.emulator.group_model import Scope, explore
from garnetlanding.emulator.group_net import GroupResult, GroupScenario, GroupSimulation
from garnetlanding.peers.limits import SECOND

RESULTS = pathlib.Path(__file__).parent / "results" / "members.md"
LARGE = GroupScenario(instances=40, seeds=3, events=40, length_us=40 * SECOND, all_at_once=True)
HUGE = replace(LARGE, instances=200, events=60, length_us=90 * SECOND, calm_us=30 * SECOND)
GROUPS = {
    "6 heads, 12 events": (GroupScenario(), 1),
    "12 heads, 30 events": (GroupScenario(instances=12, events=30), 1),
    "6 heads, 40 events, 0.4 of messages lost": (
        GroupScenario(events=40, loss=0.4, length_us=30 * SECOND),
        1,
    ),
    "one seed": (GroupScenario(seeds=1, events=20), 1),
    "40 heads, 40 events": (LARGE, 20),
    "200 heads, 60 events": (HUGE, 100),
}
BUDGETS = {
    "3 heads": BudgetScenario(),
    "8 heads": BudgetScenario(instances=8),
    "half is lost": BudgetScenario(loss=0.5),
    "12 faults": BudgetScenario(faults=12),
    "messages 2 s late": BudgetScenario(instances=4, late_us=2 * SECOND, faults=8),
    "window 6 s": BudgetScenario(window_us=6 * SECOND, shift_us=2 * SECOND),
}
ALONE = BudgetScenario(calm=True, other_demand=0.0, shift_us=60 * SECOND, length_us=30 * SECOND)
SCOPES = [
    Scope(moves=9),
    Scope(moves=10, restarts=0),
    Scope(seeds=1, moves=13),
    Scope(instances=4, moves=7, restarts=0),
]


def group_row(name: str, scenario: GroupScenario, results: list[GroupResult]) -> str:
    """Return the line of one group, over its runs."""
    known = sorted(us for result in results for us in result.known_after_us)
    seconds = scenario.length_us / SECOND
    size = sum(result.bytes_sent for result in results) / len(results) / scenario.instances / seconds
    final_sum = sum(result.final_share_sum for result in results) / len(results)
    return (
        f"| {name} | {len(results)} | {sum(result.starts for result in results)} "
        f"| {max(result.max_share_sum for result in results):.4f} "
        f"| {sum(result.agreed for result in results)} | {final_sum:.3f} "
        f"| {known[len(known) // 2] / SECOND:.1f}, {known[-1] / SECOND:.1f} | {size:.0f} |"
    )


def group_rows(seeds: int) -> list[str]:
    """Return the table of groups whose instances join, end, crash and are cut off."""
    lines = [
        "| heads that join, end, crash, are cut off | runs | starts | greatest sum of even parts "
        "| runs with one table at the end | mean sum at the end "
        "| s until all know of a start: median, most "
        "| bytes a head a second |",
        "| --- " * 8 + "|",
    ]
    for name, (scenario, divisor) in GROUPS.items():
        count = max(1, seeds // divisor)
        drawn = track(range(count), name)
        results = [GroupSimulation(replace(scenario, seed=seed)).run() for seed in drawn]
        lines.append(group_row(name, scenario, results))
        print(lines[-1], flush=True)
    return lines


def budget_rows(seeds: int) -> list[str]:
    """Return the table of what all instances spend of a budget within one window."""
    lines = [
        "| budget of a window | runs | greatest part spent within one window, all heads |",
        "| --- | --- | --- |",
    ]
    for name, budget in BUDGETS.items():
        drawn = track(range(seeds), name)
        results = [BudgetSimulation(replace(budget, seed=seed)).run() for seed in drawn]
        lines.append(f"| {name} | {seeds} | {max(result.greatest_sum for result in results):.4f} |")
    usable = sum(BudgetSimulation(replace(ALONE, seed=seed)).run().usable for seed in range(5)) / 5
    note = f"One of three heads alone spends {usable:.3f} of a budget; an even part is 0.333."
    return [*lines, "", note]


def exploration_rows() -> list[str]:
    """Return the table of what was explored whole."""
    lines = [
        "| explored whole | moves | starts anew | states | moves tried | greatest sum "
        "| heads joined at once |",
        "| --- " * 7 + "|",
    ]
    for scope in track(SCOPES, "every course"):
        found = explore(scope)
        lines.append(
            f"| {scope.instances} heads, {scope.seeds} seeds{'' if found.is_complete else ', given up'} "
            f"| {scope.moves} | {scope.restarts} | {found.states} | {found.moves} "
            f"| {found.max_share_sum:.4f} | {found.max_joined} |"
        )
    return lines


def main() -> None:
    """Run everything, print the tables and write them to `RESULTS`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=300)
    seeds = parser.parse_args().seeds
    lines = [
        "# Heads that find each other, and budgets that all share",
        "",
        f"`python -m benchmarks.members --seeds {seeds}`. Runs end with 10 calm s (200 heads: 30).",
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
