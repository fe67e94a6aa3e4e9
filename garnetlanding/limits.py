"""All size, count and time limits of an instance, determined at the start and passed as one object.

Names end in their unit: `_us` microseconds, `_bytes` bytes; the others are counts.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one instance. The defaults fit the platform's 192 MB and 1,024 descriptors.

    `fit` returns those for another machine.
    """

    program_bytes: int = 24 << 20  # the process without connections and requests
    connection_bytes: int = 16 << 10  # per connection, without what its peer sends
    request_bytes: int = 6 << 10  # per open request, in engine and decision module, without its value
    record_bytes: int = 1 << 10  # per entry of a log or a queue

    # Descriptors. Backend connections may use a third of them, of which half, a sixth, is reserved. Client
    # connections may use everything that is not reserved, since many clients send few requests or none.
    reserved_sockets: int = 32  # listeners, discovery, signals, telemetry, followers, files, lingering closes
    successor_sockets: int = 24  # with an admin service: for the start of a successor process
    client_connections: int = 822
    backend_connections: int = 341
    reserved_backend_connections: int = 170
    connections_per_backend: int = 48
    backlog: int = 512
    accepts_per_iteration: int = 32  # connections accepted in one iteration of the event loop

    # Buffers.
    buffer_bytes: int = 8192
    pool_free_max: int = 256  # free buffers kept for reuse
    # Memory that connections may hold together, in buffers: input, output, waiting replies, open requests.
    pool_max: int = 10240
    pool_reserved: int = 16  # of these, reserved for the process itself: admin service and discovery
    unsent_bytes: int = 4 << 20  # unsent output of a connection whose peer reads slowly

    # RESP2.
    line_bytes: int = 512
    value_bytes: int = 65536  # of a client
    reply_bytes: int = 4 << 20  # of a backend
    stream_threshold_bytes: int = 65536  # longer backend values are streamed to the client
    # Unsent output of the client at which reading a streamed value from its backend pauses.
    stream_window_bytes: int = 32 << 10
    stream_stall_us: int = (
        2 * SECOND
    )  # a backend that sends nothing of a streamed value for this long has failed
    # A value of a client that sends several requests at once is collected before it is streamed, this long
    # at most, and up to this time before its deadline: if it is cut short, the others are still answered.
    stream_collect_us: int = SECOND
    stream_margin_us: int = 100 * MS
    array_elements: int = 16
    array_nesting: int = 4
    buffered_reply_bytes: int = 128 << 10  # of a backend's reply, without a value that is streamed
    name_bytes: int = 64  # of an object's key, a request id or a volume
    pipelined_commands: int = (
        64  # unanswered commands of one client connection; a client that exceeds it is disconnected
    )
    commands_per_iteration: int = 8  # processed of one client connection
    # Events of an iteration beyond which one command of each connection is processed, so that those with few
    # commands are not late behind many with a lot.
    events_per_iteration: int = 64
    max_invalid_commands: int = 8  # per connection, which is then closed

    max_usage_percent: int = 100_000  # usage of a plan's rate above this is implausible

    # 9P.
    ninep_client_connections: int = 108  # of clients
    ninep_server_connections: int = 80
    ninep_msize: int = 65536 + 24
    ninep_msize_min: int = 256
    ninep_fids: int = 1024  # of one client
    ninep_tags: int = 128  # in flight, of one client
    ninep_messages_per_iteration: int = 2  # processed of one client
    ninep_requests: int = 8  # of one client in the engine if no other client is active; more are queued
    ninep_active_us: int = 100 * MS  # a client counts as active for this long after a request
    ninep_pending_bytes: int = 2 << 10  # per message that waits, without its data
    ninep_unanswered_removals: int = (
        1024  # of files to be removed on close, for clients that have disconnected
    )
    ninep_path_bytes: int = 4096
    ninep_path_names: int = 64
    ninep_keep_open: int = 16  # files cached open on one server connection
    ninep_locks: int = 4096  # byte ranges locked by all clients
    ninep_lock_owner_bytes: int = 128
    # Delay before the next change of a file after an attempt that may still be running at a server.
    ninep_change_pause_us: int = 500 * MS
    ninep_change_pauses: int = 4096  # number of such files that are remembered, the newest

    # Records in the decision module that outlast requests: volumes, and timers of ended requests.
    decision_records: int = 16384
    decision_record_bytes: int = 2560

    # Requests in the engine.
    open_requests: int = 13653
    open_bytes: int = 80 << 20  # of the values of open requests
    concurrent_attempts: int = 2  # attempts of one request in flight at once if the settings allow hedging
    max_deadline_us: int = 60 * SECOND  # the longest deadline that a client may request

    # Times.
    connect_timeout_us: int = 250 * MS  # timeout for connecting to a backend
    backend_idle_us: int = (
        24 * SECOND
    )  # shorter than the time after which a backend closes an idle connection
    # A backend may send a second reply some milliseconds late, which would be taken for the reply to the next
    # request of its connection.
    backend_rest_us: int = 12 * MS  # before a connection is reused
    sweep_us: int = SECOND  # interval between checks for idle backend connections
    client_sweep_us: int = 100 * MS  # interval between checks for client connections to close
    accept_pause_us: int = 10 * MS  # before accepting again after a failure
    disconnect_check_us: int = 50 * MS  # interval of checks for the disconnect of a client that is not read
    read_bytes_per_iteration: int = 64 << 10  # of one client
    invalid_command_pause_us: int = (
        200 * MS
    )  # a connection is not read for this long after an invalid command
    # Lingering close: input is read on until a limit, as unread input would reset the connection and the
    # client could lose the last response.
    linger_us: int = 500 * MS
    linger_bytes: int = 256 << 10
    lingering_connections: int = (
        16  # lingering connections beyond `client_connections`; more close the oldest
    )
    # To receive a complete command, from connecting or from the command's first byte; clients get 3 s.
    command_timeout_us: int = 2500 * MS
    # While connections are scarce, one is closed that has been idle for this long before its first command,
    # after a command, or within one; the last is longer than the pauses of a client that writes slowly.
    new_client_timeout_us: int = 100 * MS
    idle_client_timeout_us: int = 2 * SECOND
    stalled_client_timeout_us: int = 500 * MS
    write_stall_us: int = 5 * SECOND  # a connection whose peer reads nothing for this long is closed
    partial_reply_us: int = 100 * MS  # for the rest of a backend's reply after its first byte

    # Discovery.
    # An instance must receive a change within 6 s if discovery is reachable (docs/design/endings.md).
    discovery_answer_us: int = 2500 * MS  # includes connecting; discovery itself fails queued calls after 2 s
    discovery_silence_us: int = 2800 * MS  # a watch sends a complete line at least every 2 s
    discovery_queued_us: int = 500 * MS  # a call rejected after this long was queued first
    discovery_buffers: int = 32  # reserved for discovery; clients and backends may exhaust the others
    # With pushed lists, an agent on the same machine receives changes and responds without delay, so a failed
    # call is retried soon.
    agent_answer_us: int = 300 * MS
    agent_retry_us: int = 50 * MS
    http_line_bytes: int = 8192
    http_headers: int = 64
    http_body_bytes: int = 64 << 10  # of a request to the admin service; read and discarded
    list_line_bytes: int = 1 << 20

    # The store.
    store_log_entries: int = 1024  # a follower that misses more entries gets a snapshot
    store_line_bytes: int = 1 << 20
    store_followers: int = 16
    store_heartbeat_us: int = SECOND
    store_silence_us: int = 3 * SECOND  # without data for this long, the writer counts as unreachable
    store_save_us: int = 200 * MS  # changes within this time are saved together
    store_retry_us: int = SECOND

    # Telemetry.
    telemetry_queue: int = 4096
    telemetry_batch: int = 64  # small, as encoding a batch blocks the event loop
    telemetry_attempts: int = 4
    telemetry_backoff_us: int = 500 * MS  # before the second attempt; doubles with each further one
    telemetry_backoff_max_us: int = 30 * SECOND
    telemetry_flush_us: int = SECOND  # for the last export before the process ends
    telemetry_answer_us: int = 5 * SECOND

    # Admin service. While others wait, connections without a complete call are closed after
    # `ops_new_client_timeout_us`, so that with a full backlog the last caller is answered within a second.
    ops_connections: int = 12
    ops_lingering_connections: int = 4  # as `lingering_connections`, of the admin service
    ops_new_client_timeout_us: int = 20 * MS
    ops_poll_us: int = 100 * MS  # interval of reading the process quota of the other process of an upgrade
    ops_endpoints_wait_us: int = 1500 * MS  # then a new process uses the cached endpoint list
    ops_flush_us: int = 200 * MS  # at shutdown, to answer calls already received
    drain_serve_us: int = (
        1500 * MS
    )  # a drained instance serves open connections for this long; 2 s are allowed

    signal_bytes: int = 64  # signals read at once

    # Graceful shutdown. After SIGTERM clients open new connections for up to 0.4 s, and send requests on open
    # ones until these are closed. SIGKILL follows 0.7 s after the longest deadline at the earliest.
    shutdown_deadline_us: int = 3 * SECOND  # longest request deadline that the shutdown allows for
    shutdown_kill_us: int = 700 * MS  # from the longest deadline to SIGKILL
    shutdown_margin_us: int = (
        250 * MS
    )  # from the last answers to the end of the process, and from there to SIGKILL
    shutdown_poll_us: int = 10 * MS  # interval of checks for the next phase
    shutdown_accept_us: int = 450 * MS  # how long new connections are accepted
    shutdown_serve_us: int = 1500 * MS  # how long requests are served as before, at most
    shutdown_reject_us: int = 3200 * MS  # when all requests still open are rejected

    def fit(self, memory_bytes: int, sockets: int, *, has_admin_service: bool = False) -> Limits:
        """Return these limits, fitted to a machine's memory and to its number of descriptors.

        Of the memory without the program and its connections, a third is for what connections hold, an eighth
        for records of the decision module, and a sixteenth each for the store's log and the telemetry queue.
        The rest is for what the allocator wastes. With an admin service a successor process may run at the
        same time: what it needs to start is reserved, and the two processes divide the rest.
        """
        processes = 2 if has_admin_service else 1
        fixed_bytes = processes * self.program_bytes + sockets * self.connection_bytes
        free_bytes = max(memory_bytes - fixed_bytes, memory_bytes // 8)
        buffers = min(self.pool_max, free_bytes // 3 // self.buffer_bytes)
        buffers -= (processes - 1) * self.pool_reserved
        held_bytes = buffers * self.buffer_bytes
        reserved_sockets = self.reserved_sockets + (self.successor_sockets if has_admin_service else 0)
        reserved = sockets // 6
        return replace(
            self,
            backend_connections=sockets // 3,
            reserved_backend_connections=reserved,
            client_connections=sockets - reserved - reserved_sockets,
            pool_max=buffers,
            pool_free_max=min(self.pool_free_max, buffers // 4),
            unsent_bytes=min(self.unsent_bytes, free_bytes // 8),
            open_bytes=min(self.open_bytes, held_bytes),
            open_requests=min(self.open_requests, held_bytes // self.request_bytes),
            decision_records=min(self.decision_records, free_bytes // 8 // self.decision_record_bytes),
            ninep_unanswered_removals=min(
                self.ninep_unanswered_removals, free_bytes // 32 // self.request_bytes
            ),
            store_log_entries=min(self.store_log_entries, free_bytes // 16 // self.record_bytes),
            telemetry_queue=min(self.telemetry_queue, free_bytes // 16 // self.record_bytes),
        )
