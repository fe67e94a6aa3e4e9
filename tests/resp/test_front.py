"""The RESP client protocol: commands, pipelining and errors."""

from __future__ import annotations

import pytest

from garnetlanding.core.ports import Failed, Rejected, Served
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.limits import MS
from garnetlanding.resp import codec
from garnetlanding.resp.errors import InvalidCommandError
from garnetlanding.resp.pending_reply import encode_answer
from garnetlanding.resp.request import parse_request
from tests.support.clock import SECOND
from tests.support.decision_bench import make_settings
from tests.support.resp import LIMITS, PING, pool
from tests.support.simulated_instance import SimulatedInstance, read_command


@pytest.mark.parametrize(
    ("replacement", "error_text"),
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
    ids=[
        "class missing",
        "units not a number",
        "units zero",
        "shard not a number",
        "negative timeout",
        "no hosts",
        "class unknown",
        "plan unknown",
        "digits grouped",
        "timeout not a number",
        "too many units",
        "shard unknown",
        "too many hosts",
        "volume empty",
        "volume too long",
        "field repeated",
        "fields too long",
    ],
)
def test_an_invalid_command_gets_an_error_that_names_its_field(
    replacement: tuple[str, str], error_text: str
) -> None:
    instance = SimulatedInstance(make_settings(cells=9))
    peer = instance.connect(instance.start_resp_listener().address)
    args = "c=read,t=gold,d=1000,volume=v,units=2,shard=0,hosts=1".replace(*replacement).encode()
    reply = peer.send_bytes(codec.encode_command([b"BLK.READ", b"k", b"id", args]))
    assert reply.startswith(b"-ERR")
    assert error_text.encode() in reply
    assert (
        peer.send_bytes(PING) == b""
    ), "reading pauses, so that a client cannot repeat the command at full speed"
    instance.run(instance.limits.invalid_command_pause_us)
    assert peer.received == reply + b"+PONG\r\n", "the connection stays open"


@pytest.mark.parametrize(
    "id", [b"", b"a b", b"\xff", b"x" * 65], ids=["empty", "with a space", "not ASCII", "too long"]
)
def test_a_malformed_request_id_raises(id: bytes) -> None:
    arguments = [b"BLK.READ", b"k", id, b"c=read,t=gold,d=1,volume=v,units=2,shard=0,hosts=1"]
    with pytest.raises(InvalidCommandError, match="id: missing"):
        parse_request(arguments, LIMITS)


def test_a_duplicate_of_an_open_id_is_rejected_and_the_first_is_served() -> None:
    instance = SimulatedInstance()
    backend = instance.server(EmulatedBackend)
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    backend.scripted_responses = [None]
    front = instance.start_resp_listener()
    first, second = instance.connect(front.address), instance.connect(front.address)
    first.send_bytes(read_command("r1"))
    assert second.send_bytes(read_command("r1", volume="w")).startswith(b"-ERR id: of a request that is open")
    backend.release()
    instance.settle()
    assert first.received == b"$0\r\n\r\n"
    assert len(backend.received) == 1
    assert first.send_bytes(read_command("r1")) == b"$0\r\n\r\n", "the id is free again"


def test_too_many_commands_or_errors_end_the_connection() -> None:
    """Regression: the commands were queued without a limit, and the event loop had time for nothing else."""
    instance = SimulatedInstance(pipelined_commands=4)
    backend = instance.server(EmulatedBackend)
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    backend.scripted_responses = [None] * 9
    front = instance.start_resp_listener()
    pipelining, invalid = instance.connect(front.address), instance.connect(front.address)
    pipelining.send_bytes(b"".join(read_command(f"r{i}") for i in range(300)))
    assert pipelining.received == b"-ERR too many commands at once\r\n" * 5
    assert pipelining.closed
    instance.run(instance.limits.linger_us)
    assert instance.core.open_requests == 0
    assert not backend.connections
    assert all(len(f) == 1 for f in instance.core.final_answers)
    invalid.send_bytes(codec.encode_command([b"NO"]) * 300)
    instance.run(instance.limits.linger_us)
    assert invalid.received == b"-ERR unknown command\r\n" * 8 + b"-ERR too many errors\r\n"
    assert invalid.closed
    assert len(front) == 0


def test_lost_framing_gets_its_error_at_once_whatever_is_open() -> None:
    instance = SimulatedInstance()
    backend = instance.server(EmulatedBackend)
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    backend.scripted_responses = [None]
    peer = instance.connect(instance.start_resp_listener().address)
    peer.send_bytes(read_command(d=1400) + b"?\r\n")
    assert peer.received.count(b"-ERR Protocol error") == 2
    assert instance.core.open_requests == 0


def test_input_after_the_final_error_is_drained_within_a_limit() -> None:
    """Closing a socket with unread input resets the connection, and the client may lose the error reply."""
    instance = SimulatedInstance(linger_bytes=1000)
    front = instance.start_resp_listener()
    peer = instance.connect(front.address)
    peer.keeps_open = True
    assert peer.send_bytes(b"*1\r\n$60000000\r\n") == b"-ERR Protocol error: length over the limit\r\n"
    assert len(front) == 1
    peer.send_bytes(b"x" * 900)
    assert len(front) == 1
    peer.send_bytes(b"x" * 200)
    assert len(front) == 0, "the amount of discarded input is limited"


def test_silent_and_incomplete_clients_time_out_but_no_open_request_does() -> None:
    instance = SimulatedInstance(command_timeout_us=SECOND)
    backend = instance.server(EmulatedBackend)
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    backend.scripted_responses = [None]
    front = instance.start_resp_listener()
    silent, incomplete, trickling, established, busy = (instance.connect(front.address) for _ in range(5))
    incomplete.send_bytes(read_command("h")[:-5])
    established.send_bytes(PING)
    busy.send_bytes(read_command("b", d=1400) + b"*1")
    for i in range(12):
        trickling.send_bytes(b"*1\r\n$4\r\nPING"[i : i + 1])
        instance.run(100 * MS)
    assert silent.closed
    assert incomplete.closed
    assert trickling.closed
    assert not established.closed
    assert busy.received == b""
    assert not busy.closed
    instance.run(200 * MS)
    assert busy.received.startswith(b"-BUSY"), "the reply to an open request is still sent"
    established.send_bytes(PING[:9])
    instance.run(990 * MS)
    assert not established.closed, "an established connection has the whole time for each command"
    instance.run(10 * MS)
    assert established.closed


def test_connection_commands_get_their_fixed_replies() -> None:
    instance = SimulatedInstance()
    peer = instance.connect(instance.start_resp_listener().address)
    assert peer.send_bytes(codec.encode_command([b"CLIENT", b"INFO"])) == b"+OK\r\n"
    assert peer.send_bytes(codec.encode_command([b"HELLO", b"3"])) == b"-ERR unknown command\r\n"
    instance.run(instance.limits.invalid_command_pause_us)
    assert peer.send_bytes(b"*0\r\n" + codec.encode_command([b"ping", b"a"])) == b"$1\r\na\r\n"
    assert peer.send_bytes(codec.encode_command([b"BLK.READ", b"k"])).startswith(b"-ERR wrong number")
    instance.run(instance.limits.invalid_command_pause_us)
    assert peer.send_bytes(codec.encode_command([b"QUIT"])) == b"+OK\r\n"
    assert peer.closed


def test_a_backend_gets_the_command_unchanged_but_for_the_time_left() -> None:
    arguments = [
        b"BLK.WRITE",
        b"key",
        b"id",
        b"c=w,t=g,d=480,volume=v,units=2,shard=-1,hosts=3,k=ab",
        b"BODY",
    ]
    request = parse_request(arguments, LIMITS)
    assert (request.cell, request.timeout_us, request.is_write) == (None, 480 * MS, True)
    [sent] = codec.Decoder(pool(), LIMITS).feed(request.operation.encode(123_456))
    assert sent == [*arguments[:3], arguments[3].replace(b"d=480", b"d=123"), b"BODY"]
    assert b"d=1," in request.operation.encode(-5)
    with pytest.raises(InvalidCommandError):
        parse_request([*arguments[:3], b"c=\xff", b""], LIMITS)


def test_answers_are_encoded_as_replies() -> None:
    assert encode_answer(Served(b"")) == b"$0\r\n\r\n"
    assert encode_answer(Rejected()) == b"-BUSY\r\n"
    assert encode_answer(Rejected(1500)) == b"-BUSY 2\r\n", "rounded up: a retry must not come early"
    assert encode_answer(Failed("a\r\nb")) == b"-ERR a b\r\n"
