"""Graceful shutdown: its phases and deadlines, and clients that must not delay it."""

from __future__ import annotations

import os
import pathlib
import signal
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.daemon.shutdown_schedule import Phase, ShutdownSchedule
from garnetlanding.emulator.discovery import Discovery
from garnetlanding.limits import Limits
from garnetlanding.runtime.stream import parse_address
from tests.support.client_disconnects import QUIT, InstanceWithoutBackends, RawClient
from tests.support.clock import MS, SECOND
from tests.support.daemon import PLATFORM_SETTINGS, SLOW_SETTINGS, SimulatedDaemon, restored_signal_handlers
from tests.support.simulated_instance import read_command


@given(st.integers(10 * MS, 20 * SECOND))
def test_schedule_terminates_before_sigkill_for_any_longest_deadline(longest_us: int) -> None:
    limits = Limits()
    schedule = ShutdownSchedule.for_deadline(limits, longest_us)
    sigkill_us = min(longest_us, 3 * SECOND) + 700 * MS
    assert (
        schedule.accepting_us
        <= schedule.draining_us
        <= schedule.rejecting_us
        <= schedule.terminating_us
        <= sigkill_us - 200 * MS
    )
    assert schedule.draining_us >= 400 * MS, "new connections are accepted until then"
    assert longest_us < 3 * SECOND or schedule.rejecting_us == limits.shutdown_reject_us


@given(
    st.lists(
        st.tuples(st.integers(0, 500 * MS), st.integers(0, 2), st.integers(0, 2), st.booleans()),
        min_size=30,
        max_size=60,
    )
)
def test_phases_only_advance_and_terminate_in_time(polls: list[tuple[int, int, int, bool]]) -> None:
    schedule = ShutdownSchedule.for_deadline(Limits(), SECOND)
    elapsed_us, phase = 0, Phase.SERVING
    for step_us, connections, open_requests, superseded in polls:
        elapsed_us += step_us + 10 * MS
        next_phase = schedule.next_phase(phase, elapsed_us, connections, open_requests, superseded=superseded)
        assert next_phase >= phase
        assert (
            next_phase is phase
            or next_phase is not Phase.TERMINATING
            or elapsed_us >= schedule.terminating_us
            or not (connections or open_requests)
        )
        phase = next_phase
        assert elapsed_us < schedule.terminating_us or phase is Phase.TERMINATING


def shuts_down_within(instance: SimulatedDaemon, timeout_us: int) -> bool:
    instance.daemon.scheduler.spawn(instance.daemon.shut_down)
    instance.run(timeout_us, 50 * MS)
    return instance.daemon.scheduler._stopped


@pytest.mark.parametrize("longest_us", [400 * MS, 1500 * MS, 4000 * MS], ids=["0.4s", "1.5s", "4s"])
def test_open_requests_are_rejected_before_sigkill_for_any_longest_deadline(longest_us: int) -> None:
    """A fixed 3.2 s after SIGTERM would be too late: with deadlines up to 1.5 s, SIGKILL comes first."""
    instance = SimulatedDaemon(
        settings=PLATFORM_SETTINGS | {"Classes": [PLATFORM_SETTINGS["Classes"][0] | {"GiveUpUs": longest_us}]}
    )
    instance.backend.holds_responses = True
    client = RawClient(instance, instance.daemon.listeners[0].address)
    instance.daemon.scheduler.spawn(instance.daemon.shut_down)
    instance.run(400 * MS)
    client.send_bytes(read_command(d=60_000))
    instance.run(min(longest_us, 3 * SECOND) + 700 * MS - 400 * MS - 100 * MS)
    assert client.read() == b"-ERR ending\r\n"
    assert instance.daemon.scheduler._stopped


@pytest.mark.parametrize("partial", [read_command()[:-5], QUIT[:3], b""], ids=["read", "quit", "nothing"])
def test_client_with_an_incomplete_command_does_not_delay_shutdown(partial: bytes) -> None:
    """Guards against granting such a client 2.5 s for the rest of its command, whenever it began."""
    instance = SimulatedDaemon(settings=SLOW_SETTINGS)
    client = RawClient(instance, instance.daemon.listeners[0].address)
    client.send_bytes(read_command())
    instance.daemon.scheduler.spawn(instance.daemon.shut_down)
    instance.run(1400 * MS, 50 * MS)
    client.send_bytes(partial)
    instance.run(2150 * MS, 50 * MS)
    assert instance.daemon.scheduler._stopped


def test_client_that_reads_nothing_does_not_delay_shutdown() -> None:
    instance = SimulatedDaemon(settings=SLOW_SETTINGS)
    instance.backend.data[b"k"] = b"x" * 60_000
    client = RawClient(instance, instance.daemon.listeners[0].address)
    [connection] = instance.daemon.listeners[0]._clients
    sent = 0
    while connection.stream.flushed:
        client.send_bytes(read_command(f"r{sent}", d=3000))
        sent += 1
    assert shuts_down_within(instance, 3600 * MS)


# The names of all subsystems that are stopped, in their order.
STOP_ORDER = ["admin", "telemetry", "peer link", "audit", "process registry"]


@pytest.mark.parametrize("failing", STOP_ORDER)
def test_subsystem_that_fails_to_stop_does_not_keep_the_others_from_stopping(
    failing: str, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Otherwise the first failure would leave the process running until SIGKILL."""
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    operator = {"telemetry": {"endpoint": "http://127.0.0.1:9"}, "audit": {"folder": str(tmp_path / "audit")}}
    instance, stopped = SimulatedDaemon(operator, ops="127.0.0.1:0"), []
    subsystems = instance.daemon.assembly.stop_order
    assert [subsystem.name for subsystem in subsystems] == STOP_ORDER, "the order in which they are stopped"
    for subsystem in subsystems:
        name = subsystem.name
        monkeypatch.setattr(
            subsystem, "stop", lambda name=name: 1 / 0 if name == failing else stopped.append(name)
        )
    assert shuts_down_within(instance, SECOND)
    assert stopped == [name for name in STOP_ORDER if name != failing]
    assert len(stopped) == 4
    assert "subsystem failed to stop" in caplog.text


def test_signals_during_shutdown_change_nothing() -> None:
    with restored_signal_handlers():
        instance = SimulatedDaemon(settings=SLOW_SETTINGS)
        client = RawClient(instance, instance.daemon.listeners[0].address)
        instance.daemon.catch_signals()
        os.kill(os.getpid(), signal.SIGTERM)
        instance.run(100 * MS)
        new_discovery = instance.server(Discovery)
        instance.platform_config = instance.platform_config | {"discovery": new_discovery.address}
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            os.kill(os.getpid(), number)
            instance.run(100 * MS)
            client.send_bytes(read_command(f"r{number}"))
        assert client.sock.recv(100) == b"$0\r\n\r\n" * 3
        assert not new_discovery.calls
        instance.run(4 * SECOND, 50 * MS)
        assert instance.daemon.scheduler._stopped


def test_shutdown_completes_when_the_process_record_was_deleted(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    instance = SimulatedDaemon(ops="127.0.0.1:0")
    for file in tmp_path.iterdir():
        os.unlink(file)
    assert shuts_down_within(instance, 2 * SECOND)


def test_draining_accepts_the_backlog_only_into_the_places_of_idle_clients() -> None:
    """Accepting the whole backlog would leave discovery and backends without file descriptors."""
    instance = InstanceWithoutBackends(client_connections=3)
    instance.list_backend()
    idle = [RawClient(instance, instance.listener.address) for _ in range(3)]
    for n, client in enumerate(idle):
        client.send_bytes(read_command(f"i{n}"))
    waiting = [socket.create_connection(parse_address(instance.listener.address)) for _ in range(6)]
    for n, sock in enumerate(waiting):
        sock.sendall(read_command(f"w{n}"))
    instance.listener.close_idle()
    instance.listener.stop_accepting()
    assert len(instance.listener._clients) == 3
    assert len(instance.listener) <= 3 + instance.limits.lingering_connections
    instance.settle()
    assert len(instance.backend.received) == 6, "three from idle clients, three from the backlog"
