"""The UDP link between instances: the thin driver below the sans-IO protocols.

Datagrams of strangers are counted and dropped. A datagram lost, late or duplicated is nobody's error here.
"""

from __future__ import annotations

import logging
import socket
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from garnetlanding.peers.setup import PeerSetup
from garnetlanding.runtime.scheduler import READ, Scheduler
from garnetlanding.runtime.stream import parse_address

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.peers.membership_protocol import MembershipProtocol

log = logging.getLogger(__name__)

SocketAddress = tuple[str, int]  # host, port


class PeerLink:
    """Receives datagrams at one address, and sends them to one peer or to all."""

    def __init__(
        self,
        scheduler: Scheduler,
        setup: PeerSetup,
        on_message: Callable[[int, bytes], None],
        dropped: Counter[str],
        membership: MembershipProtocol | None = None,
    ) -> None:
        """Open the link. Raises OSError where the address cannot be had.

        `on_message` gets the number of the sender and the datagram. `dropped` counts by cause; it is logged
        and emptied every so often. With `membership`, peers are those it has discovered, in place of those
        that the setup names.
        """
        self.setup = setup
        self.dropped = dropped
        self.closed = False
        self._scheduler = scheduler
        self._limits = setup.limits
        self._on_message = on_message
        self._membership = membership
        self._addresses = {peer: parse_address(address) for peer, address in setup.peers.items()}
        self._peers_by_address = {address: peer for peer, address in self._addresses.items()}
        self._broadcast = list(self._addresses.values())
        if setup.broadcast:
            self._broadcast = [parse_address(setup.broadcast)]
        self._named_by_route = {route: named for named, route in setup.routes.items()}
        self._socket = _bind(parse_address(setup.listen))
        host, port = self._socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        scheduler.spawn(self._receive)
        scheduler.call_at(scheduler.now + self._limits.drop_report_us, self._report_dropped)

    def _report_dropped(self) -> None:
        """Log one line for everything that was dropped, however much it was."""
        if self.closed:
            return
        self._scheduler.call_at(self._scheduler.now + self._limits.drop_report_us, self._report_dropped)
        if self.dropped:
            most_common = self.dropped.most_common(1)[0][0]
            log.warning(
                "peer messages dropped", extra={"kv": {"count": self.dropped.total(), "mostly": most_common}}
            )
            self.dropped.clear()

    def send(self, payload: bytes, recipient: int | None = None) -> None:
        """Send a datagram to a peer, or to all peers if `recipient` is None.

        A datagram that cannot be sent is counted as dropped.
        """
        if len(payload) > self._limits.datagram_bytes:
            self.dropped["too long to send"] += 1
            return
        for target in self._targets(recipient):
            try:
                self._socket.sendto(payload, target)
            except OSError:
                # Full buffers, or a peer that is down: as good as lost on the way, and sent again soon.
                self.dropped["not sent"] += 1

    def _targets(self, recipient: int | None) -> list[SocketAddress]:
        if self._membership is not None:
            address = None if recipient is None else self._membership.members.address_of(recipient)
            return [parse_address(self.setup.routes.get(address, address))] if address else []
        if recipient is None:
            return self._broadcast
        return [self._addresses[recipient]] if recipient in self._addresses else []

    def close(self) -> None:
        """Close the link, if it is open; what is waiting to be received is lost."""
        if self.closed:
            return
        self.closed = True
        self._scheduler.cancel_waits(self._socket.fileno(), OSError("closed"))
        self._socket.close()

    def _receive(self) -> None:
        while not self.closed:
            try:
                self._scheduler.wait(self._socket.fileno(), READ)
            except OSError:
                return
            for _ in range(self._limits.receive_batch):
                if self.closed or not self._receive_one():
                    break
            else:
                self._scheduler.sleep(0)  # other tasks have their turn, however much is received

    def _receive_one(self) -> bool:
        """Receive one datagram; return False when there is none."""
        try:
            data, source = self._socket.recvfrom(self._limits.datagram_bytes + 1)
        except BlockingIOError:
            return False
        except OSError:
            return True  # the network's answer to an earlier datagram that nobody took
        sender = self._sender(source[:2], data)
        if sender is None:
            self.dropped["no peer"] += 1
        elif len(data) > self._limits.datagram_bytes:
            self.dropped["too long"] += 1
        else:
            self._on_message(sender, data)
        return True

    def _sender(self, source: SocketAddress, data: bytes) -> int | None:
        """Return the number of the instance that a datagram is from; None: it is from no peer."""
        if self._membership is None:
            return self._peers_by_address.get(source)
        host, port = source
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        named = self._named_by_route.get(address, address)
        sender = self._membership.members.instance_at(named)
        return self._membership.introduce(named, data) if sender is None else sender


def _bind(address: SocketAddress) -> socket.socket:
    """Return a UDP socket that receives at an address, not blocking. Raises OSError."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_DGRAM)
    try:
        bound.setblocking(False)
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound
