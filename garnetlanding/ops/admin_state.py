"""The administrative state, which operators set at an instance, and its file format. No I/O.

The state survives restarts. The file has one line of JSON and a line with the CRC-32 of that line in
hexadecimal:

    {"version": 1, "name": "n1", "banned": ["b0"], "draining": false, "records": [["b0", 17, 1, true]]}
    6c0d9a1f

`banned` and `draining` are the fields `disabled` and `draining` of AdminState. `records` is omitted if empty;
an entry is a StoredDisable's name, version, instance and whether it is disabled. During an upgrade
the predecessor's and the successor's program use the same file, so fields may be added but must never change.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, replace

from garnetlanding.ops.errors import DamagedStateError, ForeignStateError, StateDamage, StateVersionError

VERSION = 1


@dataclass(frozen=True, slots=True)
class StoredDisable:
    """The latest decision of any of the fleet's operators on one backend, or on one instance.

    `name` is the backend's id, or "head/" and the instance's number. `instance` is the number of the instance
    at which the decision was made. Of two decisions on one name the one with the greater `version` prevails,
    and of equal versions the one with the greater `instance`.
    """

    name: str
    version: int
    instance: int
    disabled: bool


@dataclass(frozen=True, slots=True)
class AdminState:
    """The administrative state of one instance.

    `disabled` names the backends that get no new requests until an operator enables them again. `draining`
    is whether clients are being drained. `records` are the fleet's decisions, from which `disabled` is
    derived; empty if decisions are not replicated.
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

    def drain(self) -> AdminState:
        """Return the state with the instance draining."""
        return replace(self, draining=True)

    def resume(self) -> AdminState:
        """Return the state with the instance not draining."""
        return replace(self, draining=False)


def encode(name: str, state: AdminState) -> bytes:
    """Encode the state file of the instance of this name."""
    fields: dict[str, object] = {
        "version": VERSION,
        "name": name,
        "banned": sorted(state.disabled),
        "draining": state.draining,
    }
    # Without records, the file is the same as one written by a program that predates records.
    if state.records:
        fields["records"] = [
            [record.name, record.version, record.instance, record.disabled] for record in state.records
        ]
    body = json.dumps(fields).encode()
    return b"%s\n%08x\n" % (body, zlib.crc32(body))


def decode(name: str, data: bytes) -> AdminState:
    """Decode a state file. Raises AdminStateError if it is damaged, or of another version or instance."""
    match fields := json.loads(_checked_body(data)):
        case {"version": int() as version} if version != VERSION:
            raise StateVersionError(version, VERSION)
        case {"name": str() as other} if other != name:
            raise ForeignStateError(other, name)
        case {"banned": list() as disabled, "draining": bool() as draining}:
            records = tuple(_decode_record(item) for item in fields.get("records", []))
            if all(isinstance(backend, str) for backend in disabled):
                return AdminState(frozenset(disabled), draining, records)
    raise DamagedStateError(StateDamage.FIELD)


def _checked_body(data: bytes) -> bytes:
    match data.split(b"\n"):
        case [body, checksum, b""] if checksum == b"%08x" % zlib.crc32(body):
            return body
    raise DamagedStateError(StateDamage.CHECKSUM)


def _decode_record(item: object) -> StoredDisable:
    match item:
        case [str() as name, int() as version, int() as instance, bool() as disabled]:
            return StoredDisable(name, version, instance, disabled)
    raise DamagedStateError(StateDamage.RECORD)
