"""What operators have said of this head that outlasts a process, and its form on disk. No I/O.

Two processes of one head share it while a new version takes over, so each change is made to what stands
there at that moment.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, replace

VERSION = 1


class AdminStateError(ValueError):
    """A state that cannot be used; the text says why."""


@dataclass(frozen=True, slots=True)
class AdminState:
    """`disabled` holds instance ids; a ban ends by a call and by nothing else. Where bans are the whole
    fleet's, `records` has the last word on each server: its name, version, the head's number, whether out."""

    disabled: frozenset[str] = frozenset()
    draining: bool = False
    records: tuple[tuple[str, int, int, bool], ...] = ()

    def disable(self, brick: str) -> AdminState:
        return replace(self, disabled=self.disabled | {brick})

    def enable(self, brick: str) -> AdminState:
        return replace(self, disabled=self.disabled - {brick})

    def with_draining(self, on: bool) -> AdminState:
        return replace(self, draining=on)


def encode(name: str, state: AdminState) -> bytes:
    """One JSON object and, on a line of its own, the CRC-32 of that line."""
    # An older process of the head reads what it knows of, and keeps the rest out.
    more = {"records": state.records} if state.records else {}
    body = json.dumps(
        {
            "version": VERSION,
            "name": name,
            "banned": sorted(state.disabled),
            "draining": state.draining,
            **more,
        }
    ).encode()
    return b"%s\n%08x\n" % (body, zlib.crc32(body))


def decode(name: str, data: bytes) -> AdminState:
    """Raises AdminStateError for what is damaged, of another version, or of another head."""
    lines = data.split(b"\n")
    if len(lines) != 3 or lines[2] or lines[1] != b"%08x" % zlib.crc32(lines[0]):
        raise AdminStateError("damaged: its checksum does not hold")
    match found := json.loads(lines[0]):
        case {"version": int() as version} if version != VERSION:
            raise AdminStateError(f"of version {version}, this program writes {VERSION}")
        case {"name": str() as other} if other != name:
            raise AdminStateError(f"of head {other!r:.40}, this one is {name!r:.40}")
        case {"banned": list() as banned, "draining": bool() as draining}:
            records = [_record(one) for one in found.get("records", [])]
            if all(isinstance(brick, str) for brick in banned):
                return AdminState(frozenset(banned), draining, tuple(records))
    raise AdminStateError("damaged: a field is missing or not of its type")


def _record(one: object) -> tuple[str, int, int, bool]:
    match one:
        case [str() as server, int() as version, int() as by, bool() as out]:
            return server, version, by, out
    raise AdminStateError("damaged: a record of a ban is not of its form")
