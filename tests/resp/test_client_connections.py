"""RESP client connections: closing, limits, eviction."""

from __future__ import annotations

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.limits import MS
from garnetlanding.resp import codec
from tests.support.decision_bench import make_settings
from tests.support.resp import PING
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command


def test_the_attempt_of_a_client_that_closes_is_stopped() -> None:
    instance = SimulatedInstance()
    backend = instance.server(EmulatedBackend)
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    backend.scripted_responses = [None]
    peer = instance.connect(instance.start_resp_listener().address)
    peer.send_bytes(read_command())
    assert len(backend.held_commands) == 1
    peer.close()
    assert instance.core.open_requests == 0
    assert not backend.connections
    assert instance.core.final_answers == [[]]


def test_a_client_that_stalls_in_sending_or_reading_is_closed() -> None:
    instance = SimulatedInstance(buffer_bytes=512, unsent_bytes=20_000)
    backend = instance.server(EmulatedBackend)
    backend.data[b"k"] = b"x" * 60_000
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    front = instance.start_resp_listener()
    incomplete = instance.connect(front.address)
    incomplete.send_bytes(read_command()[:-5])
    instance.run(instance.limits.command_timeout_us + MS, step_us=500 * MS)
    assert incomplete.closed
    client_that_does_not_read = instance.connect(front.address)
    assert client_that_does_not_read.stream
    instance.stop_polling(client_that_does_not_read.stream._sock)  # stops reading
    client_that_does_not_read.stream.write(b"".join(read_command(f"r{i}") for i in range(400)))
    instance.run(instance.limits.write_stall_us + MS, step_us=100 * MS)
    assert len(front) == 0, "unsent replies are limited in bytes and in time"


def test_at_the_limit_the_longest_idle_connection_is_evicted() -> None:
    instance = SimulatedInstance(client_connections=2)
    backend = instance.server(EmulatedBackend)
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    front = instance.start_resp_listener()
    busy, idle = instance.connect(front.address), instance.connect(front.address)
    idle.send_bytes(read_command())
    backend.scripted_responses = [None]
    busy.send_bytes(read_command("r2", d=1400))
    third = instance.connect(front.address)
    assert third.send_bytes(PING) == b"", "a client that has sent a request may be idle for a moment"
    assert not idle.closed, "a client that has sent a request may be idle for a moment"
    instance.run(instance.limits.idle_client_timeout_us, step_us=100 * MS)
    assert third.received == b"+PONG\r\n"
    assert idle.closed


def test_clients_that_only_ping_are_evicted_before_those_with_requests() -> None:
    """Regression: hundreds of clients stayed connected after a PING, and no other was accepted for 2 s."""
    instance = SimulatedInstance(client_connections=2, idle_client_timeout_us=100 * MS)
    instance.list_endpoints()
    front = instance.start_resp_listener()
    requester, pinger = instance.connect(front.address), instance.connect(front.address)
    requester.send_bytes(read_command(d=0))
    pinger.send_bytes(PING)
    late = instance.connect(front.address)
    assert late.send_bytes(PING) == b""
    instance.run(instance.limits.new_client_timeout_us)
    assert late.received == b"+PONG\r\n"
    assert pinger.closed
    assert not requester.closed


def test_silent_clients_are_evicted_sooner_unless_their_request_waits_unread() -> None:
    instance = SimulatedInstance(client_connections=2)
    front = instance.start_resp_listener()
    silent, late = instance.connect(front.address), instance.connect(front.address)
    late_connection = instance.accepted_end(front, late)
    instance.stop_polling(late_connection.stream._sock)
    late.send_bytes(PING)
    third = instance.connect(front.address)
    assert third.send_bytes(PING) == b""
    instance.run(instance.limits.new_client_timeout_us)
    assert third.received == b"+PONG\r\n"
    assert silent.closed
    assert not late.closed
    third.send_bytes(PING[:5])
    fourth = instance.connect(front.address)
    fourth.send_bytes(PING)
    instance.run(instance.limits.stalled_client_timeout_us - MS, 20 * MS)
    assert not third.closed, "a client that writes slowly may pause"
    instance.run(2 * instance.limits.accept_pause_us + MS)
    assert fourth.received == b"+PONG\r\n", "a partial command delays the eviction only briefly"
    assert third.closed, "a partial command delays the eviction only briefly"


PIECES = 6
PIECE_INTERVAL_US = 100 * MS


def write_slowly(instance: SimulatedInstance, client: LoopbackClient, command: bytes) -> None:
    """Send a command in pieces; nobody else of the test does anything meanwhile."""
    step = -(-len(command) // PIECES)
    for at in range(0, len(command), step):
        client.send_bytes(command[at : at + step])
        instance.run(PIECE_INTERVAL_US + MS, 20 * MS)


def test_clients_that_write_slowly_are_served_while_connections_are_scarce() -> None:
    """Regression: a command that took over 0.1 s to arrive lost its connection, and each new one too."""
    instance = SimulatedInstance(client_connections=3)
    backend = instance.server(EmulatedBackend)
    backend.data[b"k"] = b"value"
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    front = instance.start_resp_listener()
    slow, idle, silent = (instance.connect(front.address) for _ in range(3))
    idle.send_bytes(read_command("idle"))
    for _ in range(3):
        instance.connect(front.address)  # in the accept queue
    write_slowly(instance, slow, read_command("slow"))
    assert slow.received == codec.encode_bulk(b"value")
    assert silent.closed
    assert not idle.closed


def test_a_client_that_writes_slowly_is_not_evicted_before_one_that_does_nothing() -> None:
    """Regression: connections with half a command were evicted before those that were idle for long."""
    instance = SimulatedInstance(client_connections=2)
    instance.list_endpoints()
    front = instance.start_resp_listener()
    idle, slow = instance.connect(front.address), instance.connect(front.address)
    idle.send_bytes(read_command("idle", d=0))
    slow.send_bytes(PING + PING[:4])
    instance.run(instance.limits.idle_client_timeout_us, 100 * MS)
    assert instance.connect(front.address).send_bytes(PING) == b"+PONG\r\n"
    assert idle.closed
    assert not slow.closed
    assert slow.send_bytes(PING[4:]) == b"+PONG\r\n"


def test_idle_connections_are_not_closed_while_others_are_free() -> None:
    """Regression: above a sixth of the descriptors idle connections were closed whatever was free."""
    instance = SimulatedInstance()
    front = instance.start_resp_listener()
    many = instance.limits.reserved_backend_connections + 10
    clients = [LoopbackClient(instance, front.address, settle=False) for _ in range(many)]
    instance.settle()
    for client in clients:
        assert client.stream
        client.stream.write(PING)
    instance.run(2 * instance.limits.idle_client_timeout_us, 200 * MS)
    assert len(front) == many
    assert not any(client.closed for client in clients)


def test_idle_connections_are_closed_while_few_are_free() -> None:
    """Regression: clients that stayed connected after one request used up the limit for all others."""
    instance = SimulatedInstance(client_connections=6)
    backend = instance.server(EmulatedBackend)
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    front = instance.start_resp_listener()
    peers = [instance.connect(front.address) for _ in range(6)]
    for i, peer in enumerate(peers):
        peer.send_bytes(read_command(f"r{i}"))
    instance.run(instance.limits.idle_client_timeout_us - MS, 100 * MS)
    peers[0].send_bytes(read_command("again"))
    assert len(front) == 6
    instance.run(instance.limits.client_sweep_us + MS)
    assert len(front) == 5, "a sixth of the places is free again"
    assert not peers[0].closed, "the one just used stays open"


def test_clients_borrow_descriptors_that_backends_do_not_need_and_return_them() -> None:
    """Regression: with fixed quotas clients waited for connections that backends did not need."""
    instance = SimulatedInstance(
        make_settings(max_attempts=4, parallel_attempts=False, instances=1),
        reserved_backend_connections=1,
        client_connections=4,
    )
    backends = [instance.server(EmulatedBackend) for _ in range(4)]
    for backend in backends:
        backend.scripted_responses = [None]
    instance.list_endpoints(
        *(EmulatedEndpoint(f"b{i}", backend.address, i) for i, backend in enumerate(backends))
    )
    front = instance.start_resp_listener()
    front.capacity_user, instance.resp_upstream.capacity.owner = instance.resp_upstream.capacity, front
    busy, idle, late = (instance.connect(front.address) for _ in range(3))
    idle.send_bytes(PING)
    for i in range(3):
        busy.send_bytes(read_command(f"r{i}", cell=i, d=10_000))
    assert (
        instance.resp_upstream.capacity.open_count == 2
    ), "two connections on each side: the limit is reached"
    assert len(front) == 3, "two connections on each side: the limit is reached"
    instance.run(400 * MS)
    assert late.closed or idle.closed, "a client without a request was evicted for a backend"
    assert instance.resp_upstream.capacity.open_count == 3


def test_many_clients_with_many_commands_do_not_make_one_with_few_wait() -> None:
    """Regression: 600 clients had 8 commands each processed in one iteration, which took over a second."""
    instance = SimulatedInstance()
    instance.list_endpoints()
    front = instance.start_resp_listener()
    clients = [instance.connect(front.address) for _ in range(40)]
    for client in clients:
        assert client.stream
        client.stream.write(b"".join(read_command(f"{id(client)}-{number}") for number in range(30)))
    accepted = [0]
    while accepted[-1] < 40 * 30:
        instance.run_iteration(1.0)
        accepted.append(instance.core.metrics.accepted)
    limits = instance.limits
    most = limits.events_per_iteration + limits.commands_per_iteration + len(clients)
    assert max(after - before for before, after in zip(accepted, accepted[1:], strict=False)) <= most
