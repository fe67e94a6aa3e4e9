"""Every size, count and time limit of the lab, in one place."""

from __future__ import annotations

from dataclasses import dataclass

MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True, slots=True)
class LabLimits:
    """Times are microseconds, sizes bytes, unless a name says otherwise."""

    instances_max: int = 32  # of an experiment at most
    client_port: int = 6379  # of an instance for clients
    peer_port: int = 7946  # of an instance for its peers
    store_port: int = 7400  # of the store's writer
    ops_port: int = 7380  # of an instance for operators
    supervisor_kill_us: int = 2 * SECOND  # after which a predecessor that is stopped is killed
    operator_call_timeout_s: int = 2  # that an operator's call may take
    datagram_read_bytes: int = 2048  # read of one at most; a longer one goes on cut short
    ready_timeout_s: int = 60  # for all instances to become ready, and for later ones to be loaded
    settle_us: int = 1500 * MS  # from there to the first request: peers have received from each other
    clients_exit_timeout_s: int = 10  # after the last request's time, for the clients to end
    terminate_timeout_s: float = 5.0  # for an instance after SIGTERM, before SIGKILL
    iteration_wait_ms: int = 50  # that the lab's loop waits at most before it looks at its processes
    ping_interval_us: int = 20 * MS  # between attempts to connect to an instance that starts
    answer_grace_us: int = 500 * MS  # an answer later than this after its time counts as none
    flood_copies: int = 250  # of each datagram: with four a second, a thousand a second on a link
    reorder_delay_us: int = (
        40 * MS
    )  # one that is overtaken comes so much later, unless the fault says how much
    backend_connections_max: int = 256  # that a backend takes
    stream_read_bytes: int = 65536  # read of a connection at once
    trickle_bytes: int = 32  # of each piece
    backend_units_per_s: float = 200.0  # that a backend serves
    heartbeat_us: int = 2 * SECOND  # between discovery's empty lines
    dispatch_latency_us: int = 100 * MS  # from an instance's decision to its backend, on a loaded machine
    process_transition_us: int = (
        1500 * MS
    )  # that a process takes to end or start at most, on a loaded machine
    duplicate_detection_us: int = (
        3 * SECOND
    )  # start, a message there and back, and the leases given meanwhile
    latency_max_us: int = 60 * SECOND  # longer ones count as that
    latency_digits: int = 3  # that a histogram keeps of each
    quota_tolerance: float = 0.001  # of a sum of quotas: histories round
    log_line_chars_shown: int = 200  # characters of a log's line
    violations_shown: int = 20  # on the screen; all are in the result
    table_columns: int = 110  # of a table that goes to no terminal


LIMITS = LabLimits()
