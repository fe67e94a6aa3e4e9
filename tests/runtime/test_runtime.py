"""Buffers, the scheduler, the stream driver, and the connections to servers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.core.ports import AttemptHandle
from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator.brick import Brick
from garnetlanding.emulator.discovery import Box
from garnetlanding.resp import codec
from garnetlanding.runtime.buffers import BufferPool, Chain, PoolEmpty
from garnetlanding.runtime.scheduler import Expired, Scheduler
from garnetlanding.runtime.stream import parse_address
from tests.helpers import MS, SECOND, Peer, World, read_command, settings


@given(st.lists(st.one_of(st.binary(max_size=30), st.integers(0, 40)), max_size=30))
def test_a_chain_is_a_queue_of_bytes(steps: list[bytes | int]) -> None:
    pool = BufferPool(8, 2, 100)
    chain, model = Chain(pool), b""
    for step in steps:
        if isinstance(step, bytes):
            chain.append(step)
            model += step
        else:
            assert chain.peek(step) == model[:step] and chain.take(step) == model[:step]
            model = model[step:]
        assert chain.length == len(model)
        assert pool.in_use <= len(model) // 8 + 2, "emptied buffers go back to the pool"
    chain.clear()
    assert pool.in_use == 0


def test_a_line_ends_at_crlf_and_is_bounded() -> None:
    chain = Chain(BufferPool(4, 2, 100))
    chain.append(b"abc\r")
    assert chain.line(10) is None
    chain.append(b"\nrest")
    assert chain.line(10) == b"abc" and chain.length == 4
    with pytest.raises(ValueError):
        chain.line(2)


def test_a_pool_gives_no_more_than_it_may() -> None:
    pool = BufferPool(8, 1, 1)
    first = pool.take()
    with pytest.raises(PoolEmpty):
        pool.take()
    pool.give(first)
    assert pool.take() is first, "used again"


def test_a_defect_in_one_task_leaves_the_others_running(caplog: pytest.LogCaptureFixture) -> None:
    scheduler, seen = Scheduler(), []

    def bad() -> None:
        raise RuntimeError("defect")

    scheduler.spawn(bad)
    scheduler.call_at(0, bad)
    scheduler.turn_end.append(bad)
    scheduler.spawn(lambda: seen.append("on"))
    scheduler.turn(0)
    assert seen == ["on"] and caplog.text.count("RuntimeError: defect") == 3


def test_a_wait_ends_at_its_deadline_and_a_cancelled_timer_never_fires() -> None:
    clock, seen = [0], []
    scheduler = Scheduler(lambda: clock[0])
    scheduler.call_at(5, lambda: seen.append("cancelled")).cancel()

    def body() -> None:
        try:
            scheduler.park(10)
        except Expired:
            seen.append(f"expired at {scheduler.now}")

    scheduler.spawn(body)
    for clock[0] in (0, 9, 10, 10):
        scheduler.turn(0)
    assert seen == ["expired at 10"]


def test_cancelled_timers_do_not_gather_and_the_others_fire_in_order() -> None:
    """A request's timer stood in the heap until its deadline, long after its answer."""
    clock, seen = [0], []
    scheduler = Scheduler(lambda: clock[0])
    for i in range(1000):
        scheduler.call_at(10_000 - i, lambda: seen.append(scheduler.now)).cancel()
        if i % 100 == 0:
            scheduler.call_at(10_000 - i, lambda i=i: seen.append(i))  # type: ignore[misc]
        assert len(scheduler._timers) <= 2 * (i // 100 + 2)
    clock[0] = 10_000
    scheduler.turn(0)
    assert seen == list(range(900, -1, -100)) and scheduler.cancelled == len(scheduler._timers) == 0


@pytest.mark.parametrize("text", ["", "host", "host:", ":1", "h:x", "h:70000"])
def test_an_address_that_is_none_is_named(text: str) -> None:
    with pytest.raises(ValueError, match="HOST:PORT"):
        parse_address(text)


# Connections to bricks


class BrickWorld(World):
    def __init__(self, **limits: int) -> None:
        super().__init__(settings(parallel_attempts=False, max_attempts=4, instances=1), **limits)
        self.brick = self.server(Brick)
        self.list(Box("b0", self.brick.address, 0))
        self.client = self.peer(self.front().address)

    def outcomes(self) -> list[str]:
        return [a.outcome.value if a.outcome else "out" for a in self.core.starts]


def test_connections_are_used_again_and_closed_before_the_brick_would() -> None:
    w = BrickWorld()
    for i in range(3):
        w.client.say(read_command(f"r{i}"))
    assert len(w.brick.conns) == 1
    w.run(w.limits.brick_idle_us + w.limits.sweep_us, step_us=500 * MS)
    assert not w.brick.conns and w.bricks.count == 0
    assert w.client.say(read_command("again")) == b"$0\r\n\r\n"


def test_a_connection_closed_behind_its_answer_is_not_written_to_again() -> None:
    """The next request goes out in the turn that brought the answer, before the close has been read."""
    w = BrickWorld()
    w.client.say(read_command("r1"))
    [[idle]] = w.bricks._idle.values()
    assert idle._stream
    w.mute(idle._stream._sock.fileno())
    w.brick.drop()
    w.settle()
    assert w.client.say(read_command("r2")) == b"$0\r\n\r\n"
    assert w.outcomes() == ["served", "served"] and w.brick.accepted == 2


def test_a_refused_connection_never_ran() -> None:
    w = BrickWorld()
    w.brick.listener.stop_accepting()
    w.client.say(read_command(d=400))
    assert w.outcomes() == [Outcome.UNREACHABLE.value]
    w.run(400 * MS)
    assert w.client.got.startswith(b"-BUSY ")


def test_a_connection_that_never_comes_up_is_given_up_in_time() -> None:
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


def test_an_attempt_stopped_before_its_connection_began_leaves_nothing(
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
    assert w.bricks.count == 0 and not w.brick.heard and "task failed" not in caplog.text


def test_a_break_after_the_last_byte_may_have_run() -> None:
    w = BrickWorld()
    w.brick.script = [None]
    w.client.say(read_command())
    w.brick.drop()
    w.settle()
    assert w.outcomes() == [Outcome.RESET.value]


def test_a_break_before_the_last_byte_never_ran() -> None:
    w = BrickWorld(buffer_bytes=4096, out_bytes=1 << 24, value_bytes=1 << 23)
    w.client.say(read_command())
    brick_side = next(iter(w.brick.listener._clients))
    w.mute(brick_side.stream._sock.fileno())  # the brick reads nothing more
    body = b"x" * (7 << 20)  # more than the kernel takes
    w.client.say(read_command("big", verb="BLK.WRITE", d=1400, body=body))
    assert w.outcomes() == ["served", "out"]
    brick_side.stream.close()
    w.settle()
    assert w.outcomes()[1] == Outcome.UNREACHABLE.value


def test_time_out_closes_the_connection_before_anything_else_is_sent() -> None:
    w = BrickWorld()
    w.brick.script = [None]
    w.client.say(read_command(d=300))
    w.run(300 * MS)
    assert not w.brick.conns and w.client.got.startswith(b"-BUSY")
    assert w.client.say(read_command("next")) == b"$0\r\n\r\n"


@pytest.mark.parametrize("noise", [b"+OK\r\n+OK\r\n", b"?"])
def test_a_brick_that_breaks_the_protocol_is_left(noise: bytes) -> None:
    w = BrickWorld()
    w.client.say(read_command())
    w.brick.conns[0].write(noise)
    w.settle()
    assert not w.brick.conns
    assert w.client.say(read_command("next")) == b"$0\r\n\r\n"


def test_connections_are_bounded_for_each_brick_and_in_all() -> None:
    w = BrickWorld(brick_conns_each=2, brick_conns=3)
    other = w.server(Brick)
    w.list(Box("b0", w.brick.address, 0), Box("b1", other.address, 1))
    w.brick.script = [None] * 9
    w.client.say(b"".join(read_command(f"r{i}", volume=f"v{i}") for i in range(3)))
    assert w.outcomes().count("out") == 2 and Outcome.UNREACHABLE.value in w.outcomes()
    w.client.say(read_command("o", cell=1))
    assert w.bricks.count == 3 and len(other.conns) == 1
    third = w.server(Brick)
    w.list(Box("b0", w.brick.address, 0), Box("b2", third.address, 2))
    w.client.say(read_command("p", cell=2))
    assert len(third.conns) == 1 and not other.conns, "the connection idle longest made room"


def test_a_move_of_the_server_while_connecting_is_no_send_there() -> None:
    w = BrickWorld()
    moved = w.server(Brick)
    assert w.client.stream
    w.client.stream.write(read_command(d=900))
    while not w.core.starts:
        w.scheduler.turn(1)
    w.core.endpoints._addresses["b0"] = moved.address
    w.settle()
    assert not w.brick.heard and w.outcomes() == [Outcome.UNREACHABLE.value]
    w.run(200 * MS)
    assert len(moved.heard) == 1 and w.client.got == b"$0\r\n\r\n"


def test_answers_to_pipelined_commands_come_in_order_though_served_out_of_order() -> None:
    w = BrickWorld()
    w.brick.data = {b"k1": b"one", b"k2": b"two"}
    w.brick.script = [None]
    w.client.say(read_command("r1", key="k1"))
    assert w.client.say(read_command("r2", key="k2")) == b""
    w.brick.release()
    w.settle()
    assert w.client.got == codec.bulk(b"one") + codec.bulk(b"two")


def test_ending_closes_idle_clients_and_waits_for_the_rest() -> None:
    w = BrickWorld()
    front = w.front()
    idle, busy = w.peer(front.address), w.peer(front.address)
    w.brick.script = [None]
    busy.say(read_command())
    front.stop_accepting()
    front.close_idle()
    w.settle()
    assert not idle.closed, "it has only just connected: what it asks may be on its way"
    w.run(w.limits.new_us)
    front.close_idle()
    w.settle()
    assert idle.closed and not busy.closed
    w.brick.release()
    w.settle()
    assert busy.got == b"$0\r\n\r\n" and busy.closed and len(front) == 0
    late = Peer(w, front.address)
    assert late.closed and SECOND
