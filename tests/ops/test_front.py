"""The administrative HTTP front: parsing, errors and limits."""

from __future__ import annotations

import pathlib
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.ops.admin_connection import AdminConnection
from tests.support.admin import Office
from tests.support.clock import MS
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command


def machine(desk: Any = None) -> tuple[AdminConnection, list[bytes]]:
    w = SimulatedInstance()
    said: list[bytes] = []
    return AdminConnection(desk, w.pool, w.limits, said.append), said


@given(st.lists(st.integers(1, 9), max_size=8))
def test_a_call_is_read_alike_however_it_is_cut(sizes: list[int]) -> None:
    call = b"\r\nPOST /-/nothing?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcMORE"
    m, said = machine()
    at = 0
    for size in [*sizes, len(call)]:
        m.feed(call[at : at + size])
        at += size
    assert m.ended and len(said) == 1 and said[0].startswith(b"HTTP/1.1 404 "), "one call, one answer"


@pytest.mark.parametrize(
    ("call", "status"),
    [
        (b"HELLO\r\n", 400),
        (b"GET ready HTTP/1.1\r\n", 400),
        (b"GET / HTTP/2\r\n", 400),
        (b"GET / HTTP/1.1\r\nbad header\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413),
        (b"GET /" + b"x" * 9000, 431),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 65, 431),
        (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
        (b"GET /-/drain HTTP/1.1\r\n\r\n", 405),
        (b"POST /-/ready HTTP/1.1\r\n\r\n", 405),
        (b"GET /-/bricks/b0/disable HTTP/1.1\r\n\r\n", 405),
        (b"POST /-/bricks/a%20b/disable HTTP/1.1\r\n\r\n", 400),
        (b"POST /-/bricks/b%FF/enable HTTP/1.1\r\n\r\n", 400),
        (b"POST /-/bricks//enable HTTP/1.1\r\n\r\n", 404),
        (b"POST /-/bricks/" + b"b" * 65 + b"/enable HTTP/1.1\r\n\r\n", 400),
    ],
)
def test_what_is_no_call_gets_its_own_no(call: bytes, status: int) -> None:
    m, said = machine()
    m.feed(call)
    assert m.ended and said[0].startswith(b"HTTP/1.1 %d " % status)


def test_a_defect_behind_a_call_is_answered_too(caplog: pytest.LogCaptureFixture) -> None:
    m, said = machine(desk=None)
    m.feed(b"GET /-/ready HTTP/1.1\r\n\r\n")
    assert said[0].startswith(b"HTTP/1.1 500 ") and "call failed" in caplog.text


def test_operators_are_heard_beside_half_calls_with_every_client_place_taken(tmp_path: pathlib.Path) -> None:
    w = Office(tmp_path, client_conns=4, new_us=20 * MS)
    clients = [w.peer(w.clients.address) for _ in range(4)]
    for i, client in enumerate(clients):
        client.say(read_command(id=f"r{i}"))
    for _ in range(200):
        LoopbackClient(w, w.ops.address, settle=False)
    w.settle()
    assert len(w.ops) == w.limits.ops_conns
    late = LoopbackClient(w, w.ops.address, settle=False)
    w.run(10 * MS)
    assert late.stream
    late.stream.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
    w.run(900 * MS)
    assert late.got.startswith(b"HTTP/1.1 200 ")
