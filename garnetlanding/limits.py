"""Every size, count and time limit of the head, in one place: filled at start and handed down."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000
SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Limits:
    """Times are microseconds, sizes bytes. The defaults fit the platform's 192 MB and 1,024 descriptors."""

    # Descriptors: what clients and bricks may hold together leaves some for the rest.
    client_conns: int = 540
    brick_conns: int = 400
    brick_conns_each: int = 48
    backlog: int = 512

    # Buffers.
    buffer_bytes: int = 8192
    pool_keep: int = 256  # free buffers kept for reuse
    pool_most: int = 4096  # buffers in use at once, over all connections
    out_bytes: int = 1 << 20  # a peer that reads slowly may leave this much unsent

    # RESP2.
    line_bytes: int = 512
    value_bytes: int = 65536
    elements: int = 16
    nesting: int = 4
    pipeline: int = 64  # unanswered commands of one client connection

    use_percent: int = 100_000  # no volume uses its plan's rate a thousand times over

    # 9P.
    ninep_conns: int = 108  # clients
    ninep_server_conns: int = 80
    ninep_msize: int = 65536 + 24
    ninep_least_msize: int = 256
    ninep_fids: int = 1024  # of one client
    ninep_tags: int = 128  # in flight, of one client
    ninep_path_bytes: int = 4096
    ninep_path_names: int = 64
    ninep_keep_open: int = 16  # files kept open on one server connection

    # Items in the core.
    open_items: int = 8192
    open_bytes: int = 32 << 20  # what items not yet answered carry
    client_wait_us: int = 60 * SECOND  # no client may ask for longer

    # Times.
    dial_us: int = 250 * MS
    brick_idle_us: int = 24 * SECOND  # below the time at which a brick closes an idle connection
    sweep_us: int = SECOND  # between looks for idle connections
    accept_pause_us: int = 10 * MS  # when no connection can be taken
    parked_look_us: int = 500 * MS  # a paused connection looks at its client this often
    write_stall_us: int = 5 * SECOND  # a peer that takes no byte for this long is cut off
    half_answer_us: int = 100 * MS  # a server's answer begun must be whole by then
    half_command_us: int = 10 * SECOND  # a command begun must be whole by then

    # Discovery.
    discovery_answer_us: int = 1500 * MS
    discovery_quiet_us: int = 3500 * MS  # a watch says something every 2 s
    http_line_bytes: int = 8192
    http_headers: int = 64
    list_line_bytes: int = 1 << 20

    # The store.
    store_log_entries: int = 1024  # a follower further behind gets a snapshot
    store_line_bytes: int = 1 << 20
    store_followers: int = 16
    store_beat_us: int = SECOND
    store_quiet_us: int = 3 * SECOND  # a writer silent for so long is out of reach
    store_save_us: int = 200 * MS  # changes within this go to the file together
    store_retry_us: int = SECOND

    # Telemetry.
    telemetry_queue: int = 4096
    telemetry_batch: int = 64  # small: encoding one holds up everything else
    telemetry_tries: int = 4
    telemetry_pause_us: int = 500 * MS  # before the second try; doubles
    telemetry_pause_most_us: int = 30 * SECOND
    telemetry_last_us: int = SECOND  # for the last round at the end
    telemetry_answer_us: int = 5 * SECOND

    signal_bytes: int = 64  # signals read at once

    # SIGTERM: new connections keep coming for up to 0.4 s. They are taken for at least so long, then until
    # none has come for `term_quiet_us`; what comes later than `term_most_us` could be lost to SIGKILL.
    term_look_us: int = 10 * MS
    term_least_us: int = 450 * MS
    term_quiet_us: int = 100 * MS
    term_most_us: int = 650 * MS
