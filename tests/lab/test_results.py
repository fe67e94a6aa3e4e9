"""The results of a run: counts by second, latencies, histories."""

from __future__ import annotations

import pathlib
from typing import Any

import pytest

from garnetlanding.lab import history, latency, time_series
from garnetlanding.lab.limits import SECOND


def test_results_of_a_run_are_counted_by_second() -> None:
    lines: list[dict[str, Any]] = [
        {"t": 5 * SECOND + at, "who": who, "what": what, **more}
        for at, who, what, more in (
            (0, "clients", "asked", {}),
            (9, "bricks", "ran", {}),
            (10, "clients", "answer", {"outcome": "served", "took": 2000}),
            (11, "n0", "doubted", {"servers": {"b1": 9}}),
            (12, "bricks", "fault", {"kind": "cut", "which": -1}),
            (2 * SECOND, "clients", "answer", {"outcome": "refused", "took": 1}),
        )
    ]
    rows = [
        row.encode() for row in time_series.summarize_by_second(lines, time_series.first_request_us(lines))
    ]
    assert [row["served"] for row in rows] == [1, 0, 0]
    assert rows[2]["refused"] == 1
    assert (rows[0]["p50_ms"], rows[0]["doubted"], rows[0]["faults"]) == (2.0, 1, "cut all")
    assert [time_series.percentile_ms(range(0, 100_000, 1000), share) for share in (0, 0.5, 0.99)] == [
        0,
        50,
        99,
    ]


def test_latency_histograms_merge_over_runs() -> None:
    lines: list[dict[str, Any]] = [
        {"what": "answer", "outcome": "served", "took": n * 1000} for n in range(1, 101)
    ]
    one = latency.histogram([*lines, {"what": "answer", "outcome": "refused", "took": 9 * SECOND}])
    shown = latency.percentiles_ms(one)
    assert shown["count"] == 100
    assert shown["max"] == pytest.approx(100, rel=0.01)
    assert shown["p50"] == pytest.approx(50, rel=0.01)
    assert shown["p99"] == pytest.approx(99, rel=0.01)
    one.add(latency.histogram([{"what": "answer", "outcome": "served", "took": 3600 * SECOND}]))
    assert latency.percentiles_ms(one)["max"] == pytest.approx(60_000, rel=0.01)
    assert latency.percentiles_ms(latency.histogram([])) == {}


def test_truncated_history_is_read_and_a_corrupt_one_is_an_error(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "n0.history"
    path.write_bytes(b'{"t":2,"what":"b"}\n{"t":1,"what":"a"}\n{"t":3,"wh')
    assert [line["what"] for line in history.read([path])] == ["a", "b"]
    path.write_bytes(b'{"t":2,"what":"b"}\n{"t":\n{"t":3,"what":"c"}\n')
    with pytest.raises(history.CorruptHistoryError, match="line 2"):
        history.read([path])
