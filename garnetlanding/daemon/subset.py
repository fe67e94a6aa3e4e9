"""The subset of backends to which this instance keeps idle connections open."""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetlanding.choices.setup import ChoicesSetup
from garnetlanding.choices.subset_tracker import SubsetTracker
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.daemon.peer_group import PeerGroup


class BackendSubset(Subsystem):
    """Closes idle connections to backends outside the subset sooner than others."""

    name = "backend subset"

    def __init__(self, instance: Instance, setup: ChoicesSetup, group: PeerGroup | None) -> None:
        self._instance = instance
        self._setup = setup
        self._group = group
        self._tracker = SubsetTracker(setup.subset_size)

    def start(self) -> None:
        """Apply the subset to the backend connections."""
        self._instance.backends.sweeper.outside_subset_idle_us = self._setup.idle_timeout_us
        self._instance.backends.sweeper.backend_subset = self._current

    def _current(self) -> frozenset[str]:
        core = self._instance.core
        membership = self._group.membership if self._group else None
        instances = membership.members.quota_holders if membership else range(core.settings.instances)
        return self._tracker.update(core.settings.instance_id, instances, core.endpoints.zones())
