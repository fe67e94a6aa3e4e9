"""The platform's configuration (JSON): read, checked and given defaults."""

from __future__ import annotations

import json
import os
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from garnetlanding import wire
from garnetlanding.config.operator import OperatorConfig, read_operator
from garnetlanding.config.section import ConfigError, Section
from garnetlanding.decision import interface as api
from garnetlanding.discovery.listing import ListError, read_list
from garnetlanding.limits import Limits
from garnetlanding.runtime.stream import parse_address

if TYPE_CHECKING:
    from garnetlanding.ninep.setup import NinepSetup
    from garnetlanding.peers.setup import PeerSetup

# The platform's variables, each with the key of the file that it overrides.
ENVIRONMENT = {
    "name": "RELAY_NAME",
    "listen": "RELAY_LISTEN",
    "discovery": "RELAY_DISCOVERY",
    "ops": "RELAY_OPS",
}

# What the list of servers is where the configuration has none: empty, and older than any other.
NO_KNOWN_LIST: dict[str, Any] = {"generation": 0, "reset": True, "instances": []}


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration of one instance, checked: the platform's file and the operator's."""

    name: str
    listen: str  # HOST:PORT for RESP2 clients
    discovery: str  # HOST:PORT
    file_discovery: str  # as the file has it, whatever overrides it: a reload looks for a change of this
    seed: int
    settings: api.Settings
    raw_settings: dict[str, Any]  # as the file has them; the store passes them on in this form
    limits: Limits
    known: dict[str, Any] = field(default_factory=dict)  # the list of servers to start with
    operator: OperatorConfig = OperatorConfig()
    ops: str = ""  # HOST:PORT of the admin service; empty: off
    peers: PeerSetup | None = None  # the link to other instances; None where the settings forbid it


# What a reload cannot change: key of the file, and where the checked configuration has it.
RESTART_ONLY: dict[str, Callable[[Config], object]] = {
    "name": lambda config: config.name,
    "listen": lambda config: config.listen,
    "ops": lambda config: config.ops,
    "limits": lambda config: config.limits,
    "operator": lambda config: config.operator,
}


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Return nested JSON as the simulator's pairs `a.b.0.c=text`, so that one reader serves both."""
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


def _share_with_ninep(limits: Limits, ninep: NinepSetup) -> Limits:
    """Return the limits with 9P's connections taken out of the descriptors of the other clients.

    A fifth each is for 9P's clients and for its server connections, unless the operator says how many.
    """
    clients = ninep.clients or limits.client_conns // 5
    servers = ninep.server_connections or limits.backend_conns // 5
    left = limits.client_conns - clients - servers
    if left < limits.client_conns // 5:
        raise ConfigError.at_key(
            "ninep.clients",
            f"{clients} and {servers} server connections leave {left} of {limits.client_conns} "
            f"to other clients, at least {limits.client_conns // 5} are needed",
        )
    return replace(limits, ninep_conns=clients, client_conns=left, ninep_server_conns=servers)


def _read_limits(top: Section, flat_settings: Mapping[str, str]) -> Limits:
    """Return every bound, fitted to the platform's memory and descriptors and to its connection times."""
    given = Section(top.raw("limits") or {}, "limits")
    sockets = int(given.number("sockets", 128, 1024))
    memory_mb = given.number("memory_mb", 32, 192)
    base = Limits().fit(int(memory_mb * (1 << 20)), sockets, bool(top.raw("ops")))
    idle_us = int(float(flat_settings.get("Limits.ConnIdleUs", 0))) or base.backend_idle_us * 5 // 4
    return replace(
        base,
        # An idle connection is closed here a fifth of the time before its server would close it.
        backend_idle_us=idle_us * 4 // 5,
        dial_us=int(float(flat_settings.get("Limits.DialTimeoutUs", 0))) or base.dial_us,
    )


def read_settings(raw: dict[str, Any]) -> api.Settings:
    """Check settings in the platform's form, as a file or the store has them. Raises ConfigError."""
    try:
        return wire.settings_from(flatten(raw))
    except wire.WireError as problem:
        raise ConfigError.at_key("settings", problem) from problem


def _read_seed(top: Section) -> int:
    text = top.text("seed", "0")
    try:
        return int(text, 16)
    except ValueError as problem:
        raise top.error("seed", f"not hexadecimal: {text!r:.40}") from problem


def _read_known(top: Section) -> dict[str, Any]:
    known: dict[str, Any] = top.raw("known") or NO_KNOWN_LIST
    try:
        read_list(known, lambda us: us)
    except ListError as problem:
        raise top.error("known", problem) from problem
    return known


def _read_peers(top: Section, settings: api.Settings) -> PeerSetup | None:
    if not settings.may_message_peers:
        return None  # what the settings forbid is not imported
    from garnetlanding.peers import setup

    return setup.read(top, settings.instance_id)


def read(data: object, operator: object = None, env: Mapping[str, str] | None = None) -> Config:
    """Check a configuration in the platform's form, and an operator's beside it.

    What the environment `env` sets overrides the platform's object. The first fault raises ConfigError.
    """
    if not isinstance(data, dict):
        raise ConfigError("the configuration is not an object")
    overrides = (
        {key: env[variable] for key, variable in ENVIRONMENT.items() if env.get(variable)} if env else {}
    )
    top = Section(data | overrides, "")
    raw_settings = Section(top.raw("settings"), "settings").data
    settings = read_settings(raw_settings)
    seed = _read_seed(top)
    known = _read_known(top)
    limits = _read_limits(top, flatten(raw_settings))
    extras = read_operator({} if operator is None else operator, settings, top.text("name"))
    if extras.ninep:
        limits = _share_with_ninep(limits, extras.ninep)
    peers = _read_peers(top, settings)
    return Config(
        name=top.text("name"),
        listen=top.address("listen"),
        discovery=top.address("discovery"),
        file_discovery=data.get("discovery", ""),
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
    """Read and check the platform's file and, if given, an operator's.

    Without a `path` the file is that of RELAY_CONFIG; other RELAY_* variables override what it says.
    A file that cannot be read, is malformed or has a faulty key raises ConfigError.
    """
    path = path or env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError.at_key("RELAY_CONFIG", "not set, and no --config given")
    data = _parse(path, json.loads, "JSON")
    operator_data = _parse(operator, tomllib.loads, "TOML") if operator else None
    return read(data, operator_data, env)


def merge_reloaded(old: Config, new: Config) -> tuple[Config, list[str]]:
    """Return what a running instance goes on with after its file was read anew.

    Beside it come the keys that differ but that only a restart takes up. The environment is that of the
    start: it must not hide a discovery address that the file newly names.
    """
    moved = new.file_discovery != old.file_discovery
    discovery = new.file_discovery if moved else old.discovery
    try:
        parse_address(discovery)
    except (ValueError, AttributeError) as problem:
        raise ConfigError.at_key("discovery", problem) from problem
    for_restart = [key for key, value in RESTART_ONLY.items() if value(old) != value(new)]
    merged = replace(
        old,
        discovery=discovery,
        file_discovery=new.file_discovery,
        settings=new.settings,
        raw_settings=new.raw_settings,
        peers=new.peers,
    )
    return merged, for_restart


def _parse(path: str, parse: Callable[[str], Any], form: str) -> Any:
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read())
    except OSError as problem:
        raise ConfigError(f"cannot read {path}: {problem.strerror}", file=path) from problem
    except ValueError as problem:
        raise ConfigError(f"{path} is not {form}: {problem}", file=path) from problem
