"""Streamed bodies that end before a sink is attached."""

from __future__ import annotations

from garnetlanding.core.body import Body, WritableCallback


class RecordingSink:
    """A sink whose client reads everything at once."""

    write_blocked = False

    def __init__(self) -> None:
        self.received = b""

    def __call__(self, data: bytes) -> None:
        self.received += data

    def when_writable(self, _callback: WritableCallback) -> None:
        raise AssertionError("it is always writable")

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
