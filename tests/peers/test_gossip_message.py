"""The gossip message: encoding, limits and malformed input."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.peers import codec
from garnetlanding.peers.codec import MessageError
from garnetlanding.peers.coordinator import PeerCoordinator
from garnetlanding.peers.disabled_backends import (
    DIGEST,
    EMPTY_DIGEST,
    DisableRecord,
)
from garnetlanding.peers.gossip_message import (
    MAX_UPTIME,
    Evidence,
    EvidenceKind,
    GossipMessage,
    fit,
    read,
    to_envelope,
)
from tests.support.clock import T0
from tests.support.decision_bench import make_settings
from tests.support.suspicions import LIMITS, GossipingInstances, make_evidence

# Bytes


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
    seen: list[Any], said: list[Any]
) -> None:
    evidence, records = [Evidence(*e) for e in seen], [DisableRecord(*r) for r in said]
    some, more = fit(evidence, records, LIMITS.datagram_bytes)
    told = GossipMessage(b"digest 8", tuple(evidence[:some]), tuple(records[:more]))
    data = codec.encode_envelope(to_envelope(told, 9, 8, 7, 6))
    assert len(data) <= LIMITS.datagram_bytes
    assert (some, more) == (len(evidence), len(records)) or len(data) > 200 - 40 * (more < len(records))
    e = codec.decode_envelope(data, LIMITS.datagram_bytes)
    assert read(e) == told
    assert (e.incarnation, e.number, e.acked_incarnation, e.acked_number) == (9, 8, 7, 6)
    for body in (e.body[:-1], e.body + b"x"):
        with pytest.raises(MessageError):
            read(replace(e, body=body))


def test_forged_gossip_is_counted_by_cause() -> None:
    f = GossipingInstances()
    f.run(10)
    good = to_envelope(GossipMessage(EMPTY_DIGEST, (make_evidence(),)), 1, 999, 0, 0)
    strange = replace(good, number=1000, body=good.body[:DIGEST] + b"\x09" + good.body[DIGEST + 1 :])
    f.run(
        1,
        (0, api.PeerMessage(1, codec.encode_envelope(good))),
        (0, api.PeerMessage(1, codec.encode_envelope(strange))),
    )
    assert f.coordinators[0].dropped == {"word too old": 1, "no such verdict": 1}
    off = PeerCoordinator(Controller(make_settings(may_message_peers=True), 1), incarnation=1)
    off.handle(T0, [api.PeerMessage(1, codec.encode_envelope(good))])
    assert off.dropped == {"other kind": 1}
    assert list(off.suspicion_rows(T0)) == []
