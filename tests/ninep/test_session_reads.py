"""9P reads on loopback through the client protocol, the core and the backend protocol, with edge cases."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from garnetlanding.core.ports import Rejected
from garnetlanding.decision.interface import Outcome
from garnetlanding.ninep import codec as p9
from tests.support.clock import MS, SECOND
from tests.support.ninep_instance import GLOSSARY, NinepClient, NinepInstance, error_text, received_messages


def test_file_is_walked_opened_read_to_its_end_and_clunked() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.open(5, "sv", "law", "terms")
    got = b""
    while True:
        reply = client.request(p9.Tread(5, len(got), 8192))
        assert isinstance(reply, p9.Rread)
        if not reply.data:
            break
        got += reply.data
    assert got == GLOSSARY
    assert isinstance(client.request(p9.Tstat(5)), p9.Rstat)
    assert client.request(p9.Tclunk(5)) == p9.Rclunk()
    assert all(len(f) == 1 for f in instance.core.final_answers)
    # A file stays open at its server between reads.
    assert len(received_messages(instance, p9.Topen)) == 1


def test_directory_is_read_in_steps_and_again_from_its_start() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.open(5, "sv")
    whole = client.request(p9.Tread(5, 0, 4096))
    assert isinstance(whole, p9.Rread)
    assert len(whole.data) > 100
    first = client.request(
        p9.Tread(5, 0, 90)
    )  # one entry fits, so the server has to be read again from an earlier offset
    assert isinstance(first, p9.Rread)
    assert 0 < len(first.data) <= 90
    rest = client.request(p9.Tread(5, len(first.data), 4096))
    assert isinstance(rest, p9.Rread)
    assert first.data + rest.data == whole.data


def test_attach_without_a_name_gets_the_only_export() -> None:
    client = NinepClient(NinepInstance())
    assert isinstance(client.request(p9.Tattach(7, p9.NOFID, "ann", "")), p9.Rattach)


def test_connection_lost_in_a_later_message_reports_may_have_run() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    instance.withhold_replies(p9.Topen)
    client.request(p9.Twalk(0, 5, ("readme",)))
    client.send(p9.Topen(5, p9.OREAD), tag=2)
    [connection] = instance.upstream._busy.values()
    assert connection._stream
    connection._stream.on_flushed = None
    connection._write(b"")  # a further message, no byte of which has been passed to the kernel
    instance.file_servers[0].close_connections()
    instance.settle()
    assert instance.core.started_attempts[-1].outcome is Outcome.RESET


def test_partial_walk_reports_its_steps_and_creates_no_fid() -> None:
    client = NinepClient(NinepInstance())
    reply = client.request(p9.Twalk(0, 5, ("sv", "gone", "terms")))
    assert isinstance(reply, p9.Rwalk)
    assert len(reply.qids) == 1
    assert error_text(client.request(p9.Tstat(5))) == "unknown fid"
    assert error_text(client.request(p9.Twalk(0, 5, ("gone",)))) == "file does not exist"
    up = client.request(p9.Twalk(0, 5, ("sv", "..", "..", "readme")))
    assert isinstance(up, p9.Rwalk)
    assert len(up.qids) == 4


@pytest.mark.parametrize(
    ("message", "words"),
    [
        (p9.Twalk(0, 0, ("a/b",)), "bad name"),
        (p9.Twalk(9, 5, ("sv",)), "unknown fid"),
        (p9.Tattach(0, p9.NOFID, "ann", "glossaries"), "already in use"),
        (p9.Tattach(7, p9.NOFID, "ann", "other"), "no such export"),
        (p9.Tattach(7, 3, "ann", "glossaries"), "authentication"),
        (p9.Tauth(7, "a", "b"), "authentication"),
        (p9.Topen(0, 1), "read-only"),
        (p9.Topen(0, 16), "read-only"),
        (p9.Twrite(0, 0, b"x"), "not open"),
        (p9.Tcreate(0, "x", 0, 0), "read-only"),
        (p9.Twstat(0, b""), "read-only"),
        (p9.Tremove(0), "read-only"),
        (p9.Tread(0, 0, 10), "not open"),
        (p9.Rclunk(), "not a request"),
    ],
)
def test_invalid_message_gets_an_error(message: p9.Message, words: str) -> None:
    instance = NinepInstance()
    assert words in error_text(NinepClient(instance).request(message))
    assert len(instance.core.started_attempts) == 1, "only the attach needed a server"


def test_clunk_cancels_the_read_in_flight_which_is_answered_first() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.open(5, "readme")
    instance.withhold_replies(p9.Tread)
    assert client.send(p9.Tread(5, 0, 100), tag=2) == []
    replies = client.send(p9.Tclunk(5), tag=3)
    assert replies == [(2, p9.Rerror("fid clunked")), (3, p9.Rclunk())]
    assert len(instance.file_servers[0].connections) == 0, "the attempt's connection is closed"
    instance.file_servers[0].release()
    instance.settle()
    assert len(client.replies) == 6, "no further reply arrives for the tag"


def test_flush_is_answered_after_the_read_is_cancelled_and_frees_its_tag() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.open(5, "readme")
    instance.withhold_replies(p9.Tread)
    client.send(p9.Tread(5, 0, 100), tag=2)
    assert client.send(p9.Tflush(2), tag=3) == [(3, p9.Rflush())]
    instance.file_servers[0].release()
    assert client.request(p9.Tread(5, 0, 100), tag=2) == p9.Rread(b"hello")
    assert client.request(p9.Tflush(77)) == p9.Rflush()


def test_reply_already_sent_precedes_the_reply_to_its_flush() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.open(5, "readme")
    before = len(client.replies)
    client.send_bytes(p9.encode(2, p9.Tread(5, 0, 100)))
    client.send_bytes(p9.encode(3, p9.Tflush(2)))
    assert client.replies[before:] == [(2, p9.Rread(b"hello")), (3, p9.Rflush())]


def test_flushed_walk_leaves_its_new_fid_free() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    instance.withhold_replies(p9.Twalk)
    client.send(p9.Twalk(0, 5, ("sv",)), tag=2)
    assert error_text(client.request(p9.Twalk(0, 5, ("readme",)), tag=4)) == "fid already in use"
    client.send(p9.Tflush(2), tag=3)
    instance.file_servers[0].release()
    assert isinstance(client.request(p9.Twalk(0, 5, ("readme",)), tag=4), p9.Rwalk)


def test_walk_in_flight_survives_the_clunk_of_its_first_fid() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.request(p9.Twalk(0, 4, ()))
    instance.withhold_replies(p9.Twalk)
    client.send(p9.Twalk(4, 5, ("sv",)), tag=2)
    assert client.request(p9.Tclunk(4), tag=3) == p9.Rclunk()
    instance.file_servers[0].release()
    instance.settle()
    assert isinstance(client.replies[-1][1], p9.Rwalk)
    assert isinstance(client.request(p9.Tstat(5)), p9.Rstat)


def test_disconnect_cancels_the_clients_attempts() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.open(5, "readme")
    instance.withhold_replies(p9.Tread)
    client.send(p9.Tread(5, 0, 100), tag=2)
    client.close()
    assert instance.core.open_requests == 0
    assert not instance.core._requests
    assert len(instance.file_servers[0].connections) == 0


def test_new_version_ends_the_session() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.open(5, "readme")
    instance.withhold_replies(p9.Tread)
    client.send(p9.Tread(5, 0, 100), tag=2)
    assert client.request(p9.Tversion(4096, "9P2000.u"), p9.NOTAG) == p9.Rversion(4096, "9P2000")
    assert instance.core.open_requests == 0
    assert error_text(client.request(p9.Tstat(5))) == "unknown fid"
    assert client.request(p9.Tversion(4096, "8P"), p9.NOTAG) == p9.Rversion(4096, "unknown")
    assert error_text(client.request(p9.Tstat(5))) == "no version agreed"


def test_duplicate_tag_is_rejected_and_the_first_continues() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.open(5, "readme")
    instance.withhold_replies(p9.Tread)
    client.send(p9.Tread(5, 0, 100), tag=2)
    assert error_text(client.request(p9.Tstat(5), tag=2)) == "duplicate tag"
    before = len(client.replies)
    instance.file_servers[0].release()
    instance.settle()
    assert client.replies[before:] == [(2, p9.Rread(b"hello"))]


def test_fid_that_is_being_opened_rejects_other_messages() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.request(p9.Twalk(0, 5, ("readme",)))
    instance.withhold_replies(p9.Topen)
    client.send(p9.Topen(5, p9.OREAD), tag=2)
    assert "being opened" in error_text(client.request(p9.Topen(5, p9.OREAD), tag=3))
    instance.file_servers[0].release()
    instance.settle()
    assert error_text(client.request(p9.Topen(5, p9.OREAD))) == "fid already open"
    assert error_text(client.request(p9.Twalk(5, 6, ("x",)))) == "cannot walk an open fid"


def test_msize_bounds_reads_stats_and_errors() -> None:
    client = NinepClient(NinepInstance(), msize=256)
    client.open(5, "sv", "law", "terms")
    reply = client.request(p9.Tread(5, 0, 1 << 20))
    assert isinstance(reply, p9.Rread)
    assert len(reply.data) == 256 - 24
    long = p9.encode(1, p9.Tattach(9, p9.NOFID, "a", "x" * 400))
    client.send_bytes(long)
    assert client.closed, "a message longer than msize is a framing error"
    raw = NinepClient(NinepInstance(), attach=False)
    assert error_text(raw.request(p9.Tversion(100, "9P2000"), p9.NOTAG)) == "msize too small"


def test_malformed_body_gets_an_error_and_the_session_continues() -> None:
    client = NinepClient(NinepInstance())
    bad = p9.encode(9, p9.Tstat(0))[:-1]
    client.send_bytes(bytes([len(bad)]) + bad[1:])
    assert client.replies[-1] == (9, p9.Rerror("bad Tstat: message cut short"))
    client.instance.run(client.instance.limits.invalid_command_pause_us)
    client.send_bytes(b"\x07\0\0\0\xff\x09\0")
    client.instance.run(client.instance.limits.invalid_command_pause_us)
    assert client.replies[-1] == (9, p9.Rerror("unknown message type 255"))
    assert isinstance(client.request(p9.Tstat(0)), p9.Rstat)


def test_backend_that_drains_within_a_walk_is_sent_no_more_of_it() -> None:
    """The drain is announced while the first Twalk is in flight; the walk is retried at the other server."""
    instance = NinepInstance(servers=2)
    deep: dict[str, Any] = {"end": b"here"}
    names = tuple(f"n{i}" for i in range(19))
    for name in reversed(names):
        deep = {name: deep}
    for server in instance.file_servers:
        server.tree = deep
    client = NinepClient(instance)
    instance.withhold_replies(p9.Twalk)
    client.send(p9.Twalk(0, 5, names[:16]), tag=2)
    instance.file_servers[0].release()
    instance.settle()
    instance.withhold_replies(p9.Twalk)
    assert client.send(p9.Twalk(5, 6, (*names[16:], "end")), tag=2) == []
    instance.drain_server(0)
    instance.list_endpoints(instance.endpoints[1], complete=False)
    instance.file_servers[0].release()  # the first Twalk is answered; the second must not be sent
    instance.run(200 * MS)
    assert len(received_messages(instance, p9.Twalk, 0)) == 2
    assert len(received_messages(instance, p9.Twalk, 1)) == 2
    assert isinstance(client.replies[-1][1], p9.Rwalk)
    assert len(client.replies[-1][1].qids) == 4
    assert [a.outcome.value for a in instance.core.started_attempts[-2:] if a.outcome] == ["reset", "served"]


def test_read_continues_at_another_backend_when_its_own_fails() -> None:
    instance = NinepInstance(servers=2)
    client = NinepClient(instance)
    client.open(5, "sv", "law", "terms")
    first = client.request(p9.Tread(5, 0, 4000))
    instance.withhold_replies(p9.Tread)
    client.send(p9.Tread(5, 4000, 4000), tag=2)
    instance.file_servers[0].listener.stop_accepting()
    instance.file_servers[0].close_connections()
    instance.endpoints[0].state = "DELETED"
    instance.list_endpoints(instance.endpoints[0], instance.endpoints[1], complete=False)
    instance.run(300 * MS)
    second = client.replies[-1]
    assert isinstance(first, p9.Rread)
    assert second == (2, p9.Rread(GLOSSARY[4000:8000]))
    assert isinstance(client.request(p9.Tread(5, 0, 10)), p9.Rread)


def test_rejection_says_when_to_retry() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.open(5, "readme")
    # No backend serves the cell any more; the controller rejects the request before its deadline.
    instance.drain_server(0)
    assert client.send(p9.Tread(5, 0, 100), tag=2) == []
    instance.run(1500 * MS)
    assert error_text(client.replies[-1][1]) == "busy; come again after 1000 ms"
    assert isinstance(instance.core.final_answers[-1][0], Rejected)


def test_unresponsive_backend_costs_no_more_than_the_deadline() -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.open(5, "readme")
    instance.withhold_replies(p9.Message)
    client.send(p9.Tread(5, 0, 100), tag=2)
    instance.run(1500 * MS)
    assert client.replies[-1][0] == 2
    assert error_text(client.replies[-1][1]).startswith("busy")
    assert instance.core.open_requests == 0
    assert len(instance.file_servers[0].connections) == 0


def test_fids_and_tags_are_bounded() -> None:
    instance = NinepInstance(ninep_fids=3, ninep_tags=2)
    client = NinepClient(instance)
    assert client.request(p9.Twalk(0, 1, ())) == client.request(p9.Twalk(0, 2, ())) == p9.Rwalk(())
    assert error_text(client.request(p9.Twalk(0, 3, ()))) == "too many fids"
    instance.withhold_replies(p9.Message)
    client.send(p9.Tstat(0), tag=1)
    client.send(p9.Tstat(1), tag=2)
    assert error_text(client.request(p9.Tstat(2), tag=3)) == "too many requests in flight"


def test_open_files_per_backend_connection_are_bounded() -> None:
    instance = NinepInstance(ninep_keep_open=1)
    client = NinepClient(instance)
    client.open(5, "readme")
    client.open(6, "sv", "notes")
    connection = instance.file_servers[0].connections[0]
    assert len(getattr(connection, "fids")) == 2, "the root and one file"  # noqa: B009
    assert isinstance(client.request(p9.Tread(5, 0, 9)), p9.Rread)


@pytest.mark.parametrize(
    "break_protocol",
    [
        lambda connection, _tag: connection.write(b"\0\0\0\0"),
        lambda connection, _tag: connection.write(p9.encode(55, p9.Rread(b""))),
        lambda connection, tag: connection.write(p9.encode(tag, p9.Rclunk())),
        lambda connection, tag: connection.write(p9.encode(tag, p9.Rread(b"x" * 101))),
    ],
)
def test_connection_to_a_server_that_breaks_the_protocol_is_closed(
    break_protocol: Callable[[Any, int], None],
) -> None:
    instance = NinepInstance()
    client = NinepClient(instance)
    client.open(5, "readme")
    instance.withhold_replies(p9.Tread)
    client.send(p9.Tread(5, 0, 100), tag=2)
    [(tag, _, connection)] = instance.file_servers[0].held_messages
    instance.file_servers[0].held_messages = []
    instance.file_servers[0].holds_reply = None
    break_protocol(connection, tag)
    instance.run(SECOND // 2)
    assert client.replies[-1] == (2, p9.Rread(b"hello"))
    assert [a.outcome.value for a in instance.core.started_attempts[-2:] if a.outcome] == ["reset", "served"]
