"""The admin HTTP connection: parsing, errors and limits."""

from __future__ import annotations

import pathlib
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.ops.admin_connection import AdminConnection
from tests.support.admin import AdministeredInstance
from tests.support.clock import MS
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command


def make_connection(target: Any = None) -> tuple[AdminConnection, list[bytes]]:
    instance = SimulatedInstance()
    written: list[bytes] = []
    return AdminConnection(target, instance.pool, instance.limits, written.append), written


@given(st.lists(st.integers(1, 9), max_size=8))
def test_call_split_at_any_bytes_gets_one_response(sizes: list[int]) -> None:
    call = b"\r\nPOST /-/nothing?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcMORE"
    connection, written = make_connection()
    start = 0
    for size in [*sizes, len(call)]:
        connection.feed(call[start : start + size])
        start += size
    assert connection.is_closing
    assert len(written) == 1, "a call gets exactly one response"
    assert written[0].startswith(b"HTTP/1.1 404 ")


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
    ids=[
        "no-request-line",
        "relative-target",
        "http-2",
        "header-without-colon",
        "length-not-a-number",
        "body-too-long",
        "request-line-too-long",
        "too-many-headers",
        "chunked",
        "drain-by-get",
        "ready-by-post",
        "disable-by-get",
        "id-with-space",
        "id-not-ascii",
        "id-empty",
        "id-too-long",
    ],
)
def test_malformed_or_unknown_call_gets_its_status(call: bytes, status: int) -> None:
    connection, written = make_connection()
    connection.feed(call)
    assert connection.is_closing
    assert written[0].startswith(b"HTTP/1.1 %d " % status)


def test_exception_behind_a_call_is_answered_with_500_and_logged(caplog: pytest.LogCaptureFixture) -> None:
    connection, written = make_connection(target=None)
    connection.feed(b"GET /-/ready HTTP/1.1\r\n\r\n")
    assert written[0].startswith(b"HTTP/1.1 500 ")
    assert "call failed" in caplog.text


def test_call_is_answered_beside_unfinished_calls_and_with_all_client_connections_in_use(
    tmp_path: pathlib.Path,
) -> None:
    instance = AdministeredInstance(tmp_path, client_connections=4, new_client_timeout_us=20 * MS)
    clients = [instance.connect(instance.clients.address) for _ in range(4)]
    for i, client in enumerate(clients):
        client.send_bytes(read_command(id=f"r{i}"))
    for _ in range(200):
        LoopbackClient(instance, instance.ops.address, settle=False)
    instance.settle()
    assert len(instance.ops) == instance.limits.ops_connections
    late = LoopbackClient(instance, instance.ops.address, settle=False)
    instance.run(10 * MS)
    assert late.stream
    late.stream.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
    instance.run(900 * MS)
    assert late.received.startswith(b"HTTP/1.1 200 ")
