"""The lease protocol, which divides a limit among the instances of a fleet.

A volume's limit is shared by its hosts, the instances that receive the volume's requests. Each host owns an
even quota, 1 / hosts of the limit, and grants fractions of it to peers for a bounded time. Nothing else has
to be agreed on, so the protocol needs neither a leader nor a quorum. Other shared resources, such as the
attempts at a backend that is warming up, are divided in the same way by a separate `Leases` whose limits are
budgets with a window.

Roles. Every instance is both a grantor, of its own even quotas, and a requester of its peers' quotas.

States of an instance, which apply to all its quotas:

- suspended (`resumes_at` is None): it neither uses nor grants its own quotas, and has dropped the grants that
  it had received;
- quarantined (until `resumes_at`): it has started or resumed, and its earlier grants may still be in use. It
  neither uses nor grants its own quotas for as long as a grant counts at its grantor;
- active: it uses its even quotas, minus what it has granted, plus what it was granted.

Messages (lease_message.py). In each round an instance sends one message each to some of its peers, with

- requests: the quota that it wants of each volume's limit, and the number of hosts;
- grants: the fraction of its even quota of each volume that the receiver may use from now on, which replaces
  the previous grant.

Each message acknowledges the last one received from its receiver. A grant expires at the receiver `lease_us`
after the acknowledged message was sent, by the receiver's clock. The grantor counts it for longer: it starts
when it composes the grant, which is later, and adds the greatest clock drift. For a budget it also adds the
longest window, in which spent units stay locked. The grantor therefore never reuses its quota before the
receiver stops using it, and a message that is lost, delayed, duplicated or reordered can only leave a quota
unused.

Invariants:

- the quotas of a limit that its hosts may use add up to at most 1 at any moment;
- an instance reduces its own quota before it sends the message that grants it;
- of several unexpired grants to one peer, the greatest counts at the grantor, since the receiver may not have
  received the latest one;
- a receiver adds a grant to its quota only if the grantor is a host of that volume, or if the fraction is a
  lower bound of what an unknown host has granted (`quotas.guaranteed_fractions`).

docs/design/fleet-limits.md contains the proof and its assumptions.

`Leases` has neither a clock nor a socket. Times are microseconds of this instance's clock; volumes and
budgets are identified by the `name_tag` of their names. demand.py estimates the demand, quotas.py computes
the quotas, grants.py stores the grants, and peer_contacts.py tracks the messages of each peer.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from garnetlanding.peers.demand import DemandTable
from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.grants import Grant, GrantLedger, ReceivedGrants
from garnetlanding.peers.lease_message import LeaseMessage, LeasePage, QuotaRequest
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.peer_contacts import InstanceIdentity, PeerContacts, ReceivedRequest
from garnetlanding.peers.quotas import guaranteed_fractions, spare_fraction, usable_quota

# `recheck_at` while suspended, when no quota changes by the passage of time. The value is part of histories.
NEVER_US = 1 << 62


class Leases:
    """The state of one instance in the lease protocol: its demands, and the grants it made and received."""

    def __init__(
        self,
        limits: PeerLimits,
        identity: InstanceIdentity,
        now: int,
        earlier: Leases | None = None,
        budget_window_us: int | None = None,
    ) -> None:
        """Start in quarantine, until the grants of an earlier incarnation have expired.

        `earlier` is the state of this incarnation before its number or the fleet size changed. Its demands,
        and the last quotas reported to the decision module, are kept. `budget_window_us` is the longest
        window of the budgets that are divided; None if limits are divided.
        """
        self.limits = limits
        self.identity = identity
        self.budget_window_us = budget_window_us
        last_number: int = 0 if earlier is None else earlier.contacts.last_number
        self.contacts: PeerContacts = PeerContacts(limits, identity, last_number)
        self.demands: DemandTable = (
            DemandTable(limits, budget_window_us) if earlier is None else earlier.demands
        )
        self.received = ReceivedGrants()
        self.granted = GrantLedger()
        self.reported_quotas: dict[int, float] = {} if earlier is None else earlier.reported_quotas
        self.resumes_at: int | None = now + self._reclaim_after_us  # None: suspended until `resume`
        self.recheck_at = now  # when a quota may next change without a message or request
        self._members_discovered = False

    # States

    def set_peers(self, peers: frozenset[int]) -> None:
        """Replace the set of known peers, and remove the grants received from peers that left."""
        self._members_discovered = True
        if peers != self.contacts.peers:
            self.received.forget_peers(self.contacts.peers - peers)
            self.contacts.peers = peers
            self.recheck_at = 0

    def suspend(self, now: int) -> None:
        """Neither use nor grant quotas until `resume`."""
        self.resumes_at = None
        self.received.clear()
        self.recheck_at = now

    def resume(self, now: int) -> None:
        """Use and grant quotas again after a quarantine, as after a start."""
        self.resumes_at = now + self._reclaim_after_us
        self.received.clear()
        self.recheck_at = now

    def may_use_quotas(self, now: int) -> bool:
        """Return whether this instance is active, that is, neither suspended nor quarantined."""
        return self.resumes_at is not None and now >= self.resumes_at

    @property
    def _reclaim_after_us(self) -> int:
        """Duration for which a grant counts at its grantor.

        The receiver's clock may be slower, and units of a budget that the receiver spends just before the
        grant expires stay locked until the window has passed.
        """
        return int((self.limits.lease_us + (self.budget_window_us or 0)) * (1 + self.limits.max_clock_drift))

    def record_demand(
        self, name: str, hosts: int, limit: float, units: float, now: int, window_us: int = 0
    ) -> None:
        """Record that `units` of a volume's limit, or of a budget, were requested at this instance.

        `limit` is in units per second, over all `hosts` instances. `window_us` is the window of a budget, in
        which the instances may spend `limit` times the window's length.
        """
        if self.demands.record(name, hosts, limit, units, now, window_us):
            self.recheck_at = now

    # Messages

    def receive(self, sender: int, message: LeaseMessage, now: int) -> DropReason | None:
        """Record a peer's requests and grants; return why the message was dropped, or None if it was not."""
        reason = self.contacts.accept(sender, message.incarnation, message.number, now)
        if reason is not None:
            return reason
        self._record_requests(sender, message.requests, now)
        sent_at = self.contacts.sent_at(message.acked_incarnation, message.acked_number)
        if sent_at is not None:
            self._record_grants(sender, message.grants, sent_at + self.limits.lease_us)
            self.recheck_at = now
        return None

    def _record_requests(self, sender: int, requests: dict[int, QuotaRequest], now: int) -> None:
        recorded = self.contacts.by_peer[sender].requests
        for volume, request in requests.items():
            if volume in recorded or len(recorded) < self.limits.max_volumes:
                recorded[volume] = ReceivedRequest(request.quota, request.hosts, now)
            demand = self.demands.by_tag.get(volume)
            if demand is not None:
                demand.last_request_by_peer[sender] = now

    def _record_grants(self, sender: int, grants: dict[int, float], expires_at: int) -> None:
        for volume, fraction in grants.items():
            # Without a demand here a grant is never used, and its volume may not exist.
            if volume in self.demands.by_tag:
                self.received.add(volume, sender, Grant(fraction, expires_at))

    def active_peers(self, now: int) -> list[int]:
        """Return the peers that recently requested a quota, or that may grant one that is needed here."""
        return sorted(self.demands.recent_requesters(now) | self.contacts.requesters(now))

    def compose(self, now: int, receivers: Iterable[int] | None = None) -> dict[int, LeasePage]:
        """Return the requests and grants to send now to each of `receivers`, by default to all peers.

        Receivers for which there is nothing to send are left out. The grants count as in use from now on,
        whether or not their messages arrive.
        """
        requests = self._compose_requests(now)
        pages: dict[int, LeasePage] = {}
        for peer in sorted(self.contacts.peers) if receivers is None else receivers:
            grants = self._make_grants(peer, now)
            if requests or grants:
                pages[peer] = LeasePage(requests, grants)
        return pages

    def _compose_requests(self, now: int) -> dict[int, QuotaRequest]:
        wanted = self.demands.wanted_quotas(now)[: self.limits.max_quota_requests]
        return {volume: QuotaRequest(quota, self.demands.by_tag[volume].hosts) for quota, volume in wanted}

    def _make_grants(self, peer: int, now: int) -> dict[int, float]:
        """Grant a peer a fraction of each volume that it requests, where possible; return the fractions."""
        contact = self.contacts.by_peer.get(peer)
        if contact is None or not self.may_use_quotas(now):
            return {}
        grants: dict[int, float] = {}
        for volume, request in list(contact.requests.items()):
            if now - request.received_at > self.limits.peer_timeout_us:
                del contact.requests[volume]
                continue
            fraction = self._grantable_fraction(volume, request.hosts, peer, now)
            if fraction > 0:
                grants[volume] = fraction
                self.granted.add(volume, peer, Grant(fraction, now + self._reclaim_after_us))
                self.recheck_at = now
        return grants

    def _grantable_fraction(self, volume: int, hosts: int, peer: int, now: int) -> float:
        """Return the fraction of its even quota that this instance can grant, rounded down to a step.

        Fractions that other peers may still use are excluded, and so are locked units of a budget.
        """
        demand = self.demands.by_tag.get(volume)
        wanted = 0.0 if demand is None else demand.wanted_quota(now, self.limits)
        spare = spare_fraction(wanted, self.contacts.requested_quotas(volume, now), hosts, peer)
        if not spare:
            return 0.0
        granted = self.granted.total(volume, now, except_peer=peer)
        locked = 0.0
        if demand is not None and self.budget_window_us is not None:
            locked = demand.locked_quota(now, self.budget_window_us) * hosts
        steps = int(min(spare, 1 - granted - locked) * self.limits.quota_steps)
        return max(0, steps) / self.limits.quota_steps

    # Quotas

    def usable_quota(self, volume: int, now: int) -> float:
        """Return the quota of the limit that this instance may use at this moment."""
        demand = self.demands.by_tag[volume]
        granted = self.granted.total(volume, now) if self.may_use_quotas(now) else 1.0
        # A host of a limit may not have been discovered yet; the hosts of a budget are all instances.
        may_have_undiscovered_hosts = self._members_discovered and self.budget_window_us is None
        received = guaranteed_fractions(
            self.received.fractions(volume, now),
            demand.known_hosts(now, self.limits),
            () if may_have_undiscovered_hosts else self.contacts.peers,
            demand.hosts,
        )
        return usable_quota(granted, received, demand.hosts)

    def refresh_quotas(self, now: int) -> dict[str, float]:
        """Recompute the usable quotas and return, by name, those that have changed since the last call.

        It is called in each event-loop iteration and returns immediately if no quota can have changed. It
        detects a lease that expired while the process was stopped before the decision module can send.
        """
        if now < self.recheck_at:
            return {}
        changed: dict[str, float] = {}
        for volume, demand in list(self.demands.by_tag.items()):
            quota = self.usable_quota(volume, now)
            if quota != self.reported_quotas.get(volume):
                self.reported_quotas[volume] = quota
                changed[demand.name] = quota
            if demand.is_idle(quota, now, self.limits):
                self._remove_demand(volume)
        self._drop_expired(now)
        return changed

    def _remove_demand(self, volume: int) -> None:
        del self.demands.by_tag[volume]
        self.received.forget_volume(volume)
        self.reported_quotas.pop(volume, None)

    def _drop_expired(self, now: int) -> None:
        """Remove expired grants, and set `recheck_at` to the next expiration."""
        expirations = self.received.drop_expired(now) + self.granted.drop_expired(now)
        if self.resumes_at is None:
            expirations.append(NEVER_US)
        elif self.resumes_at > now:
            expirations.append(self.resumes_at)
        self.recheck_at = min(expirations, default=now + self.limits.lease_us)

    def current_quotas(self) -> dict[str, float]:
        """Return the last reported quotas, by name. They are valid until `recheck_at` at most."""
        return {demand.name: self.reported_quotas[volume] for volume, demand in self.demands.by_tag.items()}


@dataclass(frozen=True, slots=True)
class BudgetLeases:
    """The leases that divide budgets, and the number of instances that share the budgets."""

    leases: Leases
    hosts: int
