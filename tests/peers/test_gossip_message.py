"""The gossip message: encoding, limits and malformed input."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.peers.coordinator import PeerCoordinator
from garnetlanding.peers.disabled_backends import (
    DIGEST_BYTES,
    EMPTY_DIGEST,
    DisableRecord,
)
from garnetlanding.peers.envelope import decode_envelope, encode_envelope
from garnetlanding.peers.errors import MessageError
from garnetlanding.peers.gossip_message import (
    MAX_AGE_MS,
    MAX_COUNT,
    MAX_UPTIME,
    Evidence,
    EvidenceKind,
    GossipMessage,
    count_fitting,
    from_envelope,
    to_envelope,
)
from tests.support.clock import T0
from tests.support.decision_bench import make_settings
from tests.support.suspicions import LIMITS, GossipingInstances, make_evidence


@given(
    st.lists(
        st.tuples(
            st.sampled_from(EvidenceKind),
            st.integers(0, 2**32 - 1),
            st.integers(0, MAX_UPTIME),
            st.integers(0, 255),
            st.integers(0, 65535),
        ),
        max_size=30,
    ),
    st.lists(
        st.tuples(
            st.text("abc-09", min_size=1, max_size=40),
            st.integers(0, 2**48 - 1),
            st.integers(0, 65535),
            st.booleans(),
        ),
        max_size=8,
    ),
)
def test_gossip_that_fits_is_decoded_as_encoded_and_cut_bytes_are_rejected(
    evidence_fields: list[Any], record_fields: list[Any]
) -> None:
    evidence = [Evidence(*fields) for fields in evidence_fields]
    records = [DisableRecord(*fields) for fields in record_fields]
    fitting = count_fitting(evidence, records, LIMITS.datagram_bytes)
    message = GossipMessage(
        b"digest 8", tuple(evidence[: fitting.evidence]), tuple(records[: fitting.records])
    )
    data = encode_envelope(to_envelope(message, 9, 8, 7, 6))
    assert len(data) <= LIMITS.datagram_bytes
    all_fit = fitting == (len(evidence), len(records))
    assert all_fit or len(data) > 200 - 40 * (fitting.records < len(records))
    envelope = decode_envelope(data, LIMITS.datagram_bytes)
    assert from_envelope(envelope) == message
    assert (envelope.incarnation, envelope.number) == (9, 8)
    assert (envelope.acked_incarnation, envelope.acked_number) == (7, 6)
    for body in (envelope.body[:-1], envelope.body + b"x"):
        with pytest.raises(MessageError):
            from_envelope(replace(envelope, body=body))


def test_forged_gossip_is_counted_by_cause() -> None:
    instances = GossipingInstances()
    instances.run(10)
    valid = to_envelope(GossipMessage(EMPTY_DIGEST, (make_evidence(),)), 1, 999, 0, 0)
    unknown_kind = valid.body[:DIGEST_BYTES] + b"\x09" + valid.body[DIGEST_BYTES + 1 :]
    malformed = replace(valid, number=1000, body=unknown_kind)
    instances.run(
        1,
        (0, api.PeerMessage(1, encode_envelope(valid))),
        (0, api.PeerMessage(1, encode_envelope(malformed))),
    )
    assert instances.coordinators[0].dropped == {"word too old": 1, "no such verdict": 1}
    without_gossip = PeerCoordinator(Controller(make_settings(may_message_peers=True), 1), incarnation=1)
    without_gossip.handle(T0, [api.PeerMessage(1, encode_envelope(valid))])
    assert without_gossip.dropped == {"other kind": 1}
    assert list(without_gossip.suspicion_rows(T0)) == []


def test_counts_and_ages_beyond_the_greatest_encodable_ones_are_sent_as_those() -> None:
    evidence = replace(make_evidence(), count=MAX_COUNT + 1, age_ms=MAX_AGE_MS + 1)
    decoded = from_envelope(to_envelope(GossipMessage(EMPTY_DIGEST, (evidence,)), 1, 1, 0, 0))
    assert decoded.evidence == (replace(evidence, count=MAX_COUNT, age_ms=MAX_AGE_MS),)
