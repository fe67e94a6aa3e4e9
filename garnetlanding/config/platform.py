"""The platform's configuration (JSON): read, validated and completed by defaults."""

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

ENVIRONMENT = {
    "name": "RELAY_NAME",
    "listen": "RELAY_LISTEN",
    "discovery": "RELAY_DISCOVERY",
    "ops": "RELAY_OPS",
}
"""The environment variable that overrides each of these keys of the file."""

PATH_VARIABLE = "RELAY_CONFIG"
"""The environment variable with the path of the platform's file."""

EMPTY_LISTING: dict[str, Any] = {"generation": 0, "reset": True, "instances": []}
"""The default of the configured endpoint list: empty, and older than any other."""

NINEP_CONNECTION_DIVISOR = 5
"""By default a fifth of the connections is reserved for 9P; at least a fifth must remain for others."""


@dataclass(frozen=True, slots=True)
class Config:
    """The validated configuration of one instance: the platform's file and the operator's."""

    name: str
    listen: str  # HOST:PORT for RESP2 clients
    discovery: str  # HOST:PORT
    file_discovery: str  # from the file, without an override, for comparison on reload
    seed: int
    settings: api.Settings
    raw_settings: dict[str, Any]  # in the form of the file, in which the store replicates them
    limits: Limits
    configured_listing: dict[str, Any] = field(default_factory=dict)  # initial endpoints, in discovery's form
    operator: OperatorConfig = field(default_factory=OperatorConfig)
    admin_address: str = ""  # HOST:PORT of the admin service, which is off if empty
    peers: PeerSetup | None = None  # the link to other instances; None if the settings forbid it


RESTART_ONLY: dict[str, Callable[[Config], object]] = {
    "name": lambda config: config.name,
    "listen": lambda config: config.listen,
    "ops": lambda config: config.admin_address,
    "limits": lambda config: config.limits,
    "operator": lambda config: config.operator,
}
"""The keys of the file that a reload cannot change, each with its value in the validated configuration."""


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Flatten nested JSON into pairs `a.b.0.c=text`, the simulator's form, so that one parser reads both."""
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        items = {"count": len(value), **{str(i): v for i, v in enumerate(value)}}.items()
    else:
        return {path: _setting_text(value)}
    pairs: dict[str, str] = {}
    for key, inner in items:
        pairs |= flatten(inner, f"{path}.{key}" if path else str(key))
    return pairs


def _setting_text(value: object) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "true" if value else "false"
        case list():
            return ",".join(_setting_text(v) for v in value)
    return str(value)


def _reserve_ninep_connections(limits: Limits, ninep: NinepSetup) -> Limits:
    """Return the limits with the connections of 9P deducted from the client connections.

    9P needs connections to its clients and to its servers; both are deducted. The defaults are a fifth of
    the client connections for its clients, and a number equal to a fifth of the backend connections for its
    servers.
    """
    clients = ninep.max_clients or limits.client_connections // NINEP_CONNECTION_DIVISOR
    servers = ninep.max_server_connections or limits.backend_connections // NINEP_CONNECTION_DIVISOR
    remaining = limits.client_connections - clients - servers
    required = limits.client_connections // NINEP_CONNECTION_DIVISOR
    if remaining < required:
        raise ConfigError.at_key(
            "ninep.clients",
            f"{clients} and {servers} server connections leave {remaining} of {limits.client_connections} "
            f"to other clients, at least {required} are needed",
        )
    return replace(
        limits,
        ninep_client_connections=clients,
        client_connections=remaining,
        ninep_server_connections=servers,
    )


def _read_limits(top: Section, flat_settings: Mapping[str, str]) -> Limits:
    """Return the limits that fit the configured memory, descriptors and connection times."""
    section = Section(top.raw("limits") or {}, "limits")
    sockets = int(section.number("sockets", 128, 1024))
    memory_mb = section.number("memory_mb", 32, 192)
    base = Limits().fit(int(memory_mb * (1 << 20)), sockets, has_admin_service=bool(top.raw("ops")))
    connect_timeout_us = int(float(flat_settings.get("Limits.DialTimeoutUs", 0)))
    server_idle_us = int(float(flat_settings.get("Limits.ConnIdleUs", 0)))
    return replace(
        base,
        # Close an idle connection well before its server does, which would fail the next request on it.
        backend_idle_us=server_idle_us * 4 // 5 if server_idle_us else base.backend_idle_us,
        connect_timeout_us=connect_timeout_us or base.connect_timeout_us,
    )


def read_settings(raw: dict[str, Any]) -> api.Settings:
    """Validate settings in the platform's form, from a file or the store. Raises ConfigError."""
    try:
        return wire.build_settings(flatten(raw))
    except wire.WireError as problem:
        raise ConfigError.at_key("settings", problem) from problem


def _read_seed(top: Section) -> int:
    text = top.text("seed", "0")
    try:
        return int(text, 16)
    except ValueError as problem:
        raise top.error("seed", f"not hexadecimal: {text!r:.40}") from problem


def _read_configured_listing(top: Section) -> dict[str, Any]:
    listing: dict[str, Any] = top.raw("known") or EMPTY_LISTING
    try:
        read_list(listing, lambda us: us)
    except ListError as problem:
        raise top.error("known", problem) from problem
    return listing


def _read_peers(top: Section, settings: api.Settings) -> PeerSetup | None:
    if not settings.may_message_peers:
        return None  # without importing the package
    from garnetlanding.peers import setup

    return setup.read(top, settings.instance_id)


def read(data: object, operator: object = None, env: Mapping[str, str] | None = None) -> Config:
    """Validate a configuration in the platform's form, and the operator's in addition.

    The environment variables in `env` override the platform's object. Raises ConfigError for the first fault.
    """
    if not isinstance(data, dict):
        raise ConfigError.not_an_object()
    overrides = (
        {key: env[variable] for key, variable in ENVIRONMENT.items() if env.get(variable)} if env else {}
    )
    top = Section(data | overrides, "")
    raw_settings = Section(top.raw("settings"), "settings").data
    settings = read_settings(raw_settings)
    seed = _read_seed(top)
    configured_listing = _read_configured_listing(top)
    limits = _read_limits(top, flatten(raw_settings))
    subsystems = read_operator({} if operator is None else operator, settings, top.text("name"))
    if subsystems.ninep:
        limits = _reserve_ninep_connections(limits, subsystems.ninep)
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
        configured_listing=configured_listing,
        operator=subsystems,
        admin_address=top.address("ops") if top.raw("ops") is not None else "",
        peers=peers,
    )


def load(path: str | None, operator: str | None = None, env: Mapping[str, str] = os.environ) -> Config:
    """Read and validate the platform's file and, if given, an operator's.

    Without a `path` the file is that of RELAY_CONFIG; other RELAY_* variables override keys of the file.
    Raises ConfigError for a file that cannot be read, is malformed or has a faulty key.
    """
    path = path or env.get(PATH_VARIABLE)
    if not path:
        raise ConfigError.at_key(PATH_VARIABLE, "not set, and no --config given")
    data = _parse(path, json.loads, "JSON")
    operator_data = _parse(operator, tomllib.loads, "TOML") if operator else None
    return read(data, operator_data, env)


def merge_reloaded(old: Config, new: Config) -> tuple[Config, list[str]]:
    """Return the configuration after a reload, and the changed keys that only a restart applies.

    A changed discovery address in the file takes precedence over the environment, which is fixed at the
    start of the process.
    """
    discovery_changed = new.file_discovery != old.file_discovery
    discovery = new.file_discovery if discovery_changed else old.discovery
    try:
        parse_address(discovery)
    except (ValueError, AttributeError) as problem:
        raise ConfigError.at_key("discovery", problem) from problem
    restart_keys = [key for key, value in RESTART_ONLY.items() if value(old) != value(new)]
    merged = replace(
        old,
        discovery=discovery,
        file_discovery=new.file_discovery,
        settings=new.settings,
        raw_settings=new.raw_settings,
        peers=new.peers,
    )
    return merged, restart_keys


def _parse(path: str, parse: Callable[[str], Any], file_format: str) -> Any:
    try:
        # pathlib is avoided: an instance without an operator's file does not import it otherwise.
        with open(path, encoding="utf-8") as file:  # noqa: PTH123 - see above
            return parse(file.read())
    except OSError as problem:
        raise ConfigError.unreadable(path, problem) from problem
    except ValueError as problem:
        raise ConfigError.malformed(path, file_format, problem) from problem
