"""The definition of an experiment: its processes, its workload and its faults."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from garnetlanding.lab.faults import Fault, FaultKind


@dataclass(frozen=True, slots=True)
class Workload:
    """The clients' open-loop load, drawn from the experiment's seed."""

    volumes: int = 4
    requests_per_s: float = 60.0  # over all volumes
    units: int = 2  # of each request
    instances_per_volume: int = 2  # how many instances receive a volume's requests
    busiest_fraction: float = 1.0  # of a volume's requests, sent to its busiest instance
    shift_interval_us: int = 0  # how often another instance becomes the busiest; 0: never
    client_timeout_us: int = 1_500_000  # how long a client waits for its response


@dataclass(frozen=True, slots=True)
class Experiment:
    """One experiment; the same seed yields the same requests and faults."""

    name: str
    seed: int
    instances: int
    backends: int
    duration_us: int
    workload: Workload
    settings: dict[str, Any] = field(default_factory=dict)  # merged over `instance_config.DEFAULT_SETTINGS`
    faults: tuple[Fault, ...] = ()
    peer_links: bool = True  # instances exchange suspicions and disabled backends
    seed_instances: int = 0  # instances discover each other from this many seeds; 0: each is given all peers
    quota_leases: bool = False  # instances exchange quotas of shared limits by leases
    backend_connections: int = 0  # limit of all instances together at one backend; 0: no shared limit
    choices: dict[str, Any] = field(default_factory=dict)  # the section of that name in the operators' file
    audit: bool = False  # instances write an audit, which is compared with their histories
    staleness_limit_s: float = (
        0.0  # a follower that cannot show its settings are newer is fenced; 0: no limit
    )
    store: bool = False  # n0 is the writer of a settings store that the others follow

    def faults_of(self, *kinds: FaultKind) -> list[Fault]:
        """Return the faults of these kinds, in the file's order."""
        return [fault for fault in self.faults if fault.kind in kinds]

    def instances_affected_by(self, *kinds: FaultKind) -> set[int]:
        """Return the numbers of the instances that faults of these kinds target."""
        return {fault.instance for fault in self.faults_of(*kinds) if fault.instance is not None}
