"""Which requests may stay without an answer, because a fault struck their instance or their connection."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.faults import LATE_STARTS, PROCESS_FAULTS, Fault, FaultKind, LinkKind, ProcessEnd
from garnetlanding.lab.history import LineKind
from garnetlanding.lab.invariant import RecordedRun
from garnetlanding.lab.limits import LIMITS
from garnetlanding.lab.workload import Request

ReadyTimes = dict[int, list[int]]
"""By instance, when each of its processes could be used, in microseconds after the clients began."""


def ready_times(run: RecordedRun) -> ReadyTimes:
    """Return when the processes of each instance could be used.

    A request is sent at its time or later, so the clients began no later than the earliest says.
    """
    start_us = {request.id: request.start_us for request in run.requests}
    sent = (line for line in run.lines_of(LineKind.SENT) if line["id"] in start_us)
    clients_began_us = min((line["t"] - start_us[line["id"]] for line in sent), default=0)
    ready: ReadyTimes = defaultdict(list)
    for line in run.lines_of(LineKind.READY):
        ready[int(line["who"][1:])].append(line["t"] - clients_began_us)
    return ready


def may_be_lost(experiment: Experiment, request: Request, ready: Sequence[int]) -> bool:
    """Return whether a request may stay without an answer; `ready` is when its instance could be used."""
    start_us = request.start_us
    end_us = request.start_us + request.client_timeout_us + LIMITS.process_transition_us
    own_faults = [fault for fault in experiment.faults if fault.instance == request.instance]
    return any(_makes_unavailable(fault, start_us, end_us, ready) for fault in own_faults) or any(
        fault.start_us < end_us and start_us < fault.end_us + LIMITS.process_transition_us
        for fault in experiment.faults
        if fault.link is LinkKind.CLIENT and fault.instance in (None, request.instance)
    )


def _makes_unavailable(fault: Fault, start_us: int, end_us: int, ready: Sequence[int]) -> bool:
    """Return whether the fault takes the instance, or a predecessor's connections, away between the times."""
    if fault.kind is FaultKind.LEAVE:
        return fault.start_us < end_us
    if fault.kind in LATE_STARTS:
        return start_us < min((time for time in ready if time >= fault.start_us), default=end_us)
    if fault.kind is FaultKind.UPGRADE:
        # Connections to a predecessor that was killed or does not run are lost.
        return fault.predecessor_end is not ProcessEnd.TERMINATE and fault.end_us < end_us
    if fault.kind in PROCESS_FAULTS:
        recovered_us = _recovery_us(fault, ready)
        return fault.start_us < end_us and (recovered_us is None or start_us < recovered_us)
    return False


def _recovery_us(fault: Fault, ready: Sequence[int]) -> int | None:
    """Return when the instance is back; None when it never was.

    One that is started again is back once its own history says so, however long the machine took.
    """
    if fault.kind is FaultKind.STOP:
        return fault.end_us + LIMITS.process_transition_us
    restarts = [time for time in ready if time >= fault.end_us]
    if not restarts:
        return None
    return min(restarts) + LIMITS.dispatch_latency_us
