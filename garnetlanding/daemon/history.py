"""The operator's history file, which experiments read: what this instance did and believed, and when."""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.history.setup import HistorySetup
from garnetlanding.history.writer import HistoryWriter


class HistoryRecording(Subsystem):
    """Owns the writer of the history file, which observes every request."""

    name = "history"
    writer: HistoryWriter  # from the start on

    def __init__(self, instance: Instance, setup: HistorySetup, clock: Callable[[], int]) -> None:
        self._instance = instance
        self._setup = setup
        self._clock = clock

    def start(self) -> None:
        """Open the file and observe requests from now on."""
        instance = self._instance
        self.writer = HistoryWriter(self._setup.file, instance.config.name, instance.incarnation, self._clock)
        instance.core.observers.append(self.writer)

    def serving(self) -> None:
        """Write down that the instance has started."""
        self.writer.serving()

    def settings_applied(self, digest: int) -> None:
        """Write down which settings are in force from now on."""
        store = self._instance.store
        self.writer.settings_applied(store.epoch, store.revision, digest, self._instance.scheduler.now)

    def fencing_changed(self, fenced: bool) -> None:
        """Write down that the instance may act no more, or again."""
        self.writer.fencing_changed(fenced, self._instance.scheduler.now)
