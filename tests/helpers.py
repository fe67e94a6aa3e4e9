"""A fake clock around one Controller, and short ways to make its events."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import replace
from typing import Any, TypeVar

from garnetlanding.core.engine import RequestEngine
from garnetlanding.core.ports import Answer, AttemptHandle, Backend, Failed, RequestSpec, ResponseCallback
from garnetlanding.core.request import Attempt
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.discovery.listing import read_list
from garnetlanding.emulator.base import Server
from garnetlanding.emulator.discovery import Box
from garnetlanding.emulator.disk import Disk, Tree
from garnetlanding.emulator.fileserver import FileServer
from garnetlanding.limits import Limits
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import linux
from garnetlanding.ninep.client import file_servers
from garnetlanding.ninep.front import ClientMachine
from garnetlanding.ninep.ops import with_twins
from garnetlanding.ninep.setup import Export
from garnetlanding.ninep.shared import Front
from garnetlanding.resp import codec as resp
from garnetlanding.resp import front as resp_front
from garnetlanding.resp.brick import bricks
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import Stream

S = TypeVar("S", bound=Server)

MS = 1000
SECOND = 1_000_000
T0 = 50 * SECOND

READ = api.ClassSpec("read", 2.0, 0.1, 300 * MS, 1500 * MS, api.Effect.SAFE)
WRITE = api.ClassSpec(
    "write", 2.0, 0.1, 500 * MS, 2500 * MS, api.Effect.KEYED, api.DeduplicationScope.CELL, 2000 * MS
)
GOLD = api.PlanSpec("gold", weight=4.0, usual_rate=10.0, reserve_rate=8.0)
TIN = api.PlanSpec("tin", weight=1.0, usual_rate=2.0, reserve_rate=1.0)


def settings(**changes: object) -> api.Settings:
    base: dict[str, object] = dict(
        instances=3,
        instance_id=0,
        tick_us=2 * MS,
        classes={"read": READ, "write": WRITE},
        plans={"gold": GOLD, "tin": TIN},
        poll_endpoints=False,
        max_attempts=3,
        parallel_attempts=True,
        may_cancel=True,
        may_probe=False,
        honors_retry_after=True,
        max_retry_after_us=SECOND,
        warmup_initial_share=0.2,
        warmup_us=16 * SECOND,
        warmup_units=9.0,
        overload_multiple=2.0,
        overload_window_us=2 * SECOND,
        ordered_key_rest_us=0,
        retry_budget_ratio=0.0,
        retry_budget_floor=0.0,
        retry_budget_window_us=0,
        over_quota_value_share=0.4,
        idle_value_share=0.05,
        max_units=6.0,
    )
    return api.Settings(**(base | changes))  # type: ignore[arg-type]


def up(node: str, cell: int, started: int = 0, zone: str = "z") -> api.Endpoint:
    return api.Endpoint(node, cell, zone, api.EndpointState.UP, started)


class Bench:
    """One host on a fake clock; keeps every action with its time."""

    def __init__(self, config: api.Settings, entries: list[api.Endpoint], seed: int = 1) -> None:
        self.c = Controller(config, seed)
        self.now = T0
        self.log: list[tuple[int, api.Action]] = []
        self.wakes: list[int] = []
        self.tell(api.EndpointListUpdate(tuple(entries), whole=True, at_start=True))

    def tell(self, *events: api.Event) -> list[api.Action]:
        actions = self.c.handle(self.now, list(events))
        self.log += [(self.now, a) for a in actions]
        self.wakes += [self.now + a.span_us for a in actions if isinstance(a, api.WakeAfter)]
        return actions

    def run(self, span_us: int) -> list[api.Action]:
        """Lets time pass, waking the host whenever it asked for it."""
        end, seen = self.now + span_us, len(self.log)
        while self.wakes and min(self.wakes) <= end:
            self.now = max(self.now, min(self.wakes))
            self.wakes = [w for w in self.wakes if w > self.now]
            self.tell(api.TimerFired("look"))
        self.now = end
        return [a for _, a in self.log[seen:]]

    def ask(
        self,
        name: str,
        volume: str = "v",
        cell: int = 0,
        units: float = 2,
        plan: str = "gold",
        cls: str = "read",
        key: str = "",
        hosts: int = 1,
        patience: int | None = None,
    ) -> list[api.Action]:
        spec = self.c.settings.classes[cls]
        return self.tell(
            api.Arrival(
                name, cls, plan, volume, key, units, cell, self.now + (patience or spec.deadline_us), hosts
            )
        )

    def end(
        self,
        name: str,
        outcome: api.Outcome = api.Outcome.SERVED,
        attempt: int = 0,
        took: int = 20 * MS,
        over: bool | None = None,
        used: int = 0,
    ) -> list[api.Action]:
        over = outcome is api.Outcome.SERVED if over is None else over
        return self.tell(api.Result(name, attempt, "", outcome, took, over, used))

    def sends(self, name: str | None = None) -> list[api.Send]:
        return [a for _, a in self.log if isinstance(a, api.Send) and name in (None, a.request)]

    def answers(self, name: str) -> list[api.Action]:
        return [a for _, a in self.log if isinstance(a, api.Reject | api.Fail) and a.request == name]


def names(actions: list[api.Action]) -> list[str]:
    return [a.request for a in actions if isinstance(a, api.Send)]


# The head around the module: a fake clock, loopback sockets, stand-in servers, rule checks.


class CheckedBackend:
    """Checks the rules at each attempt's start, whatever the protocol behind it."""

    def __init__(self, inner: Backend, core: CheckedCore) -> None:
        self.inner, self.core = inner, core

    def start(self, trial: AttemptHandle) -> None:
        assert isinstance(trial, Attempt)
        attempts = trial.request.attempts
        out = [a for a in attempts if a.outcome is None]
        assert len(out) <= (
            2 if self.core.settings.parallel_attempts and trial.request.spec.allow_hedging else 1
        )
        assert out[-1] is trial
        assert len(attempts) <= self.core.settings.max_attempts
        assert trial.request.answer is None, "sent after the final answer"
        assert self.core.endpoints.address_of(trial.node), "sent to a server that drains or is gone"
        self.core.starts.append(trial)
        self.inner.start(trial)

    def stop(self, trial: AttemptHandle) -> None:
        self.inner.stop(trial)


class CheckedCore(RequestEngine):
    """A core that fails a test when it breaks a rule."""

    starts: list[Attempt]
    finals: list[list[Answer]]

    def submit(self, ask: RequestSpec, backend: Backend, answered: ResponseCallback) -> str:
        finals: list[Answer] = []
        self.finals.append(finals)

        def once(answer: Answer) -> None:
            finals.append(answer)
            assert len(finals) == 1, "two final answers"
            answered(answer)

        return super().submit(ask, CheckedBackend(backend, self), once)


class FakeCore:
    """Takes items from a front and answers when told to."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[RequestSpec, ResponseCallback]] = {}
        self.gone: list[str] = []
        self.last, self._count = "", 0
        self.settings = settings()

    def submit(self, ask: RequestSpec, backend: Backend, answered: ResponseCallback) -> str:
        self._count += 1
        self.last = f"i{self._count}"
        self.items[self.last] = ask, answered
        return self.last

    def client_disconnected(self, ticket: str) -> None:
        self.gone.append(ticket)

    def abort(self, ticket: str, why: str) -> None:
        self.items.pop(ticket)[1](Failed(why))


class World:
    """A head's parts on a clock that moves only when a test moves it. One world at a time is open."""

    _open: World | None = None

    def __init__(self, config: api.Settings | None = None, **limits: int) -> None:
        if World._open:
            World._open.scheduler.close()
        World._open = self
        self.time: int = T0
        self.limits = replace(Limits(), **limits)
        self.scheduler: Scheduler = Scheduler(lambda: self.time)
        self.pool = BufferPool(self.limits.buffer_bytes, 64, 4096)
        self.core = CheckedCore(
            Controller(config or settings(parallel_attempts=False, max_attempts=4), 1),
            self.scheduler,
            self.limits,
        )
        self.core.starts, self.core.finals = [], []
        self.scheduler.turn_end.append(self.core.run_iteration)
        self.bricks = bricks(self.scheduler, self.pool, self.limits)

    def server(self, kind: type[S], **more: Any) -> S:
        return kind(self.scheduler, self.pool, self.limits, **more)

    def front(self) -> Listener:
        ids: set[bytes] = set()
        return Listener(
            self.scheduler,
            "127.0.0.1:0",
            self.pool,
            self.limits,
            self.limits.client_conns,
            lambda write: resp_front.ClientMachine(
                self.core, self.bricks, self.pool, self.limits, ids, write
            ),
        )

    def list(self, *boxes: Box, whole: bool = True) -> None:
        data = {"generation": 1, "reset": whole, "instances": [b.entry() for b in boxes]}
        self.core.update_endpoints(read_list(data, lambda us: us, at_start=whole)[1])
        self.settle()

    def settle(self) -> None:
        """Until nothing moves any more; loopback sockets have then said all they had to say."""
        quiet = 0
        while quiet < 3:
            quiet = 0 if self.scheduler.turn(1) else quiet + 1

    def run(self, span_us: int, step_us: int = 10 * MS) -> None:
        end = self.time + span_us
        self.settle()
        while self.time < end:
            self.time = min(end, self.time + step_us)
            self.settle()

    def mute(self, fd: int) -> None:
        """Whoever waits on the descriptor never hears of it again."""
        self.scheduler._waits[fd].clear()
        self.scheduler._arm(fd)

    def peer(self, address: str) -> Peer:
        return Peer(self, address)


class Peer:
    """A client's end of a connection: what it got, and whether the other side has closed."""

    def __init__(self, world: World, address: str, settle: bool = True) -> None:
        self.world, self.got, self.closed = world, b"", False
        self.stays = False  # goes on sending when the other side has no more to say
        self.stream: Stream | None = None
        world.scheduler.spawn(lambda: self._run(address))
        if settle:
            world.settle()

    def _run(self, address: str) -> None:
        w = self.world
        try:
            self.stream = Stream.connect(w.scheduler, address, w.pool, w.limits, w.time + SECOND)
            while self.stream.read(self._feed):
                pass
        except OSError:
            pass
        finally:
            self.closed = True
            if self.stream and not self.stays:
                self.stream.close()

    def _feed(self, data: memoryview) -> None:
        self.got += bytes(data)

    def say(self, data: bytes) -> bytes:
        """Sends, and gives back what came in answer once all is quiet."""
        assert self.stream
        before = len(self.got)
        self.stream.write(data)
        self.world.settle()
        return self.got[before:]

    def close(self) -> None:
        assert self.stream
        self.stream.close()
        self.world.settle()


def read_command(
    id: str = "r1",
    cls: str = "read",
    d: int = 1000,
    cell: int = 0,
    volume: str = "v",
    key: str = "k",
    verb: str = "BLK.READ",
    body: bytes | None = None,
) -> bytes:
    words = [
        verb.encode(),
        key.encode(),
        id.encode(),
        f"c={cls},t=gold,d={d},volume={volume},units=2,shard={cell},hosts=1".encode(),
    ]
    return resp.command(words + ([] if body is None else [body]))


# 9P.

GLOSSARY = b"cat\tkatt\n" * 3000
TREE: Tree = {"sv": {"law": {"terms": GLOSSARY}, "notes": b"draft"}, "readme": b"hello"}


class Tool(Peer):
    """An editing tool: speaks 9P and knows which answers it still waits for."""

    def __init__(
        self,
        world: NineWorld,
        msize: int = 8192,
        attach: bool = True,
        version: str = p9.VERSION,
        address: str = "",
    ) -> None:
        super().__init__(world, address or world.listener.address)
        self.linux = version == linux.VERSION
        self._framer = p9.Framer(world.pool, 1 << 20)
        self.answers: list[tuple[int, p9.Message]] = []
        if attach:
            assert self.ask(p9.Tversion(msize, version), p9.NOTAG) == p9.Rversion(msize, version)
            hello = (
                linux.Tlattach(0, p9.NOFID, "ann", "glossaries", 1000)
                if self.linux
                else p9.Tattach(0, p9.NOFID, "ann", "glossaries")
            )
            assert isinstance(self.ask(hello), p9.Rattach)

    def _feed(self, data: memoryview) -> None:
        self.answers += self._framer.feed(data)  # type: ignore[arg-type]

    def send(self, message: p9.Message, tag: int = 1) -> list[tuple[int, p9.Message]]:
        before = len(self.answers)
        self._framer.among = linux.LINUX if self.linux else p9.PLAIN
        self.say(p9.encode(tag, message))
        return self.answers[before:]

    def ask(self, message: p9.Message, tag: int = 1) -> p9.Message:
        [(answered, reply)] = self.send(message, tag)
        assert answered == tag
        return reply

    def walk(self, fid: int, *names: str) -> None:
        walked = self.ask(p9.Twalk(0, fid, names))
        assert isinstance(walked, p9.Rwalk) and len(walked.qids) == len(names)

    def open(self, fid: int, *names: str, mode: int = p9.OREAD) -> None:
        self.walk(fid, *names)
        if self.linux:
            assert isinstance(self.ask(linux.Tlopen(fid, mode)), linux.Rlopen)
        else:
            assert isinstance(self.ask(p9.Topen(fid, mode)), p9.Ropen)


class NineWorld(World):
    """A 9P front before file servers that share one disk."""

    def __init__(
        self,
        servers: int = 1,
        cells: tuple[int, ...] = (0, 0),
        access: str = "ro",
        offer: str = p9.VERSION,
        tree: Tree | None = None,
        config: api.Settings | None = None,
        **limits: int,
    ) -> None:
        super().__init__(
            with_twins(config or settings(parallel_attempts=False, max_attempts=4), ["read"]), **limits
        )
        self.disk = Disk(TREE if tree is None else tree, clock=lambda: self.time)
        self.files = [self.server(FileServer, disk=self.disk) for _ in range(servers)]
        self.boxes = [
            Box(f"f{i}", s.address, cells[i], extra={"startedAtMs": 0}) for i, s in enumerate(self.files)
        ]
        self.nine = file_servers(self.scheduler, self.pool, self.limits, 0, offer)
        exports = {
            "glossaries": Export(
                "glossaries", "v", "gold", "read", 0, 1500 * MS, access=access, change_cls="read"
            )
        }
        self.front_9p = Front(self.core, self.nine, exports, self.pool, self.limits, self.scheduler)
        self.listener: Listener = Listener(
            self.scheduler,
            "127.0.0.1:0",
            self.pool,
            self.limits,
            64,
            lambda write: ClientMachine(self.front_9p, write),
        )
        self.list(self.boxes[0])

    def drained(self, index: int) -> None:
        self.boxes[index].state = "DRAINING"
        self.list(self.boxes[index], whole=False)

    def hold(self, kind: type[p9.Message], server: int = 0) -> None:
        self.files[server].hold = lambda m: isinstance(m, kind)


def heard(world: NineWorld, kind: type[p9.Message], server: int = 0) -> list[Any]:
    return [m for m in world.files[server].heard if isinstance(m, kind)]


def error(reply: p9.Message) -> str:
    assert isinstance(reply, p9.Rerror), reply
    return reply.ename


class WorldWire:
    """A conformance suite's way into a world: its waiting moves the clock."""

    def __init__(self, world: World, address: str) -> None:
        self._world, self._peer, self._had = world, Peer(world, address, settle=False), 0

    def send(self, data: bytes) -> None:
        if self._peer.stream is None:
            self._world.settle()
        if self._peer.stream and not self._peer.closed:
            self._peer.stream.write(data)

    def receive(self, wait_s: float) -> bytes | None:
        world, peer = self._world, self._peer
        until = world.time + int(wait_s * SECOND)
        while True:
            # What is on its way on loopback mostly needs no waiting for; settling is for the rest.
            while len(peer.got) == self._had and not peer.closed and world.scheduler.turn(0):
                pass
            if len(peer.got) == self._had and not peer.closed:
                world.settle()
            if len(peer.got) > self._had:
                data, self._had = peer.got[self._had :], len(peer.got)
                return data
            if peer.closed:
                return b""
            if world.time >= until:
                return None
            world.time = min(until, world.time + 20 * MS)

    def close(self) -> None:
        if self._peer.stream and not self._peer.closed:
            self._peer.stream.close()
            self._world.scheduler.turn(0)


def beside(world: NineWorld, body: Callable[[], None]) -> None:
    """Runs a client that blocks in a thread of its own, while the world turns here."""
    failed: list[BaseException] = []

    def run() -> None:
        try:
            body()
        except BaseException as problem:  # noqa: BLE001 - told to the test
            failed.append(problem)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    turns = 0
    while thread.is_alive():
        world.scheduler.turn(1)
        turns += 1
        assert turns < 200_000, "the client waits for ever"
    if failed:
        raise failed[0]
