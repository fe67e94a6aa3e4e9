"""The three troubles of a large fleet by number of heads: worth served, and sums over all heads.

    python -m benchmarks.fleet [--heads 4,10,40,100] [--seeds 1,2,3] [--json FILE]

Writes a table to standard output. Days are drawn by seed on a fake clock, so that the figures are the same
on every machine; compare two versions of the module by running each on the same seeds. Load, bricks and
volumes stay the same whatever the number of heads: more heads see less each.
"""

from __future__ import annotations

import json
from dataclasses import asdict

import click

from garnetlanding.emulator.fleet import Tally, play

KINDS = ("herd", "zone", "join")


def numbers(text: str) -> list[int]:
    try:
        return [int(part) for part in text.split(",")]
    except ValueError:
        raise click.BadParameter(f"not whole numbers with commas between: {text!r}") from None


def row(kind: str, heads: int, tallies: list[Tally]) -> str:
    n = len(tallies)
    return (
        f"| {kind} | {heads} | {sum(t.served for t in tallies) / n:.3f} "
        f"| {sum(t.calls for t in tallies) / n:.0f} | {sum(t.calls_failed for t in tallies) / n:.0f} "
        f"| {sum(t.handshakes for t in tallies) / n:.0f} | {max(t.cold_peak for t in tallies):.2f} "
        f"| {max(t.worst_queue for t in tallies)} |"
    )


@click.command()
@click.option("--heads", default="4,10,40,100", show_default=True, help="How many heads, day by day.")
@click.option("--seeds", default="1,2,3", show_default=True, help="Days of each kind.")
@click.option("--bricks", default=60, show_default=True, type=click.IntRange(4, 500))
@click.option("--json", "json_file", type=click.File("w"), help="Write every day's figures there too.")
def main(heads: str, seeds: str, bricks: int, json_file: click.utils.LazyFile | None) -> None:
    """Play the days and print the table."""
    days = []
    print("| kind | heads | worth served | list calls | failed | handshakes | cold peak | worst queue |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for kind in KINDS:
        for count in numbers(heads):
            tallies = [play(kind, count, seed, bricks=bricks) for seed in numbers(seeds)]
            for seed, tally in zip(numbers(seeds), tallies, strict=True):
                if tally.unanswered or tally.twice:
                    raise click.ClickException(f"{kind} {count} {seed}: a rule was broken: {tally}")
                day = {"kind": kind, "heads": count, "seed": seed, "served": tally.served}
                days.append(day | asdict(tally))
            print(row(kind, count, tallies), flush=True)
    if json_file:
        json.dump(days, json_file, indent=1)


if __name__ == "__main__":
    main()
