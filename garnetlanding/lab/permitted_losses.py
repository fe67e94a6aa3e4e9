"""Which requests may go without a response because a fault affected their instance or their connection."""

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
"""By instance, when each of its processes became ready, in microseconds after the clients started."""


def ready_times(run: RecordedRun) -> ReadyTimes:
    """Return when the processes of each instance became ready.

    The clients' start is estimated from the requests: a request is sent at its scheduled time or later, so
    the smallest difference between the two times is an upper bound.
    """
    start_us = {request.id: request.start_us for request in run.requests}
    sent = (line for line in run.lines_of(LineKind.SENT) if line["id"] in start_us)
    clients_began_us = min((line["t"] - start_us[line["id"]] for line in sent), default=0)
    ready: ReadyTimes = defaultdict(list)
    for line in run.lines_of(LineKind.READY):
        ready[int(line["who"][1:])].append(line["t"] - clients_began_us)
    return ready


def may_be_lost(experiment: Experiment, request: Request, ready: Sequence[int]) -> bool:
    """Return whether a request may go without a response; `ready` holds when its instance became ready."""
    start_us = request.start_us
    end_us = request.start_us + request.client_timeout_us + LIMITS.process_transition_us
    own_faults = [fault for fault in experiment.faults if fault.instance == request.instance]
    return any(_makes_unavailable(fault, start_us, end_us, ready) for fault in own_faults) or any(
        fault.start_us < end_us and start_us < fault.end_us + LIMITS.process_transition_us
        for fault in experiment.faults
        if fault.link is LinkKind.CLIENT and fault.instance in (None, request.instance)
    )


def _makes_unavailable(fault: Fault, start_us: int, end_us: int, ready: Sequence[int]) -> bool:
    """Return whether the fault takes the instance or a predecessor's connections down in that interval."""
    if fault.kind is FaultKind.LEAVE:
        return fault.start_us < end_us
    if fault.kind in LATE_STARTS:
        return start_us < min((time for time in ready if time >= fault.start_us), default=end_us)
    if fault.kind is FaultKind.UPGRADE:
        # A predecessor that is killed or stopped loses its connections; one that terminates drains them.
        return fault.predecessor_end is not ProcessEnd.TERMINATE and fault.end_us < end_us
    if fault.kind in PROCESS_FAULTS:
        recovered_us = _recovery_us(fault, ready)
        return fault.start_us < end_us and (recovered_us is None or start_us < recovered_us)
    return False


def _recovery_us(fault: Fault, ready: Sequence[int]) -> int | None:
    """Return when the instance is available again; None if it never was.

    A restarted instance is available once its own history records that it is ready, however long that took.
    """
    if fault.kind is FaultKind.STOP:
        return fault.end_us + LIMITS.process_transition_us
    restarts = [time for time in ready if time >= fault.end_us]
    if not restarts:
        return None
    return min(restarts) + LIMITS.dispatch_latency_us
