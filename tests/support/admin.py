"""An instance with its admin service, for tests."""

from __future__ import annotations

import pathlib

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.ops.admin_connection import AdminConnection
from garnetlanding.ops.admin_service import AdminService
from garnetlanding.ops.managed_instance import ManagedInstance
from garnetlanding.ops.state_file import StateFile
from garnetlanding.resp.front import RespClientProtocol, RespListenerContext
from garnetlanding.runtime.listener import Listener
from tests.support.simulated_instance import SimulatedInstance


class AdministeredInstance(SimulatedInstance):
    """An instance with a RESP2 listener, an admin listener and two endpoints, b0 of cell 0 and b1 of cell 1.

    Both endpoints have the address of the same emulated server, `backend`.
    """

    def __init__(self, folder: pathlib.Path, **limits: int) -> None:
        super().__init__(None, **limits)
        self.backend = self.server(EmulatedBackend)
        self.endpoints = [
            EmulatedEndpoint("b0", self.backend.address, 0),
            EmulatedEndpoint("b1", self.backend.address, 1),
        ]
        self.endpoints_known = True
        self.clients = Listener(
            self.scheduler,
            "127.0.0.1:0",
            self.pool,
            self.limits,
            self.limits.client_connections,
            lambda write: RespClientProtocol(
                RespListenerContext(
                    self.core,
                    self.resp_upstream,
                    self.pool,
                    self.limits,
                    lambda: self.service.accepts_clients,
                ),
                write,
            ),
            reuse_port=True,
        )
        self.service = AdminService(
            ManagedInstance(
                scheduler=self.scheduler,
                engine=self.core,
                clients=self.clients,
                limits=self.limits,
                endpoints_known=lambda: self.endpoints_known,
            ),
            StateFile(str(folder), "n1"),
        )
        self.ops = Listener(
            self.scheduler,
            "127.0.0.1:0",
            self.pool,
            self.limits,
            self.limits.ops_connections,
            lambda write: AdminConnection(self.service, self.pool, self.limits, write),
        )
        self.list_endpoints(*self.endpoints)

    def call(self, path: str, method: str = "POST") -> tuple[int, str]:
        """Send one admin request and return its status and body; check that the connection is then closed."""
        client = self.connect(self.ops.address)
        response = client.send_bytes(f"{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()).decode()
        head, _, body = response.partition("\r\n\r\n")
        assert client.closed
        assert "Connection: close" in head
        assert f"Content-Length: {len(body)}" in head
        return int(head.split(" ")[1]), body

    def metrics(self) -> dict[str, int]:
        """Return the values of the metrics by name, without the prefix `app.`."""
        lines = [line.partition(":") for line in self.call("/-/metrics", "GET")[1].splitlines()]
        return {name.removeprefix("app."): int(value.partition("|")[0]) for name, _, value in lines}
