"""Quota shares of the processes of one instance."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.decision import interface as api
from garnetlanding.decision.concurrency import concurrency_limit
from garnetlanding.ops.process_quota import (
    MIN_ENDING_SHARE,
    ProcessRecord,
    decode,
    encode,
    next_share,
)
from tests.support.clock import MS, T0
from tests.support.decision_bench import DecisionBench, make_settings, up_endpoint


@given(
    st.lists(
        st.tuples(st.sampled_from(["born", "look", "end", "gone"]), st.integers(0, 3), st.floats(0, 1)),
        max_size=60,
    )
)
def test_shares_never_add_up_to_more_than_one(steps: list[tuple[str, int, float]]) -> None:
    records: dict[int, ProcessRecord] = {0: ProcessRecord(0, 1.0)}
    ending: set[int] = set()
    for n, (what, which, share) in enumerate(steps, 1):
        who = sorted(records)[which % len(records)] if records else None
        if what == "born" and len(records) < 4:
            records[n] = ProcessRecord(n, 0.0)
        elif who is not None and what == "gone":
            del records[who]
        elif who is not None:
            ending |= {who} if what == "end" else set()
            others = [record for other, record in records.items() if other != who]
            part = next_share(records[who], others, share * records[who].share, who in ending)
            assert 0 <= part <= 1
            records[who] = replace(records[who], share=part)
        assert sum(record.share for record in records.values()) <= 1 + 1e-9


def test_predecessor_lowers_its_share_to_half_or_its_use_and_further_when_ending() -> None:
    predecessor, successor = ProcessRecord(1, 1.0), ProcessRecord(2, 0.0)
    assert next_share(successor, [predecessor], 0, False) == 0, "nothing until the predecessor has come down"
    assert next_share(predecessor, [successor], 0.1, False) == 0.5
    assert next_share(predecessor, [successor], 0.6, False) == 0.75
    assert next_share(predecessor, [successor], 0.01, True) == MIN_ENDING_SHARE
    assert next_share(replace(predecessor, share=0.5), [successor], 0.9, False) == 0.5, "it never raises it"
    assert next_share(successor, [], 0, False) == 1


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"x" * 300,
        encode("n2", ProcessRecord(1, 0.5)),
        encode("n1", ProcessRecord(1, 0.5))[3:],
        encode("n1", ProcessRecord(1, 0.5)).replace(b"0.5", b"0.6"),
    ],
    ids=["empty", "no-checksum", "another-instance", "cut-at-the-start", "checksum-does-not-hold"],
)
def test_unreadable_process_record_decodes_to_none(data: bytes) -> None:
    assert decode("n1", data) is None
    assert decode("n1", encode("n1", ProcessRecord(7, 0.25))) == ProcessRecord(7, 0.25)


# The decision module under a changing share.


def test_share_changes_depth_at_once_and_grows_warmup_one_window_later() -> None:
    config = make_settings(instances=1, parallel_attempts=False)
    b = DecisionBench(config, [up_endpoint("n0", 0)])
    h = b.c.state.cells[0].health
    assert h
    assert concurrency_limit(b.c.state, h) == 4
    b.ask("a")
    b.c.state.volumes["v"].weight = 9
    b.tell(api.NewSettings(replace(config, process_share=0.5)))
    assert concurrency_limit(b.c.state, h) == 2
    assert b.c.state.process_warmup_share == 0.5
    assert b.c.state.volumes["v"].weight == 9, "what was learnt of a volume is not forgotten"
    b.tell(api.NewSettings(replace(config, process_share=1.0)))
    assert concurrency_limit(b.c.state, h) == 4
    assert b.c.state.process_warmup_share == 0.5
    b.run(config.overload_window_us - 10 * MS)
    b.tell()
    assert b.c.state.process_warmup_share == 0.5
    b.run(20 * MS)
    b.tell()
    assert b.c.state.process_warmup_share == 1.0


def fullest_window(config: api.Settings, *parts: dict[int, float]) -> int:
    """Most units that a cold brick gets in one window from processes whose parts change at those steps."""
    sent: list[int] = []
    benches = [DecisionBench(replace(config, process_share=part[0]), []) for part in parts]
    for bench in benches:
        bench.tell(api.EndpointListUpdate((up_endpoint("n0", 0, started=T0),), whole=True))
    for step in range(600):
        for bench, part in zip(benches, parts, strict=True):
            bench.now = max(bench.now, T0 + step * 10 * MS)
            if step and step in part:
                bench.tell(api.NewSettings(replace(config, process_share=part[step])))
            done = bench.ask(f"a{step}", volume=f"v{step % 5}", units=1) + bench.run(0)
            for send in [a for a in done if isinstance(a, api.Send)]:
                sent.append(bench.now)
                bench.end(send.request, took=0)
    return max(sum(end - config.overload_window_us < at <= end for at in sent) for end in sent)


def test_two_processes_send_a_cold_backend_no_more_than_one_process_may_in_any_window() -> None:
    """The predecessor is alone, halves, and ends; the successor has nothing, a half, and all."""
    config = make_settings(instances=1, parallel_attempts=False, warmup_units=9.0)
    most = fullest_window(config, {0: 1.0})
    assert most >= 9
    assert fullest_window(config, {0: 1.0, 100: 0.5, 300: 0.0}, {0: 0.0, 100: 0.5, 300: 1.0}) <= most
