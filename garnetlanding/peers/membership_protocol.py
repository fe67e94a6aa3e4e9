"""The messages about the instances of a group: what one instance sends, and what follows from those received.

No clock, no socket; `PeerCoordinator` carries the messages.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from garnetlanding.peers import codec, membership_message
from garnetlanding.peers.codec import Envelope, MessageError
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership import Membership
from garnetlanding.peers.membership_message import MembershipMessage

log = logging.getLogger(__name__)


class MembershipProtocol:
    """One instance's side of the exchange of membership records."""

    def __init__(self, limits: PeerLimits, members: Membership, history: PeerHistory | None = None) -> None:
        self.limits = limits
        self.members = members
        self._history = history
        self._digests: dict[int, bytes] = {}  # of each instance's table, as last received from it

    def introduce(self, address: str, data: bytes) -> int | None:
        """Return who sends from an address of no known instance: its own record must name that address."""
        try:
            envelope = codec.decode_envelope(data, self.limits.datagram_bytes)
            own = membership_message.read(envelope).records[0]
        except MessageError:
            return None
        return own.instance if own.address == address and not own.terminated else None

    def merge(self, envelope: Envelope) -> MembershipMessage:
        """Decode a message and merge its records. Raises MessageError."""
        message = membership_message.read(envelope)
        before = self.members.digest
        self.members.merge(message.records)
        if self.members.digest != before:
            self._write_history()
        return message

    def leave(self) -> None:
        """Mark this instance as terminated; the next messages say so."""
        self.members.leave()
        self._write_history()

    def record_contact(self, sender: int, message: MembershipMessage, now: int) -> None:
        """Take note of a new message of an instance, after its records were merged."""
        had_joined = self.members.joined
        self._digests[sender] = message.digest
        self.members.record_contact(sender, message.digest, message.joined, now)
        self._report_joined(had_joined)

    def update_joined(self, now: int) -> None:
        """Look, once a round, whether the group may begin: that needs no message of anybody."""
        had_joined = self.members.joined
        self.members.update_joined(now)
        self._report_joined(had_joined)

    def _report_joined(self, had_joined: bool) -> None:
        if self.members.joined and not had_joined:
            log.info(
                "instance joined the group", extra={"kv": {"instances": len(self.members.quota_holders)}}
            )
            self._write_history()

    def compose(
        self, acknowledged: Mapping[int, tuple[int, int]], incarnation: int, next_number: Callable[[], int]
    ) -> list[tuple[int, Envelope]]:
        """Return one message or a few to each receiver.

        `acknowledged` has the receivers, with incarnation and number of the last message received from each.
        `next_number` gives the number of another message; messages at the same place in the sequences to
        several receivers have the same one.
        """
        members = self.members
        composed: list[tuple[int, Envelope]] = []
        numbers: list[int] = []  # of the first message to each receiver, of the second, and so on
        for receiver, last_received in acknowledged.items():
            records = members.records_for(receiver, self._digests.get(receiver))
            pages = membership_message.paginate(
                records, self.limits.datagram_bytes, self.limits.membership_pages
            )
            for place, page in enumerate(pages):
                if place == len(numbers):
                    numbers.append(next_number())
                message = MembershipMessage(members.digest, tuple(page), members.joined)
                envelope = membership_message.to_envelope(
                    message, incarnation, numbers[place], *last_received
                )
                composed.append((receiver, envelope))
        return composed

    def report_fenced(self, reason: str) -> None:
        """Log that this instance has been fenced, and write its history."""
        log.warning("instance fenced", extra={"kv": {"reason": reason}})
        self._write_history()

    def _write_history(self) -> None:
        if self._history:
            self._history.members_changed(self.members.quota_holders, self.members.even_share)
