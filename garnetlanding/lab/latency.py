"""Latencies of served requests as HDR histograms, which can be merged over runs without losing the tail.

For experiments only: needs the extra `lab`, and no instance imports it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from garnetlanding.lab.history import Line, LineKind
from garnetlanding.lab.limits import LIMITS
from garnetlanding.lab.outcomes import Outcome

PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def histogram(lines: Iterable[Line]) -> Any:
    """Return an HdrHistogram of the served requests' latencies at the client, in microseconds.

    Raises ImportError if the library is not installed.
    """
    from hdrh.histogram import HdrHistogram

    latencies = HdrHistogram(1, LIMITS.latency_max_us, LIMITS.latency_digits)
    for line in lines:
        if line["what"] == LineKind.ENDED and line["outcome"] == Outcome.SERVED:
            latencies.record_value(max(1, min(line["took"], LIMITS.latency_max_us)))
    return latencies


def percentiles_ms(latencies: Any) -> dict[str, float]:
    """Return a histogram's percentiles and maximum in milliseconds, and its number of values."""
    if not latencies.get_total_count():
        return {}
    percentiles = {
        f"p{percentile:g}": round(latencies.get_value_at_percentile(percentile) / 1000, 1)
        for percentile in PERCENTILES
    }
    return percentiles | {
        "max": round(latencies.get_max_value() / 1000, 1),
        "count": latencies.get_total_count(),
    }
