"""The three faults of a large fleet by number of instances: value served, and totals over all instances.

    python -m benchmarks.fleet [--heads 4,10,40,100] [--seeds 1,2,3] [--json FILE]

Writes a table to standard output. Days are generated from a seed and simulated, so the figures are the same
on every machine; compare two versions of the decision module by running each with the same seeds. Load,
backends and volumes are the same for any number of instances: the more instances, the less each one sees.
"""

from __future__ import annotations

import json
from typing import TextIO

import click

from garnetlanding.emulator.fleet import FleetFault, FleetTotals, simulate_fleet

FAULTS = (FleetFault.HERD, FleetFault.ZONE, FleetFault.JOIN)


def parse_integers(text: str) -> list[int]:
    """Parse integers separated by commas. Raises `click.BadParameter`."""
    try:
        return [int(part) for part in text.split(",")]
    except ValueError:
        raise click.BadParameter(f"not integers separated by commas: {text!r}") from None


def row(fault: FleetFault, instances: int, tallies: list[FleetTotals]) -> str:
    """Return the table row of days that differ only in their seed: means, and maxima of the peaks."""
    days = len(tallies)
    cells = (
        fault.value,
        str(instances),
        f"{sum(tally.served_share for tally in tallies) / days:.3f}",
        f"{sum(tally.list_calls for tally in tallies) / days:.0f}",
        f"{sum(tally.list_calls_failed for tally in tallies) / days:.0f}",
        f"{sum(tally.handshakes for tally in tallies) / days:.0f}",
        f"{max(tally.max_warmup_load for tally in tallies):.2f}",
        str(max(tally.max_queue for tally in tallies)),
    )
    return f"| {' | '.join(cells)} |"


def day_record(fault: FleetFault, instances: int, seed: int, tally: FleetTotals) -> dict[str, object]:
    """Return the figures of a day under their names in the JSON file."""
    return {
        "kind": fault.value,
        "heads": instances,
        "seed": seed,
        "served": tally.served_share,
        "asked": tally.requested_value,
        "earned": tally.earned_value,
        "calls": tally.list_calls,
        "calls_failed": tally.list_calls_failed,
        "handshakes": tally.handshakes,
        "worst_queue": tally.max_queue,
        "cold_peak": tally.max_warmup_load,
        "unanswered": tally.unanswered,
        "twice": tally.answered_twice,
    }


@click.command()
@click.option("--heads", default="4,10,40,100", show_default=True, help="Numbers of instances to simulate.")
@click.option("--seeds", default="1,2,3", show_default=True, help="Seeds, one day each.")
@click.option("--bricks", default=60, show_default=True, type=click.IntRange(4, 500))
@click.option(
    "--json", "json_file", type=click.File("w"), help="Also write the figures of every day to this file."
)
def main(heads: str, seeds: str, bricks: int, json_file: TextIO | None) -> None:
    """Simulate the days and print the table."""
    days = []
    print("| kind | heads | worth served | list calls | failed | handshakes | cold peak | worst queue |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for fault in FAULTS:
        for instances in parse_integers(heads):
            tallies = [
                simulate_fleet(fault.value, instances, seed, backends=bricks)
                for seed in parse_integers(seeds)
            ]
            for seed, tally in zip(parse_integers(seeds), tallies, strict=True):
                if tally.unanswered or tally.answered_twice:
                    raise click.ClickException(
                        f"{fault.value} {instances} {seed}: an invariant was violated: {tally}"
                    )
                days.append(day_record(fault, instances, seed, tally))
            print(row(fault, instances, tallies), flush=True)
    if json_file:
        json.dump(days, json_file, indent=1)


if __name__ == "__main__":
    main()
