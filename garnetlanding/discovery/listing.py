"""The list of servers in discovery's JSON, as the core's entries."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from garnetlanding.core.ports import EndpointListing
from garnetlanding.decision.interface import Endpoint, EndpointState

STATES = {"SERVING": EndpointState.UP, "DRAINING": EndpointState.DRAINING, "DELETED": EndpointState.GONE}


class ListError(ValueError):
    """A list that cannot be read; the text names the field."""


def _get(entry: dict[str, Any], name: str, kinds: tuple[type, ...], absent: Any = None) -> Any:
    value = entry.get(name, absent)
    if not isinstance(value, kinds) or isinstance(value, bool):
        raise ListError(f"field {name}: cannot read {value!r:.40}")
    return value


def read_entry(entry: object, to_monotonic: Callable[[int], int]) -> tuple[Endpoint, str]:
    if not isinstance(entry, dict):
        raise ListError("field instances: not an object")
    state = _get(entry, "lifecycle", (str,))
    if state not in STATES:
        raise ListError(f"field lifecycle: cannot read {state!r:.40}")
    started_ms = _get(entry, "startedAtMs", (int, float), 0)
    return Endpoint(
        node=_get(entry, "instanceId", (str,)),
        cell=_get(entry, "cell", (int,), -1),
        zone=_get(entry, "zone", (str,), ""),
        state=STATES[state],
        started_us=to_monotonic(int(started_ms * 1000)) if started_ms else 0,
        size=float(_get(entry, "weight", (int, float), 1.0)),
    ), _get(entry, "hostPort", (str,), "")


def read_list(
    data: object, to_monotonic: Callable[[int], int], complete: bool | None = None, at_start: bool = False
) -> tuple[int, EndpointListing]:
    """The version and the listing; `complete` overrides what the list says of itself."""
    if not isinstance(data, dict):
        raise ListError("not an object")
    instances = data.get("instances")
    if not isinstance(instances, list):
        raise ListError("field instances: not a list")
    read = [read_entry(e, to_monotonic) for e in instances]
    complete = bool(data.get("reset")) if complete is None else complete
    return int(_get(data, "generation", (int,), 0)), EndpointListing(
        tuple(e for e, _ in read), {e.node: endpoint for e, endpoint in read}, complete, at_start
    )
