"""The parts of an instance that its subsystems share: configuration, event loop, engine, store."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from garnetlanding.config import Config
from garnetlanding.core.engine import RequestEngine
from garnetlanding.daemon.process_registration import ProcessRegistration
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.client_connection import ClientConnection
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.protocols import ClientProtocol
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.upstream import Upstream
from garnetlanding.store.store import Store

log = logging.getLogger(__name__)


def wall_ms(config: Config) -> int:
    """Return the wall clock in milliseconds, shifted if an experiment's configuration says so."""
    history = config.operator.history
    shift_s = history.wall_offset_s() if history else 0
    return time.time_ns() // 1_000_000 + shift_s * 1000


@dataclass(eq=False, repr=False)  # generating these methods, which are not used, would slow down each start
class Instance:
    """The parts that every instance has."""

    config: Config  # a reload replaces it before any subsystem reloads
    scheduler: Scheduler
    pool: BufferPool
    store: Store
    process: ProcessRegistration
    core: RequestEngine
    backends: Upstream
    incarnation: int  # wall clock at the start in ms: greater at each start, unlike the monotonic clock
    listeners: list[Listener] = field(default_factory=list)  # of clients and followers; shutdown drains them

    @property
    def limits(self) -> Limits:
        """Every size, count and time limit; a reload does not change them."""
        return self.config.limits

    @property
    def longest_attempt_us(self) -> int:
        """The longest time that an attempt can take, including the sweep of idle connections after it."""
        classes = self.core.settings.classes.values()
        return self.limits.sweep_us + max(request_class.deadline_us for request_class in classes)

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds."""
        return wall_ms(self.config)

    def listen(
        self,
        protocol: str,
        address: str,
        max_connections: int,
        protocol_factory: Callable[[ClientConnection], ClientProtocol],
        *,
        shared: bool = False,
    ) -> Listener:
        """Listen for clients of one protocol, whose protocols `protocol_factory` creates.

        `shared`: another process may listen at the same address.
        """
        listener = Listener(
            self.scheduler,
            address,
            self.pool,
            self.limits,
            max_connections,
            protocol_factory,
            reuse_port=shared,
        )
        self.listeners.append(listener)
        self.log_listening(protocol, listener.address)
        return listener

    def log_listening(self, protocol: str, address: str) -> None:
        """Log at which address the instance listens, and for which protocol."""
        log.info("listening", extra={"kv": {"name": self.config.name, "for": protocol, "at": address}})

    def wait_for(self, condition: Callable[[], bool], timeout_us: int) -> None:
        """Suspend the current task until `condition` returns true, for at most `timeout_us`."""
        deadline_us = self.scheduler.now + timeout_us
        while not condition() and self.scheduler.now < deadline_us:
            self.scheduler.sleep(self.limits.shutdown_poll_us)
