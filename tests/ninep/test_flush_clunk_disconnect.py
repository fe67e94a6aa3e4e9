"""Changes that are flushed or whose fid is clunked, clients that disconnect, and fairness among clients."""

from __future__ import annotations

import pytest

from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from tests.support.clock import MS, SECOND
from tests.support.ninep_changes import PLAIN, create_file, writable_instance
from tests.support.ninep_instance import NinepClient, error_text


def test_flush_of_a_change_in_flight_waits_for_its_reply() -> None:
    instance, client = writable_instance()
    client.walk(6)
    instance.file_servers[0].script.add(Rule(p9.Tcreate, Fault.SLOW, delay_us=100 * MS))
    client.send(p9.Tcreate(6, "f", 0o644, p9.ORDWR), tag=1)
    assert client.send(p9.Tflush(1), tag=2) == []
    assert client.send(p9.Tflush(2), tag=3) == []
    instance.run(300 * MS)
    assert [t for t, _ in client.replies[-3:]] == [1, 2, 3]
    assert isinstance(client.replies[-3][1], p9.Rcreate)
    assert client.request(p9.Twrite(6, 0, b"x"), tag=1) == p9.Rwrite(1), "the tag can be reused"


def test_flush_of_a_queued_change_cancels_it() -> None:
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.OWRITE)
    instance.file_servers[0].script.add(Rule(p9.Twrite, Fault.SLOW, delay_us=100 * MS))
    client.send(p9.Twrite(5, 0, b"HELLO"), tag=1)
    client.send(p9.Twrite(5, 0, b"never"), tag=2)
    assert client.send(p9.Tflush(2), tag=3) == [(3, p9.Rflush())]
    instance.run(SECOND)
    assert instance.disk.read("readme") == b"HELLO"
    assert client.replies[-1] == (1, p9.Rwrite(5))


def test_clunk_waits_for_changes_and_cancels_reads() -> None:
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.ORDWR)
    instance.file_servers[0].script.add(
        Rule(p9.Twrite, Fault.SLOW, delay_us=100 * MS), Rule(p9.Tread, Fault.STALL)
    )
    client.send(p9.Twrite(5, 0, b"HELLO"), tag=1)
    client.send(p9.Tread(5, 0, 10), tag=2)
    client.send(p9.Twrite(5, 1, b"u"), tag=3)
    assert client.send(p9.Tclunk(5), tag=4) == [(2, p9.Rerror("fid clunked"))]
    assert error_text(client.request(p9.Tstat(5), tag=9)) == "unknown fid"
    instance.run(SECOND)
    assert client.replies[-3:] == [(1, p9.Rwrite(5)), (3, p9.Rwrite(1)), (4, p9.Rclunk())]
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
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.OWRITE)
    client.walk(6)
    client.open(7, "sv")
    instance.file_servers[0].script.add(Rule(type(message), Fault.SLOW, delay_us=100 * MS))
    client.send(message, tag=1)
    client.close()
    instance.run(2 * SECOND)
    assert instance.core.open_requests == 0
    assert len(instance.shared_state.order) == 0
    assert not instance.shared_state.clients
    if isinstance(message, p9.Twrite):
        assert instance.disk.read("readme") == b"HELLO", "a change that was sent completely is executed"


def test_new_version_lets_a_change_complete_without_a_reply() -> None:
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.OWRITE)
    instance.file_servers[0].script.add(Rule(p9.Twrite, Fault.SLOW, delay_us=100 * MS))
    client.send(p9.Twrite(5, 0, b"HELLO"), tag=1)
    assert client.request(p9.Tversion(512, PLAIN), p9.NOTAG) == p9.Rversion(512, PLAIN)
    before = len(client.replies)
    instance.run(SECOND)
    assert client.replies[before:] == []
    assert instance.disk.read("readme") == b"HELLO"
    client.request(p9.Tattach(0, p9.NOFID, "ann", "glossaries"))
    client.open(5, "sv", "law", "terms")
    reply = client.request(p9.Tread(5, 0, 8192))
    assert isinstance(reply, p9.Rread)
    assert len(reply.data) == 512 - 24


def test_disconnect_with_a_clunk_queued_behind_a_change_releases_the_fid() -> None:
    """Regression: cancelling the change completed the clunk, which the session reset then failed to find.

    The files of ORCLOSE fids were not removed.
    """
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.OWRITE)
    create_file(client, 6, "temp", mode=p9.ORDWR | p9.ORCLOSE)
    instance.file_servers[0].script.add(Rule(p9.Twalk, Fault.STALL))
    instance.upstream.connections._idle.clear()
    instance.file_servers[0].close_connections()
    client.send(p9.Twrite(5, 0, b"x"), tag=1)
    client.send(p9.Tclunk(5), tag=2)
    client.close()
    instance.run(SECOND)
    assert "temp" not in instance.disk.root.names
    assert not instance.shared_state.clients
    assert len(instance.shared_state.order) == 0


def test_burst_of_messages_is_processed_a_few_per_iteration() -> None:
    """Regression: a hundred messages in one segment blocked the event loop until all were processed."""
    instance, client = writable_instance(ninep_messages_per_iteration=4)
    client.open(5, "readme")
    [protocol] = instance.shared_state.clients.values()
    protocol.feed(b"".join(p9.encode(tag, p9.Tflush(9)) for tag in range(10, 20)))
    assert protocol.has_buffered_input, "version, attach, walk, open, and four of these"
    assert protocol.messages_received == 4 + 4, "version, attach, walk, open, and four of these"
    protocol.feed(b"")
    protocol.feed(b"")
    assert not protocol.has_buffered_input
    assert protocol.messages_received == 14
    client.send_bytes(b"".join(p9.encode(tag, p9.Tread(5, 0, 9)) for tag in range(50, 80)))
    instance.settle()
    assert sorted(tag for tag, _ in client.replies if 50 <= tag < 80) == list(range(50, 80))


def test_flooding_client_delays_only_itself() -> None:
    """Regression: all of a client's requests were submitted to the core at once and delayed other clients."""
    instance, client = writable_instance(ninep_requests=3)
    client.open(5, "readme")
    other = NinepClient(instance)
    other.open(5, "readme")
    instance.file_servers[0].script.add(Rule(p9.Tread, Fault.SLOW, times=None, delay_us=10 * MS))
    instance.run(200 * MS)
    client.send_bytes(b"".join(p9.encode(tag, p9.Tread(5, 0, 9)) for tag in range(10, 40)))
    assert instance.core.open_requests == 3
    client.send_bytes(p9.encode(99, p9.Tflush(39)))
    assert client.replies[-1] == (99, p9.Rflush()), "a queued request can also be flushed"
    other.send(p9.Tread(5, 0, 9), tag=1)
    assert instance.core.open_requests == 4
    instance.run(10 * MS)
    assert instance.core.open_requests == 1, "with another active client it gets an equal share"
    instance.run(800 * MS)
    assert sorted(tag for tag, _ in client.replies if 10 <= tag < 40) == list(range(10, 39))
    client.send_bytes(b"".join(p9.encode(tag, p9.Tread(5, 0, 9)) for tag in range(10, 40)))
    client.close()
    instance.run(SECOND)
    assert instance.core.open_requests == 0
