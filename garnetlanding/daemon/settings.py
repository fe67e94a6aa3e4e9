"""The settings in force: read from the store, adapted to this process, applied to the engine.

The store holds them in the platform's format. A reload stores new ones, except on a follower, which receives
its writer's by replication.
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
from garnetlanding.store.cached_endpoints import SETTINGS_KEY
from garnetlanding.store.store import Entry, Store

log = logging.getLogger(__name__)


def stored_settings(config: Config, store: Store) -> dict[str, Any]:
    """Return the stored settings in the platform's format, or the configuration's if none are stored."""
    raw: dict[str, Any] = store.get(SETTINGS_KEY, config.raw_settings)
    return raw


def effective_settings(config: Config, process_quota: float, settings: api.Settings) -> api.Settings:
    """Return the settings that this process applies, with its quota of the instance's capacity.

    The result has the retry budget of the operator's file, and the request classes that writable 9P exports
    derive from those of the settings.
    """
    # Followers apply their writer's settings, but each keeps its own instance number.
    settings = replace(settings, process_quota=process_quota, instance_id=config.settings.instance_id)
    if config.operator.choices:
        settings = config.operator.choices.with_retry_budget(settings)
    ninep = config.operator.ninep
    if not ninep or not any(export.writable for export in ninep.exports.values()):
        return settings
    from garnetlanding.ninep.operation_table import with_unsafe_variants

    return with_unsafe_variants(
        settings, (export.change_request_class for export in ninep.exports.values() if export.writable)
    )


class SettingsManager(Subsystem):
    """Applies settings to the engine whenever the store or this process's quota changes."""

    name = "settings"

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self.version = ""  # EPOCH.REVISION#CHECKSUM of the settings in force; empty until first recorded
        self.on_version: list[Callable[[int], None]] = []  # called with the checksum of the settings in force
        self.on_applied: list[Callable[[], None]] = []
        self.on_rejected: list[Callable[[str], None]] = []  # called with the reason
        instance.store.observers.append(self._store_changed)

    def start(self) -> None:
        """Record the version that the instance starts with."""
        self._record_version(stored_settings(self._instance.config, self._instance.store))

    def reload(self, previous: Config) -> None:  # noqa: ARG002 - the store detects whether they differ
        """Store the new settings, unless this instance follows a writer."""
        if self._instance.store.writable:
            self._instance.store.put(SETTINGS_KEY, self._instance.config.raw_settings)

    def reapply(self) -> None:
        """Apply the settings in force again, with the current quota of this process."""
        self._apply(stored_settings(self._instance.config, self._instance.store))

    def _apply(self, raw: dict[str, Any]) -> None:
        settings = read_settings(raw)
        effective = effective_settings(self._instance.config, self._instance.process.quota, settings)
        self._instance.core.apply_settings(effective)

    def _store_changed(self, entry: Entry | None) -> None:
        """Apply settings that a reload or the writer has put into the store."""
        raw = self._instance.store.get(SETTINGS_KEY)
        if raw is None or (entry and entry.key != SETTINGS_KEY):
            return
        try:
            self._apply(raw)
        except ConfigError as error:
            log.error(  # noqa: TRY400 - the error text names the key; a traceback adds nothing
                "settings rejected", extra={"kv": {"why": error}}
            )
            for on_rejected in self.on_rejected:
                on_rejected(str(error))
            return
        log.info("settings applied")
        self._record_version(raw)
        for on_applied in self.on_applied:
            on_applied()

    def _record_version(self, raw: dict[str, Any]) -> None:
        store = self._instance.store
        digest = zlib.crc32(json.dumps(raw, sort_keys=True).encode())
        self.version = f"{store.epoch}.{store.revision}#{digest:08x}"
        for on_version in self.on_version:
            on_version(digest)
