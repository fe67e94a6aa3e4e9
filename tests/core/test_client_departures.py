"""Clients that disconnect while requests of theirs are queued or in flight."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.ninep import codec as p9
from garnetlanding.resp import codec
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import BufferPoolExhaustedError
from tests.support.client_disconnects import PING, QUIT, InstanceWithoutBackends, RawClient, delay_connects
from tests.support.clock import MS, SECOND
from tests.support.decision_bench import make_settings
from tests.support.ninep_instance import NinepClient, NinepInstance, received_messages
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command

BAD = codec.encode_command([b"NO"])


DISCONNECTS: dict[str, Callable[[RawClient], None]] = {
    "fin": RawClient.close,
    "reset": RawClient.abort,
    "fin behind bytes": RawClient.close_after_data,
}


@pytest.mark.parametrize("how", DISCONNECTS)
@pytest.mark.parametrize(
    "busy_with",
    [b"", BAD, QUIT, b"?\r\n", read_command("half")[:-9]],
    ids=["nothing", "bad-command", "quit", "not-resp", "half-a-command"],
)
def test_a_queued_request_whose_client_disconnected_is_not_forwarded(how: str, busy_with: bytes) -> None:
    """Regression: a connection is not read for 0.2 s after a bad command and never after QUIT, so the
    client's FIN was not detected."""
    instance = InstanceWithoutBackends()
    client = RawClient(instance, instance.listener.address)
    client.send_bytes(read_command(d=1400) + busy_with)
    DISCONNECTS[how](client)
    instance.run(100 * MS)
    instance.list_backend()
    instance.run(SECOND, 50 * MS)
    assert not instance.backend.received
    assert instance.core.open_requests == 0


@pytest.mark.parametrize("how", DISCONNECTS)
def test_no_retry_starts_for_a_client_that_disconnected_between_attempts(how: str) -> None:
    instance = InstanceWithoutBackends()
    instance.list_backend()
    instance.backend.scripted_responses = [b"-BUSY\r\n"]
    client = RawClient(instance, instance.listener.address)
    client.send_bytes(read_command(d=1400) + BAD)
    assert len(instance.backend.received) == 1
    DISCONNECTS[how](client)
    instance.run(SECOND)
    assert len(instance.backend.received) == 1
    assert instance.core.open_requests == 0


def test_a_request_whose_client_disconnects_while_the_backend_connects_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    instance = InstanceWithoutBackends()
    instance.list_backend()
    client = RawClient(instance, instance.listener.address)
    delay_connects(instance, monkeypatch)
    client.send_bytes(read_command(d=1400))
    assert instance.core.started_attempts
    client.close()
    instance.run(SECOND)
    assert not instance.backend.received


def test_clients_that_disconnect_in_the_iteration_in_which_their_backend_appears_are_not_forwarded() -> None:
    instance = InstanceWithoutBackends()
    clients = [RawClient(instance, instance.listener.address) for _ in range(40)]
    for n, client in enumerate(clients):
        client.send_bytes(read_command(f"r{n}", d=1400, volume=f"v{n}") + (BAD if n % 2 else QUIT))
    for client in clients:
        client.close()
    instance.list_backend()
    instance.run(SECOND)
    assert not instance.backend.received
    assert instance.core.open_requests == 0
    assert len(instance.listener) == 0


def exhaust(pool: BufferPool) -> None:
    """Use up all memory for a connection that cannot free any; raises BufferPoolExhaustedError."""
    account = pool.budget.open_account(lambda: None)
    while account.charge(1):
        pass
    pool.acquire(account)


def test_without_buffers_a_disconnect_is_noticed_and_pending_responses_are_sent() -> None:
    """Regression: without a buffer to read into, a connection was closed, its requests without responses."""
    instance = InstanceWithoutBackends()
    leaving, staying = (
        RawClient(instance, instance.listener.address),
        RawClient(instance, instance.listener.address),
    )
    leaving.send_bytes(read_command("r1", d=1400))
    staying.send_bytes(read_command("r2", d=1400))
    with pytest.raises(BufferPoolExhaustedError):
        exhaust(instance.pool)
    leaving.close()
    instance.settle()
    assert instance.core.open_requests == 1
    staying.send_bytes(read_command("r3")[:-9])
    assert staying.read().startswith(b"-ERR out of buffers\r\n-ERR out of buffers\r\n")
    assert instance.core.open_requests == 0


def test_queued_messages_are_dropped_with_their_client() -> None:
    """Regression: the 9P frontend processes a few messages in each iteration and reads nothing meanwhile, so
    it went on processing messages of a client that had disconnected."""
    instance = NinepInstance(ninep_requests=64)
    client = NinepClient(instance)
    client.open(1, "sv", "law", "terms")
    before = len(received_messages(instance, p9.Tread))
    started_before = len(instance.core.started_attempts)
    assert client.stream
    client.stream.write(b"".join(p9.encode(10 + n, p9.Tread(1, n * 64, 64)) for n in range(60)))
    instance.run_until(
        lambda: len(instance.core.started_attempts) > started_before,
        "an attempt for the first of 60 messages",
    )
    assert client.stream
    client.stream.close()
    started = len(instance.core.started_attempts)
    instance.settle()
    assert (
        len(instance.core.started_attempts) <= started + instance.limits.ninep_messages_per_iteration
    ), "those of the iteration in which it disconnected"
    assert (
        len(received_messages(instance, p9.Tread)) - before
        <= started + instance.limits.ninep_messages_per_iteration
    )


def test_a_client_that_floods_does_not_starve_others() -> None:
    """Regression: a client that sent without a pause was read without one, and no other client was served."""
    instance = SimulatedInstance(read_bytes_per_iteration=16 << 10)
    front = instance.start_resp_listener()
    flood = RawClient(instance, front.address)
    [connection] = front._clients
    sent = 0
    while True:
        try:
            sent += flood.sock.send(PING * 2000)
        except BlockingIOError:
            break
    assert sent > 16 * instance.limits.read_bytes_per_iteration
    instance.run_until(lambda: connection.protocol.messages_received > 0, "the first messages of the flood")
    assert (
        0
        < connection.protocol.messages_received * len(PING)
        <= instance.limits.read_bytes_per_iteration + instance.limits.buffer_bytes
    )


class InstanceWithBackendResets(SimulatedInstance):
    """An instance with one backend; attempts may be cancelled or not, as its settings say."""

    def __init__(self, may_cancel: bool, **limits: int) -> None:
        super().__init__(
            make_settings(parallel_attempts=False, max_attempts=4, instances=1, may_cancel=may_cancel),
            **limits,
        )
        self.backend = self.server(EmulatedBackend)
        self.list_endpoints(EmulatedEndpoint("b0", self.backend.address, 0))
        self.listener = self.start_resp_listener()


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("how", DISCONNECTS)
def test_no_further_attempt_begins_for_a_client_that_has_disconnected(how: str, may_cancel: bool) -> None:
    """A reset long after the client's close, of an attempt that had been sent, is not followed by another."""
    instance = InstanceWithBackendResets(may_cancel)
    instance.backend.holds_responses = True
    client = RawClient(instance, instance.listener.address)
    client.send_bytes(read_command(d=1400))
    assert len(instance.backend.received) == 1
    DISCONNECTS[how](client)
    instance.run(200 * MS)
    instance.backend.close_connections()
    instance.run(SECOND, 50 * MS)
    assert len(instance.backend.received) == 1
    assert instance.core.open_requests == 0
    assert instance.pool.budget.used_bytes == 0


@pytest.mark.parametrize("may_cancel", [True, False])
def test_an_attempt_that_is_not_sent_completely_ends_with_its_client(may_cancel: bool) -> None:
    """Regression: where attempts may not be cancelled, the rest of a long write was sent on for a client that
    had gone, and its backend began it whenever it had read all of it."""
    instance = InstanceWithBackendResets(
        may_cancel, buffer_bytes=4096, unsent_bytes=1 << 24, value_bytes=1 << 23
    )
    warm_up = RawClient(instance, instance.listener.address)
    warm_up.send_bytes(read_command())
    backend_side = next(iter(instance.backend.listener._clients))
    instance.stop_polling(backend_side.stream._sock)  # the backend reads nothing more for now
    client = LoopbackClient(instance, instance.listener.address)
    client.send_bytes(read_command("big", verb="BLK.WRITE", d=1400, body=b"x" * (7 << 20)))
    assert [attempt.is_written for attempt in instance.core.started_attempts] == [True, False]
    client.close()
    instance.run(200 * MS)
    assert instance.core.started_attempts[-1].outcome is Outcome.CANCELLED
    assert instance.resp_upstream.capacity.open_count == 0
    assert [command[0] for command in instance.backend.received] == [b"BLK.READ"]
