"""The stat of a 9P2000 Twstat: new values, and the 'don't touch' value in all other fields."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.ninep import codec as p9
from garnetlanding.ninep.stat_format import STAT_FIXED_FIELDS, UNCHANGED_U32, UNCHANGED_U64

UNCHANGED_TYPE = 0xFFFF  # the 'don't touch' value of the two-byte field `type`
UNCHANGED_QID_TYPE = 0xFF  # the 'don't touch' value of the one-byte qid type
SIZE_FIELD_BYTES = 2  # the leading size field does not count itself


@dataclass(frozen=True, slots=True)
class StatChange:
    """New values for a file's stat; the server leaves fields unchanged that are not given (stat(5))."""

    name: str = ""
    mode: int = UNCHANGED_U32
    mtime: int = UNCHANGED_U32
    length: int = UNCHANGED_U64
    gid: str = ""
    uid: str = ""
    muid: str = ""
    atime: int = UNCHANGED_U32
    type: int = UNCHANGED_TYPE
    dev: int = UNCHANGED_U32

    def encode(self) -> bytes:
        """Return the encoded stat for a Twstat."""
        texts = b"".join(p9.pack_field("s", text) for text in (self.name, self.uid, self.gid, self.muid))
        fixed_fields = STAT_FIXED_FIELDS.pack(
            STAT_FIXED_FIELDS.size - SIZE_FIELD_BYTES + len(texts),
            self.type,
            self.dev,
            UNCHANGED_QID_TYPE,
            UNCHANGED_U32,
            UNCHANGED_U64,
            self.mode,
            self.atime,
            self.mtime,
            self.length,
        )
        return fixed_fields + texts
