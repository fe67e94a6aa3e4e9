"""Backend replies: outcomes, load reports and malformed replies."""

from __future__ import annotations

import pytest

from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.limits import MS
from garnetlanding.resp import codec
from garnetlanding.resp.backend_reply import parse_reply
from tests.support.resp import LIMITS
from tests.support.simulated_instance import SimulatedInstance, read_command


@pytest.mark.parametrize(
    ("reply", "expected"),
    [
        ([b"v", b"used=37,cost=4", None], (Outcome.SERVED, b"v", 37)),
        ([b"v", None, None], (Outcome.SERVED, b"v", None)),
        ([b"v", b"cost=4", None], (Outcome.SERVED, b"v", None)),
        (codec.ErrorReply(b"ERR failed used=5"), (Outcome.ERROR, None, 5)),
        (codec.ErrorReply(b"ERR failed used=5 latency_ms=9"), (Outcome.ERROR, None, 5)),
        (codec.ErrorReply(b"BUSY"), (Outcome.FULL, None, None)),
        (codec.ErrorReply(b"SYNTAX"), (Outcome.ERROR, None, None)),
        # Scheduling weights are computed from the percentage: an invalid one is ignored, the rest of the
        # reply is not.
        *(
            ([b"v", usage, None], (Outcome.SERVED, b"v", None))
            for usage in (
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
        ([b"v", b"used=8", b"\xff{"], (Outcome.SERVED, b"v", 8)),
    ],
)
def test_a_reply_is_read_as_outcome_value_and_used_capacity(
    reply: codec.Value, expected: tuple[Outcome, bytes | None, int | None]
) -> None:
    assert parse_reply(reply, LIMITS.max_usage_percent)[:3] == expected


@pytest.mark.parametrize(
    ("reply", "report"),
    [
        ([b"v", None, b"latency_ms=31.5"], {"latency_ms": 31.5}),
        ([b"v", b"used=3", b"inflight=7,queue=2,util=0.61"], {"inflight": 7.0, "queue": 2.0, "util": 0.61}),
        (codec.ErrorReply(b"ERR failed used=5 latency_ms=9"), {"latency_ms": 9.0}),
        (codec.ErrorReply(b"ERR failed latency_ms=9"), {"latency_ms": 9.0}),
        (codec.ErrorReply(b"ERR failed used=5"), {}),
        (codec.ErrorReply(b"BUSY"), {}),
        *(
            ([b"v", None, invalid], {})
            for invalid in (
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
def test_a_load_report_is_read_whole_or_not_at_all(reply: codec.Value, report: dict[str, float]) -> None:
    assert parse_reply(reply, LIMITS.max_usage_percent)[3] == report


@pytest.mark.parametrize(
    "malformed",
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
    ids=[
        "simple string",
        "integer",
        "null",
        "empty error",
        "unknown error",
        "array of one",
        "null array",
        "value missing",
        "truncated value",
        "negative length",
        "unknown type",
        "value too long",
        "line too long",
        "value longer than announced",
        "truncated error",
    ],
)
def test_a_malformed_reply_resets_the_attempt_and_closes_the_connection(malformed: bytes) -> None:
    """An incomplete reply must not hold the attempt forever, because the rest may never arrive."""
    instance = SimulatedInstance()
    backend = instance.server(EmulatedBackend)
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    backend.data[b"k"], backend.scripted_responses = b"value", [malformed]
    peer = instance.connect(instance.start_resp_listener().address)
    peer.send_bytes(read_command())
    instance.run(instance.limits.partial_reply_us)
    assert instance.core.started_attempts[0].outcome is Outcome.RESET
    instance.run(100 * MS)
    assert peer.received == codec.encode_bulk(b"value")
    assert len(backend.received) == backend.accepted_connections == 2


def test_a_reply_that_trickles_without_an_end_is_reset() -> None:
    instance = SimulatedInstance()
    backend = instance.server(EmulatedBackend)
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    backend.scripted_responses = [b"*3\r\n$60000\r\n"]
    instance.connect(instance.start_resp_listener().address).send_bytes(read_command())
    for _ in range(instance.limits.partial_reply_us // (10 * MS)):
        assert instance.core.started_attempts[0].outcome is None
        instance.run(10 * MS)
        for conn in list(backend.connections):
            conn.write(b"x")
        instance.settle()
    assert instance.core.started_attempts[0].outcome is Outcome.RESET


@pytest.mark.parametrize("surplus", [b"noise", b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", b"\r\n"])
def test_a_reply_followed_by_surplus_bytes_is_served_and_its_connection_closed(surplus: bytes) -> None:
    """Regression: the reply was discarded with its connection, and the request was executed a second time."""
    instance = SimulatedInstance()
    backend = instance.server(EmulatedBackend)
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    backend.scripted_responses = [b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n" + surplus]
    peer = instance.connect(instance.start_resp_listener().address)
    assert peer.send_bytes(read_command()) == codec.encode_bulk(b"value")
    assert not backend.connections
    assert len(backend.received) == 1


def test_a_value_longer_than_many_buffers_is_served_complete() -> None:
    instance = SimulatedInstance(buffer_bytes=512)
    backend = instance.server(EmulatedBackend)
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    peer = instance.connect(instance.start_resp_listener().address)
    body = bytes(range(256)) * 256
    assert peer.send_bytes(read_command(verb="BLK.WRITE", body=body)) == b"$2\r\nOK\r\n"
    assert peer.send_bytes(read_command("r2")) == codec.encode_bulk(body)
    # Longer than the protocol specifies; such a request was once executed four times and never served.
    backend.data[b"k"] = body * 6
    assert peer.send_bytes(read_command("r3")) == codec.encode_bulk(body * 6)
    assert len(backend.received) == 3
