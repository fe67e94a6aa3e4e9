"""The simulator adapter: framing, restarts, invalid input, exceptions, and the README's example."""

from __future__ import annotations

import io
import pathlib
import re

import pytest

from garnetlanding import wire, wirehost
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller

SETTINGS = (
    "Balancers=2 Me=0 TickUs=2000 MembershipMode=pushed Limits.MaxAttempts=3 Unknown.Thing=7 "
    "Classes.count=1 Classes.0.Name=read Classes.0.Credit=2.0 Classes.0.PromiseUs=300000 "
    "Classes.0.GiveUpUs=1500000 Classes.0.Effect=free "
    "Contracts.count=1 Contracts.0.Name=gold Contracts.0.Weight=1.0 Contracts.0.UsualRate=2.0"
)
LAUNCH_BATCH = (
    f"BATCH 1000\nSELECT 3\nLAUNCH 42 {SETTINGS}\nDIRECTORY_UPDATE disk 1 1\n"
    "BRICK std 0 10.0.0.1:9 1 - dc in_service\nEND\n"
)
ARRIVAL_BATCH = "BATCH 2000\nSELECT 3\nACCEPT a read gold k 1502000 v 2 0 1 0 0 extra\nEND\n"


def run_adapter(text: str) -> list[str]:
    out = io.StringIO()
    wirehost.SimulatorAdapter().run(io.StringIO(text), out)
    return out.getvalue().splitlines()


def test_each_batch_gets_a_reply_and_an_arrival_is_delivered() -> None:
    lines = run_adapter("BATCH 1\nEND\n" + LAUNCH_BATCH + ARRIVAL_BATCH)
    assert lines.count("FINISHED") == 3
    assert lines[0] == "FINISHED"
    assert "DELIVER a 0 10.0.0.1:9" in lines


def test_restart_within_a_batch_discards_the_previous_incarnation() -> None:
    restart = LAUNCH_BATCH.replace("SELECT 3\n", "SELECT 3\nDESTROY\n").replace("BATCH 1000", "BATCH 3000")
    late_reply = "BATCH 4000\nSELECT 3\nREPLY a 0 10.0.0.1:9 delivered 900 1 0 0 -\nEND\n"
    assert run_adapter(LAUNCH_BATCH + ARRIVAL_BATCH + restart + late_reply)[-1] == "FINISHED"


@pytest.mark.parametrize(
    ("text", "pattern"),
    [
        ("HELLO\n", "line 1.*BATCH"),
        (LAUNCH_BATCH.replace("Me=0", "Me=zero"), "line 3.*setting Me"),
        (LAUNCH_BATCH + "BATCH 5\nSELECT 4\nLEFT a\nEND\n", "HostId"),
        (LAUNCH_BATCH + "BATCH 5\nSELECT 3\nLEFT\nEND\n", "line 9.*Ticket"),
        (LAUNCH_BATCH + ARRIVAL_BATCH.replace(" 1502000 ", " soon "), "line 9.*NotAfterUs"),
        (LAUNCH_BATCH + "BATCH 5\nSELECT 3\n", "ended inside"),
        (LAUNCH_BATCH.replace("in_service", "asleep"), "line 5.*Phase"),
    ],
    ids=[
        "no batch",
        "setting not a number",
        "unknown instance",
        "field missing",
        "field not a number",
        "input ends in a batch",
        "unknown endpoint state",
    ],
)
def test_malformed_input_exits_with_code_2_and_one_line(
    text: str, pattern: str, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.stdin", io.StringIO(text))
    assert wirehost.main() == 2
    stderr = capsys.readouterr().err
    assert stderr.count("\n") == 1
    assert re.search(pattern, stderr)


def test_exception_of_the_decision_module_is_reported_as_bail_out(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(_self: Controller, _now: int, _events: object) -> list[object]:
        raise RuntimeError("tags ran\nbackwards")

    monkeypatch.setattr(Controller, "handle", broken)
    assert "BAIL_OUT RuntimeError: tags ran backwards" in run_adapter(LAUNCH_BATCH)


def test_settings_with_numbers_that_are_not_finite_are_rejected() -> None:
    with pytest.raises(wire.WireError, match="Weight"):
        wire.read_settings(SETTINGS.replace("Weight=1.0", "Weight=nan"))


def test_readme_example_prints_the_documented_output(capsys: pytest.CaptureFixture[str]) -> None:
    readme = pathlib.Path(__file__).parents[1].joinpath("README.md").read_text()
    code = readme.split("```python\n")[1].split("```")[0]
    exec(code, {})
    assert capsys.readouterr().out.strip() == code.rsplit("# ", 1)[1].strip()


@pytest.mark.parametrize(
    ("usage_field", "usage_percent"), [("26", 25), ("1", 0), ("0", None), ("-", None), ("-3", None)]
)
def test_usage_field_of_a_reply_is_one_more_than_the_percentage(
    usage_field: str, usage_percent: int | None
) -> None:
    event = wire.read_event(f"REPLY a 0 10.0.0.1:9 delivered 900 1 {usage_field} 0 -".split(" "))
    assert isinstance(event, api.Result)
    assert event.usage_percent == usage_percent


@pytest.mark.parametrize(("cell_field", "cell"), [("3", 3), ("0", 0), ("-1", None), ("-", None)])
def test_arrival_without_a_cell_is_of_a_new_object(cell_field: str, cell: int | None) -> None:
    event = wire.read_event(f"ACCEPT a read gold k 1502000 v 2 {cell_field} 1 0 0".split(" "))
    assert isinstance(event, api.Arrival)
    assert event.cell == cell


def test_absent_values_of_actions_are_written_as_zero_and_all_peers_as_a_star() -> None:
    actions: list[api.Action] = [api.Send("a", "b"), api.Reject("a"), api.SendPeerMessage(b"\x01")]
    assert wire.write_actions(actions) == ["DELIVER a 0 b", "DECLINE a 0", "POST * 01"]
