"""The backends that operators have disabled, replicated to all instances of the fleet.

The table is a last-writer-wins map: for each name it keeps the record with the greatest rank (version, then
instance that made the change). Merging is commutative, associative and idempotent, so instances that have
exchanged all records hold equal tables, in whatever order the records arrived. Sans-IO: no clock and no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

from garnetlanding.peers.errors import PeersError
from garnetlanding.peers.limits import PeerLimits

DIGEST_BYTES = 8
EMPTY_DIGEST = bytes(DIGEST_BYTES)  # digest of an empty table
# With an instance's number appended, the name of the record that fences that instance. No backend has
# such a name.
INSTANCE_PREFIX = "head/"


class DisabledBackendError(PeersError, ValueError):
    """A change that the table rejects; `backend` is the name in the rejected change."""

    def __init__(self, message: str, backend: str) -> None:
        super().__init__(message)
        self.backend = backend


class NameTooLongError(DisabledBackendError):
    """A name is longer than `max_bytes`, so its record would not fit into a datagram."""

    def __init__(self, backend: str, max_bytes: int) -> None:
        super().__init__(f"name of more than {max_bytes} bytes", backend)
        self.max_bytes = max_bytes


class DisabledTableFullError(DisabledBackendError):
    """The table already holds `max_records` records, all of them of disabled backends."""

    def __init__(self, backend: str, max_records: int) -> None:
        super().__init__(f"{max_records} servers are out already", backend)
        self.max_records = max_records


class DisableRecord(NamedTuple):
    """The last change of one backend, or of an instance (`INSTANCE_PREFIX`).

    Records are ordered by name. `version` is the wall clock in milliseconds at the change, or one more than
    the greatest version known then, if that was greater.
    """

    backend: str
    version: int
    instance: int  # where the operator made the change
    disabled: bool  # False: enabled again

    @property
    def rank(self) -> tuple[int, int, bool]:
        """The sort key among records of one backend: the greatest wins."""
        return self.version, self.instance, self.disabled


@dataclass(frozen=True, slots=True)
class MergeResult:
    """The outcome of a merge."""

    accepted: tuple[DisableRecord, ...]  # records that changed the table
    rejected: int  # records that the table could not hold


class DisabledBackends:
    """A bounded table of records. Records of enabled backends stay until their space is needed."""

    def __init__(self, limits: PeerLimits, records: Iterable[DisableRecord] = ()) -> None:
        self._limits = limits
        self.records: dict[str, DisableRecord] = {}
        self._digest: bytes | None = None
        for record in records:
            self._insert(record)

    @property
    def disabled_names(self) -> frozenset[str]:
        """The names of disabled backends and fenced instances."""
        return frozenset(record.backend for record in self.records.values() if record.disabled)

    @property
    def digest(self) -> bytes:
        """The digest of all records: equal tables have equal digests."""
        if self._digest is None:
            text = "\n".join(
                f"{record.backend} {record.version} {record.instance} {record.disabled:d}"
                for record in sorted(self.records.values())
            )
            self._digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).digest() if text else EMPTY_DIGEST
        return self._digest

    @property
    def _highest_version(self) -> int:
        return max((record.version for record in self.records.values()), default=0)

    def set_disabled(self, backend: str, *, disabled: bool, instance: int, wall_ms: int) -> DisableRecord:
        """Disable or enable a backend at an operator's request, and return the new record.

        Its version is greater than any known one, even if the wall clock (`wall_ms`) is behind. Raises
        NameTooLongError or DisabledTableFullError.
        """
        if len(backend.encode()) > self._limits.max_name_bytes:
            raise NameTooLongError(backend, self._limits.max_name_bytes)
        version = max(wall_ms, self._highest_version + 1)
        record = DisableRecord(backend, version, instance, disabled)
        if not self._insert(record):
            raise DisabledTableFullError(backend, self._limits.max_disable_records)
        return record

    def merge(self, records: Iterable[DisableRecord]) -> MergeResult:
        """Merge records from peers, and return which ones changed the table.

        A version far ahead of this instance's clock is accepted, since that clock may be behind. Only a
        version that leaves no greater one for a later change by an operator is rejected.
        """
        accepted: list[DisableRecord] = []
        rejected = 0
        for record in records:
            known = self.records.get(record.backend)
            if record.version > self._greatest_acceptable_version:
                rejected += 1
            elif known is None or record.rank > known.rank:
                if self._insert(record):
                    accepted.append(record)
                else:
                    rejected += 1
        return MergeResult(tuple(accepted), rejected)

    @property
    def _greatest_acceptable_version(self) -> int:
        return max(self._limits.max_version, self._highest_version + self._limits.max_version_lead)

    def _insert(self, record: DisableRecord) -> bool:
        """Store a record unless a later one is known; return False if there is no space for it.

        A full table first drops the lowest-ranked record of an enabled backend.
        """
        known = self.records.get(record.backend)
        if known is not None and known.rank >= record.rank:
            return True
        if known is None and len(self.records) >= self._limits.max_disable_records:
            enabled = [candidate for candidate in [*self.records.values(), record] if not candidate.disabled]
            if not enabled:
                return False
            oldest = min(enabled, key=lambda candidate: candidate.rank)
            if oldest is record:
                return True  # the new record would be the first to be dropped
            del self.records[oldest.backend]
        self.records[record.backend] = record
        self._digest = None
        return True
