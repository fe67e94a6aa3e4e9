"""Which messages were exchanged with each peer: numbers, acknowledgements, and what peers request.

An instance numbers its messages; each message acknowledges the last one of the receiver. A grant runs from
the moment at which the acknowledged message was sent, so those moments are remembered here for a while. No
clock and no socket; times are microseconds of this instance's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.limits import PeerLimits


class MessageId(NamedTuple):
    """Which message of an instance: numbers grow within an incarnation, incarnations with each start."""

    incarnation: int
    number: int


NO_MESSAGE = MessageId(0, 0)  # in place of the last message of a peer that has sent none


@dataclass(frozen=True, slots=True)
class InstanceIdentity:
    """Which instance this is. `instances` is the size of the fleet; it numbers its members from 0."""

    number: int
    instances: int
    incarnation: int  # greater after each start


@dataclass(frozen=True, slots=True)
class ShareRequest:
    """What a peer wants of a limit, as last received."""

    share: float
    hosts: int
    received_at: int


@dataclass(slots=True)
class PeerContact:
    """The last message of a peer, and what it requests by volume."""

    last_message: MessageId
    received_at: int
    requests: dict[int, ShareRequest] = field(default_factory=dict)


class PeerContacts:
    """The exchange with all peers of one instance."""

    def __init__(self, limits: PeerLimits, identity: InstanceIdentity, last_number: int = 0) -> None:
        """`last_number` is that of the last message that this incarnation has sent."""
        self._limits = limits
        self._incarnation = identity.incarnation
        self.peers = frozenset(range(identity.instances)) - {identity.number}
        self.by_peer: dict[int, PeerContact] = {}
        self.sent: dict[int, int] = {}  # when this instance sent its last messages, by their numbers
        self.last_number = last_number

    def copy(self) -> PeerContacts:
        """Return contacts that change by themselves."""
        new = object.__new__(type(self))
        new.__dict__.update(self.__dict__)
        new.sent = dict(self.sent)
        new.by_peer = {
            peer: PeerContact(contact.last_message, contact.received_at, dict(contact.requests))
            for peer, contact in self.by_peer.items()
        }
        return new

    def accept(self, sender: int, incarnation: int, number: int, now: int) -> DropReason | None:
        """Register any message of a peer; return why it is dropped, if it is.

        A peer that was not heard for `stale_us` is taken at its word again: its clock may have been set back,
        so that its new incarnation is smaller.
        """
        if sender not in self.peers:
            return DropReason.UNKNOWN_PEER
        message = MessageId(incarnation, number)
        contact = self.by_peer.get(sender)
        if contact is not None and now - contact.received_at > self._limits.stale_us:
            contact = None
        if contact is not None and message <= contact.last_message:
            return DropReason.OUTDATED
        if contact is None or incarnation != contact.last_message.incarnation:
            self.by_peer[sender] = PeerContact(message, now)
        else:
            contact.last_message = message
            contact.received_at = now
        return None

    def sent_at(self, incarnation: int, number: int) -> int | None:
        """Return when this instance sent the message that a peer acknowledges.

        None: not lately, or by another incarnation.
        """
        if incarnation != self._incarnation:
            return None
        return self.sent.get(number)

    def last_received(self, peer: int) -> MessageId:
        """Return which message was the last of a peer; `NO_MESSAGE` where it has sent none."""
        contact = self.by_peer.get(peer)
        return NO_MESSAGE if contact is None else contact.last_message

    def next_number(self, now: int) -> int:
        """Return the number of a message that is sent now, and remember when it was sent."""
        self.last_number += 1
        self.sent[self.last_number] = now
        while len(self.sent) > self._limits.remembered_messages:
            del self.sent[next(iter(self.sent))]
        return self.last_number

    def requesters(self, now: int) -> set[int]:
        """Return the peers that lately requested a share of anything."""
        return {
            peer
            for peer, contact in self.by_peer.items()
            if contact.requests and now - contact.received_at <= self._limits.stale_us
        }

    def requested_shares(self, volume: int, now: int) -> dict[int, float]:
        """Return the share that each peer requests of a volume, in the order of their numbers."""
        shares: dict[int, float] = {}
        for peer, contact in sorted(self.by_peer.items(), key=lambda item: item[0]):
            request = contact.requests.get(volume)
            if request is not None and now - request.received_at <= self._limits.stale_us:
                shares[peer] = request.share
        return shares
