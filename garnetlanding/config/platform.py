"""The platform's configuration (JSON): read, checked and given defaults."""

from __future__ import annotations

import json
import os
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from garnetlanding import wire
from garnetlanding.config.operator import Operator, read_operator
from garnetlanding.config.section import ConfigError, Section
from garnetlanding.decision import interface as api
from garnetlanding.discovery.listing import ListError, read_list
from garnetlanding.limits import Limits
from garnetlanding.runtime.stream import parse_address

if TYPE_CHECKING:
    from garnetlanding.ninep.setup import Ninep
    from garnetlanding.peers.setup import PeerSetup

# What a reload cannot change.
FIXED = ("name", "listen", "ops", "limits", "operator")
# The platform's variables, and the keys that they stand above.
ABOVE = {"name": "RELAY_NAME", "listen": "RELAY_LISTEN", "discovery": "RELAY_DISCOVERY", "ops": "RELAY_OPS"}


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: str
    discovery: str
    file_discovery: str  # as the file has it, whatever stands above it: a reload looks for a change of this
    seed: int
    settings: api.Settings
    raw_settings: dict[str, Any]
    limits: Limits
    known: dict[str, Any] = field(default_factory=dict)
    operator: Operator = Operator()
    ops: str = ""  # where operators call; empty: nowhere
    peers: PeerSetup | None = None  # the other heads, where the settings allow messages to them


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Nested JSON as the simulator's pairs `a.b.0.c=text`, so that one reader serves both."""
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        items = {"count": len(value), **{str(i): v for i, v in enumerate(value)}}.items()
    else:
        return {path: _plain(value)}
    pairs: dict[str, str] = {}
    for key, inner in items:
        pairs |= flatten(inner, f"{path}.{key}" if path else str(key))
    return pairs


def _plain(value: object) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "true" if value else "false"
        case list():
            return ",".join(_plain(v) for v in value)
    return str(value)


def _share_with_ninep(limits: Limits, ninep: Ninep) -> Limits:
    """9P's connections come out of the same descriptors: a fifth each, unless the operator says how many."""
    clients = ninep.clients or limits.client_conns // 5
    servers = ninep.server_connections or limits.brick_conns // 5
    left = limits.client_conns - clients - servers
    if left < limits.client_conns // 5:
        raise ConfigError(
            f"key ninep.clients: {clients} and {servers} server connections leave {left} of "
            f"{limits.client_conns} to other clients, at least {limits.client_conns // 5} are needed"
        )
    return replace(limits, ninep_conns=clients, client_conns=left, ninep_server_conns=servers)


def _limits(data: Section, pairs: Mapping[str, str]) -> Limits:
    """The platform's figures decide how much of everything there may be, and how long connections idle."""
    given = Section(data.raw("limits") or {}, "limits")
    sockets = int(given.number("sockets", 128, 1024))
    memory_mb = given.number("memory_mb", 32, 192)
    base = Limits().fit(int(memory_mb * (1 << 20)), sockets, bool(data.raw("ops")))
    idle_us = int(float(pairs.get("Limits.ConnIdleUs", 0))) or base.brick_idle_us * 5 // 4
    return replace(
        base,
        brick_idle_us=idle_us * 4 // 5,
        dial_us=int(float(pairs.get("Limits.DialTimeoutUs", 0))) or base.dial_us,
    )


def read_settings(raw: dict[str, Any]) -> api.Settings:
    try:
        return wire.settings_from(flatten(raw))
    except wire.WireError as problem:
        raise ConfigError(f"key settings: {problem}") from None


def read(data: object, operator: object = None, env: Mapping[str, str] | None = None) -> Config:
    """Checks one configuration object, in the platform's form, and an operator's beside it; what `env`
    sets stands above the object."""
    if not isinstance(data, dict):
        raise ConfigError("the configuration is not an object")
    above = {key: env[name] for key, name in ABOVE.items() if env.get(name)} if env else {}
    file_discovery, data = data.get("discovery", ""), data | above
    top = Section(data, "")
    raw_settings = Section(top.raw("settings"), "settings").data
    settings = read_settings(raw_settings)
    try:
        seed = int(top.text("seed", "0"), 16)
    except ValueError:
        raise ConfigError(f"key seed: not hexadecimal: {data['seed']!r:.40}") from None
    known = top.raw("known") or {"generation": 0, "reset": True, "instances": []}
    try:
        read_list(known, lambda us: us)
    except ListError as problem:
        raise ConfigError(f"key known: {problem}") from None
    limits = _limits(top, flatten(raw_settings))
    extras = read_operator({} if operator is None else operator, settings, top.text("name"))
    if extras.ninep:
        limits = _share_with_ninep(limits, extras.ninep)
    peers = None
    if settings.may_message_peers:  # what the settings forbid is not imported
        from garnetlanding.peers import setup as peers_setup

        peers = peers_setup.read(top, settings.me)
    return Config(
        name=top.text("name"),
        listen=top.address("listen"),
        discovery=top.address("discovery"),
        file_discovery=file_discovery,
        seed=seed,
        settings=settings,
        raw_settings=raw_settings,
        limits=limits,
        known=known,
        operator=extras,
        ops=top.address("ops") if top.raw("ops") is not None else "",
        peers=peers,
    )


def load(path: str | None, operator: str | None = None, env: Mapping[str, str] = os.environ) -> Config:
    """The file named, or the platform's; RELAY_* variables stand above what it says."""
    path = path or env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("key RELAY_CONFIG: not set, and no --config given")
    return read(
        _parse(path, json.loads, "JSON"), _parse(operator, tomllib.loads, "TOML") if operator else None, env
    )


def reload(old: Config, new: Config) -> tuple[Config, list[str]]:
    """What a running head goes on with after its file was read anew, and the keys that only a restart
    takes up. The environment is that of the start: it must not hide an address that the file newly names."""
    moved = new.file_discovery != old.file_discovery
    discovery = new.file_discovery if moved else old.discovery
    try:
        parse_address(discovery)
    except (ValueError, AttributeError) as problem:
        raise ConfigError(f"key discovery: {problem}") from None
    fixed = [key for key in FIXED if getattr(old, key) != getattr(new, key)]
    return replace(
        old,
        discovery=discovery,
        file_discovery=new.file_discovery,
        settings=new.settings,
        raw_settings=new.raw_settings,
        peers=new.peers,
    ), fixed


def _parse(path: str, parse: Callable[[str], Any], form: str) -> Any:
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read())
    except OSError as problem:
        raise ConfigError(f"cannot read {path}: {problem.strerror}") from None
    except ValueError as problem:
        raise ConfigError(f"{path} is not {form}: {problem}") from None
