"""Real processes: signals at inconvenient times, and several processes that lose discovery together."""

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
# Operators may rely on every instance knowing a drain this long after discovery has recovered.
DRAIN_NOTICE_S = 6.0
# The kernel completes a connect at once while the instance's listen queue has room.
CONNECT_TIMEOUT_S = 1.0


class InstanceProcesses:
    """Runs instances as processes, each at a loopback address that no other process of the machine uses.

    A configuration may be a named pipe, which tells a test when the process starts reading it.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._started: list[subprocess.Popen[bytes]] = []
        self._hosts = 0

    def free_address(self) -> str:
        """Return an address on a loopback host that only this test uses, so that its port stays free."""
        self._hosts += 1
        pid = os.getpid()
        return f"127.{128 + pid // 256 % 64}.{pid % 256}.{self._hosts}:{PORT}"

    def pipe(self, name: str) -> pathlib.Path:
        """Create a named pipe."""
        path = self.folder / name
        os.mkfifo(path)
        return path

    def log(self) -> bytes:
        """Return the log output of all processes."""
        return (self.folder / "log").read_bytes()

    def start(self, config: pathlib.Path) -> subprocess.Popen[bytes]:
        """Start an instance with a configuration file."""
        env = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        env["PYTHONPATH"] = str(ROOT)
        with open(self.folder / "log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "garnetlanding", "serve", "--config", str(config)],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=env,
            )
        self._started.append(process)
        return process

    def kill_all(self) -> None:
        """Kill every process that is still running."""
        for process in self._started:
            if process.poll() is None:
                process.kill()
            process.wait()


@pytest.fixture
def processes(tmp_path: pathlib.Path) -> Iterator[InstanceProcesses]:
    started = InstanceProcesses(tmp_path)
    try:
        yield started
    finally:
        started.kill_all()


def connect(address: str) -> socket.socket | None:
    """Return a connection on which an instance has answered a PING, or None if nothing listens yet."""
    try:
        sock = socket.create_connection(parse_address(address), MAX_WAIT_S)
    except ConnectionRefusedError:
        return None
    sock.sendall(PING)
    assert sock.recv(64) == PONG
    return sock


def connect_when_ready(address: str, process: subprocess.Popen[bytes]) -> socket.socket:
    """Return a connection to an instance once it answers a PING; fail if its process exits instead."""
    sock: socket.socket | None = None

    def try_to_connect() -> bool:
        nonlocal sock
        assert process.poll() is None, f"exited before it was ready, exit code {process.poll()}"
        sock = connect(address)
        return sock is not None

    poll_until(try_to_connect, f"an instance that answers at {address}")
    assert sock
    return sock


def open_once_read(pipe: pathlib.Path, process: subprocess.Popen[bytes]) -> int:
    """Return the pipe's write end, once the process has opened the pipe to read its configuration."""
    writer = -1

    def try_to_open() -> bool:
        nonlocal writer
        assert process.poll() is None, f"exited before it read the pipe, exit code {process.poll()}"
        try:
            writer = os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:  # the pipe has no reader yet
            return False
        return True

    poll_until(try_to_open, "a process that reads its configuration")
    return writer


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM], ids=["SIGHUP", "SIGTERM"])
def test_signal_during_startup_takes_effect_once_the_process_serves(
    number: int, processes: InstanceProcesses
) -> None:
    """SIGHUP kills a process without a handler: reloading all instances must not kill a starting one."""
    address, pipe = processes.free_address(), processes.pipe("config")
    text = json.dumps(PLATFORM_CONFIG | {"listen": address}).encode()
    process = processes.start(pipe)
    writer = open_once_read(pipe, process)
    process.send_signal(number)
    # A reload reads a regular file in place of the pipe.
    regular_file = processes.folder / "plain"
    regular_file.write_bytes(text)
    os.replace(regular_file, pipe)
    os.write(writer, text)
    os.close(writer)
    if number == signal.SIGHUP:
        wait_until(
            lambda: RELOADED in processes.log(),
            "the reload of the configuration",
            lambda: connect_when_ready(address, process).close(),
        )
        process.terminate()
    assert process.wait(MAX_WAIT_S) == 0
    assert (RELOADED in processes.log()) == (number == signal.SIGHUP)


def test_reload_that_crashes_the_parser_leaves_the_process_serving_and_terminable(
    processes: InstanceProcesses,
) -> None:
    """An unexpected exception during a reload must not end signal handling: only SIGKILL would work then."""
    address, file = processes.free_address(), processes.folder / "config.json"
    file.write_text(json.dumps(PLATFORM_CONFIG | {"listen": address}))
    process = processes.start(file)
    client = connect_when_ready(address, process)
    file.write_text("[" * 200_000)
    process.send_signal(signal.SIGHUP)

    def ping() -> None:
        client.sendall(PING)
        assert client.recv(64) == PONG

    wait_until(lambda: b"reload" in processes.log(), "a log line about the reload", ping)
    process.terminate()
    assert process.wait(MAX_WAIT_S) == 0


def silent(discovery: Discovery, conn: DiscoveryConnection) -> None:
    """Do not respond to a call."""


def rejects(_discovery: Discovery, conn: DiscoveryConnection) -> None:
    """Respond to a call with an error."""
    conn.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


class RealTimeDiscovery(SimulatedInstance):
    """Discovery and two backends on the real clock, for instances that are processes."""

    def __init__(self) -> None:
        super().__init__()
        self.discovery = self.server(Discovery)
        self.old_backend, self.new_backend = self.server(EmulatedBackend), self.server(EmulatedBackend)
        self.discovery.endpoints = [EmulatedEndpoint("b0", self.old_backend.address, 0)]

    def run_until(self, condition: Callable[[], bool], event: str) -> None:
        """Run the servers on the real clock until the condition holds."""
        wait_until(condition, event, self._run_in_real_time)

    def _run_in_real_time(self) -> None:
        self.time = time.monotonic_ns() // 1000
        self.run_iteration(DELIVERY_WAIT_MS)

    def watch_count(self) -> int:
        """Return the number of instances connected to discovery."""
        return sum(isinstance(conn, DiscoveryConnection) for conn in self.discovery.connections)


def open_idle_connections(address: str, count: int) -> list[socket.socket]:
    """Return up to `count` connections, fewer if the instance and its listen queue are full."""
    opened: list[socket.socket] = []
    with contextlib.suppress(TimeoutError):
        for _ in range(count):
            opened.append(socket.create_connection(parse_address(address), CONNECT_TIMEOUT_S))
    return opened


@pytest.mark.parametrize("outage", [silent, rejects])
def test_drain_reaches_three_processes_within_6_s_while_idle_clients_use_all_connections(
    outage: Callable[[Discovery, DiscoveryConnection], None],
    processes: InstanceProcesses,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All lose their watch at once, and for a while their further calls hang or are rejected. Then discovery
    recovers and lists a draining backend, which every instance must learn within 6 s.
    """
    servers = RealTimeDiscovery()
    discovery = servers.discovery
    addresses = [processes.free_address() for _ in range(3)]
    started = []
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
        started.append(processes.start(file))

    servers.run_until(lambda: servers.watch_count() == 3, "a watch by each of three instances")
    idle_clients = [sock for address in addresses for sock in open_idle_connections(address, 100)]
    answer = Discovery.answer
    monkeypatch.setattr(Discovery, "answer", outage)
    discovery.close_connections()
    calls = len(discovery.calls)
    servers.run_until(lambda: len(discovery.calls) >= calls + 6, "two failed calls by each instance")
    discovery.endpoints = [
        EmulatedEndpoint("b0", servers.old_backend.address, 0, "DRAINING"),
        EmulatedEndpoint("b1", servers.new_backend.address, 0),
    ]
    recovered_s = time.monotonic()
    informed_s: dict[DiscoveryConnection, float] = {}  # when each instance got the new list

    def answer_and_record_time(self: Discovery, conn: DiscoveryConnection) -> None:
        informed_s[conn] = time.monotonic()
        answer(self, conn)

    monkeypatch.setattr(Discovery, "answer", answer_and_record_time)
    servers.run_until(lambda: len(informed_s) == 3, "a call by each instance after discovery has recovered")
    assert max(informed_s.values()) - recovered_s < DRAIN_NOTICE_S
    for sock in idle_clients:
        sock.close()
    for process in started:
        process.terminate()
    assert [process.wait(MAX_WAIT_S) for process in started] == [0, 0, 0]
