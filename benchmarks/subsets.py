"""Compares algorithms that assign subsets of servers to instances; simulates the weight controller.

python -m benchmarks.subsets        writes benchmarks/results/subsets.md and subsets.png
"""

from __future__ import annotations

import math
import pathlib
import random
import time
from bisect import bisect
from collections import Counter
from collections.abc import Callable, Sequence

from garnetlanding.choices.subsets import assign_subsets, weight
from garnetlanding.decision.tuning import MAX_WEIGHT_FACTOR, WEIGHT_EXPONENT, WEIGHT_INTERVAL_US

RESULTS = pathlib.Path(__file__).parent / "results"
Algorithm = Callable[[Sequence[int], Sequence[str], int], dict[int, set[str]]]


def at_random(instances: Sequence[int], servers: Sequence[str], k: int) -> dict[int, set[str]]:
    """Draw each subset at random."""
    return {instance: set(random.Random(instance).sample(list(servers), k)) for instance in instances}


def in_shuffled_rounds(instances: Sequence[int], servers: Sequence[str], k: int) -> dict[int, set[str]]:
    """Deterministic subsets in shuffled rounds (Site Reliability Engineering, chapter 20)."""
    each, found = max(1, len(servers) // k), {}
    for i, instance in enumerate(instances):
        shuffled = list(servers)
        random.Random(i // each).shuffle(shuffled)
        found[instance] = set(shuffled[i % each * k : i % each * k + k])
    return found


def by_weight(instances: Sequence[int], servers: Sequence[str], k: int) -> dict[int, set[str]]:
    """Give each instance the servers of the highest rendezvous weight."""
    return {
        instance: set(sorted(servers, key=lambda s: weight(instance, s), reverse=True)[:k])
        for instance in instances
    }


def on_hash_ring(instances: Sequence[int], servers: Sequence[str], k: int) -> dict[int, set[str]]:
    """Consistent hashing with bounded loads, 1.25 of the mean."""
    points = sorted((weight(i, s), s) for s in servers for i in range(20))
    keys, most = [key for key, _ in points], math.ceil(1.25 * len(instances) * k / len(servers))
    load, found = Counter[str](), {}
    for instance in instances:
        mine: set[str] = set()
        at = bisect(keys, weight(instance, "ring"))
        for step in range(len(points)):
            server = points[(at + step) % len(points)][1]
            if len(mine) < k and server not in mine and load[server] < most:
                mine.add(server)
                load[server] += 1
        found[instance] = mine
    return found


def with_quotas(instances: Sequence[int], servers: Sequence[str], k: int) -> dict[int, set[str]]:
    """Give each instance the highest weights within quotas, as the load balancer does."""
    return assign_subsets(instances, dict.fromkeys(servers, ""), k)


ALGORITHMS: dict[str, Algorithm] = {
    "random": at_random,
    "shuffled rounds": in_shuffled_rounds,
    "highest weight": by_weight,
    "ring, bounded loads": on_hash_ring,
    "highest weight with quotas": with_quotas,
}
SIZES = [(10, 30, 6), (100, 100, 20), (200, 120, 20), (1000, 120, 20), (10_000, 60, 20)]


def new_pairs(before: dict[int, set[str]], after: dict[int, set[str]]) -> int:
    """Return the number of new pairs of an instance and a server."""
    return sum(len(servers - before.get(instance, set())) for instance, servers in after.items())


def row(name: str, algorithm: Algorithm, instances: int, servers: int, k: int) -> tuple[str, float]:
    """Return the table row of one algorithm, and the most instances at a server over their mean."""
    names = [f"s{i}" for i in range(servers)]
    numbers = list(range(instances))
    began = time.perf_counter()
    now = algorithm(numbers, names, k)
    took = time.perf_counter() - began
    per = Counter(server for some in now.values() for server in some)
    loads = [per[name] for name in names]
    joined = new_pairs(now, algorithm([*numbers, instances], names, k))
    more = new_pairs(now, algorithm(numbers, [*names, f"s{servers}"], k))
    fewer = new_pairs(now, algorithm(numbers, [n for n in names if n != "s3"], k))
    least = (k, instances * k // (servers + 1), per["s3"])
    jain = sum(loads) ** 2 / (len(loads) * sum(load * load for load in loads))
    return (
        f"| {instances} x {servers}, {k} each | {name} | {min(loads)} to {max(loads)} | {jain:.4f} "
        f"| {joined} ({least[0]}) | {more} ({least[1]}) | {fewer} ({least[2]}) | {took * 1000:.0f} |",
        max(loads) / (sum(loads) / len(loads)),
    )


def simulate_weight_controller(
    gain: float, delay_s: float, instances: int, seconds: int = 120
) -> tuple[float, float]:
    """Return the overshoot and the settling time of a volume that gets twice its plan's rate.

    The overshoot is of the logarithm, over the first error; the time is in seconds, until it stays within a
    tenth. Every instance adjusts its weight by the same delayed figure, each at its own time.
    """
    every, step, most = WEIGHT_INTERVAL_US / 1e6, 0.1, math.log(MAX_WEIGHT_FACTOR)
    weights = [math.log(2.0)] * instances
    past: list[float] = []
    worst, settled = 0.0, 0.0
    for tick in range(int(seconds / step)):
        now = tick * step
        past.append(sum(weights) / instances)  # what the volume gets follows its weights at all instances
        seen = past[max(0, len(past) - 1 - int(delay_s / step))]
        for i in range(instances):
            if int(now / every + i / instances) != int((now - step) / every + i / instances):
                weights[i] = min(most, max(-most, weights[i] - gain * seen))
        worst = max(worst, -past[-1] / math.log(2.0))
        if abs(past[-1]) > 0.1 * math.log(2.0):
            settled = now
    return worst, settled


def draw(spread: dict[str, list[tuple[int, float]]]) -> None:
    """Draw how unevenly each algorithm loads the servers, by number of instances."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, points in spread.items():
        axes.plot([x for x, _ in points], [y for _, y in points], marker="o", label=name)
    axes.set_xscale("log")
    axes.set_xlabel("heads")
    axes.set_ylabel("most heads at a server / mean")
    axes.legend()
    figure.tight_layout()
    figure.savefig(RESULTS / "subsets.png", dpi=110)


def main() -> None:
    """Compare all algorithms, print the tables and write them to `RESULTS`."""
    lines = [
        "# Subsets, and the weight's step",
        "",
        "`python -m benchmarks.subsets`. Pairs that a change makes anew, beside the least possible.",
        "",
        "| heads x servers | way | heads at a server | Jain's index | a head more | a server more "
        "| a server less | ms |",
        "| --- " * 8 + "|",
    ]
    spread: dict[str, list[tuple[int, float]]] = {}
    for heads, servers, k in SIZES:
        for name, algorithm in ALGORITHMS.items():
            line, most = row(name, algorithm, heads, servers, k)
            lines.append(line)
            spread.setdefault(name, []).append((heads, most))
            print(line, flush=True)
    draw(spread)
    lines += [
        "",
        f"The weight's step every {WEIGHT_INTERVAL_US / 1e6:g} s; as built the gain is {WEIGHT_EXPONENT:g}. "
        "Overshoot of the first error, and seconds until a tenth is left ('-': not in 120 s).",
        "",
        "| figure late by | heads | " + " | ".join(f"gain {gain}" for gain in (1.0, 0.5, 0.25)) + " |",
        "| --- " * 5 + "|",
    ]
    for delay in (0.2, 1, 2.5, 5, 8.3):
        for heads in (1, 3, 10, 100):
            cells = []
            for gain in (1.0, 0.5, 0.25):
                over, settled = simulate_weight_controller(gain, delay, heads)
                cells.append(f"{over:.2f}, {'-' if settled > 110 else f'{settled:.0f}'}")
            lines.append(f"| {delay} s | {heads} | " + " | ".join(cells) + " |")
    (RESULTS / "subsets.md").write_text("\n".join(lines) + "\n")
    print("\n".join(lines[-24:]))


if __name__ == "__main__":
    main()
