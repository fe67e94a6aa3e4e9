"""What a run's histories show."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class Findings:
    """What the histories say; `broken` names each rule that was broken, and by what."""

    asked: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    over: float = 0.0  # units that a volume's store fell below 0 by, at the worst moment
    used: float = 0.0  # of all that the volumes could have had, the part sent
    parts_most: float = 0.0  # greatest sum of one volume's parts over its heads, at any time
    lives: dict[str, int] = field(default_factory=dict)  # how often each head started
    doubts: int = 0  # times that a head was made careful with a server on others' word
    doubts_unfounded: int = 0  # of them, of servers that no fault had struck
    twins_most: float = 0.0  # the same, while two processes of one number had not heard of each other
    evens_most: float = 0.0  # greatest sum of the heads' even parts of what all share
    cold_most: float = 0.0  # of what a cold brick bears, the greatest part sent to one within its window
    places_most: int = 0  # connections of all heads at one brick, at once
    kept: int = 0  # connections of all heads to all bricks, once the last request was answered
    old_us: int = 0  # the longest that a head sent on settings after newer ones had been made
    audited: int = 0  # attempts whose settings the audit was asked for
    broken: list[str] = field(default_factory=list)

    @property
    def sound(self) -> bool:
        return not self.broken
