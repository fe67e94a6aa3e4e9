"""Draws a chart of the settings version that each instance used over time."""

from __future__ import annotations

import pathlib

from garnetlanding.audit.errors import ChartUnavailableError
from garnetlanding.audit.limits import MS_PER_SECOND
from garnetlanding.audit.records import SETTINGS
from garnetlanding.audit.timeline import FleetTimeline
from garnetlanding.audit.wall_time import format_wall_ms

_COLORS = 10
"""Number of colors in the plotting library's color cycle."""
_FENCED_ALPHA = 0.35


def draw_chart(timeline: FleetTimeline, path: pathlib.Path) -> None:
    """Write a PNG with one row per instance and one color per settings version.

    Raises `ChartUnavailableError` if matplotlib is not installed (the extra `lab` installs it), and
    `OSError`.
    """
    try:
        import matplotlib
    except ImportError as error:
        raise ChartUnavailableError(f"charts require the extra `lab`: {error}") from error
    matplotlib.use("Agg")
    from matplotlib import pyplot

    instances = sorted({span.instance for span in timeline.spans})
    versions = list(dict.fromkeys(span.versions.get(SETTINGS, "") for span in timeline.spans))
    first_ms = min(span.start_wall_ms for span in timeline.spans)
    figure, axes = pyplot.subplots(figsize=(9, 1 + 0.4 * len(instances)))
    for span in timeline.spans:
        color = versions.index(span.versions.get(SETTINGS, "")) % _COLORS
        axes.barh(
            instances.index(span.instance),
            (span.end_wall_ms - span.start_wall_ms) / MS_PER_SECOND,
            left=(span.start_wall_ms - first_ms) / MS_PER_SECOND,
            color=f"C{color}",
            alpha=_FENCED_ALPHA if span.is_fenced else 1.0,
            edgecolor="white",
        )
    axes.set_yticks(range(len(instances)), instances)
    axes.set_xlabel(
        f"seconds since {format_wall_ms(first_ms)}; one color per settings revision, pale: instance is fenced"
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
