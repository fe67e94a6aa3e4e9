"""Why a message of a peer, or one entry of it, is dropped.

The values are the words by which dropped messages are counted and logged: operators know them, so they stay.
"""

from __future__ import annotations

from enum import Enum


class DropReason(Enum):
    """Why something that a peer sent is not used. Messages that cannot be decoded have a `MessageError`."""

    UNKNOWN_PEER = "no peer"
    OUTDATED = "old"  # of an earlier incarnation, or overtaken by a later message
    OTHER_KIND = "other kind"  # of a kind that is switched off here
    UNKNOWN_BACKEND = "no such server"
    OTHER_INCARNATION = "other life"  # of the backend: the evidence is about another process
    EXPIRED_EVIDENCE = "word too old"
