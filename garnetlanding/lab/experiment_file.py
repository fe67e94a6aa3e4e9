"""Reads an experiment file (TOML) and validates it as a whole before anything is started.

The keys are an external format. Every function raises ConfigError, which names the invalid key.
"""

from __future__ import annotations

import tomllib
from typing import Any

from garnetlanding.choices import setup as choices_setup
from garnetlanding.config.section import ConfigError, Section
from garnetlanding.lab.experiment import Experiment, Workload
from garnetlanding.lab.faults import (
    BACKEND_CALLS,
    BACKEND_FAULTS,
    INSTANCE_FAULTS,
    INSTANTANEOUS,
    NETWORK_FAULTS,
    PEER_CALLS,
    STREAM_FAULTS,
    ByzantineBehaviour,
    Fault,
    FaultKind,
    LinkKind,
    ProcessEnd,
)
from garnetlanding.lab.limits import LIMITS, SECOND

_TOP_KEYS = (
    "name seed heads bricks length_s load settings fault fleet group budgets "
    "server_connections store choices audit current_s"
)
_LOAD_KEYS = "volumes rate units hosts lead shift_s wait_s"
_FAULT_KEYS = "kind at_s until_s who as head brick link how wall_s newer from to share weight span_ms"
_LINKS = [link.value for link in LinkKind]
_FLAG_DEFAULTS = {"fleet": True, "budgets": False, "store": False, "audit": False}


def load(path: str) -> Experiment:
    """Read a file. Raises ConfigError, which names the file and the key."""
    try:
        with open(path, "rb") as file:
            return read(tomllib.load(file))
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from error
    except (ValueError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from error


def read(data: object) -> Experiment:
    """Return the experiment that a file's parsed content describes."""
    top = Section(data, "", _TOP_KEYS)
    instances = int(top.number("heads", 1, 3, LIMITS.instances_max))
    backends = int(top.number("bricks", 1, 2, 64))
    duration_us = int(top.number("length_s", 0.5, 6, 3600) * SECOND)
    workload = _read_workload(top, instances)
    faults = _read_faults(top, instances, backends, duration_us)
    settings = Section(top.raw("settings") or {}, "settings").data
    flags = _read_flags(top)
    seed_instances = int(top.number("group", 0, 0, instances))
    if (seed_instances or flags["budgets"]) and not flags["fleet"]:
        raise ConfigError(f"key {'group' if seed_instances else 'budgets'}: only with fleet = true")
    backend_connections = int(top.number("server_connections", 0, 0, LIMITS.backend_connections_max))
    if backend_connections and not flags["budgets"]:
        raise ConfigError("key server_connections: only with budgets = true")
    return Experiment(
        name=top.text("name"),
        seed=int(top.number("seed", 0, 1)),
        instances=instances,
        backends=backends,
        duration_us=duration_us,
        workload=workload,
        settings=settings,
        faults=faults,
        peer_links=flags["fleet"],
        seed_instances=seed_instances,
        quota_leases=flags["budgets"],
        backend_connections=backend_connections,
        staleness_limit_s=_read_staleness_limit(top),
        choices=_read_choices(top),
        audit=flags["audit"],
        store=flags["store"],
    )


def _read_workload(top: Section, instances: int) -> Workload:
    section = Section(top.raw("load") or {}, "load", _LOAD_KEYS)
    return Workload(
        volumes=int(section.number("volumes", 1, 4, 200)),
        requests_per_s=section.number("rate", 0.1, 60, 2000),
        units=int(section.number("units", 1, 2, 8)),
        instances_per_volume=int(section.number("hosts", 1, min(2, instances), instances)),
        busiest_fraction=section.number("lead", 0, 1, 1),
        shift_interval_us=int(section.number("shift_s", 0, 0) * SECOND),
        client_timeout_us=int(section.number("wait_s", 0.05, 1.5, 60) * SECOND),
    )


def _read_flags(top: Section) -> dict[str, bool]:
    """Return the boolean top-level keys, by their name in the file."""
    flags = _FLAG_DEFAULTS | {key: top.raw(key) for key in _FLAG_DEFAULTS if top.has(key)}
    for key, value in flags.items():
        if not isinstance(value, bool):
            raise ConfigError(f"key {key}: expected true or false")
    return flags


def _read_choices(top: Section) -> dict[str, Any]:
    """Return the section `choices`, validated as an instance validates it."""
    if not top.has("choices"):
        return {}
    choices_setup.read(top.raw("choices"))
    return Section(top.raw("choices"), "choices").data


def _read_staleness_limit(top: Section) -> float:
    if top.has("current_s") and not top.raw("store"):
        raise ConfigError("key current_s: only with store = true")
    return top.number("current_s", 0, 0, 60)


def _read_faults(top: Section, instances: int, backends: int, duration_us: int) -> tuple[Fault, ...]:
    tables = top.raw("fault") or []
    if not isinstance(tables, list):
        raise ConfigError("key fault: expected [[fault]] tables")
    return tuple(
        _FaultReader(Section(table, f"fault.{index}", _FAULT_KEYS), instances, backends).read(duration_us)
        for index, table in enumerate(tables)
    )


class _FaultReader:
    """Reads one [[fault]] table."""

    def __init__(self, section: Section, instances: int, backends: int) -> None:
        self._section = section
        self._instances = instances
        self._backends = backends
        self._kind = FaultKind(section.one_of("kind", [kind.value for kind in FaultKind]))

    def read(self, duration_us: int) -> Fault:
        """Return the fault; its times lie within the experiment's duration."""
        section = self._section
        kind = self._kind
        start_us, end_us = self._times(duration_us)
        how = self._how()
        wall_offset_s = int(section.number("wall_s", -1e9, 0, 1e9))
        at_successor = self._at_successor()
        link = LinkKind(section.one_of("link", _LINKS)) if kind in STREAM_FAULTS else None
        instance = self._instance()
        backend = self._backend()
        peer = self._instance_or_all("head") if kind in PEER_CALLS else None
        is_network_fault = kind in NETWORK_FAULTS
        return Fault(
            kind,
            start_us,
            end_us,
            instance=instance,
            backend=backend,
            peer=peer,
            link=link,
            predecessor_end=how if isinstance(how, ProcessEnd) else ProcessEnd.TERMINATE,
            behaviour=how
            if isinstance(how, ByzantineBehaviour)
            else ByzantineBehaviour.ALL_BACKENDS_UNREACHABLE,
            wall_offset_s=wall_offset_s,
            claimed_instance=self._instance_or_all("as") if kind is FaultKind.DUPLICATE_IDENTITY else None,
            at_successor=at_successor,
            sender=self._instance_or_all("from") if is_network_fault else None,
            receiver=self._instance_or_all("to") if is_network_fault else None,
            probability=section.number("share", 0, 1.0, 1.0),
            weight=section.number("weight", 0.01, 1.0, 100.0),
            span_us=int(section.number("span_ms", 0, 0, 60_000) * 1000),
        )

    def _times(self, duration_us: int) -> tuple[int, int]:
        """Return the fault's start and end, in microseconds."""
        section = self._section
        start_us = int(section.number("at_s", 0, maximum=duration_us / SECOND) * SECOND)
        end_us = int(section.number("until_s", 0, duration_us / SECOND) * SECOND)
        if self._kind in INSTANTANEOUS and section.has("until_s"):
            raise section.error("until_s", f"{self._kind.value} has one time, at_s")
        if end_us <= start_us:
            raise section.error("until_s", "not after at_s")
        return start_us, end_us

    def _how(self) -> ProcessEnd | ByzantineBehaviour:
        """Return the key `how`: the claim of forged messages, or how an upgrade ends the predecessor."""
        values: type[ByzantineBehaviour] | type[ProcessEnd] = ProcessEnd
        default: ProcessEnd | ByzantineBehaviour = ProcessEnd.TERMINATE
        if self._kind is FaultKind.BYZANTINE:
            values = ByzantineBehaviour
            default = ByzantineBehaviour.ALL_BACKENDS_UNREACHABLE
        if not self._section.has("how"):
            return default
        return values(self._section.one_of("how", [value.value for value in values]))

    def _at_successor(self) -> bool:
        value = self._section.raw("newer") or False
        if not isinstance(value, bool):
            raise self._section.error("newer", "expected true or false")
        return value

    def _instance(self) -> int | None:
        if self._kind in STREAM_FAULTS:
            return self._instance_or_all("who")
        if self._kind not in INSTANCE_FAULTS:
            return None
        instance = self._instance_or_all("who")
        if instance is None:
            raise self._section.error("who", "must name an instance")
        return instance

    def _backend(self) -> int | None:
        is_needed = self._kind in BACKEND_FAULTS | BACKEND_CALLS
        is_optional = self._kind in STREAM_FAULTS and self._section.has("brick")
        if is_needed or is_optional:
            return int(self._section.number("brick", 0, maximum=self._backends - 1))
        return None

    def _instance_or_all(self, key: str) -> int | None:
        """Return an instance by its name (`n0`); None for every one (`*`, or no such key)."""
        text = self._section.text(key, "*")
        if text == "*":
            return None
        if text[:1] != "n" or not text[1:].isdigit() or int(text[1:]) >= self._instances:
            raise self._section.error(key, f"{text!r:.40} is none of n0 to n{self._instances - 1}, nor *")
        return int(text[1:])
