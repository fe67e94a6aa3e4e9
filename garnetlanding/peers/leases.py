"""Leases on quota shares: how the instances of a fleet divide a limit that counts over all of them.

Every instance that a volume's requests come through owns an even share of its limit, 1 / hosts, for good. It
may grant shares of that to peers for a bounded time. It stops using a share before it announces the grant,
and until the grant must have expired by any clock; the receiver counts from when it sent the message that the
grant answers, which was earlier. So a lost or late message leaves a share idle, and none is used twice.

Invariant: at every moment, the sum of the shares in use by a volume's instances does not exceed 1
(docs/design/fleet-limits.md has the proof, and what it rests on).

This is the protocol's state: no clock and no socket. Times are microseconds of this instance's clock; volumes
and budgets are named by their `tag`. The estimate of what is needed is in demand.py, the arithmetic of grants
in quota_shares.py, the exchange of messages in peer_contacts.py.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from garnetlanding.decision.estimators import SlidingWindowSum
from garnetlanding.peers.codec import LeaseMessage, LeasePage, QuotaRequest, tag
from garnetlanding.peers.demand import Demand
from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.peer_contacts import InstanceIdentity, PeerContacts, ShareRequest
from garnetlanding.peers.quota_shares import Grant, GrantLedger, ReceivedGrants, spare_share
from garnetlanding.peers.status import GrantRow, LimitRow, PeerRow

# `recheck_at` of leases that are suspended: no share changes by itself. Histories show the number.
NEVER_US = 1 << 62


class Leases:
    """One instance's side of the protocol: what it needs, what it has granted, and what was granted to it."""

    def __init__(
        self,
        limits: PeerLimits,
        identity: InstanceIdentity,
        now: int,
        earlier: Leases | None = None,
        window_us: int = 0,
    ) -> None:
        """Begin as after a start: nothing is used until what an earlier incarnation granted has expired.

        `earlier` is the state under another number or fleet size of the same incarnation; the shares that the
        decision module was given go on from there. With `window_us`, what is divided are budgets with windows
        up to that long.
        """
        self._limits = limits
        self.identity = identity
        self.window_us = window_us
        last_number: int = 0 if earlier is None else earlier.contacts.last_number
        self.contacts: PeerContacts = PeerContacts(limits, identity, last_number)
        self._members_discovered = False
        self.demands: dict[int, Demand] = {} if earlier is None else earlier.demands
        self._received = ReceivedGrants()
        self._granted = GrantLedger()
        self.resumes_at: int | None = now + self._counted_as_used_us  # None: not until `resume`
        self._shares: dict[int, float] = {} if earlier is None else earlier._shares  # as last reported
        self.recheck_at = now  # the next time at which a share may change by itself

    def set_peers(self, peers: frozenset[int]) -> None:
        """Take up which peers have been discovered; what was granted by one that has left is void."""
        self._members_discovered = True
        if peers != self.contacts.peers:
            self._received.forget_peers(self.contacts.peers - peers)
            self.contacts.peers = peers
            self.recheck_at = 0

    def suspend(self, now: int) -> None:
        """Use and grant nothing until `resume`."""
        self.resumes_at = None
        self._received.clear()
        self.recheck_at = now

    def resume(self, now: int) -> None:
        """Use and grant shares again, as after a start: once what was granted before must have expired."""
        self.resumes_at = now + self._counted_as_used_us
        self._received.clear()
        self.recheck_at = now

    def is_quarantined(self, now: int) -> bool:
        """Return whether this instance may neither use nor grant anything at this moment."""
        return self.resumes_at is None or now < self.resumes_at

    @property
    def _counted_as_used_us(self) -> int:
        """For how long a grant counts as in use at the grantor.

        The receiver's clock may be slower, and what it spends of a budget at the last moment is locked until
        its window has passed.
        """
        return int((self._limits.lease_us + self.window_us) * (1 + self._limits.drift))

    # Demand

    def record_demand(
        self, name: str, hosts: int, limit: float, units: float, now: int, window_us: int = 0
    ) -> None:
        """Record that `units` of a volume's limit, or of a budget, were requested.

        `limit` is in units a second, over all `hosts` instances. For a budget, `window_us` is the span in
        which that many seconds' worth may be spent. A limit that is not shared is left out.
        """
        if hosts < 2 or limit <= 0:
            return
        key = tag(name)
        demand = self.demands.get(key)
        if demand is None:
            demand = Demand(name, hosts, limit, window_us=window_us)
            if self.window_us:
                demand.spent = SlidingWindowSum(self.window_us)
            self.demands[key] = demand
            self.recheck_at = now
        elif (demand.hosts, demand.limit) != (hosts, limit):
            # Who else requests it is found out anew: the hosts may be others.
            demand = replace(
                demand, name=name, hosts=hosts, limit=limit, window_us=window_us, requested_by={}
            )
            self.demands[key] = demand
            self.recheck_at = now
        demand.rate.add(now, units, self._limits.demand_window_us)

    def record_spent(self, budget: str, units: float, now: int) -> None:
        """Record that units of a budget were spent now; without a demand for it, nothing is counted."""
        demand = self.demands.get(tag(budget))
        if demand is not None and demand.spent is not None:
            demand.spent.add(now, units)

    def set_in_use(self, budget: str, units: float) -> None:
        """Set how many units of a budget are taken until the next call says otherwise."""
        demand = self.demands.get(tag(budget))
        if demand is not None:
            demand.in_use = units

    # Receiving

    def receive(self, sender: int, message: LeaseMessage, now: int) -> DropReason | None:
        """Take up a peer's requests and grants; return why the message is dropped, if it is."""
        reason = self.contacts.accept(sender, message.incarnation, message.number, now)
        if reason is not None:
            return reason
        requests = self.contacts.by_peer[sender].requests
        for volume, ask in message.asks.items():
            if volume in requests or len(requests) < self._limits.max_volumes:
                requests[volume] = ShareRequest(ask.share, ask.hosts, now)
            if volume in self.demands:
                self.demands[volume].requested_by[sender] = now
        sent_at = self.contacts.sent_at(message.acked_incarnation, message.acked_number)
        if sent_at is not None:
            self._take_grants(sender, message.grants, sent_at + self._limits.lease_us)
            self.recheck_at = now
        return None

    def _take_grants(self, sender: int, grants: dict[int, float], expires_at: int) -> None:
        for volume, share in grants.items():
            # Only what is requested here: anything else would be remembered for nothing.
            if volume in self.demands:
                self._received.add(volume, sender, Grant(share, expires_at))

    # Sending

    def active_peers(self, now: int) -> list[int]:
        """Return the peers that lately requested something, or that may grant some of what is needed here."""
        grantors = {
            peer
            for demand in self.demands.values()
            for peer, requested_at in demand.requested_by.items()
            if now - requested_at <= self._limits.demand_memory_us
        }
        return sorted(grantors | self.contacts.requesters(now))

    def compose(self, now: int, receivers: Iterable[int] | None = None) -> dict[int, LeasePage]:
        """Return what to send to each receiver now: this instance's requests, and grants to that peer.

        Without `receivers`, it is composed for every peer; one with nothing to be sent is left out. What is
        granted counts as in use from here on, whether the message arrives or not.
        """
        asks = self._asks(now)
        pages: dict[int, LeasePage] = {}
        for peer in sorted(self.contacts.peers) if receivers is None else receivers:
            grants = self._make_grants(peer, now)
            if asks or grants:
                pages[peer] = LeasePage(asks, grants)
        return pages

    def _asks(self, now: int) -> dict[int, QuotaRequest]:
        """Return the requests to send, those for the greatest shares first."""
        wanted = sorted(
            ((demand.wanted_share(now, self._limits), volume) for volume, demand in self.demands.items()),
            reverse=True,
        )
        return {
            volume: QuotaRequest(share, self.demands[volume].hosts)
            for share, volume in wanted[: self._limits.max_asks]
            if share > 0
        }

    # Granting

    def _make_grants(self, peer: int, now: int) -> dict[int, float]:
        """Grant a peer what can be spared of each volume that it requests; return the shares."""
        contact = self.contacts.by_peer.get(peer)
        if contact is None or self.is_quarantined(now):
            return {}
        grants: dict[int, float] = {}
        for volume, request in list(contact.requests.items()):
            if now - request.received_at > self._limits.stale_us:
                del contact.requests[volume]
                continue
            share = self._grantable_share(volume, request.hosts, peer, now)
            if share > 0:
                grants[volume] = share
                self._granted.add(volume, peer, Grant(share, now + self._counted_as_used_us))
                self.recheck_at = now
        return grants

    def _grantable_share(self, volume: int, hosts: int, peer: int, now: int) -> float:
        """Return how much of its even share this instance can grant to a peer, rounded down to a step.

        Never what other peers may still use, nor what was spent of a budget and is locked.
        """
        demand = self.demands.get(volume)
        wanted = 0.0 if demand is None else demand.wanted_share(now, self._limits)
        spare = spare_share(wanted, self.contacts.requested_shares(volume, now), hosts, peer)
        if not spare:
            return 0.0
        granted = self._granted.total(volume, now, except_peer=peer)
        locked = 0.0 if demand is None else demand.locked_share(now, self.window_us) * hosts
        steps = int(min(spare, 1 - granted - locked) * self._limits.share_steps)
        return max(0, steps) / self._limits.share_steps

    # Using

    def usable_share(self, volume: int, now: int) -> float:
        """Return the share of the limit that this instance may use at this moment.

        It is what is left of its own even share, and what peers must have granted to it.
        """
        demand = self.demands[volume]
        granted = 1.0 if self.is_quarantined(now) else self._granted.total(volume, now)
        received = self._counted_shares(volume, demand, now)
        return (max(0.0, 1 - granted) + sum(received)) / demand.hosts

    def _counted_shares(self, volume: int, demand: Demand, now: int) -> list[float]:
        """Return the received shares that count.

        Which peers are the volume's hosts is not announced; those that have requested it are known to be. A
        peer that does not know the volume grants of its even share all the same, but it may be none of the
        hosts: for each host that is not known, the least of the other peers' shares counts.
        """
        received = self._received.shares(volume, now)
        hosts = [
            peer
            for peer, requested_at in demand.requested_by.items()
            if now - requested_at <= self._limits.demand_memory_us
        ]
        if len(hosts) >= demand.hosts:
            hosts = []  # the volume's hosts have changed: none of them is known
        shares = [received.get(peer, 0.0) for peer in hosts]
        if self._members_discovered and not self.window_us:
            return shares  # a host may be an instance that is not discovered yet; of a budget, all are hosts
        others = sorted(received.get(peer, 0.0) for peer in self.contacts.peers if peer not in hosts)
        return shares + others[: demand.hosts - 1 - len(hosts)]

    def changed_shares(self, now: int) -> dict[str, float]:
        """Return the usable shares, by name, that have changed since the last call.

        It is called in each event-loop iteration, and costs nothing while no share can have changed. A lease
        that expired while the process stood still is noticed here, before the decision module may send.
        """
        if now < self.recheck_at:
            return {}
        changed: dict[str, float] = {}
        for volume, demand in list(self.demands.items()):
            share = self.usable_share(volume, now)
            if share != self._shares.get(volume):
                self._shares[volume] = share
                changed[demand.name] = share
            if self._is_idle(demand, share, now):
                del self.demands[volume]
                self._received.forget_volume(volume)
                self._shares.pop(volume, None)
        self._drop_expired(now)
        return changed

    def _is_idle(self, demand: Demand, share: float, now: int) -> bool:
        """Return whether a demand can be forgotten.

        Requests may be queued in the decision module for long after they arrived: for that time it must learn
        what is granted to others.
        """
        unused = now - demand.rate.at > self._limits.demand_memory_us
        return unused and share == 1 / demand.hosts and not demand.in_use

    def _drop_expired(self, now: int) -> None:
        """Forget grants that have expired, and find out when the next thing does."""
        ends = self._received.drop_expired(now) + self._granted.drop_expired(now)
        if self.resumes_at is None:
            ends.append(NEVER_US)
        elif self.resumes_at > now:
            ends.append(self.resumes_at)
        self.recheck_at = min(ends, default=now + self._limits.lease_us)

    def current_shares(self) -> dict[str, float]:
        """Return the usable shares as last reported; they hold until `recheck_at` at most."""
        return {demand.name: self._shares[volume] for volume, demand in self.demands.items()}

    # Rows for operators

    def limit_rows(self, now: int) -> list[LimitRow]:
        """Return, for each limit with a demand here, this instance's share and the grants that hold."""
        return [
            LimitRow(
                demand.name,
                demand.hosts,
                round(self.usable_share(volume, now), 4),
                round(demand.wanted_share(now, self._limits), 4),
                _grant_rows(self._granted.latest(volume, now), now),
                _grant_rows(self._received.current(volume, now), now),
            )
            for volume, demand in sorted(self.demands.items(), key=lambda item: item[1].name)
        ]

    def peer_rows(self, now: int) -> list[PeerRow]:
        """Return each instance of the fleet, with the last incarnation that was heard of it."""
        return [
            self._own_row(now) if number == self.identity.number else self._peer_row(number, now)
            for number in sorted(self.contacts.peers | {self.identity.number})
        ]

    def _own_row(self, now: int) -> PeerRow:
        wanted = sum(demand.wanted_share(now, self._limits) > 0 for demand in self.demands.values())
        return PeerRow(self.identity.number, True, self.identity.incarnation, 0, wanted)

    def _peer_row(self, number: int, now: int) -> PeerRow:
        contact = self.contacts.by_peer.get(number)
        if contact is None:
            return PeerRow(number, False, None, None, 0)
        last_received_ms = (now - contact.received_at) // 1000
        incarnation = contact.last_message.incarnation
        return PeerRow(number, False, incarnation, last_received_ms, len(contact.requests))


def _grant_rows(grants: Iterable[tuple[int, Grant]], now: int) -> tuple[GrantRow, ...]:
    return tuple(GrantRow(peer, grant.share, (grant.expires_at - now) // 1000) for peer, grant in grants)


@dataclass(frozen=True, slots=True)
class SharedLeases:
    """Leases on budgets, and the number of instances that the budgets are divided among."""

    leases: Leases
    hosts: int
