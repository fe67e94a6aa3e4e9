"""Faults by script: what an emulated server does wrong, at which message, and how often."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Fault(Enum):
    STALL = "stall"  # held until released; not run before
    SLOW = "slow"  # run and answered after `delay_us`; run also when the connection has ended by then
    LATE = "late"  # the connection ends, and what was read from it runs all the same after `delay_us`
    HALF = "half"  # run; half of the answer comes
    RESET_BEFORE = "reset-before"  # the connection ends, and nothing ran
    RESET_AFTER = "reset-after"  # run; the connection ends in place of the answer
    WRONG_TAG = "wrong-tag"
    WRONG_TYPE = "wrong-type"
    WRONG_COUNT = "wrong-count"
    REFUSE = "refuse"  # answered with the error `number`, and not run


@dataclass
class Rule:
    """Strikes at messages of a kind (a class, or several, or a test of one), so many times."""

    at: type[Any] | tuple[type[Any], ...] | Callable[[Any], bool]
    fault: Fault
    times: int = 1
    after: int = 0  # so many that match pass unharmed first
    delay_us: int = 0
    number: int = 0

    def strikes(self, message: object) -> bool:
        kinds = isinstance(self.at, type | tuple)
        if not (isinstance(message, self.at) if kinds else self.at(message)):  # type: ignore[arg-type,operator]
            return False
        if self.after:
            self.after -= 1
            return False
        self.times -= self.times > 0
        return True


class Script:
    """Rules in order; the first that matches strikes, and is gone once its times are used up."""

    def __init__(self) -> None:
        self.rules: list[Rule] = []

    def add(self, *rules: Rule) -> None:
        self.rules += rules

    def strike(self, message: object) -> Rule | None:
        for rule in self.rules:
            if rule.times and rule.strikes(message):
                return rule
        return None
