"""What is still on its way between the loopback sockets of this process, by the kernel's own counters.

A simulated instance has its own clock but real sockets. The kernel delivers bytes, connects and closes in its
own time: it defers packets on a busy machine, and it holds data back for up to 40 ms for a delayed
acknowledgement. What has not arrived yet can be told from what will never come by comparing what one socket
has sent with what the other one has received (`TCP_INFO`).

Every connection is taken to have both its ends in this process. Datagrams are not covered.
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

# Fields of the kernel's struct tcp_info, at their offsets. Of a listening socket, `unacked` is the number of
# connections that wait to be accepted and `sacked` the most that may.
_STATE = struct.Struct("=B")
_U32 = struct.Struct("=I")
_U64 = struct.Struct("=Q")
_UNACKED_AT, _SACKED_AT = 24, 28
_BYTES_RECEIVED_AT, _NOT_SENT_AT, _BYTES_SENT_AT, _BYTES_RETRANSMITTED_AT = 128, 144, 200, 208
_TCP_INFO_BYTES = 216


@dataclass(frozen=True, slots=True)
class TcpSocket:
    """One TCP socket of this process, as the kernel describes it."""

    local: Address
    remote: Address | None  # `None` unless connected
    state: TcpState
    bytes_sent: int  # first transmissions only
    bytes_received: int  # a FIN counts as one
    bytes_not_sent: int  # taken from the program, not transmitted yet
    segments_unacknowledged: int
    unread: int  # received, not yet read by the program
    writable: bool
    accept_queue: int  # of a listening socket
    accept_queue_max: int

    @property
    def accepts_connections(self) -> bool:
        """Return whether the kernel takes another connection for this listening socket."""
        return self.accept_queue <= self.accept_queue_max


Connections = dict[tuple[Address, Address | None], TcpSocket]
"""Those that are connected, or half closed, by the addresses of their own and of the other end."""

Listeners = dict[Address, TcpSocket]
"""The listening sockets by their addresses."""


def fix_kernel_buffers(sock: socket.socket, count: int) -> None:
    """Have the kernel buffer about `count` bytes in each direction, and never adapt that to the traffic.

    How much it takes otherwise depends on when it is looked at: up to the 4 MiB of net.ipv4.tcp_wmem.
    """
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, count)


def traffic_in_transit() -> list[str]:
    """Return a description of each thing that the kernel has still to deliver; empty when nothing will come.

    What waits because the program at the other end does not read or accept counts as delivered.
    """
    sockets = list(_tcp_sockets())
    listeners = {one.local: one for one in sockets if one.state is TcpState.LISTEN}
    connections: Connections = {(one.local, one.remote): one for one in sockets if one.remote}
    return [
        *_between_pairs(connections),
        *_from_closed_peers(connections, listeners),
        *_to_listeners(connections, listeners),
        *_connects(sockets, listeners),
    ]


def _peer_of(one: TcpSocket, connections: Connections) -> TcpSocket | None:
    assert one.remote
    return connections.get((one.remote, one.local))


def _between_pairs(connections: Connections) -> Iterator[str]:
    """Yield what is in transit where both ends are open here."""
    for sender in connections.values():
        receiver = _peer_of(sender, connections)
        if receiver is None:
            continue
        what = undelivered(sender, receiver)
        if what:
            yield f"{what} from {sender.local} to {sender.remote}"


def undelivered(sender: TcpSocket, receiver: TcpSocket) -> str | None:
    """Return what the kernel has still to do for the bytes of one direction, `None` for nothing."""
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


def _from_closed_peers(connections: Connections, listeners: Listeners) -> Iterator[str]:
    """Yield each connection whose other end is closed, while the close has not reached this end.

    With bytes unread it may wait behind others for which there is no room: that cannot be told from here.
    """
    for one in connections.values():
        if one.remote in listeners or _peer_of(one, connections):
            continue
        if one.state in FIN_NOT_RECEIVED and not one.unread:
            yield f"the close by {one.remote} to {one.local}"


def _to_listeners(connections: Connections, listeners: Listeners) -> Iterator[str]:
    """Yield each listening socket that has fewer connections to accept than clients were connected to it.

    The rest of these clients' connections are still coming up, or have been closed by the other end.
    """
    waiting = Counter(
        one.remote
        for one in connections.values()
        if one.remote in listeners
        and one.state in FIN_NOT_RECEIVED
        and not one.unread
        and not _peer_of(one, connections)
    )
    for address, clients in waiting.items():
        assert address is not None
        listener = listeners[address]
        if clients > listener.accept_queue and listener.accepts_connections:
            yield f"{clients - listener.accept_queue} connects or closes at {address}"


def _connects(sockets: list[TcpSocket], listeners: Listeners) -> Iterator[str]:
    """Yield each connect that the kernel will answer.

    The kernel does not say where to before the answer. A full listening socket leaves a connect unanswered,
    so where there is one, none is expected to come up.
    """
    if all(listener.accepts_connections for listener in listeners.values()):
        yield from (f"the connect from {one.local}" for one in sockets if one.state is TcpState.SYN_SENT)


# Reading the kernel's view


def _tcp_sockets() -> Iterator[TcpSocket]:
    """Yield every TCP socket that this process has open."""
    for name in os.listdir("/proc/self/fd"):
        try:
            sock = socket.socket(fileno=int(name))
        except OSError:  # no socket, or the descriptor of the listing itself
            continue
        try:
            if sock.type == socket.SOCK_STREAM and sock.family in (socket.AF_INET, socket.AF_INET6):
                yield _describe(sock)
        except OSError:
            continue  # closed by another thread meanwhile
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
