"""Computes how two processes of one instance divide its capacity during an upgrade. No I/O.

Each process has a quota: the fraction of every limit of the instance (connections, buffers, requests) that
it may use. It publishes the quota in a record that the others read (`process_record`, `process_registry`).
Invariant: the quotas in force never add up to more than 1, because a predecessor applies a lower quota before
it publishes it, and a successor takes no more than its predecessors' published quotas leave.
"""

from __future__ import annotations

from collections.abc import Iterable

from garnetlanding.ops.process_record import ProcessRecord

# A predecessor lowers its quota to this once there is a successor, unless it needs more.
UPGRADE_QUOTA = 0.5
# It needs this multiple of its utilization, so that admitted requests can finish.
HEADROOM_FACTOR = 1.25
# A predecessor that is shutting down keeps at least this.
MIN_SHUTDOWN_QUOTA = 0.125

# Stands for the record of a live process whose own is unreadable, perhaps of a later version: a predecessor
# (no process starts before 0) that has already lowered its quota.
UNREADABLE_RECORD = ProcessRecord(0, UPGRADE_QUOTA)


def next_quota(own: ProcessRecord, others: Iterable[ProcessRecord], used: float, *, stopping: bool) -> float:
    """Return the quota that this process may use from now on.

    `used` is the fraction of the limits in use here, `stopping` whether this process is shutting down. A
    process without a successor takes everything that its predecessors leave. One with a successor never
    raises its quota again: it lowers it to UPGRADE_QUOTA, or to `used` times HEADROOM_FACTOR if that is more.
    """
    others = list(others)
    predecessors_quota = sum(other.quota for other in others if other.started_ns < own.started_ns)
    has_successor = any(other.started_ns >= own.started_ns for other in others)
    available = max(0.0, 1.0 - predecessors_quota)
    if not has_successor:
        return available
    floor = MIN_SHUTDOWN_QUOTA if stopping else UPGRADE_QUOTA
    return min(own.quota, available, max(used * HEADROOM_FACTOR, floor))
