"""Random fault schedules for 9P: clients, file servers and discovery do as a seed says, a checker watches.

What is checked: each tag gets exactly one answer; each acknowledged write is there, byte for byte, unless a
later change of that place may have happened; what may not run twice ran at most once; no answer holds bytes
of another file. The core's own rules (attempts, drains) are checked by `CheckedCore` as everywhere.
"""

from __future__ import annotations

import logging
import random
from collections import Counter
from dataclasses import dataclass, field, replace

from garnetlanding.emulator.disk import InodeExtras, Tree
from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep.errors import EEXIST, reply_from_errno, reply_from_text
from garnetlanding.ninep.model import DMAPPEND
from tests.support.clock import MS
from tests.support.ninep_instance import NinepClient, NinepInstance

BLOCK, BLOCKS, FILES = 64, 2, 2  # few places, so that changes meet
FAULTS = list(Fault)
FAULTY = (
    p9.Twrite,
    p9.Tread,
    p9.Twalk,
    p9.Topen,
    p9l.Tlopen,
    p9.Tcreate,
    p9l.Tlcreate,
    p9.Tremove,
    p9l.Tmkdir,
)
CHANGES = (p9.Twrite, p9.Twrite, p9.Tcreate, p9l.Tlcreate, p9l.Tmkdir)
ANYWHERE = (Fault.STALL, Fault.RESET_BEFORE, Fault.REFUSE, Fault.WRONG_TAG, Fault.WRONG_TYPE)
UNKNOWN = "may have happened"


NEVER = 1 << 62


@dataclass(frozen=True)
class Write:
    """One write of one block, by a client session. `began` and `end`: by the checker's own clock."""

    data: bytes
    session: int
    began: int
    end: int = NEVER
    acknowledged: bool = False

    def ran_after(self, other: Write) -> bool:
        """Known to have run after the other: begun after that one's end, or behind it in its session."""
        return self.acknowledged and (
            self.began > other.end or (self.session == other.session and self.began > other.began)
        )


@dataclass
class Block:
    """One block of one file. A write may be what is there at last unless another is known to have run over
    it. One whose end was not seen may run for as long as a file is paused, and no longer."""

    ended: list[Write] = field(default_factory=lambda: [Write(bytes(BLOCK), 0, 0, 0, True)])
    outstanding: dict[int, Write] = field(default_factory=dict)  # not yet answered, by number

    @property
    def possible_contents(self) -> set[bytes]:
        return {write.data for write in (*self.ended, *self.outstanding.values())}

    def end(self, number: int, at: int, acknowledged: bool) -> None:
        if number in self.outstanding:
            self.ended.append(replace(self.outstanding.pop(number), end=at, acknowledged=acknowledged))
            self.ended = [
                write for write in self.ended if not any(other.ran_after(write) for other in self.ended)
            ]


@dataclass
class OutstandingRequest:
    kind: str
    place: tuple[int, int] = (0, 0)
    number: int = 0
    data: bytes = b""
    name: str = ""
    possible_contents: frozenset[bytes] = frozenset()


class Client:
    def __init__(self, schedule: FaultSchedule, number: int) -> None:
        self.schedule, self.number = schedule, number
        self.linux = bool(number % 2)
        self.connect()

    def connect(self) -> None:
        self.tool = NinepClient(
            self.schedule.world, attach=False, version=p9l.VERSION if self.linux else p9.VERSION
        )
        self.outstanding: dict[int, OutstandingRequest] = {}
        self.seen = 0
        self.tag = 0
        self.open: set[int] = set()
        self.schedule.sessions += 1
        self.session = self.schedule.sessions
        hello = (
            p9l.Tlattach(0, p9.NOFID, "u", "glossaries", self.number)
            if self.linux
            else p9.Tattach(0, p9.NOFID, str(self.number), "glossaries")
        )
        self.tool.say(p9.encode(p9.NOTAG, p9.Tversion(8192, self.version)))
        self.tool._framer.table = p9.PLAIN_MESSAGES | p9l.LINUX_MESSAGES
        self.send(hello, OutstandingRequest("attach"))

    @property
    def version(self) -> str:
        return p9l.VERSION if self.linux else p9.VERSION

    def send(self, message: p9.Message, request: OutstandingRequest) -> int:
        self.tag = self.tag % 60000 + 1
        self.outstanding[self.tag] = request
        if self.tool.stream and not self.tool.closed:
            self.tool.stream.write(p9.encode(self.tag, message))
        return self.tag

    def receive(self) -> None:
        """Process what has arrived: one reply for each outstanding tag."""
        new = self.tool.answers[self.seen :]
        self.seen = len(self.tool.answers)
        for tag, message in new:
            if tag == p9.NOTAG:
                continue
            assert tag in self.outstanding, f"an answer to tag {tag}, which nobody waits for: {message}"
            self.schedule.answered(self, self.outstanding.pop(tag), message)

    def connection_lost(self) -> None:
        """Note that the connection is lost: the end of what was outstanding is not known."""
        for request in self.outstanding.values():
            self.schedule.outcome_unknown(request)
        self.outstanding.clear()


class FaultSchedule:
    def __init__(self, seed: int, servers: int = 2, clients: int = 3, offer: str = "") -> None:
        self.random = random.Random(seed)
        tree: Tree = {f"f{i}": bytes(BLOCK * BLOCKS) for i in range(FILES)}
        self.world = NinepInstance(
            servers, access="rw", offer=offer or ("auto" if seed % 2 else p9.VERSION), tree=tree
        )
        disk = self.world.disk
        disk.make(disk.root, "log", 0o100666, "root", InodeExtras(flags=DMAPPEND))
        self.world.list(*self.world.boxes[:1])
        self.blocks: dict[tuple[int, int], Block] = {
            (f, b): Block() for f in range(FILES) for b in range(BLOCKS)
        }
        self.count = self.clock = self.sessions = 0
        self.runs_acknowledged: Counter[str] = Counter()
        self.outcomes = Counter[str]()
        self.clients = [Client(self, n + 1) for n in range(clients)]

    # What clients do

    def step(self) -> None:
        client = self.random.choice(self.clients)
        if not client.open and not client.outstanding:
            self.prepare(client)
        what = self.random.choices(
            [
                "write",
                "read",
                "create",
                "mkdir",
                "append",
                "remove",
                "flush",
                "fault",
                "server",
                "idle",
                "hang up",
            ],
            [36, 16, 8, 5, 8, 5, 10, 16, 3, 6, 1],
        )[0]
        getattr(self, what.replace(" ", "_"))(client)
        for client in self.clients:
            client.receive()

    def prepare(self, client: Client) -> None:
        """Fids 1 to FILES: open for both; beyond these, one for each new name."""
        for f in range(FILES):
            client.send(p9.Twalk(0, f + 1, (f"f{f}",)), OutstandingRequest("walk"))
        self.wait()
        for f in range(FILES):
            message = p9l.Tlopen(f + 1, p9.ORDWR) if client.linux else p9.Topen(f + 1, p9.ORDWR)
            client.send(message, OutstandingRequest("open", (f, 0)))
        self.wait()

    def fresh(self, prefix: str) -> str:
        self.count += 1
        return f"{prefix}{self.count}"

    def write(self, client: Client) -> None:
        if not client.open or len(client.outstanding) > 20:
            return self.wait()
        if self.random.random() < 0.2:
            self.wait(20 * MS)
        f, b = self.random.choice(sorted(client.open)), self.random.randrange(BLOCKS)
        self.count += 1
        data = b"%d:%d:%016d;" % (f, b, self.count)
        data = (data * BLOCK)[:BLOCK]
        self.clock += 1
        self.blocks[f, b].outstanding[self.count] = Write(data, client.session, self.clock)
        client.send(p9.Twrite(f + 1, b * BLOCK, data), OutstandingRequest("write", (f, b), self.count, data))

    def read(self, client: Client) -> None:
        if client.open:
            f, b = self.random.choice(sorted(client.open)), self.random.randrange(BLOCKS)
            block = self.blocks[f, b]
            client.send(
                p9.Tread(f + 1, b * BLOCK, BLOCK),
                OutstandingRequest("read", (f, b), possible_contents=frozenset(block.possible_contents)),
            )

    def create(self, client: Client) -> None:
        name, fid = self.fresh("new"), 1000 + self.count
        client.send(p9.Twalk(0, fid, ()), OutstandingRequest("walk"))
        message = (
            p9l.Tlcreate(fid, name, p9.ORDWR | p9l.L_CREATE | p9l.L_EXCL, 0o666, p9l.NOGID)
            if client.linux
            else p9.Tcreate(fid, name, 0o666, p9.ORDWR)
        )
        client.send(message, OutstandingRequest("create", name=name))
        client.send(p9.Tclunk(fid), OutstandingRequest("clunk"))

    def mkdir(self, client: Client) -> None:
        if client.linux:
            name = self.fresh("dir")
            client.send(p9l.Tmkdir(0, name, 0o777, p9l.NOGID), OutstandingRequest("mkdir", name=name))

    def append(self, client: Client) -> None:
        """Each text once, at the end of a file that is append-only."""
        if not client.linux:
            text, fid = self.fresh("t"), 2000 + self.count
            client.send(p9.Twalk(0, fid, ("log",)), OutstandingRequest("walk"))
            self.wait()
            client.send(p9.Topen(fid, p9.OWRITE), OutstandingRequest("any"))
            self.wait()
            client.send(p9.Twrite(fid, 0, f"<{text}>".encode()), OutstandingRequest("append", name=text))
            client.send(p9.Tclunk(fid), OutstandingRequest("clunk"))

    def remove(self, client: Client) -> None:
        names = sorted(n for n in self.world.disk.root.names if n.startswith(("new", "dir")))
        if names:
            name = self.random.choice(names)
            fid = 3000 + self.count
            self.count += 1
            client.send(p9.Twalk(0, fid, (name,)), OutstandingRequest("walk"))
            self.wait()
            client.send(p9.Tremove(fid), OutstandingRequest("remove", name=name))

    def flush(self, client: Client) -> None:
        self.world.settle()
        client.receive()
        tags = [tag for tag, request in client.outstanding.items() if request.kind in ("write", "read")]
        if tags:
            tag = self.random.choice(tags)
            client.send(p9.Tflush(tag), OutstandingRequest("flush", number=tag))

    def hang_up(self, client: Client) -> None:
        client.tool.close()
        client.receive()
        client.connection_lost()
        client.connect()
        self.wait()

    # What goes wrong

    def fault(self, _client: Client) -> None:
        fault = self.random.choice(FAULTS)
        kind = self.random.choice(FAULTY if fault in ANYWHERE else CHANGES)
        rule = Rule(
            kind,
            fault,
            delay_us=self.random.choice([20, 100, 400]) * MS,
            error_number=28,
            after=self.random.randrange(2),
        )
        for server in self.world.files:  # at whichever of them it comes to
            server.script.add(rule)
            server.script.rules[:] = [r for r in server.script.rules if not r.is_used_up][-3:]

    def server(self, _client: Client) -> None:
        world = self.world
        at = self.random.randrange(len(world.files))
        match self.random.randrange(4):
            case 0:
                world.files[at].release()
            case 1:
                world.files[at].restart()
            case 2:
                world.boxes[at].state = "DRAINING" if world.boxes[at].state == "SERVING" else "SERVING"
                world.list(*world.boxes)
            case 3:
                world.disk.capacity = world.disk.used if world.disk.capacity > 1 << 29 else 1 << 30

    def idle(self, _client: Client) -> None:
        self.wait(self.random.choice([1, 10, 60, 400]) * MS)

    def wait(self, span_us: int = 30 * MS) -> None:
        self.world.run(span_us, step_us=10 * MS)
        for client in self.clients:
            client.receive()

    # What the answers must be

    def answered(self, client: Client, request: OutstandingRequest, message: p9.Message) -> None:
        problem = (
            reply_from_text(message.ename)
            if isinstance(message, p9.Rerror)
            else reply_from_errno(message.ecode)
            if isinstance(message, p9l.Rlerror)
            else None
        )
        # A Linux client gets numbers only: with EIO it may have happened.
        unknown = problem is not None and (UNKNOWN in problem.text or problem.errno == 5)
        self.outcomes[
            f"{request.kind} {'ok' if problem is None else 'unknown' if unknown else 'refused'}"
        ] += 1
        match request.kind:
            case "open" if problem is None:
                client.open.add(request.place[0])
            case "write":
                block = self.blocks[request.place]
                self.clock += 1
                assert problem or isinstance(message, p9.Rwrite) and message.count == BLOCK
                if problem is None or unknown:
                    block.end(request.number, self.clock, problem is None)
                else:
                    block.outstanding.pop(request.number, None)  # the reply says that it did not happen
            case "read" if problem is None:
                assert isinstance(message, p9.Rread)
                block = self.blocks[request.place]
                assert (
                    message.data in request.possible_contents | block.possible_contents
                    or self.written_since(request.place, message.data)
                ), f"bytes that were never written there: {message.data[:24]!r}"
            case "create" | "mkdir" | "append":
                # Each name is new: who finds it taken has run before.
                assert problem is None or problem.errno != EEXIST, f"{request.kind} {request.name} ran twice"
                if problem is None:
                    self.runs_acknowledged[request.name] += 1
            case "flush":
                old = client.outstanding.pop(request.number, None)
                if old and old.kind == "write":
                    # Flushed without an answer: as though it had never come.
                    self.blocks[old.place].outstanding.pop(old.number, None)

    def written_since(self, place: tuple[int, int], data: bytes) -> bool:
        """Return whether the data was written there while the read was in flight."""
        node = self.world.disk.find(f"f{place[0]}")
        return any(
            r[0] == "write" and r[1] == node.number and r[2] == place[1] * BLOCK and r[3] == data
            for r in self.world.disk.ran
        )

    def outcome_unknown(self, request: OutstandingRequest) -> None:
        if request.kind == "write":
            self.blocks[request.place].end(request.number, NEVER, False)  # may run on for an unknown time

    def finish(self) -> None:
        """Let all requests end, and check what is on the disk."""
        for server in self.world.files:
            server.script.rules.clear()
            server.release()
        for box in self.world.boxes:
            box.state = "SERVING"
        self.world.disk.capacity = 1 << 30
        self.world.list(*self.world.boxes)
        self.wait(5_000 * MS)
        for client in self.clients:
            client.receive()
            assert not client.outstanding, f"never answered: {client.outstanding}"
        assert self.world.core.open_requests == 0
        assert len(self.world.front_9p.order) == 0
        for (f, b), block in self.blocks.items():
            contents = self.world.disk.read(f"f{f}")[b * BLOCK : (b + 1) * BLOCK]
            assert (
                contents in block.possible_contents
            ), f"file {f}, block {b}: {contents[:24]!r}, possible {[m[:24] for m in block.possible_contents]}"
        made = Counter(r[1] for r in self.world.disk.ran if r[0] == "make")
        assert all(count == 1 for name, count in made.items() if name != "log"), made.most_common(3)
        assert all(
            made[name] == 1 for name, n in self.runs_acknowledged.items() if n and not name.startswith("t")
        )
        texts = Counter(self.world.disk.read("log").decode().replace("<", "").split(">")[:-1])
        assert all(n == 1 for n in texts.values()), texts.most_common(3)
        assert all(name in texts for name in self.runs_acknowledged if name.startswith("t"))


class Errors(logging.Handler):
    """Keeps what is logged as an error: a defect that a guard has caught."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.seen: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.seen.append(record.getMessage() + (f": {record.exc_info[1]!r}" if record.exc_info else ""))


def run(seed: int, steps: int) -> FaultSchedule:
    """Raises AssertionError when a rule was broken or a defect logged."""
    errors, logger = Errors(), logging.getLogger("garnetlanding")
    logger.addHandler(errors)
    try:
        schedule = FaultSchedule(seed)
        for _ in range(steps):
            schedule.step()
        schedule.finish()
    finally:
        logger.removeHandler(errors)
    assert not errors.seen, errors.seen[:3]
    return schedule
