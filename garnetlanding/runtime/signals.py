"""Signal handling in an event loop task, to which a pipe forwards signal numbers (`signal.set_wakeup_fd`)."""

from __future__ import annotations

import logging
import os
import signal
from collections.abc import Callable

from garnetlanding.runtime.scheduler import READ, Scheduler

log = logging.getLogger(__name__)

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block_handled_signals() -> None:
    """Block the handled signals until a `SignalHandler` is created.

    Otherwise a SIGHUP would kill a starting process, and a SIGTERM would end it without a graceful shutdown.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


class SignalHandler:
    """Calls `reload` for each SIGHUP, and `terminate` in a new task for the first SIGTERM or SIGINT.

    Later signals are only logged. At most `max_read_bytes` signals are read from the pipe at once.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        max_read_bytes: int,
        reload: Callable[[], None],
        terminate: Callable[[], None],
    ) -> None:
        self._scheduler = scheduler
        self._max_read_bytes = max_read_bytes
        self._reload = reload
        self._terminate = terminate
        self._terminating = False
        reader, writer = os.pipe()
        for fd in (reader, writer):
            os.set_blocking(fd, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in HANDLED:
            signal.signal(number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
        scheduler.spawn(lambda: self._read_forever(reader))

    def _read_forever(self, reader: int) -> None:
        """Read signal numbers, one byte each, until the process ends."""
        while True:
            self._scheduler.wait(reader, READ)
            for number in os.read(reader, self._max_read_bytes):
                self._handle(number)

    def _handle(self, number: int) -> None:
        if self._terminating:
            log.info("already terminating", extra={"kv": {"signal": signal.Signals(number).name}})
        elif number == signal.SIGHUP:
            self._reload_logging_errors()
        else:
            self._terminating = True
            self._scheduler.spawn(self._terminate)

    def _reload_logging_errors(self) -> None:
        """Reload and log a failure; raising it would end this task and with it the handling of SIGTERM."""
        try:
            self._reload()
        except Exception:
            log.exception("reload failed, what it had not reached is unchanged")
