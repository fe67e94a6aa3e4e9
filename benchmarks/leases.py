"""How far over a limit a fleet can be, and how much of it the busiest head can use.

    python -m benchmarks.leases [SEEDS]

Simulated clocks and networks (garnetlanding/emulator/lease_net.py); the numbers of seeds are arguments.
"""

from __future__ import annotations

import json
import pathlib
import sys
from dataclasses import replace

from rich.progress import track

from garnetlanding.emulator.lease_model import Scope, explore
from garnetlanding.emulator.lease_net import SECOND, Scenario, Simulation

NETS = {
    "3 heads, 2 hosts": Scenario(),
    "3 heads, 3 hosts": Scenario(hosts=3),
    "8 heads, 3 hosts": Scenario(instances=8, hosts=3),
    "3 heads, half is lost": Scenario(loss=0.5),
    "3 heads, 12 faults": Scenario(faults=12),
    "3 heads, messages 2 s late": Scenario(late_us=2 * SECOND),
    "40 heads, 3 hosts": Scenario(instances=40, hosts=3, length_us=6 * SECOND),
}
STEADY = Scenario(calm=True, other_demand=0.0, shift_us=600 * SECOND, length_us=60 * SECOND)
USE = {
    "one head has all the traffic, 3 heads": STEADY,
    "the same, 8 heads": replace(STEADY, instances=8, hosts=3),
    "the busiest changes every 12 s": replace(STEADY, shift_us=12 * SECOND),
    "the same, a tenth is lost": replace(STEADY, shift_us=12 * SECOND, calm=False, faults=0),
}

SCOPES = [Scope(steps=4, starts=0), Scope(steps=3, starts=1), Scope(hosts=3, steps=3, starts=0)]


def main(seeds: int) -> None:
    head = "| 12 s, 4 faults each | seeds | greatest sum of parts | states | bytes a head a second |"
    lines = [head, "| --- | --- | --- | --- | --- |"]
    for name, net in NETS.items():
        count = seeds // 20 if net.instances >= 40 else seeds
        seen = [Simulation(replace(net, seed=seed)).run() for seed in track(range(count), name)]
        states = len(set().union(*(s.states for s in seen)))
        size = sum(s.bytes for s in seen) / count / net.instances / (net.length_us / SECOND)
        lines.append(
            f"| {name} | {count} | {max(s.greatest_sum for s in seen):.4f} | {states} | {size:.0f} |"
        )
    lines += [
        "",
        "| share of a bought limit that the busiest head can use | fixed parts | leases |",
        "| --- | --- | --- |",
    ]
    for name, net in USE.items():
        seen = [Simulation(replace(net, seed=seed)).run() for seed in range(5)]
        lines.append(f"| {name} | {1 / net.hosts:.2f} | {sum(s.usable for s in seen) / 5:.3f} |")
    lines += [
        "",
        "| explored whole, 3 heads | steps | starts | states | moves | greatest sum of parts |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for scope in track(SCOPES, "every course"):
        found = explore(scope)
        lines.append(
            f"| {scope.hosts} hosts{'' if found.whole else ', given up'} | {scope.steps} "
            f"| {scope.starts} | {found.states} | {found.moves} | {found.greatest_sum:.4f} |"
        )
    text = "\n".join(lines) + "\n"
    print(text)
    pathlib.Path(__file__).with_name("results").joinpath("leases.md").write_text("# Leases\n\n" + text)
    print(json.dumps({"seeds": seeds}))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 400)
