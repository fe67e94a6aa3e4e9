"""Signals, handled between iterations of the event loop: Python's handler only wakes the loop by a pipe."""

from __future__ import annotations

import logging
import os
import signal
from collections.abc import Callable

from garnetlanding.runtime.scheduler import READ, Scheduler

log = logging.getLogger(__name__)

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block_until_handled() -> None:
    """Block the handled signals until `Signals` exists.

    A SIGHUP must not kill a process that is only just starting, and a SIGTERM has to find one that can shut
    down gracefully.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


class Signals:
    """Calls `reload` for each SIGHUP, and `terminate` in a task of its own for the first SIGTERM or SIGINT.

    At most `batch` signals are read at once.
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
        """Read one byte for each signal, for as long as the process lives."""
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
        """Reload, so that a failure does not leave a process that cannot be terminated."""
        try:
            self._reload()
        except Exception:
            log.exception("reload failed, what it had not reached is unchanged")
