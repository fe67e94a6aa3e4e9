"""Tests of the audit commands and of the configuration section `[audit]`."""

from __future__ import annotations

import pathlib
from typing import Any

import pytest

from garnetlanding import cli, config
from garnetlanding.audit.segment_files import list_segments
from garnetlanding.audit.setup import read as read_setup
from garnetlanding.audit.wall_time import parse_wall_ms
from tests.support.audit import open_writer
from tests.support.clock import SECOND


def test_commands_answer_from_the_files_that_an_instance_wrote(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    writer = open_writer(tmp_path, wall_ms=1_700_000_000_000)
    for at_s, version in ((1, "1.1#a"), (2, "1.2#b")):
        writer.write(
            {
                "kind": "change",
                "t": at_s * SECOND,
                "vector": {"settings": version, "out": ""},
                "changed": ["settings"],
                "heard": [],
                "me": 0,
                "said": 0,
                "taken": 0,
            }
        )
    writer.close()
    folder = str(tmp_path)
    assert cli.main(["audit", "verify", folder]) == 0
    assert cli.main(["audit", "verify", folder, "--head", "n5", "--json"]) == 1
    assert cli.main(["audit", "who", folder, "--version", "settings=1.2", "--json"]) == 0
    assert cli.main(["audit", "who", folder, "--version", "settings=9.9"]) == 1
    assert cli.main(["audit", "who", folder]) == cli.main(["audit", "who", folder, "--version", "x"]) == 2
    assert cli.main(["audit", "who", folder, "--at", "2023-11-14T22:13:20Z"]) == 0
    assert cli.main(["audit", "who", folder, "--at", "yesterday"]) == 2
    assert (
        cli.main(["audit", "lag", folder])
        == cli.main(["audit", "show", folder, "--chart", str(tmp_path / "c.png")])
        == 0
    )
    assert cli.main(["audit", "merge", folder, "--out", str(tmp_path / "all")]) == 0
    empty = tmp_path / "empty"
    empty.mkdir()
    assert cli.main(["audit", "show", str(empty)]) == 2
    output = capsys.readouterr()
    assert "no audit in" in output.err
    assert "n5: no files" in output.out
    assert "1.2" in output.out
    assert len((tmp_path / "all").read_text().splitlines()) == 2
    assert (tmp_path / "c.png").stat().st_size > 1000
    assert parse_wall_ms("2023-11-14T22:13:20") == 1_700_000_000_000
    assert list_segments(folder)


@pytest.mark.parametrize(
    ("data", "key"),
    [
        pytest.param({}, "key audit.folder", id="folder missing"),
        pytest.param({"folder": "x", "sync": 1}, "key audit.sync", id="sync not a boolean"),
        pytest.param(
            {"folder": "x", "checkpoint_s": 0}, "key audit.checkpoint_s", id="checkpoint out of range"
        ),
        pytest.param({"folder": "x", "y": 1}, "key audit.y", id="unknown key"),
    ],
)
def test_an_invalid_section_raises_an_error_that_names_the_key(data: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        read_setup(data)
