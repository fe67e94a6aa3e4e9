"""Buffers the actions that one call of the state machine returns."""

from __future__ import annotations

from garnetlanding.decision import interface as api


class ActionBuffer:
    """Collects actions in the order in which they are to be carried out."""

    __slots__ = ("_actions", "_remaining_log_lines")

    def __init__(self, max_log_lines: int) -> None:
        """Accept at most `max_log_lines` log lines in the lifetime of the buffer."""
        self._actions: list[api.Action] = []
        self._remaining_log_lines = max_log_lines

    def emit(self, action: api.Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def log(self, text: str) -> None:
        """Append a log line, or drop it if the buffer has accepted its maximum."""
        if self._remaining_log_lines > 0:
            self._remaining_log_lines -= 1
            self._actions.append(api.Log(text))

    def take(self) -> list[api.Action]:
        """Return the actions and clear the buffer."""
        actions = self._actions
        self._actions = []
        return actions

    def discard(self) -> None:
        """Drop what is left of a call that raised an exception before its actions were taken."""
        if self._actions:
            self._actions = []
