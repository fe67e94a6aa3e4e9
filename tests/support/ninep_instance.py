"""An instance with a 9P front before stand-in file servers, and clients that speak 9P to it."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

from garnetlanding.decision import interface as api
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.emulator.disk import Disk, Tree
from garnetlanding.emulator.fileserver import FileServer
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux
from garnetlanding.ninep.client import file_servers
from garnetlanding.ninep.front import NinepClientProtocol
from garnetlanding.ninep.operation_table import with_unsafe_variants
from garnetlanding.ninep.setup import Export
from garnetlanding.ninep.shared_state import SharedState
from garnetlanding.runtime.listener import Listener
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import (
    make_settings,
)
from tests.support.simulated_instance import (
    LoopbackClient,
    SimulatedInstance,
)

GLOSSARY = b"cat\tkatt\n" * 3000
FILE_TREE: Tree = {"sv": {"law": {"terms": GLOSSARY}, "notes": b"draft"}, "readme": b"hello"}


class NinepClient(LoopbackClient):
    """A 9P client in either dialect; it keeps every reply with its tag."""

    def __init__(
        self,
        world: NinepInstance,
        msize: int = 8192,
        attach: bool = True,
        version: str = p9.VERSION,
        address: str = "",
    ) -> None:
        super().__init__(world, address or world.listener.address)
        self.linux = version == codec_linux.VERSION
        self._framer = p9.Framer(world.pool, 1 << 20)
        self.answers: list[tuple[int, p9.Message]] = []
        if attach:
            assert self.ask(p9.Tversion(msize, version), p9.NOTAG) == p9.Rversion(msize, version)
            hello = (
                codec_linux.Tlattach(0, p9.NOFID, "ann", "glossaries", 1000)
                if self.linux
                else p9.Tattach(0, p9.NOFID, "ann", "glossaries")
            )
            assert isinstance(self.ask(hello), p9.Rattach)

    def _feed(self, data: memoryview) -> None:
        self.answers += self._framer.feed(data)  # type: ignore[arg-type]  # replies are not malformed here

    def send(self, message: p9.Message, tag: int = 1) -> list[tuple[int, p9.Message]]:
        """Send a message and return the replies that arrived, with their tags."""
        before = len(self.answers)
        self._framer.table = codec_linux.LINUX_MESSAGES if self.linux else p9.PLAIN_MESSAGES
        self.say(p9.encode(tag, message))
        return self.answers[before:]

    def ask(self, message: p9.Message, tag: int = 1) -> p9.Message:
        """Send a message and return its one reply."""
        [(answered, reply)] = self.send(message, tag)
        assert answered == tag
        return reply

    def walk(self, fid: int, *names: str) -> None:
        """Walk from the root to a new fid; every step must succeed."""
        walked = self.ask(p9.Twalk(0, fid, names))
        assert isinstance(walked, p9.Rwalk)
        assert len(walked.qids) == len(names)

    def open(self, fid: int, *names: str, mode: int = p9.OREAD) -> None:
        """Walk to a file and open it."""
        self.walk(fid, *names)
        if self.linux:
            assert isinstance(self.ask(codec_linux.Tlopen(fid, mode)), codec_linux.Rlopen)
        else:
            assert isinstance(self.ask(p9.Topen(fid, mode)), p9.Ropen)


class NinepInstance(SimulatedInstance):
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
            with_unsafe_variants(config or make_settings(parallel_attempts=False, max_attempts=4), ["read"]),
            **limits,
        )
        self.disk = Disk(FILE_TREE if tree is None else tree, clock=lambda: self.time)
        self.files = [self.server(FileServer, disk=self.disk) for _ in range(servers)]
        self.boxes = [
            EmulatedEndpoint(f"f{i}", s.address, cells[i], extra={"startedAtMs": 0})
            for i, s in enumerate(self.files)
        ]
        self.nine = file_servers(self.scheduler, self.pool, self.limits, 0, offer)
        exports = {
            "glossaries": Export(
                "glossaries", "v", "gold", "read", 0, 1500 * MS, access=access, change_request_class="read"
            )
        }
        self.front_9p = SharedState(self.core, self.nine, exports, self.pool, self.limits, self.scheduler)
        self.listener: Listener = Listener(
            self.scheduler,
            "127.0.0.1:0",
            self.pool,
            self.limits,
            64,
            lambda write: NinepClientProtocol(self.front_9p, write),
        )
        self.list(self.boxes[0])

    def drained(self, index: int) -> None:
        """List the server as draining."""
        self.boxes[index].state = "DRAINING"
        self.list(self.boxes[index], whole=False)

    def hold(self, kind: type[p9.Message], server: int = 0) -> None:
        """Have the server withhold its replies to messages of this kind."""
        self.files[server].holds_reply = lambda m: isinstance(m, kind)


def received_messages(world: NinepInstance, kind: type[p9.Message], server: int = 0) -> list[Any]:
    """The messages of this kind that the server has received."""
    return [m for m in world.files[server].received if isinstance(m, kind)]


def error_text(reply: p9.Message) -> str:
    """The text of an error reply; any other reply fails the test."""
    assert isinstance(reply, p9.Rerror), reply
    return reply.ename


class SimulatedTransport:
    """The conformance suite's transport to a simulated instance: waiting advances the simulated clock."""

    def __init__(self, world: SimulatedInstance, address: str) -> None:
        self._world, self._peer, self._had = world, LoopbackClient(world, address, settle=False), 0

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
            while len(peer.got) == self._had and not peer.closed and world.scheduler.run_iteration(0):
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
            self._world.scheduler.run_iteration(0)


def run_beside(world: NinepInstance, body: Callable[[], None]) -> None:
    """Run a blocking client in a thread of its own while the event loop runs here."""
    failed: list[BaseException] = []

    def run() -> None:
        try:
            body()
        except BaseException as problem:  # noqa: BLE001 - told to the test
            failed.append(problem)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    world.run_until(lambda: not thread.is_alive(), "the end of the client's thread")
    if failed:
        raise failed[0]
