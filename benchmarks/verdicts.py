"""What a fleet goes on sending to a server that falls silent, with heads that tell each other and without.

python -m benchmarks.verdicts [--seeds N]        writes benchmarks/results/verdicts.md
"""

from __future__ import annotations

import argparse
import pathlib
from collections.abc import Iterator
from dataclasses import replace

from garnetlanding.emulator.suspicion_model import Scope, explore
from garnetlanding.emulator.suspicion_net import Failure, Scenario, Simulation, avoided_after

SCOPES = (Scope(instances=2, steps=4), Scope(instances=3, steps=2))
HEADS = (4, 8, 16, 32, 64, 100)
RESULTS = pathlib.Path(__file__).parent / "results" / "verdicts.md"


def rows(seeds: int) -> Iterator[list[str]]:
    for heads in HEADS:
        cells: list[list[float]] = []
        for told in (False, True):
            sends, left, served, size, wrong, zone = 0, 0, 0.0, 0, 0, 0.0
            for seed in range(1, seeds + 1):
                net = Scenario(seed=seed, instances=heads, gossip=told)
                seen = Simulation(net).run()
                sends, left = sends + len(seen.attempts), left + avoided_after(net, seen)
                served, size = served + seen.served / seen.requested, size + seen.bytes
                wrong += len(seen.suspected)
                aftermath = (
                    Simulation(replace(net, failing=net.backends // 3, failure=Failure.REFUSING))
                    .run()
                    .aftermath
                )
                zone += aftermath.served / aftermath.requested
            cells.append(
                [
                    sends / seeds,
                    left / seeds / 1e6,
                    served / seeds,
                    size / seeds / heads / (net.length_us / 1e6),
                    wrong,
                    zone / seeds,
                ]
            )
        without, told_ = cells
        yield [
            str(heads),
            f"{without[0]:.0f}",
            f"{told_[0]:.0f}",
            f"{told_[0] / without[0]:.2f}",
            f"{without[1]:.1f}",
            f"{told_[1]:.1f}",
            f"{told_[2] / without[2]:.4f}",
            f"{told_[3]:.0f}",
            f"{told_[4]:.0f}",
            f"{without[5]:.3f}",
            f"{told_[5]:.3f}",
        ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = parser.parse_args().seeds
    names = (
        "heads",
        "sent to it, untold",
        "told",
        "ratio",
        "s until under a tenth, untold",
        "s until under a tenth, told",
        "served, told / untold",
        "bytes a head a second",
        "healthy servers doubted",
        "served in the 10 s after a third of the servers is lost, untold",
        "told",
    )
    lines = ["| " + " | ".join(names) + " |", "| --- " * len(names) + "|"]
    lines += ["| " + " | ".join(row) + " |" for row in rows(seeds)]
    lines += [
        "",
        "| explored whole | steps | states | moves | of them with a doubt | laws broken |",
        "| --- " * 6 + "|",
    ]
    for scope in SCOPES:
        found = explore(scope)
        name = f"{scope.instances} heads{'' if found.whole else ', given up'}"
        lines.append(
            f"| {name} | {scope.steps} | {found.states} | {found.moves} | {found.suspicious} "
            f"| {found.violation or 'none'} |"
        )
    RESULTS.write_text(
        f"""# Verdicts: a server falls silent for 8 s

`python -m benchmarks.verdicts --seeds {seeds}`: simulated, 8 servers, 60 requests a second each,
real decision modules. Means.

"""
        + "\n".join(lines)
        + "\n"
    )
    print("\n".join(lines))


if __name__ == "__main__":
    main()
