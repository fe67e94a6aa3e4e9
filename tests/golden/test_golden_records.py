"""Golden files for records and messages: audit segments and their reports, lines of the history, datagrams
between instances, OTLP bodies.

Each test writes a form from fixed inputs and compares it byte for byte with the file committed under
`tests/golden/records/`; where the program has a reader, the committed bytes are read back as well. Truncated
and corrupted forms must be read or refused exactly as recorded there.

To write the files anew instead of comparing, after a change of a form that is meant:

    GOLDEN_WRITE=1 python -m pytest tests/golden/test_golden_records.py

Run it without the variable afterwards: only then is anything compared.
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
from typing import Any

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
from garnetlanding.peers.disabled_backends import DisabledBackends
from garnetlanding.peers.disabled_backends import DisableRecord as Ban
from garnetlanding.peers.envelope import CHECKSUM, MessageKind, decode_envelope, encode_envelope
from garnetlanding.peers.errors import MessageError
from garnetlanding.peers.failure_detector import FailureDetector
from garnetlanding.peers.lease_message import LeaseMessage, QuotaRequest
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership import FIRST_SEED_NUMBER, Membership
from garnetlanding.peers.membership_protocol import MembershipProtocol
from garnetlanding.peers.membership_table import InstanceRecord as Member
from garnetlanding.peers.name_tag import name_tag
from garnetlanding.peers.shared_budgets import SharedBudgets
from garnetlanding.resp.request import Command
from garnetlanding.telemetry.exporter import Exporter, ServiceInstance
from garnetlanding.telemetry.setup import TelemetrySetup
from tests.peers.test_coordinator import LINKED_SETTINGS
from tests.support.clock import MS, SECOND
from tests.support.daemon import SimulatedDaemon
from tests.support.simulated_instance import SimulatedInstance, read_command

GOLDEN = pathlib.Path(__file__).parent / "records"
AUDITS = GOLDEN / "audit"
WRITE = os.environ.get("GOLDEN_WRITE") == "1"
WALL_MS = 1_764_640_800_000  # 2025-12-02T02:00:00Z
PEER_LIMITS = PeerLimits()


def golden(name: str, data: bytes) -> bytes:
    """Compares with the committed file, or writes it; returns what is committed."""
    path = GOLDEN / name
    if WRITE:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(data)
    committed = path.read_bytes()
    assert data == committed, f"{name} differs from what is committed"
    return committed


def ranges(outcomes: list[str]) -> str:
    """The outcomes of offsets 0, 1, 2 and so on: one line for each run of equal ones."""
    lines, at = [], 0
    for outcome, run in groupby(outcomes):
        length = len(list(run))
        lines.append(f"{at}-{at + length - 1}: {outcome}")
        at += length
    return "\n".join(lines) + "\n"


def plain(value: Any) -> Any:
    """A state as plain values, without the names of classes and fields: these may change."""
    if is_dataclass(value):
        return [plain(getattr(value, field.name)) for field in fields(value)]
    if isinstance(value, dict):
        return [[plain(key), plain(some)] for key, some in value.items()]
    if isinstance(value, set):
        return sorted(plain(some) for some in value)
    if isinstance(value, list | tuple):
        return [plain(some) for some in value]
    return value.hex() if isinstance(value, bytes) else value


def digest_of(value: Any) -> str:
    return hashlib.sha256(json.dumps(plain(value)).encode()).hexdigest()


def flipped(data: bytes, at: int, bits: int = 1) -> bytes:
    return data[:at] + bytes([data[at] ^ bits]) + data[at + 1 :]


# Audit segments


class AuditedHead:
    """One life of a head that writes its audit, on a clock that a script moves."""

    def __init__(self, folder: pathlib.Path, name: str, me: int, life: int, **limits: int) -> None:
        self.now, self.taken, self.said = 1000 * SECOND + life * 100 * SECOND, 0, 0
        self.heard: MessageId | None = None
        self.vector = {"settings": "5.1#0a0b0c0d", "list": "41", "bans": "", "heads": "", "code": "1.0"}
        self.vector["out"] = ""
        # Files are dropped for their size alone: their age would be that of this run.
        mine = replace(AUDIT_LIMITS, checkpoint_us=10 * SECOND, age_us=1 << 60, **limits)
        setup = AuditSetup(str(folder), False, mine)
        self.files = SegmentWriter(setup, Incarnation(name, life), self.now, self._wall_ms)
        self.recorder = Recorder(
            mine,
            {name: lambda name=name: self.vector[name] for name in self.vector},  # type: ignore[misc]
            lambda: InstanceState(me, self.taken, max(0, self.taken - 1), self.said, self.heard),
            self.files.write,
        )

    def _wall_ms(self) -> int:
        return WALL_MS + self.now // 1000

    def look(self, after_s: float, **versions: str) -> None:
        """Another turn, after so many seconds and with these versions."""
        self.now += int(after_s * SECOND)
        self.taken, self.said = self.taken + 3, self.said + 4
        self.vector |= versions
        self.recorder.observe(self.now)

    def end(self) -> None:
        self.now += SECOND
        self.recorder.end(self.now)
        self.files.close()


def write_audits(folder: pathlib.Path) -> None:
    """Every kind of record: start, change, checkpoint, refused, end, dropped. Head n0 rotates its segments
    and starts again; n1 is cut short within a record and starts again; n2 stands still, drops its oldest
    segments, and has other settings under the same revision."""
    n0 = AuditedHead(folder, "n0", 0, 1, segment_bytes=900)
    n0.look(0)
    n0.look(10)
    n0.heard = MessageId(1, 1, 7)
    n0.look(2, settings="5.2#11111111")
    n0.recorder.change_rejected(n0.now, "settings", "key max_attempts: expected a number, found 'é'")
    n0.recorder.change_rejected(n0.now, "settings", "key max_attempts: expected a number, found 'é'")
    n0.look(3, list="42", bans="8c736521")
    n0.end()
    n0 = AuditedHead(folder, "n0", 0, 2)
    n0.look(0, settings="5.2#11111111")
    n0.look(1, out="not current")
    n0.files.close()

    n1 = AuditedHead(folder, "n1", 1, 1)
    n1.look(0)
    n1.look(4, settings="5.2#11111111")
    n1.files.close()
    path = next(folder.glob("garnetlanding-n1-audit-1.*"))
    os.truncate(path, path.stat().st_size - 20)
    n1 = AuditedHead(folder, "n1", 1, 2)
    n1.heard = MessageId(0, 1, 12)
    n1.look(0, settings="5.2#11111111", heads="00aa00bb")
    n1.end()

    n2 = AuditedHead(folder, "n2/zone a", 2, 1, segment_bytes=700, total_bytes=1500)
    for i in range(5):
        n2.look(9, list=str(40 + i))
    n2.look(60)
    n2.look(1, settings="5.2#22222222")
    n2.files.close()


def offset(torn_at: int | None) -> int:
    """As the committed files write it: -1 for a segment that ends well."""
    return -1 if torn_at is None else torn_at


def shown(name: str, data: bytes, last: bool) -> str:
    """What reading a segment comes to, in words."""
    try:
        found = segments.read_segment(name, data, last)
    except CorruptSegmentError as problem:
        kept = [] if problem.intact is None else [len(problem.intact.records)]
        return f"refused: {problem} (records before it: {kept})"
    return f"read: {len(found.records)} records, torn at {offset(found.torn_at)}"


def test_audit_segments_are_written_byte_for_byte(tmp_path: pathlib.Path) -> None:
    write_audits(tmp_path)
    if WRITE:
        shutil.rmtree(AUDITS, ignore_errors=True)
    names = sorted(path.name for path in tmp_path.iterdir())
    for name in names:
        golden(f"audit/{name}", (tmp_path / name).read_bytes())
    assert names == sorted(path.name for path in AUDITS.iterdir())


def test_audit_segments_read_back() -> None:
    read = read_segments([str(AUDITS)])
    found, problems = read.segments, read.problems
    state = [
        [
            *[s.instance, s.incarnation, s.number, s.previous_hash.hex()],
            *[s.records, s.last_hash.hex(), offset(s.torn_at)],
        ]
        for s in found
    ]
    kinds = {record["kind"] for segment in found for record in segment.records}
    assert kinds == {"start", "change", "checkpoint", "refused", "end", "dropped"}
    assert sum(segment.number > 1 for segment in found) >= 2, "rotated segments are among them"
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
            path.read_bytes() for path in AUDITS.iterdir() if path.read_bytes().startswith(rebuilt)
        ]
        assert last == segment.last_hash
        assert len(rebuilt) == (len(committed) if segment.torn_at is None else segment.torn_at)


def test_cut_and_corrupted_segments_are_read_or_refused_as_recorded() -> None:
    """Every cut of a segment, as the last of its head and with another behind it; every byte with a bit
    changed; other magic bytes; a segment exchanged for another."""
    data = (AUDITS / "garnetlanding-n0-audit-1.00000001").read_bytes()
    text = ""
    for last in (True, False):
        text += f"cut at, last of its head: {last}\n"
        text += ranges([shown("f", data[:cut], last) for cut in range(len(data) + 1)])
        for bits in (0x01, 0x80):
            text += f"bits {bits:#04x} changed at, last of its head: {last}\n"
            text += ranges([shown("f", flipped(data, at, bits), last) for at in range(len(data))])
    text += f"version 2: {shown('f', b'GLAUDIT2' + data[8:], True)}\n"
    text += f"zeros behind it: {shown('f', data + bytes(40), True)}\n"
    golden("audit-cuts.txt", text.encode())


def run_cli(*words: str) -> str:
    """A command's exit code and output. What the terminal of whoever runs this is does not matter."""
    plain = {"FORCE_COLOR": None, "NO_COLOR": None, "TTY_COMPATIBLE": None, "COLUMNS": None, "TERM": "dumb"}
    done = CliRunner(env=plain).invoke(cli.commands, words, standalone_mode=False)
    assert done.exception is None, done.exception
    return f"$ garnetlanding {' '.join(words[:2])}\nexit code {done.return_value}\n{done.output}\n"


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
def test_audit_commands_print_as_recorded(command: str, form: str) -> None:
    text = ""
    for words_ in COMMANDS[command]:
        text += run_cli("audit", *words_, str(AUDITS), *(["--json"] if form == "json" else []))
    golden(f"cli/{command}.{form}", text.encode())


def test_audit_merge_writes_one_file_for_any_order(tmp_path: pathlib.Path) -> None:
    out = tmp_path / "merged"
    said = run_cli("audit", "merge", "--out", str(out), str(AUDITS))
    golden("cli/merge.txt", said.encode() + out.read_bytes())
    files = [str(path) for path in AUDITS.iterdir()]
    run_cli("audit", "merge", "--out", str(tmp_path / "again"), *reversed(files))
    assert (tmp_path / "again").read_bytes() == out.read_bytes()


@pytest.mark.parametrize("form", ["txt", "json"])
def test_verify_tells_of_damaged_audits_as_recorded(tmp_path: pathlib.Path, form: str) -> None:
    """A changed byte in one file, a half-written last record in another, a whole segment missing."""
    shutil.copytree(AUDITS, tmp_path, dirs_exist_ok=True)
    changed = tmp_path / "garnetlanding-n0-audit-2.00000001"
    changed.write_bytes(flipped(changed.read_bytes(), 300))
    half = tmp_path / "garnetlanding-n1-audit-2.00000001"
    half.write_bytes(half.read_bytes()[:-7])
    (tmp_path / "garnetlanding-n0-audit-1.00000001").unlink()
    text = run_cli("audit", "verify", str(tmp_path), *(["--json"] if form == "json" else []))
    golden(f"cli/verify-damaged.{form}", text.encode())


# The history


ENDED = RequestSpec("read", "gold", "vol-1", "k", 2.5, 3, SECOND, 1, None)


def test_a_whole_head_notes_and_records_what_is_committed(tmp_path: pathlib.Path) -> None:
    """The lines and the audit records of a daemon that starts, serves a request, stands back and acts again.
    Its life and the store's epoch are those of the wall clock, and are replaced."""
    file, folder = tmp_path / "n1.history", tmp_path / "audit"
    operator = {"history": {"file": str(file)}, "audit": {"folder": str(folder)}, "fleet": {"bans": True}}
    h = SimulatedDaemon(
        operator,
        LINKED_SETTINGS,
        peer_listen="127.0.0.1:0",
        peers=["127.0.0.1:9", "127.0.0.1:9", "127.0.0.1:9"],
    )
    h.client().say(read_command())
    for out in (True, False):
        for told in h.daemon.core.fence.on_change:
            told(out)
    h.daemon.core.run_iteration()
    h.settle()
    lines = [json.loads(line) for line in file.read_text().splitlines()]
    for line in lines:
        assert line["life"] == h.daemon.assembly.instance.incarnation
        line["life"] = "LIFE"
        if "epoch" in line:
            assert line["epoch"] == h.daemon.store.epoch
            line["epoch"] = "EPOCH"
    kinds = {line["what"] for line in lines}
    assert kinds == {"start", "settings", "up", "parts", "answered", "current"}
    golden("head.history", "".join(json.dumps(line) + "\n" for line in lines).encode())

    read = read_segments([str(folder)])
    [segment], problems = read.segments, read.problems
    assert problems == []
    assert segment.incarnation == h.daemon.assembly.instance.incarnation
    for record in segment.records:
        assert isinstance(record.pop("wall"), int)
        if "vector" in record:
            vector = record["vector"]
            assert vector["code"] == __version__
            vector["code"], vector["settings"] = "CODE", vector["settings"].partition(".")[2]
    golden("head-audit.json", json.dumps(segment.records, indent=1).encode())


def test_history_lines_are_written_byte_for_byte_and_read_back(tmp_path: pathlib.Path) -> None:
    """Every kind of line that the writer has, and the daemon's, as bytes. Those of the peers' classes are
    written by themselves in the conversation below."""
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
        history.request_ended(replace(ENDED, operation=operation), answer, 890, 995, attempts)
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
    ], "a cut last line is left out"
    copy.write_bytes(b"{" + committed)
    with pytest.raises(CorruptHistoryError, match="line 1: cannot read"):
        read_history([copy])


# Datagrams

HEADER = (7_000_000_001, 12, 6_000_000_009, 3)  # life and number, and those answered
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
BANS = DisabledBackends(PEER_LIMITS, [Ban("n1", 1_764_640_800_000, 2, True), Ban("head/3", 9, 65535, False)])
EVIDENCE = tuple(
    gossip_message.Evidence(kind, name_tag(f"n{kind}"), 10 * kind, kind, 7)
    for kind in gossip_message.EvidenceKind
)
TOLD = gossip_message.GossipMessage(BANS.digest, EVIDENCE, tuple(BANS.records.values()))
MOST = gossip_message.GossipMessage(
    bytes(8),
    (
        gossip_message.Evidence(
            gossip_message.EvidenceKind.UNREACHABLE, 0xFFFFFFFF, gossip_message.MAX_UPTIME, 255, 0xFFFF
        ),
    ),
)


def members() -> Membership:
    table = Membership(PEER_LIMITS, 0, 100, "127.1.0.1:7946", ["127.1.0.1:7946", "127.1.0.2:7946"], 0)
    table.merge([Member(1, 90, True, "127.1.0.2:7946"), Member(65535, 1 << 40, False, "[fe80::1]:65535")])
    return table


def rolls() -> dict[str, membership_message.MembershipMessage]:
    records = tuple(members().table.records.values())
    return {
        "roll": membership_message.MembershipMessage(members().table.digest, records, True),
        "roll-one": membership_message.MembershipMessage(bytes(8), records[:1], False),
    }


def datagrams() -> dict[str, bytes]:
    """Each kind of message, with all it can hold and with nothing."""
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
        "words": encode_envelope(gossip_message.to_envelope(TOLD, *HEADER)),
        "words-greatest": encode_envelope(gossip_message.to_envelope(MOST, *HEADER)),
        "words-empty": encode_envelope(
            gossip_message.to_envelope(gossip_message.GossipMessage(bytes(8)), *HEADER)
        ),
    }
    return found | {
        name: encode_envelope(membership_message.to_envelope(told, *HEADER)) for name, told in rolls().items()
    }


def read_datagram(data: bytes) -> object:
    """As `PeerCoordinator` does: by the kind of its envelope."""
    e = decode_envelope(data, PEER_LIMITS.datagram_bytes)
    if e.kind == MessageKind.MEMBERSHIP:
        return membership_message.read(e)
    return gossip_message.read(e) if e.kind == MessageKind.GOSSIP else lease_message.read(e)


def datagram_outcome(data: bytes) -> str:
    try:
        return f"read: state {digest_of(read_datagram(data))[:16]}"
    except MessageError as problem:
        return f"refused: {problem}"


def test_datagrams_are_written_byte_for_byte_and_read_back() -> None:
    text = "".join(f"{name} {data.hex()}\n" for name, data in datagrams().items())
    committed = golden("datagrams.txt", text.encode()).decode()
    read = {
        name: read_datagram(bytes.fromhex(hexed)) for name, hexed in map(str.split, committed.splitlines())
    }
    assert (read["leases"], read["budgets"]) == (LEASES, BUDGETS)
    assert (read["words"], read["words-greatest"]) == (TOLD, MOST)
    assert (read["roll"], read["roll-one"]) == (rolls()["roll"], rolls()["roll-one"])
    assert read["words-empty"] == gossip_message.GossipMessage(bytes(8))
    assert read["leases-empty"] == LeaseMessage(1, 1)
    assert read["leases-rounded"] == LeaseMessage(1, 2, 0, 0, {1: QuotaRequest(0.004, 1)}, {1: 0.004})
    assert read["leases-greatest"] == LeaseMessage((1 << 48) - 1, (1 << 32) - 1, (1 << 48) - 1, (1 << 32) - 1)


def test_bad_datagrams_are_refused_as_recorded() -> None:
    """Every cut and every changed byte, once as it came and once with a sum that holds again."""
    text = ""
    for name, data in datagrams().items():
        sealed = data[:-4]
        outcomes = {
            "cut": [datagram_outcome(data[:cut]) for cut in range(len(data))],
            "changed": [datagram_outcome(flipped(data, at)) for at in range(len(data))],
            "cut, sum made anew": [datagram_outcome(resealed(sealed[:cut])) for cut in range(len(sealed))],
            "changed by 0x01, sum made anew": [
                datagram_outcome(resealed(flipped(sealed, at))) for at in range(len(sealed))
            ],
            "changed by 0x80, sum made anew": [
                datagram_outcome(resealed(flipped(sealed, at, 0x80))) for at in range(len(sealed))
            ],
        }
        for what, some in outcomes.items():
            text += f"{name} {what}\n{ranges(some)}"
    text += f"too long: {datagram_outcome(bytes(PEER_LIMITS.datagram_bytes + 1))}\n"
    golden("datagrams-bad.txt", text.encode())


def resealed(data: bytes) -> bytes:
    return data + CHECKSUM.pack(zlib.crc32(data))


def test_many_entries_are_paged_as_recorded() -> None:
    """What does not fit into one datagram: leases, evidence and bans, and records of heads."""
    asks = {i * 7919: QuotaRequest((i % 251) / 250, 1 + i % 255) for i in range(400)}
    grants = {i * 104729: (i % 251) / 250 for i in range(300)}
    paged = [
        lease_message.encode(LeaseMessage(1, 1, 0, 0, *page))
        for page in lease_message.paginate(asks, grants, 1200)
    ]
    records = [Member(i, 5 + i, i % 3 == 0, f"10.0.{i // 250}.{i % 250}:1{i:04}") for i in range(300)]
    for page in membership_message.paginate(records, 1200, 3):
        paged.append(
            encode_envelope(
                membership_message.to_envelope(
                    membership_message.MembershipMessage(bytes(8), tuple(page), True), 1, 1, 0, 0
                )
            )
        )
    bans = [Ban(f"server-{i}", i, 1, True) for i in range(100)]
    seen, told = gossip_message.count_fitting(EVIDENCE * 20, bans, 1200)
    message = gossip_message.GossipMessage(bytes(8), (EVIDENCE * 20)[:seen], tuple(bans[:told]))
    paged.append(encode_envelope(gossip_message.to_envelope(message, 1, 1, 0, 0)))
    text = "".join(f"{len(data)} {hashlib.sha256(data).hexdigest()}\n" for data in paged)
    golden("datagrams-paged.txt", text.encode())


# A conversation

HEADS, SERVERS, LENGTH_US = 4, 5, 16 * SECOND


class Conversation:
    """Four heads with all they tell each other, on one clock and a network that delays and loses: three begin
    a group, the fourth joins; a server falls silent, another refuses connections and comes back, one is
    turned away at; an operator puts a server out, and has put back many; the fourth head ends in order."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.now, self.rng, self.sent = 0, random.Random(11), list[tuple[int, int, int, bytes]]()
        self.folder, self.talks, self.fleets = (
            folder,
            dict[int, PeerCoordinator](),
            dict[int, FailureDetector](),
        )
        self._mail: list[tuple[int, int, int, api.Event]] = []
        self._tries: Counter[tuple[int, str]] = Counter()
        self._posted = 0

    def start(self, me: int) -> None:
        net, address = suspicion_simulation.Scenario(instances=HEADS), group_simulation.address
        plan = api.PlanSpec("plan", 1.0, 40.0, 40.0, limit_rate=60.0, limit_burst=60.0)
        s = replace(
            suspicion_simulation.settings(net, me),
            plans={"plan": plan},
            warmup_us=4 * SECOND,
            retry_budget_ratio=0.2,
            retry_budget_floor=4.0,
            retry_budget_window_us=SECOND,
        )
        history = HistoryWriter(str(self.folder / f"n{me}.history"), f"n{me}", 1, lambda: self.now)
        seeds = [address(seed) for seed in range(3)]
        table = Membership(PEER_LIMITS, me, 100 + me, address(me), seeds, self.now)
        self.fleets[me] = FailureDetector(PEER_LIMITS, history=history)
        self.talks[me] = PeerCoordinator(
            Controller(s, me),
            incarnation=100 + me,
            subsystems=PeerSubsystems(
                self.fleets[me],
                MembershipProtocol(PEER_LIMITS, table, history),
                lambda s, life, now: SharedBudgets(PEER_LIMITS, s, life, now),
                history,
            ),
        )
        entries = tuple(
            api.Endpoint(f"n{i}", i, "z", api.EndpointState.UP, started_us=self.now + 1 if i == 4 else 0)
            for i in range(SERVERS)
        )
        self.post(self.now, me, api.EndpointListUpdate(entries, complete=True, at_start=True))

    def post(self, when: int, to: int, event: api.Event) -> None:
        self._posted += 1
        heapq.heappush(self._mail, (when, self._posted, to, event))

    def run(self) -> None:
        for me in range(3):
            self.start(me)
        at, number = 0.0, 0
        while (at := at + self.rng.expovariate(160) * SECOND) < LENGTH_US:
            number += 1
            to, cell = self.rng.randrange(HEADS), self.rng.randrange(SERVERS)
            arrival = api.Arrival(
                f"r{number}", "read", "plan", f"v{number % 2}", "", 1.0, cell, int(at) + SECOND, 2
            )
            self.post(int(at), to, arrival)
        script: list[tuple[int, Callable[[], None]]] = [
            (5 * SECOND, lambda: self.start(3)),
            (9 * SECOND, lambda: self.ban("n2")),
            (
                14 * SECOND,
                lambda: self.talks.pop(3).leave(self.now, lambda data, who: self.tell(3, who, data)),
            ),
        ]
        while self._mail and self._mail[0][0] < LENGTH_US:
            when, _, me, event = heapq.heappop(self._mail)
            while script and script[0][0] <= when:
                self.now = script[0][0]
                script.pop(0)[1]()
            self.now = when
            if me in self.talks:
                for action in self.talks[me].handle(when, [event]):
                    self.act(me, action)
                self.fleets[me].disables.merge_received()

    def ban(self, server: str) -> None:
        bans = DisabledBackends(PEER_LIMITS, self.fleets[0].disables.table.records.values())
        for i in range(60):  # more than one datagram holds: they are told in turn
            bans.set_disabled(
                f"server-{i}-that-was-put-back-long-ago",
                disabled=False,
                instance=0,
                wall_ms=WALL_MS - 1000 + i,
            )
        bans.set_disabled(server, disabled=True, instance=0, wall_ms=WALL_MS)
        self.fleets[0].disables.replace_table(bans)

    def act(self, me: int, action: api.Action) -> None:
        match action:
            case api.WakeAfter(span_us=span, token=token):
                self.post(self.now + max(1, span), me, api.TimerFired(token))
            case api.Send(request=request, backend=node):
                attempt = self._tries[me, request]
                self._tries[me, request] += 1
                outcome, took = self.answer(node)
                over = outcome is api.Outcome.SERVED
                self.post(
                    self.now + took, me, api.Result(request, attempt, node, outcome, took, answered=over)
                )
            case api.SendPeerMessage(payload=payload, recipient=int() as to):
                self.tell(me, to, payload)

    def answer(self, node: str) -> tuple[api.Outcome, int]:
        if node == "n0" and 6 * SECOND <= self.now < 10 * SECOND:
            return api.Outcome.TIMEOUT, SECOND
        if node == "n1" and 7 * SECOND <= self.now < 11 * SECOND:
            return api.Outcome.UNREACHABLE, MS
        if node == "n3" and 12 * SECOND <= self.now < 13 * SECOND:
            return api.Outcome.SERVED, 400 * MS
        return api.Outcome.SERVED, self.rng.randrange(8 * MS, 30 * MS)

    def tell(self, me: int, to: int | None, data: bytes) -> None:
        assert to is not None
        if to >= FIRST_SEED_NUMBER:
            to -= FIRST_SEED_NUMBER
        self.sent.append((self.now, me, to, data))
        if self.rng.random() >= 0.05:
            # Each way has its own delay; few messages overtake others, which makes those too old to count.
            late = self.rng.random() < 0.05
            delay = (5 + 4 * me + to) * MS + (self.rng.randrange(40 * MS) if late else 0)
            self.post(self.now + delay, to, api.PeerMessage(me, data))


def told_so_far(sent: list[tuple[int, int, int, bytes]]) -> Iterator[str]:
    """A line a second: how many messages of each kind by then, and the digest of all of them."""
    digest, kinds = hashlib.sha256(), Counter[int]()
    for second, some in groupby(sent, key=lambda one: one[0] // SECOND):
        for when, me, to, data in some:
            digest.update(f"{when} {me} {to} ".encode() + data)
            kinds[data[1]] += 1
        yield f"second {second}: {sorted(kinds.items())} {digest.hexdigest()}\n"


def test_a_conversation_of_all_kinds_is_as_recorded(tmp_path: pathlib.Path) -> None:
    talk = Conversation(tmp_path)
    talk.run()
    kinds = {data[1] for *_, data in talk.sent}
    assert kinds == {
        MessageKind.LEASES,
        MessageKind.GOSSIP,
        MessageKind.MEMBERSHIP,
        MessageKind.BUDGETS,
    }
    assert all(
        fleet.disables.table.disabled_names == {"n2"} for fleet in talk.fleets.values()
    ), "all heard of the ban"
    text = "".join(told_so_far(talk.sent))
    for me, one in talk.talks.items():
        heard = list(one.last_received or ())
        text += f"head {me}: dropped {sorted(one.dropped.items())}, heard {heard}, said {one.last_sent}\n"
        tables = {
            "limits": one.limit_rows(LENGTH_US),
            "members": one.member_rows(LENGTH_US),
            "verdicts": one.suspicion_rows(LENGTH_US),
            "bans": one.disabled_rows(),
        }
        for name, rows in tables.items():
            text += f"  {name}: {json.dumps([row.as_json() for row in rows])}\n"
    golden("conversation.txt", text.encode())


def test_the_history_of_a_conversation_is_as_recorded(tmp_path: pathlib.Path) -> None:
    """All lines that heads write of what they believe, in their own words: by kind the first ones as they
    stand, and a digest of the whole file."""
    talk = Conversation(tmp_path)
    talk.run()
    text = ""
    for path in sorted(tmp_path.glob("*.history")):
        lines = path.read_text().splitlines(keepends=True)
        first: dict[str, list[str]] = {}
        for line in lines:
            first.setdefault(json.loads(line)["what"], []).append(line)
        text += f"{path.name}: {len(lines)} lines, {hashlib.sha256(path.read_bytes()).hexdigest()}\n"
        text += "".join(line for some in first.values() for line in some[:4])
    for what in ("start", "parts", "shares", "heads", "bans", "doubted", "seen"):
        assert f'"what":"{what}"' in text, f"no head noted {what}"
    golden("conversation.history", text.encode())


def seen_text(seen: Any) -> str:
    numbers = [value for value in plain(seen) if isinstance(value, int | float)]
    return f"{digest_of(seen)} {numbers}\n"


def test_the_emulated_nets_come_to_what_is_recorded() -> None:
    """Each net's whole result, digested: leases, budgets and groups under faults, and verdicts."""
    text = ""
    for seed in (1, 2):
        text += "leases " + seen_text(
            lease_simulation.Simulation(lease_simulation.Scenario(seed, length_us=6 * SECOND)).run()
        )
        net = budget_simulation.BudgetScenario(seed, length_us=6 * SECOND)
        text += "budgets " + seen_text(budget_simulation.BudgetSimulation(net).run())
        text += "group " + seen_text(
            group_simulation.GroupSimulation(group_simulation.GroupScenario(seed)).run()
        )
    for failure in suspicion_simulation.Failure:
        verdicts = suspicion_simulation.Scenario(
            failure=failure, fails_at=2 * SECOND, recovers_at=4 * SECOND, length_us=5 * SECOND
        )
        text += f"verdicts {failure.value} " + seen_text(suspicion_simulation.Simulation(verdicts).run())
    golden("nets.txt", text.encode())


# OTLP


class CollectorConn(EmulatedConnection):
    """Keeps each request as it came, and takes it."""

    server: CollectorServer

    def feed(self, data: bytes | memoryview) -> None:
        self.server.text += bytes(data)
        head, sep, body = self.server.text.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]) if sep else 0
        if sep and len(body) >= length:
            self.server.text = b""
            self.server.calls.append((head, body))
            self.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}")


class CollectorServer(EmulatedServer):
    connection_class = CollectorConn

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.text = b""
        self.calls: list[tuple[bytes, bytes]] = []


def test_otlp_requests_are_written_byte_for_byte() -> None:
    """Two spans and their attempts, one of each outcome, and every kind of metric, as the collector gets
    them. The collector's port and the program's version are left out."""
    w = SimulatedInstance()
    collector = w.server(CollectorServer)
    wall_ns = 1_800_000_000 * 10**9
    setup = TelemetrySetup(collector.address, "/otlp", interval_us=SECOND)
    exporter = Exporter(w.scheduler, setup, ServiceInstance("n1", 7), w.pool, w.limits, lambda: wall_ns)
    began = w.scheduler.now
    attempts = [
        AttemptSummary("b0", "reset", began, began + MS),
        AttemptSummary("b1", "served", began + 2 * MS, 0),
    ]
    exporter.request_ended(ENDED, Served(b"v"), began, began + 30 * MS, attempts)
    exporter.request_ended(ENDED, Rejected(0), began, began + 20 * SECOND, [])
    exporter.request_ended(
        replace(ENDED, request_class="write", cell=None), Failed("é"), began, began + 5 * MS, attempts[:1]
    )
    exporter.gauges = {"clients": lambda: 4, "store.revision": lambda: 0}
    w.run(SECOND, 100 * MS)
    assert [head.split(b" ")[1] for head, _ in collector.calls] == [b"/otlp/v1/traces", b"/otlp/v1/metrics"]
    version = f'"version":"{__version__}"'.encode()
    for (head, body), name in zip(collector.calls, ("traces", "metrics"), strict=True):
        assert f"Content-Length: {len(body)}".encode() in head
        assert version in body
        head = head.replace(collector.address.encode(), b"COLLECTOR")
        head = head.replace(f"Content-Length: {len(body)}".encode(), b"Content-Length: LENGTH")
        golden(f"otlp-{name}.http", head + b"\r\n\r\n" + body.replace(version, b'"version":"VERSION"'))
