"""How long served requests took: HDR histograms, which add up over runs without losing their tails. For
experiments alone: needs the extra `lab`, and no head imports it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from garnetlanding.lab.history import Line
from garnetlanding.lab.limits import LIMITS

SHOWN = (50.0, 90.0, 99.0, 99.9)


def histogram(lines: Iterable[Line]) -> Any:
    """Of the microseconds that each served request took at its client. Raises ImportError."""
    from hdrh.histogram import HdrHistogram

    found = HdrHistogram(1, LIMITS.latency_most_us, LIMITS.latency_digits)
    for line in lines:
        if line["what"] == "answer" and line["outcome"] == "served":
            found.record_value(max(1, min(line["took"], LIMITS.latency_most_us)))
    return found


def milliseconds(found: Any) -> dict[str, float]:
    """Its percentiles, and how many it counts."""
    if not found.get_total_count():
        return {}
    shown = {f"p{share:g}": round(found.get_value_at_percentile(share) / 1000, 1) for share in SHOWN}
    return shown | {"max": round(found.get_max_value() / 1000, 1), "count": found.get_total_count()}
