"""The operator's history file, from which experiments read what this instance did and when."""

from __future__ import annotations

from collections.abc import Callable

from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.history.setup import HistorySetup
from garnetlanding.history.writer import HistoryWriter


class HistoryRecording(Subsystem):
    """Owns the writer of the history file, which observes every request."""

    name = "history"
    writer: HistoryWriter  # set by `start`

    def __init__(self, instance: Instance, setup: HistorySetup, clock: Callable[[], int]) -> None:
        self._instance = instance
        self._setup = setup
        self._clock = clock

    def start(self) -> None:
        """Open the file and start observing requests."""
        instance = self._instance
        self.writer = HistoryWriter(self._setup.file, instance.config.name, instance.incarnation, self._clock)
        instance.core.observers.append(self.writer)

    def serving(self) -> None:
        """Record that the instance has started."""
        self.writer.serving()

    def settings_applied(self, digest: int) -> None:
        """Record which version of the settings has taken effect."""
        store = self._instance.store
        self.writer.settings_applied(store.epoch, store.revision, digest, self._instance.scheduler.now)

    def fencing_changed(self, *, fenced: bool) -> None:
        """Record that the instance has been fenced or unfenced."""
        self.writer.fencing_changed(self._instance.scheduler.now, fenced=fenced)
