"""The parameters of a simulated fleet: sizes, load, fault, and the settings of the instances."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from garnetlanding.decision import interface as api

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds

READ = api.ClassSpec("read", 2.0, 0.15, 550 * MS, 2640 * MS, api.Effect.SAFE)
WRITE = api.ClassSpec("write", 2.0, 0.2, 880 * MS, 4400 * MS, api.Effect.SAFE)
PLANS = {
    "standard": api.PlanSpec("standard", 1.0, 1.2, 0.6, priority_weight_factor=0.72),
    "priority": api.PlanSpec("priority", 1.0, 1.9, 2.3, priority_weight_factor=1.2),
}


class FleetFault(Enum):
    """The main fault of a simulated run."""

    HERD = "herd"  # discovery is overloaded, backends are replaced, most instances are killed and start again
    ZONE = "zone"  # backends fail together and start again together
    JOIN = "join"  # backends are replaced one after another


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The parameters of a run. Times are microseconds, rates units a second, shares between 0 and 1.

    Of `affected_share` of the backends, JOIN and HERD replace all and ZONE loses half.
    """

    fault: FleetFault = FleetFault.HERD
    instances: int = 40
    backends: int = 60  # one a cell
    seed: int = 1
    length_us: int = 24 * SECOND  # of the load; requests still in flight may end later

    volumes_per_backend: int = 5
    load: float = 1.0  # offered load as a multiple of the plans' usual rates

    service_rate: float = 18.0  # of a backend that is warm
    queue_limit: int = 60  # requests that a backend has accepted and not yet served
    connection_limit: int = 200  # of a backend; each instance that has sent to it keeps one
    warmup_initial_fraction: float = 0.2
    warmup_us: int = 14 * SECOND
    warmup_units: float = 2.0
    overload_multiple: float = 2.5
    overload_window_us: int = 1500 * MS

    pushed_lists: bool = False  # changes are sent to every instance, `push_delay_us` late; nobody polls
    push_delay_us: int = 3 * SECOND
    list_calls_per_s: float = 100.0  # that discovery answers
    overloaded_list_calls_per_s: float = 6.0  # the same under HERD, once the watches have ended
    list_call_timeout_us: int = 2 * SECOND  # a call that waited longer fails, and still takes its time

    fault_at_us: int = 7 * SECOND
    affected_share: float = 0.6  # of the backends
    replacement_spread_us: int = 7 * SECOND  # from the first replaced backend to the last
    absence_us: int = 3 * SECOND  # from a backend's stop to the start of its replacement
    discovery_outage_us: int = 0  # from the fault on: watches end, and calls fail for this long
    unresponsive_share: float = 0.0  # of the backends, which accept work and never respond after the fault


def instance_settings(config: FleetConfig, instance_id: int) -> api.Settings:
    """Return the settings of one instance of the fleet."""
    return api.Settings(
        instances=config.instances,
        instance_id=instance_id,
        tick_us=MS,
        classes={"read": READ, "write": WRITE},
        plans=PLANS,
        poll_endpoints=not config.pushed_lists,
        max_attempts=4,
        parallel_attempts=False,
        may_cancel=True,
        may_check_health=False,
        honors_retry_after=True,
        max_retry_after_us=2 * SECOND,
        warmup_initial_fraction=config.warmup_initial_fraction,
        warmup_us=config.warmup_us,
        warmup_units=config.warmup_units,
        overload_multiple=config.overload_multiple,
        overload_window_us=config.overload_window_us,
        ordered_key_pause_us=0,
        retry_budget_ratio=0.0,
        retry_budget_floor=0.0,
        retry_budget_window_us=0,
        over_quota_value_fraction=0.4,
        idle_value_fraction=0.08,
        max_units=6.0,
        cells=config.backends,
    )
