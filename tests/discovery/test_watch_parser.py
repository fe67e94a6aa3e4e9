"""The parser of a watch's response: lists, heartbeats and the errors that end the watch."""

from __future__ import annotations

import json
from typing import Any

import pytest

from garnetlanding.discovery.listing import (
    DiscoveryError,
    FieldValueError,
    ListDefect,
    ListFormatError,
    StaleChangesError,
    read_list,
)
from garnetlanding.discovery.watch_parser import (
    WatchDisconnectedError,
    WatchEndedError,
    WatchParser,
    WatchRejectedError,
)
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool

HEADERS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENTRY = EmulatedEndpoint("b0", "127.0.0.1:9", 0).entry()
LINE = json.dumps({"generation": 7, "reset": True, "instances": [ENTRY]}).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n" % len(data) + data + b"\r\n"


def make_parser(**limits: Any) -> WatchParser:
    return WatchParser(BufferPool(1024, 4, 16), Limits(**limits), lambda us: us)


def test_lists_and_heartbeats_count_as_complete_lines_and_parts_of_a_line_do_not() -> None:
    parser = make_parser()
    assert list(parser.feed(HEADERS)) == []
    assert list(parser.feed(chunk(LINE[:20]))) == []
    assert parser.complete_lines == 0
    [received] = parser.feed(chunk(LINE[20:]))
    assert (received.version, received.listing.complete, received.raw) == (7, True, json.loads(LINE))
    assert parser.complete_lines == 1
    assert list(parser.feed(chunk(b"\n"))) == []
    assert parser.complete_lines == 2


def test_a_list_counts_as_a_complete_line_only_after_its_processing() -> None:
    parser = make_parser()
    lists = parser.feed(HEADERS + chunk(LINE))
    next(lists)
    assert parser.complete_lines == 0
    assert next(lists, None) is None
    assert parser.complete_lines == 1


def test_a_rejected_call_raises_its_status() -> None:
    parser = make_parser()
    assert not parser.rejected
    with pytest.raises(WatchRejectedError, match="^status 503$") as error:
        list(parser.feed(b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"))
    assert error.value.status == 503
    assert parser.rejected


@pytest.mark.parametrize(
    ("partial_line", "text"),
    [
        pytest.param(b"", "^watch ended$", id="between-lines"),
        pytest.param(b'{"gen', "^watch ended, 5 bytes into a line$", id="within-a-line"),
    ],
)
def test_the_end_of_a_response_raises_the_length_of_the_partial_line(partial_line: bytes, text: str) -> None:
    parser = make_parser()
    list(parser.feed(HEADERS + chunk(b"\n" + partial_line)))
    with pytest.raises(WatchEndedError, match=text) as error:
        list(parser.feed(b"0\r\n\r\n"))
    assert error.value.partial_line_bytes == len(partial_line)


@pytest.mark.parametrize(
    ("data", "defect"),
    [
        pytest.param(b"{\n", ListDefect.NOT_JSON, id="not-json"),
        pytest.param(b"[]\n", ListDefect.NOT_AN_OBJECT, id="not-an-object"),
        pytest.param(b"{}\n", ListDefect.NOT_A_LIST, id="no-instances"),
        pytest.param(b"x" * 65, ListDefect.LINE_TOO_LONG, id="line-too-long"),
    ],
)
def test_a_line_that_is_not_a_list_raises_its_defect(data: bytes, defect: ListDefect) -> None:
    parser = make_parser(list_line_bytes=64)
    with pytest.raises(ListFormatError, match=defect.value) as error:
        list(parser.feed(HEADERS + chunk(data)))
    assert error.value.defect is defect


def test_a_faulty_value_raises_its_field_and_itself() -> None:
    with pytest.raises(FieldValueError, match="^field cell: cannot read 'x'$") as error:
        read_list({"instances": [ENTRY | {"cell": "x"}]}, lambda us: us)
    assert (error.value.field, error.value.value) == ("cell", "x")


def test_every_reason_for_the_end_of_a_watch_is_a_discovery_error() -> None:
    reasons = (
        WatchRejectedError(503),
        WatchEndedError(0),
        WatchDisconnectedError(),
        StaleChangesError(3, 6),
        ListFormatError(ListDefect.NOT_JSON),
    )
    assert all(isinstance(reason, DiscoveryError) for reason in reasons)
    assert str(WatchDisconnectedError()) == "connection closed before the response ended"
