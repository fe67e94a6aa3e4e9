"""Scripted faults of an emulated server: what goes wrong, with which messages, and how often."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Fault(Enum):
    """What goes wrong with a client's message."""

    STALL = "stall"  # not executed, and held until released
    SLOW = "slow"  # executed and answered after `delay_us`; executed even if the connection ends before
    LATE = "late"  # the connection ends, and the message is still executed after `delay_us`
    HALF = "half"  # executed; half of the response is sent
    RESET_BEFORE = "reset-before"  # not executed; the connection ends
    RESET_AFTER = "reset-after"  # executed; the connection ends instead of a response
    WRONG_TAG = "wrong-tag"
    WRONG_TYPE = "wrong-type"
    WRONG_COUNT = "wrong-count"
    REFUSE = "refuse"  # not executed, and answered with the error `error_number`


Selector = type[Any] | tuple[type[Any], ...] | Callable[[Any], bool]


@dataclass
class Rule:
    """A fault for the messages of some classes, or for those that satisfy a predicate."""

    messages: Selector
    fault: Fault
    times: int | None = 1  # remaining occurrences; None: unlimited
    after: int = 0  # matching messages still to be served before the fault
    delay_us: int = 0
    error_number: int = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether no occurrence remains."""
        return self.times == 0

    def applies_to(self, message: object) -> bool:
        """Return whether the fault applies to this message, and count the message."""
        if not self._matches(message):
            return False
        if self.after:
            self.after -= 1
            return False
        if self.times:
            self.times -= 1
        return True

    def _matches(self, message: object) -> bool:
        if isinstance(self.messages, type | tuple):
            return isinstance(message, self.messages)
        return self.messages(message)


class FaultScript:
    """An ordered list of rules; the first rule that is not exhausted and matches a message applies."""

    def __init__(self) -> None:
        self.rules: list[Rule] = []

    def add(self, *rules: Rule) -> None:
        """Append rules."""
        self.rules += rules

    def rule_for(self, message: object) -> Rule | None:
        """Return the rule that applies to this message and count the message; None: serve it normally."""
        for rule in self.rules:
            if not rule.is_exhausted and rule.applies_to(message):
                return rule
        return None
