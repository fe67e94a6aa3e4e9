"""Faults by script: what an emulated server does wrong, at which message, and how often."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Fault(Enum):
    """What goes wrong with one message of a client."""

    STALL = "stall"  # not run, and held until released
    SLOW = "slow"  # run and answered after `delay_us`; run also when the connection has ended by then
    LATE = "late"  # the connection ends, and what was read from it is run all the same after `delay_us`
    HALF = "half"  # run; half of the response is sent
    RESET_BEFORE = "reset-before"  # not run; the connection ends
    RESET_AFTER = "reset-after"  # run; the connection ends in place of the response
    WRONG_TAG = "wrong-tag"
    WRONG_TYPE = "wrong-type"
    WRONG_COUNT = "wrong-count"
    REFUSE = "refuse"  # not run, and answered with the error `error_number`


Selector = type[Any] | tuple[type[Any], ...] | Callable[[Any], bool]


@dataclass
class Rule:
    """A fault at messages of a class, of several, or that pass a test."""

    messages: Selector
    fault: Fault
    times: int | None = 1  # how often it is still to happen; None: without end
    after: int = 0  # messages that match and pass unharmed first
    delay_us: int = 0
    error_number: int = 0

    @property
    def is_used_up(self) -> bool:
        """Whether it has happened as often as it was to."""
        return self.times == 0

    def applies_to(self, message: object) -> bool:
        """Return whether the fault happens at this message, and count it."""
        if not self._selects(message):
            return False
        if self.after:
            self.after -= 1
            return False
        if self.times:
            self.times -= 1
        return True

    def _selects(self, message: object) -> bool:
        if isinstance(self.messages, type | tuple):
            return isinstance(message, self.messages)
        return self.messages(message)


class FaultScript:
    """Rules in order; the first that matches a message applies, until it is used up."""

    def __init__(self) -> None:
        self.rules: list[Rule] = []

    def add(self, *rules: Rule) -> None:
        """Append rules."""
        self.rules += rules

    def rule_for(self, message: object) -> Rule | None:
        """Return the rule that applies to this message, and count it; None: the message is served."""
        for rule in self.rules:
            if not rule.is_used_up and rule.applies_to(message):
                return rule
        return None
