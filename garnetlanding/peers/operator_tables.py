"""Builds the operators' tables of quotas, members, suspicions and disabled backends (`ops fleet ...`).

status.py defines the rows and their JSON encoding. Times are microseconds of this instance's clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from garnetlanding.peers.limits import MS
from garnetlanding.peers.status import (
    ClaimRow,
    DisabledBackendRow,
    GrantRow,
    LimitRow,
    MemberRow,
    MemberState,
    PeerRow,
    SuspicionRow,
)

if TYPE_CHECKING:  # a disabled subsystem is not imported
    from garnetlanding.peers.disabled_backends import DisabledBackends
    from garnetlanding.peers.grants import Grant
    from garnetlanding.peers.leases import Leases
    from garnetlanding.peers.local_observations import LocalObservations
    from garnetlanding.peers.membership import Membership
    from garnetlanding.peers.suspicions import SuspicionTable

CREDIT_DIGITS = 2  # decimal places of a peer's credit
QUOTA_DIGITS = 4  # decimal places of a quota


def limit_rows(leases: Leases, now: int) -> list[LimitRow]:
    """Return one row for each limit or budget that is requested at this instance, sorted by name."""
    demands = sorted(leases.demands.by_tag.items(), key=lambda item: item[1].name)
    return [
        LimitRow(
            volume=demand.name,
            hosts=demand.hosts,
            usable_quota=round(leases.usable_quota(volume, now), QUOTA_DIGITS),
            wanted_quota=round(demand.wanted_quota(now, leases.limits), QUOTA_DIGITS),
            granted=_grant_rows(leases.granted.latest(volume, now), now),
            received=_grant_rows(leases.received.current(volume, now), now),
        )
        for volume, demand in demands
    ]


def _grant_rows(grants: Iterable[tuple[int, Grant]], now: int) -> tuple[GrantRow, ...]:
    return tuple(GrantRow(peer, grant.fraction, (grant.expires_at - now) // MS) for peer, grant in grants)


def peer_rows(leases: Leases, now: int) -> list[PeerRow]:
    """Return one row for each instance of the fleet, including this one, sorted by number."""
    own_number = leases.identity.number
    return [
        _own_row(leases, now) if number == own_number else _peer_row(leases, number, now)
        for number in sorted(leases.contacts.peers | {own_number})
    ]


def _own_row(leases: Leases, now: int) -> PeerRow:
    return PeerRow(
        instance=leases.identity.number,
        is_self=True,
        incarnation=leases.identity.incarnation,
        last_received_ms=0,
        requested_volumes=len(leases.demands.wanted_quotas(now)),
    )


def _peer_row(leases: Leases, number: int, now: int) -> PeerRow:
    contact = leases.contacts.by_peer.get(number)
    return PeerRow(
        instance=number,
        is_self=False,
        incarnation=contact.last_message.incarnation if contact else None,
        last_received_ms=(now - contact.received_at) // MS if contact else None,
        requested_volumes=len(contact.requests) if contact else 0,
    )


def suspect_after_us(members: Membership) -> int:
    """Return the time without a message after which a peer is shown as suspect.

    It is `peer_timeout_us` times the number of rounds in which an instance sends to all of its peers once.
    """
    peers = max(1, len(members.quota_holders) - 1)
    rounds = -(-peers // members.limits.fanout)
    return members.limits.peer_timeout_us * rounds


def member_state(members: Membership, instance: int, now: int) -> MemberState:
    """Return the state of an instance as observed by this one."""
    if members.table.records[instance].terminated:
        return MemberState.TERMINATED
    if instance == members.own_instance:
        return MemberState.SELF
    if members.has_received_within(instance, now, suspect_after_us(members)):
        return MemberState.UP
    return MemberState.SUSPECT


def member_rows(members: Membership, now: int) -> list[MemberRow]:
    """Return one row for each known instance, sorted by number."""
    return [
        MemberRow(
            instance=record.instance,
            state=member_state(members, record.instance, now),
            incarnation=record.incarnation,
            address=record.address,
            last_received_ms=_last_received_ms(members, record.instance, now),
            even_quota=members.even_quota if record.instance == members.own_instance else None,
        )
        for record in sorted(members.table.records.values())
    ]


def _last_received_ms(members: Membership, instance: int, now: int) -> int | None:
    received_at = members.received_at.get(instance)
    return None if received_at is None else (now - received_at) // MS


def suspicion_rows(
    suspicions: SuspicionTable, observations: LocalObservations, now: int, tightest_objective_us: int
) -> list[SuspicionRow]:
    """Return one row for each listed backend, sorted by name: local observations and the claims of peers.

    `tightest_objective_us` is the tightest latency objective of all request classes.
    """
    evidence = observations.evidence(now, tightest_objective_us)
    suspected = suspicions.suspected(now, observations)
    rows: list[SuspicionRow] = []
    for backend in sorted(observations.backends):
        own = evidence.get(backend)
        until = suspected.get(backend)
        row = SuspicionRow(
            backend=backend,
            observed_kind=None if own is None else own.kind,
            observed_age_ms=None if own is None else own.age_ms,
            suspected_for_ms=None if until is None else (until - now) // MS,
            claims=_claim_rows(suspicions, backend, now),
        )
        rows.append(row)
    return rows


def _claim_rows(suspicions: SuspicionTable, backend: str, now: int) -> tuple[ClaimRow, ...]:
    claims = sorted(suspicions.claims_about(backend).items(), key=lambda item: item[0])
    return tuple(
        ClaimRow(
            peer=peer,
            kind=claim.kind,
            count=claim.count,
            age_ms=(now - claim.expires_at + suspicions.limits.evidence_us) // MS,
            credit=round(suspicions.credits.of(peer, now), CREDIT_DIGITS),
        )
        for peer, claim in claims
        if claim.expires_at > now
    )


def disabled_rows(disabled: DisabledBackends) -> list[DisabledBackendRow]:
    """Return one row for each record of a disabled or enabled backend, sorted by name."""
    return [
        DisabledBackendRow(record.backend, record.disabled, record.instance, record.version)
        for record in sorted(disabled.records.values())
    ]
