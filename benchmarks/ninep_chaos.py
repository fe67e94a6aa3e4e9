"""Long random fault schedules for 9P: `python -m benchmarks.ninep_chaos --seeds 20 --steps 1000`.

Prints a line for each failed seed and writes benchmarks/results/ninep-chaos.md. Exits with 1 if a schedule
violates a rule; the same seed always gives the same schedule.
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


def run_job(job: tuple[int, int]) -> tuple[int, str, Counter[str], float]:
    """Run the schedule of a seed; return the seed, the failure, counts of outcomes, and the duration in s."""
    seed, steps = job
    logging.disable(logging.WARNING)
    started = time.monotonic()
    try:
        outcomes, failure = chaos.run_schedule(seed, steps).outcomes, ""
    except AssertionError as error:
        outcomes, failure = Counter[str](), str(error).splitlines()[0][:200]
    return seed, failure, outcomes, time.monotonic() - started


@click.command()
@click.option("--seeds", default=20, show_default=True, help="How many schedules.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--steps", default=1000, show_default=True, help="Steps of each.")
@click.option("--jobs", default=4, show_default=True, help="Schedules run in parallel.")
def main(seeds: int, first: int, steps: int, jobs: int) -> None:
    """Run the schedules and check them."""
    console = Console()
    work = [(seed, steps) for seed in range(first, first + seeds)]
    total: Counter[str] = Counter()
    failed: list[tuple[int, str]] = []
    total_s = 0.0
    with multiprocessing.Pool(jobs) as pool:
        for seed, failure, outcomes, duration_s in track(
            pool.imap(run_job, work), "schedules", len(work), console=console
        ):
            total += outcomes
            total_s += duration_s
            if failure:
                failed.append((seed, failure))
                console.print(f"seed {seed}: {failure}")
    rows = sorted(total.items())
    lines = [
        "# Random fault schedules for 9P",
        "",
        f"{seeds} schedules from seed {first} on, {steps} steps each ({seeds * steps} in all), "
        f"{total_s:.0f} s of one core; {len(failed)} broke a rule.",
        "",
        "| request and answer | count |",
        "| --- | ---: |",
        *(f"| {outcome} | {count} |" for outcome, count in rows),
    ]
    lines += ["", *(f"- seed {seed}: {failure}" for seed, failure in failed)] if failed else []
    RESULTS.write_text("\n".join(lines) + "\n")
    console.print(f"{seeds * steps} steps, {len(failed)} schedules failed; see {RESULTS.name}")
    raise SystemExit(bool(failed))


if __name__ == "__main__":
    main()
