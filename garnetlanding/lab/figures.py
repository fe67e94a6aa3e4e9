"""A run's figures, second by second, from its histories alone. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from garnetlanding.lab.history import Line
from garnetlanding.lab.limits import SECOND


@dataclass(slots=True)
class Second:
    """What was answered in one second after the clients began, by outcome, and how long the served took."""

    number: int
    outcomes: Counter[str] = field(default_factory=Counter)
    took_us: list[int] = field(default_factory=list)
    attempts: int = 0
    doubted: int = 0  # servers, over all heads, at the second's end
    faults: list[str] = field(default_factory=list)

    def as_row(self) -> dict[str, object]:
        return {
            "second": self.number,
            **{name: self.outcomes[name] for name in ANSWERS},
            "p50_ms": percentile(self.took_us, 0.5),
            "p99_ms": percentile(self.took_us, 0.99),
            "attempts": self.attempts,
            "doubted": self.doubted,
            "faults": "; ".join(self.faults),
        }


ANSWERS = ("served", "refused", "failed", "lost", "none")


def percentile(values: Sequence[int], share: float) -> float | None:
    """Of microseconds, in milliseconds: the least that `share` of them do not pass; None of no values."""
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))] / 1000, 1)


def began(lines: Iterable[Line]) -> int:
    """When the first request was asked; 0 where none was."""
    return min((line["t"] for line in lines if line["what"] == "asked"), default=0)


def seconds(lines: Sequence[Line], start: int) -> list[Second]:
    """From the start to the last answer, in order; what came before counts to none."""
    found: dict[int, Second] = {}
    doubted: dict[str, int] = {}
    last = max((line["t"] for line in lines if line["what"] == "answer"), default=start)
    for line in lines:
        if not start <= line["t"] <= last:
            continue
        number = (line["t"] - start) // SECOND
        now = found.setdefault(number, Second(number))
        match line["what"]:
            case "answer":
                now.outcomes[line["outcome"]] += 1
                if line["outcome"] == "served":
                    now.took_us.append(line["took"])
            case "ran":
                now.attempts += 1
            case "doubted":
                doubted[line["who"]] = len(line["servers"])
            case "start":
                doubted.pop(line["who"], None)
            case "fault":
                now.faults.append(f"{line['kind']} {line['which'] if line['which'] >= 0 else 'all'}")
        now.doubted = sum(doubted.values())
    return [found.get(number, Second(number)) for number in range(max(found, default=-1) + 1)]


def parts(lines: Iterable[Line], start: int) -> dict[tuple[str, str], list[tuple[float, float]]]:
    """By volume and head, the part that it believed its own from when on, in seconds after the start."""
    steps: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    for line in lines:
        if line["what"] == "parts":
            for volume, part in line["parts"].items():
                one = steps[volume, line["who"]]
                if not one or one[-1][1] != part:
                    one.append(((line["t"] - start) / SECOND, part))
    return dict(steps)
