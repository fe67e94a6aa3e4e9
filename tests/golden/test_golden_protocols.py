"""Golden tests of the protocol codecs, the HTTP parsers, the simulator protocol and the configuration.

The files under `tests/golden/protocols/` were recorded before the program was refactored; every test
compares exact bytes with one of them. To record them again, only for an intended change of behaviour:

    GOLDEN_WRITE=1 python -m pytest tests/golden/test_golden_protocols.py

Notation in the files: `>` marks input and `<` output, both as Python bytes literals; a run of 64 or more
equal bytes is written `{byte*count}`. 9P messages are in hexadecimal. Parsed values are listed field by field
under labels that are defined here, so a rename in the program changes an import or an attribute in this file
but no golden file.
"""

from __future__ import annotations

import copy
import json
import os
import re
import socket
import subprocess
import sys
import threading
import tomllib
from collections.abc import Callable, Iterable
from dataclasses import astuple, replace
from pathlib import Path
from typing import Any

import pytest

from garnetlanding import wire
from garnetlanding.config import Config, ConfigError
from garnetlanding.config import flatten as flatten_settings
from garnetlanding.config import load as load_config
from garnetlanding.config import read as read_config
from garnetlanding.core.body import Body
from garnetlanding.core.metrics import RequestMetrics
from garnetlanding.core.metrics import encode as encode_figures
from garnetlanding.core.ports import AttemptSummary, Failed, Rejected, RequestSpec, Served
from garnetlanding.decision import interface as api
from garnetlanding.discovery.listing import ListError, read_list
from garnetlanding.discovery.watch import Watch, WatchCallbacks, WatchRuntime
from garnetlanding.emulator.base import EmulatedConnection, EmulatedServer
from garnetlanding.http.errors import HttpError
from garnetlanding.http.request import RequestParser
from garnetlanding.http.response import ResponseParser
from garnetlanding.limits import Limits
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep import errors
from garnetlanding.ninep.front import NinepClientProtocol as NinepClient
from garnetlanding.ninep.setup import Export
from garnetlanding.ninep.shared_state import SharedState as NinepSharedState
from garnetlanding.ops.admin_client import method_and_path, send_call
from garnetlanding.ops.admin_connection import AdminConnection
from garnetlanding.ops.fleet_access import FleetView
from garnetlanding.peers import lease_message
from garnetlanding.peers.lease_message import LeaseMessage, QuotaRequest
from garnetlanding.peers.name_tag import name_tag
from garnetlanding.resp import codec as resp
from garnetlanding.resp.backend_protocol import RespBackendProtocol
from garnetlanding.resp.errors import InvalidCommandError, ProtocolError
from garnetlanding.resp.front import RespClientProtocol as RespClient
from garnetlanding.resp.front import RespListenerContext
from garnetlanding.resp.request import parse_request
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BackendProtocolError
from garnetlanding.telemetry.exporter import Exporter, ServiceInstance
from garnetlanding.telemetry.setup import TelemetrySetup
from tests.support.clock import MS, SECOND
from tests.support.ninep_instance import NinepInstance
from tests.support.simulated_instance import FakeRequestEngine, LoopbackClient, SimulatedInstance

ROOT = Path(__file__).parents[2]
GOLDEN = Path(__file__).parent / "protocols"
LONG_RUN = re.compile(rb"(.)\1{63,}", re.DOTALL)


def check(name: str, lines: Iterable[str]) -> None:
    """Compare the lines with the golden file of that name, byte by byte; with GOLDEN_WRITE=1, write it."""
    data = "".join(f"{line}\n" for line in lines).encode()
    path = GOLDEN / name
    if os.environ.get("GOLDEN_WRITE") == "1":
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(data)
        return
    expected = path.read_bytes()
    if data != expected:
        # Comparing lists of lines gives a readable diff; the assertion below compares the bytes.
        assert data.decode().split("\n") == expected.decode().split("\n")
    assert data == expected


def format_bytes(data: bytes) -> str:
    """Return the bytes as one line of text without loss of information."""
    parts, at = [], 0
    for run in LONG_RUN.finditer(data):
        if run.start() > at:
            parts.append(repr(data[at : run.start()]))
        parts.append(f"{{{run[1]!r}*{len(run[0])}}}")
        at = run.end()
    if at < len(data) or not parts:
        parts.append(repr(data[at:]))
    return " ".join(parts)


def buffers() -> BufferPool:
    return BufferPool(8192, 4, 4096)


# 1. RESP.


class Sink:
    """A client connection that records what is written to it."""

    def __init__(self) -> None:
        self.written: list[bytes] = []
        self.aborted = False

    def __call__(self, data: bytes) -> None:
        self.written.append(bytes(data))

    def blocked_until(self, _call: Callable[[], None]) -> bool:
        return False

    def end_after_flush(self) -> None:
        self.aborted = True

    def abort(self) -> None:
        self.aborted = True


class RespSession:
    """A scripted client of the RESP front; the script also decides when the core answers."""

    def __init__(self) -> None:
        self.core, self.sink, self.accepts_commands = FakeRequestEngine(), Sink(), True
        self.lines: list[str] = []
        self.protocol = RespClient(
            RespListenerContext(self.core, None, buffers(), Limits(), lambda: self.accepts_commands),  # type: ignore[arg-type]
            self.sink,
        )

    def record(self, text: str) -> None:
        self.lines.append(text)
        self.lines += [f"< {format_bytes(data)}" for data in self.sink.written]
        self.sink.written.clear()

    def send(self, data: bytes) -> None:
        self.protocol.feed(data)
        while self.protocol.has_buffered_input:
            self.protocol.feed(b"")
        self.record(f"> {format_bytes(data)}")

    def answer(self, ticket: str, answer: Served | Rejected | Failed, what: str) -> None:
        self.core.open_requests.pop(ticket)[1](answer)
        self.record(f"core answers {ticket}: {what}")

    def finish(self) -> list[str]:
        self.record(
            f"ended: {self.protocol.is_closing}, cut: {self.sink.aborted}, left: {self.core.disconnected}"
        )
        return self.lines


FIELDS = b"c=read,t=gold,d=1000,volume=v,units=2,shard=0,hosts=1"


def blk_read(number: int, fields: bytes = FIELDS) -> bytes:
    return resp.encode_command([b"BLK.READ", b"piece-%d" % number, b"id-%d" % number, fields])


def blk_write(number: int, body: bytes, fields: bytes = FIELDS) -> bytes:
    return resp.encode_command([b"BLK.WRITE", b"piece-%d" % number, b"id-%d" % number, fields, body])


def test_resp_front_session() -> None:
    s = RespSession()
    s.send(resp.encode_command([b"PING"]) + resp.encode_command([b"ping", b"hello"]))
    s.send(resp.encode_command([b"HELLO", b"2"]))
    s.send(
        resp.encode_command([b"CLIENT", b"SETNAME", b"x"])
        + resp.encode_command([b"SELECT", b"0"])
        + b"*0\r\n"
    )
    s.send(blk_read(1)[:20])
    s.send(blk_read(1)[20:])
    s.answer("i1", Served(b"value one"), "served")
    s.send(blk_read(2) + blk_read(3) + blk_read(4) + blk_write(5, b"w" * 65536) + blk_read(6))
    s.answer("i3", Rejected(1500), "refused, hold off 1500 us")
    s.answer("i4", Rejected(0), "refused")
    s.answer("i5", Failed("no answer\r\nfrom \u00e4 server"), "failed")
    s.answer("i2", Served(b""), "served, empty")
    s.answer("i6", Served(b"L" * 70000), "served, 70000 bytes")
    s.send(blk_read(7) + blk_read(8) + blk_read(7))
    body = Body(150000)
    body.feed(b"a" * 50000)
    s.answer("i7", Served(body), "served, passed on as it comes")
    body.feed(b"b" * 100000)
    s.record("more of the value")
    body.end(complete=True)
    s.record("the value is whole")
    s.answer("i8", Served(b"\x00\xff\r\n"), "served, binary")
    s.accepts_commands = False
    s.send(resp.encode_command([b"PING"]))
    s.send(resp.encode_command([b"QUIT"]) + resp.encode_command([b"PING"]))
    check("resp_front_session.txt", s.finish())


def test_resp_front_value_cut_short() -> None:
    s = RespSession()
    s.send(blk_read(1) + blk_read(2) + blk_read(3))
    first, second = Body(100), Body(100)
    s.answer("i2", Served(second), "served, passed on; its turn has not come")
    second.end(complete=False)
    s.record("the second value is cut short")
    s.answer("i1", Served(first), "served, passed on")
    first.feed(b"begun")
    s.record("part of the first value")
    first.end(complete=False)
    s.record("the first value is cut short")
    s.protocol.close()
    check("resp_front_cut.txt", s.finish())


BAD_COMMANDS = {
    "unknown command": resp.encode_command([b"GET", b"x"]),
    "too few words": resp.encode_command([b"BLK.READ", b"piece", b"id"]),
    "a write without its body": resp.encode_command([b"BLK.WRITE", b"piece", b"id", FIELDS]),
    "empty piece": resp.encode_command([b"BLK.READ", b"", b"id", FIELDS]),
    "id with a space": resp.encode_command([b"BLK.READ", b"piece", b"a b", FIELDS]),
    "fields not ASCII": blk_read(1, b"\xff"),
    "fields too long": blk_read(1, b"x" * 600),
    "field twice": blk_read(1, FIELDS + b",c=read"),
    "no class": blk_read(1, FIELDS.replace(b"c=read,", b"")),
    "no plan": blk_read(1, FIELDS.replace(b"t=gold,", b"")),
    "no volume": blk_read(1, FIELDS.replace(b"volume=v", b"volume=")),
    "units unreadable": blk_read(1, FIELDS.replace(b"units=2", b"units=nan")),
    "units zero": blk_read(1, FIELDS.replace(b"units=2", b"units=0")),
    "shard unreadable": blk_read(1, FIELDS.replace(b"shard=0", b"shard=x")),
    "shard out of range": blk_read(1, FIELDS.replace(b"shard=0", b"shard=-2")),
    "wait unreadable": blk_read(1, FIELDS.replace(b"d=1000", b"d=1_000")),
    "wait out of range": blk_read(1, FIELDS.replace(b"d=1000", b"d=-5")),
    "hosts out of range": blk_read(1, FIELDS.replace(b"hosts=1", b"hosts=0")),
    "inline command": b"GET x\r\n",
    "bad count": b"*x\r\n",
    "too many elements": b"*99\r\n",
    "a number in a command": b"*1\r\n:1\r\n",
    "value too long": b"*1\r\n$70000\r\n",
    "bulk without its end": b"*1\r\n$1\r\nabc",
    "negative length": b"*1\r\n$-1\r\n",
    "line too long": b"*" + b"1" * 600,
}


def test_resp_front_bad_commands() -> None:
    lines: list[str] = []
    for what, data in BAD_COMMANDS.items():
        session = RespSession()
        session.send(data)
        lines += [f"# {what}", *session.finish()]
    session = RespSession()
    session.send(blk_read(1) + resp.encode_command([b"GET", b"x"]) * 9)
    lines += ["# too many errors, with a request open", *session.finish()]
    session = RespSession()
    session.send(blk_read(1) + resp.encode_command([b"PING"]) * 64)
    lines += ["# too many commands at once", *session.finish()]
    check("resp_front_bad.txt", lines)


COMMANDS = {
    "read": [b"BLK.READ", b"piece", b"id", FIELDS],
    "read in lower case, of no shard": [b"blk.read", b"p", b"i", FIELDS.replace(b"shard=0", b"shard=-1")],
    "write": [b"BLK.WRITE", b"piece", b"id", FIELDS, b"\x00body\r\n"],
    "retry, extra fields": [b"BLK.READ", b"piece", b"id", b"r=1,x=y," + FIELDS],
    "fraction of units, long wait": [
        b"BLK.READ",
        b"piece",
        b"id",
        b"d=99999999,c=save,t=tin,volume=vol-7,units=2.5,shard=12,hosts=3",
    ],
    "no time": [b"BLK.READ", b"piece", b"id", FIELDS.replace(b"d=1000", b"d=0")],
}


def test_resp_requests_and_what_a_backend_is_sent() -> None:
    lines: list[str] = []
    for what, words in COMMANDS.items():
        request = parse_request(words, Limits())
        lines += [
            f"# {what}",
            f"class {request.request_class}, plan {request.plan}, volume {request.volume}, "
            f"key {request.key}, units {request.units!r}, cell {golden_cell(request)}, "
            f"wait {request.timeout_us} us, "
            f"hosts {request.serving_instances}, retry {request.is_retry}, write {request.is_write}, "
            f"size {request.held_bytes}, copies {request.allow_hedging}",
        ]
        lines += [
            f"left {left} us: {format_bytes(request.operation.encode(left))}"
            for left in (1, 999_999, 2_500_000)
        ]
    with pytest.raises(InvalidCommandError) as problem:
        parse_request([b"BLK.READ", b"piece", b"id", b""], Limits())
    lines.append(f"no fields: {problem.value}")
    check("resp_requests.txt", lines)


def golden_cell(request: RequestSpec) -> int:
    """Return the cell as the golden files have it: -1 for a new object."""
    return -1 if request.cell is None else request.cell


class FakeAttempt:
    """One attempt; records what the backend protocol reports about it."""

    backend, deadline_us = "brick", 1_500_000

    def __init__(self, lines: list[str]) -> None:
        self.operation = parse_request(COMMANDS["read"], Limits()).operation
        self.lines = lines

    def address(self) -> str | None:
        return None

    def request_written(self) -> None:
        self.lines.append("written")

    def response_started(self) -> None:
        self.lines.append("answering")

    def finish(
        self,
        outcome: api.Outcome,
        value: Any = None,
        usage_percent: int | None = None,
        load_report: dict[str, float] | None = None,
    ) -> None:
        used = 0 if usage_percent is None else 1 + usage_percent
        told = f"body of {value.length}" if isinstance(value, Body) else repr(value)
        if isinstance(value, Body):
            value.on_end.append(lambda whole: self.lines.append(f"body ended, whole: {whole}"))
            value.attach_sink(BodySink(self.lines))
        self.lines.append(f"ended {OUTCOME_LABELS[outcome]}, value {told}, used {used}, report {load_report}")


class BodySink(Sink):
    def __init__(self, lines: list[str]) -> None:
        super().__init__()
        self.lines = lines

    def __call__(self, data: bytes) -> None:
        self.lines.append(f"body {format_bytes(bytes(data))}")


OUTCOME_LABELS = {
    api.Outcome.SERVED: "served",
    api.Outcome.ERROR: "error",
    api.Outcome.FULL: "full",
    api.Outcome.TIMEOUT: "timeout",
    api.Outcome.UNREACHABLE: "unreachable",
    api.Outcome.RESET: "reset",
    api.Outcome.CANCELLED: "cancelled",
    api.Outcome.NEVER_DISPATCHED: "moot",
}

BACKEND_REPLIES = [
    b"*3\r\n$5\r\nvalue\r\n$14\r\nused=37,cost=4\r\n$26\r\ninflight=7,latency_ms=31.5\r\n",
    b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$1\r\nv\r\n$7\r\nused=-1\r\n$9\r\nunknown=1\r\n",
    b"*3\r\n$1\r\nv\r\n$6\r\nused=0\r\n$42\r\nqueue=1,util=0.25,qps=10,eps=0,inflight=12\r\n",
    b"*3\r\n$70000\r\n" + b"z" * 70000 + b"\r\n$6\r\nused=5\r\n$10\r\ninflight=1\r\n",
    b"-BUSY\r\n",
    b"-BUSY queue=9,util=1\r\n",
    b"-ERR broken\r\n",
    b"-ERR disk used=12 inflight=3\r\n",
    b"-SYNTAX bad command\r\n",
    b"-WHAT is this\r\n",
    b"+OK\r\n",
    b":5\r\n",
    b"$5\r\nvalue\r\n",
    b"$-1\r\n",
    b"*2\r\n$1\r\na\r\n$1\r\nb\r\n",
    b"?\r\n",
    b"-BUSY\r\n-BUSY\r\n",
    b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n+",
    b"*3\r\n$70000\r\n" + b"z" * 100,
    b"*3\r\n$9999999\r\n",
]


class FrozenClock:
    """A clock that does not advance."""

    now = 500_000

    def call_at(self, _due: int, _call: Callable[[], None]) -> Any:
        raise AssertionError("no timer is expected")


def test_resp_answers_of_a_backend() -> None:
    lines: list[str] = []
    for data in BACKEND_REPLIES:
        lines.append(f"# {format_bytes(data)}")
        protocol = RespBackendProtocol(
            FrozenClock(),
            buffers(),
            Limits(),
            lambda sent: lines.append(f"sent {format_bytes(sent)}"),
            lambda: lines.append("done"),
        )
        protocol.begin(FakeAttempt(lines))
        try:
            protocol.feed(data)
        except BackendProtocolError as fault:
            lines.append(f"fault: {fault}")
        lines.append(f"midway {protocol.has_partial_message}")
        protocol.close()
    check("resp_answers.txt", lines)


def format_resp_value(value: Any) -> str:
    """Return a parsed RESP value as the golden files have it."""
    match value:
        case resp.SimpleString(text):
            return f"simple {text!r}"
        case resp.ErrorReply(text):
            return f"error {text!r}"
        case resp.BulkStart(length):
            return f"begun {length}"
        case resp.BulkChunk(data):
            return f"piece {format_bytes(data)}"
        case list():
            return f"array[{', '.join(map(format_resp_value, value))}]"
        case None:
            return "null"
        case int():
            return f"integer {value}"
    return f"bulk {format_bytes(value)}"


def test_resp_values() -> None:
    lines: list[str] = []
    for data in (
        b"+OK\r\n-ERR x\r\n:-7\r\n:12\r\n$-1\r\n*-1\r\n*0\r\n$0\r\n\r\n*2\r\n*1\r\n:1\r\n$2\r\nab\r\n",
        b"*3\r\n$65537\r\n" + b"p" * 65537 + b"\r\n:1\r\n$-1\r\n",
        b"$65537\r\n",
        b":x\r\n",
        b"$-2\r\n",
        b"*1\r\n" * 5,
        b"+" + b"x" * 600,
    ):
        decoder = resp.Decoder(buffers(), Limits())
        lines.append(f"> {format_bytes(data)}")
        try:
            lines += [format_resp_value(value) for value in decoder.feed(data)]
        except ProtocolError as problem:
            lines.append(f"problem: {problem}")
        lines.append(f"midway {decoder.has_partial_message}")
    lines.append(f"command {resp.encode_command([b'SET', b'', bytes(range(256))])!r}")
    lines.append(f"bulk {resp.encode_bulk(b'v' * 3)!r}")
    lines.append(f"error {resp.encode_error('ERR  two' + chr(10) + 'lines ' + chr(0xE9))!r}")
    check("resp_values.txt", lines)


# 2. 9P.

QID = p9.Qid(0x80, 0x01020304, 0x1112131415161718)
FILE = p9.Qid(0, 7, 9)
SHARED_SAMPLES: list[p9.Message] = [
    p9.Tversion(65560, "9P2000"),
    p9.Rversion(8192, "unknown"),
    p9.Rauth(QID),
    p9.Rattach(QID),
    p9.Tflush(0xFFFE),
    p9.Rflush(),
    p9.Twalk(1, 2, ("a", "b\u00e4r", "..")),
    p9.Rwalk((QID, FILE)),
    p9.Tread(3, 0x0102030405060708, 4096),
    p9.Rread(b"\x00data\xff"),
    p9.Twrite(4, 1 << 40, b"written"),
    p9.Rwrite(7),
    p9.Tclunk(5),
    p9.Rclunk(),
    p9.Tremove(6),
    p9.Rremove(),
]
PLAIN_SAMPLES: list[p9.Message] = [
    *SHARED_SAMPLES,
    p9.Tauth(1, "ann", "tree"),
    p9.Tattach(0, p9.NOFID, "ann", "tree"),
    p9.Rerror("file not found"),
    p9.Topen(1, 0x51),
    p9.Ropen(FILE, 8168),
    p9.Tcreate(1, "new", 0x800001ED, 2),
    p9.Rcreate(FILE, 0),
    p9.Tstat(8),
    p9.Rstat(b"stat bytes"),
    p9.Twstat(9, b"\x00" * 5),
    p9.Rwstat(),
]
LINUX_SAMPLES: list[p9.Message] = [
    *SHARED_SAMPLES,
    p9l.Rlerror(2),
    p9l.Tstatfs(1),
    p9l.Rstatfs(0x01021997, 4096, 1, 2, 3, 4, 5, 6, 255),
    p9l.Tlopen(1, 0o102002),
    p9l.Rlopen(FILE, 8168),
    p9l.Tlcreate(1, "new", 0o101, 0o644, 1000),
    p9l.Rlcreate(FILE, 0),
    p9l.Tsymlink(1, "link", "../target", 1000),
    p9l.Rsymlink(QID),
    p9l.Tmknod(1, "pipe", 0o10644, 8, 1, 1000),
    p9l.Rmknod(FILE),
    p9l.Trename(1, 2, "renamed"),
    p9l.Rrename(),
    p9l.Treadlink(3),
    p9l.Rreadlink("target"),
    p9l.Tgetattr(1, 0x3FFF),
    p9l.Rgetattr(0x7FF, FILE, 0o100644, 1000, 100, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16),
    p9l.Tsetattr(1, 0x1FF, 0o600, 1, 2, 3, 4, 5, 6, 7),
    p9l.Rsetattr(),
    p9l.Txattrwalk(1, 2, "user.x"),
    p9l.Rxattrwalk(77),
    p9l.Txattrcreate(1, "user.x", 77, 1),
    p9l.Rxattrcreate(),
    p9l.Treaddir(1, 2, 4096),
    p9l.Rreaddir(b"entries"),
    p9l.Tfsync(1, 1),
    p9l.Rfsync(),
    p9l.Tlock(1, 1, 1, 10, 20, 4242, "client"),
    p9l.Rlock(2),
    p9l.Tgetlock(1, 0, 10, 0, 4242, "client"),
    p9l.Rgetlock(2, 10, 20, 4242, "client"),
    p9l.Tlink(1, 2, "second"),
    p9l.Rlink(),
    p9l.Tmkdir(1, "folder", 0o755, 1000),
    p9l.Rmkdir(QID),
    p9l.Trenameat(1, "old", 2, "new"),
    p9l.Rrenameat(),
    p9l.Tunlinkat(1, "gone", 0x200),
    p9l.Runlinkat(),
    p9l.Tlauth(1, "ann", "tree", 1000),
    p9l.Tlattach(0, p9.NOFID, "ann", "tree", 1000),
]
DIALECTS = {
    "9p2000": (p9.VERSION, p9.PLAIN_MESSAGES, PLAIN_SAMPLES),
    "9p2000_l": (p9l.VERSION, p9l.LINUX_MESSAGES, LINUX_SAMPLES),
}


@pytest.mark.parametrize("dialect", DIALECTS)
def test_ninep_messages(dialect: str) -> None:
    version, table, messages = DIALECTS[dialect]
    lines = [f"version {version}"]
    numbers = set()
    for tag, message in enumerate(messages, 0x0100):
        raw = p9.encode(tag, message)
        numbers.add(raw[4])
        framer = p9.Framer(buffers(), 65560, table)
        assert list(framer.feed(raw)) == [(tag, message)], "the decoded message differs"
        assert p9.decode(raw[4], raw[7:], table) == message
        lines.append(f"type {raw[4]:3} {raw.hex()}")
    assert numbers == set(table), "a message of the dialect has no golden bytes"
    check(f"{dialect}_messages.txt", lines)


MALFORMED = {
    "cut short": (110, b"\x01\x00"),
    "bytes left over": (120, b"\x01\x00\x00\x00\x00"),
    "NUL in text": (100, b"\x00\x20\x00\x00\x02\x00a\x00"),
    "not UTF-8": (100, b"\x00\x20\x00\x00\x01\x00\xff"),
    "too many names": (110, bytes(8) + b"\x11\x00" + b"\x01\x00a" * 17),
    "text cut short": (100, b"\x00\x20\x00\x00\x09\x00a"),
    "unknown type": (99, b""),
    "only of the other dialect": (112, b"\x01\x00\x00\x00\x00"),
}


@pytest.mark.parametrize("dialect", DIALECTS)
def test_ninep_malformed(dialect: str) -> None:
    _, table, _ = DIALECTS[dialect]
    lines = []
    for what, (number, body) in MALFORMED.items():
        got = p9.decode(number, body, table)
        told = f"malformed: {got.reason}" if isinstance(got, p9.MalformedMessage) else "read"
        lines.append(f"{what}: {number} {body.hex() or '-'}: {told}")
    for size in (6, 65561):
        with pytest.raises(p9.FrameError) as problem:
            list(p9.Framer(buffers(), 65560, table).feed(size.to_bytes(4, "little")))
        lines.append(f"size {size}: {problem.value}")
    check(f"{dialect}_malformed.txt", lines)


def ninep_transcript(peer: LoopbackClient, script: Iterable[tuple[int, p9.Message | bytes]]) -> list[str]:
    """Send each message with its tag, or raw bytes; return both directions in hexadecimal."""
    lines = []
    for tag, message in script:
        data = message if isinstance(message, bytes) else p9.encode(tag, message)
        answer = peer.send_bytes(data)
        if not answer:
            # After a malformed message the connection is not read for a while.
            before = len(peer.received)
            peer.instance.run(250 * MS, 50 * MS)
            answer = peer.received[before:]
        lines += [f"> {data.hex()}", f"< {answer.hex() or '-'}"]
    lines.append(f"closed {peer.closed}")
    return lines


def frame(number: int, tag: int, body: bytes) -> bytes:
    return (7 + len(body)).to_bytes(4, "little") + bytes([number]) + tag.to_bytes(2, "little") + body


NO_TAG = p9.NOTAG
KEEP_STAT = (
    b"\x2f\x00" + b"\xff" * 39 + b"\x00\x00" * 4
)  # no field changes: 2 + 4 + 13 + 4 + 4 + 4 + 8 bytes of ones, four empty strings
SHARED_START: list[tuple[int, p9.Message | bytes]] = [
    (1, p9.Tclunk(0)),
    (NO_TAG, p9.Tversion(100, "9P2000")),
    (NO_TAG, p9.Tversion(8192, "8P")),
]
SHARED_FILES: list[tuple[int, p9.Message | bytes]] = [
    (2, p9.Twalk(0, 1, ("sv", "law"))),
    (2, p9.Twalk(0, 2, ("sv", "missing"))),
    (2, p9.Twalk(0, 2, ("missing",))),
    (2, p9.Twalk(0, 2, ())),
    (2, p9.Twalk(0, 2, ("sv",))),
    (2, p9.Twalk(0, 3, ("a/b",))),
    (2, p9.Twalk(99, 3, ("sv",))),
    (3, p9.Tread(1, 0, 10)),
]
SHARED_END: list[tuple[int, p9.Message | bytes]] = [
    (9, p9.Tflush(44)),
    (9, p9.Tclunk(1)),
    (9, p9.Tclunk(1)),
    (9, frame(99, 9, b"")),
    (9, frame(120, 9, b"\x01")),
    (9, p9.Tremove(0)),
]
PLAIN_SCRIPT = [
    *SHARED_START,
    (NO_TAG, p9.Tversion(8192, "9P2000.x")),
    (1, p9.Tauth(5, "ann", "glossaries")),
    (1, p9.Tattach(0, p9.NOFID, "ann", "other")),
    (1, p9.Tattach(0, p9.NOFID, "ann", "glossaries")),
    (1, p9.Tattach(0, p9.NOFID, "ann", "")),
    *SHARED_FILES,
    (3, p9.Topen(1, p9.OREAD)),
    (3, p9.Tread(1, 0, 10)),
    (3, p9.Tread(1, 10, 4096)),
    (3, p9.Tread(1, 4096, 4096)),
    (3, p9.Twrite(1, 0, b"no")),
    (3, p9.Tstat(1)),
    (4, p9.Topen(2, p9.OREAD)),
    (4, p9.Tread(2, 0, 4096)),
    (5, p9.Twalk(0, 5, ())),
    (5, p9.Tcreate(5, "new", 0o644, p9.ORDWR)),
    (5, p9.Twrite(5, 0, b"written here")),
    (5, p9.Tread(5, 0, 100)),
    (5, p9.Tstat(5)),
    (5, p9.Twstat(5, KEEP_STAT)),
    (5, p9.Twstat(5, b"short")),
    (5, p9.Tremove(5)),
    *SHARED_END,
    (9, b"\x01\x00\x00\x00"),
]
LINUX_SCRIPT = [
    *SHARED_START,
    (NO_TAG, p9.Tversion(8192, "9P2000.L")),
    (1, p9l.Tlauth(5, "ann", "glossaries", 1000)),
    (1, p9l.Tlattach(0, p9.NOFID, "ann", "other", 1000)),
    (1, p9l.Tlattach(0, p9.NOFID, "ann", "glossaries", 1000)),
    *SHARED_FILES,
    (3, p9l.Tlopen(1, 0)),
    (3, p9.Tread(1, 0, 10)),
    (3, p9.Tread(1, 4096, 4096)),
    (3, p9.Twrite(1, 0, b"no")),
    (3, p9l.Tgetattr(1, 0x7FF)),
    (3, p9l.Tstatfs(1)),
    (4, p9l.Tlopen(2, 0o200000)),
    (4, p9l.Treaddir(2, 0, 4096)),
    (5, p9.Twalk(0, 5, ())),
    (5, p9l.Tlcreate(5, "new", 2, 0o644, 1000)),
    (5, p9.Twrite(5, 0, b"written here")),
    (5, p9.Tread(5, 0, 100)),
    (5, p9l.Tfsync(5, 0)),
    (5, p9l.Tsetattr(5, 9, 0o600, 0, 0, 4, 0, 0, 0, 0)),
    (5, p9l.Tgetattr(5, 0x7FF)),
    (5, p9l.Tlock(5, 1, 0, 0, 10, 42, "client")),
    (5, p9l.Tgetlock(5, 1, 0, 0, 43, "other")),
    (5, p9l.Tlock(5, 2, 0, 0, 10, 42, "client")),
    (6, p9l.Tmkdir(0, "folder", 0o755, 1000)),
    (6, p9l.Tsymlink(0, "link", "new", 1000)),
    (6, p9.Twalk(0, 6, ("link",))),
    (6, p9l.Treadlink(6)),
    (6, p9l.Tlink(0, 5, "second")),
    (6, p9l.Tmknod(0, "pipe", 0o10644, 0, 0, 1000)),
    (6, p9l.Trenameat(0, "new", 0, "moved")),
    (6, p9l.Trename(6, 0, "link2")),
    (6, p9l.Tunlinkat(0, "folder", 0x200)),
    (6, p9l.Tunlinkat(0, "missing", 0)),
    (6, p9l.Txattrwalk(0, 8, "user.x")),
    (6, p9l.Txattrcreate(6, "user.x", 3, 0)),
    (6, p9.Tremove(6)),
    *SHARED_END,
    (9, b"\x01\x00\x00\x00"),
]
NINEP_SCRIPTS = {"9p2000": PLAIN_SCRIPT, "9p2000_l": LINUX_SCRIPT}


@pytest.mark.parametrize("dialect", DIALECTS)
def test_ninep_front_session(dialect: str) -> None:
    """Run a session through the front, the core and an emulated file server; the clock does not advance."""
    version, _, _ = DIALECTS[dialect]
    tree = {"sv": {"law": b"plaintiff\tkarande\n" * 3, "empty": b""}, "readme": b"hello"}
    world = NinepInstance(access="rw", server_dialect=version, tree=tree)
    peer = world.connect(world.listener.address)
    check(f"{dialect}_session.txt", ninep_transcript(peer, NINEP_SCRIPTS[dialect]))


@pytest.mark.parametrize("dialect", DIALECTS)
def test_ninep_front_refusals(dialect: str) -> None:
    """Replies to a client when the core rejects or fails a request."""
    version, _, _ = DIALECTS[dialect]
    world, core, sink = SimulatedInstance(), FakeRequestEngine(), Sink()
    export = Export("tree", "v", "gold", "read", 0, 1500 * MS, access="rw", change_request_class="write")
    front = NinepSharedState(core, None, {"tree": export}, buffers(), Limits(), world.scheduler)  # type: ignore[arg-type]
    client = NinepClient(front, sink)
    linux = version == p9l.VERSION
    lines: list[str] = []

    def send_message(message: p9.Message, answer: Served | Rejected | Failed | None = None) -> None:
        raw = p9.encode(1, message)
        client.feed(raw)
        lines.append(f"> {raw.hex()}")
        if answer is not None:
            request, callback = core.open_requests.pop(core.last_ticket)
            lines.append(
                f"asked class {request.request_class}, plan {request.plan}, volume {request.volume}, "
                f"key {request.key}, units {request.units!r}, cell {golden_cell(request)}, "
                f"wait {request.timeout_us}, hosts {request.serving_instances}, "
                f"write {request.is_write}, size {request.held_bytes}"
            )
            callback(answer)
        lines.extend(f"< {data.hex()}" for data in sink.written)
        sink.written.clear()

    send_message(p9.Tversion(8192, version))
    attach = p9l.Tlattach(0, p9.NOFID, "ann", "tree", 1) if linux else p9.Tattach(0, p9.NOFID, "ann", "tree")
    send_message(attach, Rejected(30 * MS + 1))
    send_message(attach, Rejected(0))
    send_message(attach, Failed("no server"))
    send_message(attach, Served(errors.ErrorReply(errors.ENOENT)))
    send_message(attach, Served(errors.ErrorReply(errors.EIO, "disk on fire")))
    send_message(attach, Served(QID))
    send_message(p9.Twalk(0, 1, ("a", "b")), Served((QID, FILE)))
    send_message(p9.Twalk(0, 2, ("a", "b")), Served((QID,)))
    send_message(p9.Tremove(1), Rejected(2 * MS))
    client.close()
    check(f"{dialect}_refusals.txt", lines)


# 3. HTTP.


class RecordingConnection(EmulatedConnection):
    """Records the received bytes and sends the server's reply once a call is complete."""

    server: RecordingServer

    def feed(self, data: bytes | memoryview) -> None:
        self.server.text += bytes(data)
        head, sep, body = self.server.text.partition(b"\r\n\r\n")
        length = re.search(rb"Content-Length: (\d+)", head)
        if sep and len(body) >= int(length[1] if length else 0):
            self.server.calls.append(self.server.text)
            self.server.text = b""
            self.write(self.server.reply)


class RecordingServer(EmulatedServer):
    connection_class = RecordingConnection
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.text, self.calls = b"", list[bytes]()

    def recorded(self) -> list[str]:
        """Return the calls with the address, whose port is ephemeral, replaced by ADDRESS."""
        return [format_bytes(call.replace(self.address.encode(), b"ADDRESS")) for call in self.calls]


INSTANCES = [
    {"instanceId": "b0", "hostPort": "10.0.0.1:1", "zone": "z", "cell": 3, "lifecycle": "SERVING"},
    {"instanceId": "b1", "hostPort": "10.0.0.2:1", "lifecycle": "DRAINING", "weight": 2, "startedAtMs": 1.5},
    {"instanceId": "b2", "lifecycle": "DELETED"},
]
STATE_LABELS = {
    api.EndpointState.UP: "up",
    api.EndpointState.DRAINING: "draining",
    api.EndpointState.GONE: "gone",
}


def format_endpoint(entry: api.Endpoint) -> str:
    return (
        f"{entry.backend} cell {entry.cell} zone {entry.zone or '-'} state {STATE_LABELS[entry.state]} "
        f"started {entry.started_us} size {entry.size!r}"
    )


def test_http_discovery_call_and_list() -> None:
    world = SimulatedInstance()
    server = world.server(RecordingServer)
    body = json.dumps({"generation": 9, "reset": True, "instances": INSTANCES}).encode() + b"\n"
    server.reply = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"%x\r\n" % len(body) + body + b"\r\n"
    )
    lines: list[str] = []
    callbacks = WatchCallbacks(
        lambda listing: lines.extend(
            [f"whole {listing.complete}, at start {listing.at_start}"]
            + [f"{format_endpoint(e)} at {listing.addresses[e.backend] or '-'}" for e in listing.entries]
        ),
        lambda failure: lines.append(
            f"failed, queued {failure.kind is api.FailureKind.OVERLOADED}, "
            f"unheard {failure.missed_updates_for_us}"
        ),
        lambda data: lines.append(f"kept {json.dumps(data)}"),
    )
    runtime = WatchRuntime(world.scheduler, world.pool, world.limits, lambda us: us + 100)
    watch = Watch(runtime, callbacks, server.address, 4)
    watch.subscribe()
    world.settle()
    watch.subscribe()
    world.settle()
    server.reply = b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"
    watch.subscribe()
    world.settle()
    check("http_discovery.txt", [*server.recorded(), *lines])


BAD_LISTS: list[object] = [
    [],
    {},
    {"instances": 7},
    {"instances": [7]},
    {"instances": [{"instanceId": "b"}]},
    {"instances": [{"instanceId": "b", "lifecycle": "ASLEEP"}]},
    {"instances": [{"lifecycle": "SERVING"}]},
    {"instances": [{"instanceId": "b", "lifecycle": "SERVING", "cell": "one"}]},
    {"instances": [{"instanceId": "b", "lifecycle": "SERVING", "weight": True}]},
    {"instances": [], "generation": "new"},
]


def test_discovery_lists_that_cannot_be_read() -> None:
    lines = []
    for data in BAD_LISTS:
        with pytest.raises(ListError) as problem:
            read_list(data, lambda us: us)
        lines.append(f"{json.dumps(data)}: {problem.value}")
    check("http_bad_lists.txt", lines)


class FakeAdminService:
    """Stands in for the service that handles the operators' calls."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.is_ready, self.knows_fleet = True, True

    def ready(self) -> bool:
        return self.is_ready

    def metrics(self) -> str:
        figures = RequestMetrics(["read", "write"])
        figures.record("read", Served(b""))
        figures.record("read", Rejected(0))
        figures.record("write", Failed("x"))
        figures.dispatches = 4
        return encode_figures(figures, 5, 6, 7)

    def disable(self, brick: str) -> bool:
        self.lines.append(f"disable {brick}")
        return brick == "b 0"[::2]

    def enable(self, brick: str) -> bool:
        self.lines.append(f"enable {brick}")
        return brick == "b0"

    def drain(self) -> None:
        self.lines.append("drain")

    def resume(self) -> None:
        self.lines.append("resume")

    def fleet_view(self, view: FleetView) -> str | None:
        return f'["{view.value}"]\n' if self.knows_fleet else None

    def forget_instance(self, head: int) -> bool | None:
        return (head == 1) if self.knows_fleet else None

    def fence(self, head: int) -> bool | None:
        return self._set_fenced(head, True)

    def unfence(self, head: int) -> bool | None:
        return self._set_fenced(head, False)

    def _set_fenced(self, head: int, out: bool) -> bool | None:
        self.lines.append(f"shut {head} {out}")
        if head == 8:
            raise RuntimeError("a defect")
        if head == 9:
            raise HttpError("too many would be out", 400)
        return (head == 1) if self.knows_fleet else None


OPS_CALLS = [
    "GET /-/ready",
    "GET /-/ready?x=1",
    "POST /-/ready",
    "GET /-/metrics",
    "POST /-/drain",
    "POST /-/resume",
    "GET /-/drain",
    "POST /-/bricks/b0/disable",
    "POST /-/bricks/b0/enable",
    "POST /-/bricks/b%31/disable",
    "POST /-/bricks/a%20b/enable",
    "GET /-/bricks/b0/enable",
    "GET /-/fleet/limits",
    "GET /-/fleet/members",
    "GET /-/fleet/verdicts",
    "GET /-/fleet/bans",
    "POST /-/fleet/bans",
    "POST /-/fleet/heads/1/forget",
    "POST /-/fleet/heads/2/forget",
    "POST /-/fleet/heads/1/shut-out",
    "POST /-/fleet/heads/1/let-in",
    "POST /-/fleet/heads/9/shut-out",
    "POST /-/fleet/heads/8/shut-out",
    "GET /nothing",
]
OPS_RAW = [
    b"\r\nPOST /-/drain HTTP/1.0\r\nContent-Length: 3\r\n\r\nabc",
    b"hello\r\n\r\n",
    b"GET http://x/ HTTP/1.1\r\n\r\n",
    b"GET / HTTP/2\r\n\r\n",
    b"GET / HTTP/1.1\r\nno colon\r\n\r\n",
    b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
    b"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
    b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 65 + b"\r\n",
    b"GET /" + b"a" * 9000,
]


def test_http_ops_answers() -> None:
    calls = [f"{call} HTTP/1.1\r\nHost: head\r\n\r\n".encode() for call in OPS_CALLS] + OPS_RAW
    lines: list[str] = []
    for is_ready, knows_fleet in ((True, True), (False, False)):
        for call in calls:
            service, sink = FakeAdminService(), Sink()
            service.is_ready, service.knows_fleet = is_ready, knows_fleet
            AdminConnection(service, buffers(), Limits(), sink).feed(call)
            lines += [
                f"> {format_bytes(call)}",
                *service.lines,
                *(f"< {format_bytes(data)}" for data in sink.written),
            ]
    check("http_ops.txt", lines)


def test_http_ops_calls_as_an_operator_makes_them() -> None:
    whats = ("ready", "metrics", "drain", "resume", "fleet/limits", "fleet/bans")
    lines = [" ".join(method_and_path(what)) for what in whats]
    lines += [" ".join(method_and_path("disable", "a/b c")), " ".join(method_and_path("fleet/shut-out", "3"))]
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"

        def serve() -> None:
            for _ in range(2):
                conn, _ = listener.accept()
                with conn:
                    heard = b""
                    while b"\r\n\r\n" not in heard:
                        heard += conn.recv(4096)
                    lines.append(format_bytes(heard.replace(address.encode(), b"ADDRESS")))
                    conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nyes\n")

        server = threading.Thread(target=serve, daemon=True)
        server.start()
        for what, brick in (("ready", None), ("disable", "b0")):
            reply = send_call(address, what, brick, 5.0)
            lines.append(f"status {reply.status}, text {reply.text!r}, yes {reply.ok}")
        server.join(5)
    check("http_ops_calls.txt", lines)


def test_http_otlp_calls() -> None:
    """Spans and metrics as sent to the collector; ids come from a seed, times from fixed clocks."""
    world = SimulatedInstance()
    server = world.server(RecordingServer)
    exporter = Exporter(
        world.scheduler,
        TelemetrySetup(server.address, "/otlp", interval_us=SECOND),
        ServiceInstance("n1", 7),
        world.pool,
        world.limits,
        lambda: 1_800_000_000 * 10**9,
    )
    exporter.gauges = {"clients": lambda: 4}
    began = 60 * SECOND
    for cls, answer in (("read", Served(b"v")), ("read", Rejected(5)), ("write", Failed("x"))):
        request = RequestSpec(cls, "gold", "vol-1", "k", 2, 3, SECOND, 1, None)
        attempts = [
            AttemptSummary("b0", "reset", began, began + MS),
            AttemptSummary("b1", "served", began + 2 * MS, 0),
        ]
        exporter.request_ended(request, answer, began, began + 30 * MS, attempts)
    world.run(SECOND, 100 * MS)
    exporter.finish()
    world.settle()
    check("http_otlp.txt", server.recorded())


REQUEST_BYTES = [
    b"GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n",
    b"\r\nPUT /%20 HTTP/1.0\r\nCONTENT-LENGTH: 4\r\n\r\nbody",
    b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbo",
    b"GET / HT",
    b"",
]
RESPONSE_BYTES = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Thing:  a b \r\n\r\nhello",
    b"HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 429 Slow\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
    b"5;x=y\r\nhello\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\n",
    b"HTTP/1.0 200 OK\r\n\r\nuntil the end",
    b"HTTP/1.1 204 None\r\n\r\n",
    b"HTTP/1.1 304\r\nContent-Length: 9\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
    b"SSH-2.0\r\n",
    b"HTTP/1.1 OK 200\r\n",
    b"HTTP/1.1 200 OK\r\nno colon\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 65,
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
    b"x" * 9000,
]


def test_http_parsed_forms() -> None:
    lines: list[str] = []
    for data in REQUEST_BYTES:
        request = RequestParser(buffers(), Limits())
        done = request.feed(data)
        lines += [
            f"> {format_bytes(data)}",
            f"done {done}, midway {request.has_partial_message}, method {request.method!r}, "
            f"target {request.target!r}",
        ]
    for data in RESPONSE_BYTES:
        response = ResponseParser(buffers(), Limits())
        lines.append(f"> {format_bytes(data)}")
        try:
            pieces = list(response.feed(data))
            lines.append(f"body {pieces}, done {response.done}")
            response.feed_eof()
        except HttpError as problem:
            lines.append(f"problem: {problem}, status for a caller {problem.status}")
        lines.append(f"status {response.status}, headers {list(response.headers.items())}")
    check("http_parsed.txt", lines)


# 4. The simulator protocol.

FULL_SETTINGS = (
    "Balancers=2 Me=0 TickUs=2000 MembershipMode=pushed Limits.MaxAttempts=3 Limits.ParallelTries=true "
    "Limits.Cancel=1 Limits.Probes=true Limits.RetryAfter=true Limits.MaxRetryAfterUs=1000000 "
    "Rules.ColdFrom=0.2 Rules.ColdUs=16000000 FamilyInfo.ColdBears=9 Rules.FallMultiple=2 "
    "Rules.FallUs=2000000 Rules.TurnGapUs=1000 Rules.FurtherRatio=0.5 Rules.FreeResends=3 "
    "Rules.RatioSpanUs=10000000 FamilyInfo.ShareWorth=0.4 FamilyInfo.IdleWorth=0.05 FamilyInfo.Largest=6 "
    "FamilyInfo.Shards=4 Limits.MayTell=false Unknown.Thing=7 "
    "Classes.count=3 Classes.0.Name=read Classes.0.Credit=2.0 Classes.0.LateValue=0.1 "
    "Classes.0.PromiseUs=300000 Classes.0.GiveUpUs=1500000 Classes.0.Effect=free Classes.0.Group=all "
    "Classes.0.RepeatWindowUs=0 Classes.0.KeepOrder=false "
    "Classes.1.Name=write Classes.1.Credit=2 Classes.1.LateValue=- Classes.1.PromiseUs=500000 "
    "Classes.1.GiveUpUs=2500000 Classes.1.Effect=guarded Classes.1.Group=cell "
    "Classes.1.RepeatWindowUs=2000000 Classes.1.KeepOrder=true "
    "Classes.2.Name=once Classes.2.Credit=1 Classes.2.PromiseUs=500000 Classes.2.GiveUpUs=2500000 "
    "Classes.2.Effect=single_shot Classes.2.Group=zone "
    "Contracts.count=2 Contracts.0.Name=gold Contracts.0.Weight=4.0 Contracts.0.UsualRate=10 "
    "Contracts.0.Guaranteed=8 Contracts.0.NeverOver=40 Contracts.0.LimitBurst=20 Contracts.0.WorthFactor=1.5 "
    "Contracts.1.Name=tin Contracts.1.Weight=1 Contracts.1.UsualRate=2"
)
PEER_SETTINGS = (
    FULL_SETTINGS.replace("MayTell=false", "MayTell=true")
    .replace("Cancel=1", "Cancel=0")
    .replace("Me=0", "Me=1")
)
POLLING_SETTINGS = FULL_SETTINGS.replace("MembershipMode=pushed", "MembershipMode=on_request")
FOUR_BACKENDS = "\n".join(
    f"BRICK std {cell} 10.0.0.{n}:9 1.5 - dc{n} in_service" for n, cell in ((1, 0), (2, 0), (3, 1), (4, 1))
)
STATUSES = ("delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused")


def accept_line(name: str, now: int, lane: str = "read", cell: int = 0, more: str = "2 {cell} 1 0 0") -> str:
    return f"ACCEPT {name} {lane} gold key-{name} {now + 1_500_000} vol-{name} " + more.format(cell=cell)


def peer_message_hex(number: int) -> str:
    """Return a message of instance 0 about a volume that both instances serve, in hexadecimal."""
    requests = {name_tag("vol-all"): QuotaRequest(0.5, 2)}
    return lease_message.encode(LeaseMessage(900, number, requests=requests)).hex()


def wire_dialogue() -> str:
    """Return batches with every kind of message, each outcome of an attempt, and a defect of the module."""
    batches = [
        (
            1000,
            f"SELECT 0\nLAUNCH 42 {FULL_SETTINGS}\nDIRECTORY_UPDATE disk 1 4\n{FOUR_BACKENDS}\n"
            f"SELECT 1\nLAUNCH 43 {PEER_SETTINGS}\nDIRECTORY_UPDATE snapshot 2 4\n{FOUR_BACKENDS}\n"
            f"SELECT 2\nLAUNCH 44 {POLLING_SETTINGS}\nDIRECTORY_UPDATE disk 0 0",
        ),
        (2000, "SELECT 0\nTIMER t\nSELECT 1\nTIMER t\nSELECT 2\nTIMER t"),
        (3000, "SELECT 2\nDIRECTORY_UPDATE error\n" + accept_line("a", 3000)),
        (
            4000,
            "SELECT 0\n"
            + accept_line("order", 4000, "write")
            + "\n"
            + accept_line("once", 4000, "once", more="1.5"),
        ),
        (
            5000,
            "SELECT 0\nOPENED order 0\nREPLY order 0 10.0.0.1:9 delivered 900 1 38 0.5 inflight:3,queue:0",
        ),
    ]
    now = 10_000
    for index, status in enumerate(STATUSES):
        name = f"s{index}"
        batches.append(
            (now, f"SELECT 0\n{accept_line(name, now)}\nSELECT 1\n{accept_line(name, now, cell=1)}")
        )
        batches.append((now + 1000, f"SELECT 0\nOPENED {name} 0\nSELECT 1\nOPENED {name} 0"))
        over = 1 if status == "delivered" else 0
        batches.append(
            (
                now + 21_000,
                f"SELECT 0\nREPLY {name} 0 10.0.0.1:9 {status} 20000 {over} 0 0 -\n"
                f"SELECT 1\nREPLY {name} 0 10.0.0.3:9 {status} 20000 {over}",
            )
        )
        now += 30_000
    batches += [
        (now, f"SELECT 0\n{accept_line('gone', now)}"),
        (now + 1000, "SELECT 0\nLEFT gone"),
        (now + 2000, "SELECT 0\nPROBED 10.0.0.2:9 delivered 700 inflight:1\nPROBED 10.0.0.4:9 dial_failed"),
        (now + 3000, f"SELECT 1\nPEER 0 00ff\nPEER 0 -\nPEER 0 {peer_message_hex(1)}\nSELECT 0\nPEER 1 0102"),
        (
            now + 3100,
            "SELECT 1\n" + accept_line("shared", now, more="2 1 2 1 1").replace("vol-shared", "vol-all"),
        ),
        (
            now + 4000,
            "SELECT 0\nDIRECTORY_UPDATE diff 3 3\nBRICK std 0 10.0.0.1:9 1 0 dc1 terminating\n"
            "BRICK - 1 10.0.0.3:9 - - - terminated\nBRICK big 2 10.0.0.5:9 2 5000 dc5 in_service",
        ),
        (now + 5000, "SELECT 0\n" + "\n".join(accept_line(f"burst{i}", now + 5000) for i in range(12))),
        (now + 40_000, f"SELECT 1\nPEER 0 {peer_message_hex(2)}\nTIMER tell"),
        (now + 400_000, "SELECT 0\nTIMER look\nSELECT 1\nTIMER tell\nSELECT 2\nTIMER look"),
        (now + 1_600_000, "SELECT 0\nTIMER t\nSELECT 1\nTIMER t\nSELECT 2\nTIMER t"),
        (now + 1_700_000, "SELECT 1\n" + accept_line("defect", now, "no-such-class")),
        (now + 1_800_000, "SELECT 1\nTIMER t"),
        (now + 1_900_000, f"SELECT 0\nDESTROY\nLAUNCH 45 {FULL_SETTINGS}\nSELECT 1\nDESTROY"),
        (now + 2_000_000, "SELECT 3\nLAUNCH 46 " + FULL_SETTINGS.replace("Balancers=2", "Balancers=0")),
        (now + 2_100_000, ""),
    ]
    return "".join(f"BATCH {at}\n{text}{chr(10) if text else ''}END\n" for at, text in batches)


def run_wire_host(text: str, hash_seed: int) -> tuple[int, bytes, bytes]:
    done = subprocess.run(
        [sys.executable, "-m", "garnetlanding.wirehost"],
        input=text.encode(),
        capture_output=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
        timeout=60,
    )
    return done.returncode, done.stdout, done.stderr


@pytest.mark.parametrize("hash_seed", [0, 1])
def test_wire_dialogue(hash_seed: int) -> None:
    code, out, err = run_wire_host(wire_dialogue(), hash_seed)
    assert (code, err) == (0, b"")
    for word in (
        "DELIVER",
        "WAKE_AT",
        "DECLINE",
        "FAIL",
        "RECALL",
        "LISTEN",
        "POST",
        "JOURNAL_LINE",
        "BAIL_OUT",
    ):
        assert f"\n{word} ".encode() in out, f"the dialogue produces no {word}"
    # Line ends are compared as well, so the text is split at newlines only.
    check("wire_dialogue.txt", [*out.decode().split("\n"), *(f"> {s}" for s in wire_dialogue().split("\n"))])


def test_wire_actions() -> None:
    """One line for each kind of action, including those that the dialogue does not produce."""
    actions: list[api.Action] = [
        api.Send("r1", "10.0.0.1:9"),
        api.Send("r1", "10.0.0.1:9", 5000),
        api.WakeAfter(2000, "look"),
        api.Reject("r2"),
        api.Reject("r2", 30),
        api.Fail("r3"),
        api.Cancel("r4", 2),
        api.HealthCheck("10.0.0.2:9"),
        api.Subscribe(),
        api.SendPeerMessage(b"\x00\xff"),
        api.SendPeerMessage(b"", 3),
        api.Log("two\nlines  of text"),
    ]
    check("wire_actions.txt", wire.write_actions(actions))


LAUNCH_BATCH = (
    f"BATCH 1000\nSELECT 0\nLAUNCH 42 {FULL_SETTINGS}\nDIRECTORY_UPDATE disk 1 4\n{FOUR_BACKENDS}\nEND\n"
)


def batch(line: str) -> str:
    return f"{LAUNCH_BATCH}BATCH 2000\nSELECT 0\n{line}\nEND\n"


BAD_WIRE = {
    "no batch": "HELLO\n",
    "no clock": "BATCH\nEND\n",
    "bad clock": "BATCH soon\nEND\n",
    "nothing selected": "BATCH 1\nTIMER t\nEND\n",
    "unknown instance": LAUNCH_BATCH + "BATCH 2\nSELECT 7\nTIMER t\nEND\n",
    "bad instance": "BATCH 1\nSELECT x\nEND\n",
    "no seed": "BATCH 1\nSELECT 0\nLAUNCH\nEND\n",
    "no settings": "BATCH 1\nSELECT 0\nLAUNCH 1\nEND\n",
    "ended inside a batch": LAUNCH_BATCH + "BATCH 2\nSELECT 0\n",
    "ended inside a list": "BATCH 1\nSELECT 0\nLAUNCH 1 " + FULL_SETTINGS + "\nDIRECTORY_UPDATE diff 1 2\n",
    "unknown message": batch("JUMP"),
    "kind of list": batch("DIRECTORY_UPDATE rumour 1 0"),
    "count of a list": batch("DIRECTORY_UPDATE diff 1 -1"),
    "no entry": batch("DIRECTORY_UPDATE diff 1 1"),
    "phase": batch("DIRECTORY_UPDATE diff 1 1\nBRICK std 0 b 1 - dc asleep"),
    "cell": batch("DIRECTORY_UPDATE diff 1 1\nBRICK std x b 1 - dc in_service"),
    "rating": batch("DIRECTORY_UPDATE diff 1 1\nBRICK std 0 b nan - dc in_service"),
    "no ticket": batch("LEFT"),
    "no lane": batch("ACCEPT a -"),
    "deadline": batch("ACCEPT a read gold k soon"),
    "units": batch("ACCEPT a read gold k 9000 v inf"),
    "retry flag": batch("ACCEPT a read gold k 9000 v 1 0 1 yes"),
    "status": batch("REPLY a 0 b fine"),
    "attempt": batch("OPENED a first"),
    "report": batch("PROBED b delivered 1 inflight"),
    "peer": batch("PEER one 00"),
    "payload": batch("PEER 1 zz"),
    "timer": batch("TIMER"),
    "setting missing": LAUNCH_BATCH.replace("Me=0 ", ""),
    "setting unreadable": LAUNCH_BATCH.replace("Me=0 ", "Me=zero "),
    "setting not finite": LAUNCH_BATCH.replace("Weight=4.0", "Weight=nan"),
    "setting of a class": LAUNCH_BATCH.replace("Effect=free", "Effect=magic"),
    "class missing": LAUNCH_BATCH.replace("Classes.count=3", "Classes.count=4"),
    "plan missing": LAUNCH_BATCH.replace("Contracts.count=2", "Contracts.count=3"),
}


@pytest.mark.parametrize("hash_seed", [0, 1])
def test_wire_bad_input(hash_seed: int) -> None:
    lines = []
    for what, text in BAD_WIRE.items():
        code, out, err = run_wire_host(text, hash_seed)
        assert code == 2, (what, code, err)
        assert err.count(b"\n") == 1, (what, code, err)
        assert out.count(b"FINISHED\n") == text.count("END\n") - (text[-4:] == "END\n"), what
        lines.append(f"{what}: {err!r}")
    check("wire_bad_input.txt", lines)


# 5. Configuration.

EFFECT_LABELS = {api.Effect.SAFE: "safe", api.Effect.KEYED: "keyed", api.Effect.UNSAFE: "unsafe"}
GROUP_LABELS = {
    api.DeduplicationScope.ALL: "all",
    api.DeduplicationScope.ZONE: "zone",
    api.DeduplicationScope.CELL: "cell",
}


def format_settings(s: api.Settings) -> list[str]:
    lines = [
        f"heads: {s.instances}",
        f"this head: {s.instance_id}",
        f"tick: {s.tick_us}",
        f"list is asked for: {s.poll_endpoints}",
        f"most attempts: {s.max_attempts}",
        f"parallel attempts: {s.parallel_attempts}",
        f"cancel: {s.may_cancel}",
        f"probe: {s.may_check_health}",
        f"hold-off is heeded: {s.honors_retry_after}",
        f"longest hold-off: {s.max_retry_after_us}",
        f"cold from: {s.warmup_initial_fraction!r}",
        f"cold time: {s.warmup_us}",
        f"cold units: {s.warmup_units!r}",
        f"fall multiple: {s.overload_multiple!r}",
        f"fall time: {s.overload_window_us}",
        f"rest between ordered: {s.ordered_key_pause_us}",
        f"budget share: {s.retry_budget_ratio!r}",
        f"budget free: {s.retry_budget_floor!r}",
        f"budget span: {s.retry_budget_window_us}",
        f"worth of a share: {s.over_quota_value_fraction!r}",
        f"worth of the spare: {s.idle_value_fraction!r}",
        f"most units: {s.max_units!r}",
        f"cells: {s.cells}",
        f"heads may tell: {s.may_message_peers}",
        f"part: {s.process_quota!r}",
    ]
    for key, c in s.classes.items():
        lines.append(
            f"class {key}: name {c.name}, worth {c.priority_weight!r}, late {c.late_value_fraction!r}, "
            f"aim {c.latency_objective_us}, "
            f"deadline {c.deadline_us}, effect {EFFECT_LABELS[c.effect]}, "
            f"group {GROUP_LABELS[c.deduplication_scope]}, "
            f"window {c.deduplication_window_us}, in order {c.in_order}"
        )
    for key, p in s.plans.items():
        lines.append(
            f"plan {key}: name {p.name}, weight {p.weight!r}, usual {p.usual_rate!r}, "
            f"reserve {p.reserve_rate!r}, limit {p.limit_rate!r}, burst {p.limit_burst!r}, "
            f"price {p.priority_weight_factor!r}"
        )
    return lines


def format_operator_settings(config: Config) -> list[str]:
    lines = []
    if nine := config.operator.ninep:
        lines.append(
            f"9P: listen {nine.listen}, server port {nine.server_port}, dialect {nine.server_dialect}, "
            f"clients {nine.max_clients}, server connections {nine.max_server_connections}"
        )
        for key, e in nine.exports.items():
            lines.append(
                f"export {key}: name {e.name}, volume {e.volume}, plan {e.plan}, class {e.request_class}, "
                f"cell {e.cell}, deadline {e.deadline_us}, hosts {e.serving_instances}, tree {e.aname!r}, "
                f"unit {e.unit_bytes}, access {e.access}, writable {e.writable}, "
                f"change class {e.change_request_class}, change deadline {e.change_deadline_us}"
            )
    if collector := config.operator.telemetry:
        lines.append(
            f"telemetry: address {collector.address}, path {collector.path!r}, service {collector.service}, "
            f"every {collector.interval_us}"
        )
    store = config.operator.store
    lines.append(
        f"store: role {store.role}, writer {store.writer!r}, address {store.address!r}, file {store.file!r}, "
        f"current {store.max_staleness_us}, drift {store.max_clock_drift!r}"
    )
    if history := config.operator.history:
        lines.append(f"history: file {history.file}, wall file {history.wall_offset_file!r}")
    if fleet := config.operator.fleet:
        lines.append(
            f"fleet: verdicts {fleet.suspicions}, bans {fleet.disables}, budgets {fleet.budgets}, "
            f"server connections {fleet.backend_connections}, seeds {fleet.seeds}, "
            f"advertise {fleet.advertised_address!r}, routes {fleet.routes}"
        )
    if choices := config.operator.choices:
        lines.append(
            f"choices: subset {choices.subset_size}, idle {choices.idle_timeout_us}, "
            f"resend share {choices.retry_budget_ratio!r}, resend free {choices.retry_budget_floor!r}, "
            f"resend span {choices.retry_budget_window_us}"
        )
    if audit := config.operator.audit:
        a = audit.limits
        lines.append(
            f"audit: folder {audit.folder}, sync {audit.sync}, checkpoint {a.checkpoint_us}, "
            f"segment {a.segment_bytes}, total {a.total_bytes}, age {a.age_us}"
        )
    return lines


def format_config(config: Config) -> list[str]:
    lim = config.limits
    lines = [
        f"name: {config.name}",
        f"listen: {config.listen}",
        f"discovery: {config.discovery}",
        f"discovery of the file: {config.file_discovery}",
        f"ops: {config.admin_address or '-'}",
        f"seed: {config.seed}",
        f"known: {json.dumps(config.configured_listing, sort_keys=True)}",
        f"settings as given: {json.dumps(config.raw_settings, sort_keys=True)}",
        *(f"pair {k}={v}" for k, v in flatten_settings(config.raw_settings).items()),
        *format_settings(config.settings),
        f"limit of clients: {lim.client_connections}",
        f"limit of brick connections: {lim.backend_connections}, kept {lim.reserved_backend_connections}",
        f"limit of 9P clients: {lim.ninep_client_connections}, "
        f"of 9P server connections {lim.ninep_server_connections}",
        f"limit of buffers: {lim.pool_max}, kept {lim.pool_free_max}",
        f"limit of unsent bytes: {lim.unsent_bytes}",
        f"limit of open items: {lim.open_requests}, their bytes {lim.open_bytes}",
        f"limit of the store's log: {lim.store_log_entries}",
        f"limit of the telemetry queue: {lim.telemetry_queue}",
        f"time of an idle brick connection: {lim.backend_idle_us}",
        f"time to connect: {lim.connect_timeout_us}",
        f"all limits, sorted by value: {sorted(astuple(lim))}",
        *format_operator_settings(config),
    ]
    if peers := config.peers:
        lines.append(
            f"peers: listen {peers.listen}, others {peers.peers}, everyone {peers.broadcast!r}, "
            f"routes {peers.routes}"
        )
        lines.append(f"limits of peers, sorted by value: {sorted(map(float, astuple(peers.limits)))}")
    return lines


def nested_settings(text: str) -> dict[str, Any]:
    """Return the simulator's key=value pairs in the JSON form of an instance's settings."""
    top: dict[str, Any] = {}
    for path, _, value in (pair.partition("=") for pair in text.split(" ")):
        *folders, last = path.split(".")
        at = top
        for folder in folders:
            at = at.setdefault(folder, {})
        at[last] = value
    for name in ("Classes", "Contracts"):
        listed = top[name]
        top[name] = [listed[str(i)] for i in range(int(listed["count"]))]
    return top


FULL_PLATFORM: dict[str, Any] = {
    "name": "n0",
    "listen": "0.0.0.0:7379",
    "discovery": "127.0.0.1:7500",
    "ops": "127.0.0.1:7380",
    "seed": "1f",
    "peer_listen": "127.0.0.1:7946",
    "peers": ["127.0.0.1:7946", "127.0.0.1:7947"],
    "peers_all": "127.0.0.1:7999",
    "limits": {"cores": 2.0, "memory_mb": 512, "sockets": 4096},
    "known": {"generation": 3, "reset": True, "instances": INSTANCES},
    "settings": nested_settings(PEER_SETTINGS)
    | {
        "Limits": nested_settings(PEER_SETTINGS)["Limits"]
        | {"ConnIdleUs": 30_000_000, "DialTimeoutUs": 123_000}
    },
}
FULL_OPERATOR = """
[ninep]
listen = "127.0.0.1:5640"
server_port = 564
server_dialect = "9P2000.L"
clients = 160
server_connections = 64
[[ninep.export]]
name = "one"
aname = "tree"
volume = "v1"
plan = "gold"
class = "read"
cell = 2
deadline_ms = 1200
hosts = 2
access = "rw"
change_class = "write"
change_deadline_ms = 2000.5
unit_bytes = 4096
[[ninep.export]]
name = "two"
volume = "v2"
plan = "tin"
class = "read"
cell = 0
deadline_ms = 900
[telemetry]
endpoint = "http://127.0.0.1:4318/otlp/"
service = "heads"
every_s = 2.5
[store]
role = "follower"
writer = "n1"
address = "127.0.0.1:7400"
file = "/var/lib/head/store.json"
current_s = 5
[history]
file = "/var/lib/head/history"
[fleet]
verdicts = false
bans = true
budgets = true
server_connections = 40
seeds = ["10.0.1.10:7946", "10.0.1.11:7946"]
advertise = "10.0.1.14:7946"
[fleet.routes]
"10.0.1.10:7946" = "192.168.7.1:30010"
[choices]
subset = 20
idle_s = 2.5
resend_share = 0.1
resend_free = 5
resend_span_s = 20
[audit]
folder = "/var/lib/head/audit"
sync = true
checkpoint_s = 5
segment_kb = 512
total_mb = 32
age_days = 7
"""
ENV = {
    "RELAY_NAME": "n9",
    "RELAY_LISTEN": "127.0.0.1:1",
    "RELAY_DISCOVERY": "127.0.0.1:2",
    "RELAY_OPS": "127.0.0.1:3",
}


def example(name: str, operator: str | None = None, env: dict[str, str] | None = None) -> Config:
    return load_config(str(ROOT / "example" / name), str(ROOT / operator) if operator else None, env or {})


def writer() -> Config:
    operator = {"store": {"role": "writer", "writer": "n0", "address": "127.0.0.1:7400"}, "fleet": {}}
    return read_config(FULL_PLATFORM, operator | {"choices": {}, "audit": {"folder": "a"}})


CONFIGS: dict[str, Callable[[], Config]] = {
    "example": lambda: example("config.json"),
    "example_operator": lambda: example("config.json", "example/operator.toml"),
    "example_deploy_operator": lambda: example("config.json", "deploy/operator.toml"),
    "example_pushed_0": lambda: example("pushed-0.json"),
    "example_pushed_1": lambda: example("pushed-1.json"),
    "environment": lambda: example("config.json", env=ENV),
    "environment_path": lambda: load_config(
        None, None, {"RELAY_CONFIG": str(ROOT / "example" / "config.json")}
    ),
    "full": lambda: read_config(FULL_PLATFORM, tomllib.loads(FULL_OPERATOR)),
    "writer": writer,
}


@pytest.mark.parametrize("name", CONFIGS)
def test_configuration(name: str) -> None:
    check(f"config_{name}.txt", format_config(CONFIGS[name]()))


def test_settings_of_the_wire() -> None:
    check("config_wire_settings.txt", format_settings(wire.read_settings(FULL_SETTINGS)))


def with_platform_value(path: str, value: object) -> Callable[[], object]:
    """Return a call that reads the platform configuration with one value changed; None removes the key."""

    def run() -> object:
        data = copy.deepcopy(FULL_PLATFORM)
        *folders, last = path.split(".")
        at: Any = data
        for folder in folders:
            at = at[int(folder) if isinstance(at, list) else folder]
        if value is None:
            del at[last]
        else:
            at[last] = value
        return read_config(data)

    return run


def with_operator_text(old: str, new: str) -> Callable[[], object]:
    """Return a call that reads the operator's file with one text replaced."""
    assert old in FULL_OPERATOR
    return lambda: read_config(FULL_PLATFORM, tomllib.loads(FULL_OPERATOR.replace(old, new, 1)))


BAD_CONFIGS: dict[str, Callable[[], object]] = {
    "no object": lambda: read_config([]),
    "no path": lambda: load_config(None, None, {}),
    "no file": lambda: load_config("/nonexistent/config.json", None, {}),
    "no name": with_platform_value("name", None),
    "no listen": with_platform_value("listen", None),
    "bad listen": with_platform_value("listen", "nowhere"),
    "bad port": with_platform_value("discovery", "127.0.0.1:99999"),
    "bad ops": with_platform_value("ops", 7),
    "bad seed": with_platform_value("seed", "xyz"),
    "bad known": with_platform_value("known", {"instances": 3}),
    "bad peer": with_platform_value("peers", ["here", "127.0.0.1:7947"]),
    "peers no list": with_platform_value("peers", "127.0.0.1:7946"),
    "no settings": with_platform_value("settings", None),
    "few sockets": with_platform_value("limits.sockets", 10),
    "memory is text": with_platform_value("limits.memory_mb", "much"),
    "no tick": with_platform_value("settings.TickUs", None),
    "bad credit": with_platform_value("settings.Classes.0.Credit", "high"),
    "bad effect": with_platform_value("settings.Classes.1.Effect", "magic"),
    "bad weight": with_platform_value("settings.Contracts.0.Weight", "inf"),
    "unknown section": with_operator_text("[audit]", "[auditing]"),
    "unknown key": with_operator_text("server_port", "server_prot"),
    "unknown class": with_operator_text('class = "read"', 'class = "raed"'),
    "unknown access": with_operator_text('access = "rw"', 'access = "wr"'),
    "change without rw": with_operator_text('access = "rw"', 'access = "ro"'),
    "export twice": with_operator_text('name = "two"', 'name = "one"'),
    "unknown dialect": with_operator_text("9P2000.L", "9P3000"),
    "too many 9P clients": with_operator_text("clients = 160", "clients = 99999"),
    "deadline": with_operator_text("deadline_ms = 1200", "deadline_ms = 0"),
    "endpoint": with_operator_text("http://127", "https://127"),
    "store role": with_operator_text('role = "follower"', 'role = "leader"'),
    "store writer": with_operator_text('writer = "n1"', 'writer = "n0"'),
    "store current": with_operator_text("current_s = 5", "current_s = 0.1"),
    "wall file": with_operator_text("[fleet]", 'wall_file = "/nonexistent/wall"\n[fleet]'),
    "fleet flag": with_operator_text("verdicts = false", "verdicts = 0"),
    "fleet budgets": with_operator_text("budgets = true", "budgets = false"),
    "fleet seed": with_operator_text('"10.0.1.11:7946"', '"head.example:7946"'),
    "fleet advertise": with_operator_text('seeds = ["10.0.1.10:7946", "10.0.1.11:7946"]', ""),
    "subset": with_operator_text("subset = 20", "subset = 2.5"),
    "audit sync": with_operator_text("sync = true", 'sync = "yes"'),
    "audit age": with_operator_text("age_days = 7", "age_days = 0"),
}


def test_configurations_that_cannot_be_used() -> None:
    lines = []
    for what, run in BAD_CONFIGS.items():
        with pytest.raises(ConfigError) as problem:
            run()
        lines.append(f"{what}: {problem.value}")
    check("config_errors.txt", lines)


def test_configuration_files_that_cannot_be_parsed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    Path("bad.json").write_text("{", encoding="utf-8")
    Path("bad.toml").write_text("[ninep\n", encoding="utf-8")
    lines = []
    for config_path, operator_path in (
        ("bad.json", None),
        (str(ROOT / "example" / "config.json"), "bad.toml"),
    ):
        with pytest.raises(ConfigError) as problem:
            load_config(config_path, operator_path, {})
        lines.append(str(problem.value))
    check("config_parse_errors.txt", lines)


def test_limits_by_default() -> None:
    small = replace(Limits()).fit(64 << 20, 512, has_admin_service=True)
    check("config_limits.txt", [str(sorted(astuple(Limits()))), str(sorted(astuple(small)))])
