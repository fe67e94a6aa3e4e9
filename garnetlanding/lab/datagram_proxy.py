"""A UDP proxy between instances: the network fault model decides whether and when each datagram is delivered.

Each pair of instances has two sockets: one represents the second to the first, the other the first to the
second. So each instance sees the other at a single address, which `addresses_seen_by` returns.
"""

from __future__ import annotations

import contextlib
import socket
from functools import partial
from types import TracebackType

from garnetlanding.lab.byzantine import falsify
from garnetlanding.lab.limits import LIMITS
from garnetlanding.lab.network_faults import NetworkFaultModel
from garnetlanding.lab.run_clock import RunClock
from garnetlanding.runtime.scheduler import READ, Scheduler


def _bound_socket(host: str) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((host, 0))
    return sock


class DatagramProxy:
    """Forwards all datagrams between instances. A context manager that closes its sockets."""

    def __init__(
        self,
        scheduler: Scheduler,
        host: str,
        clock: RunClock,
        faults: NetworkFaultModel,
        instances: list[tuple[str, int]],
        backends: list[str],
    ) -> None:
        """Open the sockets on `host`.

        `instances` holds the address at which each instance listens for peers; `backends` holds the backend
        names that forged messages refer to.
        """
        self._scheduler = scheduler
        self._clock = clock
        self._faults = faults
        self._instances = instances
        self._backends = backends
        numbers = range(len(instances))
        self._sockets = {
            (sender, receiver): _bound_socket(host)
            for sender in numbers
            for receiver in numbers
            if sender != receiver
        }
        for sender, receiver in self._sockets:
            scheduler.spawn(partial(self._forward, sender, receiver))

    def addresses_seen_by(self, instance: int) -> list[str]:
        """Return each instance's address as this one reaches it; its own is its listen address."""
        addresses = []
        for peer, own in enumerate(self._instances):
            host, port = own if peer == instance else self._sockets[instance, peer].getsockname()
            addresses.append(f"{host}:{port}")
        return addresses

    def _forward(self, sender: int, receiver: int) -> None:
        """Forward the datagrams of one instance to another for the duration of the run."""
        sock = self._sockets[sender, receiver]
        while True:
            self._scheduler.wait(sock.fileno(), READ)
            try:
                datagram, source = sock.recvfrom(LIMITS.datagram_read_bytes)
            except OSError:
                continue
            if source != self._instances[sender]:
                continue
            now_us = self._clock.elapsed_us()
            behaviour = self._faults.byzantine_behaviour(sender, now_us)
            if behaviour:
                datagram = falsify(datagram, self._backends, behaviour)
            for delay_us in self._faults.delays_us(sender, receiver, now_us):
                self._scheduler.call_at(
                    self._scheduler.now + delay_us, partial(self._deliver, sender, receiver, datagram)
                )

    def _deliver(self, sender: int, receiver: int, datagram: bytes) -> None:
        with contextlib.suppress(OSError):  # the instance is down: the datagram is lost, as on any network
            self._sockets[receiver, sender].sendto(datagram, self._instances[receiver])

    def __enter__(self) -> DatagramProxy:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for sock in self._sockets.values():
            self._scheduler.cancel_waits(sock.fileno(), OSError("closed"))
            sock.close()
