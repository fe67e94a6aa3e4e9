"""The environment of an experiment's instances: a discovery service for each, and rate-limited backends."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from garnetlanding.emulator.backend import EmulatedBackend, EmulatedBackendConnection
from garnetlanding.emulator.base import EmulatedConnection
from garnetlanding.emulator.discovery import Discovery, EmulatedEndpoint
from garnetlanding.lab.environment_history import EventRecorder
from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.history import LineKind
from garnetlanding.lab.limits import LIMITS
from garnetlanding.limits import SECOND, Limits
from garnetlanding.resp import codec as resp
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.protocols import Write
from garnetlanding.runtime.scheduler import Scheduler

_READ_COMMAND = b"BLK.READ"
_READ_ARGUMENT_COUNT = 4  # the command, the block, the request id and its attributes


class LabBackend(EmulatedBackend):
    """A backend that serves requests one at a time, at a fixed rate.

    It responds with the block's name, so that a client can tell whether the response is to its own request.
    """

    def __init__(self, *args: Any, record: EventRecorder, number: int, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._record = record
        self.number = number
        self._is_responsive = True
        self._free_at_us = 0
        self._connections_max = 0  # the most concurrent connections so far

    def _make(self, write: Write) -> EmulatedConnection:
        connection = super()._make(write)
        if len(self.connections) > self._connections_max:
            self._connections_max = len(self.connections)
            self._record(LineKind.CONNECTIONS_OPEN, brick=self.number, count=self._connections_max)
        return connection

    def command(self, words: list[bytes], connection: EmulatedBackendConnection) -> None:
        """Execute one command: record it, and respond once the work is done."""
        if words[0].upper() != _READ_COMMAND or len(words) != _READ_ARGUMENT_COUNT:
            connection.write(b"-SYNTAX\r\n")
            return
        attributes = dict(pair.partition(b"=")[::2] for pair in words[3].split(b","))
        self._record(
            LineKind.EXECUTED, id=words[2].decode(), brick=self.number, volume=attributes[b"volume"].decode()
        )
        if not self._is_responsive:
            return
        work_us = int(float(attributes[b"units"]) / LIMITS.backend_units_per_s * SECOND)
        self._free_at_us = max(self._free_at_us, self.scheduler.now) + work_us
        answer = b"*3\r\n" + resp.encode_bulk(words[1]) + b"$-1\r\n$-1\r\n"

        def send_answer() -> None:
            if not connection.is_closing:
                connection.write(answer)

        self.scheduler.call_at(self._free_at_us, send_answer)

    def stop_answering(self) -> None:
        """Accept requests without responding, from now on."""
        self._is_responsive = False

    def resume_answering(self) -> None:
        """Respond to new requests again; those accepted in the meantime stay without a response."""
        self._is_responsive = True

    def refuse_connections(self) -> None:
        """Close all connections and refuse new ones; the backend stays in the endpoint list."""
        self.listener.stop_accepting()
        self.close_connections()

    def accept_connections(self) -> None:
        """Listen again on the same address."""
        self.listener = Listener(
            self.scheduler, self.address, self.pool, self.limits, LIMITS.backend_connections_max, self._make
        )


class LabEnvironment:
    """An experiment's backends and discovery services.

    `pool` and `limits` are shared by the lab's other connections.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        host: str,
        experiment: Experiment,
        record: EventRecorder,
        route: Callable[[int, LabBackend], str],
    ) -> None:
        """Start everything; `route` returns the address at which an instance reaches a backend."""
        self.limits = Limits()
        self.pool = BufferPool(self.limits.buffer_bytes, self.limits.pool_free_max, self.limits.pool_max)
        self.backends = [
            LabBackend(scheduler, self.pool, self.limits, f"{host}:0", record=record, number=number)
            for number in range(experiment.backends)
        ]
        self.discoveries = [
            Discovery(scheduler, self.pool, self.limits, f"{host}:0") for _ in range(experiment.instances)
        ]
        # The target of faults that move an instance to another discovery service.
        self.spare_discovery = Discovery(scheduler, self.pool, self.limits, f"{host}:0")
        for instance, discovery in enumerate(self.discoveries):
            discovery.endpoints = [
                EmulatedEndpoint(f"b{backend.number}", route(instance, backend), backend.number)
                for backend in self.backends
            ]
        self.spare_discovery.endpoints = [
            EmulatedEndpoint(f"b{backend.number}", backend.address, backend.number)
            for backend in self.backends
        ]
        self._scheduler = scheduler
        scheduler.spawn(self._send_heartbeats)

    def restart(self, backend: LabBackend) -> None:
        """Bring a backend back as a new, cold process; the endpoint list publishes its start time."""
        backend.accept_connections()
        for discovery in [*self.discoveries, self.spare_discovery]:
            endpoint = discovery.endpoints[backend.number]
            endpoint.extra = {"startedAtMs": time.time_ns() // 1_000_000}
            discovery.publish(endpoint)

    def _send_heartbeats(self) -> None:
        while True:
            self._scheduler.sleep(LIMITS.heartbeat_us)
            for discovery in [*self.discoveries, self.spare_discovery]:
                discovery.send_heartbeat()
