"""Records which versions an instance acts on: each change, and at intervals that they still hold.

No I/O and no clock of its own. Each event-loop iteration is decided under the versions of the last record
before it, because whoever calls the decision module calls `Recorder.observe` first.
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
"""Returns the version of one component that is in force now; empty where there is none."""


class Recorder:
    """Turns versions and the instance's state into records; knows nothing of files.

    `sources` gives the version of each component by the component's name, `read_state` the state that goes
    into a record, and `write` takes each record. `versions` are those of the last record.
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
        self._rejections: dict[str, str] = {}

    def observe(self, now: int) -> None:
        """Record the versions if they changed or a checkpoint is due; called before anything is decided."""
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
        """Record that a new version was received and rejected; repetitions of one reason are left out."""
        if self._rejections.get(component) == reason:
            return
        self._rejections[component] = reason
        record = state_record(RecordKind.REJECTED, now, self.versions, self._read_state())
        self._write(record | rejection_fields(component, reason))

    def end(self, now: int) -> None:
        """Record that the process ends in order."""
        self._write(state_record(RecordKind.END, now, self.versions, self._read_state()))
