"""Experiment files and the lab's command line."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import pytest

from garnetlanding import cli
from garnetlanding.config.section import ConfigError
from garnetlanding.lab.experiment_file import load, read
from tests.support.lab import ROOT

# Files


@pytest.mark.parametrize(
    ("change", "key"),
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
    told = capsys.readouterr().err
    assert "cannot read" in told
    assert "key heads" in told
    assert "no result.json" in told
    (tmp_path / "result.json").write_text(json.dumps({"asked": 3, "outcomes": {"served": 3}, "sound": True}))
    assert cli.main(["lab", "compare", str(tmp_path), "--json"]) == 0
