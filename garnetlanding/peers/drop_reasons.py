"""Reasons for dropping a datagram, a decoded message, or one entry of a message.

The values appear in the log and in counters that operators match, so they must not change.
"""

from __future__ import annotations

from enum import Enum


class DropReason(Enum):
    """Why a decoded message or an entry is dropped. `MessageError` has the cause if decoding fails."""

    UNKNOWN_PEER = "no peer"
    OUTDATED = "old"  # from an earlier incarnation, or not newer than the last message
    OTHER_KIND = "other kind"  # a kind that is disabled at this instance
    UNKNOWN_BACKEND = "no such server"
    OTHER_INCARNATION = "other life"  # the evidence is about another process of the backend
    EXPIRED_EVIDENCE = "word too old"


class LinkDropReason(Enum):
    """Why the link drops a datagram before decoding or sending it."""

    UNKNOWN_SENDER = "no peer"
    TOO_LONG = "too long"
    TOO_LONG_TO_SEND = "too long to send"
    NOT_SENT = "not sent"  # the socket buffer is full, or the peer is down
