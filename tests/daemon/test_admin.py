"""The admin service of a daemon, and its effect on the daemon's clients."""

from __future__ import annotations

import pathlib

import pytest

from tests.support.daemon import SimulatedDaemon

PING = b"*1\r\n$4\r\nPING\r\n"


def test_drained_daemon_reports_itself_unhealthy_until_resumed(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    instance = SimulatedDaemon(ops="127.0.0.1:0")
    assert instance.daemon.assembly.admin
    admin_address = instance.daemon.assembly.admin.listener.address
    client = instance.client()
    assert client.send_bytes(PING) == b"+PONG\r\n"
    assert (
        instance.connect(admin_address)
        .send_bytes(b"POST /-/drain HTTP/1.1\r\n\r\n")
        .startswith(b"HTTP/1.1 200 ")
    )
    assert client.send_bytes(PING).startswith(b"-ERR")
    assert (
        instance.connect(admin_address)
        .send_bytes(b"POST /-/resume HTTP/1.1\r\n\r\n")
        .startswith(b"HTTP/1.1 200 ")
    )
    assert client.send_bytes(PING) == b"+PONG\r\n"
    instance.daemon.scheduler.close()
