"""Reads the platform's keys that place the link between instances, and the operators' section `[fleet]`.

The keys are named in the configuration's words; the fields here are named in the code's.
"""

from __future__ import annotations

import ipaddress
from dataclasses import dataclass, field, replace

from garnetlanding.config.section import ConfigError, Section
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.runtime.stream import parse_address

MAX_BACKEND_CONNECTIONS = 100_000  # that `server_connections` may allow
FLEET_KEYS = "verdicts bans budgets server_connections seeds advertise routes"


@dataclass(frozen=True, slots=True)
class PeerSetup:
    """Where this instance receives, where each of its peers is reached, and where all are at once."""

    listen: str = ""
    peers: dict[int, str] = field(default_factory=dict)  # addresses by instance, without this one
    broadcast: str = ""  # one address that reaches all peers; empty: each by its own
    routes: dict[str, str] = field(default_factory=dict)  # where an address that an instance names is reached
    limits: PeerLimits = PeerLimits()


def read(top: Section, me: int) -> PeerSetup | None:
    """Read `peer_listen`, `peers` and `peers_all`; None where no address to listen at is named.

    `peers` lists every instance of the tier in the order of their numbers, `me` too. Raises ConfigError.
    """
    if not top.has("peer_listen"):
        return None
    listed = top.raw("peers") or []
    if not isinstance(listed, list):
        raise ConfigError.at_key("peers", "expected a list of addresses")
    addresses = Section({str(i): address for i, address in enumerate(listed)}, "peers")
    return PeerSetup(
        peers={i: addresses.address(str(i)) for i in range(len(listed)) if i != me},
        broadcast=top.address("peers_all") if top.has("peers_all") else "",
        listen=top.address("peer_listen"),
    )


@dataclass(frozen=True, slots=True)
class FleetSetup:
    """What instances exchange beside leases on volume limits, and how they find each other."""

    suspicions: bool = True  # key `verdicts`: observations of backends
    disables: bool = True  # key `bans`: administratively disabled backends
    budgets: bool = False  # what all instances share moves by leases
    backend_connections: int = 0  # key `server_connections`: of all instances to one backend; 0: any number
    seeds: tuple[str, ...] = ()  # instances are discovered from these, in place of those the platform names
    advertised_address: str = ""  # key `advertise`: where peers reach this instance; empty: where it listens
    routes: dict[str, str] = field(default_factory=dict)  # where an address that an instance names is reached

    def place(self, platform: PeerSetup) -> PeerSetup:
        """Return the link as the platform places it, with the operators' routes where they name seeds."""
        return replace(platform, routes=self.routes) if self.seeds else platform


def read_fleet(data: object) -> FleetSetup:
    """Read the operators' section. Raises ConfigError."""
    section = Section(data, "fleet", FLEET_KEYS)
    default = FleetSetup()
    suspicions = _flag(section, "verdicts", default.suspicions)
    disables = _flag(section, "bans", default.disables)
    budgets = _flag(section, "budgets", default.budgets)
    backend_connections = _backend_connections(section, budgets)
    seeds = _seed_list(section)
    routes = Section(section.raw("routes") or {}, section.name("routes"))
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


def _flag(section: Section, key: str, default: bool) -> bool:
    if not section.has(key):
        return default
    value = section.raw(key)
    if not isinstance(value, bool):
        raise section.error(key, f"expected true or false, found {value!r:.40}")
    return value


def _backend_connections(section: Section, budgets: bool) -> int:
    key = "server_connections"
    if not section.has(key):
        return 0
    connections = int(section.number(key, 0, 0, MAX_BACKEND_CONNECTIONS))
    if connections and not budgets:
        raise section.error(key, "only with budgets = true")
    return connections


def _seed_list(section: Section) -> Section:
    """Return the list of seeds as a table by place, so that an error names the place."""
    listed = section.raw("seeds") or []
    if not isinstance(listed, list):
        raise section.error("seeds", "expected a list of addresses")
    return Section({str(i): address for i, address in enumerate(listed)}, section.name("seeds"))


def _ip_address(section: Section, key: str) -> str:
    """Return an address that names its machine by number.

    Datagrams carry addresses so, and nothing on their way may wait for a name to be looked up.
    """
    text = section.address(key)
    try:
        ipaddress.ip_address(parse_address(text)[0])
    except ValueError as error:
        raise section.error(key, f"{text!r:.60} names no machine by number") from error
    return text


def _checked_key(routes: Section, address: str) -> str:
    """Return a key of the routes, which is an address like its value."""
    return _ip_address(Section({address: address}, routes.name(address)), address)
