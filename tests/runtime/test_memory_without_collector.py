"""What connections hold ends with its account, whether or not the garbage collector runs.

Regression: accounts released what a connection had held while its bytes waited on reference cycles for the
collector. Clients that asked for long values and went took an instance over its memory, and it was killed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest

from garnetlanding.core.body import Body
from garnetlanding.core.request import Attempt, Request
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.base import EmulatedServer
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.emulator.faults import Fault, Rule
from garnetlanding.emulator.file_connection import FileConnection
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep.client_session import ClientSession
from garnetlanding.ninep.dispatcher import RequestDispatcher
from garnetlanding.ninep.front import NinepClientProtocol
from garnetlanding.ninep.operations import Operation
from garnetlanding.ninep.pending import PendingRequest
from garnetlanding.resp import codec
from garnetlanding.resp.front import RespClientProtocol
from garnetlanding.resp.pending_reply import PendingReply
from garnetlanding.runtime.backend_connection import BackendConnection
from garnetlanding.runtime.client_connection import ClientConnection
from tests.support.clock import MS, SECOND
from tests.support.held_objects import collector_off, held_marked_bytes, held_objects, marked_data
from tests.support.loopback import fix_kernel_buffers
from tests.support.ninep_changes import writable_instance
from tests.support.ninep_instance import NinepClient, NinepInstance
from tests.support.simulated_instance import SimulatedInstance, read_command

VALUE_BYTES = 60_000
STREAMED_BYTES = 1 << 20
KERNEL_BUFFER_BYTES = 64 << 10
DEAD_CELL = 1  # no backend holds it
REQUEST_OBJECTS = (Request, Attempt, PendingReply, Body)
NINEP_OBJECTS = (
    NinepClientProtocol,
    ClientSession,
    RequestDispatcher,
    PendingRequest,
    Operation,
    Request,
    Attempt,
)


class MarkingBackend(EmulatedBackend):
    """A backend whose values bear the mark; it holds none of them."""

    value_bytes = VALUE_BYTES

    def execute(self, _arguments: list[bytes]) -> bytes:
        self.received.clear()
        value = marked_data(self.value_bytes)
        return b"*3\r\n" + codec.encode_bulk(value) + codec.encode_bulk(b"used=50") + b"$-1\r\n"


class RespInstance(SimulatedInstance):
    """An instance with one backend, and one client."""

    def __init__(self) -> None:
        super().__init__()
        self.backend = self.server(MarkingBackend)
        self.list_endpoints(EmulatedEndpoint("b0", self.backend.address, 0))
        self.listener = self.start_resp_listener()
        self.client = self.connect(self.listener.address)

    def forget_what_the_test_holds(self) -> None:
        self.core.started_attempts.clear()
        self.core.final_answers.clear()
        self.backend.held_commands.clear()
        self.backend.received.clear()
        self.client.received = b""


@pytest.fixture(autouse=True)
def _collector_off() -> Iterator[None]:
    with collector_off():
        yield


def read(number: int, cell: int = 0, deadline_ms: int = 1000) -> bytes:
    return read_command(f"r{number}", d=deadline_ms, cell=cell, key=f"k{number}")


def write(number: int, deadline_ms: int = 1000) -> bytes:
    body = marked_data(VALUE_BYTES)
    return read_command(f"w{number}", d=deadline_ms, verb="BLK.WRITE", key=f"k{number}", body=body)


def evict_largest(instance: SimulatedInstance) -> None:
    budget = instance.pool.budget
    needed_bytes = budget.available_bytes - budget.used_bytes + 1
    if budget.process_account.charge(needed_bytes):
        budget.process_account.release(needed_bytes)
    assert budget.evictions
    instance.settle()


def check_client_connections(*servers: EmulatedServer) -> None:
    """Check that the only accepted connections that still exist are those of the emulated servers."""
    open_at_servers = sum(len(server.connections) for server in servers)
    assert held_objects(ClientConnection)["ClientConnection"] == open_at_servers
    assert not held_objects(RespClientProtocol, NinepClientProtocol, ClientSession)


def check_backend_connections(instance: SimulatedInstance) -> None:
    """Check that the only backend connections that still exist are those that are open."""
    open_connections = instance.resp_upstream.capacity.open_count
    assert held_objects(BackendConnection)["BackendConnection"] == open_connections


def values_behind_an_open_request(instance: RespInstance) -> None:
    instance.client.send_bytes(read(0, cell=DEAD_CELL))
    for number in range(1, 6):
        instance.client.send_bytes(read(number))
    assert instance.pool.budget.used_bytes > 5 * VALUE_BYTES, "the values wait"


def streams_behind_an_open_request(instance: RespInstance) -> None:
    instance.backend.value_bytes = STREAMED_BYTES
    instance.client.send_bytes(read(0, cell=DEAD_CELL) + read(1) + read(2))


def stream_that_is_not_read(instance: RespInstance) -> None:
    instance.backend.value_bytes = STREAMED_BYTES
    assert instance.client.stream
    instance.stop_polling(instance.client.stream._sock)
    fix_kernel_buffers(instance.client.stream._sock, KERNEL_BUFFER_BYTES)
    accepted = instance.accepted_end(instance.listener, instance.client)
    fix_kernel_buffers(accepted.stream._sock, KERNEL_BUFFER_BYTES)
    del accepted
    instance.client.stream.write(read(1))
    instance.settle()
    assert instance.pool.budget.used_bytes > 0, "output that the client does not read"


def writes_in_flight(instance: RespInstance) -> None:
    instance.backend.holds_responses = True
    instance.client.send_bytes(write(1))
    instance.client.send_bytes(write(2))
    assert len(instance.backend.held_commands) == 2


def incomplete_write(instance: RespInstance) -> None:
    instance.client.send_bytes(write(1)[:-10])
    assert instance.pool.budget.used_bytes >= VALUE_BYTES


RESP_HELD: list[Callable[[RespInstance], None]] = [
    values_behind_an_open_request,
    streams_behind_an_open_request,
    stream_that_is_not_read,
    writes_in_flight,
    incomplete_write,
]


def client_goes(instance: RespInstance) -> None:
    instance.client.close()


def client_is_evicted(instance: RespInstance) -> None:
    evict_largest(instance)
    instance.run(SECOND)  # the lingering close


@pytest.mark.parametrize("end", [client_goes, client_is_evicted])
@pytest.mark.parametrize("hold", RESP_HELD)
def test_nothing_is_left_of_a_resp_client_that_has_ended(
    hold: Callable[[RespInstance], None], end: Callable[[RespInstance], None]
) -> None:
    instance = RespInstance()
    hold(instance)
    end(instance)
    check_client_connections(instance.backend)
    instance.backend.close_connections()  # attempts that may run to their end end now
    instance.run(2 * SECOND, 100 * MS)
    instance.forget_what_the_test_holds()
    assert instance.pool.budget.used_bytes == 0
    assert held_marked_bytes() == 0
    assert held_objects(*REQUEST_OBJECTS) == {}
    check_backend_connections(instance)


def test_nothing_is_left_of_requests_that_were_served_while_their_client_stays() -> None:
    instance = RespInstance()
    for number in range(4):
        assert len(instance.client.send_bytes(read(number))) > VALUE_BYTES
        assert len(instance.client.send_bytes(write(number))) > VALUE_BYTES
    instance.backend.value_bytes = STREAMED_BYTES
    assert len(instance.client.send_bytes(read(9))) > STREAMED_BYTES
    instance.forget_what_the_test_holds()
    assert instance.pool.budget.used_bytes == 0
    assert held_marked_bytes() == 0
    assert held_objects(*REQUEST_OBJECTS) == {}


def test_nothing_is_left_of_requests_whose_deadline_has_passed_while_their_client_stays() -> None:
    instance = RespInstance()
    instance.backend.holds_responses = True
    for number in range(3):
        instance.client.send_bytes(write(number, deadline_ms=200))
    instance.run(SECOND)
    assert instance.client.received.count(b"\r\n") == 3
    instance.forget_what_the_test_holds()
    assert instance.pool.budget.used_bytes == 0
    assert held_marked_bytes() == 0
    assert held_objects(*REQUEST_OBJECTS) == {}


def test_nothing_is_left_of_a_request_whose_other_attempt_is_stopped_by_its_own_deadline() -> None:
    """An attempt's timer that is not due yet keeps neither the attempt nor its request."""
    instance = RespInstance()
    instance.client.send_bytes(write(1, deadline_ms=30_000))
    instance.forget_what_the_test_holds()
    assert held_objects(*REQUEST_OBJECTS) == {}


def test_nothing_is_left_of_a_backend_connection_that_ends_in_a_reply() -> None:
    instance = RespInstance()
    partial = b"*3\r\n*4\r\n" + codec.encode_bulk(marked_data(30_000)) * 2
    instance.backend.scripted_responses = [partial] * 4
    instance.client.send_bytes(read(1))
    for _ in range(4):
        instance.backend.close_connections()
        instance.run(SECOND, 100 * MS)
    instance.forget_what_the_test_holds()
    assert instance.pool.budget.used_bytes == 0
    assert held_marked_bytes() == 0
    assert held_objects(*REQUEST_OBJECTS) == {}
    check_backend_connections(instance)


# 9P


def writes_that_wait(instance: NinepInstance, client: NinepClient) -> None:
    """More writes to one file than the client's share: one in flight, the others wait in order."""
    client.open(5, "readme", mode=p9.OWRITE)
    instance.file_servers[0].script.add(Rule(p9.Twrite, Fault.STALL, times=None))
    for tag in range(100, 112):
        client.send(p9.Twrite(5, 0, marked_data(8000)), tag)


def writes_beyond_the_share(instance: NinepInstance, client: NinepClient) -> None:
    """Writes to many files at once: some wait for the client's share of the core."""
    instance.shared_state.admission.record_request(-1, instance.time)  # another client is active
    for fid in range(20, 32):
        client.walk(fid)
        client.request(p9.Tcreate(fid, f"f{fid}", 0o644, p9.OWRITE))
    instance.file_servers[0].script.add(Rule(p9.Twrite, Fault.STALL, times=None))
    for fid in range(20, 32):
        client.send(p9.Twrite(fid, 0, marked_data(8000)), tag=fid)
    assert client.instance.pool.budget.used_bytes > 12 * 8000


def incomplete_message(_instance: NinepInstance, client: NinepClient) -> None:
    client.open(5, "readme", mode=p9.OWRITE)
    client.send_bytes(p9.encode(7, p9.Twrite(5, 0, marked_data(8000)))[:-10])


def ninep_client_goes(_instance: NinepInstance, client: NinepClient) -> None:
    client.close()


def ninep_client_is_evicted(instance: NinepInstance, _client: NinepClient) -> None:
    evict_largest(instance)


def ninep_framing_is_lost(instance: NinepInstance, client: NinepClient) -> None:
    client.send_bytes(b"\x01\x00\x00\x00" * 3000)
    instance.run(SECOND, 100 * MS)
    client.close()


@pytest.mark.parametrize("end", [ninep_client_goes, ninep_client_is_evicted, ninep_framing_is_lost])
@pytest.mark.parametrize("hold", [writes_that_wait, writes_beyond_the_share, incomplete_message])
def test_nothing_is_left_of_a_ninep_client_that_has_ended(
    hold: Callable[[NinepInstance, NinepClient], None], end: Callable[[NinepInstance, NinepClient], None]
) -> None:
    instance, client = writable_instance()
    hold(instance, client)
    end(instance, client)
    forget_what_the_ninep_test_holds(instance)
    assert held_marked_bytes() <= instance.pool.budget.used_bytes, "no more than the accounts say"
    instance.run(SECOND, 50 * MS)
    instance.file_servers[0].close_connections()
    instance.run(3 * SECOND, 100 * MS)
    forget_what_the_ninep_test_holds(instance)
    assert instance.pool.budget.used_bytes == 0
    assert held_marked_bytes() == 0
    assert held_objects(*NINEP_OBJECTS) == {}


def forget_what_the_ninep_test_holds(instance: NinepInstance) -> None:
    instance.core.started_attempts.clear()
    instance.core.final_answers.clear()
    for server in instance.file_servers:
        server.received.clear()
        server.held_messages.clear()
        for connection in server.connections:
            assert isinstance(connection, FileConnection)
            connection._pending.clear()


def test_nothing_is_left_of_ninep_requests_that_were_served_or_flushed_while_their_client_stays() -> None:
    instance, client = writable_instance()
    client.open(5, "readme", mode=p9.ORDWR)
    at_rest = instance.pool.budget.used_bytes  # the fids
    for tag in range(3):
        assert isinstance(client.request(p9.Twrite(5, 0, marked_data(8000)), tag), p9.Rwrite)
        assert isinstance(client.request(p9.Tread(5, 0, 8000), tag), p9.Rread)
    instance.file_servers[0].script.add(Rule(p9.Tread, Fault.STALL, times=None))
    client.send(p9.Tread(5, 0, 8000), tag=9)
    assert isinstance(client.request(p9.Tflush(9), tag=10), p9.Rflush)
    client.replies.clear()
    instance.disk.__dict__.clear()
    forget_what_the_ninep_test_holds(instance)
    assert instance.pool.budget.used_bytes == at_rest
    assert held_marked_bytes() == 0
    assert held_objects(PendingRequest, Operation, Request, Attempt) == {}
