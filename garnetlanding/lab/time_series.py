"""A run's measurements second by second, computed from its histories alone. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from garnetlanding.lab.history import Line, LineKind
from garnetlanding.lab.limits import SECOND
from garnetlanding.lab.outcomes import Outcome

OUTCOMES = (Outcome.SERVED, Outcome.REJECTED, Outcome.FAILED, Outcome.LOST, Outcome.TIMED_OUT)
"""The outcomes that tables and charts show."""


@dataclass(frozen=True, slots=True)
class QuotaChange:
    """A new quota of an instance, from `at_s` seconds after the start on."""

    at_s: float
    quota: float


@dataclass(frozen=True, slots=True, order=True)
class QuotaOwner:
    """The instance that holds a quota, and the volume whose limit it belongs to."""

    volume: str
    instance: str


QuotaSeries = dict[QuotaOwner, list[QuotaChange]]


@dataclass(slots=True)
class SecondSummary:
    """One second after the clients' start: outcomes, latencies of served requests, attempts and faults."""

    number: int
    outcomes: Counter[str] = field(default_factory=Counter)
    latencies_us: list[int] = field(default_factory=list)  # of served requests
    attempts: int = 0
    suspected: int = 0  # suspected backends, summed over all instances, at the end of the second
    faults: list[str] = field(default_factory=list)

    def encode(self) -> dict[str, object]:
        """Return the second as a row of series.csv and of `lab report --json`."""
        return {
            "second": self.number,
            **{outcome.value: self.outcomes[outcome] for outcome in OUTCOMES},
            "p50_ms": percentile_ms(self.latencies_us, 0.5),
            "p99_ms": percentile_ms(self.latencies_us, 0.99),
            "attempts": self.attempts,
            "doubted": self.suspected,
            "faults": "; ".join(self.faults),
        }


def percentile_ms(values_us: Sequence[int], fraction: float) -> float | None:
    """Return in milliseconds the value at a percentile, given as a fraction; None without values."""
    if not values_us:
        return None
    ordered = sorted(values_us)
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return round(ordered[index] / 1000, 1)


def first_request_us(lines: Iterable[Line]) -> int:
    """Return when the first request was sent; 0 if none was."""
    return min((line["t"] for line in lines if line["what"] == LineKind.SENT), default=0)


def summarize_by_second(lines: Sequence[Line], start_us: int) -> list[SecondSummary]:
    """Return every second from the start to the last outcome, in order; lines outside are ignored."""
    summaries: dict[int, SecondSummary] = {}
    suspected: dict[str, int] = {}  # by instance, how many backends
    last_us = max((line["t"] for line in lines if line["what"] == LineKind.ENDED), default=start_us)
    for line in lines:
        if not start_us <= line["t"] <= last_us:
            continue
        number = (line["t"] - start_us) // SECOND
        summary = summaries.setdefault(number, SecondSummary(number))
        _count(line, summary, suspected)
        summary.suspected = sum(suspected.values())
    return [summaries.get(number, SecondSummary(number)) for number in range(max(summaries, default=-1) + 1)]


def _count(line: Line, summary: SecondSummary, suspected: dict[str, int]) -> None:
    """Add one line to its second's summary and to each instance's number of suspected backends."""
    match line["what"]:
        case LineKind.ENDED:
            summary.outcomes[line["outcome"]] += 1
            if line["outcome"] == Outcome.SERVED:
                summary.latencies_us.append(line["took"])
        case LineKind.EXECUTED:
            summary.attempts += 1
        case LineKind.SUSPICIONS_CHANGED:
            suspected[line["who"]] = len(line["servers"])
        case LineKind.STARTED:
            suspected.pop(line["who"], None)
        case LineKind.FAULT:
            subject = line["which"] if line["which"] >= 0 else "all"
            summary.faults.append(f"{line['kind']} {subject}")


def quota_changes(lines: Iterable[Line], start_us: int) -> QuotaSeries:
    """Return the changes of each instance's recorded quota, by volume and instance."""
    series: QuotaSeries = defaultdict(list)
    for line in lines:
        if line["what"] != LineKind.VOLUME_QUOTAS:
            continue
        at_s = (line["t"] - start_us) / SECOND
        for volume, quota in line["parts"].items():
            changes = series[QuotaOwner(volume, line["who"])]
            if not changes or changes[-1].quota != quota:
                changes.append(QuotaChange(at_s, quota))
    return dict(series)
