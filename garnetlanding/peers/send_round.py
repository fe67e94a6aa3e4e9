"""Composes the messages that an instance sends to its peers in one round. No clock, no socket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from garnetlanding.decision import interface as api
from garnetlanding.peers import codec
from garnetlanding.peers.codec import LeaseMessage, MessageKind
from garnetlanding.peers.gossip_schedule import GossipSchedule
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.peer_contacts import MessageId
from garnetlanding.peers.quota_use import QuotaUse

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.peers.failure_detector import FailureDetector
    from garnetlanding.peers.membership_protocol import MembershipProtocol


class SendRound:
    """What this instance sends: leases and budgets, then gossip about backends, then membership."""

    def __init__(
        self,
        limits: PeerLimits,
        incarnation: int,
        schedule: GossipSchedule,
        detector: FailureDetector | None,
        membership: MembershipProtocol | None,
    ) -> None:
        """`detector` and `membership`: None where messages of that kind are switched off."""
        self._limits = limits
        self._incarnation = incarnation
        self._schedule = schedule
        self._detector = detector
        self._membership = membership

    def compose(self, quota: QuotaUse, now: int, objective_us: int) -> list[api.SendPeerMessage]:
        """Return the messages of a round at `now`, in the order in which they are sent.

        `objective_us` is the tightest latency objective: backends are judged by it. What is granted in these
        messages counts as given away from now on.
        """
        leases = quota.leases
        divided = [(leases, MessageKind.LEASES)]
        if quota.budgets:
            divided.append((quota.budgets.leases, MessageKind.BUDGETS))
        partners = dict.fromkeys(peer for some, _ in divided for peer in some.active_peers(now))
        receivers = self._schedule.round(leases.contacts.peers, partners)
        messages: list[api.SendPeerMessage] = []
        for some, kind in divided:
            messages += self._lease_messages(some, kind, receivers, now)
        if self._detector:
            messages += self._gossip(self._detector, leases, receivers, now, objective_us)
        if self._membership:
            self._membership.update_joined(now)
            extra = self._membership.members.extra_receivers(now)
            messages += self.membership_messages(leases, [*receivers, *extra], now)
        return messages

    def _lease_messages(
        self, leases: Leases, kind: MessageKind, receivers: list[int], now: int
    ) -> list[api.SendPeerMessage]:
        messages: list[api.SendPeerMessage] = []
        numbers: list[int] = []  # of the first message to each receiver, of the second, and so on
        for receiver, (asks, grants) in leases.compose(now, receivers).items():
            pages = codec.paginate(asks, grants, self._limits.datagram_bytes)
            for place, page in enumerate(pages):
                if place == len(numbers):
                    numbers.append(leases.contacts.next_number(now))
                last_received = leases.contacts.last_received(receiver)
                message = LeaseMessage(self._incarnation, numbers[place], *last_received, *page)
                messages.append(api.SendPeerMessage(codec.encode_leases(message, kind), receiver))
        return messages

    def _gossip(
        self, detector: FailureDetector, leases: Leases, receivers: list[int], now: int, objective_us: int
    ) -> list[api.SendPeerMessage]:
        last_received = {receiver: leases.contacts.last_received(receiver) for receiver in receivers}
        message_id = MessageId(self._incarnation, leases.contacts.next_number(now))
        envelopes = detector.compose(last_received, message_id, now, objective_us)
        return [
            api.SendPeerMessage(codec.encode_envelope(envelope), receiver)
            for receiver, envelope in envelopes.items()
        ]

    def membership_messages(
        self, leases: Leases, receivers: list[int], now: int
    ) -> list[api.SendPeerMessage]:
        """Return the messages about membership alone, to these receivers."""
        if self._membership is None:
            return []
        last_received = {receiver: leases.contacts.last_received(receiver) for receiver in receivers}
        envelopes = self._membership.compose(
            last_received, self._incarnation, lambda: leases.contacts.next_number(now)
        )
        return [
            api.SendPeerMessage(codec.encode_envelope(envelope), receiver) for receiver, envelope in envelopes
        ]
