"""Charts of a run, by matplotlib (of the tools that CI has, not of those that a head needs)."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence

from garnetlanding.lab.figures import ANSWERS, Second, percentile

COLOURS = dict(zip(ANSWERS, ("#2a7f62", "#e0a030", "#b03030", "#707070", "#303030"), strict=True))


def draw(
    folder: pathlib.Path, rows: Sequence[Second], parts: dict[tuple[str, str], list[tuple[float, float]]]
) -> list[pathlib.Path]:
    """Answers and latency by second, with the faults; the parts of each limited volume. Gives back the files.
    Raises ImportError where matplotlib is not there."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    drawn = []
    figure, (answers, latency) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    at, floor = [row.number for row in rows], [0] * len(rows)
    for name in ANSWERS:
        counts = [row.outcomes[name] for row in rows]
        if any(counts):
            answers.bar(at, counts, bottom=floor, color=COLOURS[name], label=name, width=1, align="edge")
            floor = [a + b for a, b in zip(floor, counts, strict=True)]
    answers.set_ylabel("answers a second")
    answers.legend(loc="upper right", fontsize=8)
    for share, style in ((0.5, "-"), (0.99, "--")):
        latency.step(
            at,
            [percentile(row.took_us, share) or 0 for row in rows],
            style,
            where="post",
            color="#2a4f8f",
            label=f"served, {share:.0%} within",
        )
    latency.set_ylabel("ms")
    latency.set_xlabel("seconds after the clients began")
    latency.legend(loc="upper right", fontsize=8)
    for row in rows:
        for i, fault in enumerate(row.faults):
            answers.axvline(row.number, color="black", linewidth=0.6)
            answers.annotate(
                fault,
                (row.number, max(floor)),
                fontsize=7,
                rotation=90,
                va="top",
                xytext=(2 + 9 * i, 0),
                textcoords="offset points",
            )
    drawn.append(folder / "answers.png")
    figure.savefig(drawn[-1], dpi=120)
    pyplot.close(figure)
    if parts:
        volumes = sorted({volume for volume, _ in parts})
        figure, axes = pyplot.subplots(
            len(volumes), 1, sharex=True, squeeze=False, figsize=(9, 1 + 1.4 * len(volumes))
        )
        end = float(len(rows))
        for axis, volume in zip(axes[:, 0], volumes, strict=True):
            for (of, head), steps in sorted(parts.items()):
                if of == volume:
                    axis.step(
                        [*(at for at, _ in steps), end],
                        [*(part for _, part in steps), steps[-1][1]],
                        where="post",
                        label=head,
                    )
            axis.set_ylabel(volume[-4:], fontsize=8)
            axis.set_ylim(-0.05, 1.05)
            axis.legend(loc="upper right", fontsize=7)
        axes[-1, 0].set_xlabel("seconds after the clients began")
        axes[0, 0].set_title("part of each volume's limit that a head believes its own", fontsize=9)
        drawn.append(folder / "parts.png")
        figure.savefig(drawn[-1], dpi=120)
        pyplot.close(figure)
    return drawn
