"""Limits fitted to a machine."""

from __future__ import annotations

from garnetlanding.limits import Limits


def test_an_admin_service_reserves_what_a_successor_process_needs_to_start() -> None:
    alone = Limits().fit(512 << 20, 1024)  # enough memory for the largest pool, whether or not it is shared
    shared = Limits().fit(512 << 20, 1024, has_admin_service=True)
    assert alone.client_connections - shared.client_connections == Limits().successor_sockets
    assert alone.pool_max - shared.pool_max == Limits().pool_reserved
    assert shared.open_bytes <= alone.open_bytes


def test_two_processes_together_fit_the_memory_of_one_instance() -> None:
    limits = Limits()
    shared = limits.fit(192 << 20, 1024, has_admin_service=True)
    programs = 2 * limits.program_bytes
    own_buffers = 2 * limits.pool_reserved * limits.buffer_bytes
    connections = 1024 * limits.connection_bytes
    assert programs + own_buffers + connections + shared.pool_max * limits.buffer_bytes <= 192 << 20


def test_reserved_sockets_and_connections_fit_the_descriptors() -> None:
    for sockets in (128, 1024, 65536):
        limits = Limits().fit(192 << 20, sockets)
        used = limits.client_connections + limits.reserved_backend_connections + limits.reserved_sockets
        assert used == sockets
        assert limits.reserved_backend_connections <= limits.backend_connections
