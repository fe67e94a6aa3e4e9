"""The clients of an experiment, in a separate process: python -m garnetlanding.lab.clients PLAN HISTORY.

The load is open-loop: each request is sent at its scheduled time, whether or not earlier ones have completed,
on a connection with no other request in flight. Every response is recorded, so a surplus one is detected.
"""

from __future__ import annotations

import json
import os
import sys
from dataclasses import dataclass
from functools import partial
from typing import Any

from garnetlanding.lab.history import LineKind, encode_line
from garnetlanding.lab.limits import LIMITS
from garnetlanding.lab.outcomes import Outcome
from garnetlanding.lab.workload import Request, decode_request
from garnetlanding.limits import Limits
from garnetlanding.resp import codec
from garnetlanding.resp.errors import ProtocolError
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.errors import DeadlineExceededError
from garnetlanding.runtime.scheduler import Scheduler, monotonic_us
from garnetlanding.runtime.stream import Stream

_PROCESS = "clients"
"""The process name in the history's lines."""


@dataclass(frozen=True, slots=True)
class ClientPlan:
    """The requests that the clients send; times are microseconds of the machine's monotonic clock."""

    instances: list[str]  # the address of each
    began_us: int  # the requests' start times are relative to it
    requests: list[Request]

    @classmethod
    def decode(cls, fields: dict[str, Any]) -> ClientPlan:
        """Return the plan that plan.json describes."""
        return cls(
            instances=fields["heads"],
            began_us=fields["begins"],
            requests=[decode_request(request) for request in fields["requests"]],
        )


class ClientConnection:
    """One connection to an instance; `answers` holds the responses read and not yet consumed, in order."""

    def __init__(self, stream: Stream, decoder: codec.Decoder) -> None:
        self.stream = stream
        self._decoder = decoder
        self.answers: list[codec.Value] = []

    def read(self, deadline_us: int) -> bool:
        """Read once; return False at end of stream. Raises DeadlineExceededError or OSError."""
        return self.stream.read(lambda data: self.answers.extend(self._decoder.feed(data)), deadline_us)


class Clients:
    """Sends every request of a plan at its time and records its outcome in a history."""

    def __init__(self, plan: ClientPlan, history: int) -> None:
        """Take the plan and the file descriptor of the open history."""
        self.scheduler = Scheduler()
        self._limits = Limits()
        self._pool = BufferPool(self._limits.buffer_bytes, self._limits.pool_free_max, self._limits.pool_max)
        self._plan = plan
        self._history = history
        self._idle: dict[int, list[ClientConnection]] = {}
        self._unfinished = len(plan.requests)

    def run(self) -> None:
        """Run until every request has its outcome."""
        for request in self._plan.requests:
            self.scheduler.call_at(
                self._plan.began_us + request.start_us, partial(self._start_request, request)
            )
        while self._unfinished:
            self.scheduler.run_iteration()

    def _start_request(self, request: Request) -> None:
        self.scheduler.spawn(lambda: self._send_request(request))

    def _record(self, kind: LineKind, request: Request, **fields: Any) -> None:
        subject = {
            "id": request.id,
            "head": request.instance,
            "volume": request.volume,
            "units": request.units,
        }
        os.write(self._history, encode_line(monotonic_us(), _PROCESS, kind, {**subject, **fields}))

    def _send_request(self, request: Request) -> None:
        sent_us = self.scheduler.now
        self._record(LineKind.SENT, request)
        try:
            outcome = self._outcome(request, sent_us + request.client_timeout_us + LIMITS.answer_grace_us)
        except OSError:
            outcome = Outcome.LOST
        except ProtocolError:
            outcome = Outcome.MALFORMED
        except DeadlineExceededError:
            outcome = Outcome.TIMED_OUT
        self._record(LineKind.ENDED, request, outcome=outcome.value, took=self.scheduler.now - sent_us)
        self._unfinished -= 1

    def _outcome(self, request: Request, deadline_us: int) -> Outcome:
        """Send the request until a response arrives or a new connection is lost; return its outcome."""
        idle = self._idle.setdefault(request.instance, [])
        while True:
            connection = idle.pop() if idle else None
            is_reused = connection is not None and not connection.stream.is_at_eof()
            if connection is None or not is_reused:
                connection = self._connect(request.instance, deadline_us)
            if self._exchange(connection, request, deadline_us):
                break
            if not is_reused:
                # Only a reused connection is retried: the instance may have closed it while it was idle.
                return Outcome.LOST
        answer = connection.answers.pop(0)
        if connection.answers:
            self._record(LineKind.SURPLUS_ANSWERS, request, count=len(connection.answers))
            connection.stream.close()
        else:
            idle.append(connection)
        return _outcome_of(answer, request)

    def _connect(self, instance: int, deadline_us: int) -> ClientConnection:
        stream = Stream.connect(
            self.scheduler, self._plan.instances[instance], self._pool, self._limits, deadline_us
        )
        return ClientConnection(stream, codec.Decoder(self._pool, self._limits))

    def _exchange(self, connection: ClientConnection, request: Request, deadline_us: int) -> bool:
        """Send the request; return whether a response arrived before the connection ended."""
        attributes = (
            f"c=read,t=gold,d={request.client_timeout_us // 1000},volume={request.volume},"
            f"units={request.units},shard={request.cell},hosts={request.instances_per_volume}"
        )
        name = request.id.encode()
        connection.stream.write(codec.encode_command([b"BLK.READ", name, name, attributes.encode()]))
        try:
            while not connection.answers and connection.read(deadline_us):
                pass
        finally:
            if not connection.answers:
                connection.stream.close()
        return bool(connection.answers)


def _outcome_of(answer: codec.Value, request: Request) -> Outcome:
    """Return the outcome that a response stands for."""
    match answer:
        case bytes():
            return Outcome.SERVED if answer == request.id.encode() else Outcome.MISMATCHED
        case codec.ErrorReply(text) if text.startswith(b"BUSY"):
            return Outcome.REJECTED
    return Outcome.FAILED


def main(arguments: list[str]) -> int:
    """Execute the plan in the first file and append the history to the second."""
    plan_path, history_path = arguments
    with open(plan_path, encoding="utf-8") as file:
        plan = ClientPlan.decode(json.load(file))
    history = os.open(history_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    try:
        Clients(plan, history).run()
    finally:
        os.close(history)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
