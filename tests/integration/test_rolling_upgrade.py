"""A rolling upgrade: two daemons of one instance on the same simulated clock."""

from __future__ import annotations

import pathlib

import pytest

from garnetlanding import config
from garnetlanding.daemon import Daemon
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.runtime.scheduler import Scheduler
from tests.support.clock import MS, SECOND
from tests.support.daemon import PLATFORM_CONFIG
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command

PING = b"*1\r\n$4\r\nPING\r\n"


class RollingUpgrade(SimulatedInstance):
    """Runs several daemons of one instance, with one backend, on the same simulated clock."""

    def __init__(self, folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.daemons: list[Daemon] = []
        super().__init__()
        monkeypatch.setattr("tempfile.gettempdir", lambda: str(folder))
        self.backend = self.server(EmulatedBackend)
        # Finds a free address, which all daemons then share.
        listener = self.start_resp_listener()
        self.address = listener.address
        listener.stop_accepting()
        self.settle()

    def start_daemon(self) -> Daemon:
        daemon = Daemon(
            config.read(
                PLATFORM_CONFIG
                | {
                    "listen": self.address,
                    "ops": "127.0.0.1:0",
                    "known": {
                        "generation": 4,
                        "reset": True,
                        "instances": [EmulatedEndpoint("b0", self.backend.address, 0).entry()],
                    },
                }
            ),
            clock=lambda: self.time,
        )
        daemon.start()
        self.daemons.append(daemon)
        self.settle()
        return daemon

    def schedulers(self) -> tuple[Scheduler, ...]:
        running = [daemon.scheduler for daemon in self.daemons if not daemon.scheduler._stopped]
        return (*super().schedulers(), *running)

    def call(self, daemon: Daemon, path: str, method: str = "POST") -> str:
        """Send one call to the daemon's admin service and return the response's status code."""
        assert daemon.assembly.admin is not None
        operator = self.connect(daemon.assembly.admin.listener.address)
        response = operator.send_bytes(f"{method} {path} HTTP/1.1\r\n\r\n".encode())
        return response.decode().split(" ")[1]


@pytest.fixture
def upgrade(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> RollingUpgrade:
    return RollingUpgrade(tmp_path, monkeypatch)


def test_new_process_takes_over_without_losing_a_request(upgrade: RollingUpgrade) -> None:
    old = upgrade.start_daemon()
    upgrade.run(2 * SECOND)
    assert upgrade.call(old, "/-/ready", "GET") == "200"
    clients = [upgrade.connect(upgrade.address) for _ in range(6)]
    for i, client in enumerate(clients):
        assert client.send_bytes(read_command(f"a{i}")).startswith(b"$")
    new = upgrade.start_daemon()
    upgrade.run(300 * MS)
    assert [daemon.assembly.instance.process.quota for daemon in (old, new)] == [0.5, 0.5]
    assert upgrade.call(new, "/-/ready", "GET") == "503", "no endpoint list yet, as discovery is unreachable"
    upgrade.run(1300 * MS)
    assert upgrade.call(new, "/-/ready", "GET") == "200", "ready with the configured endpoint list"
    upgrade.backend.holds_responses = True
    clients[0].send_bytes(read_command("busy"))
    old.scheduler.spawn(old.shut_down)
    upgrade.run(100 * MS)
    assert [client.closed for client in clients] == [
        False,
        *[True] * 5,
    ], "idle clients can reconnect to the successor"
    upgrade.backend.holds_responses = False
    upgrade.backend.release()
    upgrade.run(300 * MS)
    assert clients[0].received.endswith(b"$0\r\n\r\n")
    assert clients[0].closed
    assert old.scheduler._stopped
    new_client = upgrade.connect(upgrade.address)
    assert new_client.send_bytes(PING) == b"+PONG\r\n"
    assert len(new.listeners[0]) == 1
    upgrade.run(300 * MS)
    assert new.assembly.instance.process.quota == 1


def test_disables_and_drain_apply_to_both_processes_regardless_of_which_was_called(
    upgrade: RollingUpgrade,
) -> None:
    old = upgrade.start_daemon()
    upgrade.call(old, "/-/bricks/b0/disable")
    upgrade.call(old, "/-/drain")
    new = upgrade.start_daemon()
    assert new.core.endpoints.disabled == {"b0"}
    assert new.assembly.admin
    assert not new.assembly.admin.service.accepts_clients
    assert upgrade.call(new, "/-/resume") == "200"
    assert upgrade.call(new, "/-/bricks/b0/enable") == "200"
    upgrade.run(200 * MS)
    assert not old.core.endpoints.disabled
    assert old.assembly.admin
    assert old.assembly.admin.service.accepts_clients


def test_new_process_that_fails_to_start_leaves_the_old_one_serving(upgrade: RollingUpgrade) -> None:
    old = upgrade.start_daemon()
    client = upgrade.connect(upgrade.address)
    broken = Daemon(
        config.read(PLATFORM_CONFIG | {"listen": "192.0.2.1:1", "ops": "127.0.0.1:0"}),
        clock=lambda: upgrade.time,
    )
    with pytest.raises(OSError, match="Cannot assign requested address"):
        broken.start()
    assert broken.assembly.instance.process.registry
    broken.assembly.instance.process.registry.close()
    upgrade.run(300 * MS)
    assert client.send_bytes(PING) == b"+PONG\r\n"
    assert upgrade.call(old, "/-/ready", "GET") in ("200", "503")
    assert LoopbackClient(upgrade, upgrade.address).send_bytes(PING) == b"+PONG\r\n"
