"""How far a fleet can exceed a limit, and how much of it the busiest instance can use.

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
from garnetlanding.emulator.lease_simulation import SECOND, Scenario, Simulation

RESULTS = pathlib.Path(__file__).parent / "results" / "leases.md"
FAULTS = {
    "3 instances, 2 hosts": Scenario(),
    "3 instances, 3 hosts": Scenario(hosts=3),
    "8 instances, 3 hosts": Scenario(instances=8, hosts=3),
    "3 instances, half of the messages lost": Scenario(loss=0.5),
    "3 instances, 12 faults": Scenario(faults=12),
    "3 instances, messages up to 2 s late": Scenario(late_us=2 * SECOND),
    "40 instances, 3 hosts": Scenario(instances=40, hosts=3, length_us=6 * SECOND),
}
LARGE = 40  # instances; from this size on, a twentieth of the seeds is run
STEADY = Scenario(calm=True, other_demand=0.0, shift_us=600 * SECOND, length_us=60 * SECOND)
USE = {
    "one instance has all the traffic, 3 instances": STEADY,
    "the same, 8 instances": replace(STEADY, instances=8, hosts=3),
    "the busiest changes every 12 s": replace(STEADY, shift_us=12 * SECOND),
    "the same, a tenth of the messages lost": replace(STEADY, shift_us=12 * SECOND, calm=False, faults=0),
}
USE_SEEDS = 5
# Columns of the results, which benchmarks/figures.py reads.
GREATEST_SUM = "greatest sum of quotas"
EVEN_QUOTA = "even quota"
LEASES = "leases"
SCOPES = [Scope(steps=4, starts=0), Scope(steps=3, starts=1), Scope(hosts=3, steps=3, starts=0)]


def fault_rows(seeds: int) -> list[str]:
    """Return the table of the greatest sums of quotas under faults."""
    rows = [
        f"| 12 s, 4 faults each | seeds | {GREATEST_SUM} | states | bytes per instance and second |",
        "| --- | --- | --- | --- | --- |",
    ]
    for name, scenario in FAULTS.items():
        count = seeds // 20 if scenario.instances >= LARGE else seeds
        results = [Simulation(replace(scenario, seed=seed)).run() for seed in track(range(count), name)]
        states = len(set().union(*(result.states for result in results)))
        greatest = max(result.max_sum for result in results)
        seconds = scenario.length_us / SECOND
        size = sum(result.bytes for result in results) / count / scenario.instances / seconds
        rows.append(f"| {name} | {count} | {greatest:.4f} | {states} | {size:.0f} |")
    return rows


def use_rows() -> list[str]:
    """Return the table of how much of the limit the busiest instance can use."""
    rows = [
        f"| fraction of the limit that the busiest instance can use | {EVEN_QUOTA} | {LEASES} |",
        "| --- | --- | --- |",
    ]
    for name, scenario in USE.items():
        results = [Simulation(replace(scenario, seed=seed)).run() for seed in range(USE_SEEDS)]
        utilization = sum(result.utilization for result in results) / USE_SEEDS
        rows.append(f"| {name} | {1 / scenario.hosts:.2f} | {utilization:.3f} |")
    return rows


def exploration_rows() -> list[str]:
    """Return the table of the scopes that are explored exhaustively."""
    rows = [
        f"| explored exhaustively, 3 instances | steps | restarts | states | moves | {GREATEST_SUM} |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for scope in track(SCOPES, "exploration"):
        found = explore(scope)
        name = f"{scope.hosts} hosts{'' if found.is_complete else ', given up'}"
        rows.append(
            f"| {name} | {scope.steps} | {scope.starts} | {found.states} | {found.transitions} "
            f"| {found.max_sum:.4f} |"
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
