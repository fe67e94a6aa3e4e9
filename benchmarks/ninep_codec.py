"""Codec time per 9P message, an earlier revision against this tree: `python -m benchmarks.ninep_codec`."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import timeit
import types

import click

from garnetlanding.ninep import codec

ROOT = pathlib.Path(__file__).parent.parent
RESULTS = pathlib.Path(__file__).parent / "results" / "ninep-codec.md"
MESSAGES = {
    "Twrite": (5, 10, b"x" * 4096),
    "Rread": (b"y" * 8192,),
    "Twalk": (1, 2, ("a", "bb", "ccc")),
    "Tread": (1, 2, 3),
    "Tclunk": (4,),
}


@click.command()
@click.option("--base", default="e28e9fc", show_default=True, help="The revision to compare with.")
@click.option("--count", default=5000, show_default=True, help="Messages of each kind, three times.")
def main(base: str, count: int) -> None:
    """Encode and decode each message with both codecs; take the best of three runs."""
    source = subprocess.run(
        ["git", "show", f"{base}:garnetlanding/ninep/codec.py"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    old = types.ModuleType("old_codec")
    sys.modules["old_codec"] = old
    exec(compile(source, "old_codec", "exec"), old.__dict__)
    lines = [
        f"# Codec time per message, {base} against this tree",
        "",
        "| message | before, us | after, us | ratio |",
        "| --- | ---: | ---: | ---: |",
    ]
    for name, fields in MESSAGES.items():
        best = []
        for module in (old, codec):
            message = getattr(module, name)(*fields)

            def round_trip(module: types.ModuleType = module, message: object = message) -> None:
                raw = module.encode(3, message)
                module.decode(raw[4], raw[7:])

            best.append(min(timeit.repeat(round_trip, number=count, repeat=3)) / count * 1e6)
        lines.append(f"| {name} | {best[0]:.1f} | {best[1]:.1f} | {best[1] / best[0]:.2f} |")
    RESULTS.write_text("\n".join(lines) + "\n")
    print("\n".join(lines))


if __name__ == "__main__":
    main()
