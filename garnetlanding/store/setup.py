"""The `[store]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from garnetlanding.config.section import Section

MIN_STALENESS_S = 0.5  # of `current_s`: several queries and replies fit
MAX_STALENESS_S = 3600.0


class StoreRole(StrEnum):
    """An instance's part in replication; the values are the section's words."""

    ALONE = "alone"  # nobody copies from it, and it copies from nobody
    WRITER = "writer"
    FOLLOWER = "follower"


@dataclass(frozen=True, slots=True)
class StoreSetup:
    """How this instance takes part in the replicated store."""

    role: StoreRole = StoreRole.ALONE
    writer: str = ""  # the name of the one writer
    address: str = ""  # where the writer listens for followers
    file: str = ""  # where the store is kept over restarts; empty: nowhere
    max_staleness_us: int = 0  # a follower that may be staler than this does not act; 0: no bound
    drift: float = 0.01  # how far this clock and the writer's run apart at most, as a share


def read(data: object, name: str) -> StoreSetup:
    """Check the section and return its settings; `name` is this instance's own. Raises ConfigError."""
    section = Section(data, "store", "role writer address file current_s")
    role = StoreRole(section.one_of("role", [known.value for known in StoreRole]))
    if role is StoreRole.ALONE:
        return StoreSetup(role, name, file=section.text("file", ""))
    writer = section.text("writer")
    if (writer == name) != (role is StoreRole.WRITER):
        raise section.error("writer", f"{writer!r:.40} does not go with the role {role} of {name!r:.40}")
    staleness_s = section.number("current_s", 0, 0, MAX_STALENESS_S)
    if staleness_s and role is not StoreRole.FOLLOWER:
        raise section.error("current_s", "only of a follower")
    if staleness_s and staleness_s < MIN_STALENESS_S:
        raise section.error("current_s", f"at least {MIN_STALENESS_S:g}, or 0")
    return StoreSetup(
        role=role,
        writer=writer,
        address=section.address("address"),
        file=section.text("file", ""),
        max_staleness_us=int(staleness_s * 1_000_000),
    )
