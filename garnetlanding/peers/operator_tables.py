"""Builds the tables of members, suspicions and disabled backends that operators see (`ops fleet ...`).

The rows are the typed ones of status.py, which encodes them. Times are microseconds of this instance's clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetlanding.peers.limits import MS
from garnetlanding.peers.status import ClaimRow, DisabledBackendRow, MemberRow, MemberState, SuspicionRow

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.peers.disabled_backends import DisabledBackends
    from garnetlanding.peers.local_observations import LocalObservations
    from garnetlanding.peers.membership import Membership
    from garnetlanding.peers.suspicions import SuspicionTable

CREDIT_DIGITS = 2  # decimal places of a peer's credit


def suspect_after_us(members: Membership) -> int:
    """Return the time without a message after which a peer is shown as suspect.

    That is `stale_us` for each of the rounds it takes to send to every peer once.
    """
    peers = max(1, len(members.quota_holders) - 1)
    rounds = -(-peers // members.limits.fanout)
    return members.limits.stale_us * rounds


def member_state(members: Membership, instance: int, now: int) -> MemberState:
    """Return the state of an instance as this one sees it."""
    if members.table.records[instance].terminated:
        return MemberState.TERMINATED
    if instance == members.me:
        return MemberState.SELF
    if members.was_received_within(instance, now, suspect_after_us(members)):
        return MemberState.UP
    return MemberState.SUSPECT


def member_rows(members: Membership, now: int) -> list[MemberRow]:
    """Return one row for each known instance, in the order of their numbers."""
    return [
        MemberRow(
            instance=record.instance,
            state=member_state(members, record.instance, now),
            incarnation=record.incarnation,
            address=record.address,
            last_received_ms=_last_received_ms(members, record.instance, now),
            even_share=members.even_share if record.instance == members.me else None,
        )
        for record in sorted(members.table.records.values())
    ]


def _last_received_ms(members: Membership, instance: int, now: int) -> int | None:
    received_at = members.received_at.get(instance)
    return None if received_at is None else (now - received_at) // MS


def suspicion_rows(
    suspicions: SuspicionTable, observations: LocalObservations, now: int, tightest_us: int
) -> list[SuspicionRow]:
    """Return one row for each listed backend, by name: what is observed here and claimed by peers.

    `tightest_us` is the tightest latency objective of all classes.
    """
    evidence = observations.evidence(now, tightest_us)
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
    """Return one row for each record of a disabled or enabled backend, by name."""
    return [
        DisabledBackendRow(record.backend, record.disabled, record.instance, record.version)
        for record in sorted(disabled.records.values())
    ]
