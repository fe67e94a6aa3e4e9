"""The message exchange with each peer: message numbers, acknowledgements, and what peers request.

An instance numbers its messages, and each message acknowledges the last one received from its receiver. A
lease runs from the moment at which the acknowledged message was sent, so those moments are remembered for a
while. No clock and no socket; times are microseconds of this instance's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.limits import PeerLimits


class MessageId(NamedTuple):
    """Identifies a message of one instance.

    Numbers grow within an incarnation, and incarnations with each start, so identifiers are ordered by time.
    """

    incarnation: int
    number: int


NO_MESSAGE = MessageId(0, 0)  # acknowledged, on the wire too, where nothing was received from a peer


@dataclass(frozen=True, slots=True)
class InstanceIdentity:
    """Which instance of the fleet this is, and which process of that instance."""

    number: int  # 0 to `instances` - 1
    instances: int  # the size of the fleet
    incarnation: int  # greater after each start


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """The quota of a limit that a peer requested last."""

    quota: float
    hosts: int
    received_at: int


@dataclass(slots=True)
class PeerContact:
    """The last message received from a peer, and its requests by the tag of their volume."""

    last_message: MessageId
    received_at: int
    requests: dict[int, ReceivedRequest] = field(default_factory=dict)


class MessageNumbering(Protocol):
    """Numbers the messages of one round."""

    def number_at(self, index: int) -> int:
        """Return the number of the message at an index, from 0, of the sequence to each receiver."""
        ...


class PeerContacts:
    """The message exchange of one instance with all of its peers."""

    def __init__(self, limits: PeerLimits, identity: InstanceIdentity, last_number: int = 0) -> None:
        """Start without any contact. `last_number` is that of the last message sent by this incarnation."""
        self._limits = limits
        self._incarnation = identity.incarnation
        self.peers = frozenset(range(identity.instances)) - {identity.number}
        self.by_peer: dict[int, PeerContact] = {}
        self.sent: dict[int, int] = {}  # by number, when this instance sent each of its latest messages
        self.last_number = last_number

    def copy(self) -> PeerContacts:
        """Return a copy that changes independently of the original."""
        new = object.__new__(type(self))
        new.__dict__.update(self.__dict__)
        new.sent = dict(self.sent)
        new.by_peer = {
            peer: PeerContact(contact.last_message, contact.received_at, dict(contact.requests))
            for peer, contact in self.by_peer.items()
        }
        return new

    def accept(self, sender: int, incarnation: int, number: int, now: int) -> DropReason | None:
        """Register a message of a peer; return why it must be dropped, or None where it is the newest one.

        After `peer_timeout_us` without a message any one is accepted: the peer may have restarted with its
        wall clock set back, and then its incarnation is smaller than before.
        """
        if sender not in self.peers:
            return DropReason.UNKNOWN_PEER
        message = MessageId(incarnation, number)
        contact = self.by_peer.get(sender)
        if contact is not None and now - contact.received_at > self._limits.peer_timeout_us:
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

        None: too long ago to be remembered, or another incarnation sent it.
        """
        if incarnation != self._incarnation:
            return None
        return self.sent.get(number)

    def last_received(self, peer: int) -> MessageId:
        """Return the last message received from a peer, `NO_MESSAGE` if there is none: it is acknowledged."""
        contact = self.by_peer.get(peer)
        return NO_MESSAGE if contact is None else contact.last_message

    def next_number(self, now: int) -> int:
        """Allocate the number of a message that is sent now, and remember that time."""
        self.last_number += 1
        self.sent[self.last_number] = now
        while len(self.sent) > self._limits.remembered_messages:
            del self.sent[next(iter(self.sent))]
        return self.last_number

    def requesters(self, now: int) -> set[int]:
        """Return the peers that requested a quota of anything within `peer_timeout_us`."""
        return {
            peer
            for peer, contact in self.by_peer.items()
            if contact.requests and now - contact.received_at <= self._limits.peer_timeout_us
        }

    def requested_quotas(self, volume: int, now: int) -> dict[int, float]:
        """Return what quota each peer requested of a volume within `peer_timeout_us`, ordered by peer."""
        quotas: dict[int, float] = {}
        for peer, contact in sorted(self.by_peer.items(), key=lambda item: item[0]):
            request = contact.requests.get(volume)
            if request is not None and now - request.received_at <= self._limits.peer_timeout_us:
                quotas[peer] = request.quota
        return quotas


class RoundNumbering:
    """Numbers the messages that one round sends to several receivers.

    Messages at the same index of their sequences have the same number, so that a round to any number of
    receivers uses no more numbers than its longest sequence has messages.
    """

    def __init__(self, contacts: PeerContacts, now: int) -> None:
        """`now` is when the round is sent."""
        self._contacts = contacts
        self._now = now
        self._numbers: list[int] = []

    def number_at(self, index: int) -> int:
        """Return the number of the message at an index, from 0; indexes are first asked for in order."""
        if index == len(self._numbers):
            self._numbers.append(self._contacts.next_number(self._now))
        return self._numbers[index]
