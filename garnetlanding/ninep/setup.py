"""The `[ninep]` section of the operator's file: the 9P listener, its file servers and its exports."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from garnetlanding.config.section import Section
from garnetlanding.decision import interface as api
from garnetlanding.limits import MS


@dataclass(frozen=True, slots=True)
class Export:
    """A tree that clients may attach, and how its requests are queued and accounted."""

    name: str
    """The aname that clients attach."""
    volume: str
    plan: str
    request_class: str
    """Request class of read-only operations."""
    cell: int
    deadline_us: int
    serving_instances: int = 1
    """Number of instances that serve the export."""
    aname: str = ""
    """The aname that instances attach at the file servers."""
    unit_bytes: int = 65536
    """A read or write costs one unit per block of this size or part of one."""
    access: str = "ro"
    """`ro` (read-only) or `rw` (read and write)."""
    change_request_class: str = ""
    """Request class of operations that change the tree; empty: that of reads."""
    change_deadline_us: int = 0
    """0: that of reads."""

    @property
    def writable(self) -> bool:
        """Whether clients may change the tree."""
        return self.access == "rw"


@dataclass(frozen=True, slots=True)
class NinepSetup:
    """Operator's settings for the 9P clients and file servers of an instance."""

    listen: str
    server_port: int
    """Port of the file servers; 0: the one from discovery."""
    exports: dict[str, Export]
    server_dialect: str = "auto"
    """Dialect proposed to file servers; `auto`: 9P2000.L, then 9P2000."""
    max_clients: int = 0
    """Maximum number of client connections; 0: a fifth of the limit for all clients."""
    max_server_connections: int = 0
    """Maximum number of connections to file servers; 0: a fifth of the limit for all backends."""


_DIALECTS = ("auto", "9P2000", "9P2000.L")
_KEYS = "listen server_port server_dialect clients server_connections export"
_EXPORT_KEYS = (
    "name volume plan class change_class cell deadline_ms change_deadline_ms hosts aname unit_bytes access"
)
_MAX_DEADLINE_MS = 60_000
_MAX_CONNECTIONS = 100_000


def read(data: object, settings: api.Settings) -> NinepSetup:
    """Parse the section. Raises ConfigError, which names the invalid key."""
    section = Section(data, "ninep", _KEYS)
    return NinepSetup(
        exports=_read_exports(section, settings),
        server_dialect=_choice(section, "server_dialect", _DIALECTS, "auto"),
        listen=section.address("listen"),
        server_port=int(section.number("server_port", 0, 0, 65535)),
        max_clients=int(section.number("clients", 0, 0, _MAX_CONNECTIONS)),
        max_server_connections=int(section.number("server_connections", 0, 0, _MAX_CONNECTIONS)),
    )


def _read_exports(section: Section, settings: api.Settings) -> dict[str, Export]:
    listed = section.raw("export")
    if not isinstance(listed, list) or not listed:
        raise section.error("export", "missing or empty")
    exports: dict[str, Export] = {}
    for index, value in enumerate(listed):
        export = Section(value, section.key_path(f"export.{index}"), _EXPORT_KEYS)
        name = export.text("name")
        if name in exports:
            raise export.error("name", f"{name!r:.40} is there twice")
        exports[name] = _read_export(export, name, settings)
    return exports


def _read_export(section: Section, name: str, settings: api.Settings) -> Export:
    access = _choice(section, "access", ("ro", "rw"), "ro")
    for key in ("change_class", "change_deadline_ms"):
        if access == "ro" and section.has(key):
            raise section.error(key, 'nothing changes in an export with access "ro"')
    request_class = section.one_of("class", settings.classes)
    deadline_ms = section.number("deadline_ms", 1, maximum=_MAX_DEADLINE_MS)
    return Export(
        name=name,
        volume=section.text("volume"),
        plan=section.one_of("plan", settings.plans),
        request_class=request_class,
        cell=int(section.number("cell", 0)),
        deadline_us=int(deadline_ms * MS),
        serving_instances=int(section.number("hosts", 1, 1)),
        aname=section.text("aname", ""),
        unit_bytes=int(section.number("unit_bytes", 1, 65536)),
        access=access,
        change_request_class=_choice(section, "change_class", settings.classes, request_class),
        change_deadline_us=int(section.number("change_deadline_ms", 1, deadline_ms, _MAX_DEADLINE_MS) * MS),
    )


def _choice(section: Section, key: str, choices: Collection[str], default: str) -> str:
    """Return the value of an optional key, which must be one of the choices."""
    return section.one_of(key, choices) if section.has(key) else default
