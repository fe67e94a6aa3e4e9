"""Which settings are in force: taken from the store, adapted to this instance, handed to the engine.

The store has them in the platform's form. On a writer, and where there is no replication, a reload puts them
there; on a follower the writer's come in by replication.
"""

from __future__ import annotations

import json
import logging
import zlib
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from garnetlanding.config import Config, ConfigError, read_settings
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.decision import interface as api
from garnetlanding.store.cached_endpoints import SETTINGS
from garnetlanding.store.store import Entry, Store

log = logging.getLogger(__name__)


def stored_settings(config: Config, store: Store) -> dict[str, Any]:
    """Return the settings of the store in the platform's form; the configuration's where it has none yet."""
    raw: dict[str, Any] = store.get(SETTINGS, config.raw_settings)
    return raw


def effective_settings(config: Config, share: float, settings: api.Settings) -> api.Settings:
    """Return settings as this process uses them, with its share of the instance's capacity.

    Added are the retry budget of the operator's file and the classes that 9P exports derive from those of
    the settings.
    """
    # A writer's settings hold at every instance, but for the number of each.
    settings = replace(settings, process_share=share, instance_id=config.settings.instance_id)
    if config.operator.choices:
        settings = config.operator.choices.with_retry_budget(settings)
    ninep = config.operator.ninep
    if not ninep or not any(export.writable for export in ninep.exports.values()):
        return settings
    from garnetlanding.ninep.operation_table import with_unsafe_variants

    return with_unsafe_variants(
        settings, (export.change_cls for export in ninep.exports.values() if export.writable)
    )


class SettingsManager(Subsystem):
    """Hands settings to the engine whenever the store, or this process's capacity share, changes."""

    name = "settings"

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self.version = ""  # of the settings in force: EPOCH.REVISION#CHECKSUM; empty until it is first noted
        self.on_version: list[Callable[[int], None]] = []  # called with the checksum of the settings in force
        self.on_applied: list[Callable[[], None]] = []
        self.on_rejected: list[Callable[[str], None]] = []  # called with the reason
        instance.store.observers.append(self._store_changed)

    def start(self) -> None:
        """Note the version that the instance starts with."""
        self._note_version(stored_settings(self._instance.config, self._instance.store))

    def reload(self, previous: Config) -> None:  # noqa: ARG002 - the store finds out whether they differ
        """Put the new settings into the store, unless a writer's are in force."""
        if self._instance.store.writable:
            self._instance.store.put(SETTINGS, self._instance.config.raw_settings)

    def reapply(self) -> None:
        """Hand the settings in force to the engine again, as the capacity share has changed."""
        self._apply(stored_settings(self._instance.config, self._instance.store))

    def _apply(self, raw: dict[str, Any]) -> None:
        settings = read_settings(raw)
        effective = effective_settings(self._instance.config, self._instance.process.share, settings)
        self._instance.core.apply_settings(effective)

    def _store_changed(self, entry: Entry | None) -> None:
        """Take up settings from the store: those of a reload here, or the writer's."""
        raw = self._instance.store.get(SETTINGS)
        if raw is None or (entry and entry.key != SETTINGS):
            return
        try:
            self._apply(raw)
        except ConfigError as problem:
            log.error("settings rejected", extra={"kv": {"why": problem}})
            for rejected in self.on_rejected:
                rejected(str(problem))
            return
        log.info("settings applied")
        self._note_version(raw)
        for applied in self.on_applied:
            applied()

    def _note_version(self, raw: dict[str, Any]) -> None:
        store = self._instance.store
        digest = zlib.crc32(json.dumps(raw, sort_keys=True).encode())
        self.version = f"{store.epoch}.{store.revision}#{digest:08x}"
        for noted in self.on_version:
            noted(digest)
