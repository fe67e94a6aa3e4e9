"""Fencing: an instance that cannot show that it is current sends nothing until it can again."""

from __future__ import annotations

from collections.abc import Callable


class Fence:
    """Whether this instance is fenced, as of the last check.

    `may_act` is set where the instance has to show that it is current (it follows a writer, or operators can
    take it out); it is called with the monotonic clock in microseconds. Without it the instance is never
    fenced. `on_change` callbacks get the new state, fenced or not, at each change.
    """

    __slots__ = ("may_act", "is_fenced", "on_change")

    def __init__(self) -> None:
        self.may_act: Callable[[int], bool] | None = None
        self.is_fenced = False
        self.on_change: list[Callable[[bool], None]] = []

    def has_changed(self, now: int) -> bool:
        """Ask `may_act` anew and take its answer up; return whether the state differs from before."""
        if self.may_act is None:
            return False
        is_fenced = not self.may_act(now)
        if is_fenced == self.is_fenced:
            return False
        self.is_fenced = is_fenced
        return True

    def notify(self) -> None:
        """Tell every `on_change` callback the present state."""
        for callback in self.on_change:
            callback(self.is_fenced)
