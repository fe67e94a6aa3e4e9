"""Every size, count and time limit of an instance in one place: filled in at the start and handed down.

Names end in their unit: `_us` microseconds, `_bytes` bytes; the others are counts.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one instance. The defaults fit the platform's 192 MB and 1,024 descriptors.

    `fit` gives those of another machine.
    """

    program_bytes: int = 20 << 20  # what the program takes by itself
    # What an open request takes in engine and decision module, without its value.
    request_bytes: int = 6 << 10
    record_bytes: int = 1 << 10  # what an entry of a log or a queue takes

    # Descriptors. Clients with open requests hold a third at most, so backends need no more than that; a
    # sixth is always theirs. All the rest takes clients while backends do not need it: some clients never
    # ask, or ask once.
    reserved_sockets: int = 32  # listeners, discovery, signals, telemetry, followers, files, lingering closes
    successor_sockets: int = 24  # with an admin service: for a second process of the instance to start with
    client_conns: int = 822
    backend_conns: int = 341
    backend_conns_reserved: int = 170
    idle_clients: int = 170  # so many client connections may stay idle; more are closed one after the other
    conns_per_backend: int = 48
    backlog: int = 512
    accepts_per_iteration: int = 32  # connections accepted in one iteration of the event loop

    # Buffers.
    buffer_bytes: int = 8192
    pool_free_max: int = 256  # free buffers kept for reuse
    pool_max: int = 4096  # buffers in use at once, over all connections
    pool_reserved: int = 16  # of these, a process's own from its start on, so that admin and discovery work
    unsent_bytes: int = 4 << 20  # a connection that reads slowly may leave this much unsent

    # RESP2.
    line_bytes: int = 512
    value_bytes: int = 65536  # of a client
    reply_bytes: int = 4 << 20  # of a backend
    stream_threshold_bytes: int = 65536  # a longer value of a backend is forwarded as it comes
    # What a client may leave unread of such a value before reading from the backend pauses.
    stream_window_bytes: int = 32 << 10
    stream_stall_us: int = 2 * SECOND  # a backend that sends no more of it for so long has failed
    elements: int = 16
    nesting: int = 4
    name_bytes: int = 64  # of a piece, an id or a volume
    pipeline: int = 64  # unanswered commands of one client connection; one with more is rejected
    bad_commands: int = 8  # of one connection; one with more is rejected

    use_percent: int = 100_000  # no volume uses its plan's rate a thousand times over

    # 9P.
    ninep_conns: int = 108  # of clients
    ninep_server_conns: int = 80
    ninep_msize: int = 65536 + 24
    ninep_msize_min: int = 256
    ninep_fids: int = 1024  # of one client
    ninep_tags: int = 128  # in flight, of one client
    ninep_messages_per_iteration: int = 2  # taken off one client's connection
    ninep_requests: int = 8  # of one client in the engine while no other client asks; more wait behind them
    ninep_active_us: int = 100 * MS  # a client that has asked within this gets its share of them
    ninep_path_bytes: int = 4096
    ninep_path_names: int = 64
    ninep_keep_open: int = 16  # files kept open on one server connection
    ninep_locks: int = 4096  # byte ranges locked by all clients
    ninep_lock_owner_bytes: int = 128
    # After an attempt that may still be in progress at a server, the next change of that file waits so long.
    ninep_change_pause_us: int = 500 * MS
    ninep_change_pauses: int = 4096  # so many such files are remembered, the newest

    # Requests in the engine.
    open_items: int = 8192
    open_bytes: int = 32 << 20  # the values that open requests carry
    copies: int = 2  # attempts of one request in flight at once, where the settings allow hedging
    client_wait_us: int = 60 * SECOND  # no client may ask for a longer deadline

    # Times.
    dial_us: int = 250 * MS  # to connect to a backend
    backend_idle_us: int = 24 * SECOND  # less than the time after which a backend closes an idle connection
    sweep_us: int = SECOND  # between looks for idle backend connections
    client_sweep_us: int = 100 * MS  # and for client connections that may be closed
    accept_pause_us: int = 10 * MS  # after a connection could not be accepted
    # How often a connection that is not read is checked for its client's end.
    disconnect_check_us: int = 50 * MS
    read_bytes_per_iteration: int = 64 << 10  # of one client
    misuse_pause_us: int = 200 * MS  # a connection is not read for so long after a bad command
    # Before a close, what still comes is read for so long and so far: a reset could take the last answer.
    linger_us: int = 500 * MS
    linger_bytes: int = 256 << 10
    linger_conns: int = 16  # such beyond the places of clients; with more the oldest is closed at once
    # From connecting for the first command, from its own first byte for others: 3 s are allowed.
    command_us: int = 2500 * MS
    new_us: int = 100 * MS  # when places are short: for a connection that never asked, or is within a command
    idle_us: int = 2 * SECOND  # when places are short: for one that has asked before
    write_stall_us: int = 5 * SECOND  # a connection that takes no byte for this long is closed
    partial_reply_us: int = 100 * MS  # within which a backend's reply that has begun must be complete

    # Discovery.
    # A change counts as known 6 s after discovery had it and could be reached (docs/design/endings.md).
    discovery_answer_us: int = 2500 * MS  # with connecting; discovery fails late calls itself, after 2 s
    discovery_silence_us: int = 2800 * MS  # a watch sends a complete line every 2 s
    discovery_queued_us: int = 500 * MS  # a call rejected after so long was queued in vain
    discovery_buffers: int = 32  # of its own: clients and backends may have all others
    # Where lists are pushed, an agent on the instance's own machine answers at once and at no cost, and what
    # it has counts as known: the instance asks it again soon, whatever became of the watch before.
    agent_answer_us: int = 300 * MS
    agent_retry_us: int = 50 * MS
    http_line_bytes: int = 8192
    http_headers: int = 64
    http_body_bytes: int = 64 << 10  # of a call; none needs one, so it is read past and the answer arrives
    list_line_bytes: int = 1 << 20

    # The store.
    store_log_entries: int = 1024  # a follower further behind gets a snapshot
    store_line_bytes: int = 1 << 20
    store_followers: int = 16
    store_heartbeat_us: int = SECOND
    store_silence_us: int = 3 * SECOND  # a writer silent for so long is unreachable
    store_save_us: int = 200 * MS  # changes within this are written to the file together
    store_retry_us: int = SECOND

    # Telemetry.
    telemetry_queue: int = 4096
    telemetry_batch: int = 64  # small: encoding one holds up everything else
    telemetry_attempts: int = 4
    telemetry_backoff_us: int = 500 * MS  # before the second attempt; it doubles
    telemetry_backoff_max_us: int = 30 * SECOND
    telemetry_flush_us: int = SECOND  # for the last export at the end
    telemetry_answer_us: int = 5 * SECOND

    # Admin service. Callers that hold a place without a complete call make room after `ops_new_us`, so that
    # with all places taken and the backlog full the last caller is still answered within its second.
    ops_conns: int = 12
    ops_linger_conns: int = 4  # as `linger_conns`, for its callers
    ops_new_us: int = 20 * MS
    ops_poll_us: int = 100 * MS  # between looks at the share that the other process of an upgrade publishes
    # A new process waits so long for discovery's list, then uses the cached one.
    ops_endpoints_wait_us: int = 1500 * MS
    ops_flush_us: int = 200 * MS  # at the end, for calls that have come already
    drain_serve_us: int = 1500 * MS  # a drained instance serves open connections for so long; 2 s are allowed

    signal_bytes: int = 64  # signals read at once

    # Graceful shutdown. After SIGTERM new connections come for up to 0.4 s, requests on open ones for as long
    # as those stay open. SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s more.
    term_deadline_us: int = 3 * SECOND  # the longest deadline that is counted on
    term_kill_us: int = 700 * MS  # from the longest deadline to SIGKILL
    # From the end of the process to SIGKILL, and from the last answers to that end.
    term_margin_us: int = 250 * MS
    term_poll_us: int = 10 * MS  # between looks at the phase
    term_accept_us: int = 450 * MS  # new connections are accepted for so long
    term_serve_us: int = 1500 * MS  # requests are served as before for so long at most
    term_reject_us: int = 3200 * MS  # what is still open after so long is rejected

    def fit(self, memory_bytes: int, sockets: int, ops: bool = False) -> Limits:
        """Return these limits for a machine of that much memory and so many descriptors.

        Of the memory that the program leaves, a quarter each is for buffers, for what open requests carry and
        for the requests; logs and queues get a sixteenth each. With an admin service (`ops`) a second process
        may start beside this one: it is left what it needs to start, and the two share the rest.
        """
        programs = 2 if ops else 1
        free_bytes = max(memory_bytes - programs * self.program_bytes, memory_bytes // 8)
        buffers = (
            min(self.pool_max, free_bytes // 4 // self.buffer_bytes) - (programs - 1) * self.pool_reserved
        )
        reserved = sockets // 6
        return replace(
            self,
            backend_conns=sockets // 3,
            backend_conns_reserved=reserved,
            client_conns=sockets - reserved - self.reserved_sockets - (self.successor_sockets if ops else 0),
            idle_clients=reserved,
            pool_max=buffers,
            pool_free_max=min(self.pool_free_max, buffers // 4),
            unsent_bytes=min(self.unsent_bytes, free_bytes // 8),
            open_bytes=min(self.open_bytes, free_bytes // 4),
            open_items=min(self.open_items, free_bytes // 4 // self.request_bytes),
            store_log_entries=min(self.store_log_entries, free_bytes // 16 // self.record_bytes),
            telemetry_queue=min(self.telemetry_queue, free_bytes // 16 // self.record_bytes),
        )
