"""The `[store]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.config.section import Section

SHORTEST_S, LONGEST_S = 0.5, 3600.0  # of `current_s`: several questions and answers fit


@dataclass(frozen=True, slots=True)
class StoreSetup:
    """The head's part in the replicated store. Alone: nobody copies from it, and it copies from nobody."""

    role: str = "alone"
    writer: str = ""  # the name of the one writer
    address: str = ""  # where the writer listens for followers
    file: str = ""
    max_staleness_us: int = (
        0  # a follower that can't show that it is so current does not act; 0: it always does
    )
    drift: float = 0.01  # of its clock and the writer's, the most in each second


def read(data: object, name: str) -> StoreSetup:
    """`name` is this head's own. Raises ConfigError."""
    section = Section(data, "store", "role writer address file current_s")
    role = section.one_of("role", ("alone", "writer", "follower"))
    if role == "alone":
        return StoreSetup(role, name, file=section.text("file", ""))
    writer = section.text("writer")
    if (writer == name) != (role == "writer"):
        raise section.error("writer", f"{writer!r:.40} does not go with the role {role} " f"of {name!r:.40}")
    current_s = section.number("current_s", 0, 0, LONGEST_S)
    if current_s and role != "follower":
        raise section.error("current_s", "only of a follower")
    if current_s and current_s < SHORTEST_S:
        raise section.error("current_s", f"at least {SHORTEST_S:g}, or 0")
    return StoreSetup(
        role, writer, section.address("address"), section.text("file", ""), int(current_s * 1_000_000)
    )
