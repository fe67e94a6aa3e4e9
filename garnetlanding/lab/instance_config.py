"""The configuration files of an experiment's instances: the platform's (JSON) and the operators' (TOML)."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.faults import FaultKind

DEFAULT_SETTINGS: dict[str, Any] = {
    "TickUs": 2000,
    "MembershipMode": "pushed",
    "Classes": [
        {
            "Name": "read",
            "Credit": 2.0,
            "LateValue": 0.2,
            "PromiseUs": 300_000,
            "GiveUpUs": 1_500_000,
            "Effect": "free",
        }
    ],
    "Contracts": [
        {
            "Name": "gold",
            "Weight": 1.0,
            "UsualRate": 40.0,
            "Guaranteed": 40.0,
            "NeverOver": 40.0,
            "LimitBurst": 64.0,
        }
    ],
    "Limits": {
        "MaxAttempts": 3,
        "Cancel": True,
        "RetryAfter": True,
        "MaxRetryAfterUs": 2_000_000,
        "ConnIdleUs": 30_000_000,
        "DialTimeoutUs": 250_000,
        "ParallelTries": True,
        "MayTell": True,
    },
    "Rules": {"ColdFrom": 0.2, "ColdUs": 14_000_000, "FallMultiple": 2.0, "FallUs": 2_000_000},
    "FamilyInfo": {"ColdBears": 10.0, "Largest": 8, "ShareWorth": 0.4, "IdleWorth": 0.08},
}
"""The settings of every experiment; the experiment's own settings override them."""


@dataclass(frozen=True, slots=True)
class InstanceAddresses:
    """Where one instance listens and what it connects to, each as `HOST:PORT`."""

    listen: str
    ops: str
    discovery: str
    peer_listen: str
    peers: list[str]  # every instance, itself included, as this one reaches it


@dataclass(frozen=True, slots=True)
class OperatorOptions:
    """The values of one instance's operators' file that do not come from the experiment."""

    history: str  # path
    wall_file: str  # path of the file with the offset of the instance's wall clock
    seeds: list[str]  # addresses of the instances from which it discovers the others
    routes: dict[str, str]  # by a peer's own address, the address through which it is reached
    store: str  # writer: the address it listens on; follower: the address at which it reaches the writer
    is_writer: bool
    audit: str  # path of the audit folder


def deep_merge(base: dict[str, Any], override: dict[str, Any]) -> dict[str, Any]:
    """Return the base with the override's values in place of its own, merging nested tables."""
    result = dict(base)
    for key, value in override.items():
        replaced = base.get(key)
        if isinstance(value, dict) and isinstance(replaced, dict):
            result[key] = deep_merge(replaced, value)
        else:
            result[key] = value
    return result


def platform_configuration(
    experiment: Experiment, instance: int, addresses: InstanceAddresses
) -> dict[str, Any]:
    """Return the platform's configuration of one instance; a duplicate identity gets the number it claims."""
    number: int | None = instance
    for fault in experiment.faults_of(FaultKind.DUPLICATE_IDENTITY):
        if fault.instance == instance:
            number = fault.claimed_instance
            break
    settings = deep_merge(DEFAULT_SETTINGS, experiment.settings)
    return {
        "name": f"n{instance}",
        "listen": addresses.listen,
        "ops": addresses.ops,
        "discovery": addresses.discovery,
        "seed": f"{experiment.seed + instance:x}",
        "peer_listen": addresses.peer_listen,
        "peers": addresses.peers,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": settings | {"Balancers": experiment.instances, "Me": number},
    }


def operator_file(experiment: Experiment, options: OperatorOptions) -> str:
    """Return the operators' file (TOML) of one instance."""
    lines = [
        "[history]",
        f"file = {json.dumps(options.history)}",
        f"wall_file = {json.dumps(options.wall_file)}",
        *_choices_lines(experiment),
        *_fleet_lines(experiment, options),
        *_store_lines(experiment, options),
    ]
    if experiment.audit:
        lines += ["[audit]", f"folder = {json.dumps(options.audit)}", "checkpoint_s = 1"]
    return "\n".join(lines) + "\n"


def _choices_lines(experiment: Experiment) -> list[str]:
    if not experiment.choices:
        return []
    return ["[choices]", *(f"{key} = {json.dumps(value)}" for key, value in experiment.choices.items())]


def _fleet_lines(experiment: Experiment, options: OperatorOptions) -> list[str]:
    lines: list[str] = []
    if experiment.peer_links:
        lines += ["[fleet]", f"budgets = {json.dumps(experiment.quota_leases)}"]
    if experiment.backend_connections:
        lines.append(f"server_connections = {experiment.backend_connections}")
    if experiment.seed_instances:
        lines += [f"seeds = {json.dumps(options.seeds)}", "[fleet.routes]"]
        lines += [f"{json.dumps(own)} = {json.dumps(route)}" for own, route in options.routes.items()]
    return lines


def _store_lines(experiment: Experiment, options: OperatorOptions) -> list[str]:
    if not experiment.store:
        return []
    role = "writer" if options.is_writer else "follower"
    lines = [
        "[store]",
        f"role = {json.dumps(role)}",
        'writer = "n0"',
        f"address = {json.dumps(options.store)}",
    ]
    if experiment.staleness_limit_s and not options.is_writer:
        lines.append(f"current_s = {experiment.staleness_limit_s}")
    return lines
