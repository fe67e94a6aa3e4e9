"""What the clients of an experiment ask for, drawn ahead from its seed: the same requests each time."""

from __future__ import annotations

import random
from dataclasses import dataclass

from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.limits import SECOND


@dataclass(frozen=True, slots=True)
class Request:
    at_us: int  # after the clients begin
    id: str
    head: int
    volume: str
    cell: int
    units: int
    hosts: int
    wait_us: int


def volume_name(number: int) -> str:
    return f"{number:016x}"


def hosts_of(experiment: Experiment, volume: int) -> list[int]:
    """The heads that a volume's requests come through."""
    return [(volume + i) % experiment.heads for i in range(experiment.load.hosts)]


def leader(experiment: Experiment, volume: int, at_us: int) -> int:
    """Its busiest head at that time."""
    load, hosts = experiment.load, hosts_of(experiment, volume)
    return hosts[at_us // load.shift_us % len(hosts) if load.shift_us else 0]


def draw(experiment: Experiment) -> list[Request]:
    load, rng = experiment.load, random.Random(experiment.seed)
    requests: list[Request] = []
    at = 0.0
    while (at := at + rng.expovariate(load.rate) * SECOND) < experiment.length_us:
        volume = rng.randrange(load.volumes)
        hosts, first = hosts_of(experiment, volume), leader(experiment, volume, int(at))
        others = [head for head in hosts if head != first]
        head = first if not others or rng.random() < load.lead else rng.choice(others)
        requests.append(
            Request(
                int(at),
                f"r{len(requests):06d}",
                head,
                volume_name(volume),
                volume % experiment.bricks,
                load.units,
                load.hosts,
                load.wait_us,
            )
        )
    return requests
