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
    MemoryHolder,
    RequestSpec,
    Timer,
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


class CheckedTransport:
    """A backend transport that checks the engine's rules at each attempt's start, then passes it on."""

    def __init__(self, inner: BackendTransport, engine: CheckedRequestEngine) -> None:
        self.inner, self.engine = inner, engine

    def start(self, attempt: AttemptHandle) -> None:
        assert isinstance(attempt, Attempt)
        attempts = attempt.request.attempts
        in_flight = [sibling for sibling in attempts if sibling.outcome is None]
        assert len(in_flight) <= (
            2 if self.engine.settings.parallel_attempts and attempt.request.spec.allow_hedging else 1
        )
        assert in_flight[-1] is attempt
        assert len(attempts) <= self.engine.settings.max_attempts
        assert not attempt.request.is_answered, "sent after the final answer"
        assert self.engine.endpoints.address_of(
            attempt.backend
        ), "sent to a backend that is draining or not listed"
        self.engine.started_attempts.append(attempt)
        self.inner.start(attempt)

    def stop(self, attempt: AttemptHandle) -> None:
        self.inner.stop(attempt)


class CheckedRequestEngine(RequestEngine):
    """A request engine that fails the test when it breaks a rule, such as a second final answer."""

    started_attempts: list[Attempt]
    final_answers: list[list[Answer]]
    """The final answers of each request, in the order of submission; at most one each."""

    def submit(
        self,
        spec: RequestSpec,
        transport: BackendTransport,
        on_answer: AnswerCallback,
        account: MemoryHolder | None = None,
    ) -> str:
        answers: list[Answer] = []
        self.final_answers.append(answers)

        def check_and_answer(answer: Answer) -> None:
            answers.append(answer)
            assert len(answers) == 1, "two final answers"
            on_answer(answer)

        return super().submit(spec, CheckedTransport(transport, self), check_and_answer, account)


class FakeTimer:
    """A timer that never fires by itself."""

    def cancel(self) -> None:
        """Do nothing."""


class FakeRequestEngine:
    """A fake engine for the tests of a protocol front: it records requests, and the test answers them."""

    def __init__(self) -> None:
        self.open_requests: dict[str, tuple[RequestSpec, AnswerCallback]] = {}
        self.disconnected: list[str] = []
        self.last_ticket, self._count = "", 0
        self.settings = make_settings()
        self.now = T0
        self.pending_events = 0
        self.timers: list[tuple[int, Callable[[], None]]] = []

    def submit(
        self,
        spec: RequestSpec,
        _transport: BackendTransport,
        on_answer: AnswerCallback,
        _account: MemoryHolder | None = None,
    ) -> str:
        self._count += 1
        self.last_ticket = f"i{self._count}"
        self.open_requests[self.last_ticket] = spec, on_answer
        return self.last_ticket

    def call_at(self, due: int, callback: Callable[[], None]) -> Timer:
        """Record a timer, which the test fires."""
        self.timers.append((due, callback))
        return FakeTimer()

    def client_disconnected(self, ticket: str) -> None:
        self.disconnected.append(ticket)

    def abort(self, ticket: str, reason: str) -> None:
        self.open_requests.pop(ticket)[1](Failed(reason))


class SimulatedInstance:
    """The components of an instance on a simulated clock. Only one instance is open at a time."""

    _open: SimulatedInstance | None = None

    def __init__(self, config: api.Settings | None = None, **limits: int) -> None:
        self.close_open()
        SimulatedInstance._open = self
        self.time: int = T0
        # The clock stands still while a test sends several requests, which may share a connection.
        self.limits = replace(Limits(), **({"backend_rest_us": 0} | limits))
        self.scheduler: Scheduler = Scheduler(lambda: self.time)
        self.pool = BufferPool(self.limits.buffer_bytes, 64, 4096)
        self.core = CheckedRequestEngine(
            Controller(config or make_settings(parallel_attempts=False, max_attempts=4), 1),
            self.scheduler,
            self.limits,
        )
        self.core.started_attempts, self.core.final_answers = [], []
        self.scheduler.iteration_hooks.append(self.core.run_iteration)
        self.resp_upstream = create_resp_upstream(self.scheduler, self.pool, self.limits)

    @classmethod
    def close_open(cls) -> None:
        """Close the scheduler, and with it the sockets, of the instance that is open, if there is one."""
        if SimulatedInstance._open:
            SimulatedInstance._open.scheduler.close()
            SimulatedInstance._open = None

    def server(self, server_type: type[S], **options: Any) -> S:
        """Start an emulated server of this type on the simulated clock."""
        return server_type(self.scheduler, self.pool, self.limits, **options)

    def start_resp_listener(self) -> Listener:
        """Start a listener for RESP clients."""
        context = resp_front.RespListenerContext(self.core, self.resp_upstream, self.pool, self.limits)
        return Listener(
            self.scheduler,
            "127.0.0.1:0",
            self.pool,
            self.limits,
            self.limits.client_connections,
            lambda client: resp_front.RespClientProtocol(context, client, client.account),
        )

    def list_endpoints(self, *endpoints: EmulatedEndpoint, complete: bool = True) -> None:
        """Deliver an endpoint list, or changes of it if `complete` is false."""
        data = {"generation": 1, "reset": complete, "instances": [endpoint.entry() for endpoint in endpoints]}
        self.core.update_endpoints(read_list(data, lambda us: us, at_start=complete)[1])
        self.settle()

    def schedulers(self) -> tuple[Scheduler, ...]:
        """Return every event loop that runs on this clock and is not stopped."""
        return (self.scheduler,)

    def run_iteration(self, max_wait_ms: float) -> bool:
        """Run one iteration of each event loop; only the first may wait. Return whether anything happened."""
        first, *others = self.schedulers()
        happened = [first.run_iteration(max_wait_ms), *(other.run_iteration(0) for other in others)]
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
        """Advance the simulated clock in steps, and settle after each."""
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
        """Return the listener's connection to this client."""
        assert client.stream
        address = client.stream._sock.getsockname()
        [accepted] = [
            connection for connection in listener._clients if connection.stream._sock.getpeername() == address
        ]
        return accepted

    def connect(self, address: str) -> LoopbackClient:
        """Connect a client."""
        return LoopbackClient(self, address)


class LoopbackClient:
    """A client connection; records the bytes received, and whether the connection is closed."""

    def __init__(self, instance: SimulatedInstance, address: str, settle: bool = True) -> None:
        self.instance, self.received, self.closed = instance, b"", False
        self.keeps_open = False  # whether its sending direction stays open after the other side has closed
        self.stream: Stream | None = None
        instance.scheduler.spawn(lambda: self._run(address))
        if settle:
            instance.settle()

    def _run(self, address: str) -> None:
        instance = self.instance
        try:
            self.stream = Stream.connect(
                instance.scheduler, address, instance.pool, instance.limits, instance.time + SECOND
            )
            while self.stream.read(self._feed):
                pass
        except OSError:
            pass
        finally:
            self.closed = True
            if self.stream and not self.keeps_open:
                self.stream.close()

    def _feed(self, data: memoryview) -> None:
        self.received += bytes(data)

    def send_bytes(self, data: bytes) -> bytes:
        """Send bytes, settle, and return the bytes received in the meantime."""
        assert self.stream
        before = len(self.received)
        self.stream.write(data)
        self.instance.settle()
        return self.received[before:]

    def close(self) -> None:
        """Close the connection, and let the instance notice."""
        assert self.stream
        self.stream.close()
        self.instance.settle()


def read_command(  # noqa: PLR0913 - each argument is a field that some test sets by name
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
