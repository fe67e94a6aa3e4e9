"""RESP2 and 9P clients of one engine: its invariants hold for both while servers fail, drain and return."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.emulator.fileserver import FileServer
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep.client import create_upstream
from garnetlanding.ninep.front import NinepClientProtocol
from garnetlanding.ninep.setup import Export
from garnetlanding.ninep.shared_state import SharedState
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.stream import parse_address
from tests.support.clock import MS, SECOND
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command

VERSION_AND_ATTACH = p9.encode(p9.NOTAG, p9.Tversion(8192, "9P2000")) + p9.encode(
    1, p9.Tattach(0, p9.NOFID, "a", "")
)
STEPS = st.lists(
    st.sampled_from(["read", "walk", "hold", "release", "drop", "drain", "back", "flush", "leave", "pass"]),
    max_size=25,
)


class MixedProtocolInstance(SimulatedInstance):
    """An instance with two endpoints of cell 0, each of which runs a RESP2 backend and a file server."""

    def __init__(self) -> None:
        super().__init__()
        self.file_server_addresses: dict[str, str] = {}  # by the address of the backend beside it
        self.backend_servers, self.file_servers, self.endpoints = [], [], []
        for i in range(2):
            backend = self.server(EmulatedBackend)
            file_server = self.server(FileServer, tree={"doc": b"text"})
            self.backend_servers.append(backend)
            self.file_servers.append(file_server)
            self.file_server_addresses[backend.address] = file_server.address
            self.endpoints.append(EmulatedEndpoint(f"b{i}", backend.address, 0))
        upstream = create_upstream(self.scheduler, self.pool, self.limits, 0)
        addresses = self.file_server_addresses
        upstream.protocol_factory.resolve_address = lambda endpoint: addresses[endpoint]  # type: ignore[method-assign]  # emulated
        exports = {"": Export("", "v9", "gold", "read", 0, SECOND)}
        shared = SharedState(self.core, upstream, exports, self.pool, self.limits, self.scheduler)
        self.ninep_listener = Listener(
            self.scheduler,
            "127.0.0.1:0",
            self.pool,
            self.limits,
            64,
            lambda write: NinepClientProtocol(shared, write),
        )
        self.resp_listener = self.start_resp_listener()
        self.list_endpoints(*self.endpoints)

    def set_endpoint_state(self, index: int, state: str) -> None:
        self.endpoints[index].state = state
        self.list_endpoints(self.endpoints[index], complete=False)

    def inject_fault(self, step: str) -> None:
        """Apply a fault, or end one, to the first server of each protocol."""
        match step:
            case "hold":
                self.backend_servers[0].scripted_responses.append(None)
                self.file_servers[0].holds_reply = lambda _: True
            case "release":
                self.backend_servers[0].release()
                self.file_servers[0].release()
            case "drop":
                self.backend_servers[0].close_connections()
                self.file_servers[0].close_connections()
            case "drain":
                self.set_endpoint_state(0, "DRAINING")
            case "back":
                self.set_endpoint_state(0, "SERVING")
            case _:
                raise AssertionError(f"unknown step {step}")


def decode_messages(client: LoopbackClient) -> list[tuple[int, p9.Message | p9.MalformedMessage]]:
    return list(p9.Framer(client.instance.pool, 1 << 20).feed(client.received))


@given(STEPS)
def test_every_accepted_request_of_either_protocol_ends_exactly_once(steps: list[str]) -> None:
    instance = MixedProtocolInstance()
    ninep_client = instance.connect(instance.ninep_listener.address)
    resp_client = instance.connect(instance.resp_listener.address)
    ninep_client.send_bytes(VERSION_AND_ATTACH)
    sent, tags, flushed, disconnected = 0, [1], set(), 0
    for n, step in enumerate(steps):
        match step:
            case "read":
                sent += 1
                resp_client.send_bytes(read_command(f"r{n}", d=1000))
            case "walk":
                tags.append(100 + n)
                ninep_client.send_bytes(p9.encode(100 + n, p9.Twalk(0, 100 + n, ("doc",))))
            case "flush":
                ninep_client.send_bytes(p9.encode(90, p9.Tflush(tags[-1])))
                flushed.add(tags[-1])
            case "leave":
                other = instance.connect(instance.resp_listener.address)
                other.send_bytes(read_command(f"x{n}"))
                disconnected += 1
                other.close()
            case "pass":
                instance.run(50 * MS, step_us=25 * MS)
            case _:
                instance.inject_fault(step)
        instance.settle()
    instance.run(1200 * MS, step_us=40 * MS)

    # CheckedRequestEngine asserts at most four attempts, never two at once, and none to a drained server.
    assert instance.core.open_requests == 0
    assert not instance.core._requests
    assert all(len(finals) <= 1 for finals in instance.core.final_answers)
    unanswered = sum(not finals for finals in instance.core.final_answers)
    assert unanswered <= disconnected + len(flushed), "only disconnected clients and flushed requests"
    got = resp_client.received
    assert got.count(b"\r\n$4\r\n") + got.count(b"$0\r\n") + got.count(b"-") == sent
    answered = [tag for tag, _ in decode_messages(ninep_client) if tag not in (90, p9.NOTAG)]
    assert len(answered) == len(set(answered)), "at most one reply for each tag"
    assert set(answered) <= set(tags)
    assert set(tags) - set(answered) <= flushed, "a reply for each tag that was not flushed"


def test_drain_while_both_protocols_connect_stops_both() -> None:
    instance = MixedProtocolInstance()
    ninep_client = instance.connect(instance.ninep_listener.address)
    resp_client = instance.connect(instance.resp_listener.address)
    # Both clients write before the event loop runs; the backends are disabled while both attempts connect.
    for client, data in ((ninep_client, VERSION_AND_ATTACH), (resp_client, read_command())):
        assert client.stream
        client.stream.write(data)
    instance.run_until(lambda: len(instance.core.started_attempts) == 2, "an attempt of each protocol")
    instance.core.endpoints.set_disabled(frozenset({"b0", "b1"}), instance.time)
    instance.settle()
    assert not any(backend.received for backend in instance.backend_servers)
    assert not any(file_server.received for file_server in instance.file_servers)
    assert {attempt.outcome for attempt in instance.core.started_attempts} == {Outcome.UNREACHABLE}


def test_9p_server_may_have_its_own_port_on_the_backends_host() -> None:
    instance = SimulatedInstance()
    upstream = create_upstream(instance.scheduler, instance.pool, instance.limits, 564)
    assert upstream.protocol_factory.resolve_address("10.0.0.1:6379") == "10.0.0.1:564"
    assert parse_address("[::1]:564") == ("::1", 564)
