"""The rows of the tables that `ops fleet limits`, `members`, `verdicts` and `bans` show.

Operators' scripts depend on the names of the JSON fields. The method `as_json` of each row maps the
attributes to these names.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:  # a disabled subsystem is not imported
    from garnetlanding.peers.gossip_message import EvidenceKind


class MemberState(Enum):
    """The state of an instance as observed by another one. Operators' scripts depend on the values."""

    SELF = "me"
    UP = "up"
    SUSPECT = "suspect"  # no message was received from it in time
    TERMINATED = "gone"


class StatusRow(Protocol):
    """One row of a table for operators."""

    def as_json(self) -> dict[str, object]:
        """Return the row's JSON fields in display order."""
        ...


@dataclass(frozen=True, slots=True)
class GrantRow:
    """An unexpired grant."""

    peer: int  # the receiver of a grant made, or the grantor of a grant received
    fraction: float  # of the grantor's even quota
    expires_in_ms: int

    def as_json(self) -> dict[str, object]:
        """Return the row's JSON fields."""
        return {"head": self.peer, "share": self.fraction, "for_ms": self.expires_in_ms}


@dataclass(frozen=True, slots=True)
class LimitRow:
    """The division of a volume's limit, or of a budget, as known to this instance."""

    volume: str
    hosts: int
    usable_quota: float
    wanted_quota: float
    granted: tuple[GrantRow, ...]
    received: tuple[GrantRow, ...]

    def as_json(self) -> dict[str, object]:
        """Return the row's JSON fields."""
        return {
            "volume": self.volume,
            "hosts": self.hosts,
            "part": self.usable_quota,
            "wants": self.wanted_quota,
            "left": [grant.as_json() for grant in self.granted],
            "had": [grant.as_json() for grant in self.received],
        }


@dataclass(frozen=True, slots=True)
class PeerRow:
    """An instance of a fleet with configured members."""

    instance: int
    is_self: bool
    incarnation: int | None  # None: no message received yet
    last_received_ms: int | None  # time since the last message
    requested_volumes: int

    def as_json(self) -> dict[str, object]:
        """Return the row's JSON fields."""
        return {
            "head": self.instance,
            "me": self.is_self,
            "life": self.incarnation,
            "heard_ms": self.last_received_ms,
            "asks": self.requested_volumes,
        }


@dataclass(frozen=True, slots=True)
class MemberRow:
    """An instance of a fleet with members that are discovered from seeds."""

    instance: int
    state: MemberState
    incarnation: int
    address: str
    last_received_ms: int | None  # time since the last message; None: no message received yet
    even_quota: float | None  # only known for this instance

    def as_json(self) -> dict[str, object]:
        """Return the row's JSON fields."""
        return {
            "head": self.instance,
            "state": self.state.value,
            "life": self.incarnation,
            "address": self.address,
            "heard_ms": self.last_received_ms,
            "part": None if self.even_quota is None else round(self.even_quota, 4),
        }


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """The claim of one peer about a backend."""

    peer: int
    kind: EvidenceKind
    count: int  # of the observed events
    age_ms: int  # upper bound
    credit: float  # of the peer, from 0 to 1

    def as_json(self) -> dict[str, object]:
        """Return the row's JSON fields."""
        return {
            "head": self.peer,
            "says": self.kind.label,
            "count": self.count,
            "age_ms": self.age_ms,
            "credit": self.credit,
        }


@dataclass(frozen=True, slots=True)
class SuspicionRow:
    """Observations of a backend by this instance and its peers."""

    backend: str
    observed_kind: EvidenceKind | None  # None: this instance has no evidence against it
    observed_age_ms: int | None
    suspected_for_ms: int | None  # upper bound; None: not suspected
    claims: tuple[ClaimRow, ...]

    def as_json(self) -> dict[str, object]:
        """Return the row's JSON fields."""
        return {
            "server": self.backend,
            "own": "" if self.observed_kind is None else self.observed_kind.label,
            "own_ms": self.observed_age_ms,
            "doubted_ms": self.suspected_for_ms,
            "words": [claim.as_json() for claim in self.claims],
        }


@dataclass(frozen=True, slots=True)
class DisabledBackendRow:
    """The latest record of a backend that an operator has disabled or enabled."""

    backend: str
    disabled: bool
    instance: int  # at which the operator made the change
    version: int

    def as_json(self) -> dict[str, object]:
        """Return the row's JSON fields."""
        return {
            "server": self.backend,
            "out": self.disabled,
            "head": self.instance,
            "version": self.version,
        }
