"""Parse endpoint lists from discovery's JSON format into the core's types."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

from garnetlanding.core.ports import EndpointListing
from garnetlanding.decision.interface import UNKNOWN_CELL, Endpoint, EndpointState

ToMonotonic = Callable[[int], int]
"""Converts wall-clock microseconds since 1970 into those of the instance's monotonic clock."""

STATE_BY_LIFECYCLE = {
    "SERVING": EndpointState.UP,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.GONE,
}
US_PER_MS = 1000


class DiscoveryError(ValueError):
    """Base class of errors about what discovery has sent."""


class ListError(DiscoveryError):
    """An unusable endpoint list; `field` is the invalid JSON key, or None if no single key is invalid."""

    def __init__(self, problem: str, field: str | None = None) -> None:
        super().__init__(problem if field is None else f"field {field}: {problem}")
        self.field = field


class ListDefect(Enum):
    """How an endpoint list violates its format; the values are logged."""

    NOT_JSON = "not JSON"
    NOT_AN_OBJECT = "not an object"
    NOT_A_LIST = "not a list"
    LINE_TOO_LONG = "line too long"


class ListFormatError(ListError):
    """An endpoint list, or its key `field`, does not have the expected format."""

    def __init__(self, defect: ListDefect, field: str | None = None) -> None:
        super().__init__(defect.value, field)
        self.defect = defect


class FieldValueError(ListError):
    """The value of a key has the wrong type, or is not one of the permitted ones."""

    def __init__(self, field: str, value: object) -> None:
        super().__init__(f"cannot read {value!r:.40}", field)
        self.value = value


class StaleChangesError(ListError):
    """Changes to an older list than the one in force; `version` is that of the changes."""

    def __init__(self, version: int, version_in_force: int) -> None:
        super().__init__(
            f"changes to version {version}, but version {version_in_force} is in force", "generation"
        )
        self.version = version
        self.version_in_force = version_in_force


class ListedEndpoint(NamedTuple):
    """One entry of an endpoint list, and the backend's HOST:PORT."""

    endpoint: Endpoint
    address: str


class VersionedListing(NamedTuple):
    """An endpoint list or changes to it, and the version of the list that results."""

    version: int
    listing: EndpointListing


def _read_field(data: dict[str, Any], name: str, types: tuple[type, ...], default: Any = None) -> Any:
    value = data.get(name, default)
    if not isinstance(value, types) or isinstance(value, bool):
        raise FieldValueError(name, value)
    return value


def read_entry(entry: object, to_monotonic: ToMonotonic) -> ListedEndpoint:
    """Parse one entry of decoded JSON. Raises ListError."""
    if not isinstance(entry, dict):
        raise ListFormatError(ListDefect.NOT_AN_OBJECT, "instances")
    lifecycle = _read_field(entry, "lifecycle", (str,))
    if lifecycle not in STATE_BY_LIFECYCLE:
        raise FieldValueError("lifecycle", lifecycle)
    started_ms = _read_field(entry, "startedAtMs", (int, float), 0)
    started_us = 0  # the start time is unknown: long ago, on any clock
    if started_ms:
        started_us = to_monotonic(int(started_ms * US_PER_MS))
    endpoint = Endpoint(
        backend=_read_field(entry, "instanceId", (str,)),
        cell=_read_field(entry, "cell", (int,), UNKNOWN_CELL),
        zone=_read_field(entry, "zone", (str,), ""),
        state=STATE_BY_LIFECYCLE[lifecycle],
        started_us=started_us,
        size=float(_read_field(entry, "weight", (int, float), 1.0)),
    )
    return ListedEndpoint(endpoint, _read_field(entry, "hostPort", (str,), ""))


def read_list(
    data: object, to_monotonic: ToMonotonic, *, complete: bool | None = None, at_start: bool = False
) -> VersionedListing:
    """Parse an endpoint list, or changes to it, from decoded JSON. Raises ListError.

    `complete` overrides the list's own key; `at_start` marks a list that was cached before the start.
    """
    if not isinstance(data, dict):
        raise ListFormatError(ListDefect.NOT_AN_OBJECT)
    instances = data.get("instances")
    if not isinstance(instances, list):
        raise ListFormatError(ListDefect.NOT_A_LIST, "instances")
    read = [read_entry(entry, to_monotonic) for entry in instances]
    if complete is None:
        complete = bool(data.get("reset"))
    version = int(_read_field(data, "generation", (int,), 0))
    entries = tuple(endpoint for endpoint, _ in read)
    addresses = {endpoint.backend: address for endpoint, address in read}
    return VersionedListing(version, EndpointListing(entries, addresses, complete, at_start))
