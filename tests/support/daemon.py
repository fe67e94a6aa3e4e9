"""Configurations for tests, and a complete daemon that runs in the test's process on a simulated clock."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Iterator
from typing import Any

from garnetlanding import config
from garnetlanding.daemon import Daemon
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import Discovery, EmulatedEndpoint
from garnetlanding.emulator.fileserver import FileServer
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.signals import HANDLED
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance

PLATFORM_SETTINGS: dict[str, Any] = {
    "Balancers": 2,
    "Me": 0,
    "TickUs": 2000,
    "MembershipMode": "on_request",
    "Classes": [
        {
            "Name": "read",
            "Credit": 2.0,
            "LateValue": 0.1,
            "PromiseUs": 300_000,
            "GiveUpUs": 1_500_000,
            "Effect": "free",
        }
    ],
    "Contracts": [{"Name": "gold", "Weight": 1.0, "UsualRate": 9.0, "Guaranteed": 9.0}],
    "Limits": {
        "MaxAttempts": 4,
        "Cancel": True,
        "RetryAfter": True,
        "MaxRetryAfterUs": 2_000_000,
        "ConnIdleUs": 20_000_000,
        "DialTimeoutUs": 300_000,
    },
    "Rules": {"ColdFrom": 0.2, "ColdUs": 14_000_000, "FallMultiple": 2.5, "FallUs": 1_500_000},
    "FamilyInfo": {"ChangesData": [False], "ColdBears": 8.0, "Largest": 6},
    "Zones": ["a", "b"],
    "Off": None,
}
SETTINGS_WITH_PEERS = PLATFORM_SETTINGS | {"Limits": PLATFORM_SETTINGS["Limits"] | {"MayTell": True}}
PLATFORM_CONFIG: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "settings": PLATFORM_SETTINGS,
    "known": {
        "generation": 4,
        "reset": True,
        "instances": [EmulatedEndpoint("b0", "127.0.0.1:9", 0).entry()],
    },
}
EXPORT = {"name": "x", "volume": "v", "plan": "gold", "class": "read", "cell": 0, "deadline_ms": 1000}
NINEP: dict[str, Any] = {"listen": "127.0.0.1:0", "export": [EXPORT]}


# The time until SIGKILL depends on the longest deadline: with this one it is at least 3.7 s after SIGTERM.
SLOW_SETTINGS = PLATFORM_SETTINGS | {"Classes": [PLATFORM_SETTINGS["Classes"][0] | {"GiveUpUs": 3_000_000}]}


@contextlib.contextmanager
def restored_signal_handlers() -> Iterator[None]:
    """Restore the handlers of all signals that the daemon handles."""
    previous = {number: signal.getsignal(number) for number in HANDLED}
    try:
        yield
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in previous.items():
            signal.signal(number, handler)


class SimulatedDaemon(SimulatedInstance):
    """A complete daemon with discovery, a backend and a file server, on the simulated clock.

    `overrides` replace keys of the platform's configuration. A test may change `platform_config` before it
    reloads the daemon.
    """

    def __init__(
        self,
        operator: dict[str, Any] | None = None,
        settings: dict[str, Any] = PLATFORM_SETTINGS,
        **overrides: Any,
    ) -> None:
        super().__init__()
        self.discovery = self.server(Discovery)
        self.backend = self.server(EmulatedBackend)
        self.file_server = self.server(FileServer, tree={"doc": b"text"})
        self.discovery.endpoints = [EmulatedEndpoint("b0", self.backend.address, 0)]
        port = int(self.file_server.address.rpartition(":")[2])
        if operator and "ninep" in operator:
            operator["ninep"] = NINEP | {"server_port": port}
        self.platform_config = (
            PLATFORM_CONFIG | {"discovery": self.discovery.address, "settings": settings} | overrides
        )
        self.daemon = Daemon(self.load_config(operator), lambda: self.time, self.load_config)
        self.daemon.start()
        self.settle()

    def load_config(self, operator: dict[str, Any] | None = None) -> config.Config:
        return config.read(self.platform_config, operator, {"RELAY_DISCOVERY": self.discovery.address})

    def schedulers(self) -> tuple[Scheduler, ...]:
        if not hasattr(self, "daemon") or self.daemon.scheduler._stopped:
            return super().schedulers()
        return (*super().schedulers(), self.daemon.scheduler)

    def client(self, listener_index: int = 0) -> LoopbackClient:
        return self.connect(self.daemon.listeners[listener_index].address)
