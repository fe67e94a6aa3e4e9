"""The errors of this package: what cannot be decoded, and why."""

from __future__ import annotations

from enum import Enum


class PeersError(Exception):
    """Base class of every error of the link between instances, or of what they exchange over it."""


class MessageFault(Enum):
    """What is wrong with a datagram.

    The values are the words by which dropped messages are counted and logged. Operators know
    them, so they stay.
    """

    TOO_LONG = "too long"
    TRUNCATED = "torn"  # cut short, damaged, or of a length that contradicts its counts
    UNKNOWN_VERSION = "other version"
    UNEXPECTED_KIND = "other kind"  # the body is decoded as one of another kind than the envelope names
    INVALID_QUOTA = "no share"
    INVALID_EVIDENCE = "no such verdict"
    INVALID_DISABLE_RECORD = "no ban"
    INVALID_INSTANCE_RECORD = "no record"


class MessageError(PeersError, ValueError):
    """A datagram cannot be decoded.

    `offset` is the position in the datagram at which decoding stopped, in bytes.
    """

    def __init__(self, fault: MessageFault, offset: int) -> None:
        super().__init__(fault.value)
        self.fault = fault
        self.offset = offset
