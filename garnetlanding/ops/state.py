"""What operators have said of this head that outlasts a process, and its form on disk. No I/O.

Two processes of one head share it while a new version takes over, so each change is made to what stands
there at that moment.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, replace
from urllib.parse import quote

VERSION = 1


def file_name(head: str, what: str) -> str:
    """Heads of other names may keep theirs in the same folder."""
    return f"garnetlanding-{quote(head, safe='')}-{what}"


class StateError(ValueError):
    """A state that cannot be used; the text says why."""


@dataclass(frozen=True, slots=True)
class OpsState:
    """`banned` holds instance ids; a ban ends by a call and by nothing else."""

    banned: frozenset[str] = frozenset()
    draining: bool = False

    def ban(self, brick: str) -> OpsState:
        return replace(self, banned=self.banned | {brick})

    def lift(self, brick: str) -> OpsState:
        return replace(self, banned=self.banned - {brick})

    def drained(self, on: bool) -> OpsState:
        return replace(self, draining=on)


def encode(name: str, state: OpsState) -> bytes:
    """One JSON object and, on a line of its own, the CRC-32 of that line."""
    body = json.dumps({"version": VERSION, "name": name, "banned": sorted(state.banned),
                       "draining": state.draining}).encode()
    return b"%s\n%08x\n" % (body, zlib.crc32(body))


def decode(name: str, data: bytes) -> OpsState:
    """Raises StateError for what is damaged, of another version, or of another head."""
    lines = data.split(b"\n")
    if len(lines) != 3 or lines[2] or lines[1] != b"%08x" % zlib.crc32(lines[0]):
        raise StateError("damaged: its checksum does not hold")
    match json.loads(lines[0]):
        case {"version": int() as version} if version != VERSION:
            raise StateError(f"of version {version}, this program writes {VERSION}")
        case {"name": str() as other} if other != name:
            raise StateError(f"of head {other!r:.40}, this one is {name!r:.40}")
        case {"banned": list() as banned, "draining": bool() as draining}:
            if all(isinstance(brick, str) for brick in banned):
                return OpsState(frozenset(banned), draining)
    raise StateError("damaged: a field is missing or not of its type")
