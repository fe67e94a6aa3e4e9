"""Decodes the datagrams of peers and dispatches each to the protocol of its kind. No clock, no socket."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from garnetlanding.peers import lease_message
from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.envelope import Envelope, MessageKind, decode_envelope
from garnetlanding.peers.errors import MessageError
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.quota_manager import QuotaManager

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.peers.failure_detector import FailureDetector
    from garnetlanding.peers.membership_protocol import MembershipProtocol


class ReceivedMessage(NamedTuple):
    """Identifies a message that was received."""

    sender: int
    incarnation: int
    number: int


class MessageReceiver:
    """Processes the messages of peers, and counts those that are dropped by cause."""

    def __init__(
        self,
        limits: PeerLimits,
        quota: QuotaManager,
        detector: FailureDetector | None,
        membership: MembershipProtocol | None,
        dropped: Counter[str],
    ) -> None:
        """Dispatch to these protocols; `detector` and `membership` are None where they are switched off."""
        self._limits = limits
        self._quota = quota
        self._detector = detector
        self._membership = membership
        self.dropped = dropped
        self.last_received: ReceivedMessage | None = None  # the last message that was not dropped

    def receive(self, sender: int, payload: bytes, now: int) -> None:
        """Process one datagram, or count why it is dropped.

        A dropped datagram changes nothing, except that the records of a membership message are merged: they
        are valid whoever sent them, and in any order.
        """
        try:
            envelope = decode_envelope(payload, self._limits.datagram_bytes)
            reason = self._dispatch(sender, envelope, now)
        except MessageError as error:
            self.dropped[error.fault.value] += 1
            return
        if reason is not None:
            self.dropped[reason.value] += 1
            return
        self.last_received = ReceivedMessage(sender, envelope.incarnation, envelope.number)

    def _dispatch(self, sender: int, envelope: Envelope, now: int) -> DropReason | None:
        """Process a message by its kind; return why it is dropped, if it is. Raises MessageError."""
        if envelope.kind == MessageKind.MEMBERSHIP and self._membership:
            return self._receive_membership(self._membership, sender, envelope, now)
        if envelope.kind == MessageKind.GOSSIP and self._detector:
            return self._receive_gossip(self._detector, sender, envelope, now)
        if envelope.kind == MessageKind.BUDGETS:
            if self._quota.budgets is None:
                return DropReason.OTHER_KIND
            return self._quota.budgets.receive(sender, lease_message.read(envelope), now)
        return self._quota.leases.receive(sender, lease_message.read(envelope), now)

    def _receive_membership(
        self, membership: MembershipProtocol, sender: int, envelope: Envelope, now: int
    ) -> DropReason | None:
        # The records are merged first: the sender may be known by its own record alone.
        message = membership.merge(envelope)
        self._quota.apply_membership(membership, now)
        reason = self._quota.leases.contacts.accept(sender, envelope.incarnation, envelope.number, now)
        if reason is None:
            membership.record_contact(sender, message, now)
        return reason

    def _receive_gossip(
        self, detector: FailureDetector, sender: int, envelope: Envelope, now: int
    ) -> DropReason | None:
        leases = self._quota.leases
        reason = leases.contacts.accept(sender, envelope.incarnation, envelope.number, now)
        if reason is not None:
            return reason
        sent_at = leases.contacts.sent_at(envelope.acked_incarnation, envelope.acked_number)
        for entry_reason, count in detector.receive(sender, envelope, sent_at, now).items():
            self.dropped[entry_reason.value] += count
        return None
