"""The decision module with the audit before it: what holds is recorded before the module decides by it."""

from __future__ import annotations

from garnetlanding.audit.recorder import Recorder
from garnetlanding.core.ports import DecisionModule
from garnetlanding.decision import interface as api


class AuditedModule:
    """Stands where the module stood."""

    def __init__(self, module: DecisionModule, recorder: Recorder) -> None:
        self.module, self.recorder = module, recorder

    @property
    def settings(self) -> api.Settings:
        return self.module.settings

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        self.recorder.look(now)
        return self.module.handle(now, events)
