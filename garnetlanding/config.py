"""The one place where configuration is read, checked and given defaults."""

from __future__ import annotations

import json
import os
import tomllib
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from garnetlanding import wire
from garnetlanding.decision import interface as api
from garnetlanding.discovery.listing import ListError, read_list
from garnetlanding.limits import MS, SECOND, Limits
from garnetlanding.ninep.front import Export
from garnetlanding.runtime.stream import parse_address
from garnetlanding.telemetry.exporter import Collector

# What a reload cannot change.
FIXED = ("name", "listen", "limits", "operator")
# The platform's variables, and the keys that they stand above.
ABOVE = {"name": "RELAY_NAME", "listen": "RELAY_LISTEN", "discovery": "RELAY_DISCOVERY"}


class ConfigError(ValueError):
    """A configuration that cannot be used; the text names the key."""


@dataclass(frozen=True, slots=True)
class Ninep:
    """The 9P front, as an operator sets it up."""

    listen: str
    server_port: int  # of the file servers; 0: the port that discovery gives
    exports: dict[str, Export]


@dataclass(frozen=True, slots=True)
class StoreSetup:
    """The head's part in the replicated store. Alone: nobody copies from it, and it copies from nobody."""

    role: str = "alone"
    writer: str = ""  # the name of the one writer
    address: str = ""  # where the writer listens for followers
    file: str = ""


@dataclass(frozen=True, slots=True)
class Operator:
    """What an operator's file turns on; the platform has none."""

    ninep: Ninep | None = None
    telemetry: Collector | None = None
    store: StoreSetup = StoreSetup()


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


def _share_with_ninep(limits: Limits) -> Limits:
    """9P's connections come out of the same descriptors."""
    clients, servers = limits.client_conns // 5, limits.brick_conns // 5
    return replace(limits, ninep_conns=clients, client_conns=limits.client_conns - clients - servers,
                   ninep_server_conns=servers)


class Section:
    """One object of a configuration; knows its path, so that a message can name the key."""

    def __init__(self, value: object, path: str, known: str = "") -> None:
        if not isinstance(value, dict):
            raise ConfigError(f"key {path}: missing or not a table")
        self._data: dict[str, Any] = value
        self._path = path
        unknown = sorted(set(value) - set(known.split())) if known else []
        if unknown:
            raise ConfigError(f"key {self.name(unknown[0])}: not known here")

    def name(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def has(self, key: str) -> bool:
        return key in self._data

    def raw(self, key: str) -> Any:
        return self._data.get(key)

    def text(self, key: str, absent: str | None = None) -> str:
        value = self._data.get(key, absent)
        if not isinstance(value, str) or (not value and absent is None):
            raise ConfigError(f"key {self.name(key)}: missing or not text")
        return value

    def one_of(self, key: str, among: Collection[str]) -> str:
        value = self.text(key)
        if value not in among:
            raise ConfigError(f"key {self.name(key)}: {value!r:.40} is none of {', '.join(sorted(among))}")
        return value

    def address(self, key: str) -> str:
        text = self.text(key)
        try:
            parse_address(text)
        except ValueError as problem:
            raise ConfigError(f"key {self.name(key)}: {problem}") from None
        return text

    def number(self, key: str, least: float, absent: float | None = None, most: float = 1e12) -> float:
        value = self._data.get(key, absent)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise ConfigError(f"key {self.name(key)}: expected a number from {least:g} to {most:g}, "
                              f"found {value!r:.40}")
        return float(value)


def _limits(data: Section, pairs: Mapping[str, str]) -> Limits:
    """The platform's figures decide how much of everything there may be, and how long connections idle."""
    given = Section(data.raw("limits") or {}, "limits")
    sockets = int(given.number("sockets", 128, 1024))
    memory_mb = given.number("memory_mb", 32, 192)
    base = Limits().fit(int(memory_mb * (1 << 20)), sockets)
    idle_us = int(float(pairs.get("Limits.ConnIdleUs", 0))) or base.brick_idle_us * 5 // 4
    return replace(
        base,
        brick_idle_us=idle_us * 4 // 5,
        dial_us=int(float(pairs.get("Limits.DialTimeoutUs", 0))) or base.dial_us,
    )


def _ninep(section: Section, settings: api.Settings) -> Ninep:
    exports: dict[str, Export] = {}
    listed = section.raw("export")
    if not isinstance(listed, list) or not listed:
        raise ConfigError(f"key {section.name('export')}: missing or empty")
    for i, value in enumerate(listed):
        one = Section(value, section.name(f"export.{i}"),
                      "name volume plan class cell deadline_ms hosts aname unit_bytes")
        name = one.text("name")
        if name in exports:
            raise ConfigError(f"key {one.name('name')}: {name!r:.40} is there twice")
        exports[name] = Export(
            name=name, volume=one.text("volume"), plan=one.one_of("plan", settings.plans),
            cls=one.one_of("class", settings.classes), cell=int(one.number("cell", 0)),
            deadline_us=int(one.number("deadline_ms", 1, most=60_000) * MS),
            hosts=int(one.number("hosts", 1, 1)), aname=one.text("aname", ""),
            unit_bytes=int(one.number("unit_bytes", 1, 65536)))
    return Ninep(section.address("listen"), int(section.number("server_port", 0, 0, 65535)), exports)


def _telemetry(section: Section) -> Collector:
    url = section.text("endpoint")
    scheme, _, rest = url.partition("://")
    host, slash, path = rest.partition("/")
    if scheme != "http":
        raise ConfigError(f"key {section.name('endpoint')}: expected http://HOST:PORT, found {url!r:.80}")
    try:
        parse_address(host)
    except ValueError as problem:
        raise ConfigError(f"key {section.name('endpoint')}: {problem}") from None
    return Collector(host, (slash + path).rstrip("/"), section.text("service", "garnetlanding"),
                     int(section.number("every_s", 0.1, 10, 3600) * SECOND))


def _store(section: Section, name: str) -> StoreSetup:
    role = section.one_of("role", ("alone", "writer", "follower"))
    if role == "alone":
        return StoreSetup(role, name, file=section.text("file", ""))
    writer = section.text("writer")
    if (writer == name) != (role == "writer"):
        raise ConfigError(f"key {section.name('writer')}: {writer!r:.40} does not go with the role {role} "
                          f"of {name!r:.40}")
    return StoreSetup(role, writer, section.address("address"), section.text("file", ""))


def read_operator(data: object, settings: api.Settings, name: str) -> Operator:
    """Checks an operator's file; what it leaves out stays off."""
    top = Section(data, "", "ninep telemetry store")

    def section(key: str, known: str) -> Section | None:
        return Section(top.raw(key), key, known) if top.has(key) else None

    ninep = section("ninep", "listen server_port export")
    telemetry = section("telemetry", "endpoint service every_s")
    store = section("store", "role writer address file")
    return Operator(
        _ninep(ninep, settings) if ninep else None, _telemetry(telemetry) if telemetry else None,
        _store(store, name) if store else StoreSetup(writer=name))


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
    raw_settings = Section(top.raw("settings"), "settings")._data
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
        limits = _share_with_ninep(limits)
    return Config(
        name=top.text("name"), listen=top.address("listen"), discovery=top.address("discovery"),
        file_discovery=file_discovery, seed=seed, settings=settings, raw_settings=raw_settings,
        limits=limits, known=known, operator=extras,
    )


def load(path: str | None, operator: str | None = None, env: Mapping[str, str] = os.environ) -> Config:
    """The file named, or the platform's; RELAY_* variables stand above what it says."""
    path = path or env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("key RELAY_CONFIG: not set, and no --config given")
    return read(_parse(path, json.loads, "JSON"),
                _parse(operator, tomllib.loads, "TOML") if operator else None, env)


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
    return replace(old, discovery=discovery, file_discovery=new.file_discovery, settings=new.settings,
                   raw_settings=new.raw_settings), fixed


def _parse(path: str, parse: Callable[[str], Any], form: str) -> Any:
    try:
        with open(path, encoding="utf-8") as file:
            return parse(file.read())
    except OSError as problem:
        raise ConfigError(f"cannot read {path}: {problem.strerror}") from None
    except ValueError as problem:
        raise ConfigError(f"{path} is not {form}: {problem}") from None
