"""The ops command: calls, printed responses and exit codes."""

from __future__ import annotations

import json

import pytest

from garnetlanding import cli
from garnetlanding.core.metrics import RequestMetrics, encode
from garnetlanding.core.ports import Rejected
from garnetlanding.ops import admin_client, admin_output
from tests.support.admin import AdministeredInstance


def test_calls_map_to_paths_and_replies_are_shown_as_text_and_json() -> None:
    assert admin_client.method_and_path("ready") == ("GET", "/-/ready")
    assert admin_client.method_and_path("disable", "a/b c") == ("POST", "/-/bricks/a%2Fb%20c/disable")
    metrics = RequestMetrics(["read", "save.big"])
    metrics.record("save.big", Rejected())
    reply = admin_client.Reply(200, encode(metrics, 7, 3, 1))
    lines = admin_output.as_text("metrics", reply).splitlines()
    assert lines[0].split() == ["class", "success", "overload", "error"]
    assert lines[2].split() == ["save.big", "0", "1", "0"]
    assert "concurrent: 7" in lines
    shown = json.loads(admin_output.as_json("metrics", reply))
    assert shown["yes"]
    assert shown["figures"]["app.overload.save.big"] == 1
    assert (
        json.loads(admin_output.as_json("drain", admin_client.Reply(500, "failed\n")))["answer"] == "failed"
    )
    with pytest.raises(ValueError, match="malformed metrics line: 'app.x:1'"):
        admin_output.as_text("metrics", admin_client.Reply(200, "app.x:1\n"))


def test_exit_code_distinguishes_success_failure_and_wrong_usage(
    instance: AdministeredInstance, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def call(
        _address: str, name: str, target: str | None = None, _timeout_s: float = 2.0
    ) -> admin_client.Reply:
        method, path = admin_client.method_and_path(name, target)
        return admin_client.Reply(*instance.call(path, method))

    unreachable = cli.main(["ops", "ready", "--address", "127.0.0.1:1", "--wait", "0.2"])
    malformed = cli.main(["ops", "ready", "--address", "nowhere"])
    monkeypatch.setattr(admin_client, "send_call", call)
    address_option = ["--address", instance.ops.address]
    assert (unreachable, malformed) == (1, 2)
    assert "127.0.0.1:1: " in capsys.readouterr().err
    assert cli.main(["ops", "disable", "b0", *address_option]) == 0
    assert cli.main(["ops", "disable", "b9", *address_option]) == 1
    assert capsys.readouterr().out == "b0 disabled\nno brick b9\n"
