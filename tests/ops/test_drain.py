"""Draining an instance: its clients are served for a while and then disconnected."""

from __future__ import annotations

from tests.support.admin import AdministeredInstance
from tests.support.clock import MS, SECOND
from tests.support.simulated_instance import read_command


def test_clients_of_a_drained_instance_are_served_for_a_while_and_then_disconnected(
    instance: AdministeredInstance,
) -> None:
    idle, used, busy = (instance.connect(instance.clients.address) for _ in range(3))
    assert used.send_bytes(b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"
    instance.call("/-/drain")
    instance.call("/-/drain")
    assert used.send_bytes(b"*1\r\n$4\r\nPING\r\n").startswith(b"-ERR")
    instance.run(200 * MS)
    late = instance.connect(instance.clients.address)
    assert late.send_bytes(read_command(id="r1")).startswith(b"$"), "new clients are still served"
    instance.run(1200 * MS)
    assert used.send_bytes(read_command(id="r2")).startswith(b"$")
    assert not idle.closed
    instance.backend.holds_responses = True
    busy.send_bytes(read_command(id="r3", d=1500))
    instance.run(300 * MS)
    assert idle.closed
    assert used.closed
    assert late.closed
    assert not busy.closed
    instance.backend.release()
    instance.settle()
    assert busy.received.startswith(b"$"), "the connection is closed after the answer"
    assert busy.closed, "the connection is closed after the answer"
    instance.backend.holds_responses = False
    instance.call("/-/resume")
    again = instance.connect(instance.clients.address)
    assert again.send_bytes(b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"
    instance.run(4 * SECOND)
    assert not again.closed
    assert again.send_bytes(read_command(id="r4")).startswith(b"$")
    assert not again.closed
    assert instance.call("/-/resume")[0] == 200, "resuming without a drain succeeds"


def test_closing_idle_clients_spares_one_whose_request_is_unread(instance: AdministeredInstance) -> None:
    client = instance.connect(instance.clients.address)
    client.send_bytes(b"*1\r\n$4\r\nPING\r\n")
    instance.run(200 * MS)
    assert client.stream
    client.stream.write(read_command(id="r1"))
    instance.clients.close_idle()
    instance.settle()
    assert client.received.endswith(b"\r\n")
    assert b"$" in client.received
