"""Local observations: what one instance saw of its backends."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Outcome
from tests.support.clock import MS, T0
from tests.support.suspicions import AIM, LIMITS, REFUSED, SERVED, SIX, result, sightings, told

# What is seen


def test_each_verdict_rests_on_what_this_head_saw_and_an_answer_ends_it() -> None:
    seen = sightings(
        *[result("n0", REFUSED)] * 3,
        *[result("n1", REFUSED)] * 2,
        *[result("n2", Outcome.FULL)] * 3,
        *[result("n3", SERVED, 300 * MS)] * 4,
        *[result("n4", Outcome.TIMEOUT)] * 2,
    )
    assert told(seen) == {"n0": "dead", "n2": "full", "n3": "slow", "n4": "silent"}
    later = T0 + 100 * MS
    seen.observe_events(
        later, [result(n, SERVED) for n in ("n0", "n2", "n4")] + [result("n3", SERVED)] * 4, AIM
    )
    assert told(seen, later) == {"n0": "cold", "n4": "cold"}, "back, and perhaps cold"
    assert told(seen, later + LIMITS.word_us + 1) == {}


def test_silence_is_seen_while_requests_are_out_and_one_heavy_request_is_none() -> None:
    seen = sightings(result("n0", SERVED))
    seen.observe_actions(T0, [api.Send("a", "n0"), api.Send("b", "n0"), api.Send("c", "n1")])
    assert not told(seen, T0 + 2 * AIM - 1)
    assert told(seen, T0 + 2 * AIM) == {"n0": "silent"}
    seen.observe_events(T0 + 2 * AIM, [result("n0", SERVED, request="a")], AIM)
    assert told(seen, T0 + 2 * AIM) == {"n0": "cold"}
    seen.observe_events(
        T0 + 2 * AIM, [api.EndpointListUpdate((replace(SIX[0], state=api.EndpointState.DRAINING),))], AIM
    )
    assert "n0" not in seen.backends, "told of by the list: nothing is said about it"
