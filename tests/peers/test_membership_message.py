"""The membership message: encoding, limits and malformed input."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.peers import membership_message
from garnetlanding.peers.envelope import Envelope, MessageKind, decode_envelope, encode_envelope
from garnetlanding.peers.errors import MessageError
from garnetlanding.peers.membership_table import InstanceRecord
from tests.support.membership import LIMITS

RECORDS = st.builds(
    InstanceRecord,
    st.integers(0, 65535),
    st.integers(0, 2**48 - 1),
    st.booleans(),
    st.builds(lambda host, port: f"{host}:{port}", st.ip_addresses(v=4), st.integers(0, 65535))
    | st.builds(lambda host, port: f"[{host}]:{port}", st.ip_addresses(v=6), st.integers(0, 65535)),
)


@given(st.binary(min_size=8, max_size=8), st.lists(RECORDS, min_size=1, max_size=8), st.booleans())
def test_membership_message_is_decoded_as_encoded_and_fits(
    digest: bytes, records: list[InstanceRecord], joined: bool
) -> None:
    pages = membership_message.paginate(records, LIMITS.datagram_bytes, 9)
    assert [record for page in pages for record in page[1:]] == records[1:]
    for page in pages:
        message = membership_message.MembershipMessage(digest, tuple(page), joined)
        data = encode_envelope(membership_message.to_envelope(message, 1, 2, 3, 4))
        assert len(data) <= LIMITS.datagram_bytes
        assert membership_message.from_envelope(decode_envelope(data, LIMITS.datagram_bytes)) == message
    assert len(membership_message.paginate(records * 9, LIMITS.datagram_bytes, 2)) <= 2


@given(st.binary(max_size=60), st.tuples(st.integers(0, 5), st.integers(0, 3)))
def test_arbitrary_membership_body_is_decoded_whole_or_rejected(body: bytes, counts: tuple[int, int]) -> None:
    envelope = Envelope(MessageKind.MEMBERSHIP, 1, 1, 0, 0, counts, body)
    try:
        message = membership_message.from_envelope(envelope)
    except MessageError:
        return
    assert len(message.records) == counts[0] > 0
