"""Draining an instance: its clients are served and then disconnected."""

from __future__ import annotations

from tests.support.admin import Office
from tests.support.clock import MS, SECOND
from tests.support.simulated_instance import read_command

# Drain.


def test_drained_clients_are_served_where_they_are_and_then_sent_away(office: Office) -> None:
    idle, used, busy = (office.peer(office.clients.address) for _ in range(3))
    assert used.say(b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"
    office.call("/-/drain")
    office.call("/-/drain")
    assert used.say(b"*1\r\n$4\r\nPING\r\n").startswith(b"-ERR")
    office.run(200 * MS)
    late = office.peer(office.clients.address)
    assert late.say(read_command(id="r1")).startswith(b"$"), "those that still come are served"
    office.run(1200 * MS)
    assert used.say(read_command(id="r2")).startswith(b"$") and not idle.closed
    office.brick.hold = True
    busy.say(read_command(id="r3", d=1500))
    office.run(300 * MS)
    assert idle.closed and used.closed and late.closed and not busy.closed
    office.brick.release()
    office.settle()
    assert busy.got.startswith(b"$") and busy.closed, "after its answer"
    office.brick.hold = False
    office.call("/-/resume")
    again = office.peer(office.clients.address)
    assert again.say(b"*1\r\n$4\r\nPING\r\n") == b"+PONG\r\n"
    office.run(4 * SECOND)
    assert not again.closed and again.say(read_command(id="r4")).startswith(b"$") and not again.closed
    assert office.call("/-/resume")[0] == 200, "resumed undrained: nothing to do"


def test_no_client_is_closed_whose_request_has_come_unread(office: Office) -> None:
    client = office.peer(office.clients.address)
    client.say(b"*1\r\n$4\r\nPING\r\n")
    office.run(200 * MS)
    assert client.stream
    client.stream.write(read_command(id="r1"))
    office.clients.close_idle()
    office.settle()
    assert client.got.endswith(b"\r\n") and b"$" in client.got
