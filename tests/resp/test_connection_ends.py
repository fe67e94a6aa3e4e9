"""The ends of client connections: every answer that is there, or still owed, reaches the client first."""

from __future__ import annotations

import pytest

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.resp import codec
from garnetlanding.runtime.client_connection import ClientConnection
from garnetlanding.runtime.listener import Listener
from tests.support.clock import MS, SECOND
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command

LONG_CELL, SHORT_CELL = 0, 1
LONG_VALUE = b"v" * (1 << 20)
SENT_BYTES = 300_000
CUT_SHORT = b"-ERR cut short\r\n"
SHORT_REPLY = codec.encode_bulk(b"short")


def response(value: bytes) -> bytes:
    return b"*3\r\n" + codec.encode_bulk(value) + codec.encode_bulk(b"used=50") + b"$-1\r\n"


class TwoBackends(SimulatedInstance):
    """An instance with a backend of long values, of which it sends the first part, and one of short ones."""

    def __init__(self) -> None:
        super().__init__()
        self.long, self.short = self.server(EmulatedBackend), self.server(EmulatedBackend)
        self.long.scripted_responses = [response(LONG_VALUE)[:SENT_BYTES]]
        self.short.data[b"k"] = b"short"
        self.list_endpoints(
            EmulatedEndpoint("long", self.long.address, LONG_CELL),
            EmulatedEndpoint("short", self.short.address, SHORT_CELL),
        )
        self.listener: Listener = self.start_resp_listener()
        self.client = self.connect(self.listener.address)

    def ask(self, *cells: int, deadline_ms: int = 1400) -> bytes:
        """Send a read to each cell at once; return what comes."""
        commands = [
            read_command(f"r{number}", cell=cell, volume=f"v{number}", d=deadline_ms)
            for number, cell in enumerate(cells)
        ]
        return self.client.send_bytes(b"".join(commands))

    def stop_reading(self, client: LoopbackClient) -> ClientConnection:
        """Let the kernel take nothing more for the client, as if it did not read; return its connection."""
        accepted = self.accepted_end(self.listener, client)
        accepted.stream._is_writing = True
        return accepted

    def send_rest(self) -> None:
        [connection] = self.long.connections
        connection.write(response(LONG_VALUE)[SENT_BYTES:])
        self.settle()


def test_requests_behind_a_value_that_is_cut_short_are_answered() -> None:
    """Regression: the connection was reset, and four answers that were there were lost with it."""
    instance = TwoBackends()
    instance.ask(LONG_CELL, SHORT_CELL, SHORT_CELL)
    instance.long.close_connections()
    instance.settle()
    assert instance.client.received == CUT_SHORT + 2 * SHORT_REPLY
    assert not instance.client.closed
    assert instance.pool.budget.used_bytes == 0


def test_a_client_that_pipelines_gets_a_later_answer_too_if_a_value_before_it_is_cut_short() -> None:
    """Regression: a request that came while the value was collected was lost with the connection."""
    instance = TwoBackends()
    instance.ask(SHORT_CELL, SHORT_CELL)
    instance.client.received = b""
    instance.ask(LONG_CELL)
    instance.client.send_bytes(read_command("later", cell=SHORT_CELL))
    assert instance.client.received == b""
    instance.long.close_connections()
    instance.settle()
    assert instance.client.received == CUT_SHORT + SHORT_REPLY


def test_a_collected_value_is_sent_in_its_turn_once_it_is_whole() -> None:
    instance = TwoBackends()
    assert instance.ask(LONG_CELL, SHORT_CELL) == b""
    assert instance.pool.budget.used_bytes > SENT_BYTES - instance.pool.buffer_bytes, "charged to the client"
    instance.send_rest()
    assert instance.client.received == codec.encode_bulk(LONG_VALUE) + SHORT_REPLY
    assert instance.pool.budget.used_bytes == 0
    assert instance.core.open_requests == 0


def test_a_value_of_a_client_with_one_request_is_sent_as_it_comes() -> None:
    instance = TwoBackends()
    assert len(instance.ask(LONG_CELL)) > SENT_BYTES - 100


@pytest.mark.parametrize(("deadline_ms", "wait_us"), [(1400, SECOND), (600, 500 * MS)])
def test_a_value_that_does_not_get_whole_is_sent_before_its_deadline(deadline_ms: int, wait_us: int) -> None:
    """Its first bytes must come by the deadline, and nothing may be held back for 2 s."""
    instance = TwoBackends()
    instance.ask(LONG_CELL, SHORT_CELL, deadline_ms=deadline_ms)
    instance.run(wait_us - 50 * MS)
    assert instance.client.received == b""
    instance.run(50 * MS)
    assert len(instance.client.received) > SENT_BYTES - 100
    instance.send_rest()
    assert instance.client.received == codec.encode_bulk(LONG_VALUE) + SHORT_REPLY


def test_a_value_is_not_collected_while_memory_is_scarce() -> None:
    instance = TwoBackends()
    budget = instance.pool.budget
    budget.available_bytes = 2 * SENT_BYTES - 100_000
    assert len(instance.ask(LONG_CELL, SHORT_CELL)) > SENT_BYTES - 100
    instance.send_rest()
    assert instance.client.received == codec.encode_bulk(LONG_VALUE) + SHORT_REPLY
    assert budget.evictions == 0


def test_a_client_that_goes_while_it_reads_a_collected_value_leaves_its_backend_connection_open() -> None:
    instance = TwoBackends()
    instance.ask(LONG_CELL, SHORT_CELL)
    instance.stop_reading(instance.client)
    instance.send_rest()
    assert instance.core.open_requests == 1, "the client has not taken all of it"
    instance.client.close()
    assert instance.core.open_requests == 0
    assert len(instance.long.connections) == 1
    assert instance.pool.budget.used_bytes == 0


def test_answers_before_a_value_that_is_cut_short_are_sent_before_the_connection_ends() -> None:
    """Regression: what the client had not read yet was discarded when the value was cut short."""
    instance = TwoBackends()
    client = LoopbackClient(instance, instance.listener.address)
    value = b"e" * 24_000
    instance.long.scripted_responses = [response(LONG_VALUE)[:5000]]  # within the window
    instance.short.data[b"k"] = value
    accepted = instance.stop_reading(client)
    client.send_bytes(read_command("first", cell=SHORT_CELL))
    assert accepted.stream.unsent_bytes, "the first answer is not sent completely"
    client.send_bytes(read_command("long", cell=LONG_CELL, volume="w"))
    instance.long.close_connections()
    instance.settle()
    instance.scheduler.spawn(accepted.stream._write_unsent)
    instance.run(SECOND)
    assert client.received.startswith(codec.encode_bulk(value))
    assert client.received[len(codec.encode_bulk(value)) :].startswith(b"$1048576\r\n")
    assert client.closed


def test_a_connection_that_only_waits_for_its_answers_gets_errors_if_memory_is_short() -> None:
    """Regression: after QUIT, or half a command, an eviction dropped the answers that were still owed."""
    instance = TwoBackends()
    instance.short.holds_responses = True
    instance.ask(SHORT_CELL)
    instance.client.send_bytes(codec.encode_command([b"QUIT"]))
    budget = instance.pool.budget
    assert not budget.process_account.charge(budget.available_bytes)
    instance.run(SECOND)
    assert instance.client.received == b"-ERR out of memory\r\n" * 2
    assert instance.client.closed


def test_a_client_that_reads_is_not_evicted_before_one_that_has_stopped_reading() -> None:
    """Regression: the one that held a little more was closed, whatever its client did."""
    instance = TwoBackends()
    reading, stopped = (LoopbackClient(instance, instance.listener.address) for _ in range(2))
    connections = [instance.stop_reading(client) for client in (reading, stopped)]
    for connection, size in zip(connections, (60_000, 40_000), strict=True):
        connection(bytes(size))
    instance.run(instance.limits.stalled_client_timeout_us)
    connections[0].stream.last_sent_at = instance.time  # the kernel has taken something of its bytes
    budget = instance.pool.budget
    assert budget.process_account.charge(budget.available_bytes - budget.used_bytes + 1)
    instance.settle()
    assert [client.closed for client in (reading, stopped)] == [False, True]
