"""The order of changes, and changes whose outcome is unknown."""

from __future__ import annotations

import pytest

from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from tests.support.clock import MS, SECOND
from tests.support.ninep_changes import writable_instance, wstat
from tests.support.ninep_instance import NinepClient, NinepInstance, error_text, received_messages


def test_changes_of_one_file_keep_their_order_after_a_lost_attempt() -> None:
    """Regression: the writes were sent concurrently, and the retry of the first overwrote the second."""
    instance, client = writable_instance(servers=2)
    client.open(5, "readme", mode=p9.OWRITE)
    instance.file_servers[0].script.add(Rule(p9.Twrite, Fault.RESET_BEFORE))
    for tag, data in ((1, b"first"), (2, b"secnd"), (3, b"third")):
        client.send_bytes(p9.encode(tag, p9.Twrite(5, 0, data)))
    instance.run(2 * SECOND)
    assert [m for t, m in client.replies[-3:]] == [p9.Rwrite(5)] * 3
    assert [r[3] for r in instance.disk.changes if r[0] == "write"] == [b"first", b"secnd", b"third"]


def test_delayed_first_attempt_does_not_undo_a_later_change() -> None:
    """Regression: a server whose connection was closed executed the first write after the second one."""
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.OWRITE)
    other = NinepClient(instance)
    other.open(5, "readme", mode=p9.OWRITE)
    instance.file_servers[0].script.add(Rule(p9.Twrite, Fault.LATE, delay_us=300 * MS))
    client.send(p9.Twrite(5, 0, b"first"), tag=1)
    instance.run(200 * MS)
    assert client.replies[-1] == (1, p9.Rwrite(5)), "the second attempt succeeds"
    other.send(p9.Twrite(5, 0, b"other"), tag=2)
    instance.run(SECOND)
    assert other.replies[-1] == (2, p9.Rwrite(5))
    assert instance.disk.read("readme") == b"other"


def test_write_after_a_rename_reaches_the_renamed_file() -> None:
    instance, client = writable_instance()
    client.open(5, "sv", "notes", mode=p9.OWRITE)
    client.walk(6, "sv")
    client.send_bytes(p9.encode(1, p9.Twstat(6, wstat(name="se"))) + p9.encode(2, p9.Twrite(5, 0, b"DRAFT")))
    instance.run(SECOND)
    assert client.replies[-2:] == [(1, p9.Rwstat()), (2, p9.Rwrite(5))]
    assert instance.disk.read("se", "notes") == b"DRAFT"


@pytest.mark.parametrize(
    ("fault", "ran", "words"),
    [
        (Fault.RESET_AFTER, 1, "may have happened"),
        (Fault.HALF, 1, "may have happened"),
        (Fault.WRONG_TAG, 1, "may have happened"),
        (Fault.RESET_BEFORE, 0, "may have happened"),
    ],
)
def test_change_that_is_not_idempotent_is_not_sent_twice(fault: Fault, ran: int, words: str) -> None:
    instance, client = writable_instance(servers=2)
    client.walk(6)
    instance.file_servers[0].script.add(Rule(p9.Tcreate, fault))
    client.send(p9.Tcreate(6, "once", 0o644, p9.ORDWR), tag=1)
    instance.run(2 * SECOND)
    assert error_text(client.replies[-1][1]).startswith(words)
    assert len([r for r in instance.disk.changes if r[0] == "make"]) == ran
    assert (
        len(received_messages(instance, p9.Tcreate, 0)) + len(received_messages(instance, p9.Tcreate, 1)) == 1
    )


def test_walk_lost_before_a_create_proves_that_the_create_never_ran() -> None:
    """Regression: such an attempt counted as possibly executed, so the create failed without a retry."""
    instance, client = writable_instance(servers=2)
    client.walk(6)
    instance.file_servers[0].script.add(Rule(p9.Twalk, Fault.RESET_BEFORE))
    client.send(p9.Tcreate(6, "once", 0o644, p9.ORDWR), tag=1)
    instance.run(2 * SECOND)
    assert isinstance(client.replies[-1][1], p9.Rcreate)


def test_rejected_change_that_was_never_sent_may_be_retried() -> None:
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.OWRITE)
    instance.drain_server(0)
    client.send(p9.Twrite(5, 0, b"x"), tag=2)
    instance.run(2 * SECOND)
    assert error_text(client.replies[-1][1]) == "busy; come again after 1000 ms"


def test_large_write_is_split_and_stops_at_a_backend_that_drains() -> None:
    instance = NinepInstance(2, access="rw")
    for server in instance.file_servers:
        server.msize = 1024
    big = NinepClient(instance, msize=8192)
    big.open(5, "readme", mode=p9.OWRITE)
    instance.file_servers[0].script.add(Rule(p9.Twrite, Fault.STALL, after=1))
    data = bytes(range(250)) * 12
    big.send(p9.Twrite(5, 0, data), tag=1)
    sent = len(received_messages(instance, p9.Twrite, 0))
    instance.drain_server(0)
    instance.list_endpoints(instance.endpoints[1], complete=False)
    instance.file_servers[0].release()
    instance.run(2 * SECOND)
    assert big.replies[-1] == (1, p9.Rwrite(len(data)))
    assert instance.disk.read("readme") == data
    assert len(received_messages(instance, p9.Twrite, 0)) == sent == 2


def test_backend_that_drains_between_walk_and_open_is_not_sent_the_open() -> None:
    instance, client = writable_instance(servers=2)
    client.walk(5, "readme")
    instance.drain_server(0)
    instance.list_endpoints(instance.endpoints[1], complete=False)
    before = len(instance.file_servers[0].received)
    assert isinstance(client.request(p9.Topen(5, p9.ORDWR)), p9.Ropen)
    assert client.request(p9.Twrite(5, 0, b"HELLO")) == p9.Rwrite(5)
    assert len(instance.file_servers[0].received) == before
    assert instance.disk.read("readme") == b"HELLO"


def test_backend_that_drains_within_an_open_is_sent_no_further_message() -> None:
    """The drain is announced while the walk of the attempt is in flight; the open must not follow it."""
    instance, client = writable_instance(servers=2)
    client.walk(5, "readme")
    instance.withhold_replies(p9.Twalk)
    client.send(p9.Topen(5, p9.OWRITE | p9.OTRUNC), tag=1)
    instance.drain_server(0)
    instance.list_endpoints(instance.endpoints[1], complete=False)
    instance.file_servers[0].release()
    instance.run(SECOND)
    assert isinstance(client.replies[-1][1], p9.Ropen)
    assert not received_messages(instance, p9.Topen, 0)
    assert len(received_messages(instance, p9.Topen, 1)) == 1


@pytest.mark.parametrize(
    "message",
    [
        p9.Twalk(0, 9, ("sv",)),
        p9.Tcreate(6, "made", 0o644, 1),
        p9.Tread(7, 0, 200),
        p9.Twrite(5, 0, b"HELLO"),
    ],
)
@pytest.mark.parametrize("end", ["flush", "clunk"])
def test_flush_or_clunk_within_a_change_leaves_one_reply_per_tag(message: p9.Message, end: str) -> None:
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.OWRITE)
    client.walk(6)
    client.open(7, "sv")
    instance.file_servers[0].script.add(Rule(type(message), Fault.SLOW, delay_us=100 * MS))
    fid = {p9.Twalk: 0, p9.Tcreate: 6, p9.Tread: 7, p9.Twrite: 5}[type(message)]
    client.send(message, tag=71)
    client.send(p9.Tflush(71) if end == "flush" else p9.Tclunk(fid), tag=72)
    instance.run(SECOND)
    tags = [tag for tag, _ in client.replies]
    assert tags.count(72) == 1
    assert tags.count(71) == (0 if end == "flush" and isinstance(message, p9.Twalk | p9.Tread) else 1)
    assert tags[-1] == 72 or isinstance(
        message, p9.Twalk
    ), "the request that it ends is answered first, or not at all"
    assert instance.core.open_requests == 0
    assert len(instance.shared_state.order) == 0
