"""Connections to backends: reuse, breaks, bounds."""

from __future__ import annotations

import pytest

from garnetlanding.core.ports import AttemptHandle
from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator.brick import Brick
from garnetlanding.emulator.discovery import Box
from tests.support.clock import MS
from tests.support.runtime import BrickWorld
from tests.support.simulated_instance import read_command


def test_idle_connections_are_reused_and_closed_before_the_backend_closes_them() -> None:
    w = BrickWorld()
    for i in range(3):
        w.client.say(read_command(f"r{i}"))
    assert len(w.brick.conns) == 1
    w.run(w.limits.backend_idle_us + w.limits.sweep_us, step_us=500 * MS)
    assert not w.brick.conns
    assert w.bricks.count == 0
    assert w.client.say(read_command("again")) == b"$0\r\n\r\n"


def test_connection_closed_after_its_reply_is_not_reused() -> None:
    """The next request goes out in the turn that brought the answer, before the close has been read."""
    w = BrickWorld()
    w.client.say(read_command("r1"))
    [[idle]] = w.bricks._idle.values()
    assert idle._stream
    w.mute(idle._stream._sock.fileno())
    w.brick.drop()
    w.settle()
    assert w.client.say(read_command("r2")) == b"$0\r\n\r\n"
    assert w.outcomes() == ["served", "served"]
    assert w.brick.accepted == 2


def test_refused_connection_reports_that_the_request_never_ran() -> None:
    w = BrickWorld()
    w.brick.listener.stop_accepting()
    w.client.say(read_command(d=400))
    assert w.outcomes() == [Outcome.UNREACHABLE.value]
    w.run(400 * MS)
    assert w.client.got.startswith(b"-BUSY ")


def test_connect_that_never_completes_times_out() -> None:
    # Its listen queue is full: the kernel drops what else comes, as a vanished machine would.
    w = BrickWorld(backlog=0)
    full = w.server(Brick)
    assert full.listener._sock
    w.settle()
    w.mute(full.listener._sock.fileno())
    for _ in range(3):
        w.peer(full.address)
    w.list(Box("b0", full.address, 0))
    w.client.say(read_command(d=400))
    assert w.outcomes() == ["out"]
    w.run(w.limits.dial_us)
    assert w.outcomes()[0] == Outcome.UNREACHABLE.value


def test_attempt_stopped_before_connecting_leaves_no_connection(
    caplog: pytest.LogCaptureFixture,
) -> None:
    w = BrickWorld()
    start = w.bricks.start

    def start_and_stop(trial: AttemptHandle) -> None:
        start(trial)
        w.bricks.stop(trial)
        trial.finish(Outcome.CANCELLED)

    w.bricks.start = start_and_stop  # type: ignore[method-assign]
    w.client.say(read_command())
    assert w.bricks.count == 0
    assert not w.brick.heard
    assert "task failed" not in caplog.text


def test_break_after_the_last_byte_was_sent_reports_may_have_run() -> None:
    w = BrickWorld()
    w.brick.script = [None]
    w.client.say(read_command())
    w.brick.drop()
    w.settle()
    assert w.outcomes() == [Outcome.RESET.value]


def test_break_before_the_last_byte_was_sent_reports_never_ran() -> None:
    w = BrickWorld(buffer_bytes=4096, unsent_bytes=1 << 24, value_bytes=1 << 23)
    w.client.say(read_command())
    brick_side = next(iter(w.brick.listener._clients))
    w.mute(brick_side.stream._sock.fileno())  # the brick reads nothing more
    body = b"x" * (7 << 20)  # more than the kernel takes
    w.client.say(read_command("big", verb="BLK.WRITE", d=1400, body=body))
    assert w.outcomes() == ["served", "out"]
    brick_side.stream.close()
    w.settle()
    assert w.outcomes()[1] == Outcome.UNREACHABLE.value


def test_timeout_closes_the_connection_before_anything_else_is_sent() -> None:
    w = BrickWorld()
    w.brick.script = [None]
    w.client.say(read_command(d=300))
    w.run(300 * MS)
    assert not w.brick.conns
    assert w.client.got.startswith(b"-BUSY")
    assert w.client.say(read_command("next")) == b"$0\r\n\r\n"


@pytest.mark.parametrize("noise", [b"+OK\r\n+OK\r\n", b"?"])
def test_protocol_violation_closes_the_backend_connection(noise: bytes) -> None:
    w = BrickWorld()
    w.client.say(read_command())
    w.brick.conns[0].write(noise)
    w.settle()
    assert not w.brick.conns
    assert w.client.say(read_command("next")) == b"$0\r\n\r\n"


def test_connections_are_bounded_per_backend_and_in_total() -> None:
    w = BrickWorld(conns_per_backend=2, backend_conns=3)
    other = w.server(Brick)
    w.list(Box("b0", w.brick.address, 0), Box("b1", other.address, 1))
    w.brick.script = [None] * 9
    w.client.say(b"".join(read_command(f"r{i}", volume=f"v{i}") for i in range(3)))
    assert w.outcomes().count("out") == 2
    assert Outcome.UNREACHABLE.value in w.outcomes()
    w.client.say(read_command("o", cell=1))
    assert w.bricks.count == 3
    assert len(other.conns) == 1
    third = w.server(Brick)
    w.list(Box("b0", w.brick.address, 0), Box("b2", third.address, 2))
    w.client.say(read_command("p", cell=2))
    assert len(third.conns) == 1, "the connection idle longest made room"
    assert not other.conns, "the connection idle longest made room"


def test_backend_that_moves_while_connecting_is_not_sent_the_request() -> None:
    w = BrickWorld()
    moved = w.server(Brick)
    assert w.client.stream
    w.client.stream.write(read_command(d=900))
    while not w.core.starts:
        w.scheduler.turn(1)
    w.core.endpoints._addresses["b0"] = moved.address
    w.settle()
    assert not w.brick.heard
    assert w.outcomes() == [Outcome.UNREACHABLE.value]
    w.run(200 * MS)
    assert len(moved.heard) == 1
    assert w.client.got == b"$0\r\n\r\n"
