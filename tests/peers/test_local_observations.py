"""Local observations: the evidence about backends that an instance derives from its own traffic."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.decision import interface as api
from garnetlanding.decision.interface import Outcome
from tests.support.clock import MS, T0
from tests.support.suspicions import (
    LIMITS,
    OBJECTIVE_US,
    REFUSED,
    SERVED,
    SIX_BACKENDS,
    evidence_labels,
    observations_after,
    result,
)


def test_evidence_rests_on_local_observations_and_ends_with_a_response() -> None:
    observations = observations_after(
        *[result("n0", REFUSED)] * 3,
        *[result("n1", REFUSED)] * 2,
        *[result("n2", Outcome.FULL)] * 3,
        *[result("n3", SERVED, 300 * MS)] * 4,
        *[result("n4", Outcome.TIMEOUT)] * 2,
    )
    assert evidence_labels(observations) == {"n0": "dead", "n2": "full", "n3": "slow", "n4": "silent"}
    later = T0 + 100 * MS
    observations.observe_events(
        later,
        [result(backend, SERVED) for backend in ("n0", "n2", "n4")] + [result("n3", SERVED)] * 4,
        OBJECTIVE_US,
    )
    assert evidence_labels(observations, later) == {"n0": "cold", "n4": "cold"}, "recovered"
    assert evidence_labels(observations, later + LIMITS.evidence_us + 1) == {}


def test_backend_is_unresponsive_only_with_several_requests_in_flight() -> None:
    observations = observations_after(result("n0", SERVED))
    observations.observe_actions(T0, [api.Send("a", "n0"), api.Send("b", "n0"), api.Send("c", "n1")])
    assert not evidence_labels(observations, T0 + 2 * OBJECTIVE_US - 1)
    assert evidence_labels(observations, T0 + 2 * OBJECTIVE_US) == {"n0": "silent"}
    observations.observe_events(T0 + 2 * OBJECTIVE_US, [result("n0", SERVED, request="a")], OBJECTIVE_US)
    assert evidence_labels(observations, T0 + 2 * OBJECTIVE_US) == {"n0": "cold"}
    observations.observe_events(
        T0 + 2 * OBJECTIVE_US,
        [api.EndpointListUpdate((replace(SIX_BACKENDS[0], state=api.EndpointState.DRAINING),))],
        OBJECTIVE_US,
    )
    assert "n0" not in observations.backends, "a draining backend is not observed"


def test_administratively_disabled_backend_is_not_observed() -> None:
    observations = observations_after(*[result("n0", REFUSED)] * 3)
    disabled = replace(SIX_BACKENDS[0], admin_disabled=True)
    observations.observe_events(T0, [api.EndpointListUpdate((disabled,))], OBJECTIVE_US)
    assert "n0" not in observations.backends
    assert evidence_labels(observations) == {}
