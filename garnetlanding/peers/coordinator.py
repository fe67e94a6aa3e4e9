"""Wraps the decision module, so that it takes part in what the instances of a fleet decide together.

`PeerCoordinator` has the interface of the module. Of the events that it handles, it processes the messages of
peers itself and passes on the others, together with the events that follow from those messages (quotas,
suspicions). It adds the instance's own messages to the module's actions. No socket and no clock: it runs on
the simulator's wire as well as on sockets.
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
from garnetlanding.peers.send_round import SendRound
from garnetlanding.peers.status import StatusRow

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.peers.failure_detector import FailureDetector
    from garnetlanding.peers.membership_protocol import MembershipProtocol
    from garnetlanding.peers.shared_budgets import SharedBudgets

SEND_TIMER = "tell"  # the token of the timer of send rounds; it appears on the simulator's wire
STAGGER_SIGNAL = "say"  # determines the slots of the instances within the first round


@dataclass(frozen=True, slots=True)
class PeerSubsystems:
    """The optional protocols beside leases on volume limits; None: switched off."""

    detector: FailureDetector | None = None
    membership: MembershipProtocol | None = None
    make_budgets: BudgetFactory | None = None
    history: PeerHistory | None = None  # records the quotas that the module is notified of


class PeerCoordinator:
    """A decision module that exchanges messages with the other instances of its fleet.

    It stays one class because the order of the steps of `handle` is what keeps quotas from being used twice;
    the steps themselves, and the state behind them, are in the modules that it calls.
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
        """Wrap a decision module. `incarnation` must be greater at each start of this instance.

        `dropped` counts dropped messages by cause. Unless `is_active`, another process of this instance sends
        for it and uses its quotas, until `activate` is called.
        """
        self.module = module
        self.incarnation = incarnation
        self.limits = limits or PeerLimits()
        self.subsystems = subsystems or PeerSubsystems()
        self._quota = QuotaManager(
            self.limits, incarnation, module.settings, self.subsystems.make_budgets, is_active=is_active
        )
        detector = self.subsystems.detector
        membership = self.subsystems.membership
        counter = Counter[str]() if dropped is None else dropped
        self._receiver = MessageReceiver(self.limits, self._quota, detector, membership, counter)
        schedule = GossipSchedule(self.limits, module.settings.instance_id)
        self._round = SendRound(self.limits, incarnation, schedule, detector, membership)
        self._next_round_at = 0

    # State

    @property
    def settings(self) -> api.Settings:
        """The settings in force, which are the module's."""
        return self.module.settings

    @property
    def leases(self) -> Leases | None:
        """The leases on volume limits; None until events have been handled."""
        return self._quota.volume_leases

    @property
    def budgets(self) -> SharedBudgets | None:
        """The shared budgets; None where they are switched off."""
        return self._quota.budgets

    @property
    def dropped(self) -> Counter[str]:
        """How many messages were dropped, by cause."""
        return self._receiver.dropped

    @property
    def last_sent(self) -> int:
        """The number of the last message sent; 0: none was sent."""
        return self.leases.contacts.last_number if self.leases else 0

    @property
    def last_received(self) -> ReceivedMessage | None:
        """The last message that was not dropped; None: there was none."""
        return self._receiver.last_received

    def budget_leases(self) -> BudgetLeases | None:
        """Return the leases on budgets; None before any events, or while this process is not active."""
        return self._quota.budget_leases()

    # Hand-over between processes of an upgrade, suspension and shutdown

    def activate(self, now: int) -> None:
        """Start to send and to use quotas, as after a start: the predecessor process has stopped."""
        self._quota.activate(now)

    def deactivate(self, now: int) -> None:
        """Stop sending and using quotas: the successor process takes over."""
        self._quota.deactivate(now)

    def set_suspended(self, now: int, *, suspended: bool) -> None:
        """Stop using quotas while the instance must not act, or use them again, as after a start."""
        self._quota.set_suspended(now, suspended=suspended)

    def leave(self, now: int, send: Callable[[bytes, int | None], None]) -> None:
        """Stop using quotas because this instance terminates, and notify discovered peers.

        `send` is called with each datagram and its recipient.
        """
        self._quota.deactivate(now)
        membership = self.subsystems.membership
        if membership is None or self.leases is None:
            return
        membership.leave()
        receivers = list(self.leases.contacts.peers)
        for message in self._round.membership_messages(self.leases, receivers, now):
            send(message.payload, message.recipient)

    # The decision module's interface

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Handle events; return the module's actions, and then the instance's messages to its peers.

        All events of one call reach the module in one call, so that it sends nothing on a quota that has
        expired or has been granted to a peer by then.
        """
        settings = self.module.settings
        quota = self._quota
        own_actions: list[api.Action] = []
        if quota.apply_settings(settings, now, is_discovered=self.subsystems.membership is not None):
            own_actions.append(self._schedule_first_round(now, settings))
        module_events = self._receive(now, events)
        if self.subsystems.membership:
            quota.apply_membership(self.subsystems.membership, now)
        if quota.budgets:
            quota.budgets.observe_events(now, module_events, settings, quota.instance_count)
        if now >= self._next_round_at:
            own_actions += self._send_round(now, settings)
        if self.subsystems.detector:
            self._add_suspicions(self.subsystems.detector, now, module_events)
        update = quota.quota_update(now, settings.instances, self.subsystems.history)
        if update is not None:
            module_events.append(update)
        actions = self.module.handle(now, module_events)
        self._observe_actions(now, actions)
        return actions + own_actions

    def _schedule_first_round(self, now: int, settings: api.Settings) -> api.WakeAfter:
        """Schedule the first round in this instance's slot: instances that start together would collide."""
        slot = stagger_offset(settings.instance_id, settings.instances, STAGGER_SIGNAL)
        return self._schedule_round(now, 1 + int(self.limits.send_interval_us * slot))

    def _schedule_round(self, now: int, delay_us: int) -> api.WakeAfter:
        self._next_round_at = now + delay_us
        return api.WakeAfter(delay_us, SEND_TIMER)

    def _send_round(self, now: int, settings: api.Settings) -> list[api.Action]:
        """Schedule the next round, and return that timer and the messages of this round."""
        actions: list[api.Action] = [self._schedule_round(now, self.limits.send_interval_us)]
        if settings.may_message_peers and self._quota.is_active:
            actions += self._round.compose(self._quota, now, self._tightest_objective_us)
        return actions

    def _receive(self, now: int, events: list[api.Event]) -> list[api.Event]:
        """Process the messages of peers and record the demand of requests; return the module's events."""
        leases = self._quota.leases
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
        """Record what the events show of backends, and add the suspicions if they have changed."""
        detector.observations.observe_events(now, module_events, self._tightest_objective_us)
        suspicions = detector.changed_suspicions(now)
        if suspicions is not None:
            module_events.append(suspicions)

    def _observe_actions(self, now: int, actions: list[api.Action]) -> None:
        if self.subsystems.detector:
            self.subsystems.detector.observations.observe_actions(now, actions)
        if self._quota.budgets:
            # Under the module's present settings: the events may have changed them.
            self._quota.budgets.observe_actions(now, actions, self.module.settings)

    @property
    def _tightest_objective_us(self) -> int:
        return min(spec.latency_objective_us for spec in self.settings.classes.values())

    # Tables for operators

    def limit_rows(self, now: int) -> Sequence[StatusRow]:
        """Return one row for each limit and budget: how it is divided, as this instance sees it."""
        if self.leases is None:
            return []
        rows = operator_tables.limit_rows(self.leases, now)
        if self.budgets:
            rows += operator_tables.limit_rows(self.budgets.leases, now)
        return rows

    def member_rows(self, now: int) -> Sequence[StatusRow]:
        """Return one row for each instance of the fleet, discovered or configured."""
        if self.leases is None:
            return []
        membership = self.subsystems.membership
        if membership is None:
            return operator_tables.peer_rows(self.leases, now)
        return operator_tables.member_rows(membership.members, now)

    def suspicion_rows(self, now: int) -> Sequence[StatusRow]:
        """Return one row for each backend: what this instance and its peers have observed of it."""
        detector = self.subsystems.detector
        if self.leases is None or detector is None:
            return []
        return detector.suspicion_rows(now, self._tightest_objective_us)

    def disabled_rows(self) -> Sequence[StatusRow]:
        """Return one row for each backend that operators have disabled or enabled again."""
        detector = self.subsystems.detector
        if self.leases is None or detector is None:
            return []
        return operator_tables.disabled_rows(detector.disables.table)
