"""Operators' bans that hold at every head: a table of records, of which the later version stands.

Two tables merge to the same one in any order. Nothing here knows a clock, a file or a datagram.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from garnetlanding.peers.limits import PeerLimits

DIGEST = 8  # bytes
NOTHING = bytes(DIGEST)  # digest of an empty table
HEADS = "head/"  # and its number: a head that is shut out; no server is named so


class DisabledBackendError(ValueError):
    """A ban that cannot be taken; the text says why."""


class Record(NamedTuple):
    """The last word on one server. `version` is in milliseconds of the wall clock where clocks are right;
    of two of one version, that of the head with the greater number stands."""

    server: str
    version: int
    by: int
    out: bool

    @property
    def rank(self) -> tuple[int, int, bool]:
        return self.version, self.by, self.out


class DisabledBackends:
    def __init__(self, limits: PeerLimits, records: Iterable[Record] = ()) -> None:
        self._limits = limits
        self.records: dict[str, Record] = {}
        self._digest: bytes | None = None
        for record in records:
            self._take(record)

    @property
    def disabled_names(self) -> frozenset[str]:
        return frozenset(r.server for r in self.records.values() if r.out)

    @property
    def digest(self) -> bytes:
        """The same for the same table, whatever way it came about."""
        if self._digest is None:
            text = "\n".join(
                f"{r.server} {r.version} {r.by} {r.out:d}" for r in sorted(self.records.values())
            )
            self._digest = blake2b(text.encode(), digest_size=DIGEST).digest() if text else NOTHING
        return self._digest

    @property
    def _highest(self) -> int:
        return max((r.version for r in self.records.values()), default=0)

    def set_disabled(self, server: str, out: bool, by: int, wall_ms: int) -> Record:
        """An operator's word here: later than any that this head knows of. Raises BanError."""
        if len(server.encode()) > self._limits.ban_name:
            raise DisabledBackendError(f"name of more than {self._limits.ban_name} bytes")
        record = Record(server, max(wall_ms, self._highest + 1), by, out)
        if not self._take(record):
            raise DisabledBackendError(f"{self._limits.bans} servers are out already")
        return record

    def merge(self, records: Iterable[Record]) -> tuple[list[Record], int]:
        """Others' words: those that were news, and how many could not be taken. This head's own clock says
        nothing against a version: one that is behind would keep every ban from it."""
        news, bad = [], 0
        for record in records:
            known = self.records.get(record.server)
            if record.version > max(self._limits.ban_version, self._highest + self._limits.ban_ahead):
                bad += 1
            elif known is None or record.rank > known.rank:
                if self._take(record):
                    news.append(record)
                else:
                    bad += 1
        return news, bad

    def _take(self, record: Record) -> bool:
        """Makes room by dropping the oldest word on a server that is back; False where none is."""
        known = self.records.get(record.server)
        if known is not None and known.rank >= record.rank:
            return True
        if known is None and len(self.records) >= self._limits.bans:
            back = [r for r in [*self.records.values(), record] if not r.out]
            if not back:
                return False
            oldest = min(back, key=lambda r: r.rank)
            if oldest is record:
                return True  # it would be the first to go
            del self.records[oldest.server]
        self.records[record.server] = record
        self._digest = None
        return True
