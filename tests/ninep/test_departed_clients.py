"""Clients that go while a change of theirs is under way: no attempt of it begins after that."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, replace

import pytest

from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep.client_dialect import may_change
from garnetlanding.ninep.codec import QTEXCL
from tests.support.clock import MS, SECOND
from tests.support.ninep_changes import PLAIN, create_file, writable_instance
from tests.support.ninep_instance import NinepClient, NinepInstance

LONG = b"x" * 3000  # several messages at the msize that the file server offers


def reset(_instance: NinepInstance, client: NinepClient) -> None:
    assert client.stream
    client.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def new_session(_instance: NinepInstance, client: NinepClient) -> None:
    client.send(p9.Tversion(8192, PLAIN), p9.NOTAG)


def lost_framing(_instance: NinepInstance, client: NinepClient) -> None:
    client.send_bytes(b"\x01\x00\x00\x00")


def eviction(instance: NinepInstance, _client: NinepClient) -> None:
    budget = instance.pool.budget
    needed_bytes = budget.available_bytes - budget.used_bytes + 1
    assert budget.process_account.charge(needed_bytes)
    budget.process_account.release(needed_bytes)
    assert budget.evictions == 1
    instance.settle()


DEPARTURES: dict[str, Callable[[NinepInstance, NinepClient], None]] = {
    "close": lambda _, client: client.close(),
    "reset": reset,
    "new-session": new_session,
    "lost-framing": lost_framing,
    "eviction": eviction,
}


@dataclass(frozen=True)
class UnderWay:
    """How far a change has come when its client goes, and what happens to its attempt later."""

    fault: Rule
    message: p9.Message
    before_departure: Callable[[NinepInstance], None] = lambda instance: instance.run(100 * MS)
    after_departure: Callable[[NinepInstance], None] = lambda instance: instance.file_servers[
        0
    ].close_connections()


def reset_and_stall_next_walk(instance: NinepInstance) -> None:
    """Let the first attempt end in a reset, and hold the second one before its change."""
    server = instance.file_servers[0]
    server.script.add(Rule(p9.Twalk, Fault.STALL))
    server.close_connections()
    instance.run(300 * MS)
    assert len(server.held_messages) > 1, "the second attempt has not sent its walk"


def release_walk(instance: NinepInstance) -> None:
    tag, message, connection = instance.file_servers[0].held_messages[-1]
    connection.answer(tag, message)
    instance.settle()


def reset_without_server(instance: NinepInstance) -> None:
    """Let the first attempt end in a reset while the endpoint list names no server for a second one."""
    instance.list_endpoints()
    instance.file_servers[0].close_connections()
    instance.settle()


CHANGES = {
    "first-attempt-sent": UnderWay(Rule(p9.Twrite, Fault.STALL), p9.Twrite(5, 0, b"HELLO")),
    "append-sent": UnderWay(Rule(p9.Twrite, Fault.STALL), p9.Twrite(5, 3, b"HELLO")),
    "remove-sent": UnderWay(Rule(p9.Tremove, Fault.STALL), p9.Tremove(5)),
    "create-sent": UnderWay(Rule(p9.Tcreate, Fault.STALL), p9.Tcreate(6, "new", 0o644, p9.ORDWR)),
    "second-attempt-before-its-change": UnderWay(
        Rule(p9.Twrite, Fault.STALL),
        p9.Twrite(5, 0, b"HELLO"),
        before_departure=reset_and_stall_next_walk,
        after_departure=release_walk,
    ),
    "between-two-attempts": UnderWay(
        Rule(p9.Twrite, Fault.STALL),
        p9.Twrite(5, 0, b"HELLO"),
        before_departure=reset_without_server,
        after_departure=lambda instance: instance.list_endpoints(instance.endpoints[0]),
    ),
}


def changes_received(instance: NinepInstance) -> int:
    return sum(may_change(message) for message in instance.file_servers[0].received)


@pytest.mark.parametrize("departure", DEPARTURES)
@pytest.mark.parametrize("change", CHANGES)
def test_no_attempt_of_a_change_begins_after_its_client_has_gone(change: str, departure: str) -> None:
    """Regression: a change that a server may have got stayed open at the core when its client went, and was
    sent again after a reset, over what other clients had written since."""
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.OWRITE)
    client.walk(6)
    under_way = CHANGES[change]
    instance.file_servers[0].script.add(replace(under_way.fault))  # a copy, since it counts its occurrences
    client.send(under_way.message, tag=9)
    assert len(instance.file_servers[0].held_messages) == 1
    under_way.before_departure(instance)
    before = changes_received(instance)
    assert before >= 1
    DEPARTURES[departure](instance, client)
    instance.run(200 * MS)
    under_way.after_departure(instance)
    instance.run(3 * SECOND, 50 * MS)
    assert changes_received(instance) == before
    assert instance.core.open_requests == 0
    assert instance.pool.budget.used_bytes == 0
    assert len(instance.shared_state.order) == 0


@pytest.mark.parametrize("departure", DEPARTURES)
def test_a_remove_that_waits_for_another_change_never_begins_after_its_client_has_gone(
    departure: str,
) -> None:
    """Regression: Tremove cannot be cancelled, since it clunks its fid, and so it began after its client."""
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.OWRITE)
    client.walk(6, "readme")
    instance.file_servers[0].script.add(Rule(p9.Twrite, Fault.STALL))
    client.send(p9.Twrite(5, 0, b"HELLO"), tag=8)
    client.send(p9.Tremove(6), tag=9)
    DEPARTURES[departure](instance, client)
    instance.run(200 * MS)
    instance.file_servers[0].close_connections()
    instance.run(3 * SECOND, 50 * MS)
    assert not [message for message in instance.file_servers[0].received if isinstance(message, p9.Tremove)]
    assert len(instance.shared_state.order) == 0


@pytest.mark.parametrize("departure", DEPARTURES)
def test_an_exclusive_create_that_ends_after_its_client_has_gone_holds_nothing(departure: str) -> None:
    """Regression: the file stayed in exclusive use of a client that was gone, and no other could open it."""
    instance, client = writable_instance()
    instance.file_servers[0].script.add(Rule(p9.Tcreate, Fault.SLOW, delay_us=100 * MS))
    client.walk(6)
    client.send(p9.Tcreate(6, "lock", 0x20000000 | 0o666, p9.ORDWR), tag=9)
    DEPARTURES[departure](instance, client)
    instance.run(SECOND)
    other = NinepClient(instance)
    other.walk(7, "lock")
    opened = other.request(p9.Topen(7, p9.OREAD))
    assert isinstance(opened, p9.Ropen), opened
    assert opened.qid.type & QTEXCL


def test_a_change_of_another_client_follows_the_end_of_the_change_in_flight() -> None:
    """What a departed client has in flight still ends before a change that must not overtake it."""
    instance, client = writable_instance()
    create_file(client, 5, "draft")
    other = NinepClient(instance)
    other.open(5, "draft", mode=p9.OWRITE)
    instance.file_servers[0].script.add(Rule(p9.Twrite, Fault.SLOW, delay_us=300 * MS))
    client.send(p9.Twrite(5, 0, b"first"), tag=9)
    client.close()
    instance.run(400 * MS)
    assert other.request(p9.Twrite(5, 0, b"other")) == p9.Rwrite(5)
    instance.run(SECOND)
    assert instance.disk.read("draft") == b"other"
