"""Why a datagram, a decoded message, or one entry of a message is dropped.

Dropped messages are counted and logged by these values, which operators know: they never change.
"""

from __future__ import annotations

from enum import Enum


class DropReason(Enum):
    """Why a message that could be decoded is dropped. If it cannot, the cause is in the `MessageError`."""

    UNKNOWN_PEER = "no peer"
    OUTDATED = "old"  # from an earlier incarnation, or overtaken by a later message
    OTHER_KIND = "other kind"  # of a kind that is switched off at this instance
    UNKNOWN_BACKEND = "no such server"
    OTHER_INCARNATION = "other life"  # of the backend: the evidence is about another process
    EXPIRED_EVIDENCE = "word too old"


class LinkDropReason(Enum):
    """Why the link drops a datagram without decoding it."""

    UNKNOWN_SENDER = "no peer"
    TOO_LONG = "too long"
    TOO_LONG_TO_SEND = "too long to send"
    NOT_SENT = "not sent"  # the socket's buffers are full, or the peer is down
