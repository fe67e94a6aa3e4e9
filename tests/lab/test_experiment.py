"""Experiment files and the command line of the lab."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pytest

from garnetlanding import cli
from garnetlanding.config.section import ConfigError
from garnetlanding.lab.experiment_file import load, read
from tests.support.lab import ROOT


def with_fault(**table: Any) -> dict[str, Any]:
    """Return a change of the file: one fault table, between 1 and 2 s unless overridden."""
    return {"fault": [{"at_s": 1, "until_s": 2} | table]}


@pytest.mark.parametrize(
    ("change", "key"),
    [
        pytest.param({"name": ""}, "key name", id="empty name"),
        pytest.param({"heads": 99}, "key heads", id="too many instances"),
        pytest.param({"extra": 1}, "key extra: not known", id="unknown key"),
        pytest.param({"load": {"rate": 0}}, "key load.rate", id="no requests"),
        pytest.param({"load": {"hosts": 4}}, "key load.hosts", id="more instances per volume than all"),
        pytest.param({"fault": [{"kind": "rain"}]}, "key fault.0.kind", id="unknown kind of fault"),
        pytest.param(
            with_fault(kind="kill"), "key fault.0.who: must name an instance", id="kill of no instance"
        ),
        pytest.param(
            with_fault(kind="kill", who="n3"),
            "key fault.0.who: 'n3' is none of",
            id="kill of a missing instance",
        ),
        pytest.param(
            with_fault(kind="cut", at_s=2),
            "key fault.0.until_s: not after",
            id="fault that ends as it starts",
        ),
        pytest.param(
            with_fault(kind="cut", at_s=9, until_s=10), "key fault.0.at_s", id="fault after the experiment"
        ),
        pytest.param(with_fault(kind="loss", share=2), "key fault.0.share", id="probability above one"),
        pytest.param({"fleet": False, "group": 2}, "key group: only with", id="seeds without peer links"),
        pytest.param({"budgets": 1}, "key budgets: expected", id="leases not true or false"),
        pytest.param(
            with_fault(kind="join", who="n1"), "fault.0.until_s: join has one", id="join with an end"
        ),
        pytest.param({"fault": {"kind": "cut"}}, "key fault: expected", id="fault that is no list"),
        pytest.param({"fleet": 1}, "key fleet: expected", id="peer links not true or false"),
        pytest.param(
            with_fault(kind="upgrade", who="n1", how="x"),
            "key fault.0.how",
            id="unknown end of a predecessor",
        ),
        pytest.param(with_fault(kind="lag"), "key fault.0.link", id="stream fault of no link"),
        pytest.param(
            with_fault(kind="drain", who="n1"), "fault.0.until_s: drain has one", id="call with an end"
        ),
    ],
)
def test_invalid_experiment_file_names_the_bad_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError, match=key):
        read({"name": "x"} | change)


def test_every_delivered_experiment_loads() -> None:
    files = sorted((ROOT / "experiments").glob("*.toml"))
    assert len(files) >= 5
    assert all(load(str(path)).name == path.stem for path in files)


def test_command_line_names_what_is_wrong(tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["lab", "run", str(tmp_path / "none.toml")]) == 2
    bad = tmp_path / "bad.toml"
    bad.write_text("name = 'x'\nheads = 0\n")
    assert cli.main(["lab", "run", str(bad)]) == 2
    assert cli.main(["lab", "compare", str(tmp_path)]) == 2
    stderr = capsys.readouterr().err
    assert "cannot read" in stderr
    assert "key heads" in stderr
    assert "no result.json" in stderr
    (tmp_path / "result.json").write_text(json.dumps({"asked": 3, "outcomes": {"served": 3}, "sound": True}))
    assert cli.main(["lab", "compare", str(tmp_path), "--json"]) == 0
