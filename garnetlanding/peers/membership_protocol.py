"""Exchanges membership records with peers: composes outgoing messages and merges received ones.

Sans-IO: no clock and no sockets. `PeerCoordinator` sends and receives the messages.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping

from garnetlanding.peers import membership_message
from garnetlanding.peers.envelope import Envelope, decode_envelope
from garnetlanding.peers.errors import MessageError
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership import FenceReason, Membership
from garnetlanding.peers.membership_message import MembershipMessage
from garnetlanding.peers.peer_contacts import MessageId, MessageNumbering
from garnetlanding.peers.record_dissemination import RecordDissemination

log = logging.getLogger(__name__)


class MembershipProtocol:
    """The membership protocol as run by one instance."""

    def __init__(self, limits: PeerLimits, members: Membership, history: PeerHistory | None = None) -> None:
        self.limits = limits
        self.members = members
        self._history = history
        self._dissemination = RecordDissemination(limits, members.table, members.own_instance)
        self._digests: dict[int, bytes] = {}  # by peer: the last digest received of its table

    # Receiving

    def identify_sender(self, address: str, data: bytes) -> int | None:
        """Return the instance that sent a datagram from an unknown address, or None if it is not identified.

        The first record of the message, the sender's own, must contain that address and not be terminated.
        """
        try:
            envelope = decode_envelope(data, self.limits.datagram_bytes)
            own = membership_message.from_envelope(envelope).records[0]
        except MessageError:
            return None
        return own.instance if own.address == address and not own.terminated else None

    def merge(self, envelope: Envelope) -> MembershipMessage:
        """Decode a message and merge its records. Raises MessageError."""
        message = membership_message.from_envelope(envelope)
        digest_before = self.members.table.digest
        self.members.merge(message.records)
        if self.members.table.digest != digest_before:
            self._write_history()
        return message

    def record_contact(self, sender: int, message: MembershipMessage, now: int) -> None:
        """Record a message from a peer, after its records were merged."""
        was_member = self.members.joined
        self._digests[sender] = message.digest
        self.members.record_contact(sender, message.digest, now, sender_joined=message.joined)
        self._report_joined(was_member=was_member)

    # State changes of this instance

    def update_joined(self, now: int) -> None:
        """Join the group if possible.

        Called in each round, not only on messages: none arrives when the bootstrap timeout ends.
        """
        was_member = self.members.joined
        self.members.update_joined(now)
        self._report_joined(was_member=was_member)

    def leave(self) -> None:
        """Mark this instance as terminated, in its table and in all later messages."""
        self.members.leave()
        self._write_history()

    def report_fenced(self, reason: FenceReason) -> None:
        """Log that this instance has been fenced, and record it in the history."""
        log.warning("instance fenced", extra={"kv": {"reason": reason.value}})
        self._write_history()

    def _report_joined(self, *, was_member: bool) -> None:
        if self.members.joined and not was_member:
            log.info(
                "instance joined the group", extra={"kv": {"instances": len(self.members.quota_holders)}}
            )
            self._write_history()

    def _write_history(self) -> None:
        if self._history:
            self._history.members_changed(self.members.quota_holders, self.members.even_quota)

    # Sending

    def compose(
        self, last_received: Mapping[int, MessageId], incarnation: int, numbering: MessageNumbering
    ) -> list[tuple[int, Envelope]]:
        """Return the messages of one round, each with its receiver.

        `last_received` maps each receiver to the last message received from it, which is acknowledged.
        """
        composed: list[tuple[int, Envelope]] = []
        for receiver, acknowledged in last_received.items():
            for index, message in enumerate(self._pages_for(receiver)):
                number = numbering.number_at(index)
                envelope = membership_message.to_envelope(message, incarnation, number, *acknowledged)
                composed.append((receiver, envelope))
        return composed

    def _pages_for(self, receiver: int) -> list[MembershipMessage]:
        """Return the messages of one round for a receiver."""
        members = self.members
        records = self._dissemination.records_for(receiver, self._digests.get(receiver))
        pages = membership_message.paginate(records, self.limits.datagram_bytes, self.limits.membership_pages)
        return [MembershipMessage(members.table.digest, tuple(page), members.joined) for page in pages]
