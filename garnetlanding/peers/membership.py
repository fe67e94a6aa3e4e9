"""Which heads a group has, found from a few seeds: records merged as they are heard, who is up by this head's
own hearing, and what part of what the whole group shares is this head's (docs/design/membership.md). No
clock, no socket.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

from garnetlanding.peers.disabled_backends import DIGEST
from garnetlanding.peers.limits import PeerLimits

NEVER = 1 << 62
FIRST_SEED = 1 << 16  # seeds are reached under numbers that no head has, until it is known who answers there


class Record(NamedTuple):
    """The last word on one head: of two the one with the greater life stands, and `gone` above being here."""

    head: int
    life: int
    gone: bool
    address: str

    @property
    def rank(self) -> tuple[int, bool, str]:
        return self.life, self.gone, self.address


class Membership:
    def __init__(
        self, limits: PeerLimits, me: int, life: int, address: str, seeds: Iterable[str], now: int
    ) -> None:
        """`address`: where this head is heard. `seeds`: the same at every head, a few that run for long."""
        self._limits, self.me = limits, me
        self._begins_at = now + limits.begin_us
        self._own = Record(me, life, False, address)
        self.records = {me: self._own}
        self._seeds = {FIRST_SEED + i: at for i, at in enumerate(seeds)}
        self._heard: dict[int, int] = {}
        self._known_by: set[int] = set()  # heads that have had this head's whole table, itself in it
        self._sponsored = False  # one of them had joined
        self._joined = False
        self._told: dict[int, int] = {}  # by head, how many records it has been told in turn
        self._news: dict[int, int] = {}  # by head, the later its record changed the greater
        self._digest: bytes | None = None

    # What is told and heard

    @property
    def digest(self) -> bytes:
        """The same for the same table, whatever way it came about."""
        if self._digest is None:
            text = "\n".join(
                f"{r.head} {r.life} {r.gone:d} {r.address}" for r in sorted(self.records.values())
            )
            self._digest = blake2b(text.encode(), digest_size=DIGEST).digest()
        return self._digest

    def learn(self, records: Iterable[Record]) -> int:
        """Merges what was told; gives back how many could not be kept."""
        dropped = 0
        for record in records:
            known = self.records.get(record.head)
            if known is None and len(self.records) >= self._limits.heads:
                dropped += 1
            elif known is None or record.rank > known.rank:
                own = self._own
                if (record.head, record.address) == (own.head, own.address) and record.life > own.life:
                    # Nobody else can be there: an earlier life of this head, before its clock was set back.
                    self._own = record = self._own._replace(life=record.life + 1)
                self.records[record.head] = record
                self._news[record.head] = max(self._news.values(), default=0) + 1
                self._digest = None
                if known and known.life != record.life:
                    self._known_by.discard(record.head)  # its new life has to learn of this head itself
        return dropped

    def heard(self, sender: int, digest: bytes, joined: bool, now: int) -> None:
        """A head's own, new word, after its records were learnt. `joined`: by its own account."""
        if sender not in self.records:
            return
        self._heard[sender] = now
        if joined:
            self._begins_at = NEVER  # there is a group: no other is begun
        if digest == self.digest:
            self._known_by.add(sender)
            self._sponsored = self._sponsored or joined
        self.look(now)

    def look(self, now: int) -> None:
        """Whether this head has joined by now: one that has itself vouches for the table, or nobody has, and
        all seeds begin the group together."""
        if not self._joined and self._known_by >= self.entitled - {self.me}:
            gone = {r.address for r in self.records.values() if r.gone} - {r.address for r in self.here}
            seeds = {self.at(at) for at in self._seeds.values() if at not in gone}
            begins = now >= self._begins_at and seeds <= self._known_by | {self.me}
            self._joined = self._sponsored or begins

    def tell(self, who: int, digest: bytes | None) -> list[Record]:
        """What goes to that head, as many of it as fit: this one's record, and where its table differs
        (`digest`: as last heard from it) the others, news first every other time, so that they spread
        like a rumour, and each in its turn."""
        mine = self.records[self.me]
        others = sorted(r for r in self.records.values() if r.head != self.me)
        if digest == self.digest or not others:
            return [mine]
        self._told[who] = self._told.get(who, 0) + 1
        if self._told[who] % 2:
            return [mine, *sorted(others, key=lambda r: self._news.get(r.head, 0), reverse=True)]
        begin = self._told[who] // 2 * self._limits.roll_turn % len(others)
        return [mine, *others[begin:], *others[:begin]]

    def unmet(self, now: int) -> list[int]:
        """Who is told beside the others: seeds that nobody is known at, under numbers of their own, and heads
        that speak though they are gone by their record: they have to learn that."""
        known = {r.address for r in self.here}
        gone = [
            r.head
            for r in self.records.values()
            if r.gone and r.head != self.me and now - self._heard.get(r.head, -NEVER) <= self._limits.stale_us
        ]
        return [seed for seed, at in self._seeds.items() if at not in known] + gone

    def reach(self, who: int) -> str:
        """The address of a head, or of a seed; empty: not known."""
        record = self.records.get(who)
        return self._seeds.get(who, "") if record is None else record.address

    def at(self, address: str) -> int | None:
        """Who is heard from there, as far as is known."""
        return next((r.head for r in self.here if r.address == address), None)

    def leave(self) -> None:
        """This head's last word: it uses nothing any more."""
        self.learn([self.records[self.me]._replace(gone=True)])

    def forget(self, who: int) -> bool:
        """An operator's word that a head has stopped for good; False where none of that number is known."""
        if who not in self.records:
            return False
        self.learn([self.records[who]._replace(gone=True)])
        return True

    # What follows

    @property
    def here(self) -> list[Record]:
        """Those of heads that are not gone."""
        return [r for r in self.records.values() if not r.gone]

    @property
    def entitled(self) -> set[int]:
        """All heads that are not gone: one that is not heard may be cut off only, and use its part."""
        return {r.head for r in self.here}

    @property
    def out(self) -> str:
        """Why this head must stand back; empty: it need not."""
        mine = self.records[self.me]
        if mine == self._own:
            return ""
        return "put out" if mine.life == self._own.life and mine.gone else "another process has its number"

    @property
    def joined(self) -> bool:
        """Whether every head of the table counts this one."""
        return self._joined and not self.out

    @property
    def even(self) -> float:
        """This head's even part of what all heads share; those of all heads never add up to more than 1."""
        return 1 / len(self.entitled) if self.joined else 0.0

    def state(self, who: int, now: int) -> str:
        """me, up, suspect (not heard in time by this head), gone."""
        if self.records[who].gone:
            return "gone"
        if who == self.me:
            return "me"
        heard = self._heard.get(who)
        return "up" if heard is not None and now - heard <= self.suspect_us else "suspect"

    @property
    def suspect_us(self) -> int:
        """After so long unheard: as many rounds as give each head its turn, and some lost."""
        rounds = -(-max(1, len(self.entitled) - 1) // self._limits.near)
        return self._limits.stale_us * rounds

    def known(self, now: int) -> list[dict[str, object]]:
        """For operators: each head, and since when this one has not heard it."""
        return [
            {
                "head": r.head,
                "state": self.state(r.head, now),
                "life": r.life,
                "address": r.address,
                "heard_ms": (now - self._heard[r.head]) // 1000 if r.head in self._heard else None,
                "part": round(self.even, 4) if r.head == self.me else None,
            }
            for r in sorted(self.records.values())
        ]
