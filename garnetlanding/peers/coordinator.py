"""The decision module together with its peers: `PeerCoordinator` stands where the module stood.

It takes the messages of peers out of the events, adds to them what follows from those messages (quota shares,
suspicions), and adds the instance's own messages to the module's actions. No socket and no clock: it is the
same on the simulator's wire and on sockets.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from garnetlanding.choices.stagger import stagger_offset
from garnetlanding.core.ports import DecisionModule
from garnetlanding.decision import interface as api
from garnetlanding.peers.gossip_schedule import GossipSchedule
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.leases import Leases, SharedLeases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.quota_use import BudgetFactory, QuotaUse
from garnetlanding.peers.receiver import MessageReceiver, ReceivedMessage
from garnetlanding.peers.send_round import SendRound
from garnetlanding.peers.status import StatusRow

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.peers.failure_detector import FailureDetector
    from garnetlanding.peers.membership_protocol import MembershipProtocol
    from garnetlanding.peers.shared_budgets import SharedBudgets

SEND_TIMER = "tell"  # the name of the timer of a round, as the simulator's wire shows it
STAGGER_SIGNAL = "say"  # gives each instance its place within the first round


@dataclass(frozen=True, slots=True)
class PeerSubsystems:
    """What instances exchange beside leases on volume limits; None: it is switched off."""

    detector: FailureDetector | None = None
    membership: MembershipProtocol | None = None
    make_budgets: BudgetFactory | None = None
    history: PeerHistory | None = None  # is given the shares that the module reckons with


class PeerCoordinator:
    """A decision module that exchanges messages with the other instances of its fleet."""

    def __init__(
        self,
        module: DecisionModule,
        incarnation: int,
        limits: PeerLimits | None = None,
        subsystems: PeerSubsystems | None = None,
        dropped: Counter[str] | None = None,
        is_active: bool = True,
    ) -> None:
        """`incarnation` must be greater at each start of this instance.

        `dropped` counts by cause the messages that are not used. Not `is_active`: another process of this
        instance sends for it and uses its shares, until `activate`.
        """
        self.module = module
        self.incarnation = incarnation
        self.limits = limits or PeerLimits()
        self.subsystems = subsystems or PeerSubsystems()
        self._quota = QuotaUse(
            self.limits, incarnation, module.settings, self.subsystems.make_budgets, is_active
        )
        detector = self.subsystems.detector
        membership = self.subsystems.membership
        counter = Counter[str]() if dropped is None else dropped
        self._receiver = MessageReceiver(self.limits, self._quota, detector, membership, counter)
        schedule = GossipSchedule(self.limits, module.settings.instance_id)
        self._round = SendRound(self.limits, incarnation, schedule, detector, membership)
        self._next_round_at = 0

    # State that others read

    @property
    def settings(self) -> api.Settings:
        """The settings in force, which are the module's."""
        return self.module.settings

    @property
    def leases(self) -> Leases | None:
        """The leases on volume limits; None before the first events."""
        return self._quota.volumes

    @property
    def budgets(self) -> SharedBudgets | None:
        """The shared budgets, where they are on."""
        return self._quota.budgets

    @property
    def dropped(self) -> Counter[str]:
        """How many messages were not used, by cause."""
        return self._receiver.dropped

    @property
    def last_sent(self) -> int:
        """The number of this instance's last message; 0: it has sent none."""
        return self.leases.contacts.last_number if self.leases else 0

    @property
    def last_received(self) -> ReceivedMessage | None:
        """The last message that was used; None: there was none."""
        return self._receiver.last_received

    def shared_leases(self) -> SharedLeases | None:
        """Return what divides budgets; None before the first events, or while this process is not active."""
        return self._quota.shared_leases()

    # Between processes of this instance, and its end

    def activate(self, now: int) -> None:
        """Send and use shares from now on, as after a start: the instance's other process has stopped."""
        self._quota.activate(now)

    def deactivate(self, now: int) -> None:
        """Send and use nothing from now on: another process of this instance takes over."""
        self._quota.deactivate(now)

    def set_suspended(self, suspended: bool, now: int) -> None:
        """Use no share while the instance does not act, or use them again, as after a start."""
        self._quota.set_suspended(suspended, now)

    def leave(self, now: int, send: Callable[[bytes, int | None], None]) -> None:
        """Use nothing from now on, since this instance ends, and let discovered peers know.

        `send` gets a datagram and its receiver.
        """
        self._quota.deactivate(now)
        membership = self.subsystems.membership
        if membership is None or self.leases is None:
            return
        membership.leave()
        receivers = list(self.leases.contacts.peers)
        for message in self._round.membership_messages(self.leases, receivers, now):
            send(message.payload, message.recipient)

    # The decision module's call

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Handle events as the decision module does; the actions are its own, and messages to peers."""
        settings = self.module.settings
        quota = self._quota
        subsystems = self.subsystems
        own_actions: list[api.Action] = []
        if quota.follow(settings, now, subsystems.membership is not None):
            # Instances that start together would all send at once: each has its own place in the first round.
            place = stagger_offset(settings.instance_id, settings.instances, STAGGER_SIGNAL)
            own_actions.append(self._schedule_round(now, 1 + int(self.limits.send_interval_us * place)))
        module_events = self._receive(now, events)
        if subsystems.membership:
            quota.follow_members(subsystems.membership, now)
        if quota.budgets:
            quota.budgets.observe_events(now, module_events, settings, quota.instance_count)
        if now >= self._next_round_at:
            own_actions.append(self._schedule_round(now, self.limits.send_interval_us))
            if settings.may_message_peers and quota.is_active:
                own_actions += self._round.compose(quota, now, self._tightest_objective_us)
        if subsystems.detector:
            self._add_suspicions(subsystems.detector, now, module_events)
        # In the same call as all that was received: the module sends only once it has everything, so that no
        # share is used any more that has been granted away or has expired.
        shares = quota.changed_shares(now, settings.instances, subsystems.history)
        if shares is not None:
            module_events.append(shares)
        actions = self.module.handle(now, module_events)
        if subsystems.detector:
            subsystems.detector.observations.observe_actions(now, actions)
        if quota.budgets:
            # By the settings in force now: the events may have brought new ones.
            quota.budgets.observe_actions(now, actions, self.module.settings)
        return actions + own_actions

    def _receive(self, now: int, events: list[api.Event]) -> list[api.Event]:
        """Take in the messages of peers and the demand of requests; return the events for the module."""
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
        """Observe the events for what they say of backends, and add what peers say where that has changed."""
        detector.observations.observe_events(now, module_events, self._tightest_objective_us)
        suspicions = detector.changed_suspicions(now)
        if suspicions is not None:
            module_events.append(suspicions)

    def _schedule_round(self, now: int, span_us: int) -> api.WakeAfter:
        self._next_round_at = now + span_us
        return api.WakeAfter(span_us, SEND_TIMER)

    @property
    def _tightest_objective_us(self) -> int:
        return min(spec.latency_objective_us for spec in self.settings.classes.values())

    # Tables for operators

    def limit_rows(self, now: int) -> Sequence[StatusRow]:
        """Return how each limit and budget is divided, as this instance sees it."""
        if self.leases is None:
            return []
        rows = self.leases.limit_rows(now)
        if self.budgets:
            rows += self.budgets.leases.limit_rows(now)
        return rows

    def member_rows(self, now: int) -> Sequence[StatusRow]:
        """Return the instances of the fleet, discovered or configured."""
        if self.leases is None:
            return []
        membership = self.subsystems.membership
        return membership.members.rows(now) if membership else self.leases.peer_rows(now)

    def suspicion_rows(self, now: int) -> Sequence[StatusRow]:
        """Return what this instance and its peers have observed of each backend."""
        detector = self.subsystems.detector
        if self.leases is None or detector is None:
            return []
        return detector.suspicion_rows(now, self._tightest_objective_us)

    def disabled_rows(self) -> Sequence[StatusRow]:
        """Return the records on backends that operators have disabled or enabled."""
        detector = self.subsystems.detector
        if self.leases is None or detector is None:
            return []
        return detector.disabled_rows()
