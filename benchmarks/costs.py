"""CPU, memory and messages that the optional subsystems cost per instance, measured on real processes.

python -m benchmarks.costs [SEEDS]        writes benchmarks/results/costs.md
"""

from __future__ import annotations

import pathlib
import sys
import tempfile
from dataclasses import replace
from typing import Any

from garnetlanding.lab.experiment import Experiment, Workload
from garnetlanding.lab.limits import SECOND
from garnetlanding.lab.run import run

RESULTS = pathlib.Path(__file__).parent / "results" / "costs.md"
BASE = Experiment(
    "costs",
    1,
    4,
    4,
    15 * SECOND,
    Workload(volumes=6, requests_per_s=200.0, busiest_fraction=0.6),
    peer_links=False,
)
VARIANTS: dict[str, dict[str, Any]] = {
    "without": {},
    "verdicts and bans": {"peer_links": True},
    "and budgets": {"peer_links": True, "quota_leases": True},
    "and heads that find each other": {"peer_links": True, "quota_leases": True, "seed_instances": 2},
    "and the audit": {"peer_links": True, "quota_leases": True, "seed_instances": 2, "audit": True},
    "and subsets": {
        "peer_links": True,
        "quota_leases": True,
        "seed_instances": 2,
        "audit": True,
        "choices": {"subset": 2},
    },
}


def main(seeds: int) -> None:
    """Run every variant with the given number of seeds, and write the table."""
    cpu: dict[str, float] = dict.fromkeys(VARIANTS, 0.0)
    memory, messages = dict(cpu), dict(cpu)
    for seed in range(1, seeds + 1):
        for name, changes in VARIANTS.items():
            with tempfile.TemporaryDirectory() as folder:
                result = run(replace(BASE, seed=seed, **changes), pathlib.Path(folder) / "run")
            costs = list(result.usage.values())
            cpu[name] += sum(used.cpu_s for used in costs) / len(costs) / seeds
            memory[name] += sum(used.memory_mb for used in costs) / len(costs) / seeds
            messages[name] += (
                result.network_counts.get("arrived", 0) / BASE.instances / (BASE.duration_us / SECOND) / seeds
            )
    first = next(iter(VARIANTS))
    lines = [
        "# What the fleet's parts cost a head",
        "",
        f"`python -m benchmarks.costs {seeds}`: four real heads, 200 requests a second, {seeds} seeds; "
        "start and histories included in all.",
        "",
        "| on | CPU, beside without | memory, MB | beside without | messages a head a second |",
        "| --- " * 5 + "|",
    ]
    for name in VARIANTS:
        lines.append(
            f"| {name} | {cpu[name] / cpu[first]:.2f} | {memory[name]:.1f} "
            f"| {memory[name] / memory[first]:.2f} | {messages[name]:.0f} |"
        )
    RESULTS.write_text("\n".join(lines) + "\n")
    print("\n".join(lines))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 3)
