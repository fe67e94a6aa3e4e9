"""The endpoint list in discovery's JSON, read into the core's terms, field by field."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from garnetlanding.core.ports import EndpointListing
from garnetlanding.decision.interface import Endpoint, EndpointState

ToMonotonic = Callable[[int], int]
"""Converts wall-clock microseconds since 1970 into those of the instance's monotonic clock."""

STATES = {"SERVING": EndpointState.UP, "DRAINING": EndpointState.DRAINING, "DELETED": EndpointState.GONE}
US_PER_MS = 1000


class DiscoveryError(ValueError):
    """Something that discovery sent cannot be used."""


class ListError(DiscoveryError):
    """A list that cannot be read or taken up; `field` is the JSON key at fault, if it is one key's."""

    def __init__(self, problem: str, field: str | None = None) -> None:
        super().__init__(problem if field is None else f"field {field}: {problem}")
        self.field = field


class ListedEndpoint(NamedTuple):
    """One entry of a list, and where its backend listens."""

    endpoint: Endpoint
    address: str


class VersionedListing(NamedTuple):
    """A listing, and the version of the list that it makes."""

    version: int
    listing: EndpointListing


def _get(entry: dict[str, Any], name: str, kinds: tuple[type, ...], absent: Any = None) -> Any:
    value = entry.get(name, absent)
    if not isinstance(value, kinds) or isinstance(value, bool):
        raise ListError(f"cannot read {value!r:.40}", name)
    return value


def read_entry(entry: object, to_monotonic: ToMonotonic) -> ListedEndpoint:
    """Read one entry. Raises ListError."""
    if not isinstance(entry, dict):
        raise ListError("not an object", "instances")
    lifecycle = _get(entry, "lifecycle", (str,))
    if lifecycle not in STATES:
        raise ListError(f"cannot read {lifecycle!r:.40}", "lifecycle")
    started_ms = _get(entry, "startedAtMs", (int, float), 0)
    started_us = 0  # long ago, on any clock
    if started_ms:
        started_us = to_monotonic(int(started_ms * US_PER_MS))
    endpoint = Endpoint(
        node=_get(entry, "instanceId", (str,)),
        cell=_get(entry, "cell", (int,), -1),
        zone=_get(entry, "zone", (str,), ""),
        state=STATES[lifecycle],
        started_us=started_us,
        size=float(_get(entry, "weight", (int, float), 1.0)),
    )
    return ListedEndpoint(endpoint, _get(entry, "hostPort", (str,), ""))


def read_list(
    data: object, to_monotonic: ToMonotonic, complete: bool | None = None, at_start: bool = False
) -> VersionedListing:
    """Read a list or changes of one from decoded JSON. Raises ListError.

    `complete` overrides what the list says of itself; `at_start` marks one remembered from before the start.
    """
    if not isinstance(data, dict):
        raise ListError("not an object")
    instances = data.get("instances")
    if not isinstance(instances, list):
        raise ListError("not a list", "instances")
    read = [read_entry(entry, to_monotonic) for entry in instances]
    if complete is None:
        complete = bool(data.get("reset"))
    version = int(_get(data, "generation", (int,), 0))
    entries = tuple(endpoint for endpoint, _ in read)
    addresses = {endpoint.node: address for endpoint, address in read}
    return VersionedListing(version, EndpointListing(entries, addresses, complete, at_start))
