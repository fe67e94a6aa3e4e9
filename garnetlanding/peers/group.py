"""One head's side of finding the others: its table of heads, and what it tells of it. No clock, no socket;
`Talk` carries its messages.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from garnetlanding.peers import codec, roll
from garnetlanding.peers.codec import BadMessage, Envelope
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.members import Members

log = logging.getLogger(__name__)


class Group:
    def __init__(self, limits: PeerLimits, members: Members, note: Callable[..., None] | None = None) -> None:
        """`note` writes a history's line."""
        self.limits, self.members, self._note = limits, members, note
        self._digests: dict[int, bytes] = {}  # of each head, as last heard from it

    def introduce(self, address: str, data: bytes) -> int | None:
        """Who sends from an address that nobody is known at: its own record says so, and names that one."""
        try:
            first = roll.read(codec.unseal(data, self.limits.datagram_bytes)).records[0]
        except BadMessage:
            return None
        return first.head if first.address == address and not first.gone else None

    def learn(self, e: Envelope) -> roll.Roll:
        """Raises BadMessage."""
        told = roll.read(e)
        before = self.members.digest
        self.members.learn(told.records)
        if self.members.digest != before:
            self._say_so()
        return told

    def leave(self) -> None:
        """This head's last word."""
        self.members.leave()
        self._say_so()

    def _say_so(self) -> None:
        if self._note:
            self._note("heads", entitled=sorted(self.members.entitled), even=self.members.even)

    def heard(self, sender: int, told: roll.Roll, now: int) -> None:
        """A head's own, new word."""
        joined = self.members.joined
        self._digests[sender] = told.digest
        self.members.heard(sender, told.digest, told.joined, now)
        self._look(joined)

    def look(self, now: int) -> None:
        """Once a round: a group may begin without a word of anybody else."""
        joined = self.members.joined
        self.members.look(now)
        self._look(joined)

    def _look(self, before: bool) -> None:
        if self.members.joined and not before:
            log.info("joined", extra={"kv": {"heads": len(self.members.entitled)}})
            self._say_so()

    def say(
        self, heads: dict[int, tuple[int, int]], life: int, sending: Callable[[], int]
    ) -> list[tuple[int, Envelope]]:
        """One message to each, or a few. `heads`: life and number of the last message heard from each;
        `sending` gives the number of another message."""
        members, told, limits = self.members, list[tuple[int, Envelope]](), self.limits
        numbers: list[int] = []  # of the first message to each head, of the second, and so on
        for who, heard in heads.items():
            records = members.tell(who, self._digests.get(who))
            for i, page in enumerate(roll.pages(records, limits.datagram_bytes, limits.roll_pages)):
                if i == len(numbers):
                    numbers.append(sending())
                said = roll.Roll(members.digest, tuple(page), members.joined)
                told.append((who, roll.envelope(said, life, numbers[i], *heard)))
        return told

    def say_out(self, why: str) -> None:
        log.warning("stands back", extra={"kv": {"why": why}})
        self._say_so()
