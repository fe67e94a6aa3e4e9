"""What ends while something is still owed: clients that leave, connections let go, the process, attempts.
Each test forces the bad order on real connections; the clock moves only when the test moves it."""

from __future__ import annotations

import os
import pathlib
import signal
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.decision import interface as api
from garnetlanding.emulator.brick import Brick
from garnetlanding.emulator.discovery import Box, Discovery
from garnetlanding.limits import Limits
from garnetlanding.ninep import codec as p9
from garnetlanding.resp import codec
from garnetlanding.runtime.buffers import PoolEmpty
from garnetlanding.runtime.closing import TO, Closing, Event, State
from garnetlanding.runtime.stream import Stream, parse_address
from garnetlanding.shutdown import Phase, Schedule
from tests.daemon.test_daemon import SETTINGS, SLOW, Head, handlers_put_back
from tests.helpers import MS, SECOND, NineWorld, Tool, World, heard, read_command, settings

PING = codec.command([b"PING"])
BAD = codec.command([b"NO"])
QUIT = codec.command([b"QUIT"])


class Raw:
    """A client's end as the operating system has it: tells a reset from an end, reads when it wants to."""

    def __init__(self, world: World, address: str) -> None:
        self.world = world
        self.sock = socket.create_connection(parse_address(address))
        self.sock.setblocking(False)
        world.settle()

    def say(self, data: bytes) -> None:
        self.sock.sendall(data)
        self.world.settle()

    def read(self) -> bytes:
        """All that has come. Raises BlockingIOError where the connection goes on, ConnectionResetError where
        it was reset: only an end says that this is all."""
        got = b""
        while piece := self.sock.recv(1 << 16):
            got += piece
        return got

    def open(self) -> bool:
        try:
            self.read()
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def fin(self) -> None:
        self.sock.close()

    def abort(self) -> None:
        """Closes with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def fin_behind_bytes(self) -> None:
        self.sock.sendall(PING * 50)
        self.sock.close()


LEAVE: dict[str, Callable[[Raw], None]] = {
    "fin": Raw.fin,
    "reset": Raw.abort,
    "fin behind bytes": Raw.fin_behind_bytes,
}


class Waiting(World):
    """A head whose only brick is not listed yet: requests wait for their first attempt."""

    def __init__(self, **limits: int) -> None:
        super().__init__(settings(parallel_attempts=False, max_attempts=4, instances=1), **limits)
        self.brick = self.server(Brick)
        self.listener = self.front()
        self.list()

    def appear(self) -> None:
        self.list(Box("b0", self.brick.address, 0), whole=False)


def connect_late(w: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """From now on a connection takes 0.2 s to come up."""
    connect = Stream.connect

    def late(cls: type[Stream], *args: Any) -> Stream:
        w.scheduler.sleep(200 * MS)
        return connect(*args)

    monkeypatch.setattr(Stream, "connect", classmethod(late))


# Clients that leave


@pytest.mark.parametrize("how", LEAVE)
@pytest.mark.parametrize("busy_with", [b"", BAD, QUIT, b"?\r\n", read_command("half")[:-9]])
def test_a_client_that_left_while_it_waited_is_not_sent_on(how: str, busy_with: bytes) -> None:
    """After a bad command the connection was not read for 0.2 s, after QUIT no more: nobody saw the FIN."""
    w = Waiting()
    client = Raw(w, w.listener.address)
    client.say(read_command(d=1400) + busy_with)
    LEAVE[how](client)
    w.run(100 * MS)
    w.appear()
    w.run(SECOND, 50 * MS)
    assert not w.brick.heard and w.core.open_requests == 0


@pytest.mark.parametrize("how", LEAVE)
def test_no_further_attempt_begins_for_a_client_that_left_between_two(how: str) -> None:
    w = Waiting()
    w.appear()
    w.brick.script = [b"-BUSY\r\n"]
    client = Raw(w, w.listener.address)
    client.say(read_command(d=1400) + BAD)
    assert len(w.brick.heard) == 1
    LEAVE[how](client)
    w.run(SECOND)
    assert len(w.brick.heard) == 1 and w.core.open_requests == 0


def test_a_client_that_leaves_while_its_connection_comes_up_is_not_sent_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    w = Waiting()
    w.appear()
    client = Raw(w, w.listener.address)
    connect_late(w, monkeypatch)
    client.say(read_command(d=1400))
    assert w.core.starts
    client.fin()
    w.run(SECOND)
    assert not w.brick.heard


def test_a_crowd_that_leaves_in_the_turn_in_which_its_brick_appears_is_not_sent_on() -> None:
    w = Waiting()
    crowd = [Raw(w, w.listener.address) for _ in range(40)]
    for n, client in enumerate(crowd):
        client.say(read_command(f"r{n}", d=1400, volume=f"v{n}") + (BAD if n % 2 else QUIT))
    for client in crowd:
        client.fin()
    w.appear()
    w.run(SECOND)
    assert not w.brick.heard and w.core.open_requests == 0 and len(w.listener) == 0


def test_where_buffers_have_run_out_a_leaver_is_seen_and_what_is_owed_is_answered() -> None:
    """A read needed a buffer: without one the connection was closed, and its open requests got no answer."""
    w = Waiting()
    leaver, stays = Raw(w, w.listener.address), Raw(w, w.listener.address)
    leaver.say(read_command("r1", d=1400))
    stays.say(read_command("r2", d=1400))
    with pytest.raises(PoolEmpty):
        while True:
            w.pool.take()
    leaver.fin()
    w.settle()
    assert w.core.open_requests == 1
    stays.say(read_command("r3")[:-9])
    assert (
        stays.read().startswith(b"-ERR out of buffers\r\n-ERR out of buffers\r\n")
        and w.core.open_requests == 0
    )


def test_messages_that_wait_behind_others_are_dropped_with_their_client() -> None:
    """9P takes a few messages a turn and reads nothing meanwhile: a client that had left was worked for."""
    w = NineWorld(ninep_items=64)
    tool = Tool(w)
    tool.open(1, "sv", "law", "terms")
    before = len(heard(w, p9.Tread))
    assert tool.stream
    tool.stream.write(b"".join(p9.encode(10 + n, p9.Tread(1, n * 64, 64)) for n in range(60)))
    for _ in range(4):
        w.scheduler.turn(1)
    assert tool.stream
    tool.stream.close()
    begun = len(w.core.starts)
    w.settle()
    assert len(w.core.starts) <= begun + w.limits.ninep_turn, "what the turn of its leaving had begun already"
    assert len(heard(w, p9.Tread)) - before <= begun + w.limits.ninep_turn


def test_a_flood_leaves_others_their_turn() -> None:
    """Whoever sent without a pause was read without one: nobody else was heard until it drew breath."""
    w = World(read_turn_bytes=16 << 10)
    front = w.front()
    flood = Raw(w, front.address)
    [head_end] = front._clients
    sent = 0
    while True:
        try:
            sent += flood.sock.send(PING * 2000)
        except BlockingIOError:
            break
    assert sent > 16 * w.limits.read_turn_bytes
    w.scheduler.turn(1)
    assert 0 < head_end.machine.taken * len(PING) <= w.limits.read_turn_bytes + w.limits.buffer_bytes


# Connections that are let go between requests


def crossing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whatever the head looks for, the bytes come behind its look."""
    monkeypatch.setattr(Stream, "quiet", lambda self: True)


def evict(w: Waiting) -> None:
    w.listener.shed(0)


def end(w: Waiting) -> None:
    w.listener.close_idle()


@pytest.mark.parametrize("let_go", [evict, end])
def test_a_request_that_crosses_the_close_is_not_sent_on_and_the_last_answer_arrives(
    let_go: Callable[[Waiting], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Closed with input unread, the connection was reset, and the answer before it could go with that."""
    w = Waiting()
    w.appear()
    w.brick.data[b"k"] = b"x" * 30_000
    client = Raw(w, w.listener.address)
    client.say(read_command())
    w.run(3 * SECOND, 100 * MS)
    [head_end] = w.listener._clients
    crossing(monkeypatch)
    client.sock.sendall(read_command("r2"))  # not read yet: the head has had no turn since
    let_go(w)
    w.settle()
    assert client.read() == codec.bulk(b"x" * 30_000), "whole, and then an end and no reset"
    client.fin()
    w.settle()
    assert len(w.brick.heard) == 1 and len(w.listener) == 0 and head_end.closing.state is State.CLOSED


def test_a_request_that_has_come_before_the_look_is_served() -> None:
    w = Waiting()
    w.appear()
    client = Raw(w, w.listener.address)
    client.say(read_command())
    w.run(3 * SECOND, 100 * MS)
    client.sock.sendall(read_command("r2"))
    w.listener.shed(0)
    w.listener.close_idle()
    w.settle()
    assert len(w.brick.heard) == 2 and client.read() == b"$0\r\n\r\n" * 2, "and then it is let go"


def test_clients_that_stay_when_let_go_hold_few_descriptors_and_not_for_long() -> None:
    w = World(client_conns=6, linger_conns=2)
    front = w.front()
    stay = [Raw(w, front.address) for _ in range(6)]
    w.run(w.limits.new_us)
    late = [Raw(w, front.address) for _ in range(4)]
    w.run(20 * MS, 10 * MS)
    for client in late:
        client.say(PING)
    assert [client.sock.recv(16) for client in late] == [b"+PONG\r\n"] * 4, "places are free at once"
    assert len(front) <= 6 + 2
    w.run(w.limits.linger_us)
    assert len(front) == 6 and len(stay) == 6


@given(st.lists(st.sampled_from(Event), max_size=12))
def test_a_connection_once_told_that_this_is_the_end_never_takes_anything_again(events: list[Event]) -> None:
    closing, over = Closing(), False
    for event in events:
        before = closing.state
        closing.on(event)
        assert not (over and closing.reads), "what comes behind the shutdown would be lost"
        assert not (before is State.FINISHING and closing.state is State.SERVING)
        over = over or closing.over
        if event in (Event.FIN, Event.BROKEN, Event.CUT):
            assert closing.state is State.CLOSED
    assert set(TO) == set(State)


# The process


@given(st.integers(10 * MS, 20 * SECOND))
def test_schedule_terminates_before_sigkill_for_any_longest_deadline(longest_us: int) -> None:
    limits = Limits()
    schedule = Schedule.for_deadline(limits, longest_us)
    killed = min(longest_us, 3 * SECOND) + 700 * MS
    assert (
        schedule.accepting_us
        <= schedule.draining_us
        <= schedule.rejecting_us
        <= schedule.terminating_us
        <= killed - 200 * MS
    )
    assert schedule.draining_us >= 400 * MS, "until then new connections come"
    assert longest_us < 3 * SECOND or schedule.rejecting_us == limits.term_reject_us


@given(
    st.lists(
        st.tuples(st.integers(0, 500 * MS), st.integers(0, 2), st.integers(0, 2), st.booleans()),
        min_size=30,
        max_size=60,
    )
)
def test_phases_never_go_back_and_terminate_in_time(looks: list[tuple[int, int, int, bool]]) -> None:
    schedule = Schedule.for_deadline(Limits(), SECOND)
    age, phase = 0, Phase.SERVING
    for step, connections, open_requests, superseded in looks:
        age += step + 10 * MS
        after = schedule.next(phase, age, connections, open_requests, superseded)
        assert after >= phase
        assert (
            after is phase
            or after is not Phase.TERMINATING
            or age >= schedule.terminating_us
            or not (connections or open_requests)
        )
        phase = after
        assert age < schedule.terminating_us or phase is Phase.TERMINATING


def ended_within(h: Head, span_us: int) -> bool:
    h.daemon.scheduler.spawn(h.daemon.end)
    h.run(span_us, 50 * MS)
    return h.daemon.scheduler._stopped


@pytest.mark.parametrize("longest_us", [400 * MS, 1500 * MS, 4000 * MS])
def test_the_last_answers_are_given_before_sigkill_whatever_the_longest_deadline(longest_us: int) -> None:
    """They were given 3.2 s after SIGTERM: with deadlines of 1.5 s and less SIGKILL was there first."""
    h = Head(settings=SETTINGS | {"Classes": [SETTINGS["Classes"][0] | {"GiveUpUs": longest_us}]})
    h.brick.hold = True
    client = Raw(h, h.daemon.listeners[0].address)
    h.daemon.scheduler.spawn(h.daemon.end)
    h.run(400 * MS)
    client.say(read_command(d=60_000))
    h.run(min(longest_us, 3 * SECOND) + 700 * MS - 400 * MS - 100 * MS)
    assert client.read() == b"-ERR ending\r\n" and h.daemon.scheduler._stopped


@pytest.mark.parametrize("left", [read_command()[:-5], QUIT[:3], b""])
def test_a_client_that_says_half_a_command_does_not_keep_the_process(left: bytes) -> None:
    """It had 2.5 s for the rest of it, whenever it began."""
    h = Head(settings=SLOW)
    client = Raw(h, h.daemon.listeners[0].address)
    client.say(read_command())
    h.daemon.scheduler.spawn(h.daemon.end)
    h.run(1400 * MS, 50 * MS)
    client.say(left)
    h.run(2150 * MS, 50 * MS)
    assert h.daemon.scheduler._stopped


def test_a_client_that_reads_nothing_does_not_keep_the_process() -> None:
    h = Head(settings=SLOW)
    h.brick.data[b"k"] = b"x" * 60_000
    deaf = Raw(h, h.daemon.listeners[0].address)
    [head_end] = h.daemon.listeners[0]._clients
    n = 0
    while head_end.stream.flushed:
        deaf.say(read_command(f"r{n}", d=3000))
        n += 1
    assert ended_within(h, 3600 * MS)


@pytest.mark.parametrize("part", ["_end_ops", "_end_telemetry", "_leave", "_end_audit", "_end_life"])
def test_a_part_that_cannot_be_ended_does_not_keep_the_others(
    part: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The first that failed left the process running until SIGKILL."""
    h, ended = Head(), []
    for name in ("_end_ops", "_end_telemetry", "_leave", "_end_audit", "_end_life"):
        monkeypatch.setattr(h.daemon, name, lambda name=name: 1 / 0 if name == part else ended.append(name))
    assert ended_within(h, SECOND)
    assert len(ended) == 4 and "subsystem failed to stop" in caplog.text


def test_signals_that_come_while_it_ends_change_nothing(caplog: pytest.LogCaptureFixture) -> None:
    with handlers_put_back():
        h = Head(settings=SLOW)
        client = Raw(h, h.daemon.listeners[0].address)
        h.daemon._catch_signals()
        os.kill(os.getpid(), signal.SIGTERM)
        h.run(100 * MS)
        second = h.server(Discovery)
        h.file = h.file | {"discovery": second.address}
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            os.kill(os.getpid(), number)
            h.run(100 * MS)
            client.say(read_command(f"r{number}"))
        assert client.sock.recv(100) == b"$0\r\n\r\n" * 3 and not second.calls
        h.run(4 * SECOND, 50 * MS)
        assert h.daemon.scheduler._stopped


def test_a_process_whose_life_s_file_is_gone_ends(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    h = Head(ops="127.0.0.1:0")
    for file in tmp_path.iterdir():
        os.unlink(file)
    assert ended_within(h, 2 * SECOND)


def test_clients_that_wait_to_be_accepted_take_the_places_of_idle_ones_and_no_more() -> None:
    """All of them were taken at the end, past the bound: discovery and bricks had no descriptor left."""
    w = Waiting(client_conns=3)
    w.appear()
    idle = [Raw(w, w.listener.address) for _ in range(3)]
    for n, client in enumerate(idle):
        client.say(read_command(f"i{n}"))
    waiting = [socket.create_connection(parse_address(w.listener.address)) for _ in range(6)]
    for n, sock in enumerate(waiting):
        sock.sendall(read_command(f"w{n}"))
    w.listener.close_idle()
    w.listener.stop_accepting()
    assert len(w.listener._clients) == 3 and len(w.listener) <= 3 + w.limits.linger_conns
    w.settle()
    assert len(w.brick.heard) == 6, "three that were idle, three that waited"


# Attempts


def test_what_a_brick_said_unasked_is_not_taken_for_the_next_answer() -> None:
    """A second answer, some milliseconds late, lay unread on a kept connection as the next request came."""
    w = Waiting()
    w.appear()
    client = Raw(w, w.listener.address)
    client.say(read_command("r1"))
    [[kept]] = w.bricks._idle.values()
    assert kept._stream
    w.mute(kept._stream._sock.fileno())
    w.brick.conns[0].write(b"*3\r\n$5\r\nwrong\r\n$-1\r\n$-1\r\n")
    w.settle()
    client.sock.recv(100)
    client.say(read_command("r2"))
    assert client.sock.recv(100) == b"$0\r\n\r\n" and w.brick.accepted == 2


@pytest.mark.parametrize(
    "effect, window, repeats",
    [(api.Effect.KEYED, 300 * MS, 0), (api.Effect.KEYED, 900 * MS, 1), (api.Effect.SAFE, 0, 1)],
)
def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_sent(
    effect: api.Effect, window: int, repeats: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The window was looked at before the connection was begun, which takes up to 0.25 s."""
    cls = api.ClassSpec("read", 2.0, 0.1, 300 * MS, 1500 * MS, effect, api.DeduplicationScope.ALL, window)
    w = World(settings(parallel_attempts=False, max_attempts=2, instances=1, classes={"read": cls}))
    brick = w.server(Brick)
    brick.script = [None]
    w.list(Box("b0", brick.address, 0))
    client = Raw(w, w.front().address)
    client.say(read_command(d=1500))
    w.run(200 * MS)
    connect_late(w, monkeypatch)
    brick.drop()
    w.run(1200 * MS)
    assert len(w.core.starts) >= 2, "the module sends it again in time"
    assert len(brick.heard) == 1 + repeats


def test_an_answer_that_is_reset_has_not_ended() -> None:
    """Without a length it ends with its stream; a reset looked like that end."""
    w = World()
    listener = socket.create_server(("127.0.0.1", 0))
    stream: list[Stream] = []
    seen: list[bool] = []

    def read() -> None:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        stream.append(Stream.connect(w.scheduler, address, w.pool, w.limits, w.time + SECOND))
        while stream[0].read(lambda data: None):
            pass
        seen.append(stream[0].read_failed)

    for how in (Raw.abort, Raw.fin):
        w.scheduler.spawn(read)
        w.settle()
        raw = Raw.__new__(Raw)
        raw.sock = listener.accept()[0]
        raw.sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        w.settle()
        how(raw)
        w.settle()
        stream.clear()
    assert seen == [True, False]
    listener.close()
