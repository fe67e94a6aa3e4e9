"""Reads the platform's keys for the link between instances, and the operators' section `[fleet]`.

Configuration files depend on the names of the keys, which therefore differ from the names of the fields.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field, replace

from garnetlanding.config.section import ConfigError, Section
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.runtime.stream import parse_address

MAX_BACKEND_CONNECTIONS = 100_000  # the greatest value of `server_connections`
FLEET_KEYS = "verdicts bans budgets server_connections seeds advertise routes"


@dataclass(frozen=True, slots=True)
class PeerSetup:
    """The addresses and limits of the link between instances."""

    listen: str = ""  # where this instance receives datagrams
    peers: dict[int, str] = field(default_factory=dict)  # addresses of the other instances, by number
    broadcast: str = ""  # an address that reaches all peers; empty: each is sent its own datagram
    routes: dict[str, str] = field(default_factory=dict)  # destinations by advertised address, if they differ
    limits: PeerLimits = field(default_factory=PeerLimits)


def read(top: Section, own_number: int) -> PeerSetup | None:
    """Read `peer_listen`, `peers` and `peers_all`; return None if `peer_listen` is not set.

    `peers` lists the addresses of all instances, including `own_number`, in the order of their numbers.
    Raises ConfigError.
    """
    if not top.has("peer_listen"):
        return None
    listed = top.raw("peers") or []
    if not isinstance(listed, list):
        raise ConfigError.at_key("peers", "expected a list of addresses")
    addresses = Section({str(i): address for i, address in enumerate(listed)}, "peers")
    return PeerSetup(
        peers={i: addresses.address(str(i)) for i in range(len(listed)) if i != own_number},
        broadcast=top.address("peers_all") if top.has("peers_all") else "",
        listen=top.address("peer_listen"),
    )


@dataclass(frozen=True, slots=True)
class FleetSetup:
    """Which protocols the instances use besides leases on volume limits, and how they discover each other."""

    suspicions: bool = True  # key `verdicts`: evidence about backends is exchanged
    disables: bool = True  # key `bans`: records of disabled backends are exchanged
    budgets: bool = False  # budgets are divided by leases
    backend_connections: int = 0  # key `server_connections`: of all instances to one backend; 0: unlimited
    seeds: tuple[str, ...] = ()  # addresses for discovery, which replaces the platform's `peers`
    advertised_address: str = ""  # key `advertise`: where peers reach this instance; empty: `listen`
    routes: dict[str, str] = field(default_factory=dict)  # see `PeerSetup.routes`

    def apply_routes(self, platform: PeerSetup) -> PeerSetup:
        """Return the platform's setup, with the operators' routes if instances are discovered from seeds."""
        return replace(platform, routes=self.routes) if self.seeds else platform


def read_fleet(data: object) -> FleetSetup:
    """Read the operators' section. Raises ConfigError."""
    section = Section(data, "fleet", FLEET_KEYS)
    default = FleetSetup()
    suspicions = _flag(section, "verdicts", default=default.suspicions)
    disables = _flag(section, "bans", default=default.disables)
    budgets = _flag(section, "budgets", default=default.budgets)
    backend_connections = _backend_connections(section, budgets=budgets)
    seeds = _seed_list(section)
    routes = Section(section.raw("routes") or {}, section.key_path("routes"))
    for key in ("advertise", "routes"):
        if section.has(key) and not seeds.data:
            raise section.error(key, "only with seeds")
    return FleetSetup(
        suspicions=suspicions,
        disables=disables,
        budgets=budgets,
        backend_connections=backend_connections,
        seeds=tuple(_ip_address(seeds, key) for key in seeds.data),
        advertised_address=_ip_address(section, "advertise") if section.has("advertise") else "",
        routes={_checked_key(routes, address): _ip_address(routes, address) for address in routes.data},
    )


def _flag(section: Section, key: str, *, default: bool) -> bool:
    if not section.has(key):
        return default
    value = section.raw(key)
    if not isinstance(value, bool):
        raise section.error(key, f"expected true or false, found {value!r:.40}")
    return value


def _backend_connections(section: Section, *, budgets: bool) -> int:
    key = "server_connections"
    if not section.has(key):
        return 0
    connections = int(section.number(key, 0, 0, MAX_BACKEND_CONNECTIONS))
    if connections and not budgets:
        raise section.error(key, "only with budgets = true")
    return connections


def _seed_list(section: Section) -> Section:
    """Return the list of seeds as a section keyed by index, so that errors contain the index."""
    listed = section.raw("seeds") or []
    if not isinstance(listed, list):
        raise section.error("seeds", "expected a list of addresses")
    return Section({str(i): address for i, address in enumerate(listed)}, section.key_path("seeds"))


def _ip_address(section: Section, key: str) -> str:
    """Return an address whose host is an IP address.

    Host names are rejected because datagrams contain IP addresses and resolving a name would block.
    """
    text = section.address(key)
    try:
        ipaddress.ip_address(parse_address(text)[0])
    except ValueError as error:
        raise section.error(key, f"{text!r:.60} names no machine by number") from error
    return text


def _checked_key(routes: Section, address: str) -> str:
    """Return a key of the routes, validated as an IP address like its value."""
    return _ip_address(Section({address: address}, routes.key_path(address)), address)
