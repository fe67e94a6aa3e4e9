"""Message numbers, acknowledgements, and the acceptance of messages from a peer."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.peer_contacts import (
    NO_MESSAGE,
    InstanceIdentity,
    MessageId,
    PeerContacts,
    RoundNumbering,
)
from tests.support.clock import T0
from tests.support.membership import LIMITS

IDENTITY = InstanceIdentity(number=0, instances=3, incarnation=7)


def test_messages_at_one_index_of_a_round_have_one_number() -> None:
    contacts = PeerContacts(LIMITS, IDENTITY, last_number=4)
    numbering = RoundNumbering(contacts, T0)
    numbers = [numbering.number_at(index) for index in (0, 1, 0, 0, 1, 2)]
    assert numbers == [5, 6, 5, 5, 6, 7]
    assert contacts.last_number == 7
    assert RoundNumbering(contacts, T0).number_at(0) == 8


def test_sending_time_is_remembered_for_the_latest_messages_of_this_incarnation() -> None:
    contacts = PeerContacts(replace(LIMITS, remembered_messages=2), IDENTITY)
    for delay in range(3):
        contacts.next_number(T0 + delay)
    assert [contacts.sent_at(7, number) for number in (1, 2, 3, 4)] == [None, T0 + 1, T0 + 2, None]
    assert contacts.sent_at(6, 3) is None, "another incarnation sent it"


def test_only_later_messages_are_accepted_until_a_peer_is_stale() -> None:
    contacts = PeerContacts(LIMITS, IDENTITY)
    assert contacts.last_received(1) == NO_MESSAGE
    assert contacts.accept(3, 1, 1, T0) is DropReason.UNKNOWN_PEER
    assert contacts.accept(1, 5, 2, T0) is None
    assert contacts.accept(1, 5, 2, T0) is DropReason.OUTDATED
    assert contacts.accept(1, 4, 9, T0) is DropReason.OUTDATED, "of an earlier incarnation"
    assert contacts.accept(1, 4, 9, T0 + LIMITS.peer_timeout_us) is DropReason.OUTDATED
    assert (
        contacts.accept(1, 4, 9, T0 + LIMITS.peer_timeout_us + 1) is None
    ), "its clock may have been set back"
    assert contacts.last_received(1) == MessageId(4, 9)
