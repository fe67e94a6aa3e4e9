"""Many instances: quotas below one request, shared budgets, stalls, lost responses, failed polls."""

from __future__ import annotations

import random

import pytest

from garnetlanding.decision import interface as api
from tests.support.clock import MS, SECOND, T0
from tests.support.decision_bench import DecisionBench, make_settings, up_endpoint

INSTANCES = 150
LIMITED = api.PlanSpec("limited", 1.0, 2.0, 1.0, limit_rate=16.0, limit_burst=60.0)


def test_150_instances_together_never_overload_a_warming_backend() -> None:
    """A restarted backend has its lowest capacity while all instances send to it, with retries."""
    capacity, warmup_initial_fraction, window_us = 60.0, 0.2, 2 * SECOND
    sent: list[tuple[int, float]] = []
    for instance_id in range(INSTANCES):
        bench = DecisionBench(
            make_settings(
                instances=INSTANCES, instance_id=instance_id, warmup_initial_fraction=warmup_initial_fraction
            ),
            [up_endpoint("n0", 0, started=T0)],
            seed=instance_id,
        )
        for i in range(12):
            # The rates of the plans are for all instances, so arrivals contain their number.
            bench.arrive(f"r{i}", volume=f"v{i % 3}", units=2, serving_instances=INSTANCES)
            bench.advance(400 * MS)
            for attempt, _ in enumerate(bench.sends(f"r{i}")):
                bench.finish_attempt(f"r{i}", api.Outcome.SERVED, attempt)
        sent += [(t, 2.0) for t, a in bench.timeline if isinstance(a, api.Send)]
    allowed = 2.0 * capacity * warmup_initial_fraction * window_us / SECOND
    for at, _ in sent:
        assert sum(units for t, units in sent if at <= t < at + window_us) <= allowed


def test_instances_of_a_volume_keep_its_limit_together_after_a_surge() -> None:
    serving_instances, sent = 3, []
    plans = {"limited": LIMITED}
    for instance_id in range(serving_instances):
        bench = DecisionBench(
            make_settings(instances=INSTANCES, instance_id=instance_id, plans=plans),
            [up_endpoint("n0", 0)],
            seed=instance_id,
        )
        for i in range(200):
            bench.arrive(f"r{i}", plan="limited", units=2, serving_instances=serving_instances)
            for attempt, _ in enumerate(bench.sends(f"r{i}")):
                bench.finish_attempt(f"r{i}", api.Outcome.SERVED, attempt, duration_us=5 * MS)
            bench.advance(10 * MS)
        sent += sorted(t for t, a in bench.timeline if isinstance(a, api.Send))
    level, since = LIMITED.limit_burst, T0
    for at in sorted(sent):
        level = min(LIMITED.limit_burst, level + LIMITED.limit_rate * (at - since) / SECOND) - 2
        since = at
        assert level >= 0


def test_arrivals_after_a_stall_are_answered_in_time_and_not_sent_late() -> None:
    bench = DecisionBench(make_settings(instances=INSTANCES), [up_endpoint(f"n{c}", c) for c in range(4)])
    for i in range(8):
        bench.arrive(f"a{i}", cell=i % 4, volume=f"v{i}")
    bench.now += 1450 * MS  # a stall, after which all events and timers are handled in one call
    deadline_us = bench.now + 40 * MS
    late = [api.Arrival(f"l{i}", "read", "gold", f"v{i}", "", 2, i % 4, deadline_us, 1) for i in range(40)]
    done = [api.Result(f"a{i}", 0, "", api.Outcome.SERVED, 1450 * MS, True) for i in range(8)]
    bench.deliver(*done, *late)
    bench.advance(50 * MS)
    answered_at = {
        action.request: time for time, action in bench.timeline if isinstance(action, api.Reject | api.Fail)
    }
    assert all(answered_at[arrival.request] <= deadline_us for arrival in late)
    assert not [a for t, a in bench.timeline if isinstance(a, api.Send) and t >= deadline_us]


def test_scattered_lost_responses_do_not_stop_dispatch_to_backends() -> None:
    rng = random.Random(5)
    bench = DecisionBench(make_settings(instances=INSTANCES), [up_endpoint(f"n{c}", c) for c in range(10)])
    sent_of_last_100, seen = 0, 0
    for i in range(300):
        bench.arrive(f"r{i}", cell=i % 10, volume=f"v{i % 10}", units=1)
        bench.advance(40 * MS)
        for attempt, _ in enumerate(bench.sends(f"r{i}")):
            if rng.random() > 0.2:
                bench.finish_attempt(f"r{i}", api.Outcome.SERVED, attempt, duration_us=40 * MS)
                break
        while seen < len(bench.timeline):  # cancelled attempts end
            action, seen = bench.timeline[seen][1], seen + 1
            if isinstance(action, api.Cancel):
                bench.finish_attempt(
                    action.request,
                    api.Outcome.CANCELLED,
                    action.attempt,
                    duration_us=1500 * MS,
                    answered=True,
                )
        sent_of_last_100 += bool(bench.sends(f"r{i}")) and i >= 200
    assert sent_of_last_100 >= 90


def run_after_restart(
    arrivals: int, instances: int = 40, seed: int = 0
) -> tuple[list[tuple[int, float]], int]:
    """Send a warming backend requests of a volume whose usual rate is 2 units per second.

    The volume has two instances; this one and the backend start together. Return the time and units of each
    request sent, of `arrivals` in 12 s, and the number of those not sent.
    """
    bench = DecisionBench(
        make_settings(instances=instances, instance_id=seed % instances, warmup_units=2.0),
        [up_endpoint("n0", 0, started=T0)],
        seed=seed,
    )
    for i in range(arrivals):
        bench.arrive(f"r{i}", volume="v", units=1, plan="tin", serving_instances=2)
        bench.advance(12 * SECOND // arrivals)
        if bench.sends(f"r{i}"):
            bench.finish_attempt(f"r{i}")
    sent = [(t, 1.0) for t, a in bench.timeline if isinstance(a, api.Send)]
    return sent, arrivals - len(sent)


def test_new_instance_sends_a_warming_backend_the_load_expected_by_the_plans() -> None:
    """An equal quota of 2 units over 40 instances alone would allow one request in 40 s."""
    sent, unsent_count = run_after_restart(arrivals=12)
    assert len(sent) >= 5
    assert unsent_count <= 7


@pytest.mark.parametrize("instances", [1, 3], ids=["one instance", "three instances"])
def test_restart_during_warmup_does_not_spend_a_window_twice(instances: int) -> None:
    """An incarnation does not know what its predecessor has sent within the same window."""
    settings, incarnation_us = make_settings(instances=instances, warmup_units=12.0), 500 * MS
    sent: list[int] = []
    for incarnation in range(4):
        bench = DecisionBench(
            settings,
            [up_endpoint("n0", 0, started=T0 - 4 * SECOND - incarnation * incarnation_us)],
            seed=incarnation,
        )
        for i in range(25):
            bench.arrive(f"r{i}", units=1, plan="tin", serving_instances=instances)
            bench.advance(incarnation_us // 25)
            for n in range(i + 1):
                if bench.sends(f"r{n}"):
                    bench.finish_attempt(f"r{n}")
        sent += [t + incarnation * incarnation_us for t, a in bench.timeline if isinstance(a, api.Send)]
    assert sent
    assert (
        max(sum(t <= at < t + settings.overload_window_us for at in sent) for t in sent)
        <= 12.0 / instances + 1
    )


def test_surge_at_a_warming_backend_gets_no_more_than_its_usual_rate_allows() -> None:
    """In no window, the instances together may exceed the overload limit of the backend.

    Twenty restarted instances of ten volumes, whose usual rate is 20 units per second, receive ten times that
    rate for a backend that serves 40 units per second.
    """
    window_us, warmup_initial_fraction, warmup_us = 2 * SECOND, 0.2, 16 * SECOND
    sent = sorted(s for seed in range(20) for s in run_after_restart(arrivals=120, seed=seed)[0])
    for at, _ in sent:
        warmth = warmup_initial_fraction + (1 - warmup_initial_fraction) * (at - T0) / warmup_us
        assert (
            sum(units for t, units in sent if at <= t < at + window_us)
            <= 2.0 * 40 * warmth * window_us / SECOND
        )


def poll_times(instances: int, polls_per_s: float, outage_s: int, max_s: int) -> list[float]:
    """Return when each instance has the endpoint list, in seconds after the end of a discovery outage.

    All watches fail at the same time. Discovery serves `polls_per_s` polls per second in order. It rejects
    polls that have waited for 2 s, at the cost of an answer; during the outage, polls also fail after 2 s.
    """
    service_us, timeout_us = int(SECOND / polls_per_s), 2 * SECOND
    benches = [
        DecisionBench(
            make_settings(instances=instances, instance_id=instance_id, poll_endpoints=True),
            [up_endpoint("n0", 0)],
            seed=instance_id,
        )
        for instance_id in range(instances)
    ]
    waiting: list[tuple[int, int]] = []  # time and instance of each poll
    answered: dict[int, float] = {}
    outage_end = free_at = T0 + outage_s * SECOND
    seen = [len(bench.timeline) for bench in benches]
    for bench in benches:
        bench.deliver(api.EndpointListFailure())
    for now in range(T0, outage_end + max_s * SECOND, 50 * MS):
        for instance_id, bench in enumerate(benches):
            bench.advance(now - bench.now)
            polls = sum(isinstance(a, api.Subscribe) for _, a in bench.timeline[seen[instance_id] :])
            seen[instance_id] = len(bench.timeline)
            waiting += [(now, instance_id)] * polls
        while waiting and (free_at <= now if now >= outage_end else waiting[0][0] + timeout_us < now):
            polled_at, instance_id = waiting.pop(0)
            free_at = (
                max(free_at, polled_at + service_us, free_at + service_us) if now >= outage_end else free_at
            )
            if now >= outage_end and free_at - polled_at <= timeout_us:
                answered.setdefault(instance_id, (free_at - outage_end) / SECOND)
                benches[instance_id].deliver(api.EndpointListUpdate((up_endpoint("n0", 0),), complete=True))
            else:
                benches[instance_id].deliver(api.EndpointListFailure(api.FailureKind.OVERLOADED))
    return sorted(answered.values())


def test_polls_of_forty_instances_that_fail_together_are_all_answered() -> None:
    """Discovery answers three polls per second."""
    assert len(poll_times(40, polls_per_s=3, outage_s=0, max_s=85)) == 40


@pytest.mark.parametrize(
    ("instances", "polls_per_s", "outage_s"),
    [(3, 2, 8), (5, 3, 20), (20, 12, 8), (40, 24, 20), (200, 118, 8), (200, 62, 8), (200, 62, 20)],
    ids=str,
)
def test_all_instances_have_the_list_within_6_s_after_an_outage(
    instances: int, polls_per_s: float, outage_s: int
) -> None:
    """A poll that fails after 2 s may mean overload or an outage; only overload needs a long backoff."""
    assert len(poll_times(instances, polls_per_s, outage_s, max_s=6)) == instances
