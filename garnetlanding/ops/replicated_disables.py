"""Replicates operators' decisions on backends and instances to the whole fleet.

A decision made here gets a version and is added to the table that gossip disseminates. Decisions received
from peers are added to this instance's administrative state, and so stored in its file, like its own. The
table is a last-writer-wins map (garnetlanding.peers.disabled_backends); the state stores its records.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from garnetlanding.ops.admin_state import AdminState, StoredDisable
from garnetlanding.ops.errors import DisableRejectedError, TooManyFencedError
from garnetlanding.peers.disable_replication import DisableReplication
from garnetlanding.peers.disabled_backends import (
    INSTANCE_PREFIX,
    DisabledBackendError,
    DisabledBackends,
    DisableRecord,
)

log = logging.getLogger(__name__)


class ReplicatedDisables:
    """Applies local and received decisions to the fleet's table, and the result to the administrative state.

    A local decision's version consists of the wall clock in milliseconds, which `wall_ms` returns, and of
    this instance's number, which `instance_number` returns.
    """

    def __init__(
        self, replication: DisableReplication, instance_number: Callable[[], int], wall_ms: Callable[[], int]
    ) -> None:
        self._replication = replication
        self._instance_number = instance_number
        self._wall_ms = wall_ms

    def take_received(self) -> list[DisableRecord]:
        """Return the peers' records that are later than this instance's, each only once."""
        return self._replication.take_received()

    def set_disabled(self, state: AdminState, name: str, *, disabled: bool) -> AdminState:
        """Return the state after a local decision.

        Raises DisableRejectedError if the name is too long or the table is full.
        """
        table = self.table(state)
        try:
            table.set_disabled(
                name, disabled=disabled, instance=self._instance_number(), wall_ms=self._wall_ms()
            )
        except DisabledBackendError as error:
            raise DisableRejectedError(str(error), name) from error
        return self._with_table(state, table)

    def set_fenced(self, state: AdminState, instance: int, *, fenced: bool, instances: int) -> AdminState:
        """Return the state with an instance fenced or unfenced, which is stored as a record of its own.

        `instances` is the size of the fleet. Raises TooManyFencedError if more than the allowed fraction of
        the fleet would be fenced: the others must be able to carry the load.
        """
        name = INSTANCE_PREFIX + str(instance)
        others = {other for other in state.disabled if other.startswith(INSTANCE_PREFIX)} - {name}
        if fenced and (len(others) + 1) > instances * self._replication.limits.max_fenced_fraction:
            raise TooManyFencedError(name, len(others), instances)
        return self.set_disabled(state, name, disabled=fenced)

    def merge(self, state: AdminState, records: list[DisableRecord]) -> AdminState:
        """Return the state after decisions of peers; log how many took effect and how many were rejected."""
        table = self.table(state)
        result = table.merge(records)
        if result.accepted or result.rejected:
            log.info(
                "disables received", extra={"kv": {"count": len(result.accepted), "dropped": result.rejected}}
            )
        return self._with_table(state, table)

    def publish(self, state: AdminState) -> None:
        """Make the table of this state the one that is gossiped."""
        self._replication.replace_table(self.table(state))

    def table(self, state: AdminState) -> DisabledBackends:
        """Return the table of a state's records.

        A name whose record is missing or disagrees with `state.disabled` was changed without replication, or
        by an older program, and gets a record as if it had been decided here and now.
        """
        table = DisabledBackends(self._replication.limits, (_to_gossip(record) for record in state.records))
        for name in sorted(state.disabled ^ table.disabled_names):
            table.set_disabled(
                name,
                disabled=name in state.disabled,
                instance=self._instance_number(),
                wall_ms=self._wall_ms(),
            )
        return table

    @staticmethod
    def _with_table(state: AdminState, table: DisabledBackends) -> AdminState:
        records = tuple(_from_gossip(record) for record in sorted(table.records.values()))
        return replace(state, disabled=table.disabled_names, records=records)


def _to_gossip(record: StoredDisable) -> DisableRecord:
    return DisableRecord(record.name, record.version, record.instance, record.disabled)


def _from_gossip(record: DisableRecord) -> StoredDisable:
    return StoredDisable(record.backend, record.version, record.instance, record.disabled)
