"""Every size, count and time limit of the lab, in one place."""

from __future__ import annotations

from dataclasses import dataclass

MS, SECOND = 1_000, 1_000_000


@dataclass(frozen=True, slots=True)
class LabLimits:
    """Times are microseconds, sizes bytes, unless a name says otherwise."""

    heads: int = 32  # of an experiment at most
    port: int = 6379  # of a head for clients
    peer_port: int = 7946  # of a head for other heads
    store_port: int = 7400  # of the store's writer
    ops_port: int = 7380  # of a head for operators
    supervise_us: int = 2 * SECOND  # after which a first process that stands still is killed
    call_s: int = 2  # that an operator's call may take
    datagram_bytes: int = 2048  # read of one at most; a longer one goes on cut short
    ready_s: int = 30  # for all heads to say that they can be used
    settle_us: int = 1500 * MS  # from there to the first request: heads have heard each other
    last_s: int = 10  # after the last request's time, for the clients to end
    end_s: float = 5.0  # for a head after SIGTERM, before SIGKILL
    turn_ms: int = 50  # that the lab's loop waits at most before it looks at its processes
    greet_us: int = 20 * MS  # between tries to connect to a head that starts
    answer_late_us: int = 500 * MS  # an answer later than this after its time counts as none
    flood_copies: int = 250  # of each datagram: with four a second, a thousand a second on a link
    reorder_us: int = 40 * MS  # one that is overtaken comes so much later, unless the fault says how much
    backend_conns: int = 256  # that a brick takes
    stream_bytes: int = 65536  # read of a connection at once
    trickle_bytes: int = 32  # of each drop
    brick_units_s: float = 200.0  # that a brick does in a second
    beat_us: int = 2 * SECOND  # between discovery's empty lines
    send_us: int = 100 * MS  # from a head's decision to its brick, on a loaded machine
    process_us: int = 1500 * MS  # that a process takes to end or start at most, on a loaded machine
    twin_us: int = 3 * SECOND  # start, a word there and back, and the leases given meanwhile
    latency_most_us: int = 60 * SECOND  # longer ones count as that
    latency_digits: int = 3  # that a histogram keeps of each
    parts_slack: float = 0.001  # of a sum of parts: histories round
    line_shown: int = 200  # characters of a log's line
    broken_shown: int = 20  # rules broken, on the screen; all are in the result
    table_columns: int = 110  # of a table that goes to no terminal


LIMITS = LabLimits()
