"""The store's exceptions, all under StoreError. Their texts reach operators through logs."""

from __future__ import annotations

from enum import Enum


class StoreError(Exception):
    """Base class of the exceptions of the store and its replication."""


class ReadOnlyStoreError(StoreError):
    """A write to a read-only copy; only the instance named by `writer` accepts writes."""

    def __init__(self, writer: str) -> None:
        super().__init__(f"{writer} is the writer")
        self.writer = writer


class LogGapError(StoreError):
    """A message does not continue from the copy's revision, so the follower needs a snapshot.

    `epoch` and `revision` are those of the message.
    """

    def __init__(self, text: str, epoch: int, revision: int) -> None:
        super().__init__(text)
        self.epoch = epoch
        self.revision = revision

    @classmethod
    def out_of_order(cls, epoch: int, revision: int, copy_epoch: int, copy_revision: int) -> LogGapError:
        """Return the error of an entry that is not the copy's next."""
        text = f"entry {revision} of epoch {epoch} after {copy_revision} of {copy_epoch}"
        return cls(text, epoch, revision)

    @classmethod
    def not_caught_up(cls, epoch: int, revision: int, copy_revision: int) -> LogGapError:
        """Return the error of a copy whose revision differs from the one that the writer has sent."""
        return cls(f"the writer is at {revision}, this store at {copy_revision}", epoch, revision)


class WriterRejectedError(StoreError):
    """A peer claims to be the writer but is not, or is no longer.

    `writer` and `epoch` are those that the peer claims.
    """

    def __init__(self, text: str, writer: str, epoch: int) -> None:
        super().__init__(text)
        self.writer = writer
        self.epoch = epoch

    @classmethod
    def second_writer(cls, writer: str, epoch: int) -> WriterRejectedError:
        """Return the error of a peer that claims to be the writer, detected by the writer itself."""
        return cls(f"{writer} claims to be the writer, which is this store", writer, epoch)

    @classmethod
    def not_configured(cls, writer: str, epoch: int, configured: str) -> WriterRejectedError:
        """Return the error of a writer other than the configured one."""
        return cls(f"{writer} is not the configured writer {configured}", writer, epoch)

    @classmethod
    def stale_epoch(cls, writer: str, epoch: int, current_epoch: int) -> WriterRejectedError:
        """Return the error of a writer whose epoch is older than the copy's."""
        return cls(f"epoch {epoch} of {writer} has been followed by {current_epoch}", writer, epoch)


class StoreFileError(StoreError, ValueError):
    """A file exists but cannot be read or is not a store's file. The text starts with its path."""

    def __init__(self, file: str, reason: object) -> None:
        super().__init__(f"{file}: {reason}")
        self.file = file


class ProtocolViolation(Enum):
    """How a peer's bytes violate the replication protocol; the values are logged."""

    LINE_TOO_LONG = "line too long"
    NOT_JSON = "not JSON"
    NOT_AN_OBJECT = "not an object"
    UNKNOWN_MESSAGE = "unknown message"
    NO_WRITER_IDENTITY = "the writer has not named itself"
    NO_FOLLOW_REQUEST = "expected one follow"


class ReplicationProtocolError(StoreError, ValueError):
    """The peer's bytes violate the replication protocol, as `violation` says."""

    def __init__(self, violation: ProtocolViolation) -> None:
        super().__init__(violation.value)
        self.violation = violation
