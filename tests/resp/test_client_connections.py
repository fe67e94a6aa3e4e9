"""Client connections of the RESP front: closes, bounds, eviction."""

from __future__ import annotations

from garnetlanding.emulator.brick import Brick
from garnetlanding.emulator.discovery import Box
from garnetlanding.limits import MS
from tests.support.decision_bench import make_settings
from tests.support.resp import PING
from tests.support.simulated_instance import SimulatedInstance, read_command


def test_the_attempt_of_a_client_that_closes_is_stopped() -> None:
    w = SimulatedInstance()
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    brick.script = [None]
    peer = w.peer(w.front().address)
    peer.say(read_command())
    assert len(brick.held) == 1
    peer.close()
    assert w.core.open_requests == 0
    assert not brick.conns
    assert w.core.finals == [[]]


def test_a_client_that_stalls_in_sending_or_reading_is_closed() -> None:
    w = SimulatedInstance(buffer_bytes=512, unsent_bytes=20_000)
    brick = w.server(Brick)
    brick.data[b"k"] = b"x" * 60_000
    w.list(Box("b0", brick.address, 0))
    front = w.front()
    half = w.peer(front.address)
    half.say(read_command()[:-5])
    w.run(w.limits.command_us + MS, step_us=500 * MS)
    assert half.closed
    deaf = w.peer(front.address)
    assert deaf.stream
    w.mute(deaf.stream._sock.fileno())  # it stops reading
    deaf.stream.write(b"".join(read_command(f"r{i}") for i in range(400)))
    w.run(w.limits.write_stall_us + MS, step_us=100 * MS)
    assert len(front) == 0, "what it leaves unread is bounded in bytes and time"


def test_at_the_limit_the_longest_idle_connection_is_evicted() -> None:
    w = SimulatedInstance(client_conns=2)
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    front = w.front()
    busy, idle = w.peer(front.address), w.peer(front.address)
    idle.say(read_command())
    brick.script = [None]
    busy.say(read_command("r2", d=1400))
    third = w.peer(front.address)
    assert third.say(PING) == b"", "a good client may be idle for a moment"
    assert not idle.closed, "a good client may be idle for a moment"
    w.run(w.limits.idle_us, step_us=100 * MS)
    assert third.got == b"+PONG\r\n"
    assert idle.closed


def test_clients_that_only_ping_are_evicted_before_those_with_requests() -> None:
    """Hundreds sent a PING and stayed: their places were theirs for 2 s, and nobody else was heard."""
    w = SimulatedInstance(client_conns=2, idle_us=100 * MS)
    w.list()
    front = w.front()
    asker, greeter = w.peer(front.address), w.peer(front.address)
    asker.say(read_command(d=0))
    greeter.say(PING)
    late = w.peer(front.address)
    assert late.say(PING) == b""
    w.run(w.limits.new_us)
    assert late.got == b"+PONG\r\n"
    assert greeter.closed
    assert not asker.closed


def test_silent_clients_are_evicted_sooner_unless_their_request_waits_unread() -> None:
    w = SimulatedInstance(client_conns=2)
    front = w.front()
    silent, late = w.peer(front.address), w.peer(front.address)
    head_end = min(
        front._clients,
        key=lambda c: c.used_at
        if c.stream._sock.getpeername() == (late.stream and late.stream._sock.getsockname())
        else 1 << 60,
    )
    w.mute(head_end.stream._sock.fileno())
    late.say(PING)
    third = w.peer(front.address)
    assert third.say(PING) == b""
    w.run(w.limits.new_us)
    assert third.got == b"+PONG\r\n"
    assert silent.closed
    assert not late.closed
    third.say(PING[:5])
    fourth = w.peer(front.address)
    w.run(w.limits.new_us)
    assert fourth.say(PING) == b"+PONG\r\n", "half a command is little more than nothing"
    assert third.closed, "half a command is little more than nothing"


def test_many_idle_connections_are_closed_down_to_the_limit() -> None:
    """Clients that ask once and stay used up what clients may hold: others had no connection left."""
    w = SimulatedInstance(idle_clients=2)
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    front = w.front()
    peers = [w.peer(front.address) for _ in range(5)]
    for i, peer in enumerate(peers):
        peer.say(read_command(f"r{i}"))
    w.run(w.limits.idle_us - MS, 100 * MS)
    peers[0].say(read_command("again"))
    assert len(front) == 5
    w.run(w.limits.client_sweep_us + MS)
    assert len(front) == 2, "that one has just been used"
    assert not peers[0].closed, "that one has just been used"


def test_clients_borrow_descriptors_that_backends_do_not_need_and_return_them() -> None:
    """A fixed share left connections waiting that had been answered for within a moment."""
    w = SimulatedInstance(
        make_settings(max_attempts=4, parallel_attempts=False, instances=1),
        backend_conns_reserved=1,
        client_conns=4,
    )
    boxes = [w.server(Brick) for _ in range(4)]
    for brick in boxes:
        brick.script = [None]
    w.list(*(Box(f"b{i}", brick.address, i) for i, brick in enumerate(boxes)))
    front = w.front()
    front.lent, w.bricks.borrow = lambda: max(0, w.bricks.count - 1), front.lend
    busy, idle, late = (w.peer(front.address) for _ in range(3))
    idle.say(PING)
    for i in range(3):
        busy.say(read_command(f"r{i}", cell=i, d=10_000))
    assert w.bricks.count == 2, "two each: all places are taken"
    assert len(front) == 3, "two each: all places are taken"
    w.run(400 * MS)
    assert late.closed or idle.closed, "who had asked nothing made room for a brick"
    assert w.bricks.count == 3
