"""The `[store]` section of an operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.config.section import ConfigError, Section


@dataclass(frozen=True, slots=True)
class StoreSetup:
    """The head's part in the replicated store. Alone: nobody copies from it, and it copies from nobody."""

    role: str = "alone"
    writer: str = ""  # the name of the one writer
    address: str = ""  # where the writer listens for followers
    file: str = ""


def read(data: object, name: str) -> StoreSetup:
    """`name` is this head's own. Raises ConfigError."""
    section = Section(data, "store", "role writer address file")
    role = section.one_of("role", ("alone", "writer", "follower"))
    if role == "alone":
        return StoreSetup(role, name, file=section.text("file", ""))
    writer = section.text("writer")
    if (writer == name) != (role == "writer"):
        raise ConfigError(f"key {section.name('writer')}: {writer!r:.40} does not go with the role {role} "
                          f"of {name!r:.40}")
    return StoreSetup(role, writer, section.address("address"), section.text("file", ""))
