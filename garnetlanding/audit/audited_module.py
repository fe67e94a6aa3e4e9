"""Wrapper around the decision module that records versions before the module uses them."""

from __future__ import annotations

from garnetlanding.audit.recorder import Recorder
from garnetlanding.core.ports import DecisionModule
from garnetlanding.decision import interface as api


class AuditedModule:
    """A `DecisionModule` that calls the recorder, then forwards the events unchanged."""

    def __init__(self, module: DecisionModule, recorder: Recorder) -> None:
        self.module = module
        self.recorder = recorder

    @property
    def settings(self) -> api.Settings:
        """Settings of the wrapped module."""
        return self.module.settings

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Return the actions of the wrapped module; `now` is monotonic time in microseconds."""
        self.recorder.observe(now)
        return self.module.handle(now, events)
