"""What an experiment is: how many processes run, what clients ask of them, and which faults strike."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from garnetlanding.lab.faults import Fault, FaultKind


@dataclass(frozen=True, slots=True)
class Workload:
    """What clients ask for: open loop, drawn from the experiment's seed."""

    volumes: int = 4
    requests_per_s: float = 60.0  # over all volumes
    units: int = 2  # of each request
    instances_per_volume: int = 2  # that a volume's requests come through
    busiest_fraction: float = 1.0  # of a volume's requests that comes through its busiest instance
    shift_interval_us: int = 0  # so often another instance becomes the busiest; 0: never
    client_timeout_us: int = 1_500_000  # that a client waits for its answer


@dataclass(frozen=True, slots=True)
class Experiment:
    """One experiment; with the same seed its requests and its faults are the same each time."""

    name: str
    seed: int
    instances: int
    backends: int
    duration_us: int
    workload: Workload
    settings: dict[str, Any] = field(default_factory=dict)  # merged over `instance_config.DEFAULT_SETTINGS`
    faults: tuple[Fault, ...] = ()
    peer_links: bool = True  # instances exchange suspicions and disabled backends
    seed_instances: int = 0  # instances find each other from the first so many; 0: each is given all
    quota_leases: bool = False  # shared limits move between instances by leases
    backend_connections: int = 0  # of all instances at one backend; 0: each instance for itself
    choices: dict[str, Any] = field(default_factory=dict)  # the operator's section of that name
    audit: bool = False  # instances record what they act on; compared with their histories
    staleness_limit_s: float = 0.0  # a follower that cannot show that it is so current is suspended
    store: bool = False  # n0 is the writer of a settings store that the others follow

    def faults_of(self, *kinds: FaultKind) -> list[Fault]:
        """Return the faults of these kinds, in the file's order."""
        return [fault for fault in self.faults if fault.kind in kinds]

    def instances_affected_by(self, *kinds: FaultKind) -> set[int]:
        """Return the numbers of the instances that a fault of these kinds is about."""
        return {fault.instance for fault in self.faults_of(*kinds) if fault.instance is not None}
