"""How far over a limit a fleet can be, and how much of it the busiest instance can use.

    python -m benchmarks.leases [SEEDS]        writes benchmarks/results/leases.md

Simulated clocks and networks (garnetlanding/emulator/lease_net.py); the number of seeds is an argument.
"""

from __future__ import annotations

import json
import pathlib
import sys
from dataclasses import replace

from rich.progress import track

from garnetlanding.emulator.lease_model import Scope, explore
from garnetlanding.emulator.lease_net import SECOND, Scenario, Simulation

RESULTS = pathlib.Path(__file__).parent / "results" / "leases.md"
FAULTS = {
    "3 heads, 2 hosts": Scenario(),
    "3 heads, 3 hosts": Scenario(hosts=3),
    "8 heads, 3 hosts": Scenario(instances=8, hosts=3),
    "3 heads, half is lost": Scenario(loss=0.5),
    "3 heads, 12 faults": Scenario(faults=12),
    "3 heads, messages 2 s late": Scenario(late_us=2 * SECOND),
    "40 heads, 3 hosts": Scenario(instances=40, hosts=3, length_us=6 * SECOND),
}
LARGE = 40  # instances, from which on a twentieth of the seeds is run
STEADY = Scenario(calm=True, other_demand=0.0, shift_us=600 * SECOND, length_us=60 * SECOND)
USE = {
    "one head has all the traffic, 3 heads": STEADY,
    "the same, 8 heads": replace(STEADY, instances=8, hosts=3),
    "the busiest changes every 12 s": replace(STEADY, shift_us=12 * SECOND),
    "the same, a tenth is lost": replace(STEADY, shift_us=12 * SECOND, calm=False, faults=0),
}
USE_SEEDS = 5
SCOPES = [Scope(steps=4, starts=0), Scope(steps=3, starts=1), Scope(hosts=3, steps=3, starts=0)]


def fault_rows(seeds: int) -> list[str]:
    """Return the table of the greatest sums of shares under faults."""
    rows = [
        "| 12 s, 4 faults each | seeds | greatest sum of parts | states | bytes a head a second |",
        "| --- | --- | --- | --- | --- |",
    ]
    for name, scenario in FAULTS.items():
        count = seeds // 20 if scenario.instances >= LARGE else seeds
        results = [Simulation(replace(scenario, seed=seed)).run() for seed in track(range(count), name)]
        states = len(set().union(*(result.states for result in results)))
        greatest = max(result.greatest_sum for result in results)
        seconds = scenario.length_us / SECOND
        size = sum(result.bytes for result in results) / count / scenario.instances / seconds
        rows.append(f"| {name} | {count} | {greatest:.4f} | {states} | {size:.0f} |")
    return rows


def use_rows() -> list[str]:
    """Return the table of how much of the limit the busiest instance can use."""
    rows = [
        "| share of a bought limit that the busiest head can use | fixed parts | leases |",
        "| --- | --- | --- |",
    ]
    for name, scenario in USE.items():
        results = [Simulation(replace(scenario, seed=seed)).run() for seed in range(USE_SEEDS)]
        utilization = sum(result.utilization for result in results) / USE_SEEDS
        rows.append(f"| {name} | {1 / scenario.hosts:.2f} | {utilization:.3f} |")
    return rows


def exploration_rows() -> list[str]:
    """Return the table of what was explored whole."""
    rows = [
        "| explored whole, 3 heads | steps | starts | states | moves | greatest sum of parts |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for scope in track(SCOPES, "every course"):
        found = explore(scope)
        name = f"{scope.hosts} hosts{'' if found.is_complete else ', given up'}"
        rows.append(
            f"| {name} | {scope.steps} | {scope.starts} | {found.states} | {found.moves} "
            f"| {found.greatest_sum:.4f} |"
        )
    return rows


def main(seeds: int) -> None:
    """Run everything, print the tables and write them to `RESULTS`."""
    tables = [fault_rows(seeds), use_rows(), exploration_rows()]
    text = "\n\n".join("\n".join(table) for table in tables) + "\n"
    print(text)
    RESULTS.write_text("# Leases\n\n" + text)
    print(json.dumps({"seeds": seeds}))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 400)
