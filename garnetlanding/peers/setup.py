"""The platform's keys that place the link between heads, and the operator's `[fleet]`."""

from __future__ import annotations

from dataclasses import dataclass, field

from garnetlanding.config.section import ConfigError, Section
from garnetlanding.peers.limits import PeerLimits


@dataclass(frozen=True, slots=True)
class PeerSetup:
    """Where this head hears others, where each of them is reached, and where all are at once."""

    listen: str = ""
    peers: dict[int, str] = field(default_factory=dict)  # by their number, without this head
    everyone: str = ""  # one address that reaches all; empty: each by its own
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


def read_fleet(data: object) -> FleetSetup:
    """Raises ConfigError."""
    section = Section(data, "fleet", "verdicts bans")
    for key, value in section.data.items():
        if not isinstance(value, bool):
            raise ConfigError(f"key {section.name(key)}: expected true or false, found {value!r:.40}")
    return FleetSetup(**section.data)
