"""The peers' message: encoding, pages and malformed input."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.peers import lease_message
from garnetlanding.peers.errors import MessageError
from garnetlanding.peers.lease_message import QUOTA_STEPS, LeaseMessage, QuotaRequest
from tests.support.leases import LIMITS

FRACTIONS = st.integers(0, QUOTA_STEPS).map(lambda n: n / QUOTA_STEPS)
NAMES = st.integers(0, 2**32 - 1)
ASKS = st.dictionaries(NAMES, st.builds(QuotaRequest, FRACTIONS, st.integers(1, 255)), max_size=15)
GRANTS = st.dictionaries(NAMES, FRACTIONS, max_size=15)
MESSAGES = st.builds(
    LeaseMessage,
    st.integers(0, 2**48 - 1),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**48 - 1),
    st.integers(0, 2**32 - 1),
    ASKS,
    GRANTS,
)


@given(MESSAGES)
def test_lease_message_is_decoded_as_encoded_and_fits(message: LeaseMessage) -> None:
    data = lease_message.encode(message)
    assert len(data) <= LIMITS.datagram_bytes
    assert lease_message.decode(data, LIMITS.datagram_bytes) == message


@given(MESSAGES, st.data())
def test_cut_changed_and_lengthened_datagrams_are_rejected(
    message: LeaseMessage, data: st.DataObject
) -> None:
    whole = lease_message.encode(message)
    cut = data.draw(st.integers(0, len(whole) - 1))
    at, flip = data.draw(st.integers(0, len(whole) - 1)), data.draw(st.integers(1, 255))
    for bad in (whole[:cut], whole[:at] + bytes([whole[at] ^ flip]) + whole[at + 1 :], whole + b"x" * 257):
        with pytest.raises(MessageError):
            lease_message.decode(bad, LIMITS.datagram_bytes)


@given(
    st.dictionaries(NAMES, st.builds(QuotaRequest, FRACTIONS, st.integers(1, 255)), max_size=300),
    st.dictionaries(NAMES, FRACTIONS, max_size=300),
)
def test_pages_hold_every_entry_once_and_fit(
    requests: dict[int, QuotaRequest], grants: dict[int, float]
) -> None:
    pages = list(lease_message.paginate(requests, grants, LIMITS.datagram_bytes))
    assert [a for p in pages for a in p[0].items()] == list(requests.items())
    assert [g for p in pages for g in p[1].items()] == list(grants.items())
    assert all(
        len(lease_message.encode(LeaseMessage(1, 1, 1, 1, *p))) <= LIMITS.datagram_bytes for p in pages
    )
