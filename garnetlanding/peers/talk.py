"""The decision module with the words of other heads around it: hears them, tells its own, and tells the
module what part of each limited volume is its own. No socket and no clock; the same on the simulator's wire
and on sockets.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from garnetlanding.core.ports import Module
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import NEVER
from garnetlanding.peers import codec
from garnetlanding.peers.leases import Leases
from garnetlanding.peers.limits import PeerLimits

if TYPE_CHECKING:  # what is off is not imported
    from garnetlanding.peers.fleet import Fleet

class Talk:
    """Stands where the module stood. `life` must be greater at each start of this head."""

    def __init__(self, module: Module, life: int, limits: PeerLimits | None = None,
                 dropped: Counter[str] | None = None,
                 believed: Callable[[dict[str, float], int], None] | None = None,
                 speaks: bool = True, fleet: Fleet | None = None) -> None:
        """`dropped` counts messages by cause; `believed` is told what the module has, and until when
        at most. Not `speaks`: another process of this head does so for it, and uses its parts. `fleet`
        tells and hears of servers, too."""
        self.module, self.limits, self.life = module, limits or PeerLimits(), life
        self.leases: Leases | None = None
        self.dropped: Counter[str] = Counter() if dropped is None else dropped
        self._believed = believed
        self._say_at = 0
        self._speaks = speaks
        self.fleet = fleet

    def take_over(self, now: int) -> None:
        """The head's other process speaks no more: this one does, as after a start."""
        self._speaks = True
        if self.leases:
            self.leases.stand_back(None, now)

    def retire(self, now: int) -> None:
        """Another process of this head takes over: no part of a limit is this one's from now on."""
        self._speaks = False
        if self.leases:
            self.leases.stand_back(NEVER, now)

    @property
    def s(self) -> api.Settings:
        return self.module.s

    def known(self, what: str, now: int) -> list[dict[str, object]]:
        """The `limits`, the `members`, the `verdicts` or the `bans`, for operators."""
        if self.leases is None:
            return []
        if what in ("verdicts", "bans"):
            return self.fleet.known(what, now, self._tightest_us) if self.fleet else []
        return self.leases.limits(now) if what == "limits" else self.leases.members(now)

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        told: list[api.Action] = []
        leases = self.leases
        if leases is None or (leases.me, leases.heads) != (self.s.me, self.s.hosts):
            # Another fleet: as after a start, since what was given under the old numbers may still be in use.
            leases = self.leases = Leases(self.limits, self.s.me, self.s.hosts, self.life, now, leases)
            if not self._speaks:
                leases.stand_back(NEVER, now)
            # Heads that start together would all speak at once: each has its own turn in the first round.
            self._wake(told, now, self._every * (1 + self.s.me) // max(1, self.s.hosts))
        rest: list[api.Event] = []
        for event in events:
            if isinstance(event, api.PeerMessage):
                self._hear(leases, event, now)
                continue
            if isinstance(event, api.Arrival):
                limit = self.s.plans[event.plan].limit_rate
                leases.asked(event.volume, event.volume_hosts, limit, event.units, now)
            rest.append(event)
        if now >= self._say_at:
            self._wake(told, now, self._every)
            if self.s.may_tell and self._speaks:
                told += self._texts(leases, now)
        if self.fleet:
            self.fleet.sightings.see(now, rest, self._tightest_us)
            if (hearsay := self.fleet.hearsay(now)) is not None:
                rest.append(hearsay)
        looks = now >= leases.look_at
        if parts := leases.parts(now):
            # In the same call as all that came: the module sends only once it has heard everything, so what
            # has been given or has run out is used no more.
            rest.append(api.Parts(parts))
        if looks and self._believed:
            self._believed(leases.believed() | parts, leases.look_at)
        actions = self.module.handle(now, rest)
        if self.fleet:
            self.fleet.sightings.acted(now, actions)
        return actions + told

    @property
    def _tightest_us(self) -> int:
        return min(c.aim_us for c in self.s.classes.values())

    @property
    def _every(self) -> int:
        """Messages go to each head apart: the more there are, the more seldom, so that the cost stays."""
        return self.limits.say_every_us * max(1, -(-(self.s.hosts - 1) // self.limits.near))

    def _wake(self, told: list[api.Action], now: int, span: int) -> None:
        self._say_at = now + span
        told.append(api.WakeAfter(span, "tell"))

    def _hear(self, leases: Leases, message: api.PeerMessage, now: int) -> None:
        try:
            e = codec.unseal(message.payload, self.limits.datagram_bytes)
            if e.kind == codec.WORDS and self.fleet:
                why = leases.contact(message.sender, e.life, e.number, now)
                if not why:
                    self.dropped.update(self.fleet.heard(
                        message.sender, e, leases.sent_at(e.re_life, e.re_number), now))
            else:
                why = leases.heard(message.sender, codec.leases(e), now)
        except codec.BadMessage as problem:
            why = str(problem)
        if why:
            self.dropped[why] += 1

    def _texts(self, leases: Leases, now: int) -> list[api.Action]:
        texts: list[api.Action] = []
        numbers: list[int] = []  # of the first message to each head, of the second, and so on
        for who, (asks, grants) in leases.say(now).items():
            for i, page in enumerate(codec.pages(asks, grants, self.limits.datagram_bytes)):
                if i == len(numbers):
                    numbers.append(leases.sending(now))
                message = codec.Message(self.life, numbers[i], *leases.last_heard(who), *page)
                texts.append(api.Tell(codec.encode(message), who))
        if self.fleet:
            heads = {who: leases.last_heard(who) for who in range(self.s.hosts) if who != self.s.me}
            words = self.fleet.say(heads, self.life, leases.sending(now), now, self._tightest_us)
            texts += [api.Tell(codec.seal(e), who) for who, e in words]
        return texts
