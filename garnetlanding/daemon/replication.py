"""Replication of the store: a writer sends changes to its followers, a follower receives its writer's."""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.store.setup import StoreRole, StoreSetup

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.store.staleness_guard import StalenessGuard


class StoreReplication(Subsystem):
    """Owns this instance's side of the replication."""

    name = "replication"

    def __init__(self, instance: Instance, setup: StoreSetup) -> None:
        self._instance = instance
        self._setup = setup
        # Set by `start` on a follower that must not act on stale settings.
        self.staleness_guard: StalenessGuard | None = None

    def start(self) -> None:
        """Listen for followers, or connect to the writer."""
        if self._setup.role is StoreRole.WRITER:
            self._listen()
        else:
            self._follow()

    def _listen(self) -> None:
        from garnetlanding.store.writer_machine import WriterMachine

        instance = self._instance
        instance.listen(
            "followers",
            self._setup.address,
            instance.limits.store_followers,
            lambda write: WriterMachine(instance.store, instance.scheduler, instance.limits, write),
        )

    def _follow(self) -> None:
        from garnetlanding.choices.stagger import stagger_offset
        from garnetlanding.store.follower import Follower, FollowerOptions

        instance = self._instance
        setup = self._setup
        if setup.max_staleness_us:
            from garnetlanding.store.staleness_guard import StalenessGuard

            self.staleness_guard = StalenessGuard(
                setup.max_staleness_us, setup.max_clock_drift, instance.scheduler.now
            )
        settings = instance.core.settings
        offset = stagger_offset(settings.instance_id, settings.instances, "store")
        options = FollowerOptions(setup.address, offset)
        Follower(
            instance.scheduler,
            instance.pool,
            instance.limits,
            instance.store,
            options,
            self.staleness_guard,
        )
