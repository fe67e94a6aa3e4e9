"""Both fronts on one core: the rules hold across protocols while servers fail, drain and come back."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from garnetlanding.decision.interface import Outcome
from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.emulator.fileserver import FileServer
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep.client import file_servers
from garnetlanding.ninep.front import NinepClientProtocol
from garnetlanding.ninep.setup import Export
from garnetlanding.ninep.shared_state import SharedState
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.stream import parse_address
from tests.support.clock import MS, SECOND
from tests.support.simulated_instance import LoopbackClient, SimulatedInstance, read_command

HELLO = p9.encode(p9.NOTAG, p9.Tversion(8192, "9P2000")) + p9.encode(1, p9.Tattach(0, p9.NOFID, "a", ""))
STEPS = st.lists(
    st.sampled_from(["read", "walk", "hold", "release", "drop", "drain", "back", "flush", "leave", "pass"]),
    max_size=25,
)


class MixedWorld(SimulatedInstance):
    """Each of two boxes runs a brick and a file server; both hold cell 0."""

    def __init__(self) -> None:
        super().__init__()
        self.nine_at: dict[str, str] = {}
        self.bricks_up, self.files_up, self.boxes = [], [], []
        for i in range(2):
            brick = self.server(EmulatedBackend)
            files = self.server(FileServer, tree={"doc": b"text"})
            self.bricks_up.append(brick)
            self.files_up.append(files)
            self.nine_at[brick.address] = files.address
            self.boxes.append(EmulatedEndpoint(f"b{i}", brick.address, 0))
        nine = file_servers(self.scheduler, self.pool, self.limits, 0)
        nine.protocol_factory.resolve_address = lambda endpoint: self.nine_at[endpoint]  # type: ignore[method-assign]  # emulated
        exports = {"": Export("", "v9", "gold", "read", 0, SECOND)}
        front = SharedState(self.core, nine, exports, self.pool, self.limits, self.scheduler)
        self.nine_front = Listener(
            self.scheduler,
            "127.0.0.1:0",
            self.pool,
            self.limits,
            64,
            lambda write: NinepClientProtocol(front, write),
        )
        self.resp_front = self.front()
        self.list(*self.boxes)

    def change(self, index: int, state: str) -> None:
        self.boxes[index].state = state
        self.list(self.boxes[index], whole=False)

    def disturb(self, step: str) -> None:
        """What may happen to the first backend of each protocol."""
        match step:
            case "hold":
                self.bricks_up[0].scripted_responses.append(None)
                self.files_up[0].holds_reply = lambda _: True
            case "release":
                self.bricks_up[0].release()
                self.files_up[0].release()
            case "drop":
                self.bricks_up[0].close_connections()
                self.files_up[0].close_connections()
            case "drain":
                self.change(0, "DRAINING")
            case "back":
                self.change(0, "SERVING")
            case _:
                raise AssertionError(f"unknown step {step}")


def messages(peer: LoopbackClient) -> list[tuple[int, p9.Message | p9.MalformedMessage]]:
    return list(p9.Framer(peer.world.pool, 1 << 20).feed(peer.got))


@given(STEPS)
def test_every_accepted_request_of_either_protocol_ends_once_under_the_rules(steps: list[str]) -> None:
    instance = MixedWorld()
    tool, client = instance.peer(instance.nine_front.address), instance.peer(instance.resp_front.address)
    tool.say(HELLO)
    sent, tags, flushed, left = 0, [1], set(), 0
    for n, step in enumerate(steps):
        match step:
            case "read":
                sent += 1
                client.say(read_command(f"r{n}", d=1000))
            case "walk":
                tags.append(100 + n)
                tool.say(p9.encode(100 + n, p9.Twalk(0, 100 + n, ("doc",))))
            case "flush":
                tool.say(p9.encode(90, p9.Tflush(tags[-1])))
                flushed.add(tags[-1])
            case "leave":
                other = instance.peer(instance.resp_front.address)
                other.say(read_command(f"x{n}"))
                left += 1
                other.close()
            case "pass":
                instance.run(50 * MS, step_us=25 * MS)
            case _:
                instance.disturb(step)
        instance.settle()
    instance.run(1200 * MS, step_us=40 * MS)

    # At most four attempts, never two at once, none to a drained server: CheckedCore has seen to it.
    assert instance.core.open_requests == 0
    assert not instance.core._requests
    assert all(len(finals) <= 1 for finals in instance.core.finals)
    assert sum(not finals for finals in instance.core.finals) <= left + len(
        flushed
    ), "only who left gets none"
    assert client.got.count(b"\r\n$4\r\n") + client.got.count(b"$0\r\n") + client.got.count(b"-") == sent
    answered = [tag for tag, _ in messages(tool) if tag not in (90, p9.NOTAG)]
    assert len(answered) == len(set(answered))
    assert set(answered) <= set(tags)
    assert set(tags) - set(answered) <= flushed, "one answer a tag"


def test_drain_while_both_protocols_connect_stops_both() -> None:
    instance = MixedWorld()
    tool, client = instance.peer(instance.nine_front.address), instance.peer(instance.resp_front.address)
    # All three are in the head before its loop turns again: connects begin, then the drain is told.
    for peer, data in ((tool, HELLO), (client, read_command())):
        assert peer.stream
        peer.stream.write(data)
    instance.run_until(lambda: len(instance.core.starts) == 2, "an attempt of each protocol")
    instance.core.endpoints.set_disabled(frozenset({"b0", "b1"}), instance.time)
    instance.settle()
    assert not any(b.received for b in instance.bricks_up)
    assert not any(f.received for f in instance.files_up)
    assert {a.outcome for a in instance.core.starts} == {Outcome.UNREACHABLE}


def test_9p_server_may_have_its_own_port_on_the_backends_host() -> None:
    instance = SimulatedInstance()
    upstream = file_servers(instance.scheduler, instance.pool, instance.limits, 564)
    assert upstream.protocol_factory.resolve_address("10.0.0.1:6379") == "10.0.0.1:564"
    assert parse_address("[::1]:564") == ("::1", 564)
