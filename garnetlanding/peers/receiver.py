"""Decodes datagrams from peers and dispatches each to its protocol. Sans-IO: no clock and no sockets."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from garnetlanding.peers import lease_message
from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.envelope import Envelope, MessageKind, decode_envelope
from garnetlanding.peers.errors import MessageError
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.quota_manager import QuotaManager

if TYPE_CHECKING:  # disabled subsystems are not imported at run time
    from garnetlanding.peers.failure_detector import FailureDetector
    from garnetlanding.peers.membership_protocol import MembershipProtocol


class ReceivedMessage(NamedTuple):
    """Identifies a received message."""

    sender: int
    incarnation: int
    number: int


class MessageReceiver:
    """Processes messages from peers, and counts the dropped ones by cause."""

    def __init__(
        self,
        limits: PeerLimits,
        quota_manager: QuotaManager,
        detector: FailureDetector | None,
        membership: MembershipProtocol | None,
        dropped: Counter[str],
    ) -> None:
        """Dispatch to these protocols; `detector` and `membership` are None if disabled."""
        self._limits = limits
        self._quota_manager = quota_manager
        self._detector = detector
        self._membership = membership
        self.dropped = dropped
        self.last_received: ReceivedMessage | None = None  # the last message that was not dropped

    def receive(self, sender: int, payload: bytes, now: int) -> None:
        """Process one datagram, or count it as dropped, by cause.

        A dropped datagram changes no state, except that the records of a membership message are merged: they
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
        """Process a message by its kind; return why it was dropped, or None. Raises MessageError."""
        if envelope.kind == MessageKind.MEMBERSHIP and self._membership:
            return self._receive_membership(self._membership, sender, envelope, now)
        if envelope.kind == MessageKind.GOSSIP and self._detector:
            return self._receive_gossip(self._detector, sender, envelope, now)
        if envelope.kind == MessageKind.BUDGETS:
            if self._quota_manager.budgets is None:
                return DropReason.OTHER_KIND
            return self._quota_manager.budgets.receive(sender, lease_message.from_envelope(envelope), now)
        return self._quota_manager.leases.receive(sender, lease_message.from_envelope(envelope), now)

    def _receive_membership(
        self, membership: MembershipProtocol, sender: int, envelope: Envelope, now: int
    ) -> DropReason | None:
        # The records are merged first: the sender may be unknown before its own record is merged.
        message = membership.merge(envelope)
        self._quota_manager.apply_membership(membership, now)
        reason = self._quota_manager.leases.contacts.accept(
            sender, envelope.incarnation, envelope.number, now
        )
        if reason is None:
            membership.record_contact(sender, message, now)
        return reason

    def _receive_gossip(
        self, detector: FailureDetector, sender: int, envelope: Envelope, now: int
    ) -> DropReason | None:
        leases = self._quota_manager.leases
        reason = leases.contacts.accept(sender, envelope.incarnation, envelope.number, now)
        if reason is not None:
            return reason
        sent_at = leases.contacts.sent_at(envelope.acked_incarnation, envelope.acked_number)
        for entry_reason, count in detector.receive(sender, envelope, sent_at, now).items():
            self.dropped[entry_reason.value] += count
        return None
