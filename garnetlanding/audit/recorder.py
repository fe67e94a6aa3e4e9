"""What a head acts on, as one vector of versions: a record where it changes, and now and then that it still
holds. No I/O, no clock of its own.

Each turn of the loop is decided under the vector of the last record before it: whoever decides looks here
first.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from garnetlanding.audit.limits import AuditLimits

Record = dict[str, Any]


class Recorder:
    def __init__(
        self,
        limits: AuditLimits,
        sources: Mapping[str, Callable[[], str]],
        me: Callable[[], int],
        counts: Callable[[], tuple[int, int]],
        said: Callable[[], int],
        heard: Callable[[], list[int]],
        keep: Callable[[Record], None],
    ) -> None:
        """`sources`: by component, the version that holds now. `counts`: requests taken and answered so far;
        `said`: the number of this head's last message to others; `heard`: head, life and number of the
        last one heard, empty where none was. `keep` is given each record."""
        self._limits, self._sources, self._me, self._counts = limits, sources, me, counts
        self._said, self._heard, self._keep = said, heard, keep
        self.vector: dict[str, str] = {}
        self._next = 0
        self._refused: dict[str, str] = {}

    def look(self, now: int) -> None:
        """Before anything is decided in this turn."""
        vector = {name: source() for name, source in self._sources.items()}
        changed = [name for name, version in vector.items() if self.vector.get(name) != version]
        if changed or now >= self._next:
            self.vector, self._next = vector, now + self._limits.checkpoint_us
            self._write(now, "change" if changed else "checkpoint", changed=changed, heard=self._heard())

    def refused(self, now: int, component: str, why: str) -> None:
        """A change that was told and not taken: the version before it stands."""
        if self._refused.get(component) != why:
            self._refused[component] = why
            self._write(now, "refused", component=component, why=why)

    def end(self, now: int) -> None:
        self._write(now, "end")

    def _write(self, now: int, kind: str, **more: Any) -> None:
        taken, answered = self._counts()
        self._keep(
            {
                "t": now,
                "kind": kind,
                "vector": self.vector,
                "taken": taken,
                "answered": answered,
                "me": self._me(),
                "said": self._said(),
                **more,
            }
        )
