"""The backends that operators have administratively disabled, for all instances of the fleet.

A last-writer-wins map: by name, the record with the greatest rank (version, then the instance that made it).
Merging is commutative, associative and idempotent, so tables that have exchanged all records are equal, in
whatever order the records came. Nothing here knows a clock, a file or a datagram.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import NamedTuple

from garnetlanding.peers.errors import PeersError
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.status import DisabledBackendRow

DIGEST = 8  # bytes
EMPTY_DIGEST = bytes(DIGEST)  # digest of an empty table
INSTANCE_PREFIX = (
    "head/"  # before its number: the record of an instance that is fenced; no backend is named so
)


class DisabledBackendError(PeersError, ValueError):
    """A change that the table cannot take; `backend` is the name that was to be changed."""

    def __init__(self, text: str, backend: str) -> None:
        super().__init__(text)
        self.backend = backend


class DisableRecord(NamedTuple):
    """The last change to one backend, or to an instance.

    Records are ordered by name. `version` is in milliseconds of the wall clock where clocks are right.
    """

    backend: str
    version: int
    instance: int  # at which the operator made the change
    disabled: bool  # False: it was enabled again

    @property
    def rank(self) -> tuple[int, int, bool]:
        """Of two records on one backend, the one with the greater rank holds."""
        return self.version, self.instance, self.disabled


@dataclass(frozen=True, slots=True)
class Merged:
    """What a merge came to."""

    news: tuple[DisableRecord, ...]  # the records that were taken up
    rejected: int  # records that could not be


class DisabledBackends:
    """The map of records, bounded in size. Records of enabled backends stay until their place is needed."""

    def __init__(self, limits: PeerLimits, records: Iterable[DisableRecord] = ()) -> None:
        self._limits = limits
        self.records: dict[str, DisableRecord] = {}
        self._digest: bytes | None = None
        for record in records:
            self._take(record)

    @property
    def disabled_names(self) -> frozenset[str]:
        """The names that are disabled now."""
        return frozenset(record.backend for record in self.records.values() if record.disabled)

    @property
    def digest(self) -> bytes:
        """A digest of all records: equal tables have equal ones, however they came about."""
        if self._digest is None:
            text = "\n".join(
                f"{record.backend} {record.version} {record.instance} {record.disabled:d}"
                for record in sorted(self.records.values())
            )
            self._digest = blake2b(text.encode(), digest_size=DIGEST).digest() if text else EMPTY_DIGEST
        return self._digest

    @property
    def _highest_version(self) -> int:
        return max((record.version for record in self.records.values()), default=0)

    def set_disabled(self, backend: str, disabled: bool, instance: int, wall_ms: int) -> DisableRecord:
        """Disable or enable a backend on behalf of an operator at this instance, and return the record.

        Its version is greater than any that is known here, also where the wall clock is behind. Raises
        DisabledBackendError where the name is too long, or too many backends are disabled already.
        """
        if len(backend.encode()) > self._limits.max_name_bytes:
            raise DisabledBackendError(f"name of more than {self._limits.max_name_bytes} bytes", backend)
        record = DisableRecord(backend, max(wall_ms, self._highest_version + 1), instance, disabled)
        if not self._take(record):
            raise DisabledBackendError(f"{self._limits.max_disable_records} servers are out already", backend)
        return record

    def merge(self, records: Iterable[DisableRecord]) -> Merged:
        """Merge records of peers.

        A version may be far ahead of this instance's clock, which may be behind; it is rejected only where no
        later one could be made.
        """
        news: list[DisableRecord] = []
        rejected = 0
        for record in records:
            known = self.records.get(record.backend)
            if record.version > self._greatest_acceptable_version:
                rejected += 1
            elif known is None or record.rank > known.rank:
                if self._take(record):
                    news.append(record)
                else:
                    rejected += 1
        return Merged(tuple(news), rejected)

    @property
    def _greatest_acceptable_version(self) -> int:
        return max(self._limits.max_version, self._highest_version + self._limits.max_version_lead)

    def _take(self, record: DisableRecord) -> bool:
        """Take a record up unless a later one is known; return False where there is no room for it.

        A full table makes room by dropping the record with the lowest rank on a backend that is enabled.
        """
        known = self.records.get(record.backend)
        if known is not None and known.rank >= record.rank:
            return True
        if known is None and len(self.records) >= self._limits.max_disable_records:
            enabled = [one for one in [*self.records.values(), record] if not one.disabled]
            if not enabled:
                return False
            oldest = min(enabled, key=lambda one: one.rank)
            if oldest is record:
                return True  # it would be the first to be dropped
            del self.records[oldest.backend]
        self.records[record.backend] = record
        self._digest = None
        return True

    def rows(self) -> list[DisabledBackendRow]:
        """Return, for operators, every record by name."""
        return [
            DisabledBackendRow(record.backend, record.disabled, record.instance, record.version)
            for record in sorted(self.records.values())
        ]
