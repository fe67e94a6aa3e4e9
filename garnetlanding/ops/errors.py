"""The exceptions of operators' administration, all under OpsError."""

from __future__ import annotations


class OpsError(Exception):
    """Base class of what administration raises of its own. A file that cannot be written raises OSError."""


class AdminStateError(OpsError, ValueError):
    """The stored administrative state cannot be used; the text says why."""


class DisableRejectedError(OpsError):
    """An operator's change cannot be made known to the fleet, and so is not made; the text says why.

    `name` is the backend's id, or "head/" and the number of the instance.
    """

    def __init__(self, text: str, name: str) -> None:
        super().__init__(text)
        self.name = name


class InstanceUnreachableError(OpsError):
    """An instance gave no answer to a call; the text begins with its address and says why."""

    def __init__(self, address: str, reason: object) -> None:
        super().__init__(f"{address}: {reason}")
        self.address = address
