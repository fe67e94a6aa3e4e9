"""The daemon: one instance from its start until it has been shut down."""

from __future__ import annotations

import gc
import logging
from collections.abc import Callable

from garnetlanding.config import Config
from garnetlanding.core.engine import RequestEngine
from garnetlanding.daemon.assembly import assemble
from garnetlanding.daemon.reload import Reloader
from garnetlanding.daemon.shutdown import Shutdown
from garnetlanding.limits import Limits
from garnetlanding.runtime.listener import Listener
from garnetlanding.runtime.scheduler import Scheduler, monotonic_us
from garnetlanding.runtime.signals import Signals
from garnetlanding.store.store import Store

log = logging.getLogger(__name__)


class Daemon:
    """Runs one instance: `run` until SIGTERM, or `start`, `reload` and `end` step by step."""

    def __init__(
        self,
        config: Config,
        clock: Callable[[], int] = monotonic_us,
        read_again: Callable[[], Config] | None = None,
    ) -> None:
        """`read_again` reads and checks the whole configuration anew, for a reload; without it there is none.

        `clock` gives monotonic time in microseconds.
        """
        self.assembly = assemble(config, clock)
        self._instance = self.assembly.instance
        self._reloader = (
            Reloader(self._instance, read_again, self.assembly.reload_order) if read_again else None
        )

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self._instance.config

    @property
    def limits(self) -> Limits:
        """Every size, count and time limit."""
        return self._instance.limits

    @property
    def scheduler(self) -> Scheduler:
        """The event loop."""
        return self._instance.scheduler

    @property
    def core(self) -> RequestEngine:
        """The engine that all requests go through."""
        return self._instance.core

    @property
    def store(self) -> Store:
        """Settings and cached endpoints."""
        return self._instance.store

    @property
    def listeners(self) -> list[Listener]:
        """Where clients and followers connect."""
        return self._instance.listeners

    def run(self) -> int:
        """Serve until a signal ends the process; return its exit code."""
        self.catch_signals()
        self.start()
        # What start-up made lives as long as the daemon: the collector need not walk it again.
        gc.collect()
        gc.freeze()
        self.scheduler.run()
        log.info("ended")
        return 0

    def start(self) -> None:
        """Start every subsystem in its order. Raises OSError where one cannot have what it needs."""
        for subsystem in self.assembly.start_order:
            subsystem.start()
        if self.assembly.history:
            self.assembly.history.serving()

    def catch_signals(self) -> None:
        """Reload at SIGHUP and end at SIGTERM and SIGINT from now on."""
        Signals(self.scheduler, self.limits.signal_bytes, self.reload, self.end)

    def reload(self) -> None:
        """Read the configuration anew; one that is faulty changes nothing."""
        if self._reloader:
            self._reloader.reload()

    def end(self) -> None:
        """Shut down gracefully and stop the event loop.

        The instance goes on serving for a while, as clients use the connections they have for as long as
        those stay open and have nobody else to ask; then it finishes what was accepted, stops its
        subsystems, and stops.
        """
        log.info("graceful shutdown begins", extra={"kv": {"open": self.core.open_requests}})
        self._instance.process.stopping = True
        # Beside a successor its clients have somewhere to go: they need not wait here.
        superseded = self.assembly.peer_link.hand_over
        shutdown = Shutdown(self.scheduler, self.limits, self.core, self.listeners, superseded)
        try:
            shutdown.run(self.assembly.stop_order)
        finally:
            self.scheduler.stop()
