"""The requests of an experiment's clients, drawn in advance from its seed and thus reproducible."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.limits import SECOND


@dataclass(frozen=True, slots=True)
class Request:
    """One request: when and to which instance it is sent, and its attributes."""

    start_us: int  # after the clients' start
    id: str
    instance: int
    volume: str
    cell: int
    units: int
    instances_per_volume: int
    client_timeout_us: int


def encode_request(request: Request) -> dict[str, Any]:
    """Return a request in the form of plan.json, which the clients' process reads."""
    return {
        "at_us": request.start_us,
        "id": request.id,
        "head": request.instance,
        "volume": request.volume,
        "cell": request.cell,
        "units": request.units,
        "hosts": request.instances_per_volume,
        "wait_us": request.client_timeout_us,
    }


def decode_request(fields: dict[str, Any]) -> Request:
    """Return the request that `encode_request` encoded."""
    return Request(
        start_us=fields["at_us"],
        id=fields["id"],
        instance=fields["head"],
        volume=fields["volume"],
        cell=fields["cell"],
        units=fields["units"],
        instances_per_volume=fields["hosts"],
        client_timeout_us=fields["wait_us"],
    )


def volume_name(number: int) -> str:
    """Return the name of a volume: its number in 16 hexadecimal digits."""
    return f"{number:016x}"


def volume_instances(experiment: Experiment, volume: int) -> list[int]:
    """Return the instances that receive a volume's requests."""
    return [
        (volume + offset) % experiment.instances for offset in range(experiment.workload.instances_per_volume)
    ]


def busiest_instance(experiment: Experiment, volume: int, now_us: int) -> int:
    """Return the instance that receives most of a volume's requests at that time."""
    instances = volume_instances(experiment, volume)
    shift_interval_us = experiment.workload.shift_interval_us
    if not shift_interval_us:
        return instances[0]
    return instances[now_us // shift_interval_us % len(instances)]


def draw_requests(experiment: Experiment) -> list[Request]:
    """Return all requests by time: a Poisson process over all volumes."""
    workload = experiment.workload
    rng = random.Random(experiment.seed)
    requests: list[Request] = []
    now_us = 0.0
    while True:
        now_us += rng.expovariate(workload.requests_per_s) * SECOND
        if now_us >= experiment.duration_us:
            return requests
        volume = rng.randrange(workload.volumes)
        requests.append(
            Request(
                start_us=int(now_us),
                id=f"r{len(requests):06d}",
                instance=_draw_instance(experiment, volume, int(now_us), rng),
                volume=volume_name(volume),
                cell=volume % experiment.backends,
                units=workload.units,
                instances_per_volume=workload.instances_per_volume,
                client_timeout_us=workload.client_timeout_us,
            )
        )


def _draw_instance(experiment: Experiment, volume: int, now_us: int, rng: random.Random) -> int:
    busiest = busiest_instance(experiment, volume, now_us)
    others = [instance for instance in volume_instances(experiment, volume) if instance != busiest]
    if not others or rng.random() < experiment.workload.busiest_fraction:
        return busiest
    return rng.choice(others)
