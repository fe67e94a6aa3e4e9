"""Operator calls to an instance of an experiment, over its administrative HTTP interface."""

from __future__ import annotations

import contextlib
from dataclasses import dataclass

from garnetlanding.lab.environment import LabEnvironment
from garnetlanding.lab.environment_history import EventRecorder
from garnetlanding.lab.faults import PEER_CALLS, Fault
from garnetlanding.lab.history import LineKind
from garnetlanding.lab.instances import AddressBlock
from garnetlanding.lab.limits import LIMITS, SECOND
from garnetlanding.ops.admin_client import method_and_path
from garnetlanding.runtime.errors import DeadlineExceededError
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import Stream

NO_STATUS = 0
"""The recorded status of a call without a response."""
_NO_SUBJECT = -1
"""The recorded subject of a call that concerns no backend and no peer."""


@dataclass(frozen=True, slots=True)
class OperatorCalls:
    """Makes the calls of faults; `send` must run in a scheduler task."""

    scheduler: Scheduler
    environment: LabEnvironment
    addresses: AddressBlock
    record: EventRecorder

    def send(self, fault: Fault) -> None:
        """Make one call and record the response's status, or that there was none."""
        subject = fault.peer if fault.kind in PEER_CALLS else fault.backend
        method, path = _method_and_path(fault)
        assert fault.instance is not None
        address = self.addresses.ops(fault.instance, fault.at_successor)
        answer = bytearray()
        with contextlib.suppress(OSError, DeadlineExceededError):
            self._exchange(address, f"{method} {path} HTTP/1.1\r\nHost: lab\r\n\r\n".encode(), answer)
        status = answer.split(b" ")[1:2]
        self.record(
            LineKind.OPERATOR_CALL,
            kind=fault.kind.value,
            which=fault.instance,
            brick=_NO_SUBJECT if subject is None else subject,
            status=int(status[0]) if status else NO_STATUS,
        )

    def _exchange(self, address: str, request: bytes, answer: bytearray) -> None:
        """Send a request and read the response into `answer` until the peer closes the connection."""
        deadline_us = self.scheduler.now + LIMITS.operator_call_timeout_s * SECOND
        stream = Stream.connect(
            self.scheduler, address, self.environment.pool, self.environment.limits, deadline_us
        )
        try:
            stream.write(request)
            while stream.read(answer.extend, deadline_us):
                pass
        finally:
            stream.close()


def _method_and_path(fault: Fault) -> tuple[str, str]:
    if fault.kind in PEER_CALLS:
        return method_and_path(f"fleet/{fault.kind.value}", str(fault.peer))
    backend = None if fault.backend is None else f"b{fault.backend}"
    return method_and_path(fault.kind.value, backend)
