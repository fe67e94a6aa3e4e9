"""The message exchange with each peer: message numbers, acknowledgements, and requests of quota.

An instance numbers its messages, and each message acknowledges the last one received from its receiver. A
lease runs from the time at which the acknowledged message was sent, so the latest sending times are kept.
Sans-IO: no clock and no sockets. Times are in microseconds of this instance's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.limits import PeerLimits


class MessageId(NamedTuple):
    """Identifies a message of one instance.

    Numbers increase within an incarnation, and incarnations with each start: identifiers are in time order.
    """

    incarnation: int
    number: int


NO_MESSAGE = MessageId(0, 0)  # acknowledged on the wire if nothing was received from the peer


@dataclass(frozen=True, slots=True)
class InstanceIdentity:
    """Identifies this instance within the fleet, and its current process."""

    number: int  # from 0 to `instances` - 1
    instances: int  # the size of the fleet
    incarnation: int  # increases with each start


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """The quota of a limit that a peer last requested."""

    quota: float
    hosts: int
    received_at: int


@dataclass(slots=True)
class PeerContact:
    """The last message received from a peer, and its requests by volume tag."""

    last_message: MessageId
    received_at: int
    requests: dict[int, ReceivedRequest] = field(default_factory=dict)


class MessageNumbering(Protocol):
    """Numbers the messages of one round."""

    def number_at(self, index: int) -> int:
        """Return the number of the message at an index, from 0, in the sequence to each receiver."""
        ...


class PeerContacts:
    """The message exchange of one instance with all its peers."""

    def __init__(self, limits: PeerLimits, identity: InstanceIdentity, last_number: int = 0) -> None:
        """Start without contacts. `last_number` is the number of the last message this incarnation sent."""
        self._limits = limits
        self._incarnation = identity.incarnation
        self.peers = frozenset(range(identity.instances)) - {identity.number}
        self.by_peer: dict[int, PeerContact] = {}
        self.sent_times: dict[int, int] = {}  # by message number, for the latest own messages
        self.last_number = last_number

    def copy(self) -> PeerContacts:
        """Return a copy that changes independently of the original."""
        new = object.__new__(type(self))
        new.__dict__.update(self.__dict__)
        new.sent_times = dict(self.sent_times)
        new.by_peer = {
            peer: PeerContact(contact.last_message, contact.received_at, dict(contact.requests))
            for peer, contact in self.by_peer.items()
        }
        return new

    def accept(self, sender: int, incarnation: int, number: int, now: int) -> DropReason | None:
        """Record a message from a peer; return why it must be dropped, or None if it is the newest one.

        After `peer_timeout_us` without a message any message is accepted: the peer may have restarted with
        its wall clock set back, and then its incarnation is smaller than before.
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

        Returns None if the message is too old to be remembered or was sent by another incarnation.
        """
        if incarnation != self._incarnation:
            return None
        return self.sent_times.get(number)

    def last_received(self, peer: int) -> MessageId:
        """Return the last message received from a peer, to be acknowledged, or `NO_MESSAGE`."""
        contact = self.by_peer.get(peer)
        return NO_MESSAGE if contact is None else contact.last_message

    def next_number(self, now: int) -> int:
        """Allocate the number of a message that is sent now, and remember its sending time."""
        self.last_number += 1
        self.sent_times[self.last_number] = now
        while len(self.sent_times) > self._limits.remembered_messages:
            del self.sent_times[next(iter(self.sent_times))]
        return self.last_number

    def requesters(self, now: int) -> set[int]:
        """Return the peers that requested any quota within `peer_timeout_us`."""
        return {
            peer
            for peer, contact in self.by_peer.items()
            if contact.requests and now - contact.received_at <= self._limits.peer_timeout_us
        }

    def requested_quotas(self, volume: int, now: int) -> dict[int, float]:
        """Return the quota of a volume that each peer requested within `peer_timeout_us`, ordered by peer."""
        quotas: dict[int, float] = {}
        for peer, contact in sorted(self.by_peer.items(), key=lambda item: item[0]):
            request = contact.requests.get(volume)
            if request is not None and now - request.received_at <= self._limits.peer_timeout_us:
                quotas[peer] = request.quota
        return quotas


class RoundNumbering:
    """Numbers the messages of one round to several receivers.

    Messages at the same index of their sequences share a number, so a round uses only as many numbers as its
    longest sequence has messages, however many receivers it has.
    """

    def __init__(self, contacts: PeerContacts, now: int) -> None:
        """Start a round that is sent at `now`."""
        self._contacts = contacts
        self._now = now
        self._numbers: list[int] = []

    def number_at(self, index: int) -> int:
        """Return the number of the message at an index, from 0. New indexes must be used in order."""
        if index == len(self._numbers):
            self._numbers.append(self._contacts.next_number(self._now))
        return self._numbers[index]
