"""What operators have set at this instance and must outlast a process, and its form on disk. No I/O.

On disk it is one line of JSON and a line with the line's CRC-32 in hexadecimal:

    {"version": 1, "name": "n1", "banned": ["b0"], "draining": false, "records": [["b0", 17, 1, true]]}
    6c0d9a1f

`banned` and `draining` are the fields `disabled` and `draining` of AdminState. `records` is left out where
there are none; an entry is a StoredDisable's name, version, instance and whether it is disabled. During an
upgrade the old and the new program read and write the same file, so fields may be added and never change.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, replace

from garnetlanding.ops.errors import AdminStateError

VERSION = 1


@dataclass(frozen=True, slots=True)
class StoredDisable:
    """The latest decision of any operator of the fleet on one backend, or on one instance.

    `name` is the backend's id, or "head/" and the instance's number.
    `version` orders the decisions on one name, and of equal versions the greater `instance`, which is the
    number of the instance at which it was made.
    """

    name: str
    version: int
    instance: int
    disabled: bool


@dataclass(frozen=True, slots=True)
class AdminState:
    """The administrative state of one instance.

    `disabled` names the backends that get no new requests; only an operator's call enables them again.
    `draining` says that clients are to leave. `records` are the fleet's decisions, of which `disabled`
    follows; empty where operators' decisions stay at the instance at which they are made.
    """

    disabled: frozenset[str] = frozenset()
    draining: bool = False
    records: tuple[StoredDisable, ...] = ()

    def disable(self, backend: str) -> AdminState:
        """Return the state with this backend disabled."""
        return replace(self, disabled=self.disabled | {backend})

    def enable(self, backend: str) -> AdminState:
        """Return the state with this backend enabled."""
        return replace(self, disabled=self.disabled - {backend})

    def with_draining(self, draining: bool) -> AdminState:
        """Return the state with the drain begun or ended."""
        return replace(self, draining=draining)


def encode(name: str, state: AdminState) -> bytes:
    """Return the file's bytes for the instance of this name."""
    fields: dict[str, object] = {
        "version": VERSION,
        "name": name,
        "banned": sorted(state.disabled),
        "draining": state.draining,
    }
    # Left out where there are none: the file is then as a program writes it that knows of no records.
    if state.records:
        fields["records"] = [
            [record.name, record.version, record.instance, record.disabled] for record in state.records
        ]
    body = json.dumps(fields).encode()
    return b"%s\n%08x\n" % (body, zlib.crc32(body))


def decode(name: str, data: bytes) -> AdminState:
    """Return the state in a file's bytes.

    Raises AdminStateError for bytes that are damaged, of another version or of another instance.
    """
    lines = data.split(b"\n")
    if len(lines) != 3 or lines[2] or lines[1] != b"%08x" % zlib.crc32(lines[0]):
        raise AdminStateError("damaged: its checksum does not hold")
    match fields := json.loads(lines[0]):
        case {"version": int() as version} if version != VERSION:
            raise AdminStateError(f"of version {version}, this program writes {VERSION}")
        case {"name": str() as other} if other != name:
            raise AdminStateError(f"of head {other!r:.40}, this one is {name!r:.40}")
        case {"banned": list() as disabled, "draining": bool() as draining}:
            records = tuple(_decode_record(item) for item in fields.get("records", []))
            if all(isinstance(backend, str) for backend in disabled):
                return AdminState(frozenset(disabled), draining, records)
    raise AdminStateError("damaged: a field is missing or not of its type")


def _decode_record(item: object) -> StoredDisable:
    match item:
        case [str() as name, int() as version, int() as instance, bool() as disabled]:
            return StoredDisable(name, version, instance, disabled)
    raise AdminStateError("damaged: a record of a ban is not of its form")
