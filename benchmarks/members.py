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


def group_row(name: str, net: GroupScenario, seen: list[GroupResult]) -> str:
    known = sorted(us for s in seen for us in s.known_after_us)
    size = sum(s.bytes_sent for s in seen) / len(seen) / net.instances / (net.length_us / SECOND)
    return (
        f"| {name} | {len(seen)} | {sum(s.starts for s in seen)} | {max(s.max_share_sum for s in seen):.4f} "
        f"| {sum(s.agreed for s in seen)} | {sum(s.final_share_sum for s in seen) / len(seen):.3f} "
        f"| {known[len(known) // 2] / SECOND:.1f}, {known[-1] / SECOND:.1f} | {size:.0f} |"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=300)
    seeds = parser.parse_args().seeds
    lines = [
        "# Heads that find each other, and budgets that all share",
        "",
        f"`python -m benchmarks.members --seeds {seeds}`. Runs end with 10 calm s (200 heads: 30).",
        "",
        "| heads that join, end, crash, are cut off | runs | starts | greatest sum of even parts "
        "| runs with one table at the end | mean sum at the end "
        "| s until all know of a start: median, most "
        "| bytes a head a second |",
        "| --- " * 8 + "|",
    ]
    for name, (net, divided) in GROUPS.items():
        count = max(1, seeds // divided)
        seen = [GroupSimulation(replace(net, seed=seed)).run() for seed in track(range(count), name)]
        lines.append(group_row(name, net, seen))
        print(lines[-1], flush=True)
    lines += [
        "",
        "| budget of a window | runs | greatest part spent within one window, all heads |",
        "| --- | --- | --- |",
    ]
    for name, budget in BUDGETS.items():
        spent = [BudgetSimulation(replace(budget, seed=seed)).run() for seed in track(range(seeds), name)]
        lines.append(f"| {name} | {seeds} | {max(s.greatest_sum for s in spent):.4f} |")
    usable = sum(BudgetSimulation(replace(ALONE, seed=seed)).run().usable for seed in range(5)) / 5
    lines += [
        "",
        f"One of three heads alone spends {usable:.3f} of a budget; an even part is 0.333.",
        "",
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
    RESULTS.write_text("\n".join(lines) + "\n")
    print("\n".join(lines))


if __name__ == "__main__":
    main()
