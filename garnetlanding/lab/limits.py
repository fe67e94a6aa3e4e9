"""All size, count and time limits of the lab."""

from __future__ import annotations

from dataclasses import dataclass

MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True, slots=True)
class LabLimits:
    """The limits; each name ends in its unit."""

    instances_max: int = 32  # in an experiment
    client_port: int = 6379  # where instances listen for clients
    peer_port: int = 7946  # where instances listen for peers
    store_port: int = 7400  # where the store's writer listens
    ops_port: int = 7380  # where instances listen for operators
    supervisor_kill_us: int = 2 * SECOND  # until a stopped predecessor is killed
    operator_call_timeout_s: int = 2
    datagram_read_bytes: int = 2048  # longer datagrams are forwarded truncated
    ready_timeout_s: int = 60  # for all instances to become ready, and for standbys to be loaded
    settle_us: int = 1500 * MS  # from readiness to the first request: peers exchange first messages
    clients_exit_timeout_s: int = 10  # after the last request's timeout, for the clients to exit
    terminate_timeout_s: float = 5.0  # after SIGTERM, before SIGKILL
    iteration_wait_ms: int = 50  # longest wait of the lab's event loop before it checks its processes
    ping_interval_us: int = 20 * MS  # between attempts to connect to a starting instance
    answer_grace_us: int = 500 * MS  # after a request's timeout; a later response counts as none
    flood_copies: int = 250  # per datagram: at four a second, a thousand a second on a link
    reorder_delay_us: int = 40 * MS  # of an overtaken datagram, unless the fault sets one
    backend_connections_max: int = 256  # that a backend accepts
    stream_read_bytes: int = 65536  # per read of a proxied connection
    trickle_bytes: int = 32  # per piece
    backend_units_per_s: float = 200.0  # service rate of a backend
    heartbeat_us: int = 2 * SECOND  # between discovery's empty lines
    # From an instance's decision to its backend, on a loaded machine.
    dispatch_latency_us: int = 100 * MS
    # For a process to exit or start, on a loaded machine.
    process_transition_us: int = 1500 * MS
    # The duplicate's start, a message round trip, and the leases granted meanwhile.
    duplicate_detection_us: int = 3 * SECOND
    latency_max_us: int = 60 * SECOND  # longer latencies are recorded as this
    latency_digits: int = 3  # significant digits of a histogram's values
    quota_tolerance: float = 0.001  # of a sum of quotas, because histories round
    log_line_chars_shown: int = 200
    violations_shown: int = 20  # on the screen; the result holds all
    table_columns: int = 110  # of a table that is not printed to a terminal


LIMITS = LabLimits()
