"""The audit: its form, its files under faults, what many heads' records say together; and who is current."""

from __future__ import annotations

import errno
import json
import os
import pathlib
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding import cli, config
from garnetlanding.audit import merge, report, segments
from garnetlanding.audit.errors import CorruptSegmentError
from garnetlanding.audit.limits import LIMITS, AuditLimits
from garnetlanding.audit.recorder import Recorder
from garnetlanding.audit.records import Incarnation, InstanceState, MessageId
from garnetlanding.audit.segment_files import list_segments
from garnetlanding.audit.segment_reader import read_segments
from garnetlanding.audit.segment_writer import SegmentWriter
from garnetlanding.audit.segments import Segment
from garnetlanding.audit.setup import AuditSetup
from garnetlanding.audit.setup import read as read_setup
from garnetlanding.lab.experiment import load
from garnetlanding.lab.run import run
from garnetlanding.store.staleness_guard import StalenessGuard
from tests.helpers import SECOND

ROOT = pathlib.Path(__file__).parents[2]
PAYLOADS = st.lists(
    st.dictionaries(st.text(max_size=5), st.integers() | st.text(max_size=9), max_size=4),
    min_size=1,
    max_size=6,
)


def built(payloads: list[dict[str, Any]], before: bytes = segments.FIRST_HASH, number: int = 1) -> bytes:
    data, last = segments.encode_header("n0", 7, number, before), before
    for payload in payloads:
        more, last = segments.encode_record(last, payload)
        data += more
    return data


# The form


@given(PAYLOADS)
def test_what_is_recorded_is_read(payloads: list[dict[str, Any]]) -> None:
    found = segments.read_segment("f", built(payloads), False)
    assert (found.instance, found.incarnation, found.number, found.records) == ("n0", 7, 1, payloads)


def test_a_segment_cut_at_any_byte_is_torn_there_and_nothing_before_it_is_lost() -> None:
    payloads = [{"kind": "change", "n": n, "text": "x" * n} for n in range(4)]
    whole = built(payloads)
    ends = [len(built(payloads[:n])) for n in range(5)]
    for cut in range(ends[0], len(whole)):
        found = segments.read_segment("f", whole[:cut], True)
        kept = max(n for n in range(5) if ends[n] <= cut)
        assert found.records == payloads[:kept]
        assert found.torn_at == (None if cut == ends[kept] else ends[kept])
        if cut != ends[kept]:
            with pytest.raises(CorruptSegmentError, match=f"f: offset {ends[kept]}: cut short"):
                segments.read_segment("f", whole[:cut], False)
    for cut in range(ends[0]):
        with pytest.raises(CorruptSegmentError, match="f: offset"):
            segments.read_segment("f", whole[:cut], True)


def test_a_bit_changed_anywhere_is_found() -> None:
    payloads = [{"kind": "change", "n": n} for n in range(3)]
    whole = built(payloads)
    last = len(built(payloads[:2]))
    for bit in range(len(whole) * 8):
        bad = bytearray(whole)
        bad[bit // 8] ^= 1 << bit % 8
        try:
            found = segments.read_segment("f", bytes(bad), True)
        except CorruptSegmentError as problem:
            assert "f: offset" in str(problem)
            assert problem.intact is None or all(
                p in payloads for p in problem.intact.records
            ), "nothing is guessed"
        else:
            # The last record's length says that it goes on: as good as a torn tail, and said so.
            assert found.torn_at == last and found.records == payloads[:2] and bit // 8 < last + 4


def test_a_record_taken_out_or_exchanged_breaks_the_chain() -> None:
    payloads = [{"n": n} for n in range(3)]
    ends = [len(built(payloads[:n])) for n in range(4)]
    whole = built(payloads)
    without = whole[: ends[1]] + whole[ends[2] :]
    with pytest.raises(CorruptSegmentError, match="does not follow"):
        segments.read_segment("f", without, True)


# Files

SMALL = AuditLimits(segment_bytes=600, total_bytes=2000)


def opened(
    folder: pathlib.Path, life: int = 1, limits: AuditLimits = LIMITS, wall: int = 1000
) -> SegmentWriter:
    return SegmentWriter(AuditSetup(str(folder), False, limits), Incarnation("n0", life), 5, lambda: wall)


def read_all(folder: pathlib.Path) -> tuple[list[Segment], list[str]]:
    found = read_segments([str(folder)])
    return found.segments, found.problems


def test_segments_are_begun_anew_and_the_oldest_dropped_and_named(tmp_path: pathlib.Path) -> None:
    audit = opened(tmp_path, limits=SMALL, wall=2_000_000_000_000 - 10**12)
    for n in range(40):
        audit.write({"kind": "checkpoint", "n": n, "text": "x" * 100})
    audit.close()
    told, problems = read_all(tmp_path)
    assert not problems and sum(map(len, map(json.dumps, (s.records for s in told)))) < 4000
    dropped = [r["up_to"] for s in told for r in s.records if r["kind"] == "dropped"]
    assert max(dropped) == [1, min(s.number for s in told) - 1]
    assert not merge.merge(told, LIMITS).problems
    assert "are missing" in merge.merge(told[1:], LIMITS).problems[0]


def test_what_is_missing_or_exchanged_is_seen(tmp_path: pathlib.Path) -> None:
    audit = opened(tmp_path, limits=AuditLimits(segment_bytes=300))
    for n in range(9):
        audit.write({"kind": "checkpoint", "n": n, "text": "x" * 60, "t": n, "taken": 0, "vector": {}})
    audit.close()
    told, _ = read_all(tmp_path)
    assert len(told) > 3
    assert merge.merge(told[:1] + told[2:], LIMITS).problems == ["n0: segments 2 to 2 of life 1 are missing"]
    forged = Segment("n0", 1, 2, bytes(16), told[1].records, told[1].last_hash)
    assert "does not follow" in merge.merge([told[0], forged, *told[2:]], LIMITS).problems[0]


def test_a_new_life_says_how_the_one_before_it_ended(tmp_path: pathlib.Path) -> None:
    audit = opened(tmp_path)
    audit.write({"kind": "checkpoint", "t": 1, "taken": 0, "vector": {}})
    audit.close()
    path = next(tmp_path.iterdir())
    path.write_bytes(path.read_bytes()[:-3])
    later = opened(tmp_path, life=2)
    later.close()
    told, problems = read_all(tmp_path)
    start = told[-1].records[0]
    assert not problems and start["follows"] == 1 and start["torn"].startswith("cut short at offset")
    fleet = merge.merge(told, LIMITS)
    assert len(fleet.problems) == 1 and "was cut short at offset" in fleet.problems[0]
    assert merge.merge(told[1:], LIMITS).problems == ["n0: the files of life 1 are missing"]
    path.write_bytes(b"nonsense")
    opened(tmp_path, life=3).close()
    assert "not a segment" in read_all(tmp_path)[1][0]


@pytest.mark.parametrize("failing", ["open", "write", "fsync", "listdir", "unlink"])
def test_a_failure_at_any_file_call_ends_the_audit_and_not_the_head(
    failing: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    limits = AuditLimits(segment_bytes=300, total_bytes=900)
    audit = SegmentWriter(AuditSetup(str(tmp_path), True, limits), Incarnation("n0", 1), 5, lambda: 1000)

    def fail(*args: Any) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, failing, fail)
    for n in range(30):
        audit.write({"kind": "checkpoint", "n": n, "text": "x" * 60})
    monkeypatch.undo()
    assert caplog.text.count("audit recording stopped") == 1
    told, problems = read_all(tmp_path)
    assert not problems, "what was written before it reads"


def test_a_new_segment_that_cannot_be_opened_leaves_nothing_to_close(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    audit = opened(tmp_path, limits=AuditLimits(segment_bytes=1))

    def fail(*args: Any) -> int:
        raise OSError(errno.EMFILE, "Too many open files")

    with monkeypatch.context() as patched:
        patched.setattr(os, "open", fail)
        audit.write({"kind": "checkpoint"})
    with open(tmp_path / "other", "wb") as other:  # takes the number of the descriptor that was closed
        audit.close()
        other.write(b"still open")
    assert (tmp_path / "other").read_bytes() == b"still open"


def test_a_disk_that_takes_half_a_record_leaves_a_torn_tail(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    audit, real = opened(tmp_path), os.write
    monkeypatch.setattr(os, "write", lambda fd, data: real(fd, data[: len(data) // 2]))
    audit.write({"kind": "checkpoint"})
    audit.write({"kind": "checkpoint"})
    monkeypatch.undo()
    told, problems = read_all(tmp_path)
    assert not problems and told[0].torn_at and len(told[0].records) == 1


# The recorder


def test_a_change_is_recorded_before_anything_is_decided_by_it_and_nothing_else_is() -> None:
    now, kept = {"settings": "1.1#a", "list": "1"}, list[dict[str, Any]]()
    received: MessageId | None = None
    recorder = Recorder(
        AuditLimits(checkpoint_us=100),
        {name: lambda name=name: now[name] for name in now},
        lambda: InstanceState(3, 7, 5, 9, received),
        kept.append,
    )
    recorder.observe(0)
    for t in range(1, 50):
        recorder.observe(t)
    now["settings"], received = "1.2#b", MessageId(2, 8, 4)
    recorder.observe(50)
    recorder.observe(149)
    recorder.observe(150)
    recorder.change_rejected(160, "settings", "key x")
    recorder.change_rejected(161, "settings", "key x")
    recorder.end(170)
    assert [(r["t"], r["kind"]) for r in kept] == [
        (0, "change"),
        (50, "change"),
        (150, "checkpoint"),
        (160, "refused"),
        (170, "end"),
    ]
    assert kept[1]["changed"] == ["settings"] and kept[1]["heard"] == [2, 8, 4] and kept[1]["me"] == 3
    assert kept[0]["vector"]["settings"] == "1.1#a" and kept[1]["vector"]["list"] == "1"


# Many heads


def life(head: str, number: int, *records: dict[str, Any], me: int = 0, wall: int = 0) -> Segment:
    """Records at the times given, in seconds; the wall clock shows the same, `wall` off."""
    told = [{"kind": "start", "t": 0, "wall": wall, "follows": 0, "torn": "", "checkpoint_us": SECOND}]
    for r in records:
        t = r.pop("at")
        told.append(
            {
                "kind": "change",
                "t": int(t * SECOND),
                "wall": int(t * 1000) + wall,
                "taken": 0,
                "said": 0,
                "heard": [],
                "changed": [],
                "me": me,
                "vector": {},
                **r,
            }
        )
    return Segment(head, number, 1, segments.FIRST_HASH, told)


def on(at: float, version: str, **more: Any) -> dict[str, Any]:
    return {"at": at, "vector": {"settings": version, "out": ""}, "changed": ["settings"], **more}


def still(at: float, version: str) -> dict[str, Any]:
    return on(at, version, kind="checkpoint")


FLEET = [
    life("n0", 1, on(0, "1.1#a"), on(1, "1.2#b"), still(2, "1.2#b"), still(3, "1.2#b"), still(4, "1.2#b")),
    life("n1", 1, on(0, "1.1#a"), still(1, "1.1#a"), on(2.5, "1.2#b"), still(3.5, "1.2#b"), me=1, wall=-5000),
    life("n2", 1, on(0, "1.1#a"), still(0.5, "1.1#a"), on(9, "1.2#b"), me=2),
]


def test_the_same_is_read_from_the_files_in_any_order() -> None:
    fleets = []
    for seed in range(6):
        some = list(FLEET)
        random.Random(seed).shuffle(some)
        fleets.append(merge.merge(some, LIMITS))
    assert all(fleet == fleets[0] for fleet in fleets)


def test_who_acted_on_what_and_who_was_last() -> None:
    fleet = merge.merge(FLEET, LIMITS)
    [lag] = merge.lags(fleet, "settings")
    assert (lag.first, lag.last, lag.heads, lag.why) == ("n0", "n1", 3, "heard of it last")
    assert lag.until - lag.since == 1500, "by the machine's clock: n1's own is 5 s behind"
    assert fleet.problems == ["n2: nothing for 8.5 s before 9000: it stood still"]
    assert {s.head for s in merge.on(fleet, "settings", "1.2")} == {"n0", "n1", "n2"}
    assert {(s.head, s.vector["settings"]) for s in merge.at(fleet, 300)} == {
        ("n0", "1.1#a"),
        ("n2", "1.1#a"),
        ("n1", "1.2#b"),
    }, "each by its own clock"


@pytest.mark.parametrize(
    "more, why",
    [
        ([on(1.5, "1.1#a", vector={"settings": "1.1#a", "out": "not current"}), on(3, "1.2#b")], "stopped"),
        ([on(1.5, "1.1#a", vector={"settings": "1.1#a", "out": "shut out"})], "was shut out"),
        ([{"at": 1.5, "kind": "end"}], "ended in order"),
        (
            [{"at": 1.2, "kind": "refused", "component": "settings", "why": "key x"}, still(2, "1.1#a")],
            "refused the change",
        ),
        ([still(2, "1.1#a"), still(3, "1.1#a")], "acts on it still"),
        ([still(1.5, "1.1#a"), on(9, "1.2#b")], "stood still"),
    ],
)
def test_why_the_last_was_late(more: list[dict[str, Any]], why: str) -> None:
    late = life("n3", 1, on(0, "1.1#a"), still(1, "1.1#a"), *[dict(r) for r in more], me=3)
    first = life("n0", 1, on(0, "1.1#a"), on(0.9, "1.2#b"))
    [lag] = merge.lags(merge.merge([first, late], LIMITS), "settings")
    assert lag.last == "n3" and lag.why.endswith(why)


def test_contradictions_are_named() -> None:
    two = life("n1", 1, on(0, "1.2#other"), me=0)
    back = life("n2", 1, on(5, "1.2#b"), on(6, "1.3#c", wall=2000), me=2)
    found = merge.merge([*FLEET[:1], two, back], LIMITS, ["n9"]).problems
    assert any("settings 1.2 has two texts" in p for p in found)
    assert any("number 0 is that of n0 and n1" in p for p in found)
    assert any("clock went back by 3000 ms" in p for p in found) and "n9: no files" in found


def test_the_order_of_two_heads_follows_from_messages_alone() -> None:
    one = life("n0", 4, on(0, "1.1#a", said=0), on(5, "1.2#b", said=8), me=0, wall=9_000_000)
    heard = life("n1", 1, on(0, "1.1#a"), on(1, "1.2#b", heard=[0, 4, 9]), me=1)
    fleet = merge.merge([one, heard], LIMITS)
    spans = {(s.head, s.vector["settings"]): s for s in fleet.spans}
    new, other = spans["n0", "1.2#b"], spans["n1", "1.2#b"]
    assert merge.before(new, other) is True and merge.before(other, new) is False
    assert merge.before(spans["n1", "1.1#a"], new) is None, "nobody had heard of the other"


# The command line


def test_the_command_line_reads_what_heads_wrote(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    audit = opened(tmp_path, wall=1_700_000_000_000)
    for t, version in ((1, "1.1#a"), (2, "1.2#b")):
        audit.write(
            {
                "kind": "change",
                "t": t * SECOND,
                "vector": {"settings": version, "out": ""},
                "changed": ["settings"],
                "heard": [],
                "me": 0,
                "said": 0,
                "taken": 0,
            }
        )
    audit.close()
    place = str(tmp_path)
    assert cli.main(["audit", "verify", place]) == 0
    assert cli.main(["audit", "verify", place, "--head", "n5", "--json"]) == 1
    assert cli.main(["audit", "who", place, "--version", "settings=1.2", "--json"]) == 0
    assert cli.main(["audit", "who", place, "--version", "settings=9.9"]) == 1
    assert cli.main(["audit", "who", place]) == cli.main(["audit", "who", place, "--version", "x"]) == 2
    assert cli.main(["audit", "who", place, "--at", "2023-11-14T22:13:20Z"]) == 0
    assert cli.main(["audit", "who", place, "--at", "yesterday"]) == 2
    assert (
        cli.main(["audit", "lag", place])
        == cli.main(["audit", "show", place, "--chart", str(tmp_path / "c.png")])
        == 0
    )
    assert cli.main(["audit", "merge", place, "--out", str(tmp_path / "all")]) == 0
    empty = tmp_path / "empty"
    empty.mkdir()
    assert cli.main(["audit", "show", str(empty)]) == 2
    told = capsys.readouterr()
    assert "no audit in" in told.err and "n5: no files" in told.out and "1.2" in told.out
    assert len((tmp_path / "all").read_text().splitlines()) == 2
    assert (tmp_path / "c.png").stat().st_size > 1000
    assert report.milliseconds("2023-11-14T22:13:20") == 1_700_000_000_000
    assert list_segments(place)


@pytest.mark.parametrize(
    "data, key",
    [
        ({}, "key audit.folder"),
        ({"folder": "x", "sync": 1}, "key audit.sync"),
        ({"folder": "x", "checkpoint_s": 0}, "key audit.checkpoint_s"),
        ({"folder": "x", "y": 1}, "key audit.y"),
    ],
)
def test_a_fault_in_the_section_names_its_key(data: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        read_setup(data)


# Who is current

DRIFT = 0.01


def acting_late(seed: int, currency: type[StalenessGuard]) -> float:
    """One follower whose clock runs apart and whose messages are late or lost, and that stands still at
    times; a change at the writer each second. How long after a change it last acted on less, beside the
    bound."""
    rng = random.Random(seed)
    pace = 1 + rng.uniform(-DRIFT / 2, DRIFT / 2)
    one = currency(SECOND, DRIFT, 0)
    asked, answers = list[tuple[int, int]](), list[tuple[int, int, int]]()  # when it comes, number, revision
    known, asleep, ask_at, worst = 0, 0, 0, 0.0
    for now in range(0, 30 * SECOND, SECOND // 100):
        revision = now // SECOND
        for when, number in [a for a in asked if a[0] <= now]:
            asked.remove((when, number))
            if rng.random() < 0.8:
                answers.append((now + rng.randrange(1, 2 * SECOND), number, revision))
        if now < asleep:
            continue
        mine = int(now * pace)
        for when, number, told in sorted(a for a in answers if a[0] <= now):
            answers.remove((when, number, told))
            known = max(known, told)
            one.reply_received(number)
        if mine >= ask_at:
            ask_at = mine + one.query_interval_us
            asked.append((now + rng.randrange(1, SECOND), one.next_query(mine)))
        if one.is_current(mine) and known < revision:
            worst = max(worst, (now - (known + 1) * SECOND) / SECOND)
        if rng.random() < 0.002:
            asleep = now + rng.randrange(SECOND, 4 * SECOND)
    return worst


def test_no_head_acts_on_what_is_older_than_it_may_be_behind() -> None:
    worst = max(acting_late(seed, StalenessGuard) for seed in range(300))
    assert 0.5 < worst < 1.0


class FromWhenItCame(StalenessGuard):
    """A bug: an answer counts from when it came."""

    now = 0

    def is_current(self, now: int) -> bool:
        self.now = now
        return super().is_current(now)

    def reply_received(self, number: int) -> None:
        self.current_until = self.now + self._validity_us


class AnyAnswer(StalenessGuard):
    """A bug: an answer to whatever question counts as one to the last."""

    def reply_received(self, number: int) -> None:
        super().reply_received(self._number)


class NoEnd(StalenessGuard):
    """A bug: once current, always current."""

    def is_current(self, now: int) -> bool:
        return self.current_until > 0


@pytest.mark.parametrize("bug", [FromWhenItCame, AnyAnswer, NoEnd])
def test_a_bug_put_in_on_purpose_is_found(bug: type[StalenessGuard]) -> None:
    assert any(acting_late(seed, bug) >= 1.0 for seed in range(60))


def test_an_operator_shuts_a_head_out_from_another_and_lets_it_in_from_a_third(
    tmp_path: pathlib.Path,
) -> None:
    result = run(load(str(ROOT / "experiments" / "shut-out.toml")), tmp_path / "run")
    assert result.findings.sound, result.findings.broken
    called = [(line["kind"], line["status"]) for line in result.lines if line["what"] == "called"]
    assert called == [
        ("shut-out", 200),
        ("shut-out", 200),
        ("shut-out", 400),
        ("let-in", 200),
        ("let-in", 200),
    ]
    words = [(line["who"], line["out"]) for line in result.lines if line["what"] == "current"]
    assert ("n1", True) in words and ("n3", True) in words and not any(who == "n0" for who, _ in words)
    last = {line["who"]: line["out"] for line in result.lines if line["what"] == "current"}
    assert last == {"n1": False, "n3": False}
    late = result.began + 9 * SECOND
    assert any(
        line["what"] == "answered"
        and line["who"] == "n1"
        and line["outcome"] == "served"
        and line["t"] > late
        for line in result.lines
    )


def test_stragglers_among_real_processes_stop_in_time_and_the_audit_says_who_used_what(
    tmp_path: pathlib.Path,
) -> None:
    result = run(load(str(ROOT / "experiments" / "stragglers.toml")), tmp_path / "run")
    assert result.findings.sound, result.findings.broken
    assert result.findings.audited > 500 and result.findings.outcomes["served"] > 500
    outs = [line for line in result.lines if line["what"] == "current" and line["out"]]
    assert {"n1", "n2", "n3"} <= {line["who"] for line in outs}
    fleet = merge.merge(read_segments([str(tmp_path / "run" / "audit")]).segments, LIMITS)
    assert [p for p in fleet.problems if ": nothing for" not in p] == []
    assert any(p.startswith("n3: nothing for") for p in fleet.problems), "it stood still for 3.5 s"
