"""Datagrams between heads, over UDP: the thin driver. What is no peer's is counted and dropped."""

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


class PeerLink:
    """Hears at one address, tells one or all. A message lost, late or doubled is nobody's error here."""

    def __init__(
        self,
        scheduler: Scheduler,
        setup: PeerSetup,
        heard: Callable[[int, bytes], None],
        dropped: Counter[str],
        group: MembershipProtocol | None = None,
    ) -> None:
        """Raises OSError where the address cannot be had. `heard` gets the sender's number and the bytes;
        `dropped` counts by cause, and is logged and emptied every so often. `group`: heads are found, in
        place of those that the setup names."""
        self.setup, self._scheduler, self._limits, self._heard = setup, scheduler, setup.limits, heard
        self._senders = {parse_address(at): who for who, at in setup.peers.items()}
        targets = [setup.everyone] if setup.everyone else list(setup.peers.values())
        self._everyone = [parse_address(at) for at in targets]
        self._peers = {who: [parse_address(at)] for who, at in setup.peers.items()}
        self._group = group
        self._there = {at: own for own, at in setup.routes.items()}  # by where it comes from
        self.dropped = dropped
        host, port = parse_address(setup.listen)
        self._sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self._sock.setblocking(False)
            self._sock.bind((host, port))
        except OSError:
            self._sock.close()
            raise
        host, port = self._sock.getsockname()[:2]
        self.address = f"{host}:{port}"
        self.closed = False
        scheduler.spawn(self._receive)
        scheduler.call_at(scheduler.now + self._limits.drop_report_us, self._count)

    def _count(self) -> None:
        """One line for all that was dropped, however much it was."""
        if self.closed:
            return
        self._scheduler.call_at(self._scheduler.now + self._limits.drop_report_us, self._count)
        if self.dropped:
            log.warning(
                "messages of heads dropped",
                extra={"kv": {"count": self.dropped.total(), "mostly": self.dropped.most_common(1)[0][0]}},
            )
            self.dropped.clear()

    def tell(self, payload: bytes, to: int = -1) -> None:
        """To one head by its number, or (-1) to all."""
        if len(payload) > self._limits.datagram_bytes:
            self.dropped["too long to send"] += 1
            return
        for target in self._targets(to):
            try:
                self._sock.sendto(payload, target)
            except OSError:
                # Full buffers, or a head that is down: as good as lost on the way, and said again soon.
                self.dropped["not sent"] += 1

    def _targets(self, to: int) -> list[tuple[str, int]]:
        if self._group is None:
            return self._everyone if to < 0 else self._peers.get(to, [])
        at = self._group.members.address_of(to)
        return [parse_address(self.setup.routes.get(at, at))] if at else []

    def _who(self, source: tuple[str, int], data: bytes) -> int | None:
        if self._group is None:
            return self._senders.get(source)
        host, port = source
        text = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        named = self._there.get(text, text)
        who = self._group.members.instance_at(named)
        return self._group.introduce(named, data) if who is None else who

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._scheduler.forget(self._sock.fileno(), OSError("closed"))
            self._sock.close()

    def _receive(self) -> None:
        while not self.closed:
            try:
                self._scheduler.wait(self._sock.fileno(), READ)
            except OSError:
                return
            for _ in range(self._limits.receive_batch):
                if self.closed or not self._take():
                    break
            else:
                self._scheduler.sleep(0)  # others have their turn, however much comes

    def _take(self) -> bool:
        """One datagram; False when there is none."""
        try:
            data, source = self._sock.recvfrom(self._limits.datagram_bytes + 1)
        except BlockingIOError:
            return False
        except OSError:
            return True  # an answer to an earlier datagram that nobody took
        who = self._who(source[:2], data)
        if who is None:
            self.dropped["no peer"] += 1
        elif len(data) > self._limits.datagram_bytes:
            self.dropped["too long"] += 1
        else:
            self._heard(who, data)
        return True
