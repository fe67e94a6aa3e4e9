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
def test_the_parts_never_add_up_to_more_than_the_whole(steps: list[tuple[str, int, float]]) -> None:
    words: dict[int, ProcessRecord] = {0: ProcessRecord(0, 1.0)}
    ending: set[int] = set()
    for n, (what, which, share) in enumerate(steps, 1):
        who = sorted(words)[which % len(words)] if words else None
        if what == "born" and len(words) < 4:
            words[n] = ProcessRecord(n, 0.0)
        elif who is not None and what == "gone":
            del words[who]
        elif who is not None:
            ending |= {who} if what == "end" else set()
            others = [word for other, word in words.items() if other != who]
            part = next_share(words[who], others, share * words[who].share, who in ending)
            assert 0 <= part <= 1
            words[who] = replace(words[who], share=part)
        assert sum(word.share for word in words.values()) <= 1 + 1e-9


def test_an_elder_comes_down_to_half_or_what_it_uses_and_at_its_end_to_little() -> None:
    elder, newer = ProcessRecord(1, 1.0), ProcessRecord(2, 0.0)
    assert next_share(newer, [elder], 0, False) == 0, "nothing until the elder has come down"
    assert next_share(elder, [newer], 0.1, False) == 0.5 and next_share(elder, [newer], 0.6, False) == 0.75
    assert next_share(elder, [newer], 0.01, True) == MIN_ENDING_SHARE
    assert next_share(replace(elder, share=0.5), [newer], 0.9, False) == 0.5, "it never raises it"
    assert next_share(newer, [], 0, False) == 1


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"x" * 300,
        encode("n2", ProcessRecord(1, 0.5)),
        encode("n1", ProcessRecord(1, 0.5))[3:],
        encode("n1", ProcessRecord(1, 0.5)).replace(b"0.5", b"0.6"),
    ],
)
def test_a_word_that_cannot_be_read_is_none(data: bytes) -> None:
    assert decode("n1", data) is None and decode("n1", encode("n1", ProcessRecord(7, 0.25))) == ProcessRecord(
        7, 0.25
    )


# In the module.


def test_a_part_holds_for_depth_at_once_and_grows_for_cold_bricks_one_window_later() -> None:
    config = make_settings(instances=1, parallel_attempts=False)
    b = DecisionBench(config, [up_endpoint("n0", 0)])
    h = b.c.state.cells[0].health
    assert h and concurrency_limit(b.c.state, h) == 4
    b.ask("a")
    b.c.state.volumes["v"].weight = 9
    b.tell(api.NewSettings(replace(config, process_share=0.5)))
    assert concurrency_limit(b.c.state, h) == 2 and b.c.state.warmup_share == 0.5
    assert b.c.state.volumes["v"].weight == 9, "what was learnt of a volume is not forgotten"
    b.tell(api.NewSettings(replace(config, process_share=1.0)))
    assert concurrency_limit(b.c.state, h) == 4 and b.c.state.warmup_share == 0.5
    b.run(config.overload_window_us - 10 * MS)
    b.tell()
    assert b.c.state.warmup_share == 0.5
    b.run(20 * MS)
    b.tell()
    assert b.c.state.warmup_share == 1.0


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


def test_two_processes_send_a_cold_brick_no_more_than_one_may_in_any_window() -> None:
    """The elder is alone, halves, and ends; the newer one has nothing, a half, and all."""
    config = make_settings(instances=1, parallel_attempts=False, warmup_units=9.0)
    most = fullest_window(config, {0: 1.0})
    assert most >= 9
    assert fullest_window(config, {0: 1.0, 100: 0.5, 300: 0.0}, {0: 0.0, 100: 0.5, 300: 1.0}) <= most
