"""One host among 150: parts under one request, budgets summed over all hosts, stalls, lost answers."""

from __future__ import annotations

import random

import pytest

from garnetlanding.decision import interface as api
from tests.support.clock import MS, SECOND, T0
from tests.support.decision_bench import DecisionBench, make_settings, up_endpoint

INSTANCES = 150
LIMITED = api.PlanSpec("limited", 1.0, 2.0, 1.0, limit_rate=16.0, limit_burst=60.0)


def test_150_instances_together_never_overload_a_warming_backend() -> None:
    """A node is back at the least of its capacity; every host asks for it all at once, with retries."""
    capacity, warmup_initial_fraction, fall = 60.0, 0.2, 2 * SECOND
    sent: list[tuple[int, float]] = []
    for me in range(INSTANCES):
        bench = DecisionBench(
            make_settings(
                instances=INSTANCES, instance_id=me, warmup_initial_fraction=warmup_initial_fraction
            ),
            [up_endpoint("n0", 0, started=T0)],
            seed=me,
        )
        for i in range(12):
            # The plans' rates count over all hosts, so the volumes say how many those are.
            bench.ask(f"r{i}", volume=f"v{i % 3}", units=2, hosts=INSTANCES)
            bench.run(400 * MS)
            for attempt, _ in enumerate(bench.sends(f"r{i}")):
                bench.end(f"r{i}", api.Outcome.SERVED, attempt)
        sent += [(t, 2.0) for t, a in bench.log if isinstance(a, api.Send)]
    allowed = 2.0 * capacity * warmup_initial_fraction * fall / SECOND
    for at, _ in sent:
        assert sum(units for t, units in sent if at <= t < at + fall) <= allowed


def test_instances_of_a_volume_keep_its_limit_together_after_a_surge() -> None:
    part, sent = 3, []
    plans = {"limited": LIMITED}
    for me in range(part):
        bench = DecisionBench(
            make_settings(instances=INSTANCES, instance_id=me, plans=plans), [up_endpoint("n0", 0)], seed=me
        )
        for i in range(200):
            bench.ask(f"r{i}", plan="limited", units=2, hosts=part)
            for attempt, _ in enumerate(bench.sends(f"r{i}")):
                bench.end(f"r{i}", api.Outcome.SERVED, attempt, took=5 * MS)
            bench.run(10 * MS)
        sent += sorted(t for t, a in bench.log if isinstance(a, api.Send))
    level, since = LIMITED.limit_burst, T0
    for at in sorted(sent):
        level = min(LIMITED.limit_burst, level + LIMITED.limit_rate * (at - since) / SECOND) - 2
        since = at
        assert level >= 0


def test_arrivals_after_a_stall_are_answered_in_time_and_not_sent_late() -> None:
    bench = DecisionBench(make_settings(instances=INSTANCES), [up_endpoint(f"n{c}", c) for c in range(4)])
    for i in range(8):
        bench.ask(f"a{i}", cell=i % 4, volume=f"v{i}")
    bench.now += 1450 * MS  # stood still: every answer, arrival and timer of that time comes in one call
    until = bench.now + 40 * MS
    late = [api.Arrival(f"l{i}", "read", "gold", f"v{i}", "", 2, i % 4, until, 1) for i in range(40)]
    done = [api.Result(f"a{i}", 0, "", api.Outcome.SERVED, 1450 * MS, True) for i in range(8)]
    bench.tell(*done, *late)
    bench.run(50 * MS)
    at = {a.request: t for t, a in bench.log if isinstance(a, api.Reject | api.Fail)}
    assert all(at[e.request] <= until for e in late)
    assert not [a for t, a in bench.log if isinstance(a, api.Send) and t >= until]


def test_scattered_lost_answers_do_not_stop_dispatch_to_backends() -> None:
    rng = random.Random(5)
    bench = DecisionBench(make_settings(instances=INSTANCES), [up_endpoint(f"n{c}", c) for c in range(10)])
    sent_of_last, seen = 0, 0
    for i in range(300):
        bench.ask(f"r{i}", cell=i % 10, volume=f"v{i % 10}", units=1)
        bench.run(40 * MS)
        for attempt, _ in enumerate(bench.sends(f"r{i}")):
            if rng.random() > 0.2:
                bench.end(f"r{i}", api.Outcome.SERVED, attempt, took=40 * MS)
                break
        while seen < len(bench.log):  # what the host cancels ends
            action, seen = bench.log[seen][1], seen + 1
            if isinstance(action, api.Cancel):
                bench.end(action.request, api.Outcome.CANCELLED, action.attempt, took=1500 * MS, over=True)
        sent_of_last += bool(bench.sends(f"r{i}")) and i >= 200
    assert sent_of_last >= 90


def restarted(asked: int, hosts: int = 40, seed: int = 0) -> tuple[list[tuple[int, float]], int]:
    """A host new to everything, before a node that has just come up: what it sends there of one volume's
    `asked` requests in 12 s, the volume being usual for 2 units a second over two hosts; and the rest."""
    bench = DecisionBench(
        make_settings(instances=hosts, instance_id=seed % hosts, warmup_units=2.0),
        [up_endpoint("n0", 0, started=T0)],
        seed=seed,
    )
    for i in range(asked):
        bench.ask(f"r{i}", volume="v", units=1, plan="tin", hosts=2)
        bench.run(12 * SECOND // asked)
        if bench.sends(f"r{i}"):
            bench.end(f"r{i}")
    sent = [(t, 1.0) for t, a in bench.log if isinstance(a, api.Send)]
    return sent, asked - len(sent)


def test_new_instance_sends_a_warming_backend_the_load_that_the_plans_foresee() -> None:
    """Of 2 units for all of 40 hosts its part is a request in 40 s; most of its one volume went unserved."""
    sent, rest = restarted(asked=12)
    assert len(sent) >= 5
    assert rest <= 7


@pytest.mark.parametrize("hosts", [1, 3], ids=["one instance", "three instances"])
def test_restart_during_warmup_does_not_spend_a_window_twice(hosts: int) -> None:
    """What the life before it had sent was forgotten: both lives' budgets went out within one window."""
    config, life_us = make_settings(instances=hosts, warmup_units=12.0), 500 * MS
    sent: list[int] = []
    for life in range(4):
        bench = DecisionBench(
            config, [up_endpoint("n0", 0, started=T0 - 4 * SECOND - life * life_us)], seed=life
        )
        for i in range(25):
            bench.ask(f"r{i}", units=1, plan="tin", hosts=hosts)
            bench.run(life_us // 25)
            for n in range(i + 1):
                if bench.sends(f"r{n}"):
                    bench.end(f"r{n}")
        sent += [t + life * life_us for t, a in bench.log if isinstance(a, api.Send)]
    assert sent
    assert max(sum(t <= at < t + config.overload_window_us for at in sent) for t in sent) <= 12.0 / hosts + 1


def test_surge_at_a_warming_backend_gets_no_more_than_its_usual_rate_allows() -> None:
    """Twenty restarted hosts of ten volumes that are usual for 20 units a second, at a node of 40, all in a
    surge of ten times that: together under the rule's multiple of what it can do, in every window."""
    fall, warmup_initial_fraction, cold = 2 * SECOND, 0.2, 16 * SECOND
    sent = sorted(s for seed in range(20) for s in restarted(asked=120, seed=seed)[0])
    for at, _ in sent:
        warmth = warmup_initial_fraction + (1 - warmup_initial_fraction) * (at - T0) / cold
        assert sum(units for t, units in sent if at <= t < at + fall) <= 2.0 * 40 * warmth * fall / SECOND


def list_calls(hosts: int, per_s: float, outage_s: int, most_s: int) -> list[float]:
    """When each of the hosts, which all lose their watch at once, is answered, from discovery's return on.
    It does so many calls a second in turn and fails what has waited for 2 s, which uses its turn up all
    the same; while it is away, calls fail after 2 s too."""
    takes, patience = int(SECOND / per_s), 2 * SECOND
    benches = [
        DecisionBench(
            make_settings(instances=hosts, instance_id=me, poll_endpoints=True),
            [up_endpoint("n0", 0)],
            seed=me,
        )
        for me in range(hosts)
    ]
    waiting: list[tuple[int, int]] = []  # when it came, whose it is
    answered: dict[int, float] = {}
    back = free_at = T0 + outage_s * SECOND
    seen = [len(bench.log) for bench in benches]
    for bench in benches:
        bench.tell(api.EndpointListFailure())
    for now in range(T0, back + most_s * SECOND, 50 * MS):
        for me, bench in enumerate(benches):
            bench.run(now - bench.now)
            calls = sum(isinstance(a, api.Subscribe) for _, a in bench.log[seen[me] :])
            seen[me] = len(bench.log)
            waiting += [(now, me)] * calls
        while waiting and (free_at <= now if now >= back else waiting[0][0] + patience < now):
            came, me = waiting.pop(0)
            free_at = max(free_at, came + takes, free_at + takes) if now >= back else free_at
            if now >= back and free_at - came <= patience:
                answered.setdefault(me, (free_at - back) / SECOND)
                benches[me].tell(api.EndpointListUpdate((up_endpoint("n0", 0),), complete=True))
            else:
                benches[me].tell(api.EndpointListFailure(api.FailureKind.OVERLOADED))
    return sorted(answered.values())


def test_polls_of_forty_instances_that_fail_at_once_are_all_answered_in_the_end() -> None:
    """Three calls a second: most were never answered again."""
    assert len(list_calls(40, per_s=3, outage_s=0, most_s=85)) == 40


@pytest.mark.parametrize(
    ("hosts", "per_s", "outage_s"),
    [(3, 2, 8), (5, 3, 20), (20, 12, 8), (40, 24, 20), (200, 118, 8), (200, 62, 8), (200, 62, 20)],
    ids=str,
)
def test_all_instances_have_the_list_within_6_s_after_an_outage(
    hosts: int, per_s: float, outage_s: int
) -> None:
    """What fails after 2 s may be a queue or an outage: taken for a queue, 66 of 220 heads paused for 33 s
    and more (variant of the first site, herd+mass), and before that for up to 37 s."""
    told = list_calls(hosts, per_s, outage_s, most_s=6)
    assert len(told) == hosts
