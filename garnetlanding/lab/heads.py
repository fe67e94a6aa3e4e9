"""The configuration of each head of an experiment, in the platform's form."""

from __future__ import annotations

import json
from typing import Any

from garnetlanding.lab.experiment import Experiment

SETTINGS: dict[str, Any] = {
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


def above(base: dict[str, Any], more: dict[str, Any]) -> dict[str, Any]:
    """The base with what `more` says above it, table by table."""
    return base | {
        key: above(base[key], value) if isinstance(value, dict) and isinstance(base.get(key), dict) else value
        for key, value in more.items()
    }


def configuration(
    experiment: Experiment, me: int, listen: str, ops: str, discovery: str, peer_listen: str, peers: list[str]
) -> dict[str, Any]:
    number = next((f.alias for f in experiment.faults if f.kind == "twin" and f.who == me), me)
    settings = above(SETTINGS, experiment.settings) | {"Balancers": experiment.heads, "Me": number}
    return {
        "name": f"n{me}",
        "listen": listen,
        "ops": ops,
        "discovery": discovery,
        "seed": f"{experiment.seed + me:x}",
        "peer_listen": peer_listen,
        "peers": peers,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": settings,
    }


def operators_file(
    experiment: Experiment,
    history: str,
    wall: str,
    seeds: list[str],
    routes: dict[str, str],
    store: str,
    writes: bool,
    audit: str,
) -> str:
    """`wall`: a file that says how far the head's wall clock is off; `store`: where the writer listens, or is
    reached."""
    lines = ["[history]", f"file = {json.dumps(history)}", f"wall_file = {json.dumps(wall)}"]
    if experiment.choices:
        lines += ["[choices]", *(f"{key} = {json.dumps(value)}" for key, value in experiment.choices.items())]
    if experiment.fleet:
        lines += ["[fleet]", f"budgets = {json.dumps(experiment.budgets)}"]
    if experiment.server_connections:
        lines.append(f"server_connections = {experiment.server_connections}")
    if experiment.group:
        lines += [f"seeds = {json.dumps(seeds)}", "[fleet.routes]"]
        lines += [f"{json.dumps(at)} = {json.dumps(through)}" for at, through in routes.items()]
    if experiment.store:
        role = "writer" if writes else "follower"
        lines += ["[store]", f"role = {json.dumps(role)}", 'writer = "n0"', f"address = {json.dumps(store)}"]
        if experiment.current_s and not writes:
            lines.append(f"current_s = {experiment.current_s}")
    if experiment.audit:
        lines += ["[audit]", f"folder = {json.dumps(audit)}", "checkpoint_s = 1"]
    return "\n".join(lines) + "\n"
