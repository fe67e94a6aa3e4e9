"""The daemon: runs one instance from its start to the end of its shutdown."""

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
from garnetlanding.runtime.signals import SignalHandler
from garnetlanding.store.store import Store

log = logging.getLogger(__name__)


class Daemon:
    """Runs one instance: `run` until SIGTERM, or step by step by `start`, `reload` and `shut_down`.

    `clock` returns monotonic time in microseconds. `load_config` reads and checks the whole configuration for
    a reload; without it `reload` has no effect.
    """

    def __init__(
        self,
        config: Config,
        clock: Callable[[], int] = monotonic_us,
        load_config: Callable[[], Config] | None = None,
    ) -> None:
        self.assembly = assemble(config, clock)
        self._instance = self.assembly.instance
        self._reloader = (
            Reloader(self._instance, load_config, self.assembly.reload_order) if load_config else None
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
        """The engine that processes all requests."""
        return self._instance.core

    @property
    def store(self) -> Store:
        """The store of settings and cached endpoints."""
        return self._instance.store

    @property
    def listeners(self) -> list[Listener]:
        """The listeners for clients and followers."""
        return self._instance.listeners

    def run(self) -> int:
        """Serve until a signal ends the process, and return the exit code."""
        self.catch_signals()
        self.start()
        # Objects created during startup live as long as the daemon: exclude them from garbage collection.
        gc.collect()
        gc.freeze()
        self.scheduler.run()
        log.info("ended")
        return 0

    def start(self) -> None:
        """Start every subsystem in order. Raises OSError if a file or address is unavailable."""
        for subsystem in self.assembly.start_order:
            subsystem.start()
        if self.assembly.history:
            self.assembly.history.serving()

    def catch_signals(self) -> None:
        """Install handlers: reload at SIGHUP, shut down at SIGTERM and SIGINT."""
        SignalHandler(self.scheduler, self.limits.signal_bytes, self.reload, self.shut_down)

    def reload(self) -> None:
        """Read and apply the configuration again; an invalid one is rejected as a whole."""
        if self._reloader:
            self._reloader.reload()

    def shut_down(self) -> None:
        """Shut down gracefully, then stop the event loop.

        The instance continues to serve for a while, since clients that know no other instance keep using
        their open connections. Then it finishes the accepted requests and stops its subsystems.
        """
        log.info("graceful shutdown begins", extra={"kv": {"open": self.core.open_requests}})
        self._instance.process.stopping = True
        # `hand_over` also returns whether a successor runs, to which clients can reconnect at once.
        is_superseded = self.assembly.peer_link.hand_over
        shutdown = Shutdown(self.scheduler, self.limits, self.core, self.listeners, is_superseded)
        try:
            shutdown.run(self.assembly.stop_order)
        finally:
            self.scheduler.stop()
