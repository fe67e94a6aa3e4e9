"""The RESP front against a model of its states, by random steps."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from garnetlanding.core.ports import Answer, Failed, Rejected, Served
from garnetlanding.resp.front import Front, RespClientProtocol, encode_answer
from tests.support.resp import LIMITS, pool
from tests.support.simulated_instance import FakeRequestEngine, read_command


class ClientModel(RuleBasedStateMachine):
    """Against the model of a connection: a list of commands, each with its answer or none yet."""

    def __init__(self) -> None:
        super().__init__()
        self.core, self.out = FakeRequestEngine(), b""
        self.machine = RespClientProtocol(Front(self.core, None, pool(), LIMITS), self.write)  # type: ignore[arg-type]  # no backends
        self.expected: list[tuple[str, bytes | None]] = []
        self.rest, self.over = b"", False

    def write(self, data: bytes) -> None:
        self.out += data

    def put(self, data: bytes, size: int) -> None:
        """Part of the bytes now, the rest with the next step."""
        data = self.rest + data
        self.machine.feed(data[:size])
        self.rest = data[size:]
        if not self.rest:
            assert not self.machine.has_partial_message

    def flush(self) -> None:
        self.machine.feed(self.rest)
        self.rest = b""

    @precondition(lambda self: not self.over)
    @rule(size=st.integers(0, 120))
    def ask(self, size: int) -> None:
        name = f"q{len(self.expected)}"
        self.expected.append((name, None))
        self.put(read_command(name), size)

    @precondition(lambda self: not self.over)
    @rule()
    def ping(self) -> None:
        self.expected.append(("", b"+PONG\r\n"))
        self.put(b"*1\r\n$4\r\nPING\r\n", 1 << 20)

    @precondition(lambda self: not self.over and bool(self.core.items))
    @rule(data=st.data(), answer=st.sampled_from([Served(b"v"), Rejected(250_000), Failed("gave up")]))
    def answer(self, data: st.DataObject, answer: Answer) -> None:
        self.flush()
        ask, answered = self.core.items.pop(data.draw(st.sampled_from(sorted(self.core.items))))
        name = ask.operation.request_id.decode()
        answered(answer)
        at = [n for n, _ in self.expected].index(name)
        reply = encode_answer(answer)
        assert isinstance(reply, bytes)
        self.expected[at] = name, reply

    @rule()
    def leave(self) -> None:
        self.flush()
        self.machine.close()  # also twice, and after its end
        assert sorted(self.core.gone) == sorted(self.core.items), "each open item is told once"
        self.over = True

    @precondition(lambda self: not self.over)
    @rule()
    def spoil(self) -> None:
        self.flush()
        error = b"-ERR Protocol error: expected an array of bulk strings\r\n"
        self.expected = [(n, error if a is None else a) for n, a in [*self.expected, ("", None)]]
        self.machine.feed(b"?\r\n" + read_command("never"))
        assert self.machine.is_closing
        assert not self.core.items
        self.over = True

    @invariant()
    def answers_come_in_order(self) -> None:
        want = b""
        for _, answer in self.expected:
            if answer is None:
                break
            want += answer
        assert want.startswith(self.out)
        assert self.rest or self.out == want


TestClientModel = ClientModel.TestCase
