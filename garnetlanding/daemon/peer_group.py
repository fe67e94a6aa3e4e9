"""The state that the instances of a group share: suspicions, disabled backends, membership, quotas."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from garnetlanding.daemon.instance import Instance
from garnetlanding.daemon.lifecycle import Subsystem
from garnetlanding.decision import interface as api
from garnetlanding.peers.failure_detector import FailureDetector
from garnetlanding.peers.setup import FleetSetup, PeerSetup

if TYPE_CHECKING:  # a subsystem that is off is not imported
    from garnetlanding.daemon.history import HistoryRecording
    from garnetlanding.peers.membership_protocol import MembershipProtocol
    from garnetlanding.peers.shared_budgets import SharedBudgets

# Creates the SharedBudgets from the settings, this instance's incarnation and the current time.
SharedBudgetsFactory = Callable[[api.Settings, int, int], "SharedBudgets"]


class PeerGroup(Subsystem):
    """Owns the state shared with peers. The peer link carries its messages once it is open."""

    name = "peer group"
    failure_detector: FailureDetector  # set by `start`
    membership: MembershipProtocol | None = None  # None unless membership is discovered by gossip
    make_budgets: SharedBudgetsFactory | None = None  # None unless instances lease quotas from each other

    def __init__(
        self, instance: Instance, setup: FleetSetup, peers: PeerSetup, history: HistoryRecording | None
    ) -> None:
        self._instance = instance
        self._setup = setup
        self._peers = peers
        self._history = history

    def start(self) -> None:
        """Create the components that the operator's file turns on."""
        setup = self._setup
        limits = self._peers.limits
        history = self._history.writer if self._history else None
        self.failure_detector = FailureDetector(
            limits, share_evidence=setup.suspicions, share_disabled=setup.disables, history=history
        )
        if setup.seeds:
            from garnetlanding.peers.membership import Membership
            from garnetlanding.peers.membership_protocol import MembershipProtocol

            members = Membership(
                limits,
                self._instance.core.settings.instance_id,
                self._instance.incarnation,
                setup.advertised_address or self._peers.listen,
                setup.seeds,
                self._instance.scheduler.now,
            )
            self.membership = MembershipProtocol(limits, members, history)
        if setup.budgets:
            self.make_budgets = self._budgets_factory()

    def _budgets_factory(self) -> SharedBudgetsFactory:
        from garnetlanding.peers.shared_budgets import SharedBudgets

        limits = self._peers.limits
        longest_us = self._instance.longest_attempt_us if self._setup.backend_connections else 0
        return lambda settings, incarnation, now: SharedBudgets(
            limits, settings, incarnation, now, longest_us
        )

    def forget(self, peer: int) -> bool | None:
        """Remove a terminated peer; return None if membership is not discovered by gossip."""
        return self.membership.members.mark_terminated(peer) if self.membership else None


class ReceivedDisables(Subsystem):
    """Applies disables received from peers to an instance without an admin service.

    They are kept in memory only; an admin service would also store them.
    """

    name = "received disables"

    def __init__(self, instance: Instance, group: PeerGroup) -> None:
        self._instance = instance
        self._group = group

    def start(self) -> None:
        """Apply received disables now and at regular intervals."""
        self._poll()

    def _poll(self) -> None:
        disables = self._group.failure_detector.disables
        scheduler = self._instance.scheduler
        scheduler.call_at(scheduler.now + disables.limits.disables_poll_us, self._poll)
        if disables.merge_received():
            self._instance.core.set_disabled(disables.table.disabled_names)
