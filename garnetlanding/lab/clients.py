"""The clients of an experiment, in a process of their own: python -m garnetlanding.lab.clients PLAN HISTORY

Open loop: each request goes out at its time, whatever became of those before it, on a connection that nobody
else uses at that moment. Each answer that comes is written down, so that a second one shows.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from typing import Any

from garnetlanding.lab.limits import LIMITS
from garnetlanding.limits import Limits
from garnetlanding.resp import codec
from garnetlanding.resp.errors import ProtocolError
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import DeadlineExceededError
from garnetlanding.runtime.scheduler import Scheduler, monotonic_us
from garnetlanding.runtime.stream import Stream


class Connection:
    """One connection to a head; its answers in the order in which they come."""

    def __init__(self, clients: Clients, stream: Stream) -> None:
        self.stream, self._decoder = stream, codec.Decoder(clients.pool, clients.limits)
        self.answers: list[codec.Value] = []

    def read(self, deadline: int) -> bool:
        return self.stream.read(lambda data: self.answers.extend(self._decoder.feed(data)), deadline)


class Clients:
    def __init__(self, plan: dict[str, Any], history: int) -> None:
        self.scheduler, self.limits = Scheduler(), Limits()
        self.pool = BufferPool(self.limits.buffer_bytes, self.limits.pool_free_max, self.limits.pool_max)
        self._heads: list[str] = plan["heads"]
        self._began: int = plan["begins"]
        self._requests: list[dict[str, Any]] = plan["requests"]
        self._history = history
        self._free: dict[int, list[Connection]] = {}
        self._left = len(self._requests)

    def run(self) -> None:
        for request in self._requests:
            self.scheduler.call_at(self._began + request["at_us"], self._asking(request))
        while self._left:
            self.scheduler.turn()

    def _asking(self, request: dict[str, Any]) -> Callable[[], None]:
        def begin() -> None:
            self.scheduler.spawn(lambda: self._ask(request))

        return begin

    def _note(self, what: str, request: dict[str, Any], **more: Any) -> None:
        line = {
            "t": monotonic_us(),
            "who": "clients",
            "what": what,
            "id": request["id"],
            "head": request["head"],
            "volume": request["volume"],
            "units": request["units"],
            **more,
        }
        os.write(self._history, json.dumps(line, separators=(",", ":")).encode() + b"\n")

    def _ask(self, request: dict[str, Any]) -> None:
        asked = self.scheduler.now
        self._note("asked", request)
        try:
            outcome = self._answer(request, asked + request["wait_us"] + LIMITS.answer_late_us)
        except (OSError, ProtocolError) as problem:
            outcome = "lost" if isinstance(problem, OSError) else "spoilt"
        except DeadlineExceededError:
            outcome = "none"
        self._note("answer", request, outcome=outcome, took=self.scheduler.now - asked)
        self._left -= 1

    def _answer(self, request: dict[str, Any], until: int) -> str:
        free = self._free.setdefault(request["head"], [])
        while True:
            conn = free.pop() if free else None
            used = conn is not None
            if conn is None or conn.stream.ended():
                used = False
                conn = Connection(
                    self,
                    Stream.connect(
                        self.scheduler, self._heads[request["head"]], self.pool, self.limits, until
                    ),
                )
            if self._exchange(conn, request, until):
                break
            if not used:
                return "lost"  # on one that crossed its close it is asked once more
        answer = conn.answers.pop(0)
        if conn.answers:
            self._note("extra", request, count=len(conn.answers))
            conn.stream.close()
        else:
            free.append(conn)
        match answer:
            case bytes():
                return "served" if answer == request["id"].encode() else "other's"
            case codec.ErrorReply(text) if text.startswith(b"BUSY"):
                return "refused"
        return "failed"

    def _exchange(self, conn: Connection, request: dict[str, Any], until: int) -> bool:
        """Whether an answer came before the connection ended."""
        pairs = (
            f"c=read,t=gold,d={request['wait_us'] // 1000},volume={request['volume']},"
            f"units={request['units']},shard={request['cell']},hosts={request['hosts']}"
        )
        name = request["id"].encode()
        conn.stream.write(codec.command([b"BLK.READ", name, name, pairs.encode()]))
        try:
            while not conn.answers and conn.read(until):
                pass
        finally:
            if not conn.answers:
                conn.stream.close()
        return bool(conn.answers)


def main(argv: list[str]) -> int:
    with open(argv[0], encoding="utf-8") as file:
        plan = json.load(file)
    history = os.open(argv[1], os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    Clients(plan, history).run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
