"""Wraps the decision module to add the exchange of messages with the other instances of the fleet.

`PeerCoordinator` implements the module's interface. It processes messages from peers itself and passes all
other events to the module, together with the events that follow from the messages (quotas, suspicions). It
adds this instance's messages to the module's actions. Sans-IO: no clock and no sockets, so it runs on the
simulator's wire as well as on sockets.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from garnetlanding.choices.stagger import stagger_offset
from garnetlanding.core.ports import DecisionModule
from garnetlanding.decision import interface as api
from garnetlanding.peers import operator_tables
from garnetlanding.peers.gossip_schedule import GossipSchedule
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.leases import BudgetLeases, Leases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.quota_manager import BudgetFactory, QuotaManager
from garnetlanding.peers.receiver import MessageReceiver, ReceivedMessage
from garnetlanding.peers.send_round import RoundComposer
from garnetlanding.peers.status import StatusRow

if TYPE_CHECKING:  # disabled subsystems are not imported at run time
    from garnetlanding.peers.failure_detector import FailureDetector
    from garnetlanding.peers.membership_protocol import MembershipProtocol
    from garnetlanding.peers.shared_budgets import SharedBudgets

SEND_TIMER = "tell"  # token of the timer for send rounds; appears on the simulator's wire
STAGGER_SIGNAL = "say"  # rotates the instances' slots within the first round


@dataclass(frozen=True, slots=True)
class PeerSubsystems:
    """The optional protocols in addition to leases on volume limits; None means disabled."""

    detector: FailureDetector | None = None
    membership: MembershipProtocol | None = None
    make_budgets: BudgetFactory | None = None
    history: PeerHistory | None = None  # records the quota updates sent to the module


class PeerCoordinator:
    """A decision module that exchanges messages with the other instances of its fleet.

    It stays one class because the order of the steps in `handle` prevents two instances from using the same
    quota. The steps and their state are implemented in the modules that it calls.
    """

    def __init__(
        self,
        module: DecisionModule,
        incarnation: int,
        limits: PeerLimits | None = None,
        subsystems: PeerSubsystems | None = None,
        dropped: Counter[str] | None = None,
        *,
        is_active: bool = True,
    ) -> None:
        """Wrap a decision module. `incarnation` must increase with each start of this instance.

        `dropped` counts dropped messages by cause. Unless `is_active`, another process of this instance sends
        its messages and uses its quotas until `activate` is called.
        """
        self.module = module
        self.incarnation = incarnation
        self.limits = limits or PeerLimits()
        self.subsystems = subsystems or PeerSubsystems()
        self._quota_manager = QuotaManager(
            self.limits, incarnation, module.settings, self.subsystems.make_budgets, is_active=is_active
        )
        detector = self.subsystems.detector
        membership = self.subsystems.membership
        drop_counts = Counter[str]() if dropped is None else dropped
        self._receiver = MessageReceiver(self.limits, self._quota_manager, detector, membership, drop_counts)
        schedule = GossipSchedule(self.limits, module.settings.instance_id)
        self._round_composer = RoundComposer(self.limits, incarnation, schedule, detector, membership)
        self._next_round_at = 0

    # State

    @property
    def settings(self) -> api.Settings:
        """The current settings of the module."""
        return self.module.settings

    @property
    def leases(self) -> Leases | None:
        """The leases on volume limits, or None before the first call of `handle`."""
        return self._quota_manager.volume_leases

    @property
    def budgets(self) -> SharedBudgets | None:
        """The shared budgets, or None if they are disabled."""
        return self._quota_manager.budgets

    @property
    def dropped(self) -> Counter[str]:
        """The number of dropped messages, by cause."""
        return self._receiver.dropped

    @property
    def last_sent(self) -> int:
        """The number of the last message sent, or 0 if there was none."""
        return self.leases.contacts.last_number if self.leases else 0

    @property
    def last_received(self) -> ReceivedMessage | None:
        """The last message received and not dropped, or None if there was none."""
        return self._receiver.last_received

    def budget_leases(self) -> BudgetLeases | None:
        """Return the leases on budgets, or None before any events and while this process is inactive."""
        return self._quota_manager.budget_leases()

    # Handover between processes during an upgrade, suspension and shutdown

    def activate(self, now: int) -> None:
        """Start sending and using quotas, as after a start: the predecessor process has stopped."""
        self._quota_manager.activate(now)

    def deactivate(self, now: int) -> None:
        """Stop sending and using quotas: the successor process takes over."""
        self._quota_manager.deactivate(now)

    def set_suspended(self, now: int, *, suspended: bool) -> None:
        """Stop using quotas while the instance is suspended, or resume using them, as after a start."""
        self._quota_manager.set_suspended(now, suspended=suspended)

    def leave(self, now: int, send: Callable[[bytes, int | None], None]) -> None:
        """Stop using quotas before this instance terminates, and notify discovered peers.

        `send` is called with each datagram and its recipient.
        """
        self._quota_manager.deactivate(now)
        membership = self.subsystems.membership
        if membership is None or self.leases is None:
            return
        membership.leave()
        receivers = list(self.leases.contacts.peers)
        for message in self._round_composer.membership_messages(self.leases, receivers, now):
            send(message.payload, message.recipient)

    # The decision module's interface

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Handle events; return the module's actions, followed by this instance's messages to its peers.

        All events of one call reach the module in one call, so that it does not use quota that has expired or
        has already been granted to a peer.
        """
        settings = self.module.settings
        quota_manager = self._quota_manager
        own_actions: list[api.Action] = []
        if quota_manager.apply_settings(settings, now, is_discovered=self.subsystems.membership is not None):
            own_actions.append(self._schedule_first_round(now, settings))
        module_events = self._receive(now, events)
        if self.subsystems.membership:
            quota_manager.apply_membership(self.subsystems.membership, now)
        if quota_manager.budgets:
            instance_count = quota_manager.instance_count
            quota_manager.budgets.observe_events(now, module_events, settings, instance_count)
        if now >= self._next_round_at:
            own_actions += self._send_round(now, settings)
        if self.subsystems.detector:
            self._add_suspicions(self.subsystems.detector, now, module_events)
        update = quota_manager.quota_update(now, settings.instances, self.subsystems.history)
        if update is not None:
            module_events.append(update)
        actions = self.module.handle(now, module_events)
        self._observe_actions(now, actions)
        return actions + own_actions

    def _schedule_first_round(self, now: int, settings: api.Settings) -> api.WakeAfter:
        """Schedule the first round in this instance's slot, so that instances do not all send at once."""
        slot = stagger_offset(settings.instance_id, settings.instances, STAGGER_SIGNAL)
        return self._schedule_round(now, 1 + int(self.limits.send_interval_us * slot))

    def _schedule_round(self, now: int, delay_us: int) -> api.WakeAfter:
        self._next_round_at = now + delay_us
        return api.WakeAfter(delay_us, SEND_TIMER)

    def _send_round(self, now: int, settings: api.Settings) -> list[api.Action]:
        """Schedule the next round; return its timer and the messages of this round."""
        actions: list[api.Action] = [self._schedule_round(now, self.limits.send_interval_us)]
        if settings.may_message_peers and self._quota_manager.is_active:
            actions += self._round_composer.compose(self._quota_manager, now, self._tightest_objective_us)
        return actions

    def _receive(self, now: int, events: list[api.Event]) -> list[api.Event]:
        """Process messages from peers and record demand; return the events for the module."""
        leases = self._quota_manager.leases
        module_events: list[api.Event] = []
        for event in events:
            if isinstance(event, api.PeerMessage):
                self._receiver.receive(event.sender, event.payload, now)
                continue
            if isinstance(event, api.Arrival):
                limit = self.settings.plans[event.plan].limit_rate
                leases.record_demand(event.volume, event.serving_instances, limit, event.units, now)
            module_events.append(event)
        return module_events

    def _add_suspicions(self, detector: FailureDetector, now: int, module_events: list[api.Event]) -> None:
        """Record what the events show of backends, and append the suspicions if they have changed."""
        detector.observations.observe_events(now, module_events, self._tightest_objective_us)
        suspicions = detector.changed_suspicions(now)
        if suspicions is not None:
            module_events.append(suspicions)

    def _observe_actions(self, now: int, actions: list[api.Action]) -> None:
        if self.subsystems.detector:
            self.subsystems.detector.observations.observe_actions(now, actions)
        if self._quota_manager.budgets:
            # With the module's current settings: the events may have changed them.
            self._quota_manager.budgets.observe_actions(now, actions, self.module.settings)

    @property
    def _tightest_objective_us(self) -> int:
        return min(spec.latency_objective_us for spec in self.settings.classes.values())

    # Tables for operators

    def limit_rows(self, now: int) -> Sequence[StatusRow]:
        """Return one row per limit and budget: its division as known to this instance."""
        if self.leases is None:
            return []
        rows = operator_tables.limit_rows(self.leases, now)
        if self.budgets:
            rows += operator_tables.limit_rows(self.budgets.leases, now)
        return rows

    def member_rows(self, now: int) -> Sequence[StatusRow]:
        """Return one row per instance of the fleet, discovered or configured."""
        if self.leases is None:
            return []
        membership = self.subsystems.membership
        if membership is None:
            return operator_tables.peer_rows(self.leases, now)
        return operator_tables.member_rows(membership.members, now)

    def suspicion_rows(self, now: int) -> Sequence[StatusRow]:
        """Return one row per backend: what this instance and its peers have observed of it."""
        detector = self.subsystems.detector
        if self.leases is None or detector is None:
            return []
        return detector.suspicion_rows(now, self._tightest_objective_us)

    def disabled_rows(self) -> Sequence[StatusRow]:
        """Return one row per backend that operators have disabled or enabled again."""
        detector = self.subsystems.detector
        if self.leases is None or detector is None:
            return []
        return operator_tables.disabled_rows(detector.disables.table)
