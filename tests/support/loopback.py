"""Finds data in transit between the loopback sockets of this process, using the kernel's counters.

A simulated instance has a simulated clock but real sockets. The kernel delivers bytes, connects and closes
asynchronously: it defers packets on a busy machine, and it delays data by up to 40 ms because of delayed
acknowledgements. Comparing what one socket has sent with what the other has received (`TCP_INFO`) tells data
that has not arrived yet from data that will never arrive.

Both ends of every connection are assumed to be in this process. Datagrams are not covered.
"""

from __future__ import annotations

import fcntl
import os
import select
import socket
import struct
import termios
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

Address = tuple[str, int]
"""Host and port."""


class TcpState(IntEnum):
    """The states of a TCP socket, numbered as in the kernel's tcp_states.h."""

    ESTABLISHED = 1
    SYN_SENT = 2
    SYN_RECEIVED = 3
    FIN_WAIT_1 = 4
    FIN_WAIT_2 = 5
    TIME_WAIT = 6
    CLOSED = 7
    CLOSE_WAIT = 8
    LAST_ACK = 9
    LISTEN = 10
    CLOSING = 11


FIN_UNACKNOWLEDGED = frozenset({TcpState.FIN_WAIT_1, TcpState.LAST_ACK, TcpState.CLOSING})
FIN_NOT_RECEIVED = frozenset({TcpState.ESTABLISHED, TcpState.FIN_WAIT_1, TcpState.FIN_WAIT_2})

# Offsets of fields in the kernel's struct tcp_info. For a listening socket, `unacked` is the number of
# connections that wait to be accepted and `sacked` is the maximum.
_STATE = struct.Struct("=B")
_U32 = struct.Struct("=I")
_U64 = struct.Struct("=Q")
_UNACKED_AT, _SACKED_AT = 24, 28
_BYTES_RECEIVED_AT, _NOT_SENT_AT, _BYTES_SENT_AT, _BYTES_RETRANSMITTED_AT = 128, 144, 200, 208
_TCP_INFO_BYTES = 216


@dataclass(frozen=True, slots=True)
class TcpSocket:
    """The state of one TCP socket of this process, as reported by the kernel."""

    local: Address
    remote: Address | None  # `None` unless connected
    state: TcpState
    bytes_sent: int  # first transmissions only
    bytes_received: int  # a FIN counts as one
    bytes_not_sent: int  # accepted from the program, not transmitted yet
    segments_unacknowledged: int
    unread: int  # received, not yet read by the program
    writable: bool
    accept_queue: int  # of a listening socket
    accept_queue_max: int

    @property
    def accepts_connections(self) -> bool:
        """Return whether the kernel queues another connection for this listening socket."""
        return self.accept_queue <= self.accept_queue_max


Connections = dict[tuple[Address, Address | None], TcpSocket]
"""Connected or half-closed sockets by local and remote address."""

Listeners = dict[Address, TcpSocket]
"""Listening sockets by address."""


def fix_kernel_buffers(sock: socket.socket, size_bytes: int) -> None:
    """Set the kernel's buffers of a socket to about `size_bytes` per direction, which disables autotuning.

    Otherwise their size varies over time, up to the 4 MiB of net.ipv4.tcp_wmem.
    """
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, size_bytes)


def traffic_in_transit() -> list[str]:
    """Return a description of everything that the kernel has yet to deliver; empty if there is nothing.

    Data that waits because the program at the other end does not read or accept counts as delivered.
    """
    sockets = list(_tcp_sockets())
    listeners = {
        tcp_socket.local: tcp_socket for tcp_socket in sockets if tcp_socket.state is TcpState.LISTEN
    }
    connections: Connections = {
        (tcp_socket.local, tcp_socket.remote): tcp_socket for tcp_socket in sockets if tcp_socket.remote
    }
    return [
        *_data_between_open_ends(connections),
        *_closes_in_transit(connections, listeners),
        *_unaccepted_connections(connections, listeners),
        *_unanswered_connects(sockets, listeners),
    ]


def _peer_of(tcp_socket: TcpSocket, connections: Connections) -> TcpSocket | None:
    assert tcp_socket.remote
    return connections.get((tcp_socket.remote, tcp_socket.local))


def _data_between_open_ends(connections: Connections) -> Iterator[str]:
    """Yield what is in transit on connections whose two ends are open."""
    for sender in connections.values():
        receiver = _peer_of(sender, connections)
        if receiver is None:
            continue
        description = undelivered(sender, receiver)
        if description:
            yield f"{description} from {sender.local} to {sender.remote}"


def undelivered(sender: TcpSocket, receiver: TcpSocket) -> str | None:
    """Return what the kernel has yet to deliver in one direction, or `None`."""
    if sender.bytes_sent > receiver.bytes_received:
        return f"{sender.bytes_sent - receiver.bytes_received} bytes"
    if sender.bytes_not_sent and (sender.segments_unacknowledged or not receiver.unread):
        return f"{sender.bytes_not_sent} bytes that wait for an acknowledgement or a window"
    if sender.segments_unacknowledged and not sender.writable:
        return "an acknowledgement that makes room for more"
    if (
        sender.state in FIN_UNACKNOWLEDGED
        and not sender.bytes_not_sent
        and receiver.state in FIN_NOT_RECEIVED
    ):
        return "the end of the connection"
    return None


def _closes_in_transit(connections: Connections, listeners: Listeners) -> Iterator[str]:
    """Yield each connection whose other end is closed, while the close has not reached this end.

    With unread bytes the close may be queued after data for which there is no buffer space; such connections
    are skipped, because their state cannot be determined from here.
    """
    for tcp_socket in connections.values():
        if tcp_socket.remote in listeners or _peer_of(tcp_socket, connections):
            continue
        if tcp_socket.state in FIN_NOT_RECEIVED and not tcp_socket.unread:
            yield f"the close by {tcp_socket.remote} to {tcp_socket.local}"


def _unaccepted_connections(connections: Connections, listeners: Listeners) -> Iterator[str]:
    """Yield each listening socket that has fewer queued connections than clients connected to it.

    The other clients' connections are still being established, or were closed by the other end.
    """
    waiting = Counter(
        tcp_socket.remote
        for tcp_socket in connections.values()
        if tcp_socket.remote in listeners
        and tcp_socket.state in FIN_NOT_RECEIVED
        and not tcp_socket.unread
        and not _peer_of(tcp_socket, connections)
    )
    for address, clients in waiting.items():
        assert address is not None
        listener = listeners[address]
        if clients > listener.accept_queue and listener.accepts_connections:
            yield f"{clients - listener.accept_queue} connects or closes at {address}"


def _unanswered_connects(sockets: list[TcpSocket], listeners: Listeners) -> Iterator[str]:
    """Yield each connect that the kernel will answer.

    The kernel does not report the destination of a connect before the answer, and a full listening socket
    leaves connects unanswered. Therefore none is expected to be answered while a listening socket is full.
    """
    if all(listener.accepts_connections for listener in listeners.values()):
        yield from (
            f"the connect from {tcp_socket.local}"
            for tcp_socket in sockets
            if tcp_socket.state is TcpState.SYN_SENT
        )


# Reading the kernel's state


def _tcp_sockets() -> Iterator[TcpSocket]:
    """Yield every TCP socket that this process has open."""
    for name in os.listdir("/proc/self/fd"):
        try:
            sock = socket.socket(fileno=int(name))
        except OSError:  # not a socket, or the descriptor of the directory listing
            continue
        try:
            if sock.type == socket.SOCK_STREAM and sock.family in (socket.AF_INET, socket.AF_INET6):
                yield _describe(sock)
        except OSError:
            continue  # closed by another thread in the meantime
        finally:
            sock.detach()


def _describe(sock: socket.socket) -> TcpSocket:
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    state = TcpState(_STATE.unpack_from(info)[0])
    listening = state is TcpState.LISTEN
    unacked = _U32.unpack_from(info, _UNACKED_AT)[0]
    return TcpSocket(
        local=sock.getsockname()[:2],
        remote=_remote_address(sock),
        state=state,
        bytes_sent=_U64.unpack_from(info, _BYTES_SENT_AT)[0]
        - _U64.unpack_from(info, _BYTES_RETRANSMITTED_AT)[0],
        bytes_received=_U64.unpack_from(info, _BYTES_RECEIVED_AT)[0],
        bytes_not_sent=_U32.unpack_from(info, _NOT_SENT_AT)[0],
        segments_unacknowledged=0 if listening else unacked,
        unread=0 if listening else _unread(sock),
        writable=listening or not unacked or _writable(sock),
        accept_queue=unacked if listening else 0,
        accept_queue_max=_U32.unpack_from(info, _SACKED_AT)[0] if listening else 0,
    )


def _remote_address(sock: socket.socket) -> Address | None:
    try:
        host, port = sock.getpeername()[:2]
    except OSError:
        return None
    return host, port


def _unread(sock: socket.socket) -> int:
    return int(_U32.unpack(fcntl.ioctl(sock, termios.FIONREAD, bytes(_U32.size)))[0])


def _writable(sock: socket.socket) -> bool:
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    return bool(poll.poll(0))
