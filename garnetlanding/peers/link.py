"""The UDP link between instances: socket I/O for the sans-IO peer protocols.

Datagrams from unknown senders are counted and dropped. Lost, late and duplicated datagrams are not errors:
the protocols tolerate them.
"""

from __future__ import annotations

import logging
import socket
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from garnetlanding.peers.drop_reasons import LinkDropReason
from garnetlanding.peers.setup import PeerSetup
from garnetlanding.runtime.scheduler import READ, Scheduler
from garnetlanding.runtime.stream import parse_address

if TYPE_CHECKING:  # disabled subsystems are not imported at run time
    from garnetlanding.peers.membership_protocol import MembershipProtocol

log = logging.getLogger(__name__)

SocketAddress = tuple[str, int]  # host, port


class PeerLink:
    """A UDP socket that receives from all peers and sends to one or all of them."""

    def __init__(
        self,
        scheduler: Scheduler,
        setup: PeerSetup,
        on_message: Callable[[int, bytes], None],
        dropped: Counter[str],
        membership: MembershipProtocol | None = None,
    ) -> None:
        """Open the link. Raises OSError if the address cannot be bound.

        `on_message` is called with the sender's number and the datagram. `dropped` counts dropped datagrams
        by cause; every `drop_report_us` it is logged and cleared. With `membership`, the peers are the
        discovered instances rather than those in the setup.
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
        self._all_peers = list(self._addresses.values())
        if setup.broadcast:
            self._all_peers = [parse_address(setup.broadcast)]
        self._advertised_by_route = {route: advertised for advertised, route in setup.routes.items()}
        self._socket = _bind(parse_address(setup.listen))
        host, port = self._socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        scheduler.spawn(self._receive)
        scheduler.call_at(scheduler.now + self._limits.drop_report_us, self._report_dropped)

    def _report_dropped(self) -> None:
        """Log one line for all datagrams dropped since the last report, and schedule the next report."""
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
        """Send a datagram to the peer with a number, or to all peers if it is None.

        A datagram that cannot be sent is counted as dropped; the protocols treat it as lost in transit.
        """
        if len(payload) > self._limits.datagram_bytes:
            self.dropped[LinkDropReason.TOO_LONG_TO_SEND.value] += 1
            return
        for address in self._addresses_of(recipient):
            try:
                self._socket.sendto(payload, address)
            except OSError:
                self.dropped[LinkDropReason.NOT_SENT.value] += 1

    def _addresses_of(self, recipient: int | None) -> list[SocketAddress]:
        if self._membership is not None:
            return self._discovered_addresses(self._membership, recipient)
        if recipient is None:
            return self._all_peers
        return [self._addresses[recipient]] if recipient in self._addresses else []

    def _discovered_addresses(
        self, membership: MembershipProtocol, recipient: int | None
    ) -> list[SocketAddress]:
        address = None if recipient is None else membership.members.address_of(recipient)
        if not address:
            return []
        return [parse_address(self.setup.routes.get(address, address))]

    def close(self) -> None:
        """Close the link if it is open. Datagrams not received yet are lost."""
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
            for _ in range(self._limits.max_receive_batch):
                if self.closed or not self._receive_one():
                    break
            else:
                self._scheduler.sleep(0)  # yield to other tasks even under a flood of datagrams

    def _receive_one(self) -> bool:
        """Receive one datagram; return False if none is available."""
        try:
            data, source = self._socket.recvfrom(self._limits.datagram_bytes + 1)
        except BlockingIOError:
            return False
        except OSError:
            return True  # an ICMP error caused by an earlier datagram
        sender = self._sender(source[:2], data)
        if sender is None:
            self.dropped[LinkDropReason.UNKNOWN_SENDER.value] += 1
        elif len(data) > self._limits.datagram_bytes:
            self.dropped[LinkDropReason.TOO_LONG.value] += 1
        else:
            self._on_message(sender, data)
        return True

    def _sender(self, source: SocketAddress, data: bytes) -> int | None:
        """Return the number of the peer that sent a datagram, or None if the sender is unknown."""
        if self._membership is None:
            return self._peers_by_address.get(source)
        host, port = source
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        advertised = self._advertised_by_route.get(address, address)
        sender = self._membership.members.table.running_at(advertised)
        return self._membership.identify_sender(advertised, data) if sender is None else sender


def _bind(address: SocketAddress) -> socket.socket:
    """Return a non-blocking UDP socket bound to an address. Raises OSError."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_DGRAM)
    try:
        bound.settimeout(0)  # non-blocking
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound
