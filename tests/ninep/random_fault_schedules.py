"""Random fault schedules for 9P: a seed determines the actions of clients, servers and discovery.

Invariants: each tag gets exactly one reply; each acknowledged write is stored unless a later change of the
block may have been executed; an operation that is not idempotent is executed at most once; no reply has data
of another file. `CheckedRequestEngine` checks the invariants of the core (attempts, drains).
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

BLOCK_BYTES, BLOCKS_PER_FILE, FILE_COUNT = 64, 2, 2  # few blocks, so that changes overlap
FAULTS = list(Fault)
FAULTY_MESSAGES = (
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
CHANGE_MESSAGES = (p9.Twrite, p9.Twrite, p9.Tcreate, p9l.Tlcreate, p9l.Tmkdir)
FAULTS_OF_ANY_MESSAGE = (Fault.STALL, Fault.RESET_BEFORE, Fault.REFUSE, Fault.WRONG_TAG, Fault.WRONG_TYPE)
UNKNOWN_OUTCOME_TEXT = "may have happened"


NEVER = 1 << 62


@dataclass(frozen=True)
class Write:
    """One write of one block by a client session; `began` and `end` are on the checker's logical clock."""

    data: bytes
    session: int
    began: int
    end: int = NEVER
    acknowledged: bool = False

    def ran_after(self, other: Write) -> bool:
        """Whether it certainly ran after the other: it began after its end, or later in the same session."""
        return self.acknowledged and (
            self.began > other.end or (self.session == other.session and self.began > other.began)
        )


@dataclass
class Block:
    """The writes of one block. Each may determine the final contents unless another certainly ran after it.

    A write whose outcome is unknown may run for as long as the path is paused, and no longer.
    """

    ended: list[Write] = field(default_factory=lambda: [Write(bytes(BLOCK_BYTES), 0, 0, 0, True)])
    outstanding: dict[int, Write] = field(default_factory=dict)  # without a reply, by number

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
    block_index: tuple[int, int] = (0, 0)
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
        self.connection = NinepClient(
            self.schedule.instance, attach=False, version=p9l.VERSION if self.linux else p9.VERSION
        )
        self.outstanding: dict[int, OutstandingRequest] = {}
        self.handled_replies = 0
        self.tag = 0
        self.open: set[int] = set()
        self.schedule.sessions += 1
        self.session = self.schedule.sessions
        attach_message = (
            p9l.Tlattach(0, p9.NOFID, "u", "glossaries", self.number)
            if self.linux
            else p9.Tattach(0, p9.NOFID, str(self.number), "glossaries")
        )
        self.connection.send_bytes(p9.encode(p9.NOTAG, p9.Tversion(8192, self.version)))
        self.connection._framer.table = p9.PLAIN_MESSAGES | p9l.LINUX_MESSAGES
        self.send(attach_message, OutstandingRequest("attach"))

    @property
    def version(self) -> str:
        return p9l.VERSION if self.linux else p9.VERSION

    def send(self, message: p9.Message, request: OutstandingRequest) -> int:
        self.tag = self.tag % 60000 + 1
        self.outstanding[self.tag] = request
        if self.connection.stream and not self.connection.closed:
            self.connection.stream.write(p9.encode(self.tag, message))
        return self.tag

    def receive(self) -> None:
        """Process what has arrived: one reply for each outstanding tag."""
        new = self.connection.replies[self.handled_replies :]
        self.handled_replies = len(self.connection.replies)
        for tag, message in new:
            if tag == p9.NOTAG:
                continue
            assert tag in self.outstanding, f"a reply to tag {tag}, which is not outstanding: {message}"
            self.schedule.handle_reply(self, self.outstanding.pop(tag), message)

    def connection_lost(self) -> None:
        """Record that the connection is lost: the outcome of outstanding requests is unknown."""
        for request in self.outstanding.values():
            self.schedule.outcome_unknown(request)
        self.outstanding.clear()


class FaultSchedule:
    def __init__(self, seed: int, servers: int = 2, clients: int = 3, server_dialect: str = "") -> None:
        self.random = random.Random(seed)
        tree: Tree = {f"f{i}": bytes(BLOCK_BYTES * BLOCKS_PER_FILE) for i in range(FILE_COUNT)}
        self.instance = NinepInstance(
            servers,
            access="rw",
            server_dialect=server_dialect or ("auto" if seed % 2 else p9.VERSION),
            tree=tree,
        )
        disk = self.instance.disk
        disk.make(disk.root, "log", 0o100666, "root", InodeExtras(flags=DMAPPEND))
        self.instance.list_endpoints(*self.instance.endpoints[:1])
        self.blocks: dict[tuple[int, int], Block] = {
            (f, b): Block() for f in range(FILE_COUNT) for b in range(BLOCKS_PER_FILE)
        }
        self.last_number = self.logical_time = self.sessions = 0
        self.runs_acknowledged: Counter[str] = Counter()
        self.outcomes = Counter[str]()
        self.clients = [Client(self, n + 1) for n in range(clients)]

    # Actions of clients

    def run_step(self) -> None:
        client = self.random.choice(self.clients)
        if not client.open and not client.outstanding:
            self.open_files(client)
        action = self.random.choices(
            [
                "write",
                "read",
                "create",
                "mkdir",
                "append",
                "remove",
                "flush",
                "inject_fault",
                "disturb_server",
                "idle",
                "disconnect",
            ],
            [36, 16, 8, 5, 8, 5, 10, 16, 3, 6, 1],
        )[0]
        getattr(self, action)(client)
        for client in self.clients:
            client.receive()

    def open_files(self, client: Client) -> None:
        """Open each file for reading and writing, with the fids from 1 to FILE_COUNT."""
        for f in range(FILE_COUNT):
            client.send(p9.Twalk(0, f + 1, (f"f{f}",)), OutstandingRequest("walk"))
        self.wait()
        for f in range(FILE_COUNT):
            message = p9l.Tlopen(f + 1, p9.ORDWR) if client.linux else p9.Topen(f + 1, p9.ORDWR)
            client.send(message, OutstandingRequest("open", (f, 0)))
        self.wait()

    def new_name(self, prefix: str) -> str:
        self.last_number += 1
        return f"{prefix}{self.last_number}"

    def write(self, client: Client) -> None:
        if not client.open or len(client.outstanding) > 20:
            return self.wait()
        if self.random.random() < 0.2:
            self.wait(20 * MS)
        f, b = self.random.choice(sorted(client.open)), self.random.randrange(BLOCKS_PER_FILE)
        self.last_number += 1
        data = b"%d:%d:%016d;" % (f, b, self.last_number)
        data = (data * BLOCK_BYTES)[:BLOCK_BYTES]
        self.logical_time += 1
        self.blocks[f, b].outstanding[self.last_number] = Write(data, client.session, self.logical_time)
        client.send(
            p9.Twrite(f + 1, b * BLOCK_BYTES, data),
            OutstandingRequest("write", (f, b), self.last_number, data),
        )

    def read(self, client: Client) -> None:
        if client.open:
            f, b = self.random.choice(sorted(client.open)), self.random.randrange(BLOCKS_PER_FILE)
            block = self.blocks[f, b]
            client.send(
                p9.Tread(f + 1, b * BLOCK_BYTES, BLOCK_BYTES),
                OutstandingRequest("read", (f, b), possible_contents=frozenset(block.possible_contents)),
            )

    def create(self, client: Client) -> None:
        name, fid = self.new_name("new"), 1000 + self.last_number
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
            name = self.new_name("dir")
            client.send(p9l.Tmkdir(0, name, 0o777, p9l.NOGID), OutstandingRequest("mkdir", name=name))

    def append(self, client: Client) -> None:
        """Append a unique text to an append-only file."""
        if not client.linux:
            text, fid = self.new_name("t"), 2000 + self.last_number
            client.send(p9.Twalk(0, fid, ("log",)), OutstandingRequest("walk"))
            self.wait()
            client.send(p9.Topen(fid, p9.OWRITE), OutstandingRequest("any"))
            self.wait()
            client.send(p9.Twrite(fid, 0, f"<{text}>".encode()), OutstandingRequest("append", name=text))
            client.send(p9.Tclunk(fid), OutstandingRequest("clunk"))

    def remove(self, client: Client) -> None:
        names = sorted(n for n in self.instance.disk.root.names if n.startswith(("new", "dir")))
        if names:
            name = self.random.choice(names)
            fid = 3000 + self.last_number
            self.last_number += 1
            client.send(p9.Twalk(0, fid, (name,)), OutstandingRequest("walk"))
            self.wait()
            client.send(p9.Tremove(fid), OutstandingRequest("remove", name=name))

    def flush(self, client: Client) -> None:
        self.instance.settle()
        client.receive()
        tags = [tag for tag, request in client.outstanding.items() if request.kind in ("write", "read")]
        if tags:
            tag = self.random.choice(tags)
            client.send(p9.Tflush(tag), OutstandingRequest("flush", number=tag))

    def disconnect(self, client: Client) -> None:
        client.connection.close()
        client.receive()
        client.connection_lost()
        client.connect()
        self.wait()

    # Faults

    def inject_fault(self, _client: Client) -> None:
        fault = self.random.choice(FAULTS)
        kind = self.random.choice(FAULTY_MESSAGES if fault in FAULTS_OF_ANY_MESSAGE else CHANGE_MESSAGES)
        rule = Rule(
            kind,
            fault,
            delay_us=self.random.choice([20, 100, 400]) * MS,
            error_number=28,
            after=self.random.randrange(2),
        )
        for server in self.instance.file_servers:  # it takes effect at the server that gets the message
            server.script.add(rule)
            server.script.rules[:] = [r for r in server.script.rules if not r.is_exhausted][-3:]

    def disturb_server(self, _client: Client) -> None:
        instance = self.instance
        at = self.random.randrange(len(instance.file_servers))
        match self.random.randrange(4):
            case 0:
                instance.file_servers[at].release()
            case 1:
                instance.file_servers[at].restart()
            case 2:
                instance.endpoints[at].state = (
                    "DRAINING" if instance.endpoints[at].state == "SERVING" else "SERVING"
                )
                instance.list_endpoints(*instance.endpoints)
            case 3:
                instance.disk.capacity = instance.disk.used if instance.disk.capacity > 1 << 29 else 1 << 30

    def idle(self, _client: Client) -> None:
        self.wait(self.random.choice([1, 10, 60, 400]) * MS)

    def wait(self, span_us: int = 30 * MS) -> None:
        self.instance.run(span_us, step_us=10 * MS)
        for client in self.clients:
            client.receive()

    # Checks

    def handle_reply(self, client: Client, request: OutstandingRequest, message: p9.Message) -> None:
        problem = (
            reply_from_text(message.ename)
            if isinstance(message, p9.Rerror)
            else reply_from_errno(message.ecode)
            if isinstance(message, p9l.Rlerror)
            else None
        )
        # A Linux client gets only error numbers: after EIO the outcome is unknown.
        unknown = problem is not None and (UNKNOWN_OUTCOME_TEXT in problem.text or problem.errno == 5)
        self.outcomes[
            f"{request.kind} {'ok' if problem is None else 'unknown' if unknown else 'refused'}"
        ] += 1
        match request.kind:
            case "open" if problem is None:
                client.open.add(request.block_index[0])
            case "write":
                block = self.blocks[request.block_index]
                self.logical_time += 1
                assert problem or isinstance(message, p9.Rwrite) and message.count == BLOCK_BYTES
                if problem is None or unknown:
                    block.end(request.number, self.logical_time, problem is None)
                else:
                    block.outstanding.pop(request.number, None)  # the reply says that it did not happen
            case "read" if problem is None:
                assert isinstance(message, p9.Rread)
                block = self.blocks[request.block_index]
                assert (
                    message.data in request.possible_contents | block.possible_contents
                    or self.written_since(request.block_index, message.data)
                ), f"bytes that were never written there: {message.data[:24]!r}"
            case "create" | "mkdir" | "append":
                # Each name is unique, so EEXIST means that the operation was executed twice.
                assert problem is None or problem.errno != EEXIST, f"{request.kind} {request.name} ran twice"
                if problem is None:
                    self.runs_acknowledged[request.name] += 1
            case "flush":
                old = client.outstanding.pop(request.number, None)
                if old and old.kind == "write":
                    # Flushed without a reply: the write was never executed.
                    self.blocks[old.block_index].outstanding.pop(old.number, None)

    def written_since(self, block_index: tuple[int, int], data: bytes) -> bool:
        """Return whether the data was written there while the read was in flight."""
        node = self.instance.disk.find(f"f{block_index[0]}")
        return any(
            r[0] == "write" and r[1] == node.number and r[2] == block_index[1] * BLOCK_BYTES and r[3] == data
            for r in self.instance.disk.changes
        )

    def outcome_unknown(self, request: OutstandingRequest) -> None:
        if request.kind == "write":
            self.blocks[request.block_index].end(request.number, NEVER, False)  # may still run

    def finish(self) -> None:
        """Let all requests end, and check the contents of the disk."""
        for server in self.instance.file_servers:
            server.script.rules.clear()
            server.release()
        for box in self.instance.endpoints:
            box.state = "SERVING"
        self.instance.disk.capacity = 1 << 30
        self.instance.list_endpoints(*self.instance.endpoints)
        self.wait(5_000 * MS)
        for client in self.clients:
            client.receive()
            assert not client.outstanding, f"without a reply: {client.outstanding}"
        assert self.instance.core.open_requests == 0
        assert len(self.instance.shared_state.order) == 0
        for (f, b), block in self.blocks.items():
            contents = self.instance.disk.read(f"f{f}")[b * BLOCK_BYTES : (b + 1) * BLOCK_BYTES]
            assert (
                contents in block.possible_contents
            ), f"file {f}, block {b}: {contents[:24]!r}, possible {[m[:24] for m in block.possible_contents]}"
        made = Counter(r[1] for r in self.instance.disk.changes if r[0] == "make")
        assert all(count == 1 for name, count in made.items() if name != "log"), made.most_common(3)
        assert all(
            made[name] == 1 for name, n in self.runs_acknowledged.items() if n and not name.startswith("t")
        )
        texts = Counter(self.instance.disk.read("log").decode().replace("<", "").split(">")[:-1])
        assert all(n == 1 for n in texts.values()), texts.most_common(3)
        assert all(name in texts for name in self.runs_acknowledged if name.startswith("t"))


class ErrorLog(logging.Handler):
    """Records logged errors, which are defects that an exception handler has caught."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.messages.append(record.getMessage() + (f": {record.exc_info[1]!r}" if record.exc_info else ""))


def run_schedule(seed: int, steps: int) -> FaultSchedule:
    """Run a schedule. Raises AssertionError for a violated invariant or a logged error."""
    errors, logger = ErrorLog(), logging.getLogger("garnetlanding")
    logger.addHandler(errors)
    try:
        schedule = FaultSchedule(seed)
        for _ in range(steps):
            schedule.run_step()
        schedule.finish()
    finally:
        logger.removeHandler(errors)
    assert not errors.messages, errors.messages[:3]
    return schedule
