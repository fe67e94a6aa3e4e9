"""The `[ninep]` section of an operator's file: the front, its file servers and its exports."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.config.section import Section
from garnetlanding.decision import interface as api
from garnetlanding.limits import MS


@dataclass(frozen=True, slots=True)
class Export:
    """A tree that clients may attach, and how its requests count."""

    name: str  # the aname that clients attach
    volume: str
    plan: str
    cls: str  # of what only reads
    cell: int
    deadline_us: int
    hosts: int = 1
    aname: str = ""  # the tree at the file servers
    unit_bytes: int = 65536  # a read or a write counts one unit for each begun
    access: str = "ro"  # or rw
    change_cls: str = ""  # of what changes the tree; empty: as for reads
    change_deadline_us: int = 0  # 0: as for reads

    @property
    def writable(self) -> bool:
        return self.access == "rw"


@dataclass(frozen=True, slots=True)
class Ninep:
    """The 9P front, as an operator sets it up."""

    listen: str
    server_port: int  # of the file servers; 0: the port that discovery gives
    exports: dict[str, Export]
    server_dialect: str = "auto"  # what file servers are offered; auto: the richer first
    clients: int = 0  # connections at most; 0: a fifth of those that clients have
    server_connections: int = 0  # to file servers at most; 0: a fifth of those to bricks


DIALECTS = ("auto", "9P2000", "9P2000.L")
KEYS = (
    "name volume plan class change_class cell deadline_ms change_deadline_ms hosts aname unit_bytes " "access"
)


def read(data: object, settings: api.Settings) -> Ninep:
    """Raises ConfigError, which names the faulty key."""
    section = Section(data, "ninep", "listen server_port server_dialect clients server_connections export")
    listed = section.raw("export")
    if not isinstance(listed, list) or not listed:
        raise section.error("export", "missing or empty")
    exports: dict[str, Export] = {}
    for i, value in enumerate(listed):
        one = Section(value, section.name(f"export.{i}"), KEYS)
        name = one.text("name")
        if name in exports:
            raise one.error("name", f"{name!r:.40} is there twice")
        exports[name] = _export(one, name, settings)
    dialect = section.one_of("server_dialect", DIALECTS) if section.has("server_dialect") else "auto"
    return Ninep(
        section.address("listen"),
        int(section.number("server_port", 0, 0, 65535)),
        exports,
        dialect,
        int(section.number("clients", 0, 0, 100_000)),
        int(section.number("server_connections", 0, 0, 100_000)),
    )


def _export(one: Section, name: str, settings: api.Settings) -> Export:
    access = one.one_of("access", ("ro", "rw")) if one.has("access") else "ro"
    for key in ("change_class", "change_deadline_ms"):
        if access == "ro" and one.has(key):
            raise one.error(key, 'nothing changes in an export with access "ro"')
    cls = one.one_of("class", settings.classes)
    deadline = one.number("deadline_ms", 1, most=60_000)
    return Export(
        name=name,
        volume=one.text("volume"),
        plan=one.one_of("plan", settings.plans),
        cls=cls,
        cell=int(one.number("cell", 0)),
        deadline_us=int(deadline * MS),
        hosts=int(one.number("hosts", 1, 1)),
        aname=one.text("aname", ""),
        unit_bytes=int(one.number("unit_bytes", 1, 65536)),
        access=access,
        change_cls=one.one_of("change_class", settings.classes) if one.has("change_class") else cls,
        change_deadline_us=int(one.number("change_deadline_ms", 1, deadline, 60_000) * MS),
    )
