"""The exceptions of the administration subsystem, whose base class is OpsError."""

from __future__ import annotations

from enum import Enum


class OpsError(Exception):
    """Base class of the subsystem's own exceptions. A file that cannot be written raises OSError."""


class AdminStateError(OpsError, ValueError):
    """The stored administrative state cannot be used."""


class StateDamage(Enum):
    """The kind of damage to a state file; the value is the text that operators see in the log."""

    CHECKSUM = "its checksum does not hold"
    FIELD = "a field is missing or not of its type"
    RECORD = "a record of a ban is not of its form"


class DamagedStateError(AdminStateError):
    """The state file does not conform to its format."""

    def __init__(self, damage: StateDamage) -> None:
        super().__init__(f"damaged: {damage.value}")
        self.damage = damage


class StateVersionError(AdminStateError):
    """The state file is of another version of the format."""

    def __init__(self, found: int, supported: int) -> None:
        super().__init__(f"of version {found}, this program writes {supported}")
        self.found = found
        self.supported = supported


class ForeignStateError(AdminStateError):
    """The state file belongs to another instance."""

    def __init__(self, found: str, expected: str) -> None:
        super().__init__(f"of head {found!r:.40}, this one is {expected!r:.40}")
        self.found = found
        self.expected = expected


class DisableRejectedError(OpsError):
    """An operator's change was not made, because it cannot be replicated to the fleet; the text says why.

    `name` is the backend's id, or "head/" and the number of the instance.
    """

    def __init__(self, text: str, name: str) -> None:
        super().__init__(text)
        self.name = name


class TooManyFencedError(DisableRejectedError):
    """Fencing one more instance would leave too few of the fleet to carry the load."""

    def __init__(self, name: str, fenced: int, instances: int) -> None:
        super().__init__(f"{fenced} of {instances} heads are out already", name)
        self.fenced = fenced
        self.instances = instances


class InstanceUnreachableError(OpsError):
    """An instance did not respond to a call; the text begins with its address and says why."""

    def __init__(self, address: str, reason: object) -> None:
        super().__init__(f"{address}: {reason}")
        self.address = address
        self.reason = reason
