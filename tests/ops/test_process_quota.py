"""The quotas of the processes of one instance."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.decision import interface as api
from garnetlanding.decision.concurrency import concurrency_limit
from garnetlanding.ops.process_quota import MIN_SHUTDOWN_QUOTA, next_quota
from garnetlanding.ops.process_record import ProcessRecord, decode, encode
from tests.support.clock import MS, T0
from tests.support.decision_bench import DecisionBench, make_settings, up_endpoint


@given(
    st.lists(
        st.tuples(st.sampled_from(["start", "update", "stop", "exit"]), st.integers(0, 3), st.floats(0, 1)),
        max_size=60,
    )
)
def test_quotas_never_add_up_to_more_than_one(steps: list[tuple[str, int, float]]) -> None:
    records: dict[int, ProcessRecord] = {0: ProcessRecord(0, 1.0)}
    stopping: set[int] = set()
    for n, (action, which, used_fraction) in enumerate(steps, 1):
        process = sorted(records)[which % len(records)] if records else None
        if action == "start" and len(records) < 4:
            records[n] = ProcessRecord(n, 0.0)
        elif process is not None and action == "exit":
            del records[process]
        elif process is not None:
            stopping |= {process} if action == "stop" else set()
            others = [record for other, record in records.items() if other != process]
            used = used_fraction * records[process].quota
            quota = next_quota(records[process], others, used, stopping=process in stopping)
            assert 0 <= quota <= 1
            records[process] = replace(records[process], quota=quota)
        assert sum(record.quota for record in records.values()) <= 1 + 1e-9


def test_predecessor_lowers_its_quota_to_half_or_to_its_utilization_and_further_when_stopping() -> None:
    predecessor, successor = ProcessRecord(1, 1.0), ProcessRecord(2, 0.0)
    halved = replace(predecessor, quota=0.5)
    assert (
        next_quota(successor, [predecessor], 0, stopping=False) == 0
    ), "until the predecessor lowers its own"
    assert next_quota(predecessor, [successor], 0.1, stopping=False) == 0.5
    assert next_quota(predecessor, [successor], 0.6, stopping=False) == 0.75
    assert next_quota(predecessor, [successor], 0.01, stopping=True) == MIN_SHUTDOWN_QUOTA
    assert next_quota(halved, [successor], 0.9, stopping=False) == 0.5, "it is never raised again"
    assert next_quota(successor, [], 0, stopping=False) == 1


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"x" * 300,
        encode("n2", ProcessRecord(1, 0.5)),
        encode("n1", ProcessRecord(1, 0.5))[3:],
        encode("n1", ProcessRecord(1, 0.5)).replace(b"0.5", b"0.6"),
    ],
    ids=["empty", "no-checksum", "another-instance", "truncated-at-the-start", "checksum-mismatch"],
)
def test_unreadable_process_record_decodes_to_none(data: bytes) -> None:
    assert decode("n1", data) is None
    assert decode("n1", encode("n1", ProcessRecord(7, 0.25))) == ProcessRecord(7, 0.25)


# The decision module while the quota changes.


def test_quota_changes_the_concurrency_limit_at_once_and_raises_warmup_one_window_later() -> None:
    settings = make_settings(instances=1, parallel_attempts=False)
    bench = DecisionBench(settings, [up_endpoint("n0", 0)])
    health = bench.state.cells.queues[0].health
    assert health
    assert concurrency_limit(bench.state, health) == 4
    bench.arrive("a")
    bench.state.volumes.by_name["v"].weight = 9
    bench.deliver(api.NewSettings(replace(settings, process_quota=0.5)))
    assert concurrency_limit(bench.state, health) == 2
    assert bench.state.budgets.process_warmup_quota == 0.5
    assert bench.state.volumes.by_name["v"].weight == 9, "a volume's learned weight is kept"
    bench.deliver(api.NewSettings(replace(settings, process_quota=1.0)))
    assert concurrency_limit(bench.state, health) == 4
    assert bench.state.budgets.process_warmup_quota == 0.5
    bench.advance(settings.overload_window_us - 10 * MS)
    bench.deliver()
    assert bench.state.budgets.process_warmup_quota == 0.5
    bench.advance(20 * MS)
    bench.deliver()
    assert bench.state.budgets.process_warmup_quota == 1.0


def max_units_in_a_window(settings: api.Settings, *quotas: dict[int, float]) -> int:
    """Return the greatest number of units that a cold backend receives in one window.

    `quotas` has, for each process, its quotas by the step at which they take effect.
    """
    sent_us: list[int] = []  # the time of each attempt, of one unit each
    benches = [DecisionBench(replace(settings, process_quota=quota[0]), []) for quota in quotas]
    for bench in benches:
        bench.deliver(api.EndpointListUpdate((up_endpoint("n0", 0, started=T0),), complete=True))
    for step in range(600):
        for bench, quota in zip(benches, quotas, strict=True):
            bench.now = max(bench.now, T0 + step * 10 * MS)
            if step and step in quota:
                bench.deliver(api.NewSettings(replace(settings, process_quota=quota[step])))
            actions = bench.arrive(f"a{step}", volume=f"v{step % 5}", units=1) + bench.advance(0)
            for send in [action for action in actions if isinstance(action, api.Send)]:
                sent_us.append(bench.now)
                bench.finish_attempt(send.request, duration_us=0)
    return max(sum(end - settings.overload_window_us < time <= end for time in sent_us) for end in sent_us)


def test_two_processes_send_a_cold_backend_no_more_than_one_process_may_in_any_window() -> None:
    """The predecessor's quota falls from 1 to 0.5 to 0, while the successor's rises from 0 to 0.5 to 1."""
    settings = make_settings(instances=1, parallel_attempts=False, warmup_units=9.0)
    max_of_one_process = max_units_in_a_window(settings, {0: 1.0})
    assert max_of_one_process >= 9
    assert (
        max_units_in_a_window(settings, {0: 1.0, 100: 0.5, 300: 0.0}, {0: 0.0, 100: 0.5, 300: 1.0})
        <= max_of_one_process
    )
