"""The stat of a 9P2000 Twstat: what is to change, and 'leave alone' for the rest."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.ninep import codec as p9
from garnetlanding.ninep.stat_format import STAT_FIXED_FIELDS, UNCHANGED_U32, UNCHANGED_U64

KEEP_TYPE = 0xFFFF  # 'leave alone' in the two bytes of the type
KEEP_QID_TYPE = 0xFF  # and in the one byte of the qid's type
SIZE_FIELD_BYTES = 2  # the size at a stat's beginning does not count itself


@dataclass(frozen=True, slots=True)
class StatChange:
    """New values of a file's stat; a field that is not given leaves the file's value alone (stat(5))."""

    name: str = ""
    mode: int = UNCHANGED_U32
    mtime: int = UNCHANGED_U32
    length: int = UNCHANGED_U64
    gid: str = ""
    uid: str = ""
    muid: str = ""
    atime: int = UNCHANGED_U32
    type: int = KEEP_TYPE
    dev: int = UNCHANGED_U32

    def encode(self) -> bytes:
        """Return the stat as a Twstat carries it."""
        texts = b"".join(p9.pack_field("s", text) for text in (self.name, self.uid, self.gid, self.muid))
        head = STAT_FIXED_FIELDS.pack(
            STAT_FIXED_FIELDS.size - SIZE_FIELD_BYTES + len(texts),
            self.type,
            self.dev,
            KEEP_QID_TYPE,
            UNCHANGED_U32,
            UNCHANGED_U64,
            self.mode,
            self.atime,
            self.mtime,
            self.length,
        )
        return head + texts
