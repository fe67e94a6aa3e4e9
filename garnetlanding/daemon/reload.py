"""Reload of the configuration at SIGHUP."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from garnetlanding.config import Config, ConfigError, merge_reloaded
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem

log = logging.getLogger(__name__)


class Reloader:
    """Reads the configuration anew and lets the subsystems take it up, in their order."""

    def __init__(
        self, instance: Instance, read_again: Callable[[], Config], subsystems: Sequence[Subsystem]
    ) -> None:
        """`read_again` reads and checks the whole configuration; it raises ConfigError."""
        self._instance = instance
        self._read_again = read_again
        self._subsystems = subsystems

    def reload(self) -> None:
        """Take up the configuration, once the whole of it has been read and checked.

        A faulty one changes nothing. Open requests run on in either case.
        """
        previous = self._instance.config
        try:
            config, for_restart = merge_reloaded(previous, self._read_again())
        except ConfigError as problem:
            log.error("configuration reload rejected", extra={"kv": {"why": problem}})
            return
        self._instance.config = config
        keys = ",".join(for_restart) or "nothing"
        log.info(
            "configuration reloaded", extra={"kv": {"discovery": config.discovery, "for_a_restart": keys}}
        )
        for subsystem in self._subsystems:
            subsystem.reload(previous)
