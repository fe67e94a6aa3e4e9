"""Stateful property test: the 9P protocol of a client connection against a model of its session."""

from __future__ import annotations

from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from garnetlanding.core.ports import Answer, Failed, Rejected, Served
from garnetlanding.limits import MS, Limits
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep.fids import resolve_walk
from garnetlanding.ninep.front import NinepClientProtocol
from garnetlanding.ninep.model import FileAttributes
from garnetlanding.ninep.operations import Attach, Open, Read, Stat, Walk
from garnetlanding.ninep.session import OpenFile
from garnetlanding.ninep.setup import Export
from garnetlanding.ninep.shared_state import SharedState
from garnetlanding.ninep.stat_format import pack_stat
from garnetlanding.runtime.buffers import BufferPool
from tests.support.simulated_instance import FakeRequestEngine

FIDS, TAGS = st.integers(0, 2), st.integers(0, 4)
NAMES = st.lists(st.sampled_from(["a", "b", ".."]), max_size=3).map(tuple)
QID, DIR = p9.Qid(0, 0, 1), p9.Qid(p9.QTDIR, 0, 2)
REJECTED = Rejected(250 * MS), p9.Rerror("busy; come again after 250 ms")


class SessionModel(RuleBasedStateMachine):
    """The model keeps the path and open state of each fid, and the message of each tag in flight."""

    def __init__(self) -> None:
        super().__init__()
        self.core = FakeRequestEngine()
        pool, exports = BufferPool(64, 4, 1 << 12), {"x": Export("x", "v", "gold", "read", 0, 1000 * MS)}
        self.framer = p9.Framer(pool, 1 << 16)
        self.received: list[tuple[int, object]] = []
        clock = SimpleNamespace(now=0)
        shared = SharedState(self.core, None, exports, pool, Limits(), clock)  # type: ignore[arg-type]  # no backends are needed
        self.protocol = NinepClientProtocol(shared, self.write)
        self.fids: dict[int, tuple[p9.Qid, tuple[str, ...], bool]] = {}
        self.in_flight: dict[int, tuple[str, p9.Message]] = {}  # tag: ticket and message
        self.disconnected: list[str] = []
        self.send_and_expect(p9.NOTAG, p9.Tversion(8192, "9P2000"), p9.Rversion(8192, "9P2000"))
        self.attach(0, 0)
        self.finish(0, "served")

    def write(self, data: bytes) -> None:
        self.received += self.framer.feed(data)

    def send_and_expect(
        self, tag: int, message: p9.Message, expected: p9.Message | None, *before: tuple[int, p9.Message]
    ) -> None:
        """Send the message in two segments, and check that exactly the expected replies arrive at once."""
        data, self.received = p9.encode(tag, message), []
        self.protocol.feed(data[:5])
        self.protocol.feed(data[5:])
        replies = [*before, *([(tag, expected)] if expected else [])]
        assert [
            (t, m if not isinstance(m, p9.Rerror) or m in dict(replies).values() else p9.Rerror(""))
            for t, m in self.received
        ] == replies

    def request(self, tag: int, message: p9.Message, valid: bool, at_once: p9.Message | None = None) -> None:
        """Send a message that is rejected, is answered at once, or results in one request to the core."""
        requests_before = len(self.core.open_requests)
        expected = at_once if valid and tag not in self.in_flight else p9.Rerror("")
        if valid and tag not in self.in_flight and at_once is None:
            expected = None
        self.send_and_expect(tag, message, expected)
        assert len(self.core.open_requests) == requests_before + (expected is None), "one request, or none"
        if expected is None:
            self.in_flight[tag] = self.core.last_ticket, message

    def is_unused(self, fid: int) -> bool:
        return fid not in self.fids and all(
            getattr(m, "newfid", None) != fid and not (isinstance(m, p9.Tattach) and m.fid == fid)
            for _, m in self.in_flight.values()
        )

    def is_usable(self, fid: int) -> bool:
        return fid in self.fids and not any(
            isinstance(m, p9.Topen) and m.fid == fid or isinstance(m, p9.Twalk) and m.fid == m.newfid == fid
            for _, m in self.in_flight.values()
        )

    @rule(tag=TAGS, fid=FIDS)
    def attach(self, tag: int, fid: int) -> None:
        self.request(tag, p9.Tattach(fid, p9.NOFID, "u", "x"), self.is_unused(fid))

    @rule(tag=TAGS, fid=FIDS, newfid=FIDS, names=NAMES)
    def walk(self, tag: int, fid: int, newfid: int, names: tuple[str, ...]) -> None:
        valid = self.is_usable(fid) and not self.fids[fid][2] and (fid == newfid or self.is_unused(newfid))
        clone = valid and not names and tag not in self.in_flight
        self.request(tag, p9.Twalk(fid, newfid, names), valid, p9.Rwalk(()) if not names else None)
        if clone:
            self.fids[newfid] = self.fids[fid]

    @rule(tag=TAGS, fid=FIDS, mode=st.sampled_from([p9.OREAD, p9.OEXEC, 1, 64]))
    def open(self, tag: int, fid: int, mode: int) -> None:
        valid = self.is_usable(fid) and not self.fids[fid][2] and mode in (p9.OREAD, p9.OEXEC)
        self.request(tag, p9.Topen(fid, mode), valid)

    @rule(tag=TAGS, fid=FIDS, count=st.integers(0, 9000))
    def read(self, tag: int, fid: int, count: int) -> None:
        valid = self.is_usable(fid) and self.fids[fid][2]
        self.request(tag, p9.Tread(fid, 0, count), valid, None if count else p9.Rread(b""))

    @rule(tag=TAGS, fid=FIDS)
    def stat(self, tag: int, fid: int) -> None:
        self.request(tag, p9.Tstat(fid), self.is_usable(fid))

    @rule(tag=TAGS, fid=FIDS, remove=st.booleans())
    def clunk(self, tag: int, fid: int, remove: bool) -> None:
        message = p9.Tremove(fid) if remove else p9.Tclunk(fid)
        if tag in self.in_flight or fid not in self.fids:
            self.send_and_expect(tag, message, p9.Rerror(""))
            return
        using_fid = [
            t
            for t, (_, m) in self.in_flight.items()
            if getattr(m, "fid", None) == fid
            and not isinstance(m, p9.Tattach)
            and not (isinstance(m, p9.Twalk) and m.newfid != fid)
        ]
        self.send_and_expect(
            tag, message, p9.Rerror("") if remove else p9.Rclunk(), *((t, p9.Rerror("")) for t in using_fid)
        )
        for t in using_fid:
            self.disconnected.append(self.in_flight.pop(t)[0])
        del self.fids[fid]

    @rule(tag=st.integers(10, 12), old=TAGS)
    def flush(self, tag: int, old: int) -> None:
        self.send_and_expect(tag, p9.Tflush(old), p9.Rflush())
        if old in self.in_flight:
            self.disconnected.append(self.in_flight.pop(old)[0])

    @rule(msize=st.sampled_from([4096, 8192]), skipped=st.integers(0, 7))
    def version(self, msize: int, skipped: int) -> None:
        if skipped:  # rarely reset the session, so that it reaches many states
            return
        self.send_and_expect(p9.NOTAG, p9.Tversion(msize, "9P2000"), p9.Rversion(msize, "9P2000"))
        self.disconnected += [ticket for ticket, _ in self.in_flight.values()]
        self.in_flight, self.fids = {}, {}

    @precondition(lambda self: bool(self.in_flight))
    @rule(data=st.data(), kind=st.sampled_from(["served", "served", "short", "refused", "failed"]))
    def answer(self, data: st.DataObject, kind: str) -> None:
        self.finish(data.draw(st.sampled_from(sorted(self.in_flight))), kind)

    def finish(self, tag: int, kind: str) -> None:
        ticket, message = self.in_flight.pop(tag)
        spec, on_answer = self.core.open_requests.pop(ticket)
        answer: Answer
        expected: p9.Message
        if kind in ("served", "short"):
            answer, expected = self.result_and_reply(spec.operation, message, kind == "short")
        elif kind == "refused":
            answer, expected = REJECTED
        else:
            answer, expected = Failed("gave up"), p9.Rerror("gave up")
        self.received = []
        on_answer(answer)
        assert self.received == [(tag, expected)]

    def result_and_reply(
        self, operation: object, message: p9.Message, short: bool
    ) -> tuple[Answer, p9.Message]:
        match operation, message:
            case Attach(), p9.Tattach(fid):
                self.fids[fid] = DIR, (), False
                return Served(DIR), p9.Rattach(DIR)
            case Walk(path=path, names=names), p9.Twalk(_, newfid):
                qids = (QID,) * (len(names) - short)
                if not short:
                    self.fids[newfid] = QID, resolve_walk(path, names), False
                return Served(qids), p9.Rwalk(qids)
            case Open(), p9.Topen(fid):
                self.fids[fid] = QID, self.fids[fid][1], True
                return Served(OpenFile(1, QID, 0)), p9.Ropen(QID, self.protocol.msize - 24)
            case Read(count=count), _:
                data = b"x" * min(count, 10)
                return Served(data), p9.Rread(data)
            case Stat(path=path), _:
                attr = FileAttributes(QID, 0o100644)
                return Served(attr), p9.Rstat(pack_stat(path[-1] if path else "/", attr))
        raise AssertionError(operation)

    @invariant()
    def protocol_agrees_with_the_model(self) -> None:
        fids = {f: (at.qid, at.path, at.open_mode is not None) for f, at in self.protocol.fids.items()}
        assert fids == self.fids
        assert self.protocol.pending_responses == len(self.in_flight)
        assert sorted(self.core.disconnected) == sorted(self.disconnected)

    def teardown(self) -> None:
        self.protocol.close()
        assert sorted(self.core.disconnected) == sorted(
            self.disconnected + [t for t, _ in self.in_flight.values()]
        )


TestSessionModel = SessionModel.TestCase
TestSessionModel.settings = settings(max_examples=150, stateful_step_count=60)
