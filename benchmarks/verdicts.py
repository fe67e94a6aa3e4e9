"""Measures what a fleet sends to a backend that has stopped responding, with gossip and without.

python -m benchmarks.verdicts [--seeds N]        writes benchmarks/results/verdicts.md
"""

from __future__ import annotations

import argparse
import pathlib
from collections.abc import Iterator
from dataclasses import dataclass, replace

from garnetlanding.emulator.suspicion_model import Scope, explore
from garnetlanding.emulator.suspicion_simulation import (
    SECOND,
    Failure,
    Scenario,
    Simulation,
    time_to_avoidance_us,
)

SCOPES = (Scope(instances=2, steps=4), Scope(instances=3, steps=2))
INSTANCES = (4, 8, 16, 32, 64, 100)
RESULTS = pathlib.Path(__file__).parent / "results" / "verdicts.md"
# Columns of the results, which benchmarks/figures.py reads.
SECONDS_UNTIL_AVOIDED = (
    "s until under a tenth of the attempts, without gossip",
    "s until under a tenth of the attempts, with gossip",
)
COLUMNS = (
    "instances",
    "attempts at the failed backend, without gossip",
    "with gossip",
    "ratio",
    *SECONDS_UNTIL_AVOIDED,
    "served, with / without gossip",
    "bytes per instance and second",
    "healthy backends suspected",
    "fraction served in the 10 s after a third of the backends fails, without gossip",
    "with gossip",
)
EXPLORATION_COLUMNS = (
    "explored exhaustively",
    "steps",
    "states",
    "moves",
    "states with a suspicion",
    "violated invariants",
)


@dataclass(slots=True)
class Totals:
    """Sums over all seeds of one fleet."""

    attempts: int = 0  # at the failed backend
    avoided_after_us: int = 0
    served_fraction: float = 0.0
    bytes: int = 0
    suspected: int = 0  # healthy backends
    served_fraction_after_zone_loss: float = 0.0  # a third of the backends refuses connections


def measure(instances: int, seeds: int, *, gossip: bool) -> Totals:
    """Simulate a fleet of `instances` once for each seed."""
    totals = Totals()
    for seed in range(1, seeds + 1):
        scenario = Scenario(seed=seed, instances=instances, gossip=gossip)
        result = Simulation(scenario).run()
        totals.attempts += len(result.attempts)
        totals.avoided_after_us += time_to_avoidance_us(scenario, result)
        totals.served_fraction += result.served / result.requested
        totals.bytes += result.bytes
        totals.suspected += len(result.suspected)
        zone_loss = replace(scenario, failing=scenario.backends // 3, failure=Failure.REFUSING)
        after_failure = Simulation(zone_loss).run().after_failure
        totals.served_fraction_after_zone_loss += after_failure.served / after_failure.requested
    return totals


def rows(seeds: int) -> Iterator[list[str]]:
    """Yield the cells of each fleet's row."""
    seconds = Scenario().length_us / SECOND
    for instances in INSTANCES:
        without_gossip = measure(instances, seeds, gossip=False)
        with_gossip = measure(instances, seeds, gossip=True)
        yield [
            str(instances),
            f"{without_gossip.attempts / seeds:.0f}",
            f"{with_gossip.attempts / seeds:.0f}",
            f"{with_gossip.attempts / without_gossip.attempts:.2f}",
            f"{without_gossip.avoided_after_us / seeds / SECOND:.1f}",
            f"{with_gossip.avoided_after_us / seeds / SECOND:.1f}",
            f"{with_gossip.served_fraction / without_gossip.served_fraction:.4f}",
            f"{with_gossip.bytes / seeds / instances / seconds:.0f}",
            f"{with_gossip.suspected:.0f}",
            f"{without_gossip.served_fraction_after_zone_loss / seeds:.3f}",
            f"{with_gossip.served_fraction_after_zone_loss / seeds:.3f}",
        ]


def exploration_rows() -> Iterator[list[str]]:
    """Yield the cells of each explored scope's row."""
    for scope in SCOPES:
        found = explore(scope)
        yield [
            f"{scope.instances} instances{'' if found.is_complete else ', given up'}",
            str(scope.steps),
            str(found.states),
            str(found.transitions),
            str(found.suspicious_states),
            found.violation or "none",
        ]


def table(columns: tuple[str, ...], cells: Iterator[list[str]]) -> list[str]:
    """Return the lines of a Markdown table."""
    lines = ["| " + " | ".join(columns) + " |", "| --- " * len(columns) + "|"]
    return lines + ["| " + " | ".join(row) + " |" for row in cells]


def main() -> None:
    """Run everything, print the tables and write them to `RESULTS`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = parser.parse_args().seeds
    lines = [*table(COLUMNS, rows(seeds)), "", *table(EXPLORATION_COLUMNS, exploration_rows())]
    RESULTS.write_text(
        f"""# Suspicions: a backend is unresponsive for 8 s

`python -m benchmarks.verdicts --seeds {seeds}`: simulated, 8 backends, 60 requests a second each,
real decision modules. Means.

"""
        + "\n".join(lines)
        + "\n"
    )
    print("\n".join(lines))


if __name__ == "__main__":
    main()
