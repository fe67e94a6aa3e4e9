"""Real processes that are signalled at the wrong instant, and several that lose discovery together."""

from __future__ import annotations

import json
import os
import pathlib
import select
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
from tests.support.daemon import PLATFORM_CONFIG, PLATFORM_SETTINGS
from tests.support.simulated_instance import SimulatedInstance

ROOT = pathlib.Path(__file__).parents[2]
PING = codec.command([b"PING"])
LONGEST_S = 30.0  # a busy machine is no fault: what must hold is asserted by order, not by this


class Heads:
    """Heads as processes; a configuration may come through a pipe, so that a test knows where each stands."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.running: list[subprocess.Popen[bytes]] = []

    def pipe(self, name: str) -> pathlib.Path:
        path = self.folder / name
        os.mkfifo(path)
        return path

    def start(self, config: pathlib.Path) -> subprocess.Popen[bytes]:
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
        self.running.append(child)
        return child

    def end(self) -> None:
        for child in self.running:
            if child.poll() is None:
                child.kill()
            child.wait()


@pytest.fixture
def heads(tmp_path: pathlib.Path) -> Iterator[Heads]:
    started = Heads(tmp_path)
    try:
        yield started
    finally:
        started.end()


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return int(probe.getsockname()[1])


def ready(port: int, child: subprocess.Popen[bytes]) -> socket.socket:
    """A connection to a head that has answered; the tries end with the process, or the time."""
    until = time.monotonic() + LONGEST_S
    while child.poll() is None and time.monotonic() < until:
        try:
            sock = socket.create_connection(("127.0.0.1", port), LONGEST_S)
        except ConnectionRefusedError:
            select.select([], [], [], 0.01)
            continue
        sock.sendall(PING)
        assert sock.recv(64) == b"+PONG\r\n"
        return sock
    raise AssertionError(f"not ready, exit code {child.poll()}")


def waits(child: subprocess.Popen[bytes], pipe: pathlib.Path) -> int:
    """The pipe's writing end, once the process has come so far as to read its configuration from it."""
    until = time.monotonic() + LONGEST_S
    while child.poll() is None and time.monotonic() < until:
        try:
            return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            select.select([], [], [], 0.01)
    raise AssertionError(f"does not read its configuration, exit code {child.poll()}")


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM], ids=["SIGHUP", "SIGTERM"])
def test_signal_during_startup_takes_effect_once_the_process_serves(number: int, heads: Heads) -> None:
    """Nobody had a handler yet: a reload of all heads killed the one that was just starting."""
    port, pipe = free_port(), heads.pipe("config")
    text = json.dumps(PLATFORM_CONFIG | {"listen": f"127.0.0.1:{port}"}).encode()
    child = heads.start(pipe)
    writer = waits(child, pipe)
    child.send_signal(number)
    # What a reload finds there in the pipe's place.
    plain = heads.folder / "plain"
    plain.write_bytes(text)
    os.replace(plain, pipe)
    os.write(writer, text)
    os.close(writer)
    if number == signal.SIGHUP:
        ready(port, child).close()
        until = time.monotonic() + LONGEST_S
        while (
            b'msg="configuration reloaded"' not in (heads.folder / "log").read_bytes()
            and time.monotonic() < until
        ):
            ready(port, child).close()
        child.terminate()
    assert child.wait(LONGEST_S) == 0
    assert (b'msg="configuration reloaded"' in (heads.folder / "log").read_bytes()) == (
        number == signal.SIGHUP
    )


def test_configuration_that_breaks_its_parser_leaves_the_process_serving_and_terminable(heads: Heads) -> None:
    """What nobody had foreseen ended the heeding of signals: the head could only be killed."""
    port, file = free_port(), heads.folder / "config.json"
    file.write_text(json.dumps(PLATFORM_CONFIG | {"listen": f"127.0.0.1:{port}"}))
    child = heads.start(file)
    client = ready(port, child)
    file.write_text("[" * 200_000)
    child.send_signal(signal.SIGHUP)
    log = heads.folder / "log"
    until = time.monotonic() + LONGEST_S
    while b"reload" not in log.read_bytes() and time.monotonic() < until:
        client.sendall(PING)
        assert client.recv(64) == b"+PONG\r\n"
    child.terminate()
    assert child.wait(LONGEST_S) == 0


def silent(discovery: Discovery, conn: DiscoveryConnection) -> None:
    """Takes the call and says nothing."""


def refuses(_discovery: Discovery, conn: DiscoveryConnection) -> None:
    conn.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize("way", [silent, refuses])
def test_drain_reaches_three_processes_within_6_s_while_idle_clients_hold_every_place(
    way: Callable[[Discovery, DiscoveryConnection], None], heads: Heads, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All lose their watch at once, and the calls that follow hang or are refused for a while. Then discovery
    is back, with a drain: from then on it counts as told after 6 s."""
    world = SimulatedInstance()
    discovery, old, new = (
        world.server(Discovery),
        world.server(EmulatedBackend),
        world.server(EmulatedBackend),
    )
    discovery.endpoints = [EmulatedEndpoint("b0", old.address, 0)]
    ports = [free_port() for _ in range(3)]
    children = []
    for n, port in enumerate(ports):
        file = heads.folder / f"n{n}.json"
        file.write_text(
            json.dumps(
                PLATFORM_CONFIG
                | {
                    "name": f"n{n}",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": discovery.address,
                    "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 128},
                    "known": {"generation": 0, "reset": True, "instances": [discovery.endpoints[0].entry()]},
                    "settings": PLATFORM_SETTINGS | {"Balancers": 3, "Me": n},
                }
            )
        )
        children.append(heads.start(file))

    def turns(until: Callable[[], bool], span_s: float) -> bool:
        """Lets the servers here act, on the machine's clock, until that is so."""
        last = time.monotonic() + span_s
        while not until() and time.monotonic() < last:
            world.time = time.monotonic_ns() // 1000
            world.scheduler.run_iteration(10)
        return until()

    assert turns(
        lambda: sum(isinstance(c, DiscoveryConnection) for c in discovery.connections) == 3, LONGEST_S
    )
    crowd = []
    for port in ports:
        for _ in range(100):
            try:
                crowd.append(socket.create_connection(("127.0.0.1", port), 1))
            except OSError:
                break
    answer = Discovery.answer
    monkeypatch.setattr(Discovery, "answer", way)
    discovery.close_connections()
    calls = len(discovery.calls)
    assert turns(lambda: len(discovery.calls) >= calls + 6, LONGEST_S), "each has asked twice in vain"
    discovery.endpoints = [
        EmulatedEndpoint("b0", old.address, 0, "DRAINING"),
        EmulatedEndpoint("b1", new.address, 0),
    ]
    back = time.monotonic()
    told: dict[DiscoveryConnection, float] = {}

    def tells(self: Discovery, conn: DiscoveryConnection) -> None:
        told[conn] = time.monotonic()
        answer(self, conn)

    monkeypatch.setattr(Discovery, "answer", tells)
    assert turns(lambda: len(told) == 3, LONGEST_S)
    assert max(told.values()) - back < 6.0
    for sock in crowd:
        sock.close()
    for child in children:
        child.terminate()
    assert [child.wait(LONGEST_S) for child in children] == [0, 0, 0]
