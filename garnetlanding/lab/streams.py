"""What becomes of a connection between two processes of an experiment: decided from its faults, no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.lab.experiment import STREAM_FAULTS, Experiment, Fault


@dataclass(frozen=True, slots=True)
class Link:
    """One head's connections to one brick, to its discovery, from its clients, or to the store's writer."""

    kind: str
    head: int
    brick: int = -1


@dataclass(frozen=True, slots=True)
class Passage:
    """How bytes that have come pass on: not before `hold_us` from now, `piece` of them at a time (0: all at
    once), each so long after the one before."""

    hold_us: int = 0
    piece: int = 0
    apart_us: int = 0


class Streams:
    def __init__(self, experiment: Experiment, piece: int) -> None:
        """`piece`: bytes of a trickle's drops."""
        self._faults = [f for f in experiment.faults if f.kind in STREAM_FAULTS]
        self._piece = piece

    def named(self, kind: str) -> bool:
        """Whether any fault is about links of that kind: others need no proxy."""
        return any(f.link == kind for f in self._faults)

    def _striking(self, link: Link, now: int) -> list[Fault]:
        return [
            f
            for f in self._faults
            if f.link == link.kind
            and f.who in (-1, link.head)
            and f.brick in (-1, link.brick)
            and f.at_us <= now < f.until_us
        ]

    def refuses(self, link: Link, now: int) -> bool:
        """Whether a connection is reset as soon as it comes."""
        return any(f.kind == "reset" for f in self._striking(link, now))

    def passage(self, link: Link, now: int) -> Passage:
        hold = piece = apart = 0
        for f in self._striking(link, now):
            match f.kind:
                case "freeze":
                    hold = max(hold, f.until_us - now)
                case "lag":
                    hold = max(hold, f.span_us)
                case "trickle":
                    piece, apart = self._piece, max(apart, f.span_us)
        return Passage(hold, piece, apart)

    def resets(self) -> list[int]:
        """The times at which connections are reset that stand already."""
        return sorted({f.at_us for f in self._faults if f.kind == "reset"})
