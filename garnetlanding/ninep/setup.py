"""The `[ninep]` section of an operator's file: the front, its file servers and its exports."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.config.section import Section
from garnetlanding.decision import interface as api
from garnetlanding.limits import MS


@dataclass(frozen=True, slots=True)
class Export:
    """A tree that clients may attach, and how its requests are queued and accounted for."""

    name: str
    """The aname that clients attach."""
    volume: str
    plan: str
    cls: str
    """Request class of operations that only read."""
    cell: int
    deadline_us: int
    hosts: int = 1
    """How many instances serve the export."""
    aname: str = ""
    """The tree at the file servers."""
    unit_bytes: int = 65536
    """A read or write costs one unit for each begun block of this size."""
    access: str = "ro"
    """Or "rw"."""
    change_cls: str = ""
    """Request class of operations that change the tree; empty: as for reads."""
    change_deadline_us: int = 0
    """0: as for reads."""

    @property
    def writable(self) -> bool:
        """Whether clients may change the tree."""
        return self.access == "rw"


@dataclass(frozen=True, slots=True)
class NinepSetup:
    """The 9P clients and file servers of an instance, as an operator sets them up."""

    listen: str
    server_port: int
    """Port of the file servers; 0: the one that discovery gives."""
    exports: dict[str, Export]
    server_dialect: str = "auto"
    """What file servers are offered; auto: 9P2000.L first."""
    clients: int = 0
    """Connections of clients at most; 0: a fifth of those that all clients have."""
    server_connections: int = 0
    """Connections to file servers at most; 0: a fifth of those to all backends."""


_DIALECTS = ("auto", "9P2000", "9P2000.L")
_KEYS = "listen server_port server_dialect clients server_connections export"
_EXPORT_KEYS = (
    "name volume plan class change_class cell deadline_ms change_deadline_ms hosts aname unit_bytes access"
)
_MAX_DEADLINE_MS = 60_000
_MAX_CONNECTIONS = 100_000


def read(data: object, settings: api.Settings) -> NinepSetup:
    """Return what the section says. Raise ConfigError, which names the faulty key."""
    section = Section(data, "ninep", _KEYS)
    return NinepSetup(
        exports=_read_exports(section, settings),
        server_dialect=section.one_of("server_dialect", _DIALECTS)
        if section.has("server_dialect")
        else "auto",
        listen=section.address("listen"),
        server_port=int(section.number("server_port", 0, 0, 65535)),
        clients=int(section.number("clients", 0, 0, _MAX_CONNECTIONS)),
        server_connections=int(section.number("server_connections", 0, 0, _MAX_CONNECTIONS)),
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
    access = section.one_of("access", ("ro", "rw")) if section.has("access") else "ro"
    for key in ("change_class", "change_deadline_ms"):
        if access == "ro" and section.has(key):
            raise section.error(key, 'nothing changes in an export with access "ro"')
    cls = section.one_of("class", settings.classes)
    deadline_ms = section.number("deadline_ms", 1, maximum=_MAX_DEADLINE_MS)
    return Export(
        name=name,
        volume=section.text("volume"),
        plan=section.one_of("plan", settings.plans),
        cls=cls,
        cell=int(section.number("cell", 0)),
        deadline_us=int(deadline_ms * MS),
        hosts=int(section.number("hosts", 1, 1)),
        aname=section.text("aname", ""),
        unit_bytes=int(section.number("unit_bytes", 1, 65536)),
        access=access,
        change_cls=section.one_of("change_class", settings.classes) if section.has("change_class") else cls,
        change_deadline_us=int(section.number("change_deadline_ms", 1, deadline_ms, _MAX_DEADLINE_MS) * MS),
    )
