"""Long random fault schedules for 9P: `python -m benchmarks.ninep_chaos --seeds 20 --steps 1000`.

Prints a line a seed and writes benchmarks/results/ninep-chaos.md. Exits 1 when a schedule breaks a rule; the
same seed plays the same schedule again.
"""

from __future__ import annotations

import logging
import multiprocessing
import pathlib
import time
from collections import Counter

import click
from rich.console import Console
from rich.progress import track

from tests.ninep import random_fault_schedules as chaos

RESULTS = pathlib.Path(__file__).parent / "results" / "ninep-chaos.md"


def play(job: tuple[int, int]) -> tuple[int, str, Counter[str], float]:
    """Play a schedule of that seed and steps; return the seed, why it failed, its counts and its seconds."""
    seed, steps = job
    logging.disable(logging.WARNING)
    began = time.monotonic()
    try:
        told, why = chaos.run_schedule(seed, steps).outcomes, ""
    except AssertionError as broken:
        told, why = Counter[str](), str(broken).splitlines()[0][:200]
    return seed, why, told, time.monotonic() - began


@click.command()
@click.option("--seeds", default=20, show_default=True, help="How many schedules.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--steps", default=1000, show_default=True, help="Steps of each.")
@click.option("--jobs", default=4, show_default=True, help="Schedules played side by side.")
def main(seeds: int, first: int, steps: int, jobs: int) -> None:
    """Play schedules and check them."""
    console = Console()
    work = [(seed, steps) for seed in range(first, first + seeds)]
    total: Counter[str] = Counter()
    failed: list[tuple[int, str]] = []
    spent = 0.0
    with multiprocessing.Pool(jobs) as pool:
        for seed, why, told, took in track(pool.imap(play, work), "schedules", len(work), console=console):
            total += told
            spent += took
            if why:
                failed.append((seed, why))
                console.print(f"seed {seed}: {why}")
    rows = sorted(total.items())
    lines = [
        "# Random fault schedules for 9P",
        "",
        f"{seeds} schedules from seed {first} on, {steps} steps each ({seeds * steps} in all), "
        f"{spent:.0f} s of one core; {len(failed)} broke a rule.",
        "",
        "| request and answer | count |",
        "| --- | ---: |",
        *(f"| {k} | {n} |" for k, n in rows),
    ]
    lines += ["", *(f"- seed {seed}: {why}" for seed, why in failed)] if failed else []
    RESULTS.write_text("\n".join(lines) + "\n")
    console.print(f"{seeds * steps} steps, {len(failed)} schedules failed; see {RESULTS.name}")
    raise SystemExit(bool(failed))


if __name__ == "__main__":
    main()
