"""A rolling upgrade: two daemons of one instance on one clock."""

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
    """Two daemons of one instance on this one's clock, before one backend."""

    def __init__(self, folder: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.daemons: list[Daemon] = []
        super().__init__()
        monkeypatch.setattr("tempfile.gettempdir", lambda: str(folder))
        self.brick = self.server(EmulatedBackend)
        probe = self.front()
        self.address = probe.address
        probe.stop_accepting()
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
                        "instances": [EmulatedEndpoint("b0", self.brick.address, 0).entry()],
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

    def call(self, daemon: Daemon, what: str, method: str = "POST") -> str:
        assert daemon.assembly.admin is not None
        return (
            self.peer(daemon.assembly.admin.listener.address)
            .say(f"{method} {what} HTTP/1.1\r\n\r\n".encode())
            .decode()[9:12]
        )


@pytest.fixture
def upgrade(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> RollingUpgrade:
    return RollingUpgrade(tmp_path, monkeypatch)


def test_new_process_takes_over_without_losing_a_request(upgrade: RollingUpgrade) -> None:
    old = upgrade.start_daemon()
    upgrade.run(2 * SECOND)
    assert upgrade.call(old, "/-/ready", "GET") == "200"
    clients = [upgrade.peer(upgrade.address) for _ in range(6)]
    for i, client in enumerate(clients):
        assert client.say(read_command(f"a{i}")).startswith(b"$")
    new = upgrade.start_daemon()
    upgrade.run(300 * MS)
    assert [d.assembly.instance.process.quota for d in (old, new)] == [0.5, 0.5]
    assert upgrade.call(new, "/-/ready", "GET") == "503", "no list yet, and discovery is away"
    upgrade.run(1300 * MS)
    assert upgrade.call(new, "/-/ready", "GET") == "200", "with the list it was started with"
    upgrade.brick.holds_responses = True
    clients[0].say(read_command("busy"))
    old.scheduler.spawn(old.shut_down)
    upgrade.run(100 * MS)
    assert [c.closed for c in clients] == [False] + [True] * 5, "idle ones have somewhere to go"
    upgrade.brick.holds_responses = False
    upgrade.brick.release()
    upgrade.run(300 * MS)
    assert clients[0].got.endswith(b"$0\r\n\r\n")
    assert clients[0].closed
    assert old.scheduler._stopped
    late = upgrade.peer(upgrade.address)
    assert late.say(PING) == b"+PONG\r\n"
    assert len(new.listeners[0]) == 1
    upgrade.run(300 * MS)
    assert new.assembly.instance.process.quota == 1


def test_disables_and_drain_hold_in_both_processes_whichever_was_called(upgrade: RollingUpgrade) -> None:
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
    client = upgrade.peer(upgrade.address)
    broken = Daemon(
        config.read(PLATFORM_CONFIG | {"listen": "192.0.2.1:1", "ops": "127.0.0.1:0"}),
        clock=lambda: upgrade.time,
    )
    with pytest.raises(OSError, match="Cannot assign requested address"):
        broken.start()
    assert broken.assembly.instance.process.registry
    broken.assembly.instance.process.registry.close()
    upgrade.run(300 * MS)
    assert client.say(PING) == b"+PONG\r\n"
    assert upgrade.call(old, "/-/ready", "GET") in ("200", "503")
    assert LoopbackClient(upgrade, upgrade.address).say(PING) == b"+PONG\r\n"
