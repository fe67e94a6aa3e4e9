"""A graceful shutdown answers each 9P message that has been taken, also those that wait for others."""

from __future__ import annotations

from garnetlanding.daemon.shutdown import Shutdown
from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from tests.support.clock import MS, SECOND
from tests.support.ninep_changes import writable_instance
from tests.support.ninep_instance import error_text, received_messages

WRITES = 20


def test_changes_that_wait_for_others_are_answered_before_the_process_ends() -> None:
    """Regression: of 60 writes to one file, a third got no answer when the process ended after SIGTERM."""
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.ORDWR)
    instance.file_servers[0].script.add(Rule(p9.Twrite, Fault.STALL, times=None))
    shutdown = Shutdown(
        instance.scheduler, instance.limits, instance.core, [instance.listener], lambda: False
    )
    instance.scheduler.spawn(lambda: shutdown.run([]))
    instance.run(SECOND, 50 * MS)
    for tag in range(100, 100 + WRITES):
        client.send(p9.Twrite(5, 0, b"x"), tag)
    client.send(p9.Tflush(100), tag=2)
    client.send(p9.Tclunk(5), tag=3)
    instance.run(4 * SECOND, 50 * MS)
    replies = dict(client.replies)
    assert error_text(replies[100]).startswith("may have happened")
    assert [error_text(replies[tag]) for tag in range(101, 100 + WRITES)] == ["ending"] * (WRITES - 1)
    assert replies[2] == p9.Rflush()
    assert replies[3] == p9.Rclunk()
    assert client.closed
    assert len(received_messages(instance, p9.Twrite)) == 1, "none of the others was sent"
    assert instance.pool.budget.used_bytes == 0
