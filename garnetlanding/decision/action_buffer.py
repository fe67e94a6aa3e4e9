"""The actions that one call of the state machine returns."""

from __future__ import annotations

from garnetlanding.decision import interface as api


class ActionBuffer:
    """Collects actions in the order in which they are to be carried out."""

    __slots__ = ("_actions", "_log_lines_left")

    def __init__(self, log_lines: int) -> None:
        """Accept at most `log_lines` log lines in the lifetime of the buffer."""
        self._actions: list[api.Action] = []
        self._log_lines_left = log_lines

    def emit(self, action: api.Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def log(self, text: str) -> None:
        """Append a log line; drop it if the bound on their number is reached."""
        if self._log_lines_left > 0:
            self._log_lines_left -= 1
            self._actions.append(api.Log(text))

    def take(self) -> list[api.Action]:
        """Return the actions and start anew with none."""
        actions = self._actions
        self._actions = []
        return actions

    def discard(self) -> None:
        """Drop the actions of a call that failed, if any are left."""
        if self._actions:
            self._actions = []
