"""Reload of the configuration at SIGHUP."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from garnetlanding.config import Config, ConfigError, merge_reloaded
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem

log = logging.getLogger(__name__)


class Reloader:
    """Reads the configuration again and applies it to the subsystems, in the order given.

    `load_config` reads and checks the whole configuration; it raises ConfigError.
    """

    def __init__(
        self, instance: Instance, load_config: Callable[[], Config], subsystems: Sequence[Subsystem]
    ) -> None:
        self._instance = instance
        self._load_config = load_config
        self._subsystems = subsystems

    def reload(self) -> None:
        """Apply the configuration, or reject it as a whole if any part of it is invalid.

        Open requests are not affected.
        """
        previous = self._instance.config
        try:
            config, for_restart = merge_reloaded(previous, self._load_config())
        except ConfigError as error:
            log.error(  # noqa: TRY400 - the error text names the key; a traceback adds nothing
                "configuration reload rejected", extra={"kv": {"why": error}}
            )
            return
        self._instance.config = config
        keys = ",".join(for_restart) or "nothing"
        log.info(
            "configuration reloaded", extra={"kv": {"discovery": config.discovery, "for_a_restart": keys}}
        )
        for subsystem in self._subsystems:
            subsystem.reload(previous)
