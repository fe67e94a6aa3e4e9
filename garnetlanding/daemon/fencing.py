"""Fencing of this instance while its settings are stale, or while an operator has fenced it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.daemon.peer_link import PeerLinkManager

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.daemon.history import HistoryRecording
    from garnetlanding.daemon.replication import StoreReplication


class Fencing(Subsystem):
    """Decides for the engine's fence whether the instance may act, and reports changes of the fence.

    `by_operator` is whether operators can fence instances of the group.
    """

    name = "fencing"

    def __init__(
        self,
        instance: Instance,
        link: PeerLinkManager,
        replication: StoreReplication | None,
        history: HistoryRecording | None,
        *,
        by_operator: bool,
    ) -> None:
        self._instance = instance
        self._link = link
        self._replication = replication
        self._history = history
        self._by_operator = by_operator

    def start(self) -> None:
        """Attach to the engine's fence."""
        self._instance.core.fence.may_act = self._may_act
        self._instance.core.fence.on_change.append(self._fence_changed)

    def _may_act(self, now: int) -> bool:
        core = self._instance.core
        if self._by_operator and core.endpoints.instance_disabled(core.settings.instance_id):
            return False
        guard = self._replication.staleness_guard if self._replication else None
        return guard is None or guard.is_current(now)

    def _fence_changed(self, fenced: bool) -> None:  # noqa: FBT001 - the fence calls it by position
        self._link.set_suspended(suspended=fenced)
        if self._history:
            self._history.fencing_changed(fenced=fenced)
