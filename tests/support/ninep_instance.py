"""A simulated instance with a 9P listener and emulated file servers, and 9P clients that connect to it."""

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
from garnetlanding.ninep.client import create_upstream
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
    """A 9P client for either dialect; it records every reply with its tag."""

    def __init__(
        self,
        instance: NinepInstance,
        msize: int = 8192,
        attach: bool = True,
        version: str = p9.VERSION,
        address: str = "",
    ) -> None:
        super().__init__(instance, address or instance.listener.address)
        self.linux = version == codec_linux.VERSION
        self._framer = p9.Framer(instance.pool, 1 << 20)
        self.replies: list[tuple[int, p9.Message]] = []
        if attach:
            assert self.request(p9.Tversion(msize, version), p9.NOTAG) == p9.Rversion(msize, version)
            attach_message = (
                codec_linux.Tlattach(0, p9.NOFID, "ann", "glossaries", 1000)
                if self.linux
                else p9.Tattach(0, p9.NOFID, "ann", "glossaries")
            )
            assert isinstance(self.request(attach_message), p9.Rattach)

    def _feed(self, data: memoryview) -> None:
        self.replies += self._framer.feed(data)  # type: ignore[arg-type]  # replies are not malformed here

    def send(self, message: p9.Message, tag: int = 1) -> list[tuple[int, p9.Message]]:
        """Send a message and return the replies that arrived, with their tags."""
        before = len(self.replies)
        self._framer.table = codec_linux.LINUX_MESSAGES if self.linux else p9.PLAIN_MESSAGES
        self.send_bytes(p9.encode(tag, message))
        return self.replies[before:]

    def request(self, message: p9.Message, tag: int = 1) -> p9.Message:
        """Send a message and return its one reply."""
        [(answered, reply)] = self.send(message, tag)
        assert answered == tag
        return reply

    def walk(self, fid: int, *names: str) -> None:
        """Walk from the root to a new fid; every name must exist."""
        walked = self.request(p9.Twalk(0, fid, names))
        assert isinstance(walked, p9.Rwalk)
        assert len(walked.qids) == len(names)

    def open(self, fid: int, *names: str, mode: int = p9.OREAD) -> None:
        """Walk to a file and open it."""
        self.walk(fid, *names)
        if self.linux:
            assert isinstance(self.request(codec_linux.Tlopen(fid, mode)), codec_linux.Rlopen)
        else:
            assert isinstance(self.request(p9.Topen(fid, mode)), p9.Ropen)


class NinepInstance(SimulatedInstance):
    """An instance with a 9P listener, and file servers that share one disk."""

    def __init__(
        self,
        servers: int = 1,
        cells: tuple[int, ...] = (0, 0),
        access: str = "ro",
        server_dialect: str = p9.VERSION,
        tree: Tree | None = None,
        config: api.Settings | None = None,
        **limits: int,
    ) -> None:
        super().__init__(
            with_unsafe_variants(config or make_settings(parallel_attempts=False, max_attempts=4), ["read"]),
            **limits,
        )
        self.disk = Disk(FILE_TREE if tree is None else tree, clock=lambda: self.time)
        self.file_servers = [self.server(FileServer, disk=self.disk) for _ in range(servers)]
        self.endpoints = [
            EmulatedEndpoint(f"f{i}", server.address, cells[i], extra={"startedAtMs": 0})
            for i, server in enumerate(self.file_servers)
        ]
        self.upstream = create_upstream(self.scheduler, self.pool, self.limits, 0, server_dialect)
        exports = {
            "glossaries": Export(
                "glossaries", "v", "gold", "read", 0, 1500 * MS, access=access, change_request_class="read"
            )
        }
        self.shared_state = SharedState(
            self.core, self.upstream, exports, self.pool, self.limits, self.scheduler
        )
        self.listener: Listener = Listener(
            self.scheduler,
            "127.0.0.1:0",
            self.pool,
            self.limits,
            64,
            lambda client: NinepClientProtocol(self.shared_state, client, client.account),
        )
        self.list_endpoints(self.endpoints[0])

    def drain_server(self, index: int) -> None:
        """List the server as draining."""
        self.endpoints[index].state = "DRAINING"
        self.list_endpoints(self.endpoints[index], complete=False)

    def withhold_replies(self, kind: type[p9.Message], server: int = 0) -> None:
        """Make the server withhold its replies to messages of this type."""
        self.file_servers[server].holds_reply = lambda message: isinstance(message, kind)


def received_messages(instance: NinepInstance, kind: type[p9.Message], server: int = 0) -> list[Any]:
    """Return the messages of this type that the server has received."""
    return [message for message in instance.file_servers[server].received if isinstance(message, kind)]


def error_text(reply: p9.Message) -> str:
    """Return the text of an error reply; any other reply fails the test."""
    assert isinstance(reply, p9.Rerror), reply
    return reply.ename


class SimulatedTransport:
    """The conformance suite's transport to a simulated instance: waiting advances the simulated clock."""

    def __init__(self, instance: SimulatedInstance, address: str) -> None:
        self._instance = instance
        self._connection = LoopbackClient(instance, address, settle=False)
        self._received_bytes = 0

    def send(self, data: bytes) -> None:
        if self._connection.stream is None:
            self._instance.settle()
        if self._connection.stream and not self._connection.closed:
            self._connection.stream.write(data)

    def receive(self, wait_s: float) -> bytes | None:
        instance, connection = self._instance, self._connection
        until = instance.time + int(wait_s * SECOND)
        while True:
            # Data on loopback mostly arrives without waiting; settle() covers the rest.
            while (
                len(connection.received) == self._received_bytes
                and not connection.closed
                and instance.scheduler.run_iteration(0)
            ):
                pass
            if len(connection.received) == self._received_bytes and not connection.closed:
                instance.settle()
            if len(connection.received) > self._received_bytes:
                data, self._received_bytes = (
                    connection.received[self._received_bytes :],
                    len(connection.received),
                )
                return data
            if connection.closed:
                return b""
            if instance.time >= until:
                return None
            instance.time = min(until, instance.time + 20 * MS)

    def close(self) -> None:
        if self._connection.stream and not self._connection.closed:
            self._connection.stream.close()
            self._instance.scheduler.run_iteration(0)


def run_beside(instance: NinepInstance, blocking_client: Callable[[], None]) -> None:
    """Run a blocking client in a thread of its own while the event loop runs here."""
    errors: list[BaseException] = []

    def run() -> None:
        try:
            blocking_client()
        except BaseException as error:  # noqa: BLE001 - raised in the test's thread below
            errors.append(error)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    instance.run_until(lambda: not thread.is_alive(), "the end of the client's thread")
    if errors:
        raise errors[0]
