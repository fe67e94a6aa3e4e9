"""The peers' message: encoding, pages and malformed input."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.peers import codec
from garnetlanding.peers.codec import LeaseMessage, MessageError
from tests.support.leases import LIMITS

SHARES = st.integers(0, codec.SHARE_STEPS).map(lambda n: n / codec.SHARE_STEPS)
NAMES = st.integers(0, 2**32 - 1)
ASKS = st.dictionaries(NAMES, st.builds(codec.QuotaRequest, SHARES, st.integers(1, 255)), max_size=15)
GRANTS = st.dictionaries(NAMES, SHARES, max_size=15)
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
    data = codec.encode_leases(message)
    assert len(data) <= LIMITS.datagram_bytes
    assert codec.decode_leases(data, LIMITS.datagram_bytes) == message


@given(MESSAGES, st.data())
def test_cut_changed_and_lengthened_datagrams_are_rejected(
    message: LeaseMessage, data: st.DataObject
) -> None:
    whole = codec.encode_leases(message)
    cut = data.draw(st.integers(0, len(whole) - 1))
    at, flip = data.draw(st.integers(0, len(whole) - 1)), data.draw(st.integers(1, 255))
    for bad in (whole[:cut], whole[:at] + bytes([whole[at] ^ flip]) + whole[at + 1 :], whole + b"x" * 257):
        with pytest.raises(MessageError):
            codec.decode_leases(bad, LIMITS.datagram_bytes)


@given(
    st.dictionaries(NAMES, st.builds(codec.QuotaRequest, SHARES, st.integers(1, 255)), max_size=300),
    st.dictionaries(NAMES, SHARES, max_size=300),
)
def test_pages_hold_every_entry_once_and_fit(
    asks: dict[int, codec.QuotaRequest], grants: dict[int, float]
) -> None:
    pages = list(codec.paginate(asks, grants, LIMITS.datagram_bytes))
    assert [a for p in pages for a in p[0].items()] == list(asks.items())
    assert [g for p in pages for g in p[1].items()] == list(grants.items())
    assert all(len(codec.encode_leases(LeaseMessage(1, 1, 1, 1, *p))) <= LIMITS.datagram_bytes for p in pages)
