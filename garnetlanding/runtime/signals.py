"""Signals, heard between turns of the loop: a handler of Python's does nothing but wake it through a pipe."""

from __future__ import annotations

import logging
import os
import signal
from collections.abc import Callable

from garnetlanding.runtime.scheduler import READ, Scheduler

log = logging.getLogger(__name__)

HEARD = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold_back() -> None:
    """Until `Signals` stands, so that one to reload does not kill a process that only just starts, and one to
    end it finds it able to end in an orderly way."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HEARD)


class Signals:
    def __init__(
        self, scheduler: Scheduler, most: int, reload: Callable[[], None], end: Callable[[], None]
    ) -> None:
        """`most`: how many are read at once. `end` is called for the first signal that ends."""
        self._scheduler, self._most, self._reload, self._end = scheduler, most, reload, end
        self._ending = False
        reader, writer = os.pipe()
        for fd in (reader, writer):
            os.set_blocking(fd, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in HEARD:
            signal.signal(number, lambda *_: None)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HEARD)
        scheduler.spawn(lambda: self._heed(reader))

    def _heed(self, reader: int) -> None:
        """One byte each. Nothing ends the heeding: a reload that fails must not leave a process that cannot
        be ended, and while it ends another signal changes nothing."""
        while True:
            self._scheduler.wait(reader, READ)
            for number in os.read(reader, self._most):
                if self._ending:
                    log.info("ending already", extra={"kv": {"signal": signal.Signals(number).name}})
                elif number == signal.SIGHUP:
                    try:
                        self._reload()
                    except Exception:
                        log.exception("reload failed, what it had not reached stands as before")
                else:
                    self._ending = True
                    self._scheduler.spawn(self._end)
