"""RESP2: the codec at any split, the front against a model of its states, commands and answers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from garnetlanding.core.ports import Answer, Failed, Rejected, Served
from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator.brick import Brick
from garnetlanding.emulator.discovery import Box
from garnetlanding.limits import MS, Limits
from garnetlanding.resp import codec
from garnetlanding.resp.brick import read_reply
from garnetlanding.resp.front import ClientMachine, write_answer
from garnetlanding.resp.request import BadRequest, read_request
from garnetlanding.runtime.buffers import BufferPool
from tests.helpers import SECOND, FakeCore, World, read_command, settings

LIMITS = Limits()
PING = codec.command([b"PING"])
WORDS = st.lists(st.binary(max_size=40), min_size=1, max_size=6)


def pool(size: int = 16) -> BufferPool:
    return BufferPool(size, 4, 1 << 16)


def cut(data: bytes, sizes: list[int]) -> list[bytes]:
    pieces = []
    for size in sizes:
        pieces.append(data[:size])
        data = data[size:]
    return [*pieces, data]


@given(st.lists(WORDS, max_size=5), st.lists(st.integers(0, 30), max_size=20))
def test_commands_are_read_alike_however_they_are_cut(commands: list[list[bytes]], sizes: list[int]) -> None:
    buffers = pool()
    decoder = codec.Decoder(buffers, LIMITS, commands_only=True)
    data = b"".join(map(codec.command, commands))
    got = [value for piece in cut(data, sizes) for value in decoder.feed(piece)]
    assert got == commands and not decoder.midway
    assert buffers.in_use <= 1, "an emptied buffer goes back"


def test_replies_of_every_kind() -> None:
    data = b"+OK\r\n-ERR x\r\n:-7\r\n$-1\r\n*-1\r\n*0\r\n*2\r\n*1\r\n:1\r\n$2\r\nab\r\n"
    assert list(codec.Decoder(pool(), LIMITS).feed(data)) == [
        codec.Simple(b"OK"),
        codec.Error(b"ERR x"),
        -7,
        None,
        None,
        [],
        [[1], b"ab"],
    ]


@pytest.mark.parametrize(
    "data",
    [
        b"GET x\r\n",
        b"*x\r\n",
        b"*-2\r\n",
        b"*99\r\n",
        b"*1\r\n:1\r\n",
        b"*1\r\n$70000\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$1\r\nabc",
        b"*" + b"1" * 600,
        b"*1\r\n$99999999999999999999\r\n",
        b"*1\r\n*1\r\n",
        b"*1\r\n$-5\r\n",
    ],
)
def test_lost_framing_gets_an_error_and_a_closed_connection(data: bytes) -> None:
    w = World()
    peer = w.peer(w.front().address)
    assert peer.say(b"*1\r\n$4\r\nPING\r\n" + data).startswith(b"+PONG\r\n-ERR Protocol error")
    assert peer.closed and w.core.open_requests == 0


@pytest.mark.parametrize(
    "change, words",
    [
        (("c=read,", ""), "field c"),
        (("units=2", "units=nan"), "field units"),
        (("units=2", "units=0"), "field units"),
        (("shard=0", "shard=x"), "field shard"),
        (("d=1000", "d=-5"), "field d"),
        (("hosts=1", "hosts=0"), "field hosts"),
        (("c=read", "c=other"), "unknown class"),
        (("t=gold", "t=lead"), "unknown plan"),
        (("d=1000", "d=1_000"), "field d"),
        (("d=1000", "d=soon"), "field d"),
        (("units=2", "units=7"), "more units"),
        (("shard=0", "shard=9"), "unknown shard"),
        (("hosts=1", "hosts=4"), "more hosts"),
        (("volume=v", "volume="), "field volume"),
        (("volume=v", "volume=" + "v" * 99), "field volume"),
        (("hosts=1", "hosts=1,c=read"), "field c: there twice"),
        (("v,", "v" * 600 + ","), "fields: too long"),
    ],
)
def test_a_command_that_cannot_be_taken_names_its_field(change: tuple[str, str], words: str) -> None:
    w = World(settings(cells=9))
    peer = w.peer(w.front().address)
    args = "c=read,t=gold,d=1000,volume=v,units=2,shard=0,hosts=1".replace(*change).encode()
    answer = peer.say(codec.command([b"BLK.READ", b"k", b"id", args]))
    assert answer.startswith(b"-ERR") and words.encode() in answer
    assert peer.say(PING) == b"", "not read at once: it could send the same at full speed"
    w.run(w.limits.bad_pause_us)
    assert peer.got == answer + b"+PONG\r\n", "the connection goes on"


@pytest.mark.parametrize("id", [b"", b"a b", b"\xff", b"x" * 65])
def test_an_id_must_be_there_and_be_one(id: bytes) -> None:
    words = [b"BLK.READ", b"k", id, b"c=read,t=gold,d=1,volume=v,units=2,shard=0,hosts=1"]
    with pytest.raises(BadRequest, match="id: missing"):
        read_request(words, LIMITS)


def test_the_id_of_an_open_request_is_turned_away_and_its_owner_is_served() -> None:
    w = World()
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    brick.script = [None]
    front = w.front()
    owner, thief = w.peer(front.address), w.peer(front.address)
    owner.say(read_command("r1"))
    assert thief.say(read_command("r1", volume="w")).startswith(b"-ERR id: of a request that is open")
    brick.release()
    w.settle()
    assert owner.got == b"$0\r\n\r\n" and len(brick.heard) == 1
    assert owner.say(read_command("r1")) == b"$0\r\n\r\n", "it is free again"


def test_hundreds_of_commands_at_once_and_error_after_error_are_turned_away() -> None:
    """They were parked, answered as they came to it, and the loop was theirs."""
    w = World(pipeline=4)
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    brick.script = [None] * 9
    front = w.front()
    many, rude = w.peer(front.address), w.peer(front.address)
    many.say(b"".join(read_command(f"r{i}") for i in range(300)))
    assert many.got == b"-ERR too many commands at once\r\n" * 5 and many.closed
    w.run(w.limits.linger_us)
    assert w.core.open_requests == 0 and not brick.conns and all(len(f) == 1 for f in w.core.finals)
    rude.say(codec.command([b"NO"]) * 300)
    w.run(w.limits.linger_us)
    assert rude.got == b"-ERR unknown command\r\n" * 8 + b"-ERR too many errors\r\n" and rude.closed
    assert len(front) == 0


def test_what_has_lost_its_framing_gets_its_error_at_once_whatever_it_has_open() -> None:
    w = World()
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    brick.script = [None]
    peer = w.peer(w.front().address)
    peer.say(read_command(d=1400) + b"?\r\n")
    assert peer.got.count(b"-ERR Protocol error") == 2 and w.core.open_requests == 0


def test_what_a_client_still_sends_after_its_error_does_not_reset_the_connection() -> None:
    """A close with unread input resets it, and the error line may be lost with that."""
    w = World(linger_bytes=1000)
    front = w.front()
    peer = w.peer(front.address)
    peer.stays = True
    assert peer.say(b"*1\r\n$60000000\r\n") == b"-ERR Protocol error: length over the limit\r\n"
    assert len(front) == 1
    peer.say(b"x" * 900)
    assert len(front) == 1
    peer.say(b"x" * 200)
    assert len(front) == 0, "but it is not read for good"


def test_silence_and_half_commands_end_in_time_but_no_open_request_does() -> None:
    w = World(command_us=SECOND)
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    brick.script = [None]
    front = w.front()
    silent, half, drip, good, busy = (w.peer(front.address) for _ in range(5))
    half.say(read_command("h")[:-5])
    good.say(PING)
    busy.say(read_command("b", d=1400) + b"*1")
    for i in range(12):
        drip.say(b"*1\r\n$4\r\nPING"[i : i + 1])
        w.run(100 * MS)
    assert silent.closed and half.closed and drip.closed and not good.closed
    assert busy.got == b"" and not busy.closed
    w.run(200 * MS)
    assert busy.got.startswith(b"-BUSY"), "it was owed its answer"
    good.say(PING[:9])
    w.run(990 * MS)
    assert not good.closed, "an established connection has the whole time for each command"
    w.run(10 * MS)
    assert good.closed


def test_small_commands_and_arguments() -> None:
    w = World()
    peer = w.peer(w.front().address)
    assert peer.say(codec.command([b"CLIENT", b"INFO"])) == b"+OK\r\n"
    assert peer.say(codec.command([b"HELLO", b"3"])) == b"-ERR unknown command\r\n"
    w.run(w.limits.bad_pause_us)
    assert peer.say(b"*0\r\n" + codec.command([b"ping", b"a"])) == b"$1\r\na\r\n"
    assert peer.say(codec.command([b"BLK.READ", b"k"])).startswith(b"-ERR wrong number")
    w.run(w.limits.bad_pause_us)
    assert peer.say(codec.command([b"QUIT"])) == b"+OK\r\n" and peer.closed


def test_a_brick_gets_the_command_unchanged_but_for_the_time_left() -> None:
    words = [b"BLK.WRITE", b"key", b"id", b"c=w,t=g,d=480,volume=v,units=2,shard=-1,hosts=3,k=ab", b"BODY"]
    ask = read_request(words, LIMITS)
    assert (ask.cell, ask.timeout_us, ask.is_write) == (-1, 480 * MS, True)
    [sent] = codec.Decoder(pool(), LIMITS).feed(ask.work.for_brick(123_456))
    assert sent == [*words[:3], words[3].replace(b"d=480", b"d=123"), b"BODY"]
    assert b"d=1," in ask.work.for_brick(-5)
    with pytest.raises(BadRequest):
        read_request([*words[:3], b"c=\xff", b""], LIMITS)


def test_answers_as_the_protocol_words_them() -> None:
    assert write_answer(Served(b"")) == b"$0\r\n\r\n"
    assert write_answer(Rejected()) == b"-BUSY\r\n"
    assert write_answer(Rejected(1500)) == b"-BUSY 2\r\n", "never sooner than meant"
    assert write_answer(Failed("a\r\nb")) == b"-ERR a b\r\n"


@pytest.mark.parametrize(
    "reply, meaning",
    [
        ([b"v", b"used=37,cost=4", None], (Outcome.SERVED, b"v", 38)),
        ([b"v", None, None], (Outcome.SERVED, b"v", 0)),
        ([b"v", b"cost=4", None], (Outcome.SERVED, b"v", 0)),
        (codec.Error(b"ERR failed used=5"), (Outcome.ERROR, None, 6)),
        (codec.Error(b"ERR failed used=5 latency_ms=9"), (Outcome.ERROR, None, 6)),
        (codec.Error(b"BUSY"), (Outcome.FULL, None, 0)),
        (codec.Error(b"SYNTAX"), (Outcome.ERROR, None, 0)),
        # A figure that cannot be read fails only itself: it must not steer weights.
        *(
            ([b"v", use, None], (Outcome.SERVED, b"v", 0))
            for use in (
                b"used=x",
                b"used=nan",
                b"used=-5",
                b"used=1e9",
                b"used=999999",
                b"used=" + b"9" * 5000,
                b"used=1,used=2",
                b"\xff",
                7,
                [b"used=3"],
            )
        ),
        ([b"v", b"used=8", b"\xff{"], (Outcome.SERVED, b"v", 9)),
    ],
)
def test_what_a_brick_says_and_what_it_means(
    reply: codec.Value, meaning: tuple[Outcome, bytes | None, int]
) -> None:
    assert read_reply(reply, LIMITS.use_percent)[:3] == meaning


@pytest.mark.parametrize(
    "reply, report",
    [
        ([b"v", None, b"latency_ms=31.5"], {"latency_ms": 31.5}),
        ([b"v", b"used=3", b"inflight=7,queue=2,util=0.61"], {"inflight": 7.0, "queue": 2.0, "util": 0.61}),
        (codec.Error(b"ERR failed used=5 latency_ms=9"), {"latency_ms": 9.0}),
        (codec.Error(b"ERR failed latency_ms=9"), {"latency_ms": 9.0}),
        (codec.Error(b"ERR failed used=5"), {}),
        (codec.Error(b"BUSY"), {}),
        *(
            ([b"v", None, odd], {})
            for odd in (
                b"latency_ms=nan",
                b"latency_ms=-1",
                b"latency_ms=1e9",
                b"latency_ms=",
                b"other=1",
                b"\xff",
                7,
                b"latency_ms=1,queue=x",
                b"latency_ms=" + b"9" * 400,
            )
        ),
    ],
)
def test_the_load_report_of_an_answer(reply: codec.Value, report: dict[str, float]) -> None:
    assert read_reply(reply, LIMITS.use_percent)[3] == report


@pytest.mark.parametrize(
    "spoilt",
    [
        b"+j`\x8d\r\n",
        b":5\r\n",
        b"$-1\r\n",
        b"-\r\n",
        b"-noise\r\n",
        b"*1\r\n$1\r\nv\r\n",
        b"*-1\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$9\r\nv\r\n$-1\r\n$-1\r\n",
        b"*3\r\n$-7\r\n",
        b"?!\r\n",
        b"*3\r\n$3221225472\r\nvvv",
        b"+" + b"x" * 600,
        b"*3\r\n$5\r\nv\r\n",
        b"-ERR no end",
    ],
)
def test_a_spoilt_answer_may_have_run_and_its_connection_is_not_used_again(spoilt: bytes) -> None:
    """Some are still being sent, or wait for what never comes: they must not hold the attempt for good."""
    w = World()
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    brick.data[b"k"], brick.script = b"value", [spoilt]
    peer = w.peer(w.front().address)
    peer.say(read_command())
    w.run(w.limits.half_answer_us)
    assert w.core.starts[0].outcome is Outcome.RESET
    w.run(100 * MS)
    assert peer.got == codec.bulk(b"value") and len(brick.heard) == brick.accepted == 2


def test_part_after_part_of_an_answer_without_an_end_is_given_up_too() -> None:
    w = World()
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    brick.script = [b"*3\r\n$60000\r\n"]
    w.peer(w.front().address).say(read_command())
    for _ in range(w.limits.half_answer_us // (10 * MS)):
        assert w.core.starts[0].outcome is None
        w.run(10 * MS)
        for conn in list(brick.conns):
            conn.write(b"x")
        w.settle()
    assert w.core.starts[0].outcome is Outcome.RESET


@pytest.mark.parametrize("behind", [b"noise", b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", b"\r\n"])
def test_a_good_answer_with_more_behind_it_is_served_and_its_connection_closed(behind: bytes) -> None:
    """It was thrown away with its connection, and the work done a second time."""
    w = World()
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    brick.script = [b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n" + behind]
    peer = w.peer(w.front().address)
    assert peer.say(read_command()) == codec.bulk(b"value")
    assert not brick.conns and len(brick.heard) == 1


def test_a_value_longer_than_many_buffers_passes_whole() -> None:
    w = World(buffer_bytes=512)
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    peer = w.peer(w.front().address)
    body = bytes(range(256)) * 256
    assert peer.say(read_command(verb="BLK.WRITE", body=body)) == b"$2\r\nOK\r\n"
    assert peer.say(read_command("r2")) == codec.bulk(body)
    brick.data[b"k"] = body * 6  # more than the protocol says, and seen: run four times over and never served
    assert peer.say(read_command("r3")) == codec.bulk(body * 6) and len(brick.heard) == 3


def test_a_client_that_closes_has_left_and_its_attempt_is_stopped() -> None:
    w = World()
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    brick.script = [None]
    peer = w.peer(w.front().address)
    peer.say(read_command())
    assert len(brick.held) == 1
    peer.close()
    assert w.core.open_requests == 0 and not brick.conns and w.core.finals == [[]]


def test_a_client_that_sends_half_a_command_or_reads_nothing_is_cut_off() -> None:
    w = World(buffer_bytes=512, out_bytes=20_000)
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


def test_connections_are_bounded_and_the_one_idle_longest_makes_room() -> None:
    w = World(client_conns=2)
    brick = w.server(Brick)
    w.list(Box("b0", brick.address, 0))
    front = w.front()
    busy, idle = w.peer(front.address), w.peer(front.address)
    idle.say(read_command())
    brick.script = [None]
    busy.say(read_command("r2", d=1400))
    third = w.peer(front.address)
    assert third.say(PING) == b"" and not idle.closed, "a good client may be idle for a moment"
    w.run(w.limits.idle_us, step_us=100 * MS)
    assert third.got == b"+PONG\r\n" and idle.closed


def test_a_crowd_that_only_greets_makes_room_before_those_that_ask() -> None:
    """Hundreds sent a PING and stayed: their places were theirs for 2 s, and nobody else was heard."""
    w = World(client_conns=2, idle_us=100 * MS)
    w.list()
    front = w.front()
    asker, greeter = w.peer(front.address), w.peer(front.address)
    asker.say(read_command(d=0))
    greeter.say(PING)
    late = w.peer(front.address)
    assert late.say(PING) == b""
    w.run(w.limits.new_us)
    assert late.got == b"+PONG\r\n" and greeter.closed and not asker.closed


def test_who_says_nothing_makes_room_sooner_unless_its_request_has_come_unread() -> None:
    w = World(client_conns=2)
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
    assert third.got == b"+PONG\r\n" and silent.closed and not late.closed
    third.say(PING[:5])
    fourth = w.peer(front.address)
    w.run(w.limits.new_us)
    assert fourth.say(PING) == b"+PONG\r\n" and third.closed, "half a command is little more than nothing"


def test_connections_kept_for_good_are_closed_once_there_are_many() -> None:
    """Clients that ask once and stay used up what clients may hold: others had no connection left."""
    w = World(idle_clients=2)
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
    assert len(front) == 2 and not peers[0].closed, "that one has just been used"


def test_clients_have_the_places_that_bricks_do_not_need_and_give_them_back() -> None:
    """A fixed share left connections waiting that had been answered for within a moment."""
    w = World(
        settings(max_attempts=4, parallel_attempts=False, instances=1), brick_conns_kept=1, client_conns=4
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
    assert w.bricks.count == 2 and len(front) == 3, "two each: all places are taken"
    w.run(400 * MS)
    assert late.closed or idle.closed, "who had asked nothing made room for a brick"
    assert w.bricks.count == 3


class ClientModel(RuleBasedStateMachine):
    """Against the model of a connection: a list of commands, each with its answer or none yet."""

    def __init__(self) -> None:
        super().__init__()
        self.core, self.out = FakeCore(), b""
        self.machine = ClientMachine(self.core, None, pool(), LIMITS, set(), self.write)  # type: ignore
        self.expected: list[tuple[str, bytes | None]] = []
        self.rest, self.over = b"", False

    def write(self, data: bytes) -> None:
        self.out += data

    def put(self, data: bytes, size: int) -> None:
        """Part of the bytes now, the rest with the next step."""
        data = self.rest + data
        self.machine.feed(data[:size])
        self.rest = data[size:]
        if not self.rest:
            assert not self.machine.midway

    def flush(self) -> None:
        self.machine.feed(self.rest)
        self.rest = b""

    @precondition(lambda self: not self.over)
    @rule(size=st.integers(0, 120))
    def ask(self, size: int) -> None:
        name = f"q{len(self.expected)}"
        self.expected.append((name, None))
        self.put(read_command(name), size)

    @precondition(lambda self: not self.over)
    @rule()
    def ping(self) -> None:
        self.expected.append(("", b"+PONG\r\n"))
        self.put(b"*1\r\n$4\r\nPING\r\n", 1 << 20)

    @precondition(lambda self: not self.over and bool(self.core.items))
    @rule(data=st.data(), answer=st.sampled_from([Served(b"v"), Rejected(250_000), Failed("gave up")]))
    def answer(self, data: st.DataObject, answer: Answer) -> None:
        self.flush()
        ask, answered = self.core.items.pop(data.draw(st.sampled_from(sorted(self.core.items))))
        name = ask.work.words[2].decode()
        answered(answer)
        at = [n for n, _ in self.expected].index(name)
        self.expected[at] = name, write_answer(answer)

    @rule()
    def leave(self) -> None:
        self.flush()
        self.machine.close()  # also twice, and after its end
        assert sorted(self.core.gone) == sorted(self.core.items), "each open item is told once"
        self.over = True

    @precondition(lambda self: not self.over)
    @rule()
    def spoil(self) -> None:
        self.flush()
        error = b"-ERR Protocol error: expected an array of bulk strings\r\n"
        self.expected = [(n, error if a is None else a) for n, a in [*self.expected, ("", None)]]
        self.machine.feed(b"?\r\n" + read_command("never"))
        assert self.machine.ended and not self.core.items
        self.over = True

    @invariant()
    def answers_come_in_order(self) -> None:
        want = b""
        for _, answer in self.expected:
            if answer is None:
                break
            want += answer
        assert want.startswith(self.out) and (self.rest or self.out == want)


TestClientModel = ClientModel.TestCase
