"""Composes the messages that an instance sends to its peers in one round. Sans-IO: no clock, no sockets."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from garnetlanding.decision import interface as api
from garnetlanding.peers import lease_message
from garnetlanding.peers.envelope import Envelope, MessageKind, encode_envelope
from garnetlanding.peers.gossip_schedule import GossipSchedule
from garnetlanding.peers.lease_message import LeaseMessage
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.peer_contacts import MessageId, RoundNumbering
from garnetlanding.peers.quota_manager import QuotaManager

if TYPE_CHECKING:  # disabled subsystems are not imported at run time
    from garnetlanding.peers.failure_detector import FailureDetector
    from garnetlanding.peers.membership_protocol import MembershipProtocol


class RoundComposer:
    """Composes the messages of a round: leases on volume limits and budgets, then gossip, then membership."""

    def __init__(
        self,
        limits: PeerLimits,
        incarnation: int,
        schedule: GossipSchedule,
        detector: FailureDetector | None,
        membership: MembershipProtocol | None,
    ) -> None:
        """Compose messages of these protocols; `detector` and `membership` are None if disabled."""
        self._limits = limits
        self._incarnation = incarnation
        self._schedule = schedule
        self._detector = detector
        self._membership = membership

    def compose(
        self, quota_manager: QuotaManager, now: int, tightest_objective_us: int
    ) -> list[api.SendPeerMessage]:
        """Return the messages of a round at `now`, in sending order.

        Quotas granted in these messages belong to the receivers from now on, even if the messages are lost.
        `tightest_objective_us` is the tightest latency objective of all request classes.
        """
        leases = quota_manager.leases
        leases_by_kind = {MessageKind.LEASES: leases}
        if quota_manager.budgets:
            leases_by_kind[MessageKind.BUDGETS] = quota_manager.budgets.leases
        receivers = self._receivers(leases_by_kind.values(), leases, now)
        messages: list[api.SendPeerMessage] = []
        for kind, leases_of_kind in leases_by_kind.items():
            messages += self._lease_messages(leases_of_kind, kind, receivers, now)
        if self._detector:
            messages += self._gossip(self._detector, leases, receivers, now, tightest_objective_us)
        if self._membership:
            self._membership.update_joined(now)
            extra_receivers = self._membership.members.extra_receivers(now)
            messages += self.membership_messages(leases, [*receivers, *extra_receivers], now)
        return messages

    def _receivers(self, all_leases: Iterable[Leases], volume_leases: Leases, now: int) -> list[int]:
        """Return the receivers of this round: the next peers in rotation, and those that share a limit."""
        partners = dict.fromkeys(peer for leases in all_leases for peer in leases.active_peers(now))
        return self._schedule.next_receivers(volume_leases.contacts.peers, partners)

    def _lease_messages(
        self, leases: Leases, kind: MessageKind, receivers: list[int], now: int
    ) -> list[api.SendPeerMessage]:
        messages: list[api.SendPeerMessage] = []
        numbering = RoundNumbering(leases.contacts, now)
        for receiver, (requests, grants) in leases.compose(now, receivers).items():
            acknowledged = leases.contacts.last_received(receiver)
            pages = lease_message.paginate(requests, grants, self._limits.datagram_bytes)
            for index, page in enumerate(pages):
                number = numbering.number_at(index)
                message = LeaseMessage(self._incarnation, number, *acknowledged, *page)
                messages.append(api.SendPeerMessage(lease_message.encode(message, kind), receiver))
        return messages

    def _gossip(
        self,
        detector: FailureDetector,
        leases: Leases,
        receivers: list[int],
        now: int,
        tightest_objective_us: int,
    ) -> list[api.SendPeerMessage]:
        last_received = _last_received(leases, receivers)
        message_id = MessageId(self._incarnation, leases.contacts.next_number(now))
        envelopes = detector.compose(last_received, message_id, now, tightest_objective_us)
        return _encode(envelopes.items())

    def membership_messages(
        self, leases: Leases, receivers: list[int], now: int
    ) -> list[api.SendPeerMessage]:
        """Return the membership messages to these receivers; none if membership is not discovered."""
        if self._membership is None:
            return []
        last_received = _last_received(leases, receivers)
        numbering = RoundNumbering(leases.contacts, now)
        return _encode(self._membership.compose(last_received, self._incarnation, numbering))


def _last_received(leases: Leases, receivers: Iterable[int]) -> dict[int, MessageId]:
    return {receiver: leases.contacts.last_received(receiver) for receiver in receivers}


def _encode(envelopes: Iterable[tuple[int, Envelope]]) -> list[api.SendPeerMessage]:
    return [api.SendPeerMessage(encode_envelope(envelope), receiver) for receiver, envelope in envelopes]
