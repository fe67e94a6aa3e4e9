"""Handles signals in a task of the event loop, to which the signal handler passes them by a pipe."""

from __future__ import annotations

import logging
import os
import signal
from collections.abc import Callable

from garnetlanding.runtime.scheduler import READ, Scheduler

log = logging.getLogger(__name__)

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block_until_handled() -> None:
    """Block the handled signals until a `Signals` is created.

    Otherwise a SIGHUP would kill a process that is starting, and a SIGTERM would end it without a graceful
    shutdown.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


class Signals:
    """Calls `reload` for each SIGHUP, and `terminate` in a new task for the first SIGTERM or SIGINT.

    Later signals are only logged. At most `batch` signals are read from the pipe at once.
    """

    def __init__(
        self, scheduler: Scheduler, batch: int, reload: Callable[[], None], terminate: Callable[[], None]
    ) -> None:
        self._scheduler = scheduler
        self._batch = batch
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
            for number in os.read(reader, self._batch):
                self._handle(number)

    def _handle(self, number: int) -> None:
        if self._terminating:
            log.info("already terminating", extra={"kv": {"signal": signal.Signals(number).name}})
        elif number == signal.SIGHUP:
            self._reload_guarded()
        else:
            self._terminating = True
            self._scheduler.spawn(self._terminate)

    def _reload_guarded(self) -> None:
        """Reload and log a failure: raised, it would end the task, and with it the handling of SIGTERM."""
        try:
            self._reload()
        except Exception:
            log.exception("reload failed, what it had not reached is unchanged")
