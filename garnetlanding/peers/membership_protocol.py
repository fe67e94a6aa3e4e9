"""One head's side of finding the others: its table of heads, and what it tells of it. No clock, no socket;
`PeerCoordinator` carries its messages.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from garnetlanding.peers import codec, membership_message
from garnetlanding.peers.codec import Envelope, MessageError
from garnetlanding.peers.history import PeerHistory
from garnetlanding.peers.limits import PeerLimits
from garnetlanding.peers.membership import Membership

log = logging.getLogger(__name__)


class MembershipProtocol:
    def __init__(self, limits: PeerLimits, members: Membership, history: PeerHistory | None = None) -> None:
        self.limits, self.members, self._history = limits, members, history
        self._digests: dict[int, bytes] = {}  # of each head, as last heard from it

    def introduce(self, address: str, data: bytes) -> int | None:
        """Who sends from an address that nobody is known at: its own record says so, and names that one."""
        try:
            first = membership_message.read(codec.decode_envelope(data, self.limits.datagram_bytes)).records[
                0
            ]
        except MessageError:
            return None
        return first.head if first.address == address and not first.gone else None

    def learn(self, e: Envelope) -> membership_message.MembershipMessage:
        """Raises MessageError."""
        told = membership_message.read(e)
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
        if self._history:
            self._history.members_changed(self.members.entitled, self.members.even)

    def heard(self, sender: int, told: membership_message.MembershipMessage, now: int) -> None:
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
        self, heads: Mapping[int, tuple[int, int]], life: int, sending: Callable[[], int]
    ) -> list[tuple[int, Envelope]]:
        """One message to each, or a few. `heads`: life and number of the last message heard from each;
        `sending` gives the number of another message."""
        members, told, limits = self.members, list[tuple[int, Envelope]](), self.limits
        numbers: list[int] = []  # of the first message to each head, of the second, and so on
        for who, heard in heads.items():
            records = members.tell(who, self._digests.get(who))
            for i, page in enumerate(
                membership_message.pages(records, limits.datagram_bytes, limits.roll_pages)
            ):
                if i == len(numbers):
                    numbers.append(sending())
                said = membership_message.MembershipMessage(members.digest, tuple(page), members.joined)
                told.append((who, membership_message.to_envelope(said, life, numbers[i], *heard)))
        return told

    def say_out(self, why: str) -> None:
        log.warning("stands back", extra={"kv": {"why": why}})
        self._say_so()
