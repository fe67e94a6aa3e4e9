"""Lease messages: encoding, pages and malformed input."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.peers import lease_message
from garnetlanding.peers.errors import MessageError
from garnetlanding.peers.lease_message import QUOTA_STEPS, LeaseMessage, QuotaRequest
from tests.support.leases import LIMITS

FRACTIONS = st.integers(0, QUOTA_STEPS).map(lambda steps: steps / QUOTA_STEPS)
TAGS = st.integers(0, 2**32 - 1)
REQUESTS = st.dictionaries(TAGS, st.builds(QuotaRequest, FRACTIONS, st.integers(1, 255)), max_size=15)
GRANTS = st.dictionaries(TAGS, FRACTIONS, max_size=15)
MESSAGES = st.builds(
    LeaseMessage,
    st.integers(0, 2**48 - 1),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**48 - 1),
    st.integers(0, 2**32 - 1),
    REQUESTS,
    GRANTS,
)


@given(MESSAGES)
def test_encoded_message_fits_a_datagram_and_decodes_to_the_same_message(message: LeaseMessage) -> None:
    data = lease_message.encode(message)
    assert len(data) <= LIMITS.datagram_bytes
    assert lease_message.decode(data, LIMITS.datagram_bytes) == message


@given(MESSAGES, st.data())
def test_truncated_corrupted_and_oversized_datagrams_are_rejected(
    message: LeaseMessage, data: st.DataObject
) -> None:
    valid = lease_message.encode(message)
    truncated = valid[: data.draw(st.integers(0, len(valid) - 1))]
    position = data.draw(st.integers(0, len(valid) - 1))
    flipped_bits = data.draw(st.integers(1, 255))
    corrupted = bytearray(valid)
    corrupted[position] ^= flipped_bits
    oversized = valid + b"x" * 257
    for malformed in (truncated, bytes(corrupted), oversized):
        with pytest.raises(MessageError):
            lease_message.decode(malformed, LIMITS.datagram_bytes)


@given(
    st.dictionaries(TAGS, st.builds(QuotaRequest, FRACTIONS, st.integers(1, 255)), max_size=300),
    st.dictionaries(TAGS, FRACTIONS, max_size=300),
)
def test_pages_contain_each_entry_once_and_fit_a_datagram(
    requests: dict[int, QuotaRequest], grants: dict[int, float]
) -> None:
    pages = list(lease_message.paginate(requests, grants, LIMITS.datagram_bytes))
    assert [request for page in pages for request in page.requests.items()] == list(requests.items())
    assert [grant for page in pages for grant in page.grants.items()] == list(grants.items())
    for page in pages:
        assert len(lease_message.encode(LeaseMessage(1, 1, 1, 1, *page))) <= LIMITS.datagram_bytes
