"""The decision module with the audit in front: versions are recorded before the module decides by them."""

from __future__ import annotations

from garnetlanding.audit.recorder import Recorder
from garnetlanding.core.ports import DecisionModule
from garnetlanding.decision import interface as api


class AuditedModule:
    """A `DecisionModule` that lets the recorder observe, then passes the events on unchanged."""

    def __init__(self, module: DecisionModule, recorder: Recorder) -> None:
        self.module = module
        self.recorder = recorder

    @property
    def settings(self) -> api.Settings:
        """Settings of the module behind."""
        return self.module.settings

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Return the actions of the module behind; `now` is monotonic time in microseconds."""
        self.recorder.observe(now)
        return self.module.handle(now, events)
