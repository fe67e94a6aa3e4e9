"""Operators' decisions on backends and instances, made known to the whole fleet.

A decision made here gets a version and goes into the table that gossip spreads; decisions received from peers
go into this instance's administrative state, and so on disk, as its own do. The table is a
last-writer-wins map (garnetlanding.peers.disabled_backends); the state keeps its records.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from garnetlanding.ops.admin_state import AdminState, StoredDisable
from garnetlanding.ops.errors import DisableRejectedError
from garnetlanding.peers.disabled_backends import (
    INSTANCE_PREFIX,
    DisabledBackendError,
    DisabledBackends,
    DisableRecord,
)
from garnetlanding.peers.failure_detector import FailureDetector

log = logging.getLogger(__name__)


class ReplicatedDisables:
    """Turns operators' decisions into changes of the state, by way of the fleet's table.

    `instance_number` returns this instance's number, `wall_ms` the wall clock in milliseconds: new versions
    are made of both.
    """

    def __init__(
        self, detector: FailureDetector, instance_number: Callable[[], int], wall_ms: Callable[[], int]
    ) -> None:
        self._detector = detector
        self._instance_number = instance_number
        self._wall_ms = wall_ms

    def take_received(self) -> list[DisableRecord]:
        """Return the records that peers have sent since the last call and that are news here."""
        return self._detector.take_received()

    def set_disabled(self, state: AdminState, name: str, disabled: bool) -> AdminState:
        """Return the state after a decision made here.

        Raises DisableRejectedError where the name is too long or the table full.
        """
        table = self.table(state)
        try:
            table.set_disabled(name, disabled, self._instance_number(), self._wall_ms())
        except DisabledBackendError as problem:
            raise DisableRejectedError(str(problem), name) from problem
        return self._with_table(state, table)

    def set_fenced(self, state: AdminState, instance: int, fenced: bool, instances: int) -> AdminState:
        """Return the state after an instance of `instances` was fenced or unfenced, by a record of its own.

        Raises DisableRejectedError where more than the allowed share of the fleet would be fenced: what is
        left must be able to carry the load.
        """
        name = INSTANCE_PREFIX + str(instance)
        others = {other for other in state.disabled if other.startswith(INSTANCE_PREFIX)} - {name}
        if fenced and (len(others) + 1) > instances * self._detector.limits.max_fenced_share:
            raise DisableRejectedError(f"{len(others)} of {instances} heads are out already", name)
        return self.set_disabled(state, name, fenced)

    def merge(self, state: AdminState, records: list[DisableRecord]) -> AdminState:
        """Return the state after decisions of peers; the log has how many counted."""
        table = self.table(state)
        merged = table.merge(records)
        if merged.news or merged.rejected:
            log.info(
                "disables received", extra={"kv": {"count": len(merged.news), "dropped": merged.rejected}}
            )
        return self._with_table(state, table)

    def publish(self, state: AdminState) -> None:
        """Send peers the table of this state from now on."""
        self._detector.replace_disabled(self.table(state))

    def table(self, state: AdminState) -> DisabledBackends:
        """Return the table of a state's records.

        What the state disables or enables without a record was decided before the fleet shared decisions, or
        by an older process: it counts as decided here, now.
        """
        table = DisabledBackends(self._detector.limits, (_to_gossip(record) for record in state.records))
        for name in sorted(state.disabled ^ table.disabled_names):
            table.set_disabled(name, name in state.disabled, self._instance_number(), self._wall_ms())
        return table

    @staticmethod
    def _with_table(state: AdminState, table: DisabledBackends) -> AdminState:
        records = tuple(_from_gossip(record) for record in sorted(table.records.values()))
        return replace(state, disabled=table.disabled_names, records=records)


def _to_gossip(record: StoredDisable) -> DisableRecord:
    return DisableRecord(record.name, record.version, record.instance, record.disabled)


def _from_gossip(record: DisableRecord) -> StoredDisable:
    return StoredDisable(record.backend, record.version, record.instance, record.disabled)
