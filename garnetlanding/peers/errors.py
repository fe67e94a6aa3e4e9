"""Exceptions of the peers package, and the reasons for which a datagram cannot be decoded."""

from __future__ import annotations

from enum import Enum


class PeersError(Exception):
    """Base class of the errors raised by the link between instances and the protocols on it."""


class MessageFault(Enum):
    """Why a datagram cannot be decoded.

    The values are the labels under which dropped messages are counted and logged; operators' tools match
    them.
    """

    TOO_LONG = "too long"
    TRUNCATED = "torn"  # incomplete, corrupted, or of a length that does not match its entry counts
    UNKNOWN_VERSION = "other version"
    UNEXPECTED_KIND = "other kind"  # the decoder expects another kind than the envelope states
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
