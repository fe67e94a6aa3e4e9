"""Fencing: an instance that cannot prove that its state is current sends nothing until it can again."""

from __future__ import annotations

from collections.abc import Callable


class Fence:
    """Whether this instance is fenced, as of the last check.

    `may_act` decides it, given the monotonic clock in microseconds. It is set on an instance that follows a
    writer or that operators can disable; without it the instance is never fenced. Each `on_change` callback
    is called with the new state, true for fenced, after every change.
    """

    __slots__ = ("is_fenced", "may_act", "on_change")

    def __init__(self) -> None:
        self.may_act: Callable[[int], bool] | None = None
        self.is_fenced = False
        self.on_change: list[Callable[[bool], None]] = []

    def has_changed(self, now: int) -> bool:
        """Update the state from `may_act`; return whether it differs from the state before."""
        if self.may_act is None:
            return False
        is_fenced = not self.may_act(now)
        if is_fenced == self.is_fenced:
            return False
        self.is_fenced = is_fenced
        return True

    def notify(self) -> None:
        """Call every `on_change` callback with the current state."""
        for callback in self.on_change:
            callback(self.is_fenced)
