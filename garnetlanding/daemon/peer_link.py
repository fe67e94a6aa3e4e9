"""The UDP link to peers: opens and closes it as configured, and hands it over during an upgrade."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from garnetlanding.config import Config
from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.daemon.history import HistoryRecording
    from garnetlanding.daemon.peer_group import PeerGroup
    from garnetlanding.peers.coordinator import PeerCoordinator
    from garnetlanding.peers.link import PeerLink
    from garnetlanding.peers.setup import PeerSetup

log = logging.getLogger(__name__)


class PeerLinkManager(Subsystem):
    """Owns the link, and the coordinator that wraps the decision module.

    The coordinator is created with the first link and remains in place when the link is closed.
    """

    name = "peer link"

    def __init__(
        self,
        instance: Instance,
        group: PeerGroup | None,
        history: HistoryRecording | None,
    ) -> None:
        self._instance = instance
        self._group = group
        self._history = history
        self._drops_by_reason: Counter[str] = Counter()  # dropped messages of peers
        self._retry_scheduled = False
        self.link: PeerLink | None = None
        self.coordinator: PeerCoordinator | None = None

    def start(self) -> None:
        """Open the link if the settings allow one."""
        self.reconcile()

    def reload(self, previous: Config) -> None:  # noqa: ARG002 - the open link keeps its setup
        """Open, move or close the link as the new configuration requires."""
        self.reconcile()

    def reconcile(self) -> None:
        """Open, move or close the link as the settings and the configuration in force require."""
        setup = self._desired_setup()
        if self.link and self.link.setup != setup:
            self._close()
        if setup is None or self.link or self._retry_scheduled:
            return
        if self.coordinator is None:
            self.coordinator = self._make_coordinator(setup)
            self._instance.core.module = self.coordinator
        self._open(setup, self.coordinator)

    def _desired_setup(self) -> PeerSetup | None:
        config = self._instance.config
        if config.peers is None or not self._instance.core.settings.may_message_peers:
            return None
        return config.operator.fleet.apply_routes(config.peers) if config.operator.fleet else config.peers

    def _make_coordinator(self, setup: PeerSetup) -> PeerCoordinator:
        from garnetlanding.peers.coordinator import PeerCoordinator, PeerSubsystems

        return PeerCoordinator(
            self._instance.core.module,
            self._instance.incarnation,
            setup.limits,
            PeerSubsystems(
                detector=self._group.failure_detector if self._group else None,
                membership=self._group.membership if self._group else None,
                make_budgets=self._group.make_budgets if self._group else None,
                history=self._history.writer if self._history else None,
            ),
            self._drops_by_reason,
            is_active=False,
        )

    def _open(self, setup: PeerSetup, coordinator: PeerCoordinator) -> None:
        from garnetlanding.peers.link import PeerLink

        instance = self._instance
        membership = self._group.membership if self._group else None
        try:
            self.link = PeerLink(
                instance.scheduler,
                setup,
                instance.core.receive_peer_message,
                self._drops_by_reason,
                membership,
            )
        except OSError as error:
            # During an upgrade, the predecessor holds the address and represents this instance until it ends.
            log.warning("peer link not opened", extra={"kv": {"at": setup.listen, "why": error.strerror}})
            self._retry_scheduled = True
            instance.scheduler.call_at(instance.scheduler.now + setup.limits.bind_retry_us, self._retry)
            return
        coordinator.activate(instance.scheduler.now)
        instance.core.send_to_peer = self.link.send
        instance.log_listening("peers", self.link.address)

    def _retry(self) -> None:
        self._retry_scheduled = False
        self.reconcile()

    def _close(self) -> None:
        if self.link:
            self.link.close()
        self.link = None
        self._instance.core.send_to_peer = None

    def hand_over(self) -> bool:
        """Close the link if there is a successor process, and return whether there is one.

        The successor represents this instance from then on: two processes with a link would both use the
        quotas leased to it.
        """
        superseded = self._instance.process.superseded
        if superseded and self.link and self.coordinator:
            self.coordinator.deactivate(self._instance.scheduler.now)
            self._close()
        return superseded

    def set_suspended(self, *, suspended: bool) -> None:
        """Suspend or resume the coordinator's use of shared quotas."""
        if self.coordinator:
            self.coordinator.set_suspended(self._instance.scheduler.now, suspended=suspended)

    def stop(self) -> None:
        """Notify peers that this instance leaves, which releases its quotas at once."""
        if self.link and self.coordinator:
            self.coordinator.leave(self._instance.scheduler.now, self.link.send)
