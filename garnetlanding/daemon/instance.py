"""What all subsystems of one instance share: configuration, event loop, engine, connections and store."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from garnetlanding.config import Config
from garnetlanding.core.engine import RequestEngine
from garnetlanding.daemon.process_share import ProcessShare
from garnetlanding.limits import Limits
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.listener import Client, ClientMachine, Listener
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.upstream import Upstream
from garnetlanding.store.store import Store

log = logging.getLogger(__name__)


def wall_ms(config: Config) -> int:
    """Return the wall clock in milliseconds, shifted where an experiment's configuration says so."""
    history = config.operator.history
    shift_s = history.wall_s() if history else 0
    return time.time_ns() // 1_000_000 + shift_s * 1000


@dataclass(eq=False, repr=False)  # neither is used, and making them costs time at each start
class Instance:
    """The parts of an instance that always exist."""

    config: Config  # a reload replaces it before any subsystem takes it up
    scheduler: Scheduler
    pool: BufferPool
    store: Store
    process: ProcessShare
    core: RequestEngine
    backends: Upstream
    incarnation: int  # wall clock at the start in ms: greater at each, whatever the monotonic clock says
    listeners: list[Listener] = field(default_factory=list)  # of clients and followers; shutdown drains them

    @property
    def limits(self) -> Limits:
        """Every size, count and time limit; a reload does not change them."""
        return self.config.limits

    @property
    def longest_attempt_us(self) -> int:
        """An attempt, with the sweep of idle connections after it, lasts no longer."""
        classes = self.core.settings.classes.values()
        return self.limits.sweep_us + max(cls.deadline_us for cls in classes)

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds."""
        return wall_ms(self.config)

    def listen(
        self,
        protocol: str,
        address: str,
        connections_max: int,
        make: Callable[[Client], ClientMachine],
        shared: bool = False,
    ) -> Listener:
        """Listen for clients of one protocol. `shared`: another process may listen there too."""
        listener = Listener(self.scheduler, address, self.pool, self.limits, connections_max, make, shared)
        self.listeners.append(listener)
        self.log_listening(protocol, listener.address)
        return listener

    def log_listening(self, protocol: str, address: str) -> None:
        """Log where the instance listens from now on, and for whom."""
        log.info("listening", extra={"kv": {"name": self.config.name, "for": protocol, "at": address}})

    def wait_for(self, done: Callable[[], bool], span_us: int) -> None:
        """Sleep, in the running task, until `done` is true, but no longer than `span_us`."""
        last_us = self.scheduler.now + span_us
        while not done() and self.scheduler.now < last_us:
            self.scheduler.sleep(self.limits.term_poll_us)
