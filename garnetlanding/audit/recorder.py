"""Records which versions an instance uses: each change, and a checkpoint at intervals without one.

This module does no I/O and reads no clock. In each event-loop iteration the decision module uses the versions
of the last record before it, because `Recorder.observe` is always called before the module.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from garnetlanding.audit.limits import AuditLimits
from garnetlanding.audit.records import (
    InstanceState,
    Payload,
    RecordKind,
    observation_fields,
    rejection_fields,
    state_record,
)

VersionSource = Callable[[], str]
"""Returns the current version of one component; empty if it has none."""


class Recorder:
    """Builds records from the versions and the instance's state.

    `sources` maps each component's name to the function that returns its version. `read_state` returns the
    state to put into a record, and `write` receives each record. `versions` are those of the last record.
    """

    def __init__(
        self,
        limits: AuditLimits,
        sources: Mapping[str, VersionSource],
        read_state: Callable[[], InstanceState],
        write: Callable[[Payload], None],
    ) -> None:
        self._limits = limits
        self._sources = sources
        self._read_state = read_state
        self._write = write
        self.versions: dict[str, str] = {}
        self._next_checkpoint = 0
        self._last_rejection_reasons: dict[str, str] = {}

    def observe(self, now: int) -> None:
        """Record the versions if they changed or a checkpoint is due; call this before each decision."""
        versions = {name: source() for name, source in self._sources.items()}
        changed = [name for name, version in versions.items() if self.versions.get(name) != version]
        if not changed and now < self._next_checkpoint:
            return
        self.versions = versions
        self._next_checkpoint = now + self._limits.checkpoint_us
        kind = RecordKind.CHANGE if changed else RecordKind.CHECKPOINT
        state = self._read_state()
        self._write(
            state_record(kind, now, self.versions, state) | observation_fields(changed, state.last_received)
        )

    def change_rejected(self, now: int, component: str, reason: str) -> None:
        """Record that a new version was received and rejected, unless the last reason was the same."""
        if self._last_rejection_reasons.get(component) == reason:
            return
        self._last_rejection_reasons[component] = reason
        record = state_record(RecordKind.REJECTED, now, self.versions, self._read_state())
        self._write(record | rejection_fields(component, reason))

    def end(self, now: int) -> None:
        """Record a graceful shutdown of the process."""
        self._write(state_record(RecordKind.END, now, self.versions, self._read_state()))
