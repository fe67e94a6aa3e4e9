"""The store's exceptions, all under StoreError."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of everything that the store and its replication raise."""


class NotWriterError(StoreError):
    """A write was tried on a copy. Only the store of the one configured writer takes writes."""

    def __init__(self, writer: str) -> None:
        super().__init__(f"{writer} is the writer")
        self.writer = writer


class LogGapError(StoreError):
    """An entry or a revision does not follow on what the copy holds: it needs a new snapshot.

    `epoch` and `revision` are those of the message that does not fit.
    """

    def __init__(self, text: str, epoch: int, revision: int) -> None:
        super().__init__(text)
        self.epoch = epoch
        self.revision = revision


class StaleEpochError(StoreError):
    """A process claims to be the writer and is not, or no longer: its epoch has been succeeded."""

    def __init__(self, text: str, writer: str, epoch: int) -> None:
        super().__init__(text)
        self.writer = writer
        self.epoch = epoch


class StoreFileError(StoreError, ValueError):
    """A file is there that cannot be read or is not a store's. The text begins with its path."""

    def __init__(self, file: str, reason: object) -> None:
        super().__init__(f"{file}: {reason}")
        self.file = file


class ReplicaError(StoreError, ValueError):
    """The peer's bytes do not follow the replication protocol."""
