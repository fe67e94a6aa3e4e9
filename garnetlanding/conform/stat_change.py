"""The stat of a 9P2000 Twstat: what is to change, and 'leave alone' for the rest."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.ninep import codec as p9
from garnetlanding.ninep.stat_format import KEEP4, KEEP8, STAT_HEAD

KEEP_TYPE = 0xFFFF  # 'leave alone' in the two bytes of the type
KEEP_QID_TYPE = 0xFF  # and in the one byte of the qid's type
SIZE_FIELD_BYTES = 2  # the size at a stat's beginning does not count itself


@dataclass(frozen=True, slots=True)
class StatChange:
    """New values of a file's stat; a field that is not given leaves the file's value alone (stat(5))."""

    name: str = ""
    mode: int = KEEP4
    mtime: int = KEEP4
    length: int = KEEP8
    gid: str = ""
    uid: str = ""
    muid: str = ""
    atime: int = KEEP4
    type: int = KEEP_TYPE
    dev: int = KEEP4

    def encode(self) -> bytes:
        """Return the stat as a Twstat carries it."""
        texts = b"".join(p9.pack_field("s", text) for text in (self.name, self.uid, self.gid, self.muid))
        head = STAT_HEAD.pack(
            STAT_HEAD.size - SIZE_FIELD_BYTES + len(texts),
            self.type,
            self.dev,
            KEEP_QID_TYPE,
            KEEP4,
            KEEP8,
            self.mode,
            self.atime,
            self.mtime,
            self.length,
        )
        return head + texts
