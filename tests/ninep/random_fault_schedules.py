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

from garnetlanding.emulator.disk import Tree
from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.ninep.errors import EEXIST, from_number, from_text
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
    """One write of one block. `began` and `end`: by the checker's own clock; `who`: its session."""

    data: bytes
    who: int
    began: int
    end: int = NEVER
    acknowledged: bool = False

    def over(self, other: Write) -> bool:
        """Known to have run after the other: begun after that one's end, or behind it in its session."""
        return self.acknowledged and (
            self.began > other.end or (self.who == other.who and self.began > other.began)
        )


@dataclass
class Place:
    """One block of one file. A write may be what is there at last unless another is known to have run over
    it. One whose end nobody heard may be in work for as long as a file rests, and no longer."""

    ended: list[Write] = field(default_factory=lambda: [Write(bytes(BLOCK), 0, 0, 0, True)])
    out: dict[int, Write] = field(default_factory=dict)  # not yet answered, by number

    @property
    def may(self) -> set[bytes]:
        return {instance.data for instance in (*self.ended, *self.out.values())}

    def end(self, number: int, at: int, acknowledged: bool) -> None:
        if number in self.out:
            self.ended.append(replace(self.out.pop(number), end=at, acknowledged=acknowledged))
            self.ended = [
                instance for instance in self.ended if not any(other.over(instance) for other in self.ended)
            ]


@dataclass
class Out:
    kind: str
    place: tuple[int, int] = (0, 0)
    number: int = 0
    data: bytes = b""
    name: str = ""
    may: frozenset[bytes] = frozenset()


class Client:
    def __init__(self, chaos: Chaos, number: int) -> None:
        self.chaos, self.number = chaos, number
        self.linux = bool(number % 2)
        self.dial()

    def dial(self) -> None:
        self.tool = NinepClient(
            self.chaos.world, attach=False, version=p9l.VERSION if self.linux else p9.VERSION
        )
        self.out: dict[int, Out] = {}
        self.seen = 0
        self.tag = 0
        self.open: set[int] = set()
        self.chaos.sessions += 1
        self.session = self.chaos.sessions
        hello = (
            p9l.Tlattach(0, p9.NOFID, "u", "glossaries", self.number)
            if self.linux
            else p9.Tattach(0, p9.NOFID, str(self.number), "glossaries")
        )
        self.tool.say(p9.encode(p9.NOTAG, p9.Tversion(8192, self.version)))
        self.tool._framer.table = p9.PLAIN | p9l.LINUX
        self.say(hello, Out("attach"))

    @property
    def version(self) -> str:
        return p9l.VERSION if self.linux else p9.VERSION

    def say(self, message: p9.Message, out: Out) -> int:
        self.tag = self.tag % 60000 + 1
        self.out[self.tag] = out
        if self.tool.stream and not self.tool.closed:
            self.tool.stream.write(p9.encode(self.tag, message))
        return self.tag

    def hear(self) -> None:
        """Takes what has come: each tag that is out, once."""
        new = self.tool.answers[self.seen :]
        self.seen = len(self.tool.answers)
        for tag, message in new:
            if tag == p9.NOTAG:
                continue
            assert tag in self.out, f"an answer to tag {tag}, which nobody waits for: {message}"
            self.chaos.answered(self, self.out.pop(tag), message)

    def lost(self) -> None:
        """The connection is gone: of what was out nobody knows the end."""
        for out in self.out.values():
            self.chaos.unknown(out)
        self.out.clear()


class Chaos:
    def __init__(self, seed: int, servers: int = 2, clients: int = 3, offer: str = "") -> None:
        self.random = random.Random(seed)
        tree: Tree = {f"f{i}": bytes(BLOCK * BLOCKS) for i in range(FILES)}
        self.world = NinepInstance(
            servers, access="rw", offer=offer or ("auto" if seed % 2 else p9.VERSION), tree=tree
        )
        disk = self.world.disk
        disk.make(disk.root, "log", 0o100666, "root", flags=DMAPPEND)
        self.world.list(*self.world.boxes[:1])
        self.places: dict[tuple[int, int], Place] = {
            (f, b): Place() for f in range(FILES) for b in range(BLOCKS)
        }
        self.count = self.clock = self.sessions = 0
        self.once: Counter[str] = Counter()
        self.told = Counter[str]()
        self.clients = [Client(self, n + 1) for n in range(clients)]

    # What clients do

    def step(self) -> None:
        client = self.random.choice(self.clients)
        if not client.open and not client.out:
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
        for one in self.clients:
            one.hear()

    def prepare(self, client: Client) -> None:
        """Fids 1 to FILES: open for both; beyond these, one for each new name."""
        for f in range(FILES):
            client.say(p9.Twalk(0, f + 1, (f"f{f}",)), Out("walk"))
        self.wait()
        for f in range(FILES):
            message = p9l.Tlopen(f + 1, p9.ORDWR) if client.linux else p9.Topen(f + 1, p9.ORDWR)
            client.say(message, Out("open", (f, 0)))
        self.wait()

    def fresh(self, prefix: str) -> str:
        self.count += 1
        return f"{prefix}{self.count}"

    def write(self, client: Client) -> None:
        if not client.open or len(client.out) > 20:
            return self.wait()
        if self.random.random() < 0.2:
            self.wait(20 * MS)
        f, b = self.random.choice(sorted(client.open)), self.random.randrange(BLOCKS)
        self.count += 1
        data = b"%d:%d:%016d;" % (f, b, self.count)
        data = (data * BLOCK)[:BLOCK]
        self.clock += 1
        self.places[f, b].out[self.count] = Write(data, client.session, self.clock)
        client.say(p9.Twrite(f + 1, b * BLOCK, data), Out("write", (f, b), self.count, data))

    def read(self, client: Client) -> None:
        if client.open:
            f, b = self.random.choice(sorted(client.open)), self.random.randrange(BLOCKS)
            place = self.places[f, b]
            client.say(p9.Tread(f + 1, b * BLOCK, BLOCK), Out("read", (f, b), may=frozenset(place.may)))

    def create(self, client: Client) -> None:
        name, fid = self.fresh("new"), 1000 + self.count
        client.say(p9.Twalk(0, fid, ()), Out("walk"))
        message = (
            p9l.Tlcreate(fid, name, p9.ORDWR | p9l.L_CREATE | p9l.L_EXCL, 0o666, p9l.NOGID)
            if client.linux
            else p9.Tcreate(fid, name, 0o666, p9.ORDWR)
        )
        client.say(message, Out("create", name=name))
        client.say(p9.Tclunk(fid), Out("clunk"))

    def mkdir(self, client: Client) -> None:
        if client.linux:
            name = self.fresh("dir")
            client.say(p9l.Tmkdir(0, name, 0o777, p9l.NOGID), Out("mkdir", name=name))

    def append(self, client: Client) -> None:
        """Each text once, at the end of a file that is append-only."""
        if not client.linux:
            text, fid = self.fresh("t"), 2000 + self.count
            client.say(p9.Twalk(0, fid, ("log",)), Out("walk"))
            self.wait()
            client.say(p9.Topen(fid, p9.OWRITE), Out("any"))
            self.wait()
            client.say(p9.Twrite(fid, 0, f"<{text}>".encode()), Out("append", name=text))
            client.say(p9.Tclunk(fid), Out("clunk"))

    def remove(self, client: Client) -> None:
        names = sorted(n for n in self.world.disk.root.names if n.startswith(("new", "dir")))
        if names:
            name = self.random.choice(names)
            fid = 3000 + self.count
            self.count += 1
            client.say(p9.Twalk(0, fid, (name,)), Out("walk"))
            self.wait()
            client.say(p9.Tremove(fid), Out("remove", name=name))

    def flush(self, client: Client) -> None:
        self.world.settle()
        client.hear()
        tags = [tag for tag, out in client.out.items() if out.kind in ("write", "read")]
        if tags:
            tag = self.random.choice(tags)
            client.say(p9.Tflush(tag), Out("flush", number=tag))

    def hang_up(self, client: Client) -> None:
        client.tool.close()
        client.hear()
        client.lost()
        client.dial()
        self.wait()

    # What goes wrong

    def fault(self, _client: Client) -> None:
        fault = self.random.choice(FAULTS)
        kind = self.random.choice(FAULTY if fault in ANYWHERE else CHANGES)
        rule = Rule(
            kind,
            fault,
            delay_us=self.random.choice([20, 100, 400]) * MS,
            number=28,
            after=self.random.randrange(2),
        )
        for server in self.world.files:  # at whichever of them it comes to
            server.script.add(rule)
            server.script.rules[:] = [r for r in server.script.rules if r.times][-3:]

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
        for one in self.clients:
            one.hear()

    # What the answers must be

    def answered(self, client: Client, out: Out, message: p9.Message) -> None:
        problem = (
            from_text(message.ename)
            if isinstance(message, p9.Rerror)
            else from_number(message.ecode)
            if isinstance(message, p9l.Rlerror)
            else None
        )
        # A Linux client hears numbers: EIO may have happened.
        unknown = problem is not None and (UNKNOWN in problem.text or problem.number == 5)
        self.told[f"{out.kind} {'ok' if problem is None else 'unknown' if unknown else 'refused'}"] += 1
        match out.kind:
            case "open" if problem is None:
                client.open.add(out.place[0])
            case "write":
                place = self.places[out.place]
                self.clock += 1
                assert problem or isinstance(message, p9.Rwrite) and message.count == BLOCK
                if problem is None or unknown:
                    place.end(out.number, self.clock, problem is None)
                else:
                    place.out.pop(out.number, None)  # told that it did not happen
            case "read" if problem is None:
                assert isinstance(message, p9.Rread)
                place = self.places[out.place]
                assert message.data in out.may | place.may or self.later(
                    out.place, message.data
                ), f"bytes that were never written there: {message.data[:24]!r}"
            case "create" | "mkdir" | "append":
                # Each name is new: who finds it taken has run before.
                assert problem is None or problem.number != EEXIST, f"{out.kind} {out.name} ran twice"
                if problem is None:
                    self.once[out.name] += 1
            case "flush":
                old = client.out.pop(out.number, None)
                if old and old.kind == "write":
                    # Flushed without an answer: as though it had never come.
                    self.places[old.place].out.pop(old.number, None)

    def later(self, place: tuple[int, int], data: bytes) -> bool:
        """Written there at some time while the read was out."""
        node = self.world.disk.find(f"f{place[0]}")
        return any(
            r[0] == "write" and r[1] == node.number and r[2] == place[1] * BLOCK and r[3] == data
            for r in self.world.disk.ran
        )

    def unknown(self, out: Out) -> None:
        if out.kind == "write":
            self.places[out.place].end(out.number, NEVER, False)  # runs on, nobody hears for how long

    def finish(self) -> None:
        """Lets everything come to its end, and looks at the disk."""
        for server in self.world.files:
            server.script.rules.clear()
            server.release()
        for box in self.world.boxes:
            box.state = "SERVING"
        self.world.disk.capacity = 1 << 30
        self.world.list(*self.world.boxes)
        self.wait(5_000 * MS)
        for client in self.clients:
            client.hear()
            assert not client.out, f"never answered: {client.out}"
        assert self.world.core.open_requests == 0
        assert len(self.world.front_9p.order) == 0
        for (f, b), place in self.places.items():
            there = self.world.disk.read(f"f{f}")[b * BLOCK : (b + 1) * BLOCK]
            assert (
                there in place.may
            ), f"file {f}, block {b}: {there[:24]!r}, acknowledged {[m[:24] for m in place.may]}"
        made = Counter(r[1] for r in self.world.disk.ran if r[0] == "make")
        assert all(count == 1 for name, count in made.items() if name != "log"), made.most_common(3)
        assert all(made[name] == 1 for name, n in self.once.items() if n and not name.startswith("t"))
        texts = Counter(self.world.disk.read("log").decode().replace("<", "").split(">")[:-1])
        assert all(n == 1 for n in texts.values()), texts.most_common(3)
        assert all(name in texts for name in self.once if name.startswith("t"))


class Errors(logging.Handler):
    """Keeps what is logged as an error: a defect that a guard has caught."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.seen: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.seen.append(record.getMessage() + (f": {record.exc_info[1]!r}" if record.exc_info else ""))


def run(seed: int, steps: int) -> Chaos:
    """Raises AssertionError when a rule was broken or a defect logged."""
    errors, logger = Errors(), logging.getLogger("garnetlanding")
    logger.addHandler(errors)
    try:
        chaos = Chaos(seed)
        for _ in range(steps):
            chaos.step()
        chaos.finish()
    finally:
        logger.removeHandler(errors)
    assert not errors.seen, errors.seen[:3]
    return chaos
