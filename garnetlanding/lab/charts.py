"""Charts of a run, drawn by matplotlib. For experiments only; an instance does not need the library."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence
from typing import Any

from garnetlanding.lab.time_series import OUTCOMES, QuotaSeries, SecondSummary, percentile_ms

COLOURS = dict(zip(OUTCOMES, ("#2a7f62", "#e0a030", "#b03030", "#707070", "#303030"), strict=True))
_LATENCY_STYLES = ((0.5, "-"), (0.99, "--"))
_LATENCY_COLOUR = "#2a4f8f"
_DPI = 120
_TIME_LABEL = "seconds after the clients started"


def draw(folder: pathlib.Path, rows: Sequence[SecondSummary], quotas: QuotaSeries) -> list[pathlib.Path]:
    """Draw responses and latency per second, with the faults, and the quotas of each limited volume.

    Returns the paths of the charts. Raises ImportError if matplotlib is not installed.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    drawn = [_draw_answers(pyplot, folder / "answers.png", rows)]
    if quotas:
        drawn.append(_draw_quotas(pyplot, folder / "parts.png", quotas, float(len(rows))))
    return drawn


def _draw_answers(pyplot: Any, path: pathlib.Path, rows: Sequence[SecondSummary]) -> pathlib.Path:
    figure, (answers, latency) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    top = _plot_outcomes(answers, rows)
    _plot_latency(latency, rows)
    _mark_faults(answers, rows, top)
    return _save(pyplot, figure, path)


def _plot_outcomes(axis: Any, rows: Sequence[SecondSummary]) -> int:
    """Stack the outcomes of each second; return the height of the tallest bar."""
    numbers = [row.number for row in rows]
    bottom = [0] * len(rows)
    for outcome in OUTCOMES:
        counts = [row.outcomes[outcome] for row in rows]
        if any(counts):
            axis.bar(
                numbers,
                counts,
                bottom=bottom,
                color=COLOURS[outcome],
                label=outcome.value,
                width=1,
                align="edge",
            )
            bottom = [below + count for below, count in zip(bottom, counts, strict=True)]
    axis.set_ylabel("responses per second")
    axis.legend(loc="upper right", fontsize=8)
    return max(bottom)


def _plot_latency(axis: Any, rows: Sequence[SecondSummary]) -> None:
    for fraction, style in _LATENCY_STYLES:
        axis.step(
            [row.number for row in rows],
            [percentile_ms(row.latencies_us, fraction) or 0 for row in rows],
            style,
            where="post",
            color=_LATENCY_COLOUR,
            label=f"served, p{fraction * 100:g}",
        )
    axis.set_ylabel("ms")
    axis.set_xlabel(_TIME_LABEL)
    axis.legend(loc="upper right", fontsize=8)


def _mark_faults(axis: Any, rows: Sequence[SecondSummary], top: int) -> None:
    """Draw a line and a label for each fault; labels of the same second are placed side by side."""
    for row in rows:
        for index, fault in enumerate(row.faults):
            axis.axvline(row.number, color="black", linewidth=0.6)
            axis.annotate(
                fault,
                (row.number, top),
                fontsize=7,
                rotation=90,
                va="top",
                xytext=(2 + 9 * index, 0),
                textcoords="offset points",
            )


def _draw_quotas(pyplot: Any, path: pathlib.Path, quotas: QuotaSeries, end_s: float) -> pathlib.Path:
    volumes = sorted({owner.volume for owner in quotas})
    figure, axes = pyplot.subplots(
        len(volumes), 1, sharex=True, squeeze=False, figsize=(9, 1 + 1.4 * len(volumes))
    )
    for axis, volume in zip(axes[:, 0], volumes, strict=True):
        _plot_volume_quotas(axis, volume, quotas, end_s)
    axes[-1, 0].set_xlabel(_TIME_LABEL)
    axes[0, 0].set_title("quota of each volume's limit, as each instance records it", fontsize=9)
    return _save(pyplot, figure, path)


def _plot_volume_quotas(axis: Any, volume: str, quotas: QuotaSeries, end_s: float) -> None:
    for owner, changes in sorted(quotas.items(), key=lambda entry: entry[0]):
        if owner.volume == volume:
            axis.step(
                [*(change.at_s for change in changes), end_s],
                [*(change.quota for change in changes), changes[-1].quota],
                where="post",
                label=owner.instance,
            )
    axis.set_ylabel(volume[-4:], fontsize=8)
    axis.set_ylim(-0.05, 1.05)
    axis.legend(loc="upper right", fontsize=7)


def _save(pyplot: Any, figure: Any, path: pathlib.Path) -> pathlib.Path:
    figure.savefig(path, dpi=_DPI)
    pyplot.close(figure)
    return path
