"""Stateful property test of the RESP client protocol against a model."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from garnetlanding.core.ports import Answer, Failed, Rejected, Served
from garnetlanding.resp.front import RespClientProtocol, RespListenerContext
from garnetlanding.resp.pending_reply import encode_answer
from tests.support.resp import LIMITS, pool
from tests.support.simulated_instance import FakeRequestEngine, read_command


class ClientModel(RuleBasedStateMachine):
    """The model of a connection is the list of its commands, each with its reply or `None`."""

    def __init__(self) -> None:
        super().__init__()
        self.engine = FakeRequestEngine()
        self.written = b""
        context = RespListenerContext(self.engine, None, pool(), LIMITS)  # type: ignore[arg-type]  # no backends
        self.protocol = RespClientProtocol(context, self.write)  # type: ignore[arg-type]  # no streamed values
        self.expected: list[tuple[str, bytes | None]] = []
        self.unsent = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def feed(self, data: bytes, size: int) -> None:
        """Feed the first `size` bytes now and the rest with the next step."""
        data = self.unsent + data
        self.protocol.feed(data[:size])
        self.unsent = data[size:]
        if not self.unsent:
            assert not self.protocol.has_partial_message

    def feed_rest(self) -> None:
        self.protocol.feed(self.unsent)
        self.unsent = b""

    @precondition(lambda self: not self.closed)
    @rule(size=st.integers(0, 120))
    def submit_request(self, size: int) -> None:
        name = f"q{len(self.expected)}"
        self.expected.append((name, None))
        self.feed(read_command(name), size)

    @precondition(lambda self: not self.closed)
    @rule()
    def ping(self) -> None:
        self.expected.append(("", b"+PONG\r\n"))
        self.feed(b"*1\r\n$4\r\nPING\r\n", 1 << 20)

    @precondition(lambda self: not self.closed and bool(self.engine.open_requests))
    @rule(data=st.data(), answer=st.sampled_from([Served(b"v"), Rejected(250_000), Failed("gave up")]))
    def answer(self, data: st.DataObject, answer: Answer) -> None:
        self.feed_rest()
        request, on_answer = self.engine.open_requests.pop(
            data.draw(st.sampled_from(sorted(self.engine.open_requests)))
        )
        name = request.operation.request_id.decode()
        on_answer(answer)
        index = [command for command, _ in self.expected].index(name)
        reply = encode_answer(answer)
        assert isinstance(reply, bytes)
        self.expected[index] = name, reply

    @rule()
    def disconnect(self) -> None:
        self.feed_rest()
        self.protocol.close()  # may be called more than once
        assert sorted(self.engine.disconnected) == sorted(
            self.engine.open_requests
        ), "each open request is reported once"
        self.closed = True

    @precondition(lambda self: not self.closed)
    @rule()
    def send_invalid_input(self) -> None:
        self.feed_rest()
        error = b"-ERR Protocol error: expected an array of bulk strings\r\n"
        commands = [*self.expected, ("", None)]
        self.expected = [(name, error if reply is None else reply) for name, reply in commands]
        self.protocol.feed(b"?\r\n" + read_command("never"))
        assert self.protocol.is_closing
        assert not self.engine.open_requests
        self.closed = True

    @invariant()
    def replies_are_written_in_order(self) -> None:
        ready = b""
        for _, reply in self.expected:
            if reply is None:
                break
            ready += reply
        assert ready.startswith(self.written)
        assert self.unsent or self.written == ready


TestClientModel = ClientModel.TestCase
