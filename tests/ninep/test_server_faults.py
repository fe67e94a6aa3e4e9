"""File servers that send invalid replies or report errors."""

from __future__ import annotations

import stat

import pytest

from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors
from tests.support.clock import MS, SECOND
from tests.support.ninep_changes import LINUX, PLAIN, error_number, writable_instance
from tests.support.ninep_instance import NinepClient, NinepInstance, error_text


@pytest.mark.parametrize(
    "fault",
    [Fault.WRONG_COUNT, Fault.WRONG_TYPE, Fault.WRONG_TAG, Fault.HALF, Fault.RESET_AFTER, Fault.RESET_BEFORE],
)
def test_write_with_a_malformed_reply_is_retried_and_stored(fault: Fault) -> None:
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.OWRITE)
    instance.file_servers[0].script.add(Rule(p9.Twrite, fault))
    client.send(p9.Twrite(5, 0, b"HELLO"), tag=1)
    instance.run(2 * SECOND)
    assert client.replies[-1] == (1, p9.Rwrite(5))
    assert instance.disk.read("readme") == b"HELLO"


@pytest.mark.parametrize(
    ("client_version", "error"), [(PLAIN, "no space left on device"), (LINUX, errors.ENOSPC)]
)
def test_full_disk_and_denied_permission_are_reported_in_the_clients_dialect(
    client_version: str, error: object
) -> None:
    instance, client = writable_instance(client_version, PLAIN)
    client.open(5, "readme", mode=p9.OWRITE)
    instance.disk.capacity = instance.disk.used
    reply = client.request(p9.Twrite(5, 0, b"x" * 100))
    assert error == (error_number(reply) if client.linux else error_text(reply))
    instance.disk.find("sv").mode = stat.S_IFDIR | 0o500
    client.walk(7, "sv")
    instance.disk.find("sv", "notes").mode = stat.S_IFREG | 0o400
    denied = client.request(
        p9l.Tlcreate(7, "x", p9l.L_CREATE, 0o644, 0) if client.linux else p9.Tcreate(7, "x", 0o644, p9.OWRITE)
    )
    assert (error_number(denied) if client.linux else error_text(denied)) == (
        errors.EACCES if client.linux else "permission denied"
    )


def test_offsets_beyond_the_servers_range_are_errors() -> None:
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.ORDWR)
    for message in (
        p9.Tread(5, 1 << 63, 9),
        p9.Twrite(5, (1 << 64) - 1, b"x"),
        p9.Tread(5, (1 << 63) - 4, 9),
    ):
        assert error_text(client.request(message)) == "illegal offset"
    assert client.request(p9.Tread(5, 1 << 62, 9)) == p9.Rread(b"")


def test_changes_in_a_read_only_export_never_reach_a_server() -> None:
    instance = NinepInstance(server_dialect=LINUX)
    client = NinepClient(instance, version=LINUX)
    client.open(5, "readme")
    received_before = len(instance.file_servers[0].received)
    for message in (
        p9l.Tlcreate(0, "x", 1, 0, 0),
        p9l.Tmkdir(0, "x", 0, 0),
        p9l.Tunlinkat(0, "readme", 0),
        p9l.Trenameat(0, "readme", 0, "x"),
        p9l.Tsymlink(0, "x", "y", 0),
        p9l.Tsetattr(5, 1, 0, 0, 0, 0, 0, 0, 0, 0),
        p9l.Tlink(0, 5, "x"),
    ):
        assert error_number(client.request(message)) == errors.EROFS, message
    assert client.request(p9l.Tfsync(5, 0)) == p9l.Rfsync()
    assert len(instance.file_servers[0].received) == received_before


def test_a_second_reply_is_not_served_to_the_next_message() -> None:
    """Regression: all messages of a connection had one tag, so that it was taken for the next reply."""
    instance = NinepInstance()
    client = NinepClient(instance)
    client.open(5, "readme")
    client.open(6, "sv", "notes")
    [server] = instance.file_servers
    instance.withhold_replies(p9.Tread)
    client.send(p9.Tread(5, 0, 100), tag=7)
    [(first_tag, _, connection)] = server.held_messages
    server.release()
    instance.settle()
    assert client.replies[-1] == (7, p9.Rread(b"hello"))
    instance.withhold_replies(p9.Tread)
    client.send(p9.Tread(6, 0, 100), tag=8)
    connection.write(p9.encode(first_tag, p9.Rread(b"hello")))
    instance.settle()
    server.holds_reply = lambda _: False
    instance.run(2 * SECOND, 50 * MS)
    replies = dict(client.replies)
    assert replies[8] == p9.Rread(b"draft"), "read again on a new connection"
