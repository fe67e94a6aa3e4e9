"""The command line: exit codes and error texts."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import pytest

from garnetlanding import cli, logs
from tests.support.daemon import PLATFORM_CONFIG


def test_exit_codes_and_errors_of_serve_check_config_and_version(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(PLATFORM_CONFIG))
    monkeypatch.setattr(logs, "set_up", lambda _level: None)
    assert cli.main(["version"]) == 0
    assert capsys.readouterr().out.startswith("garnetlanding ")
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    monkeypatch.setenv("RELAY_NAME", "n7")
    assert cli.main(["check-config"]) == 0
    assert "'n7' is sound" in capsys.readouterr().out
    path.write_text("{")
    assert cli.main(["check-config"]) == 2
    assert "not JSON" in capsys.readouterr().err
    assert cli.main(["check-config", "--config", str(tmp_path / "none")]) == 2
    monkeypatch.delenv("RELAY_CONFIG")
    assert cli.main(["serve"]) == 2
    assert "RELAY_CONFIG" in capsys.readouterr().err
    path.write_text(json.dumps(PLATFORM_CONFIG | {"listen": "203.0.113.1:1"}))
    assert cli.main(["serve", "--config", str(path)]) == 1
    assert "cannot serve" in capsys.readouterr().err


def test_unknown_command_gets_a_suggestion_and_serve_imports_no_other_command() -> None:
    unknown = subprocess.run([sys.executable, "-m", "garnetlanding", "op"], capture_output=True, text=True)
    assert unknown.returncode == 2
    assert "Did you mean 'ops'?" in unknown.stderr
    program = (
        "import sys; from garnetlanding import cli; cli.main(['version']);"
        "print(*sorted(name for name in sys.modules if name.startswith('garnetlanding.cli.')))"
    )
    completed = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, check=True)
    assert completed.stdout.splitlines()[-1] == "garnetlanding.cli.root garnetlanding.cli.serve"
