"""The decision module with the words of other heads around it: hears them, tells its own, and tells the
module what part of each limited volume, and of what all heads share, is its own. No socket and no clock; the
same on the simulator's wire and on sockets.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from garnetlanding.choices.stagger import stagger_offset
from garnetlanding.core.ports import DecisionModule
from garnetlanding.decision import interface as api
from garnetlanding.peers import codec
from garnetlanding.peers.drop_reasons import DropReason
from garnetlanding.peers.gossip_schedule import GossipSchedule
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.leases import InstanceIdentity, Leases, MessageId, SharedLeases
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.status import StatusRow

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.peers.failure_detector import FailureDetector
    from garnetlanding.peers.membership_protocol import MembershipProtocol
    from garnetlanding.peers.shared_budgets import SharedBudgets


class PeerCoordinator:
    """Stands where the module stood. `life` must be greater at each start of this head."""

    def __init__(
        self,
        module: DecisionModule,
        life: int,
        limits: PeerLimits | None = None,
        dropped: Counter[str] | None = None,
        history: PeerHistory | None = None,
        speaks: bool = True,
        fleet: FailureDetector | None = None,
        group: MembershipProtocol | None = None,
        budgets: Callable[[api.Settings, int, int], SharedBudgets] | None = None,
    ) -> None:
        """`dropped` counts messages by cause; `history` is told what the module has of volumes and limits,
        and until when at most. Not `speaks`: another process of this head does so for it, and uses its parts.
        `fleet` tells and hears of servers, `group` of heads; `budgets` makes what divides those of all."""
        self.module, self.limits, self.life = module, limits or PeerLimits(), life
        self.leases: Leases | None = None
        self.dropped: Counter[str] = Counter() if dropped is None else dropped
        self._history = history
        self._say_at = 0
        self._speaks = speaks
        self.fleet, self.group = fleet, group
        self._make_budgets, self.budgets = (
            budgets,
            None if budgets is None else budgets(self.settings, life, 0),
        )
        self._turns = GossipSchedule(self.limits, module.settings.instance_id)
        self.last_heard: list[int] = []  # head, life and number of the last message that was taken up
        self._out = False  # stands back: it has been put out, or replaced
        self._held_back = False  # the head does not act: it is not current, or shut out

    def take_over(self, now: int) -> None:
        """The head's other process speaks no more: this one does, as after a start."""
        self._speaks = True
        if self._may_use:
            self._resume(now)

    def retire(self, now: int) -> None:
        """Another process of this head takes over: no part of anything is this one's from now on."""
        self._speaks = False
        self._suspend(now)

    def leave(self, now: int, tell: Callable[[bytes, int], None]) -> None:
        """This head ends: it uses nothing from now on, and tells every other where the group was found."""
        self.retire(now)
        if self.group and self.leases:
            self.group.leave()
            leases = self.leases
            heads = {who: leases.last_received(who) for who in leases.peer_numbers}
            for who, e in self.group.compose(heads, self.life, lambda: leases.next_number(now)):
                tell(codec.encode_envelope(e), who)

    def _suspend(self, now: int) -> None:
        for leases in (self.leases, self.budgets and self.budgets.leases):
            if leases:
                leases.suspend(now)

    def _resume(self, now: int) -> None:
        for leases in (self.leases, self.budgets and self.budgets.leases):
            if leases:
                leases.resume(now)

    @property
    def settings(self) -> api.Settings:
        return self.module.settings

    def known(self, what: str, now: int) -> list[dict[str, object]]:
        """The `limits`, the `members`, the `verdicts` or the `bans`, for operators."""
        if self.leases is None:
            return []
        if what in ("verdicts", "bans"):
            return [row.as_json() for row in self._backend_rows(what, now)]
        if what == "members":
            if self.group:
                return [row.as_json() for row in self.group.members.rows(now)]
            return [row.as_json() for row in self.leases.peer_rows(now)]
        limit_rows = self.leases.limit_rows(now)
        if self.budgets:
            limit_rows += self.budgets.leases.limit_rows(now)
        return [row.as_json() for row in limit_rows]

    def _backend_rows(self, what: str, now: int) -> Sequence[StatusRow]:
        if self.fleet is None:
            return []
        if what == "verdicts":
            return self.fleet.suspicion_rows(now, self._tightest_us)
        return self.fleet.disabled_rows()

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        told: list[api.Action] = []
        leases = self._follow(now, told)
        rest: list[api.Event] = []
        for event in events:
            if isinstance(event, api.PeerMessage):
                self._hear(leases, event, now)
                continue
            if isinstance(event, api.Arrival):
                limit = self.settings.plans[event.plan].limit_rate
                leases.record_demand(event.volume, event.volume_hosts, limit, event.units, now)
            rest.append(event)
        if self.group:
            self._regroup(leases, now)
        if self.budgets:
            self.budgets.observe_events(now, rest, self.settings, 1 + len(self._others))
        if now >= self._say_at:
            self._wake(told, now, self.limits.say_every_us)
            if self.settings.may_message_peers and self._speaks:
                told += self._texts(leases, now)
        if self.fleet:
            self.fleet.observations.observe_events(now, rest, self._tightest_us)
            if (hearsay := self.fleet.changed_suspicions(now)) is not None:
                rest.append(hearsay)
        if (mine := self._parts(leases, now)) is not None:
            # In the same call as all that came: the module sends only once it has heard everything, so what
            # has been given or has run out is used no more.
            rest.append(mine)
        actions = self.module.handle(now, rest)
        if self.fleet:
            self.fleet.observations.observe_actions(now, actions)
        if self.budgets:
            self.budgets.observe_actions(now, actions, self.settings)
        return actions + told

    def _follow(self, now: int, told: list[api.Action]) -> Leases:
        """The leases among the heads that the settings name now."""
        leases, s = self.leases, self.settings
        identity = InstanceIdentity(s.instance_id, s.instances, self.life)
        # Where instances discover each other, the size of the fleet is not a setting.
        if (
            leases is not None
            and leases.identity.number == identity.number
            and (self.group or leases.identity.instances == identity.instances)
        ):
            return leases
        # Another fleet: as after a start, since what was given under the old numbers may still be in use.
        leases = self.leases = Leases(self.limits, identity, now, leases)
        if self._make_budgets:
            self.budgets = self._make_budgets(s, self.life, now)
        if not self._may_use:
            self._suspend(now)
        # Heads that start together would all speak at once: each has its own turn in the first round.
        self._wake(
            told, now, 1 + int(self.limits.say_every_us * stagger_offset(s.instance_id, s.instances, "say"))
        )
        return leases

    def _regroup(self, leases: Leases, now: int) -> None:
        """Takes up which heads there are by now, and whether this one may use anything."""
        assert self.group
        members = self.group.members
        others = frozenset(members.quota_holders - {members.me})
        leases.set_peers(others)
        if self.budgets:
            self.budgets.leases.set_peers(others)
            if not members.joined:
                self.budgets.leases.suspend(now)
            elif self.budgets.leases.resumes_at is None and self._may_use:
                self.budgets.leases.resume(now)
        if members.fence_reason and not self._out:
            self._out = True
            self._suspend(now)
            self.group.report_fenced(members.fence_reason)

    def _parts(self, leases: Leases, now: int) -> api.QuotaShares | None:
        looks = now >= leases.recheck_at
        parts = leases.changed_shares(now)
        if looks and self._history:
            self._history.volume_shares_changed(leases.current_shares() | parts, leases.recheck_at)
        shares = self.budgets.changed_shares(now, self.settings.instances) if self.budgets else None
        if shares is not None and self._history and self.budgets:
            budgets = self.budgets.leases
            self._history.limit_shares_changed(budgets.current_shares(), budgets.recheck_at)
        return api.QuotaShares(parts, shares) if parts or shares is not None else None

    def shared(self) -> SharedLeases | None:
        """What divides budgets, and among how many heads; None before the first turn, or while this process
        does not speak for its head."""
        if not (self.budgets and self.leases and self._speaks):
            return None
        return SharedLeases(self.budgets.leases, 1 + len(self._others))

    @property
    def _tightest_us(self) -> int:
        return min(c.latency_objective_us for c in self.settings.classes.values())

    @property
    def _others(self) -> frozenset[int]:
        assert self.leases
        return self.leases.peer_numbers

    def _wake(self, told: list[api.Action], now: int, span: int) -> None:
        self._say_at = now + span
        told.append(api.WakeAfter(span, "tell"))

    def _hear(self, leases: Leases, message: api.PeerMessage, now: int) -> None:
        try:
            e = codec.decode_envelope(message.payload, self.limits.datagram_bytes)
            if e.kind == codec.MessageKind.MEMBERSHIP and self.group:
                roll = self.group.merge(e)
                self._regroup(leases, now)
                why = leases.accept_contact(message.sender, e.incarnation, e.number, now)
                if not why:
                    self.group.record_contact(message.sender, roll, now)
            elif e.kind == codec.MessageKind.GOSSIP and self.fleet:
                why = leases.accept_contact(message.sender, e.incarnation, e.number, now)
                if not why:
                    sent_at = leases.sent_at(e.acked_incarnation, e.acked_number)
                    for reason, count in self.fleet.receive(message.sender, e, sent_at, now).items():
                        self.dropped[reason.value] += count
            elif e.kind == codec.MessageKind.BUDGETS and self.budgets:
                why = self.budgets.receive(message.sender, codec.read_leases(e), now)
            elif e.kind == codec.MessageKind.BUDGETS:
                why = DropReason.OTHER_KIND
            else:
                why = leases.receive(message.sender, codec.read_leases(e), now)
        except codec.MessageError as problem:
            self.dropped[problem.cause] += 1
            return
        if why is not None:
            self.dropped[why.value] += 1
        else:
            self.last_heard = [message.sender, e.incarnation, e.number]

    def stand_back(self, out: bool, now: int) -> None:
        """This head is not current, or is again: while it is not, no part of anything is its own."""
        self._held_back = out
        if self._may_use:
            self._resume(now)
        else:
            self._suspend(now)

    @property
    def _may_use(self) -> bool:
        """Whether any part of anything may be this process's."""
        return self._speaks and not self._out and not self._held_back

    @property
    def said(self) -> int:
        """The number of this head's last message."""
        return self.leases.last_number if self.leases else 0

    def _texts(self, leases: Leases, now: int) -> list[api.Action]:
        divided = [(leases, codec.MessageKind.LEASES)]
        if self.budgets:
            divided.append((self.budgets.leases, codec.MessageKind.BUDGETS))
        partners = dict.fromkeys(who for one, _ in divided for who in one.active_peers(now))
        to = self._turns.round(self._others, partners)
        texts: list[api.Action] = []
        for one, kind in divided:
            texts += self._pages(one, kind, to, now)
        if self.fleet:
            heads = {who: leases.last_received(who) for who in to}
            message_id = MessageId(self.life, leases.next_number(now))
            words = self.fleet.compose(heads, message_id, now, self._tightest_us)
            texts += [api.SendPeerMessage(codec.encode_envelope(e), who) for who, e in words.items()]
        if self.group:
            self.group.update_joined(now)
            heads = {
                who: leases.last_received(who) for who in [*to, *self.group.members.extra_receivers(now)]
            }
            texts += [
                api.SendPeerMessage(codec.encode_envelope(e), who)
                for who, e in self.group.compose(heads, self.life, lambda: leases.next_number(now))
            ]
        return texts

    def _pages(self, leases: Leases, kind: codec.MessageKind, to: list[int], now: int) -> list[api.Action]:
        texts: list[api.Action] = []
        numbers: list[int] = []  # of the first message to each head, of the second, and so on
        for who, (asks, grants) in leases.compose(now, to).items():
            for i, page in enumerate(codec.paginate(asks, grants, self.limits.datagram_bytes)):
                if i == len(numbers):
                    numbers.append(leases.next_number(now))
                message = codec.LeaseMessage(self.life, numbers[i], *leases.last_received(who), *page)
                texts.append(api.SendPeerMessage(codec.encode_leases(message, kind), who))
        return texts
