"""Real processes that are signalled at the wrong instant, and several that lose discovery together."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator

import pytest

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import Discovery, DiscoveryConnection, EmulatedEndpoint
from garnetlanding.resp import codec
from garnetlanding.runtime.stream import parse_address
from tests.support.daemon import PLATFORM_CONFIG, PLATFORM_SETTINGS
from tests.support.simulated_instance import DELIVERY_WAIT_MS, SimulatedInstance
from tests.support.waiting import MAX_WAIT_S, poll_until, wait_until

ROOT = pathlib.Path(__file__).parents[2]
PING = codec.encode_command([b"PING"])
PONG = b"+PONG\r\n"
PORT = 6379
RELOADED = b'msg="configuration reloaded"'
DRAIN_NOTICE_S = 6.0
"""How long after discovery's return a drain counts as known to every instance, by the operators' pages."""
CONNECT_S = 1.0
"""How long a client waits for a connect, which the kernel answers while the instance's queue has room."""


class InstanceProcesses:
    """Instances as processes, each at a loopback address that no other process of the machine uses.

    A configuration may come through a pipe, so that a test knows how far the process that reads it has come.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._running: list[subprocess.Popen[bytes]] = []
        self._hosts = 0

    def free_address(self) -> str:
        """Return an address on a loopback host of this test's own: nobody else takes its port meanwhile."""
        self._hosts += 1
        pid = os.getpid()
        return f"127.{128 + pid // 256 % 64}.{pid % 256}.{self._hosts}:{PORT}"

    def pipe(self, name: str) -> pathlib.Path:
        """Make a named pipe."""
        path = self.folder / name
        os.mkfifo(path)
        return path

    def log(self) -> bytes:
        """Return what all processes have logged."""
        return (self.folder / "log").read_bytes()

    def start(self, config: pathlib.Path) -> subprocess.Popen[bytes]:
        """Start an instance with a configuration file."""
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        env["PYTHONPATH"] = str(ROOT)
        with open(self.folder / "log", "ab") as log:
            child = subprocess.Popen(
                [sys.executable, "-m", "garnetlanding", "serve", "--config", str(config)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=env,
            )
        self._running.append(child)
        return child

    def end(self) -> None:
        """End every process that still runs."""
        for child in self._running:
            if child.poll() is None:
                child.kill()
            child.wait()


@pytest.fixture
def processes(tmp_path: pathlib.Path) -> Iterator[InstanceProcesses]:
    started = InstanceProcesses(tmp_path)
    try:
        yield started
    finally:
        started.end()


def connect(address: str) -> socket.socket | None:
    """Return a connection that an instance has answered on, `None` where nobody listens yet."""
    try:
        sock = socket.create_connection(parse_address(address), MAX_WAIT_S)
    except ConnectionRefusedError:
        return None
    sock.sendall(PING)
    assert sock.recv(64) == PONG
    return sock


def connect_when_ready(address: str, child: subprocess.Popen[bytes]) -> socket.socket:
    """Return a connection to an instance that has answered; fails where its process ends instead."""
    sock: socket.socket | None = None

    def try_to_connect() -> bool:
        nonlocal sock
        assert child.poll() is None, f"not ready, exit code {child.poll()}"
        sock = connect(address)
        return sock is not None

    poll_until(try_to_connect, f"an instance that answers at {address}")
    assert sock
    return sock


def open_when_read(pipe: pathlib.Path, child: subprocess.Popen[bytes]) -> int:
    """Return the pipe's writing end, once the process has begun to read its configuration from it."""
    writer = -1

    def try_to_open() -> bool:
        nonlocal writer
        assert child.poll() is None, f"does not read its configuration, exit code {child.poll()}"
        try:
            writer = os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:  # nobody reads yet
            return False
        return True

    poll_until(try_to_open, "a process that reads its configuration")
    return writer


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM], ids=["SIGHUP", "SIGTERM"])
def test_signal_during_startup_takes_effect_once_the_process_serves(
    number: int, processes: InstanceProcesses
) -> None:
    """Before there was a handler, a reload of all instances killed the one that was just starting."""
    address, pipe = processes.free_address(), processes.pipe("config")
    text = json.dumps(PLATFORM_CONFIG | {"listen": address}).encode()
    child = processes.start(pipe)
    writer = open_when_read(pipe, child)
    child.send_signal(number)
    # What a reload finds there in the pipe's place.
    plain = processes.folder / "plain"
    plain.write_bytes(text)
    os.replace(plain, pipe)
    os.write(writer, text)
    os.close(writer)
    if number == signal.SIGHUP:
        wait_until(
            lambda: RELOADED in processes.log(),
            "the reload of the configuration",
            lambda: connect_when_ready(address, child).close(),
        )
        child.terminate()
    assert child.wait(MAX_WAIT_S) == 0
    assert (RELOADED in processes.log()) == (number == signal.SIGHUP)


def test_configuration_that_breaks_its_parser_leaves_the_process_serving_and_terminable(
    processes: InstanceProcesses,
) -> None:
    """An error that was not foreseen ended the handling of signals: the instance could only be killed."""
    address, file = processes.free_address(), processes.folder / "config.json"
    file.write_text(json.dumps(PLATFORM_CONFIG | {"listen": address}))
    child = processes.start(file)
    client = connect_when_ready(address, child)
    file.write_text("[" * 200_000)
    child.send_signal(signal.SIGHUP)

    def ping() -> None:
        client.sendall(PING)
        assert client.recv(64) == PONG

    wait_until(lambda: b"reload" in processes.log(), "a log line about the reload", ping)
    child.terminate()
    assert child.wait(MAX_WAIT_S) == 0


def silent(discovery: Discovery, conn: DiscoveryConnection) -> None:
    """Leave a call without an answer."""


def rejects(_discovery: Discovery, conn: DiscoveryConnection) -> None:
    """Answer a call with an error."""
    conn.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


class RealTimeDiscovery(SimulatedInstance):
    """Discovery and two backends, on the machine's clock, for instances that are processes."""

    def __init__(self) -> None:
        super().__init__()
        self.discovery = self.server(Discovery)
        self.old_backend, self.new_backend = self.server(EmulatedBackend), self.server(EmulatedBackend)
        self.discovery.endpoints = [EmulatedEndpoint("b0", self.old_backend.address, 0)]

    def run_until(self, condition: Callable[[], bool], event: str) -> None:
        """Run the servers, on the machine's clock, until the condition holds."""
        wait_until(condition, event, self._run_at_present)

    def _run_at_present(self) -> None:
        self.time = time.monotonic_ns() // 1000
        self.run_iteration(DELIVERY_WAIT_MS)

    def watches(self) -> int:
        """Return how many instances are connected to discovery."""
        return sum(isinstance(one, DiscoveryConnection) for one in self.discovery.connections)


def open_idle_connections(address: str, count: int) -> list[socket.socket]:
    """Return up to `count` connections, fewer where the instance and its listen queue are full."""
    opened: list[socket.socket] = []
    with contextlib.suppress(TimeoutError):
        for _ in range(count):
            opened.append(socket.create_connection(parse_address(address), CONNECT_S))
    return opened


@pytest.mark.parametrize("way", [silent, rejects])
def test_drain_reaches_three_processes_within_6_s_while_idle_clients_hold_every_place(
    way: Callable[[Discovery, DiscoveryConnection], None],
    processes: InstanceProcesses,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All lose their watch at once, and the calls that follow hang or are rejected for a while. Then
    discovery is back, with a drain: from then on it counts as known after 6 s."""
    world = RealTimeDiscovery()
    discovery = world.discovery
    addresses = [processes.free_address() for _ in range(3)]
    children = []
    for n, address in enumerate(addresses):
        file = processes.folder / f"n{n}.json"
        file.write_text(
            json.dumps(
                PLATFORM_CONFIG
                | {
                    "name": f"n{n}",
                    "listen": address,
                    "discovery": discovery.address,
                    "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 128},
                    "known": {"generation": 0, "reset": True, "instances": [discovery.endpoints[0].entry()]},
                    "settings": PLATFORM_SETTINGS | {"Balancers": 3, "Me": n},
                }
            )
        )
        children.append(processes.start(file))

    world.run_until(lambda: world.watches() == 3, "a watch by each of three instances")
    crowd = [sock for address in addresses for sock in open_idle_connections(address, 100)]
    answer = Discovery.answer
    monkeypatch.setattr(Discovery, "answer", way)
    discovery.close_connections()
    calls = len(discovery.calls)
    world.run_until(lambda: len(discovery.calls) >= calls + 6, "two calls in vain by each instance")
    discovery.endpoints = [
        EmulatedEndpoint("b0", world.old_backend.address, 0, "DRAINING"),
        EmulatedEndpoint("b1", world.new_backend.address, 0),
    ]
    back = time.monotonic()
    informed: dict[DiscoveryConnection, float] = {}

    def answer_and_note(self: Discovery, conn: DiscoveryConnection) -> None:
        informed[conn] = time.monotonic()
        answer(self, conn)

    monkeypatch.setattr(Discovery, "answer", answer_and_note)
    world.run_until(lambda: len(informed) == 3, "a call by each instance after discovery's return")
    assert max(informed.values()) - back < DRAIN_NOTICE_S
    for sock in crowd:
        sock.close()
    for child in children:
        child.terminate()
    assert [child.wait(MAX_WAIT_S) for child in children] == [0, 0, 0]
