"""Fencing: an instance that cannot prove that its state is current starts no attempts until it can."""

from __future__ import annotations

from collections.abc import Callable


class Fence:
    """Whether this instance is fenced, as of the last `update`.

    `may_act` decides it, given the time on the monotonic clock in microseconds. It is set on an instance that
    follows a writer or that operators can disable; without it the instance is never fenced. After every
    change each `on_change` callback is called with the new state, true for fenced.
    """

    __slots__ = ("is_fenced", "may_act", "on_change")

    def __init__(self) -> None:
        self.may_act: Callable[[int], bool] | None = None
        self.is_fenced = False
        self.on_change: list[Callable[[bool], None]] = []

    def update(self, now: int) -> bool:
        """Call `may_act` and update the state; return whether the state has changed."""
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
