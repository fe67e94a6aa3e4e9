"""An instance in one process: real loopback sockets, a simulated clock, and rule checks on each attempt."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any, TypeVar

from garnetlanding.core.engine import RequestEngine
from garnetlanding.core.ports import (
    Answer,
    AnswerCallback,
    AttemptHandle,
    BackendTransport,
    Failed,
    RequestSpec,
)
from garnetlanding.core.request import Attempt
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller
from garnetlanding.discovery.listing import read_list
from garnetlanding.emulator.base import EmulatedServer
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.limits import Limits
from garnetlanding.resp import codec as resp
from garnetlanding.resp import front as resp_front
from garnetlanding.resp.backend_protocol import create_resp_upstream
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.client_connection import ClientConnection
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import Stream
from tests.support.clock import MS, SECOND, T0
from tests.support.decision_bench import make_settings
from tests.support.loopback import traffic_in_transit
from tests.support.waiting import EventDeadline, wait_until

DELIVERY_WAIT_MS = 1.0
"""Real time that one iteration waits for the kernel to deliver, before what is in transit is read again."""

S = TypeVar("S", bound=EmulatedServer)


class CheckedBackend:
    """A backend that checks the rules when an attempt starts, whatever the protocol behind it."""

    def __init__(self, inner: BackendTransport, core: CheckedRequestEngine) -> None:
        self.inner, self.core = inner, core

    def start(self, attempt: AttemptHandle) -> None:
        assert isinstance(attempt, Attempt)
        attempts = attempt.request.attempts
        out = [a for a in attempts if a.outcome is None]
        assert len(out) <= (
            2 if self.core.settings.parallel_attempts and attempt.request.spec.allow_hedging else 1
        )
        assert out[-1] is attempt
        assert len(attempts) <= self.core.settings.max_attempts
        assert attempt.request.answer is None, "sent after the final answer"
        assert self.core.endpoints.address_of(attempt.backend), "sent to a server that drains or is gone"
        self.core.starts.append(attempt)
        self.inner.start(attempt)

    def stop(self, attempt: AttemptHandle) -> None:
        self.inner.stop(attempt)


class CheckedRequestEngine(RequestEngine):
    """A request engine that fails the test when it breaks a rule, such as a second final answer."""

    starts: list[Attempt]
    finals: list[list[Answer]]

    def submit(self, ask: RequestSpec, backend: BackendTransport, answered: AnswerCallback) -> str:
        finals: list[Answer] = []
        self.finals.append(finals)

        def once(answer: Answer) -> None:
            finals.append(answer)
            assert len(finals) == 1, "two final answers"
            answered(answer)

        return super().submit(ask, CheckedBackend(backend, self), once)


class FakeRequestEngine:
    """Stands in for the engine behind a front: records requests, and the test answers them."""

    def __init__(self) -> None:
        self.items: dict[str, tuple[RequestSpec, AnswerCallback]] = {}
        self.gone: list[str] = []
        self.last, self._count = "", 0
        self.settings = make_settings()

    def submit(self, ask: RequestSpec, _backend: BackendTransport, answered: AnswerCallback) -> str:
        self._count += 1
        self.last = f"i{self._count}"
        self.items[self.last] = ask, answered
        return self.last

    def client_disconnected(self, ticket: str) -> None:
        self.gone.append(ticket)

    def abort(self, ticket: str, why: str) -> None:
        self.items.pop(ticket)[1](Failed(why))


class SimulatedInstance:
    """An instance's parts on a clock that only the test advances. One is open at a time."""

    _open: SimulatedInstance | None = None

    def __init__(self, config: api.Settings | None = None, **limits: int) -> None:
        self.close_open()
        SimulatedInstance._open = self
        self.time: int = T0
        self.limits = replace(Limits(), **limits)
        self.scheduler: Scheduler = Scheduler(lambda: self.time)
        self.pool = BufferPool(self.limits.buffer_bytes, 64, 4096)
        self.core = CheckedRequestEngine(
            Controller(config or make_settings(parallel_attempts=False, max_attempts=4), 1),
            self.scheduler,
            self.limits,
        )
        self.core.starts, self.core.finals = [], []
        self.scheduler.iteration_hooks.append(self.core.run_iteration)
        self.bricks = create_resp_upstream(self.scheduler, self.pool, self.limits)

    @classmethod
    def close_open(cls) -> None:
        """Close the scheduler, and with it the sockets, of the instance that is open, if there is one."""
        if SimulatedInstance._open:
            SimulatedInstance._open.scheduler.close()
            SimulatedInstance._open = None

    def server(self, kind: type[S], **more: Any) -> S:
        """Start a stand-in server of this kind on the simulated clock."""
        return kind(self.scheduler, self.pool, self.limits, **more)

    def front(self) -> Listener:
        """Start a listener for RESP clients."""
        context = resp_front.RespListenerContext(self.core, self.bricks, self.pool, self.limits)
        return Listener(
            self.scheduler,
            "127.0.0.1:0",
            self.pool,
            self.limits,
            self.limits.client_connections,
            lambda write: resp_front.RespClientProtocol(context, write),
        )

    def list(self, *boxes: EmulatedEndpoint, whole: bool = True) -> None:
        """Deliver an endpoint list, or a change to it where `whole` is false."""
        data = {"generation": 1, "reset": whole, "instances": [b.entry() for b in boxes]}
        self.core.update_endpoints(read_list(data, lambda us: us, at_start=whole)[1])
        self.settle()

    def schedulers(self) -> tuple[Scheduler, ...]:
        """Return every event loop that runs on this clock and is not stopped."""
        return (self.scheduler,)

    def run_iteration(self, longest_wait_ms: float) -> bool:
        """Run each event loop once, the first of which may wait; return whether anything happened."""
        first, *others = self.schedulers()
        happened = [first.run_iteration(longest_wait_ms), *(other.run_iteration(0) for other in others)]
        return any(happened)

    def settle(self) -> None:
        """Run until no event loop has anything to do and the kernel has nothing more to deliver."""
        deadline = EventDeadline("an event loop at rest, with nothing in transit between its sockets")
        while True:
            while self.run_iteration(0):
                assert deadline.remaining_s
            in_transit = traffic_in_transit()
            if not in_transit and not self.run_iteration(0):
                return
            if in_transit:
                deadline.event = "; ".join(in_transit)
                self.run_iteration(DELIVERY_WAIT_MS)
            assert deadline.remaining_s

    def run_until(self, condition: Callable[[], bool], event: str) -> None:
        """Run the event loops, without letting simulated time pass, until the condition holds."""
        wait_until(condition, event, lambda: self.run_iteration(DELIVERY_WAIT_MS))

    def run(self, span_us: int, step_us: int = 10 * MS) -> None:
        """Let simulated time pass in steps; sockets are quiet after each."""
        end = self.time + span_us
        self.settle()
        while self.time < end:
            self.time = min(end, self.time + step_us)
            self.settle()

    def stop_polling(self, sock: socket.socket) -> None:
        """Stop waking the task that waits for this socket: it neither reads, writes nor accepts any more."""
        self.scheduler._waits[sock.fileno()].clear()
        self.scheduler._register(sock.fileno())

    @staticmethod
    def accepted_end(listener: Listener, client: LoopbackClient) -> ClientConnection:
        """Return the listener's end of a client's connection."""
        assert client.stream
        address = client.stream._sock.getsockname()
        [accepted] = [one for one in listener._clients if one.stream._sock.getpeername() == address]
        return accepted

    def peer(self, address: str) -> LoopbackClient:
        """Connect a client."""
        return LoopbackClient(self, address)


class LoopbackClient:
    """A client's end of a connection: the bytes received, and whether the other side has closed."""

    def __init__(self, world: SimulatedInstance, address: str, settle: bool = True) -> None:
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
        """Send bytes and return what was received in reply once nothing moves any more."""
        assert self.stream
        before = len(self.got)
        self.stream.write(data)
        self.world.settle()
        return self.got[before:]

    def close(self) -> None:
        """Close the connection, and let the instance notice."""
        assert self.stream
        self.stream.close()
        self.world.settle()


def read_command(  # noqa: PLR0913 - each is a field of the command that some test sets by its name
    id: str = "r1",
    cls: str = "read",
    d: int = 1000,
    cell: int = 0,
    volume: str = "v",
    key: str = "k",
    verb: str = "BLK.READ",
    body: bytes | None = None,
) -> bytes:
    """A read or write command in RESP; `d` is the deadline in milliseconds."""
    words = [
        verb.encode(),
        key.encode(),
        id.encode(),
        f"c={cls},t=gold,d={d},volume={volume},units=2,shard={cell},hosts=1".encode(),
    ]
    return resp.encode_command(words + ([] if body is None else [body]))
