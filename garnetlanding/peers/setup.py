"""The platform's keys that place the link between heads, and the operator's `[fleet]`."""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field, replace

from garnetlanding.config.section import ConfigError, Section
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.runtime.stream import parse_address

MOST_CONNECTIONS = 100_000  # at one server


@dataclass(frozen=True, slots=True)
class PeerSetup:
    """Where this head hears others, where each of them is reached, and where all are at once."""

    listen: str = ""
    peers: dict[int, str] = field(default_factory=dict)  # by their number, without this head
    everyone: str = ""  # one address that reaches all; empty: each by its own
    routes: dict[str, str] = field(default_factory=dict)  # by the address a head names: where it is reached
    limits: PeerLimits = PeerLimits()


def read(top: Section, me: int) -> PeerSetup | None:
    """`peer_listen`, `peers` (every head of the tier by its number, this one too) and `peers_all`. None where
    the configuration names no address to listen at. Raises ConfigError."""
    if not top.has("peer_listen"):
        return None
    listed = top.raw("peers") or []
    if not isinstance(listed, list):
        raise ConfigError("key peers: expected a list of addresses")
    addresses = Section({str(i): address for i, address in enumerate(listed)}, "peers")
    peers = {i: addresses.address(str(i)) for i in range(len(listed)) if i != me}
    everyone = top.address("peers_all") if top.has("peers_all") else ""
    return PeerSetup(top.address("peer_listen"), peers, everyone)


@dataclass(frozen=True, slots=True)
class FleetSetup:
    """What heads tell each other beside parts of limits."""

    verdicts: bool = True
    bans: bool = True
    budgets: bool = False  # what all heads share moves by leases
    server_connections: int = 0  # at one server, of all heads, by leases too; 0: each for itself
    seeds: tuple[str, ...] = ()  # heads are found from these, in place of those that the platform names
    advertise: str = ""  # where others reach this head; empty: where it listens
    routes: dict[str, str] = field(default_factory=dict)  # address translation, by the address a head names

    def place(self, platform: PeerSetup) -> PeerSetup:
        """The link as the platform places it, with what the operator says above it."""
        return replace(platform, routes=self.routes) if self.seeds else platform


def read_fleet(data: object) -> FleetSetup:
    """Raises ConfigError."""
    section = Section(data, "fleet", "verdicts bans budgets server_connections seeds advertise routes")
    flags = {key: section.raw(key) for key in ("verdicts", "bans", "budgets") if section.has(key)}
    for key, value in flags.items():
        if not isinstance(value, bool):
            raise section.error(key, f"expected true or false, found {value!r:.40}")
    most = int(
        section.number("server_connections", 0, 0, MOST_CONNECTIONS)
        if section.has("server_connections")
        else 0
    )
    if most and not flags.get("budgets"):
        raise section.error("server_connections", "only with budgets = true")
    listed = section.raw("seeds") or []
    if not isinstance(listed, list):
        raise section.error("seeds", "expected a list of addresses")
    named = Section({str(i): address for i, address in enumerate(listed)}, section.name("seeds"))
    routes = Section(section.raw("routes") or {}, section.name("routes"))
    for key in ("advertise", "routes"):
        if section.has(key) and not listed:
            raise section.error(key, "only with seeds")
    return FleetSetup(
        **flags,
        server_connections=most,
        seeds=tuple(_numeric(named, str(i)) for i in range(len(listed))),
        advertise=_numeric(section, "advertise") if section.has("advertise") else "",
        routes={_checked(routes, at): _numeric(routes, at) for at in routes.data},
    )


def _numeric(section: Section, key: str) -> str:
    """An address that names its machine by number: datagrams carry it so, and nothing looks names up."""
    text = section.address(key)
    try:
        ipaddress.ip_address(parse_address(text)[0])
    except ValueError:
        raise section.error(key, f"{text!r:.60} names no machine by number") from None
    return text


def _checked(routes: Section, at: str) -> str:
    return _numeric(Section({at: at}, routes.name(at)), at)
