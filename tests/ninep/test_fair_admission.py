"""How many requests each client may have open at the core."""

from __future__ import annotations

from garnetlanding.ninep.fair_admission import FairAdmission


def test_single_client_gets_the_whole_limit_and_several_get_equal_shares() -> None:
    admission = FairAdmission(8, 100)
    assert admission.limit_for(1, 0) == 8
    for client in range(1, 5):
        admission.record_request(client, client)
    limits = [admission.limit_for(client, 50) for client in (1, 4, 9)]
    assert limits == [2, 2, 1], "a new client counts as the fifth active one"
    assert admission.limit_for(4, 103) == 8, "the others are no longer active"
    admission.remove_client(4)
    assert admission.limit_for(3, 102) == 8
    for client in range(100):
        admission.record_request(client, 200)
    assert admission.limit_for(5, 200) == 1
