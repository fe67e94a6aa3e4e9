"""An operator's bans made the whole fleet's: what is said here goes into the table that heads share, and what
others said comes into this head's state, on disk as its own.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from garnetlanding.http.errors import HttpError
from garnetlanding.ops.admin_state import AdminState
from garnetlanding.peers.disabled_backends import (
    INSTANCE_PREFIX,
    DisabledBackendError,
    DisabledBackends,
    DisableRecord,
)
from garnetlanding.peers.failure_detector import FailureDetector

log = logging.getLogger(__name__)


class ReplicatedDisables:
    def __init__(self, fleet: FailureDetector, me: Callable[[], int], wall_ms: Callable[[], int]) -> None:
        """`me`: this head's number."""
        self._fleet, self._me, self._wall_ms = fleet, me, wall_ms

    def take_received(self) -> list[DisableRecord]:
        return self._fleet.take_received()

    def set_disabled(self, state: AdminState, brick: str, out: bool) -> AdminState:
        bans = self.table(state)
        try:
            bans.set_disabled(brick, out, self._me(), self._wall_ms())
        except DisabledBackendError as problem:
            raise HttpError(str(problem), 400) from None
        return self._kept(state, bans)

    def set_fenced(self, state: AdminState, head: int, out: bool, hosts: int) -> AdminState:
        """A head is to act no more, or again: a record like that of a brick. Raises HttpError where more
        than the share of heads would be out that may be."""
        others = {name for name in state.disabled if name.startswith(INSTANCE_PREFIX)} - {
            INSTANCE_PREFIX + str(head)
        }
        if out and (len(others) + 1) > hosts * self._fleet.limits.out_share:
            raise HttpError(f"{len(others)} of {hosts} heads are out already", 400)
        return self.set_disabled(state, INSTANCE_PREFIX + str(head), out)

    def merge(self, state: AdminState, records: list[DisableRecord]) -> AdminState:
        bans = self.table(state)
        merged = bans.merge(records)
        if merged.news or merged.rejected:
            log.info("bans heard", extra={"kv": {"count": len(merged.news), "dropped": merged.rejected}})
        return self._kept(state, bans)

    def publish(self, state: AdminState) -> None:
        """From now on other heads are told of this."""
        self._fleet.replace_disabled(self.table(state))

    def table(self, state: AdminState) -> DisabledBackends:
        """The records of a state. What was said while bans were this head's alone, or by an older process,
        has none yet: it counts as said by it just now."""
        bans = DisabledBackends(self._fleet.limits, (DisableRecord(*record) for record in state.records))
        for brick in sorted(state.disabled ^ bans.disabled_names):
            bans.set_disabled(brick, brick in state.disabled, self._me(), self._wall_ms())
        return bans

    @staticmethod
    def _kept(state: AdminState, bans: DisabledBackends) -> AdminState:
        return replace(state, disabled=bans.disabled_names, records=tuple(sorted(bans.records.values())))
