"""Registry of the volumes whose requests this instance serves."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Set as AbstractSet

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.cell_registry import CellRegistry
from garnetlanding.decision.volume import Volume


class VolumeRegistry:
    """Owns the volumes by name; a volume exists from its first request until it expires."""

    __slots__ = ("_cells", "_max_volumes", "by_name")

    def __init__(self, cells: CellRegistry, max_volumes: int) -> None:
        """`cells` hold the queued requests, which are retagged when a weight changes.

        Up to `max_volumes` volumes are kept besides those with unfinished requests.
        """
        self.by_name: dict[str, Volume] = {}
        self._cells = cells
        self._max_volumes = max_volumes

    @property
    def is_full(self) -> bool:
        """Whether volumes have to be dropped before another is added."""
        return len(self.by_name) >= self._max_volumes

    def get_or_add(
        self, arrival: api.Arrival, plan: api.PlanSpec, now: int, settings: api.Settings
    ) -> Volume:
        """Return the volume of an arrival; create it for its first request."""
        volume = self.by_name.get(arrival.volume)
        if volume is None:
            volume = Volume(plan.weight, plan, max(1, arrival.serving_instances))
            volume.start_plan(now, plan, settings)
            self.by_name[arrival.volume] = volume
        return volume

    def apply_settings(self, now: int, settings: api.Settings, *, quota_changed: bool) -> None:
        """Restart the plans that the settings change, or all plans if the process quota has changed.

        A volume's weight changes only with its plan.
        """
        for name, volume in self.by_name.items():
            plan = settings.plans.get(volume.plan.name, volume.plan)
            plan_changed = plan != volume.plan
            if plan_changed or quota_changed:
                volume.start_plan(now, plan, settings)
            if plan_changed:
                self.set_weight(name, plan.weight)

    def apply_quotas(self, now: int, settings: api.Settings, quotas: Mapping[str, float]) -> None:
        """Set this instance's quotas of the named volumes."""
        for name, quota in quotas.items():
            volume = self.by_name[name]
            volume.quota = quota
            volume.reconfigure_buckets(now, settings)

    def set_weight(self, name: str, weight: float) -> None:
        """Change a volume's weight and the tags of its queued requests."""
        self.by_name[name].weight = weight
        for queue in self._cells.queues.values():
            if name in queue.flows:
                queue.flows[name].retag_for_weight(queue.virtual_time, weight)

    def drop_idle(self, now: int) -> None:
        """Drop idle volumes to bound memory.

        Only volumes with the default quota are dropped: they have the same state when they are created again.
        Volumes with queued requests are kept, because deadlines may be longer than the expiry.
        """
        idle_since = now - tuning.IDLE_VOLUME_EXPIRY_US
        idle = [
            name
            for name, volume in self.by_name.items()
            if volume.reserve.refilled_at < idle_since and volume.has_default_quota
        ]
        for name in idle:
            queues = [queue for queue in self._cells.queues.values() if name in queue.flows]
            if any(queue.flows[name].queued for queue in queues):
                continue
            self._drop(name)

    def drop_least_recent(self, in_use: AbstractSet[str]) -> None:
        """Drop a fraction of the volumes, those first whose last request is longest ago.

        Volumes that are `in_use`, by unfinished requests, and those with a quota of their own are kept.
        """
        candidates = [
            name for name, volume in self.by_name.items() if name not in in_use and volume.has_default_quota
        ]
        candidates.sort(key=lambda name: self.by_name[name].reserve.refilled_at)
        for name in candidates[: max(1, self._max_volumes // tuning.DROPPED_VOLUMES_DIVISOR)]:
            self._drop(name)

    def _drop(self, name: str) -> None:
        del self.by_name[name]
        for queue in self._cells.queues.values():
            queue.flows.pop(name, None)
