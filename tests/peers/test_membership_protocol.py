"""The exchange of membership records: unknown senders and the messages of one round."""

from __future__ import annotations

from garnetlanding.peers import membership_message
from garnetlanding.peers.envelope import decode_envelope, encode_envelope
from garnetlanding.peers.membership_message import MembershipMessage
from garnetlanding.peers.membership_protocol import MembershipProtocol
from garnetlanding.peers.membership_table import InstanceRecord
from garnetlanding.peers.peer_contacts import InstanceIdentity, MessageId, PeerContacts, RoundNumbering
from tests.support.clock import T0
from tests.support.membership import LIMITS, address_of, started_instance


def datagram(*records: InstanceRecord) -> bytes:
    message = MembershipMessage(bytes(8), records, joined=False)
    return encode_envelope(membership_message.to_envelope(message, 1, 1, 0, 0))


def test_unknown_sender_is_identified_by_its_own_running_record_at_its_address() -> None:
    protocol = MembershipProtocol(LIMITS, started_instance(0))
    own = InstanceRecord(4, 1, False, address_of(4))
    other = InstanceRecord(5, 1, False, address_of(5))
    assert protocol.identify_sender(address_of(4), datagram(own, other)) == 4
    assert (
        protocol.identify_sender(address_of(5), datagram(own, other)) is None
    ), "the own record is the first"
    assert protocol.identify_sender(address_of(4), datagram(own._replace(terminated=True))) is None
    assert protocol.identify_sender(address_of(4), datagram(own)[:-1]) is None
    assert not protocol.members.table.others(0), "identifying a sender merges nothing"


def test_round_acknowledges_each_receiver_and_numbers_messages_by_their_index() -> None:
    members = started_instance(0)
    members.merge([InstanceRecord(peer, 1, False, address_of(peer)) for peer in range(1, 40)])
    protocol = MembershipProtocol(LIMITS, members)
    numbering = RoundNumbering(PeerContacts(LIMITS, InstanceIdentity(0, 40, 7), last_number=10), T0)
    last_received = {1: MessageId(3, 4), 2: MessageId(5, 6)}
    composed = protocol.compose(last_received, 7, numbering)
    assert [receiver for receiver, _ in composed] == [1] * LIMITS.membership_pages + [
        2
    ] * LIMITS.membership_pages
    for receiver, envelope in composed:
        assert (envelope.acked_incarnation, envelope.acked_number) == last_received[receiver]
        assert envelope.incarnation == 7
        message = membership_message.from_envelope(
            decode_envelope(encode_envelope(envelope), LIMITS.datagram_bytes)
        )
        assert message.records[0] == members.table.records[0]
    numbers = [envelope.number for _, envelope in composed]
    assert numbers == [11, 12, 13] * 2
