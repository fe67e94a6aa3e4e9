"""The audit of an instance: it records which versions of its inputs the instance acted on."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from garnetlanding import __version__
from garnetlanding.audit.assembly import AuditTrail, start_audit
from garnetlanding.audit.records import Incarnation
from garnetlanding.audit.setup import AuditSetup
from garnetlanding.daemon.discovery import DiscoveryWatch
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.daemon.peer_link import PeerLinkManager
from garnetlanding.daemon.settings import SettingsManager

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.daemon.peer_group import PeerGroup


class AuditRecording(Subsystem):
    """Owns the audit trail, whose recorder wraps the decision module directly.

    It must start before the peers' coordinator wraps the module too, so that the recorder observes exactly
    the events that reach the module.
    """

    name = "audit"
    trail: AuditTrail  # set by `start`

    def __init__(
        self,
        instance: Instance,
        setup: AuditSetup,
        settings: SettingsManager,
        discovery: DiscoveryWatch,
        group: PeerGroup | None,
        link: PeerLinkManager,
    ) -> None:
        self._instance = instance
        self._setup = setup
        self._settings = settings
        self._discovery = discovery
        self._group = group
        self._link = link

    def start(self) -> None:
        """Start recording. Raises OSError if the audit cannot be written."""
        instance = self._instance
        link = self._link
        self.trail = start_audit(
            self._setup,
            instance.core,
            Incarnation(instance.config.name, instance.incarnation),
            self._version_sources(),
            lambda: link.coordinator,
            instance.wall_ms,
        )

    def _version_sources(self) -> dict[str, Callable[[], str]]:
        """Return, by each component's name in the records, a function that returns its version in force."""
        core = self._instance.core
        sources: dict[str, Callable[[], str]] = {
            "code": lambda: __version__,
            "settings": lambda: self._settings.version,
            "list": lambda: str(self._discovery.watch.version),
            "bans": lambda: core.endpoints.disabled_digest,
            "out": self._fence_reason,
        }
        if self._group and self._group.membership:
            members = self._group.membership.members
            sources["heads"] = lambda: members.table.digest.hex()
        return sources

    def _fence_reason(self) -> str:
        core = self._instance.core
        if not core.fence.is_fenced:
            return ""
        fenced_by_operator = core.endpoints.instance_disabled(core.settings.instance_id)
        return "shut out" if fenced_by_operator else "not current"

    def settings_rejected(self, reason: str) -> None:
        """Record that new settings were received and rejected."""
        self.trail.change_rejected(self._instance.scheduler.now, "settings", reason)

    def stop(self) -> None:
        """Record the end of this process, and close the file."""
        self.trail.stop(self._instance.scheduler.now)
