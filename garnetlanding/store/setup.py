"""The `[store]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from garnetlanding.config.section import Section

MIN_STALENESS_S = 0.5  # leaves time for several queries and replies
MAX_STALENESS_S = 3600.0


class StoreRole(StrEnum):
    """An instance's role in replication; the values are those of the section's key `role`."""

    STANDALONE = "alone"  # without replication
    WRITER = "writer"
    FOLLOWER = "follower"


@dataclass(frozen=True, slots=True)
class StoreSetup:
    """An instance's role in replication, and the settings of that role."""

    role: StoreRole = StoreRole.STANDALONE
    writer: str = ""  # the writer's name
    address: str = ""  # HOST:PORT where the writer listens for followers
    file: str = ""  # path of the file that the store is saved in; empty: it is not saved
    max_staleness_us: int = 0  # a follower whose copy may be older is fenced; 0: no limit
    max_clock_drift: float = 0.01  # upper bound of the relative rate difference to the writer's clock


def read(data: object, name: str) -> StoreSetup:
    """Read and check the section; `name` is this instance's own name. Raises ConfigError."""
    section = Section(data, "store", "role writer address file current_s")
    role = StoreRole(section.one_of("role", [known.value for known in StoreRole]))
    if role is StoreRole.STANDALONE:
        return StoreSetup(role, name, file=section.text("file", ""))
    writer = section.text("writer")
    if (writer == name) != (role is StoreRole.WRITER):
        raise section.error("writer", f"{writer!r:.40} does not go with the role {role} of {name!r:.40}")
    staleness_s = section.number("current_s", 0, 0, MAX_STALENESS_S)
    if staleness_s and role is not StoreRole.FOLLOWER:
        raise section.error("current_s", "only allowed for a follower")
    if staleness_s and staleness_s < MIN_STALENESS_S:
        raise section.error("current_s", f"at least {MIN_STALENESS_S:g}, or 0")
    return StoreSetup(
        role=role,
        writer=writer,
        address=section.address("address"),
        file=section.text("file", ""),
        max_staleness_us=int(staleness_s * 1_000_000),
    )
