"""Golden files of audit segments, history lines, datagrams between instances, and OTLP requests.

Each test encodes fixed inputs and compares every byte with the file in tests/golden/records; where the
program has a decoder, it decodes the committed bytes. Truncated and corrupted input must be accepted or
rejected as recorded.

To update the files after an intended change of a format:

    GOLDEN_WRITE=1 python -m pytest tests/golden/test_golden_records.py

Run the tests without the variable afterwards, since nothing is compared with it.
"""

from __future__ import annotations

import hashlib
import heapq
import json
import os
import pathlib
import random
import shutil
import zlib
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import fields, is_dataclass, replace
from itertools import groupby
from typing import Any, NamedTuple

import pytest
from click.testing import CliRunner

from garnetlanding import __version__, cli
from garnetlanding.audit import segments
from garnetlanding.audit.errors import CorruptSegmentError
from garnetlanding.audit.limits import LIMITS as AUDIT_LIMITS
from garnetlanding.audit.recorder import Recorder
from garnetlanding.audit.records import Incarnation, InstanceState, MessageId
from garnetlanding.audit.segment_reader import read_segments
from garnetlanding.audit.segment_writer import SegmentWriter
from garnetlanding.audit.setup import AuditSetup
from garnetlanding.core.ports import Answer, AttemptSummary, Failed, Rejected, RequestSpec, Served
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.emulator import budget_simulation, group_simulation, lease_simulation, suspicion_simulation
from garnetlanding.emulator.base import EmulatedConnection, EmulatedServer
from garnetlanding.history.writer import HistoryWriter
from garnetlanding.lab.history import CorruptHistoryError
from garnetlanding.lab.history import read as read_history
from garnetlanding.peers import gossip_message, lease_message, membership_message
from garnetlanding.peers.coordinator import PeerCoordinator, PeerSubsystems
from garnetlanding.peers.disabled_backends import DisabledBackends, DisableRecord
from garnetlanding.peers.envelope import CHECKSUM, MessageKind, decode_envelope, encode_envelope
from garnetlanding.peers.errors import MessageError
from garnetlanding.peers.failure_detector import FailureDetector
from garnetlanding.peers.lease_message import LeaseMessage, QuotaRequest
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership import FIRST_SEED_NUMBER, Membership
from garnetlanding.peers.membership_protocol import MembershipProtocol
from garnetlanding.peers.membership_table import InstanceRecord
from garnetlanding.peers.name_tag import name_tag
from garnetlanding.peers.shared_budgets import SharedBudgets
from garnetlanding.resp.request import Command
from garnetlanding.telemetry.exporter import Exporter, ServiceInstance
from garnetlanding.telemetry.setup import TelemetrySetup
from tests.peers.test_coordinator import LINKED_SETTINGS
from tests.support.clock import MS, SECOND
from tests.support.daemon import SimulatedDaemon
from tests.support.simulated_instance import SimulatedInstance, read_command

GOLDEN_FOLDER = pathlib.Path(__file__).parent / "records"
AUDIT_FOLDER = GOLDEN_FOLDER / "audit"
WRITE_GOLDEN = os.environ.get("GOLDEN_WRITE") == "1"
WALL_MS = 1_764_640_800_000  # 2025-12-02T02:00:00Z
PEER_LIMITS = PeerLimits()


def golden(name: str, data: bytes) -> bytes:
    """Compare data with the committed file and return the committed bytes."""
    path = GOLDEN_FOLDER / name
    if WRITE_GOLDEN:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(data)
    committed = path.read_bytes()
    assert data == committed, f"{name} differs from the golden file"
    return committed


def format_runs(outcomes: list[str]) -> str:
    """Format the outcomes of offsets 0, 1, 2 and so on, with one line for each run of equal outcomes."""
    lines, offset = [], 0
    for outcome, run in groupby(outcomes):
        length = len(list(run))
        lines.append(f"{offset}-{offset + length - 1}: {outcome}")
        offset += length
    return "\n".join(lines) + "\n"


def without_type_names(value: Any) -> Any:
    """Convert a value to one without names of classes and fields, which may change."""
    if is_dataclass(value):
        return [without_type_names(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, dict):
        return [[without_type_names(key), without_type_names(item)] for key, item in value.items()]
    if isinstance(value, set):
        return sorted(without_type_names(item) for item in value)
    if isinstance(value, list | tuple):
        return [without_type_names(item) for item in value]
    return value.hex() if isinstance(value, bytes) else value


def digest_of(value: Any) -> str:
    return hashlib.sha256(json.dumps(without_type_names(value)).encode()).hexdigest()


def with_flipped_bits(data: bytes, at: int, bits: int = 1) -> bytes:
    return data[:at] + bytes([data[at] ^ bits]) + data[at + 1 :]


# Audit segments


class AuditedInstance:
    """One incarnation of an instance that records an audit, on a simulated clock."""

    def __init__(
        self, folder: pathlib.Path, name: str, instance_id: int, incarnation: int, **limits: int
    ) -> None:
        self.instance_id = instance_id
        self.now = 1000 * SECOND + incarnation * 100 * SECOND
        self.iterations, self.messages_sent = 0, 0
        self.last_received: MessageId | None = None
        self.versions = {"settings": "5.1#0a0b0c0d", "list": "41", "bans": "", "heads": "", "code": "1.0"}
        self.versions["out"] = ""
        # Segments are deleted by size only: their age would depend on the time of the test run.
        audit_limits = replace(AUDIT_LIMITS, checkpoint_us=10 * SECOND, age_us=1 << 60, **limits)
        setup = AuditSetup(str(folder), False, audit_limits)
        self.files = SegmentWriter(setup, Incarnation(name, incarnation), self.now, self._wall_ms)
        self.recorder = Recorder(
            audit_limits,
            {name: lambda name=name: self.versions[name] for name in self.versions},  # type: ignore[misc]
            self._state,
            self.files.write,
        )

    def _state(self) -> InstanceState:
        applied = max(0, self.iterations - 1)
        return InstanceState(
            self.instance_id, self.iterations, applied, self.messages_sent, self.last_received
        )

    def _wall_ms(self) -> int:
        return WALL_MS + self.now // 1000

    def observe(self, after_s: float, **versions: str) -> None:
        """Advance the clock, change some versions, and let the recorder observe the instance."""
        self.now += int(after_s * SECOND)
        self.iterations, self.messages_sent = self.iterations + 3, self.messages_sent + 4
        self.versions |= versions
        self.recorder.observe(self.now)

    def end(self) -> None:
        self.now += SECOND
        self.recorder.end(self.now)
        self.files.close()


def write_segments(folder: pathlib.Path) -> None:
    """Write every kind of record: start, change, checkpoint, refused, end, dropped.

    n0 rotates its segments and restarts; n1 is truncated within a record and restarts; n2 stalls, deletes its
    oldest segments, and has different settings under the same revision.
    """
    n0 = AuditedInstance(folder, "n0", 0, 1, segment_bytes=900)
    n0.observe(0)
    n0.observe(10)
    n0.last_received = MessageId(1, 1, 7)
    n0.observe(2, settings="5.2#11111111")
    n0.recorder.change_rejected(n0.now, "settings", "key max_attempts: expected a number, found 'é'")
    n0.recorder.change_rejected(n0.now, "settings", "key max_attempts: expected a number, found 'é'")
    n0.observe(3, list="42", bans="8c736521")
    n0.end()
    n0 = AuditedInstance(folder, "n0", 0, 2)
    n0.observe(0, settings="5.2#11111111")
    n0.observe(1, out="not current")
    n0.files.close()

    n1 = AuditedInstance(folder, "n1", 1, 1)
    n1.observe(0)
    n1.observe(4, settings="5.2#11111111")
    n1.files.close()
    path = next(folder.glob("garnetlanding-n1-audit-1.*"))
    os.truncate(path, path.stat().st_size - 20)
    n1 = AuditedInstance(folder, "n1", 1, 2)
    n1.last_received = MessageId(0, 1, 12)
    n1.observe(0, settings="5.2#11111111", heads="00aa00bb")
    n1.end()

    n2 = AuditedInstance(folder, "n2/zone a", 2, 1, segment_bytes=700, total_bytes=1500)
    for i in range(5):
        n2.observe(9, list=str(40 + i))
    n2.observe(60)
    n2.observe(1, settings="5.2#22222222")
    n2.files.close()


def torn_offset(torn_at: int | None) -> int:
    """Return the offset as in the golden files: -1 for an intact segment."""
    return -1 if torn_at is None else torn_at


def segment_outcome(name: str, data: bytes, last: bool) -> str:
    """Describe the result of reading a segment."""
    try:
        found = segments.read_segment(name, data, last)
    except CorruptSegmentError as error:
        intact = [] if error.intact is None else [len(error.intact.records)]
        return f"refused: {error} (records before it: {intact})"
    return f"read: {len(found.records)} records, torn at {torn_offset(found.torn_at)}"


def test_audit_segments_match_the_golden_files(tmp_path: pathlib.Path) -> None:
    write_segments(tmp_path)
    if WRITE_GOLDEN:
        shutil.rmtree(AUDIT_FOLDER, ignore_errors=True)
    names = sorted(path.name for path in tmp_path.iterdir())
    for name in names:
        golden(f"audit/{name}", (tmp_path / name).read_bytes())
    assert names == sorted(path.name for path in AUDIT_FOLDER.iterdir())


def test_audit_segments_are_decoded() -> None:
    read = read_segments([str(AUDIT_FOLDER)])
    found, problems = read.segments, read.problems
    state = [
        [
            *[s.instance, s.incarnation, s.number, s.previous_hash.hex()],
            *[s.records, s.last_hash.hex(), torn_offset(s.torn_at)],
        ]
        for s in found
    ]
    kinds = {record["kind"] for segment in found for record in segment.records}
    assert kinds == {"start", "change", "checkpoint", "refused", "end", "dropped"}
    assert sum(segment.number > 1 for segment in found) >= 2, "some segments are rotated"
    golden("audit-read.json", json.dumps([state, problems], indent=1, sort_keys=True).encode())
    for segment in found:
        rebuilt = segments.encode_header(
            segment.instance, segment.incarnation, segment.number, segment.previous_hash
        )
        last = segment.previous_hash
        for payload in segment.records:
            data, last = segments.encode_record(last, payload)
            rebuilt += data
        [committed] = [
            path.read_bytes() for path in AUDIT_FOLDER.iterdir() if path.read_bytes().startswith(rebuilt)
        ]
        assert last == segment.last_hash
        assert len(rebuilt) == (len(committed) if segment.torn_at is None else segment.torn_at)


def test_truncated_and_corrupted_segments_are_read_or_rejected_as_recorded() -> None:
    """Truncate a segment at every offset and flip a bit of every byte, once as the last segment of its
    instance and once as an earlier one; change the version in the magic bytes; append zeros."""
    data = (AUDIT_FOLDER / "garnetlanding-n0-audit-1.00000001").read_bytes()
    text = ""
    for last in (True, False):
        text += f"cut at, last of its head: {last}\n"
        text += format_runs([segment_outcome("f", data[:cut], last) for cut in range(len(data) + 1)])
        for bits in (0x01, 0x80):
            text += f"bits {bits:#04x} changed at, last of its head: {last}\n"
            text += format_runs(
                [segment_outcome("f", with_flipped_bits(data, at, bits), last) for at in range(len(data))]
            )
    text += f"version 2: {segment_outcome('f', b'GLAUDIT2' + data[8:], True)}\n"
    text += f"zeros behind it: {segment_outcome('f', data + bytes(40), True)}\n"
    golden("audit-cuts.txt", text.encode())


def run_cli(*arguments: str) -> str:
    """Return a command's exit code and output, independently of the terminal."""
    environment = {
        "FORCE_COLOR": None,
        "NO_COLOR": None,
        "TTY_COMPATIBLE": None,
        "COLUMNS": None,
        "TERM": "dumb",
    }
    result = CliRunner(env=environment).invoke(cli.commands, arguments, standalone_mode=False)
    assert result.exception is None, result.exception
    return f"$ garnetlanding {' '.join(arguments[:2])}\nexit code {result.return_value}\n{result.output}\n"


COMMANDS = {
    "show": [["show"]],
    "who": [
        ["who", "--version", "settings=5.2"],
        ["who", "--version", "list=43"],
        ["who", "--version", "list=99"],
        ["who", "--at", "2025-12-02T02:18:25Z"],
        ["who", "--at", str(WALL_MS + 1_105_000)],
        ["who", "--at", "1999-01-01T00:00:00Z"],
        ["who", "--version", "settings"],
        ["who"],
    ],
    "lag": [["lag"], ["lag", "--component", "list"], ["lag", "--component", "none"]],
    "verify": [["verify"], ["verify", "--head", "n0", "--head", "n9"]],
}


@pytest.mark.parametrize("command", COMMANDS)
@pytest.mark.parametrize("form", ["txt", "json"])
def test_audit_commands_print_the_golden_output(command: str, form: str) -> None:
    text = ""
    for arguments in COMMANDS[command]:
        text += run_cli("audit", *arguments, str(AUDIT_FOLDER), *(["--json"] if form == "json" else []))
    golden(f"cli/{command}.{form}", text.encode())


def test_audit_merge_does_not_depend_on_the_order_of_files(tmp_path: pathlib.Path) -> None:
    out = tmp_path / "merged"
    output = run_cli("audit", "merge", "--out", str(out), str(AUDIT_FOLDER))
    golden("cli/merge.txt", output.encode() + out.read_bytes())
    files = [str(path) for path in AUDIT_FOLDER.iterdir()]
    run_cli("audit", "merge", "--out", str(tmp_path / "merged-reversed"), *reversed(files))
    assert (tmp_path / "merged-reversed").read_bytes() == out.read_bytes()


@pytest.mark.parametrize("form", ["txt", "json"])
def test_verify_reports_damaged_audits_as_recorded(tmp_path: pathlib.Path, form: str) -> None:
    """One file has a corrupted byte, another a truncated last record, and a third is missing."""
    shutil.copytree(AUDIT_FOLDER, tmp_path, dirs_exist_ok=True)
    corrupted = tmp_path / "garnetlanding-n0-audit-2.00000001"
    corrupted.write_bytes(with_flipped_bits(corrupted.read_bytes(), 300))
    truncated = tmp_path / "garnetlanding-n1-audit-2.00000001"
    truncated.write_bytes(truncated.read_bytes()[:-7])
    (tmp_path / "garnetlanding-n0-audit-1.00000001").unlink()
    text = run_cli("audit", "verify", str(tmp_path), *(["--json"] if form == "json" else []))
    golden(f"cli/verify-damaged.{form}", text.encode())


# The history


REQUEST = RequestSpec("read", "gold", "vol-1", "k", 2.5, 3, SECOND, 1, None)


def test_history_and_audit_of_a_daemon_match_the_golden_files(tmp_path: pathlib.Path) -> None:
    """A daemon starts, serves a request, is fenced and unfenced. Its incarnation and the store's epoch depend
    on the wall clock, and are replaced."""
    file, folder = tmp_path / "n1.history", tmp_path / "audit"
    operator = {"history": {"file": str(file)}, "audit": {"folder": str(folder)}, "fleet": {"bans": True}}
    instance = SimulatedDaemon(
        operator,
        LINKED_SETTINGS,
        peer_listen="127.0.0.1:0",
        peers=["127.0.0.1:9", "127.0.0.1:9", "127.0.0.1:9"],
    )
    instance.client().send_bytes(read_command())
    for fenced in (True, False):
        for callback in instance.daemon.core.fence.on_change:
            callback(fenced)
    instance.daemon.core.run_iteration()
    instance.settle()
    lines = [json.loads(line) for line in file.read_text().splitlines()]
    for line in lines:
        assert line["life"] == instance.daemon.assembly.instance.incarnation
        line["life"] = "LIFE"
        if "epoch" in line:
            assert line["epoch"] == instance.daemon.store.epoch
            line["epoch"] = "EPOCH"
    kinds = {line["what"] for line in lines}
    assert kinds == {"start", "settings", "up", "parts", "answered", "current"}
    golden("head.history", "".join(json.dumps(line) + "\n" for line in lines).encode())

    read = read_segments([str(folder)])
    [segment], problems = read.segments, read.problems
    assert problems == []
    assert segment.incarnation == instance.daemon.assembly.instance.incarnation
    for record in segment.records:
        assert isinstance(record.pop("wall"), int)
        if "vector" in record:
            vector = record["vector"]
            assert vector["code"] == __version__
            vector["code"], vector["settings"] = "CODE", vector["settings"].partition(".")[2]
    golden("head-audit.json", json.dumps(segment.records, indent=1).encode())


def test_history_lines_match_the_golden_file_and_are_decoded(tmp_path: pathlib.Path) -> None:
    """The lines of the daemon and the request engine; the simulation below covers the other lines."""
    path, times = tmp_path / "n0.history", iter(range(1000, 9000, 7))
    history = HistoryWriter(str(path), "n0", 3, lambda: next(times))
    history.settings_applied(5, 2, 0x0A0B0C0D, 990)
    history.serving()
    history.fencing_changed(1010, fenced=True)
    answers: list[Answer] = [Served(b"v"), Rejected(50), Failed("no server")]
    for i, answer in enumerate(answers):
        operation = Command((b"RUN", b"1", b"id-%d\xff" % i)) if i else None
        attempts = [AttemptSummary("b0", "reset", 900, 950), AttemptSummary("b1", "served", 960, 990)][
            : 2 - i
        ]
        history.request_ended(replace(REQUEST, operation=operation), answer, 890, 995, attempts)
    history.volume_quotas_changed({"vol-1": 0.123456, "vol-2": 1.0}, 2000)
    history.budget_quotas_changed({"cold:n0": 1 / 3}, 2100)
    HistoryWriter(str(path), "n0", 4, lambda: 5)
    committed = golden("daemon.history", path.read_bytes())

    copy = tmp_path / "copy"
    copy.write_bytes(committed)
    lines = read_history([copy])
    assert [line["what"] for line in lines] == [
        *["start", "start", "settings", "up", "current", "answered", "answered", "answered"],
        *["parts", "shares"],
    ]
    golden("daemon-history-read.json", json.dumps(lines, indent=1).encode())
    copy.write_bytes(committed[:-9])
    assert read_history([copy]) == [
        line for line in lines if line["life"] == 3
    ], "a truncated last line is skipped"
    copy.write_bytes(b"{" + committed)
    with pytest.raises(CorruptHistoryError, match="line 1: cannot read"):
        read_history([copy])


# Datagrams

HEADER = (
    7_000_000_001,
    12,
    6_000_000_009,
    3,
)  # incarnation and number of this message and of the answered one
VOLUME, OTHER = name_tag("vol-1"), name_tag("vol-2")
LEASES = LeaseMessage(
    *HEADER,
    {VOLUME: QuotaRequest(0.5, 3), OTHER: QuotaRequest(1.0, 255)},
    {VOLUME: 0.252, 9: 0.0},
)
BUDGETS = LeaseMessage(
    *HEADER,
    {name_tag(api.warmup_budget_name("n0")): QuotaRequest(0.004, 4)},
    {name_tag(api.POLL_BUDGET): 1.0},
)
DISABLED_BACKENDS = DisabledBackends(
    PEER_LIMITS, [DisableRecord("n1", 1_764_640_800_000, 2, True), DisableRecord("head/3", 9, 65535, False)]
)
EVIDENCE = tuple(
    gossip_message.Evidence(kind, name_tag(f"n{kind}"), 10 * kind, kind, 7)
    for kind in gossip_message.EvidenceKind
)
GOSSIP = gossip_message.GossipMessage(
    DISABLED_BACKENDS.digest, EVIDENCE, tuple(DISABLED_BACKENDS.records.values())
)
LARGEST_GOSSIP = gossip_message.GossipMessage(
    bytes(8),
    (
        gossip_message.Evidence(
            gossip_message.EvidenceKind.UNREACHABLE, 0xFFFFFFFF, gossip_message.MAX_UPTIME, 255, 0xFFFF
        ),
    ),
)


def membership() -> Membership:
    table = Membership(PEER_LIMITS, 0, 100, "127.1.0.1:7946", ["127.1.0.1:7946", "127.1.0.2:7946"], 0)
    table.merge(
        [
            InstanceRecord(1, 90, True, "127.1.0.2:7946"),
            InstanceRecord(65535, 1 << 40, False, "[fe80::1]:65535"),
        ]
    )
    return table


def membership_messages() -> dict[str, membership_message.MembershipMessage]:
    records = tuple(membership().table.records.values())
    return {
        "roll": membership_message.MembershipMessage(membership().table.digest, records, True),
        "roll-one": membership_message.MembershipMessage(bytes(8), records[:1], False),
    }


def datagrams() -> dict[str, bytes]:
    """Return messages of every kind, from empty ones to ones with all fields."""
    found = {
        "leases": lease_message.encode(LEASES),
        "leases-empty": lease_message.encode(LeaseMessage(1, 1)),
        "leases-greatest": lease_message.encode(
            LeaseMessage((1 << 48) - 1, (1 << 32) - 1, (1 << 48) - 1, (1 << 32) - 1)
        ),
        "leases-rounded": lease_message.encode(
            LeaseMessage(1, 2, 0, 0, {1: QuotaRequest(0.0011, 1)}, {1: 0.0079})
        ),
        "budgets": lease_message.encode(BUDGETS, MessageKind.BUDGETS),
        "words": encode_envelope(gossip_message.to_envelope(GOSSIP, *HEADER)),
        "words-greatest": encode_envelope(gossip_message.to_envelope(LARGEST_GOSSIP, *HEADER)),
        "words-empty": encode_envelope(
            gossip_message.to_envelope(gossip_message.GossipMessage(bytes(8)), *HEADER)
        ),
    }
    return found | {
        name: encode_envelope(membership_message.to_envelope(message, *HEADER))
        for name, message in membership_messages().items()
    }


def read_datagram(data: bytes) -> object:
    """Decode a datagram by the kind of its envelope, as `PeerCoordinator` does."""
    envelope = decode_envelope(data, PEER_LIMITS.datagram_bytes)
    if envelope.kind == MessageKind.MEMBERSHIP:
        return membership_message.from_envelope(envelope)
    return (
        gossip_message.from_envelope(envelope)
        if envelope.kind == MessageKind.GOSSIP
        else lease_message.from_envelope(envelope)
    )


def datagram_outcome(data: bytes) -> str:
    try:
        return f"read: state {digest_of(read_datagram(data))[:16]}"
    except MessageError as error:
        return f"refused: {error}"


def test_datagrams_match_the_golden_file_and_are_decoded() -> None:
    text = "".join(f"{name} {data.hex()}\n" for name, data in datagrams().items())
    committed = golden("datagrams.txt", text.encode()).decode()
    read = {
        name: read_datagram(bytes.fromhex(hexed)) for name, hexed in map(str.split, committed.splitlines())
    }
    assert (read["leases"], read["budgets"]) == (LEASES, BUDGETS)
    assert (read["words"], read["words-greatest"]) == (GOSSIP, LARGEST_GOSSIP)
    assert (read["roll"], read["roll-one"]) == (
        membership_messages()["roll"],
        membership_messages()["roll-one"],
    )
    assert read["words-empty"] == gossip_message.GossipMessage(bytes(8))
    assert read["leases-empty"] == LeaseMessage(1, 1)
    assert read["leases-rounded"] == LeaseMessage(1, 2, 0, 0, {1: QuotaRequest(0.004, 1)}, {1: 0.004})
    assert read["leases-greatest"] == LeaseMessage((1 << 48) - 1, (1 << 32) - 1, (1 << 48) - 1, (1 << 32) - 1)


def test_truncated_and_corrupted_datagrams_are_rejected_as_recorded() -> None:
    """Truncate at every offset and change every byte, with the original and with a valid checksum."""
    text = ""
    for name, data in datagrams().items():
        content = data[:-4]
        outcomes = {
            "cut": [datagram_outcome(data[:cut]) for cut in range(len(data))],
            "changed": [datagram_outcome(with_flipped_bits(data, at)) for at in range(len(data))],
            "cut, sum made anew": [
                datagram_outcome(with_checksum(content[:cut])) for cut in range(len(content))
            ],
            "changed by 0x01, sum made anew": [
                datagram_outcome(with_checksum(with_flipped_bits(content, at))) for at in range(len(content))
            ],
            "changed by 0x80, sum made anew": [
                datagram_outcome(with_checksum(with_flipped_bits(content, at, 0x80)))
                for at in range(len(content))
            ],
        }
        for change, results in outcomes.items():
            text += f"{name} {change}\n{format_runs(results)}"
    text += f"too long: {datagram_outcome(bytes(PEER_LIMITS.datagram_bytes + 1))}\n"
    golden("datagrams-bad.txt", text.encode())


def with_checksum(data: bytes) -> bytes:
    return data + CHECKSUM.pack(zlib.crc32(data))


def test_many_entries_are_paginated_as_recorded() -> None:
    """Leases, membership records, evidence and disables that do not fit into one datagram."""
    requests = {i * 7919: QuotaRequest((i % 251) / 250, 1 + i % 255) for i in range(400)}
    grants = {i * 104729: (i % 251) / 250 for i in range(300)}
    paged = [
        lease_message.encode(LeaseMessage(1, 1, 0, 0, *page))
        for page in lease_message.paginate(requests, grants, 1200)
    ]
    records = [InstanceRecord(i, 5 + i, i % 3 == 0, f"10.0.{i // 250}.{i % 250}:1{i:04}") for i in range(300)]
    for page in membership_message.paginate(records, 1200, 3):
        paged.append(
            encode_envelope(
                membership_message.to_envelope(
                    membership_message.MembershipMessage(bytes(8), tuple(page), True), 1, 1, 0, 0
                )
            )
        )
    disables = [DisableRecord(f"server-{i}", i, 1, True) for i in range(100)]
    evidence_count, disable_count = gossip_message.count_fitting(EVIDENCE * 20, disables, 1200)
    message = gossip_message.GossipMessage(
        bytes(8), (EVIDENCE * 20)[:evidence_count], tuple(disables[:disable_count])
    )
    paged.append(encode_envelope(gossip_message.to_envelope(message, 1, 1, 0, 0)))
    text = "".join(f"{len(data)} {hashlib.sha256(data).hexdigest()}\n" for data in paged)
    golden("datagrams-paged.txt", text.encode())


# A simulation of the peer protocols

INSTANCES, BACKENDS, LENGTH_US = 4, 5, 16 * SECOND


class SentMessage(NamedTuple):
    """A datagram from one instance to another."""

    at_us: int
    sender: int
    recipient: int
    payload: bytes

    @property
    def kind(self) -> int:
        return self.payload[1]


class PeerNetwork:
    """Four instances on one clock, with a network that delays and loses messages.

    Three instances form a group and the fourth joins later. One backend times out, one refuses connections
    and one is slow for a while. An operator disables a backend and has enabled many. The fourth instance
    leaves in order.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.now = 0
        self.rng = random.Random(11)
        self.sent: list[SentMessage] = []
        self.folder = folder
        self.coordinators: dict[int, PeerCoordinator] = {}
        self.failure_detectors: dict[int, FailureDetector] = {}
        self._scheduled: list[tuple[int, int, int, api.Event]] = []
        self._attempts: Counter[tuple[int, str]] = Counter()
        self._events_scheduled = 0

    def start(self, instance: int) -> None:
        scenario, address = suspicion_simulation.Scenario(instances=INSTANCES), group_simulation.address
        plan = api.PlanSpec("plan", 1.0, 40.0, 40.0, limit_rate=60.0, limit_burst=60.0)
        settings = replace(
            suspicion_simulation.settings(scenario, instance),
            plans={"plan": plan},
            warmup_us=4 * SECOND,
            retry_budget_ratio=0.2,
            retry_budget_floor=4.0,
            retry_budget_window_us=SECOND,
        )
        history = HistoryWriter(
            str(self.folder / f"n{instance}.history"), f"n{instance}", 1, lambda: self.now
        )
        seeds = [address(seed) for seed in range(3)]
        table = Membership(PEER_LIMITS, instance, 100 + instance, address(instance), seeds, self.now)
        self.failure_detectors[instance] = FailureDetector(PEER_LIMITS, history=history)
        self.coordinators[instance] = PeerCoordinator(
            Controller(settings, instance),
            incarnation=100 + instance,
            subsystems=PeerSubsystems(
                self.failure_detectors[instance],
                MembershipProtocol(PEER_LIMITS, table, history),
                lambda settings, incarnation, now: SharedBudgets(PEER_LIMITS, settings, incarnation, now),
                history,
            ),
        )
        entries = tuple(
            api.Endpoint(f"n{i}", i, "z", api.EndpointState.UP, started_us=self.now + 1 if i == 4 else 0)
            for i in range(BACKENDS)
        )
        self.schedule(self.now, instance, api.EndpointListUpdate(entries, complete=True, at_start=True))

    def schedule(self, at_us: int, instance: int, event: api.Event) -> None:
        self._events_scheduled += 1
        heapq.heappush(self._scheduled, (at_us, self._events_scheduled, instance, event))

    def run(self) -> None:
        for instance in range(3):
            self.start(instance)
        arrives_at, number = 0.0, 0
        while (arrives_at := arrives_at + self.rng.expovariate(160) * SECOND) < LENGTH_US:
            number += 1
            instance, cell = self.rng.randrange(INSTANCES), self.rng.randrange(BACKENDS)
            arrival = api.Arrival(
                f"r{number}", "read", "plan", f"v{number % 2}", "", 1.0, cell, int(arrives_at) + SECOND, 2
            )
            self.schedule(int(arrives_at), instance, arrival)
        script: list[tuple[int, Callable[[], None]]] = [
            (5 * SECOND, lambda: self.start(3)),
            (9 * SECOND, lambda: self.disable("n2")),
            (
                14 * SECOND,
                lambda: self.coordinators.pop(3).leave(
                    self.now, lambda payload, recipient: self.send(3, recipient, payload)
                ),
            ),
        ]
        while self._scheduled and self._scheduled[0][0] < LENGTH_US:
            at_us, _, instance, event = heapq.heappop(self._scheduled)
            while script and script[0][0] <= at_us:
                self.now = script[0][0]
                script.pop(0)[1]()
            self.now = at_us
            if instance in self.coordinators:
                for action in self.coordinators[instance].handle(at_us, [event]):
                    self.execute(instance, action)
                self.failure_detectors[instance].disables.merge_received()

    def disable(self, backend: str) -> None:
        table = DisabledBackends(PEER_LIMITS, self.failure_detectors[0].disables.table.records.values())
        for i in range(60):  # more than fit into one datagram, so they are sent in turn
            table.set_disabled(
                f"server-{i}-that-was-put-back-long-ago",
                disabled=False,
                instance=0,
                wall_ms=WALL_MS - 1000 + i,
            )
        table.set_disabled(backend, disabled=True, instance=0, wall_ms=WALL_MS)
        self.failure_detectors[0].disables.replace_table(table)

    def execute(self, instance: int, action: api.Action) -> None:
        match action:
            case api.WakeAfter(span_us=span, token=token):
                self.schedule(self.now + max(1, span), instance, api.TimerFired(token))
            case api.Send(request=request, backend=backend):
                attempt = self._attempts[instance, request]
                self._attempts[instance, request] += 1
                outcome, duration_us = self.backend_result(backend)
                answered = outcome is api.Outcome.SERVED
                self.schedule(
                    self.now + duration_us,
                    instance,
                    api.Result(request, attempt, backend, outcome, duration_us, answered=answered),
                )
            case api.SendPeerMessage(payload=payload, recipient=int() as recipient):
                self.send(instance, recipient, payload)

    def backend_result(self, backend: str) -> tuple[api.Outcome, int]:
        if backend == "n0" and 6 * SECOND <= self.now < 10 * SECOND:
            return api.Outcome.TIMEOUT, SECOND
        if backend == "n1" and 7 * SECOND <= self.now < 11 * SECOND:
            return api.Outcome.UNREACHABLE, MS
        if backend == "n3" and 12 * SECOND <= self.now < 13 * SECOND:
            return api.Outcome.SERVED, 400 * MS
        return api.Outcome.SERVED, self.rng.randrange(8 * MS, 30 * MS)

    def send(self, sender: int, recipient: int | None, payload: bytes) -> None:
        assert recipient is not None
        if recipient >= FIRST_SEED_NUMBER:
            recipient -= FIRST_SEED_NUMBER
        self.sent.append(SentMessage(self.now, sender, recipient, payload))
        if self.rng.random() >= 0.05:
            # Each direction has its own delay. A few messages overtake others, which are then too old.
            is_late = self.rng.random() < 0.05
            delay_us = (5 + 4 * sender + recipient) * MS + (self.rng.randrange(40 * MS) if is_late else 0)
            self.schedule(self.now + delay_us, recipient, api.PeerMessage(sender, payload))


def message_digests(sent: list[SentMessage]) -> Iterator[str]:
    """Yield a line per second: the number of messages of each kind so far, and the digest of all of them."""
    digest, kinds = hashlib.sha256(), Counter[int]()
    for second, messages in groupby(sent, key=lambda message: message.at_us // SECOND):
        for message in messages:
            addresses = f"{message.at_us} {message.sender} {message.recipient} "
            digest.update(addresses.encode() + message.payload)
            kinds[message.kind] += 1
        yield f"second {second}: {sorted(kinds.items())} {digest.hexdigest()}\n"


def test_messages_and_state_of_a_simulation_match_the_golden_file(tmp_path: pathlib.Path) -> None:
    network = PeerNetwork(tmp_path)
    network.run()
    kinds = {message.kind for message in network.sent}
    assert kinds == {
        MessageKind.LEASES,
        MessageKind.GOSSIP,
        MessageKind.MEMBERSHIP,
        MessageKind.BUDGETS,
    }
    assert all(
        detector.disables.table.disabled_names == {"n2"} for detector in network.failure_detectors.values()
    ), "every instance knows the disable"
    text = "".join(message_digests(network.sent))
    for instance, coordinator in network.coordinators.items():
        dropped = sorted(coordinator.dropped.items())
        received = list(coordinator.last_received or ())
        text += f"head {instance}: dropped {dropped}, heard {received}, said {coordinator.last_sent}\n"
        tables = {
            "limits": coordinator.limit_rows(LENGTH_US),
            "members": coordinator.member_rows(LENGTH_US),
            "verdicts": coordinator.suspicion_rows(LENGTH_US),
            "bans": coordinator.disabled_rows(),
        }
        for name, rows in tables.items():
            text += f"  {name}: {json.dumps([row.as_json() for row in rows])}\n"
    golden("conversation.txt", text.encode())


def test_histories_of_a_simulation_match_the_golden_file(tmp_path: pathlib.Path) -> None:
    """The first lines of each kind that the peer protocols write, and a digest of each whole file."""
    network = PeerNetwork(tmp_path)
    network.run()
    text = ""
    for path in sorted(tmp_path.glob("*.history")):
        lines = path.read_text().splitlines(keepends=True)
        by_kind: dict[str, list[str]] = {}
        for line in lines:
            by_kind.setdefault(json.loads(line)["what"], []).append(line)
        text += f"{path.name}: {len(lines)} lines, {hashlib.sha256(path.read_bytes()).hexdigest()}\n"
        text += "".join(line for kind_lines in by_kind.values() for line in kind_lines[:4])
    for kind in ("start", "parts", "shares", "heads", "bans", "doubted", "seen"):
        assert f'"what":"{kind}"' in text, f"no history has {kind}"
    golden("conversation.history", text.encode())


def result_line(result: Any) -> str:
    numbers = [value for value in without_type_names(result) if isinstance(value, int | float)]
    return f"{digest_of(result)} {numbers}\n"


def test_results_of_the_emulated_networks_match_the_golden_file() -> None:
    """A digest of each result: leases, budgets, group membership, and suspicions of each kind of failure."""
    text = ""
    for seed in (1, 2):
        text += "leases " + result_line(
            lease_simulation.Simulation(lease_simulation.Scenario(seed, length_us=6 * SECOND)).run()
        )
        scenario = budget_simulation.BudgetScenario(seed, length_us=6 * SECOND)
        text += "budgets " + result_line(budget_simulation.BudgetSimulation(scenario).run())
        text += "group " + result_line(
            group_simulation.GroupSimulation(group_simulation.GroupScenario(seed)).run()
        )
    for failure in suspicion_simulation.Failure:
        suspicion_scenario = suspicion_simulation.Scenario(
            failure=failure, fails_at=2 * SECOND, recovers_at=4 * SECOND, length_us=5 * SECOND
        )
        text += f"verdicts {failure.value} " + result_line(
            suspicion_simulation.Simulation(suspicion_scenario).run()
        )
    golden("nets.txt", text.encode())


# OTLP


class CollectorConnection(EmulatedConnection):
    """Records each request and accepts it."""

    server: CollectorServer

    def feed(self, data: bytes | memoryview) -> None:
        self.server.received += bytes(data)
        header, separator, body = self.server.received.partition(b"\r\n\r\n")
        length = int(header.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]) if separator else 0
        if separator and len(body) >= length:
            self.server.received = b""
            self.server.calls.append((header, body))
            self.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}")


class CollectorServer(EmulatedServer):
    connection_class = CollectorConnection

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.received = b""
        self.calls: list[tuple[bytes, bytes]] = []


def test_otlp_requests_match_the_golden_files() -> None:
    """Spans of requests with every outcome and of their attempts, and every kind of metric. The collector's
    port and the program's version are replaced."""
    instance = SimulatedInstance()
    collector = instance.server(CollectorServer)
    wall_ns = 1_800_000_000 * 10**9
    setup = TelemetrySetup(collector.address, "/otlp", interval_us=SECOND)
    exporter = Exporter(
        instance.scheduler, setup, ServiceInstance("n1", 7), instance.pool, instance.limits, lambda: wall_ns
    )
    began = instance.scheduler.now
    attempts = [
        AttemptSummary("b0", "reset", began, began + MS),
        AttemptSummary("b1", "served", began + 2 * MS, 0),
    ]
    exporter.request_ended(REQUEST, Served(b"v"), began, began + 30 * MS, attempts)
    exporter.request_ended(REQUEST, Rejected(0), began, began + 20 * SECOND, [])
    exporter.request_ended(
        replace(REQUEST, request_class="write", cell=None), Failed("é"), began, began + 5 * MS, attempts[:1]
    )
    exporter.gauges = {"clients": lambda: 4, "store.revision": lambda: 0}
    instance.run(SECOND, 100 * MS)
    assert [header.split(b" ")[1] for header, _ in collector.calls] == [
        b"/otlp/v1/traces",
        b"/otlp/v1/metrics",
    ]
    version = f'"version":"{__version__}"'.encode()
    for (header, body), name in zip(collector.calls, ("traces", "metrics"), strict=True):
        assert f"Content-Length: {len(body)}".encode() in header
        assert version in body
        header = header.replace(collector.address.encode(), b"COLLECTOR")
        header = header.replace(f"Content-Length: {len(body)}".encode(), b"Content-Length: LENGTH")
        golden(f"otlp-{name}.http", header + b"\r\n\r\n" + body.replace(version, b'"version":"VERSION"'))
