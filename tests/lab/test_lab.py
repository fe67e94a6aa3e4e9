"""Experiments: their files, their weather, their checks; and processes of the program under faults."""

from __future__ import annotations

import json
import os
import pathlib
import signal
from dataclasses import replace
from typing import Any

import pytest

from garnetlanding import cli
from garnetlanding.config.section import ConfigError
from garnetlanding.lab import checks, figures, history, latency, plan
from garnetlanding.lab.experiment import Experiment, Fault, Load, load, read
from garnetlanding.lab.limits import SECOND
from garnetlanding.lab.run import Interrupted, LabError, Result, run
from garnetlanding.lab.streams import Link, Passage, Streams
from garnetlanding.lab.weather import Weather

ROOT = pathlib.Path(__file__).parents[2]
CALM = Experiment("calm", 5, 3, 3, 4 * SECOND, Load(volumes=3, rate=90.0))


def fault(kind: str, at: float, until: float, **more: Any) -> Fault:
    return Fault(kind, int(at * SECOND), int(until * SECOND), **more)


# Files


@pytest.mark.parametrize(
    "change, key",
    [
        ({"name": ""}, "key name"),
        ({"heads": 99}, "key heads"),
        ({"extra": 1}, "key extra: not known"),
        ({"load": {"rate": 0}}, "key load.rate"),
        ({"load": {"hosts": 4}}, "key load.hosts"),
        ({"fault": [{"kind": "rain"}]}, "key fault.0.kind"),
        ({"fault": [{"kind": "kill", "at_s": 1, "until_s": 2}]}, "key fault.0.who: which head"),
        (
            {"fault": [{"kind": "kill", "who": "n3", "at_s": 1, "until_s": 2}]},
            "key fault.0.who: 'n3' is none of",
        ),
        ({"fault": [{"kind": "cut", "at_s": 2, "until_s": 2}]}, "key fault.0.until_s: not after"),
        ({"fault": [{"kind": "cut", "at_s": 9, "until_s": 10}]}, "key fault.0.at_s"),
        ({"fault": [{"kind": "loss", "at_s": 1, "until_s": 2, "share": 2}]}, "key fault.0.share"),
        ({"fleet": False, "group": 2}, "key group: only with"),
        ({"budgets": 1}, "key budgets: expected"),
        (
            {"fault": [{"kind": "join", "who": "n1", "at_s": 1, "until_s": 2}]},
            "fault.0.until_s: join has one",
        ),
        ({"fault": {"kind": "cut"}}, "key fault: expected"),
        ({"fleet": 1}, "key fleet: expected"),
        (
            {"fault": [{"kind": "upgrade", "who": "n1", "at_s": 1, "until_s": 2, "how": "x"}]},
            "key fault.0.how",
        ),
        ({"fault": [{"kind": "lag", "at_s": 1, "until_s": 2}]}, "key fault.0.link"),
        (
            {"fault": [{"kind": "drain", "who": "n1", "at_s": 1, "until_s": 2}]},
            "fault.0.until_s: drain has one",
        ),
    ],
)
def test_a_fault_in_an_experiments_file_names_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError, match=key):
        read({"name": "x"} | change)


def test_every_experiment_that_is_delivered_is_sound() -> None:
    files = sorted((ROOT / "experiments").glob("*.toml"))
    assert len(files) >= 5 and all(load(str(path)).name == path.stem for path in files)


def test_the_command_line_says_what_is_wrong(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(["lab", "run", str(tmp_path / "none.toml")]) == 2
    bad = tmp_path / "bad.toml"
    bad.write_text("name = 'x'\nheads = 0\n")
    assert cli.main(["lab", "run", str(bad)]) == 2
    assert cli.main(["lab", "compare", str(tmp_path)]) == 2
    told = capsys.readouterr().err
    assert "cannot read" in told and "key heads" in told and "no result.json" in told
    (tmp_path / "result.json").write_text(json.dumps({"asked": 3, "outcomes": {"served": 3}, "sound": True}))
    assert cli.main(["lab", "compare", str(tmp_path), "--json"]) == 0


# Decisions


def test_the_same_seed_asks_the_same_and_has_the_same_weather() -> None:
    half = dict(share=0.5, span_us=9)
    storm = replace(CALM, faults=(fault("loss", 0, 4, **half), fault("double", 0, 4, **half)))
    assert plan.draw(storm) == plan.draw(storm) != plan.draw(replace(storm, seed=6))
    one, two = Weather(storm), Weather(storm)
    fates = [one.fate(0, 1, n) for n in range(200)]
    assert fates == [two.fate(0, 1, n) for n in range(200)]
    assert {len(f) for f in fates} == {0, 1, 2} and 70 < one.fates["loss"] < 130


def test_a_cut_holds_one_way_and_between_its_times() -> None:
    weather = Weather(replace(CALM, faults=(fault("cut", 1, 2, sender=0, receiver=1),)))
    assert weather.fate(0, 1, SECOND) == [] and weather.fate(1, 0, SECOND) == [0]
    assert weather.fate(0, 1, SECOND - 1) == weather.fate(0, 1, 2 * SECOND) == [0]
    assert weather.fate(0, 2, SECOND) == [0]


def test_a_stream_fares_as_its_link_and_its_time_say() -> None:
    faults = (
        fault("lag", 1, 2, link="brick", who=0, brick=1, span_us=9),
        fault("freeze", 1, 2, link="client"),
        fault("trickle", 0, 4, link="discovery", who=1, span_us=5),
        fault("reset", 3, 4, link="brick"),
    )
    streams = Streams(replace(CALM, faults=faults), 32)
    at = SECOND
    assert streams.passage(Link("brick", 0, 1), at) == Passage(9)
    assert streams.passage(Link("brick", 0, 2), at) == streams.passage(Link("brick", 1, 1), at) == Passage()
    assert streams.passage(Link("client", 2), at + 400_000) == Passage(600_000)
    assert streams.passage(Link("discovery", 1), 0) == Passage(0, 32, 5)
    assert streams.refuses(Link("brick", 2, 0), 3 * at) and not streams.refuses(Link("client", 2), 3 * at)
    assert streams.resets() == [3 * at] and not Streams(CALM, 32).named("brick")


def test_the_busiest_head_moves_when_it_should() -> None:
    moving = replace(CALM, load=replace(CALM.load, shift_us=SECOND, lead=1.0))
    heads = {(r.volume, r.at_us // SECOND): r.head for r in plan.draw(moving)}
    assert len({heads[plan.volume_name(1), second] for second in (0, 1)}) == 2


# Checks: each finds what it is there for


def answered(requests: list[plan.Request], outcome: str = "served") -> list[dict[str, Any]]:
    lines: list[dict[str, Any]] = []
    for r in requests:
        lines.append({"t": r.at_us, "who": "bricks", "what": "ran", "id": r.id, "volume": r.volume})
        lines.append({"t": r.at_us + 1, "who": "clients", "what": "answer", "id": r.id, "outcome": outcome})
    return lines


def test_the_checks_find_what_is_broken_and_nothing_else() -> None:
    slow = replace(CALM, load=replace(CALM.load, rate=30.0))
    requests = plan.draw(slow)
    sound = answered(requests)
    assert checks.check(slow, requests, sound).sound
    first = requests[0]

    def found(*lines: dict[str, Any], without: int = 0) -> str:
        return " ".join(checks.check(slow, requests, [*sound[without:], *lines]).broken)

    twice = {"t": 9, "who": "clients", "what": "answer", "id": first.id, "outcome": "served"}
    assert "one answer" in found(twice)
    assert "never noted" in found(without=2)
    assert "no brick ran it" in found(without=1)
    ran = {"t": 9, "who": "bricks", "what": "ran", "id": first.id, "volume": first.volume}
    assert "ran 4 times" in found(*[ran] * 3)
    assert "more behind" in found({"t": 9, "who": "clients", "what": "extra", "id": first.id, "count": 1})
    parts = [
        {"t": 9, "what": "parts", "who": f"n{n}", "life": 1, "until": 99, "parts": {plan.volume_name(0): 0.7}}
        for n in (0, 1)
    ]
    assert "add up to 1.400" in found(*parts) and not found(parts[0])
    assert not found(parts[0] | {"until": 9}, parts[1]), "that head looks again before it sends"
    seen = {"t": 5, "what": "seen", "who": "n1", "servers": {"b0": ["dead", 5]}}
    doubt = {"t": 9, "what": "doubted", "who": "n0", "servers": {"b0": 5 + 2 * SECOND}}
    assert not found(seen, doubt) and "nobody has seen in time" in found(doubt)
    assert "doubts 2 servers" in found(seen, doubt | {"servers": dict.fromkeys(("b0", "b1"), 5)})
    lost = answered(requests, "lost")
    assert len(checks.check(slow, requests, lost).broken) >= len(requests)
    killed = replace(slow, faults=tuple(fault("kill", 0, 4, who=n) for n in range(3)))
    soon = replace(slow, faults=tuple(fault("kill", 0, 1, who=n) for n in range(3)))
    again = [{"t": SECOND + 9, "who": f"n{n}", "what": "up"} for n in range(3)]
    assert [b for b in checks.check(soon, requests, lost + again).broken if "one answer" in b], "came back"
    assert not [b for b in checks.check(soon, requests, lost).broken if "one answer" in b], "has not yet"
    assert not [b for b in checks.check(killed, requests, lost).broken if "one answer" in b]


def test_a_ban_that_does_not_hold_is_found() -> None:
    banned = replace(CALM, heads=2, faults=(fault("disable", 1, 4, who=0, brick=1),))
    out = [{"t": 2, "what": "bans", "who": f"n{n}", "out": ["b1"]} for n in (0, 1)]
    ran = {"t": SECOND, "who": "bricks", "what": "ran", "id": "r", "brick": 1, "volume": "v"}

    def found(*lines: dict[str, Any]) -> str:
        return " ".join(checks.check(banned, [], list(lines)).broken)

    assert found(*out) == "" and "which all heads had out" in found(*out, ran)
    assert "differ at the end" in found(out[0], ran) and "which" not in found(out[0], ran)


def test_a_limit_that_is_passed_is_found() -> None:
    requests = plan.draw(replace(CALM, load=replace(CALM.load, rate=200.0)))
    findings = checks.check(CALM, requests, answered(requests))
    assert findings.over > 20 and any(b.startswith("limits:") for b in findings.broken)


def test_a_runs_figures_second_by_second() -> None:
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
    rows = [row.as_row() for row in figures.seconds(lines, figures.began(lines))]
    assert [row["served"] for row in rows] == [1, 0, 0] and rows[2]["refused"] == 1
    assert (rows[0]["p50_ms"], rows[0]["doubted"], rows[0]["faults"]) == (2.0, 1, "cut all")
    assert [figures.percentile(range(0, 100_000, 1000), share) for share in (0, 0.5, 0.99)] == [0, 50, 99]


def test_latencies_add_up_over_runs() -> None:
    lines: list[dict[str, Any]] = [
        {"what": "answer", "outcome": "served", "took": n * 1000} for n in range(1, 101)
    ]
    one = latency.histogram([*lines, {"what": "answer", "outcome": "refused", "took": 9 * SECOND}])
    told = latency.milliseconds(one)
    assert told["count"] == 100 and told["max"] == pytest.approx(100, rel=0.01)
    assert told["p50"] == pytest.approx(50, rel=0.01) and told["p99"] == pytest.approx(99, rel=0.01)
    one.add(latency.histogram([{"what": "answer", "outcome": "served", "took": 3600 * SECOND}]))
    assert latency.milliseconds(one)["max"] == pytest.approx(60_000, rel=0.01)
    assert latency.milliseconds(latency.histogram([])) == {}


def test_a_history_cut_short_is_read_and_a_damaged_one_is_an_error(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "n0.history"
    path.write_bytes(b'{"t":2,"what":"b"}\n{"t":1,"what":"a"}\n{"t":3,"wh')
    assert [line["what"] for line in history.read([path])] == ["a", "b"]
    path.write_bytes(b'{"t":2,"what":"b"}\n{"t":\n{"t":3,"what":"c"}\n')
    with pytest.raises(history.BadHistory, match="line 2"):
        history.read([path])


# Processes. Judged by counts and histories.


def play(tmp_path: pathlib.Path, experiment: Experiment) -> Result:
    result = run(experiment, tmp_path / "run")
    assert result.findings.sound, result.findings.broken
    assert result.findings.outcomes["served"] > 0
    return result


def believed(result: Result, head: int, volume: int = 0) -> list[tuple[float, float]]:
    """The parts of a volume that a head has believed its own: seconds after the clients began, and which."""
    name = plan.volume_name(volume)
    return [
        ((line["t"] - result.began) / SECOND, line["parts"][name])
        for line in result.lines
        if line["what"] == "parts" and line["who"] == f"n{head}" and name in line["parts"]
    ]


ONE_HEAD = Load(volumes=3, rate=90.0, lead=1.0)  # each volume's requests come through its first head alone


def test_processes_leave_a_limit_to_the_head_that_is_asked(tmp_path: pathlib.Path) -> None:
    result = play(tmp_path, replace(CALM, load=ONE_HEAD, length_us=5 * SECOND))
    assert max(part for _, part in believed(result, 0)) > 0.9
    assert result.findings.lives == {"n0": 1, "n1": 1, "n2": 1}
    assert cli.main(["lab", "report", str(tmp_path / "run"), "--charts", "--json"]) == 0
    assert {path.name for path in (tmp_path / "run").iterdir()} >= {"series.csv", "answers.png", "parts.png"}
    assert cli.main(["lab", "report", str(tmp_path)]) == 2
    with pytest.raises(LabError, match="not empty"):
        run(CALM, tmp_path / "run")


@pytest.mark.parametrize("how", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_whatever_ends_the_lab_ends_every_process_that_it_started(
    how: signal.Signals, tmp_path: pathlib.Path
) -> None:
    def interrupt(done: float) -> None:
        os.kill(os.getpid(), how)

    # A shell that starts tests in the background has them ignore Ctrl-C, and Python then leaves it ignored.
    old = signal.signal(signal.SIGINT, signal.default_int_handler)
    try:
        with pytest.raises(KeyboardInterrupt if how == signal.SIGINT else Interrupted):
            run(replace(CALM, faults=(fault("stop", 0, 4, who=1),)), tmp_path / "run", interrupt)
    finally:
        signal.signal(signal.SIGINT, old)
    pids = json.loads((tmp_path / "run/pids.json").read_text())
    assert len(pids) == 3
    for pid in pids:
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)


def test_a_process_that_is_cut_off_keeps_to_its_even_part_and_comes_back(tmp_path: pathlib.Path) -> None:
    cut = (fault("cut", 2, 4, sender=0), fault("cut", 2, 4, receiver=0))
    result = play(tmp_path, replace(CALM, load=ONE_HEAD, length_us=7 * SECOND, faults=cut))
    parts = believed(result, 0)
    assert any(part == 0.5 and 2 < at < 4.5 for at, part in parts), "alone"
    assert any(part > 0.9 and at > 4 for at, part in parts), "and heard again"


def test_a_process_that_is_killed_comes_back_with_nothing_of_its_earlier_life(tmp_path: pathlib.Path) -> None:
    kill = (fault("kill", 2, 2.5, who=0),)
    result = play(tmp_path, replace(CALM, load=ONE_HEAD, length_us=7 * SECOND, faults=kill))
    assert result.findings.lives["n0"] == 2
    lives = [line["life"] for line in result.lines if line["what"] == "start" and line["who"] == "n0"]
    assert lives == sorted(lives)
    first = next(
        line
        for line in result.lines
        if line["what"] == "parts" and line["life"] == lives[1] and line["parts"]
    )
    assert set(first["parts"].values()) == {0.0}, "until what it may have left to others has ended"
    assert any(part >= 0.5 for at, part in believed(result, 0) if at > 2.5)


def test_a_process_that_stood_still_past_its_lease_sends_nothing_on_it(tmp_path: pathlib.Path) -> None:
    stop = (fault("stop", 2, 4, who=0),)
    load_both = replace(ONE_HEAD, lead=0.6)
    result = play(tmp_path, replace(CALM, load=load_both, length_us=6 * SECOND, faults=stop))
    after = [part for at, part in believed(result, 0) if at >= 4]
    assert after and after[0] <= 0.5, "what others had left to it had gone back meanwhile"


def test_lost_doubled_late_and_overtaken_messages_between_processes(tmp_path: pathlib.Path) -> None:
    storm = tuple(
        fault(kind, 0, 5, share=0.3, span_us=60_000) for kind in ("loss", "double", "delay", "reorder")
    )
    result = play(
        tmp_path,
        replace(
            CALM, length_us=5 * SECOND, faults=storm, load=replace(ONE_HEAD, lead=0.5, shift_us=2 * SECOND)
        ),
    )
    assert all(result.fates[kind] for kind in ("loss", "double", "delay", "reorder"))


def test_a_brick_that_falls_silent_and_a_head_that_is_replaced_cost_no_answer(tmp_path: pathlib.Path) -> None:
    both = (fault("silent", 1, 2.5, who=1), fault("term", 1.5, 2, who=2))
    result = play(tmp_path, replace(CALM, length_us=5 * SECOND, faults=both))
    assert result.findings.lives["n2"] == 2
    late = result.began + 4 * SECOND
    ran = {line["brick"] for line in result.lines if line["what"] == "ran" and line["t"] > late}
    assert ran == {0, 1, 2}, "no healthy brick is shunned"


def test_a_ban_said_at_one_process_holds_at_all_and_is_lifted_at_another(tmp_path: pathlib.Path) -> None:
    """One head is cut off meanwhile, and one is killed: it comes back with what it had on disk."""
    calls = (
        fault("disable", 0.5, 6, who=0, brick=1),
        fault("cut", 0.2, 1.5, receiver=2),
        fault("kill", 1.6, 2.0, who=1),
        fault("enable", 3.6, 6, who=2, brick=1),
    )
    result = play(tmp_path, replace(CALM, length_us=6 * SECOND, faults=calls))
    called = [line["status"] for line in result.lines if line["what"] == "called"]
    assert called == [200, 200]
    said = [(line["who"], line["out"]) for line in result.lines if line["what"] == "bans"]
    assert {who for who, out in said if out == ["b1"]} == {"n0", "n1", "n2"}
    assert [sorted(who for who, out in said[-3:]), said[-1][1]] == [["n0", "n1", "n2"], []]


def test_heads_hear_of_a_brick_that_refuses_and_none_doubts_what_nobody_saw(tmp_path: pathlib.Path) -> None:
    down = (fault("down", 1, 3, who=2),)
    result = play(tmp_path, replace(CALM, length_us=4 * SECOND, faults=down))
    seen = {line["who"] for line in result.lines if line["what"] == "seen" and "b2" in line["servers"]}
    assert seen and result.findings.doubts
    late = result.began + 3.5 * SECOND
    assert any(line["what"] == "ran" and line["brick"] == 2 and line["t"] > late for line in result.lines)


def test_a_process_that_lies_does_not_take_the_others_servers(tmp_path: pathlib.Path) -> None:
    """Every brick goes on serving what comes through the heads that are lied to."""
    lie = (fault("lie", 0.5, 4, who=0),)
    result = play(tmp_path, replace(CALM, faults=lie))
    assert result.fates["lie"] and result.findings.doubts
    served = {line["id"] for line in result.lines if line["what"] == "answer" and line["outcome"] == "served"}
    ran = {
        line["brick"]
        for line in result.lines
        if line["what"] == "ran" and line["id"] in served and line["t"] > result.began + 2 * SECOND
    }
    assert ran == {0, 1, 2}


@pytest.mark.parametrize("name, lost", [("upgrade", 0), ("upgrade-stalled", 30), ("ban-moving", 0)])
def test_the_hard_cases_of_two_processes_of_one_head(name: str, lost: int, tmp_path: pathlib.Path) -> None:
    """Both banning at the moment of SIGTERM; the old one standing still with its locks; a ban while a reload
    moves the head to another discovery. Bans hold at every head in the end."""
    result = play(tmp_path, load(str(ROOT / "experiments" / f"{name}.toml")))
    assert all(line["status"] == 200 for line in result.lines if line["what"] == "called")
    outcomes = result.findings.outcomes
    assert outcomes["lost"] + outcomes["none"] + outcomes["failed"] <= lost


@pytest.mark.parametrize("name", ["split-group", "twin", "clock-steps"])
def test_processes_that_come_and_go_at_sides_that_do_not_hear_each_other(
    name: str, tmp_path: pathlib.Path
) -> None:
    """Heads found from seeds join on both sides of a cut; a second process has a head's number; wall clocks
    step around bans."""
    result = play(tmp_path, load(str(ROOT / "experiments" / f"{name}.toml")))
    evens = [line for line in result.lines if line["what"] == "heads" and line["even"]]
    if name == "split-group":
        first = min(line["t"] for line in evens if line["who"] in ("n4", "n5"))
        assert (first - result.began) / SECOND > 10, "neither uses a part before the cut has healed"
    if name == "twin":
        parts = [
            line["parts"]
            for line in result.lines
            if line["what"] == "parts" and line["who"] == "n1" and line["parts"]
        ]
        assert any(max(part.values()) > 0 for part in parts) and not any(parts[-1].values()), "stood back"


def test_a_cold_brick_is_sent_no_more_than_it_bears_by_all_heads(tmp_path: pathlib.Path) -> None:
    result = play(tmp_path, load(str(ROOT / "experiments" / "cold-shared.toml")))
    assert 0 < result.findings.cold_most <= 1.0
    shares = [line["parts"].get("cold:b0", 0) for line in result.lines if line["what"] == "shares"]
    assert max(shares) > 0.4, "the head that is asked has more than an even part, which is a third"


def test_streams_that_stand_open_drip_or_break_cost_no_answer(tmp_path: pathlib.Path) -> None:
    broken = (
        fault("freeze", 1, 2.5, link="brick", who=0, brick=0),
        fault("reset", 3, 3.3, link="brick"),
        fault("trickle", 1, 3, link="brick", who=1, span_us=2000),
        fault("reset", 1, 2, link="discovery"),
    )
    result = play(tmp_path, replace(CALM, length_us=5 * SECOND, faults=broken))
    assert result.fates["connections"] > 9
    late = result.began + 4 * SECOND
    assert {line["brick"] for line in result.lines if line["what"] == "ran" and line["t"] > late} == {0, 1, 2}
