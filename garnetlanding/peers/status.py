"""The rows of the tables that `ops fleet limits`, `members`, `verdicts` and `bans` show operators.

Operators' scripts read the JSON fields, so those keep their words: the `as_json` of each row is the one place
where the terms of the code are translated, field by field.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.peers.gossip_message import EvidenceKind


class MemberState(Enum):
    """An instance as another one sees it; the values appear in operators' answers."""

    SELF = "me"
    UP = "up"
    SUSPECT = "suspect"  # nothing was received from it in time
    TERMINATED = "gone"


class StatusRow(Protocol):
    """One row of such a table."""

    def as_json(self) -> dict[str, object]:
        """Return the row's JSON fields, in the order in which they are shown."""
        ...


@dataclass(frozen=True, slots=True)
class GrantRow:
    """A grant that has not expired."""

    peer: int  # the receiver, or the grantor
    fraction: float  # of the grantor's even quota
    expires_in_ms: int

    def as_json(self) -> dict[str, object]:
        """Return the row's JSON fields."""
        return {"head": self.peer, "share": self.fraction, "for_ms": self.expires_in_ms}


@dataclass(frozen=True, slots=True)
class LimitRow:
    """How a volume's limit, or a budget, is divided as far as this instance knows."""

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
    """An instance of a fleet whose members are configured."""

    instance: int
    is_self: bool
    incarnation: int | None  # None: nothing received from it yet
    last_received_ms: int | None  # ago
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
    """An instance of a group that was found from its seeds."""

    instance: int
    state: MemberState
    incarnation: int
    address: str
    last_received_ms: int | None  # ago; None: nothing received from it yet
    even_quota: float | None  # of this instance alone, which knows no other one's

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
    """What one peer claims of a backend."""

    peer: int
    kind: EvidenceKind
    count: int  # of the events that it rests on
    age_ms: int  # at most
    credit: float  # of the peer, 0 to 1

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
    """What this instance and its peers have observed of a backend."""

    backend: str
    observed_kind: EvidenceKind | None  # None: nothing unusual was observed here
    observed_age_ms: int | None
    suspected_for_ms: int | None  # from now on, at most; None: it is not suspected
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
    """The last record of a backend that operators have disabled or enabled."""

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
