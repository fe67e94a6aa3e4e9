"""Assembles the audit of one instance: recorder, segment writer and wrapper of the decision module."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from garnetlanding.audit.audited_module import AuditedModule
from garnetlanding.audit.recorder import Recorder, VersionSource
from garnetlanding.audit.records import Incarnation, InstanceState, decode_message_id
from garnetlanding.audit.segment_writer import SegmentWriter
from garnetlanding.audit.setup import AuditSetup
from garnetlanding.core.engine import RequestEngine


class PeerMessages(Protocol):
    """IDs of the messages that the instance exchanges with its peers."""

    @property
    def last_received(self) -> Sequence[int] | None:
        """Sender, incarnation and number of the last message processed; `None` if there was none."""
        ...

    @property
    def last_sent(self) -> int:
        """Number of the last message sent."""
        ...


@dataclass(frozen=True, slots=True)
class AuditTrail:
    """The running audit of an instance; the daemon's handle to it."""

    recorder: Recorder
    writer: SegmentWriter

    def change_rejected(self, now: int, component: str, reason: str) -> None:
        """Record that a new version of a component was received and rejected."""
        self.recorder.change_rejected(now, component, reason)

    def stop(self, now: int) -> None:
        """Record a graceful shutdown, and close the file even if writing the record fails."""
        with self.writer:
            self.recorder.end(now)


def start_audit(
    setup: AuditSetup,
    engine: RequestEngine,
    incarnation: Incarnation,
    sources: Mapping[str, VersionSource],
    peer_messages: Callable[[], PeerMessages | None],
    wall_ms: Callable[[], int],
) -> AuditTrail:
    """Start recording and wrap the engine's decision module.

    `sources` maps each component to a function that returns its current version. `peer_messages` returns
    `None` while the instance has no link to peers. Raises `OSError`: an instance whose audit cannot be
    written does not start, because otherwise the failure could go unnoticed until the audit is needed.
    """
    writer = SegmentWriter(setup, incarnation, engine.now, wall_ms)

    def read_state() -> InstanceState:
        messages = peer_messages()
        return InstanceState(
            number=engine.settings.instance_id,
            requests_accepted=engine.metrics.accepted,
            requests_answered=engine.metrics.accepted - engine.open_requests,
            last_sent=messages.last_sent if messages else 0,
            last_received=decode_message_id(messages.last_received or ()) if messages else None,
        )

    recorder = Recorder(setup.limits, sources, read_state, writer.write)
    engine.module = AuditedModule(engine.module, recorder)
    return AuditTrail(recorder, writer)
