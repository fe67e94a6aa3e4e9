"""Streamed bodies that end before a sink is attached."""

from __future__ import annotations

from garnetlanding.core.body import Body, WritableCallback
from garnetlanding.runtime.memory import MemoryBudget


class RecordingSink:
    """A sink whose client reads everything at once."""

    def __init__(self) -> None:
        self.received = b""

    def __call__(self, data: bytes) -> None:
        self.received += data

    def blocked_until(self, _callback: WritableCallback) -> bool:
        return False

    def end_after_flush(self) -> None:
        raise AssertionError("nothing ends it")

    def abort(self) -> None:
        raise AssertionError("nothing aborts it")


def test_a_body_truncated_before_its_sink_is_attached_writes_nothing() -> None:
    body, sink = Body(10), RecordingSink()
    body.feed(b"part")
    body.end(complete=False)
    body.attach_sink(sink)
    assert sink.received == b""


def test_a_body_that_ended_before_its_sink_is_attached_is_written_in_full() -> None:
    body, sink = Body(5), RecordingSink()
    body.feed(b"wh")
    body.feed(b"ole")
    body.end(complete=True)
    body.feed(b"after the end")
    body.attach_sink(sink)
    assert sink.received == b"whole"


def test_bytes_that_wait_for_a_sink_are_charged_until_they_are_written_or_the_body_is_truncated() -> None:
    """Regression: the first bytes of values that waited behind an open request were charged to no account."""
    budget = MemoryBudget(100)
    written, truncated = Body(10), Body(10)
    for body in (written, truncated):
        body.account = budget.open_account(lambda: None)
        body.feed(b"part")
    assert budget.used_bytes == 8
    written.attach_sink(RecordingSink())
    assert budget.used_bytes == 4
    truncated.end(complete=False)
    assert budget.used_bytes == 0


def test_a_body_ends_as_truncated_if_its_client_must_not_hold_it() -> None:
    body = Body(10)
    ends: list[bool] = []
    body.account = MemoryBudget(3).open_account(lambda: None)
    body.on_end.append(ends.append)
    body.feed(b"part")
    assert ends == [False]
