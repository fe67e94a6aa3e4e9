"""What 9P clients make an instance hold is charged to them, bounded, and released whatever way they end."""

from __future__ import annotations

import pytest

from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from tests.support.clock import MS, SECOND
from tests.support.ninep_changes import writable_instance
from tests.support.ninep_instance import NinepClient, NinepInstance, error_text

SMALL_BUDGET_BYTES = 256 << 10


def stall_all_writes(instance: NinepInstance) -> None:
    instance.file_servers[0].script.add(Rule(p9.Twrite, Fault.STALL, times=None))


def test_data_of_queued_writes_is_bounded_and_other_clients_are_served() -> None:
    """Regression: the data of writes that wait for earlier ones, 8 MB a client, counted nowhere."""
    instance, flooding = writable_instance()
    instance.pool.budget.available_bytes = SMALL_BUDGET_BYTES
    flooding.open(5, "readme", mode=p9.OWRITE)
    sound = NinepClient(instance)
    sound.open(7, "sv", "law", "terms")
    stall_all_writes(instance)
    for tag in range(100, 200):
        flooding.send(p9.Twrite(5, 0, b"x" * 8000), tag)
    assert flooding.closed, "it holds most"
    assert instance.pool.budget.used_bytes <= SMALL_BUDGET_BYTES
    reply = sound.request(p9.Tread(7, 0, 4096))
    assert isinstance(reply, p9.Rread)
    assert len(reply.data) == 4096


def test_fids_of_one_client_do_not_use_up_the_memory_of_others() -> None:
    """Regression: fids with long paths, some 10 KB each, counted nowhere."""
    instance, flooding = writable_instance()
    instance.pool.budget.available_bytes = SMALL_BUDGET_BYTES
    sound = NinepClient(instance)
    sound.open(7, "sv", "law", "terms")
    for number in range(600):
        flooding.send(p9.Twalk(0, 100 + number, ()), tag=3)
    assert flooding.closed, "it holds most"
    assert isinstance(sound.request(p9.Twalk(0, 8, ("readme",))), p9.Rwalk)
    sound.close()
    assert instance.pool.budget.used_bytes == 0


def test_flushes_that_wait_are_bounded() -> None:
    """Regression: each of 65,535 tags could wait as the flush of one change."""
    instance, client = writable_instance(ninep_tags=4)
    client.open(5, "readme", mode=p9.OWRITE)
    stall_all_writes(instance)
    client.send(p9.Twrite(5, 0, b"x"), tag=9)
    for tag in range(100, 110):
        client.send(p9.Tflush(9), tag)
    refused = [tag for tag, reply in client.replies if isinstance(reply, p9.Rerror)]
    assert refused == list(range(104, 110))
    client.close()
    instance.run(SECOND, 50 * MS)
    instance.file_servers[0].close_connections()
    instance.run(3 * SECOND, 50 * MS)
    assert instance.pool.budget.used_bytes == 0


def test_removals_for_clients_that_have_gone_are_bounded() -> None:
    """Regression: files to be removed on close, 1,024 for each session, queued without a limit."""
    instance, client = writable_instance(ninep_unanswered_removals=3)
    for number in range(6):
        client.walk(10 + number)
        client.request(p9.Tcreate(10 + number, f"temp{number}", 0o644, p9.ORDWR | p9.ORCLOSE))
    instance.file_servers[0].script.add(Rule(p9.Tremove, Fault.STALL, times=None))
    client.close()
    assert instance.shared_state.unanswered_removals == 3
    instance.run(4 * SECOND, 50 * MS)
    assert instance.shared_state.unanswered_removals == 0
    assert instance.pool.budget.used_bytes == 0


@pytest.mark.parametrize("end", ["lost framing", "eviction"])
def test_a_session_that_the_instance_ends_answers_what_is_open_with_an_error(end: str) -> None:
    """Regression: the connection ended without a reply to the messages that it had taken."""
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.ORDWR)
    stall_all_writes(instance)
    client.send(p9.Twrite(5, 0, b"x"), tag=9)
    client.send(p9.Twrite(5, 1, b"y"), tag=10)
    client.send(p9.Tflush(9), tag=11)
    if end == "eviction":
        assert not instance.pool.budget.process_account.charge(instance.pool.budget.available_bytes)
    else:
        client.send_bytes(b"\x01\x00\x00\x00")
    instance.run(SECOND, 50 * MS)
    assert client.closed
    replies = dict(client.replies)
    assert error_text(replies[9]).startswith("may have happened")
    assert error_text(replies[10]) == ("out of memory" if end == "eviction" else "message framing lost")
    assert replies[11] == p9.Rflush()
