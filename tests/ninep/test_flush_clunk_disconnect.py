"""Changes that are flushed, clunked, or whose client disconnects; fairness among clients."""

from __future__ import annotations

import pytest

from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from tests.support.clock import MS, SECOND
from tests.support.ninep_changes import PLAIN, create, rw
from tests.support.ninep_instance import NinepClient, error_text

# Flush, clunk, hang up.


def test_flush_of_a_change_in_flight_waits_for_its_reply() -> None:
    instance, tool = rw()
    tool.walk(6)
    instance.files[0].script.add(Rule(p9.Tcreate, Fault.SLOW, delay_us=100 * MS))
    tool.send(p9.Tcreate(6, "f", 0o644, p9.ORDWR), tag=1)
    assert tool.send(p9.Tflush(1), tag=2) == []
    assert tool.send(p9.Tflush(2), tag=3) == []
    instance.run(300 * MS)
    assert [t for t, _ in tool.answers[-3:]] == [1, 2, 3]
    assert isinstance(tool.answers[-3][1], p9.Rcreate)
    assert tool.ask(p9.Twrite(6, 0, b"x"), tag=1) == p9.Rwrite(1), "the tag is free"


def test_flush_of_a_queued_change_cancels_it() -> None:
    instance, tool = rw()
    tool.open(5, "readme", mode=p9.OWRITE)
    instance.files[0].script.add(Rule(p9.Twrite, Fault.SLOW, delay_us=100 * MS))
    tool.send(p9.Twrite(5, 0, b"HELLO"), tag=1)
    tool.send(p9.Twrite(5, 0, b"never"), tag=2)
    assert tool.send(p9.Tflush(2), tag=3) == [(3, p9.Rflush())]
    instance.run(SECOND)
    assert instance.disk.read("readme") == b"HELLO"
    assert tool.answers[-1] == (1, p9.Rwrite(5))


def test_clunk_waits_for_changes_and_cancels_reads() -> None:
    instance, tool = rw()
    tool.open(5, "readme", mode=p9.ORDWR)
    instance.files[0].script.add(Rule(p9.Twrite, Fault.SLOW, delay_us=100 * MS), Rule(p9.Tread, Fault.STALL))
    tool.send(p9.Twrite(5, 0, b"HELLO"), tag=1)
    tool.send(p9.Tread(5, 0, 10), tag=2)
    tool.send(p9.Twrite(5, 1, b"u"), tag=3)
    assert tool.send(p9.Tclunk(5), tag=4) == [(2, p9.Rerror("fid clunked"))]
    assert error_text(tool.ask(p9.Tstat(5), tag=9)) == "unknown fid"
    instance.run(SECOND)
    assert tool.answers[-3:] == [(1, p9.Rwrite(5)), (3, p9.Rwrite(1)), (4, p9.Rclunk())]
    assert instance.disk.read("readme") == b"HuLLO"


@pytest.mark.parametrize(
    "message",
    [
        p9.Twrite(5, 0, b"HELLO"),
        p9.Tcreate(6, "made", 0o644, 1),
        p9.Twalk(0, 9, ("sv",)),
        p9.Tread(7, 0, 200),
    ],
    ids=["write", "create", "walk", "read"],
)
def test_disconnect_within_a_change_leaves_nothing_behind(message: p9.Message) -> None:
    instance, tool = rw()
    tool.open(5, "readme", mode=p9.OWRITE)
    tool.walk(6)
    tool.open(7, "sv")
    instance.files[0].script.add(Rule(type(message), Fault.SLOW, delay_us=100 * MS))
    tool.send(message, tag=1)
    tool.close()
    instance.run(2 * SECOND)
    assert instance.core.open_requests == 0
    assert len(instance.front_9p.order) == 0
    assert not instance.front_9p.clients
    if isinstance(message, p9.Twrite):
        assert instance.disk.read("readme") == b"HELLO", "what was sent whole runs to its end"


def test_new_version_lets_a_change_complete_without_a_reply() -> None:
    instance, tool = rw()
    tool.open(5, "readme", mode=p9.OWRITE)
    instance.files[0].script.add(Rule(p9.Twrite, Fault.SLOW, delay_us=100 * MS))
    tool.send(p9.Twrite(5, 0, b"HELLO"), tag=1)
    assert tool.ask(p9.Tversion(512, PLAIN), p9.NOTAG) == p9.Rversion(512, PLAIN)
    before = len(tool.answers)
    instance.run(SECOND)
    assert tool.answers[before:] == []
    assert instance.disk.read("readme") == b"HELLO"
    tool.ask(p9.Tattach(0, p9.NOFID, "ann", "glossaries"))
    tool.open(5, "sv", "law", "terms")
    reply = tool.ask(p9.Tread(5, 0, 8192))
    assert isinstance(reply, p9.Rread)
    assert len(reply.data) == 512 - 24


def test_disconnect_with_a_clunk_queued_behind_a_change_releases_the_fid() -> None:
    """Dropping the change ended the clunk, which the reset then missed: its removals were lost."""
    instance, tool = rw()
    tool.open(5, "readme", mode=p9.OWRITE)
    create(tool, 6, "temp", mode=p9.ORDWR | p9.ORCLOSE)
    instance.files[0].script.add(Rule(p9.Twalk, Fault.STALL))
    instance.nine.connections._idle.clear()
    instance.files[0].close_connections()
    tool.send(p9.Twrite(5, 0, b"x"), tag=1)
    tool.send(p9.Tclunk(5), tag=2)
    tool.close()
    instance.run(SECOND)
    assert "temp" not in instance.disk.root.names
    assert not instance.front_9p.clients
    assert len(instance.front_9p.order) == 0


def test_burst_of_messages_is_processed_a_few_per_iteration() -> None:
    """A hundred messages in one segment held the loop up until all were taken."""
    instance, tool = rw(ninep_messages_per_iteration=4)
    tool.open(5, "readme")
    [machine] = instance.front_9p.clients.values()
    machine.feed(b"".join(p9.encode(tag, p9.Tflush(9)) for tag in range(10, 20)))
    assert machine.has_buffered_input, "hello, attach, walk, open, and four of these"
    assert machine.messages_received == 4 + 4, "hello, attach, walk, open, and four of these"
    machine.feed(b"")
    machine.feed(b"")
    assert not machine.has_buffered_input
    assert machine.messages_received == 14
    tool.say(b"".join(p9.encode(tag, p9.Tread(5, 0, 9)) for tag in range(50, 80)))
    instance.settle()
    assert sorted(tag for tag, _ in tool.answers if 50 <= tag < 80) == list(range(50, 80))


def test_flooding_client_delays_itself_and_no_other() -> None:
    """All of a client's requests were with the core at once: others waited behind a hundred of them."""
    instance, tool = rw(ninep_requests=3)
    tool.open(5, "readme")
    other = NinepClient(instance)
    other.open(5, "readme")
    instance.files[0].script.add(Rule(p9.Tread, Fault.SLOW, times=None, delay_us=10 * MS))
    instance.run(200 * MS)
    tool.say(b"".join(p9.encode(tag, p9.Tread(5, 0, 9)) for tag in range(10, 40)))
    assert instance.core.open_requests == 3
    tool.say(p9.encode(99, p9.Tflush(39)))
    assert tool.answers[-1] == (99, p9.Rflush()), "also what waits can be flushed"
    other.send(p9.Tread(5, 0, 9), tag=1)
    assert instance.core.open_requests == 4
    instance.run(10 * MS)
    assert instance.core.open_requests == 1, "beside another client it has its part"
    instance.run(800 * MS)
    assert sorted(tag for tag, _ in tool.answers if 10 <= tag < 40) == list(range(10, 39))
    tool.say(b"".join(p9.encode(tag, p9.Tread(5, 0, 9)) for tag in range(10, 40)))
    tool.close()
    instance.run(SECOND)
    assert instance.core.open_requests == 0
