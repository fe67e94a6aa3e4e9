"""What becomes of a datagram between two heads: decided from the experiment's faults and its seed, no I/O."""

from __future__ import annotations

import random
from collections import Counter

from garnetlanding.lab.experiment import LINK_FAULTS, Experiment
from garnetlanding.lab.limits import LIMITS


class Weather:
    """The same datagrams in the same order fare the same each time: each link draws from its own source."""

    def __init__(self, experiment: Experiment) -> None:
        self._faults = experiment.faults
        self._links = [fault for fault in self._faults if fault.kind in LINK_FAULTS]
        self._draws = {
            (a, b): random.Random(f"{experiment.seed} {a} {b}")
            for a in range(experiment.heads)
            for b in range(experiment.heads)
        }
        self.fates: Counter[str] = Counter()

    def lies(self, sender: int, now: int) -> str:
        """How that head's words are false at that time; empty: they are not."""
        for f in self._faults:
            if f.kind == "lie" and f.who == sender and f.at_us <= now < f.until_us:
                self.fates["lie"] += 1
                return f.how or "dead"
        return ""

    def fate(self, sender: int, receiver: int, now: int) -> list[int]:
        """After how many microseconds it arrives, once for each copy; empty: never."""
        draw, delays = self._draws[sender, receiver], [0]
        for fault in self._links:
            if not fault.strikes(sender, receiver, now) or draw.random() >= fault.share:
                continue
            match fault.kind:
                case "cut" | "loss":
                    self.fates[fault.kind] += 1
                    return []
                case "delay":
                    delays = [d + int(fault.span_us * draw.uniform(0.5, 1.5)) for d in delays]
                case "double":
                    delays.append(delays[-1] + fault.span_us)
                case "flood":
                    delays = delays * LIMITS.flood_copies
                case "reorder":
                    delays = [d + (fault.span_us or LIMITS.reorder_us) for d in delays]
            self.fates[fault.kind] += 1
        self.fates["arrived"] += 1
        return delays
