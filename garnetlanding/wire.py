"""The simulator's wire format: parses lines into settings and events, and formats actions as lines.

Only this module maps names of the wire to names of the program. A line holds the name of a message and its
fields, separated by single spaces. A field that is `-` or empty is absent; fields after the known ones are
ignored. wirehost.py reads batches and their framing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import Enum
from typing import Any, TypeVar

from garnetlanding.decision import interface as api

T = TypeVar("T")

_OUTCOMES = {
    "delivered": api.Outcome.SERVED,
    "app_error": api.Outcome.ERROR,
    "shed": api.Outcome.FULL,
    "expired": api.Outcome.TIMEOUT,
    "dial_failed": api.Outcome.UNREACHABLE,
    "dropped": api.Outcome.RESET,
    "revoked": api.Outcome.CANCELLED,
    "unused": api.Outcome.NEVER_DISPATCHED,
}
_EFFECTS = {
    "free": api.Effect.SAFE,
    "guarded": api.Effect.KEYED,
    "single_shot": api.Effect.UNSAFE,
}
_DEDUPLICATION_SCOPES = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}
_ENDPOINT_STATES = {
    "in_service": api.EndpointState.UP,
    "terminating": api.EndpointState.DRAINING,
    "terminated": api.EndpointState.GONE,
}
_FLAGS = {"1": True, "0": False, "true": True, "false": False}
_ABSENT = ("", "-")


class ListKind(Enum):
    """The kind of an endpoint list; the values are those of the wire."""

    CHANGES = "diff"
    COMPLETE = "snapshot"
    CACHED = "disk"
    FAILURE = "error"


_LIST_KINDS = {kind.value: kind for kind in ListKind}


class WireError(ValueError):
    """Invalid input. `field` is the name of the field or the path of the setting, if known."""

    def __init__(self, message: str, field: str = "") -> None:
        super().__init__(message)
        self.field = field


class MissingValueError(WireError):
    """A required field or setting is absent."""

    def __init__(self, source: str, name: str) -> None:
        """`source`: the word `field` or `setting`."""
        super().__init__(f"{source} {name}: missing", name)


class UnreadableValueError(WireError):
    """The text of a field or setting cannot be converted."""

    def __init__(self, source: str, name: str, text: str) -> None:
        """`source`: the word `field` or `setting`."""
        super().__init__(f"{source} {name}: cannot read {text!r}", name)


class UnexpectedEntryError(WireError):
    """A line inside an endpoint list is not an entry."""

    def __init__(self, found: str) -> None:
        super().__init__(f"field Hosts: expected BRICK, found {found!r}", "Hosts")


class UnknownMessageError(WireError):
    """The name of a message is not known."""

    def __init__(self, name: str) -> None:
        super().__init__(f"message {name!r} is not known")


def integer(text: str) -> int:
    """Parse an integer. Raises ValueError."""
    return int(text)


def number(text: str) -> float:
    """Parse a finite number. Raises ValueError."""
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(text)
    return value


def flag(text: str) -> bool:
    """Parse a boolean. Raises KeyError."""
    return _FLAGS[text]


class MessageFields:
    """The fields of one line, taken in order."""

    def __init__(self, parts: list[str]) -> None:
        """`parts`: the message's name and its fields."""
        self._parts = parts
        self._next = 1

    def take(self, name: str, convert: Callable[[str], T], default: T | None = None) -> T:
        """Return the next field, or the default if it is absent. Raises WireError."""
        value = self.take_optional(name, convert)
        if value is not None:
            return value
        if default is None:
            raise MissingValueError("field", name)
        return default

    def take_optional(self, name: str, convert: Callable[[str], T | None]) -> T | None:
        """Return the next field, or None if it is absent. Raises WireError."""
        if self._next >= len(self._parts):
            return None
        text = self._parts[self._next]
        self._next += 1
        if text in _ABSENT:
            return None
        try:
            return convert(text)
        except (ValueError, KeyError) as problem:
            raise UnreadableValueError("field", name, text) from problem


# Settings


class _SettingsReader:
    """Converts settings, which are given as texts by path."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self._pairs = pairs

    def get(self, path: str, convert: Callable[[str], T], default: T | None = None) -> T:
        """Return a setting, or the default if it is absent. Raises WireError."""
        text = self._pairs.get(path, "")
        if text in _ABSENT:
            if default is None:
                raise MissingValueError("setting", path)
            return default
        try:
            return convert(text)
        except (ValueError, KeyError) as problem:
            raise UnreadableValueError("setting", path, text) from problem


def read_settings(text: str) -> api.Settings:
    """Parse settings from the `path=value` pairs of a line. Raises WireError."""
    return build_settings(dict(pair.partition("=")[::2] for pair in text.split(" ") if pair))


def build_settings(pairs: Mapping[str, str]) -> api.Settings:
    """Build settings from texts by path; unknown paths are ignored. Raises WireError."""
    get = _SettingsReader(pairs).get
    class_specs = [_class_spec(get, f"Classes.{index}.") for index in range(get("Classes.count", integer))]
    plan_specs = [_plan_spec(get, f"Contracts.{index}.") for index in range(get("Contracts.count", integer))]
    return api.Settings(
        instances=get("Balancers", integer),
        instance_id=get("Me", integer),
        tick_us=get("TickUs", integer),
        classes={spec.name: spec for spec in class_specs},
        plans={spec.name: spec for spec in plan_specs},
        poll_endpoints=get("MembershipMode", str) == "on_request",
        max_attempts=get("Limits.MaxAttempts", integer),
        parallel_attempts=get("Limits.ParallelTries", flag, default=False),
        may_cancel=get("Limits.Cancel", flag, default=False),
        may_check_health=get("Limits.Probes", flag, default=False),
        honors_retry_after=get("Limits.RetryAfter", flag, default=False),
        max_retry_after_us=get("Limits.MaxRetryAfterUs", integer, default=0),
        warmup_initial_fraction=get("Rules.ColdFrom", number, default=1.0),
        warmup_us=get("Rules.ColdUs", integer, default=0),
        warmup_units=get("FamilyInfo.ColdBears", number, default=0.0),
        overload_multiple=get("Rules.FallMultiple", number, default=1.0),
        overload_window_us=get("Rules.FallUs", integer, default=0),
        ordered_key_pause_us=get("Rules.TurnGapUs", integer, default=0),
        retry_budget_ratio=get("Rules.FurtherRatio", number, default=0.0),
        retry_budget_floor=get("Rules.FreeResends", number, default=0.0),
        retry_budget_window_us=get("Rules.RatioSpanUs", integer, default=0),
        over_quota_value_fraction=get("FamilyInfo.ShareWorth", number, default=1.0),
        idle_value_fraction=get("FamilyInfo.IdleWorth", number, default=1.0),
        max_units=get("FamilyInfo.Largest", number, default=1.0),
        cells=get("FamilyInfo.Shards", integer, default=0),
        may_message_peers=get("Limits.MayTell", flag, default=False),
    )


def _class_spec(get: Callable[..., Any], prefix: str) -> api.ClassSpec:
    return api.ClassSpec(
        name=get(prefix + "Name", str),
        priority_weight=get(prefix + "Credit", number),
        late_value_fraction=get(prefix + "LateValue", number, default=0.0),
        latency_objective_us=get(prefix + "PromiseUs", integer),
        deadline_us=get(prefix + "GiveUpUs", integer),
        effect=get(prefix + "Effect", _EFFECTS.__getitem__),
        deduplication_scope=get(
            prefix + "Group", _DEDUPLICATION_SCOPES.__getitem__, api.DeduplicationScope.ALL
        ),
        deduplication_window_us=get(prefix + "RepeatWindowUs", integer, default=0),
        in_order=get(prefix + "KeepOrder", flag, default=False),
    )


def _plan_spec(get: Callable[..., Any], prefix: str) -> api.PlanSpec:
    return api.PlanSpec(
        name=get(prefix + "Name", str),
        weight=get(prefix + "Weight", number),
        usual_rate=get(prefix + "UsualRate", number),
        reserve_rate=get(prefix + "Guaranteed", number, default=0.0),
        limit_rate=get(prefix + "NeverOver", number, default=0.0),
        limit_burst=get(prefix + "LimitBurst", number, default=0.0),
        priority_weight_factor=get(prefix + "WorthFactor", number, default=1.0),
    )


# Endpoint lists


def read_list_header(line: str) -> tuple[ListKind, int]:
    """Parse a `DIRECTORY_UPDATE` line: the kind of the list and the number of entries. Raises WireError."""
    fields = MessageFields(line.split(" "))
    kind = fields.take("Kind", _LIST_KINDS.__getitem__)
    fields.take("Generation", integer, default=0)
    count = fields.take("Hosts", integer, default=0)
    if count < 0:
        raise UnreadableValueError("field", "Hosts", str(count))
    return kind, count


def read_endpoint(line: str) -> api.Endpoint:
    """Parse a `BRICK` line, one entry of an endpoint list. Raises WireError."""
    parts = line.split(" ")
    if parts[0] != "BRICK":
        raise UnexpectedEntryError(parts[0])
    fields = MessageFields(parts)
    fields.take("Machine", str, default="")
    cell = fields.take("Cell", integer, default=api.UNKNOWN_CELL)
    backend = fields.take("Brick", str)
    size = fields.take("Rating", number, default=1.0)
    started_us = fields.take("BornUs", integer, default=0)
    zone = fields.take("Hall", str, default="")
    state = fields.take("Phase", _ENDPOINT_STATES.__getitem__)
    return api.Endpoint(backend, cell, zone, state, started_us, size)


def endpoint_list_event(
    kind: ListKind, entries: Iterable[api.Endpoint]
) -> api.EndpointListUpdate | api.EndpointListFailure:
    """Return the event for an endpoint list of that kind."""
    if kind is ListKind.FAILURE:
        return api.EndpointListFailure()
    return api.EndpointListUpdate(
        entries=tuple(entries),
        complete=kind in (ListKind.COMPLETE, ListKind.CACHED),
        at_start=kind is ListKind.CACHED,
    )


# Events


def _cell(text: str) -> int | None:
    """Parse the cell of a request; a negative number denotes a new object. Raises ValueError."""
    cell = integer(text)
    return None if cell < 0 else cell


def _usage_percent(text: str) -> int | None:
    """Parse a usage field: 1 plus the percentage, or 0 if it is unknown. Raises ValueError."""
    value = integer(text)
    return None if value <= 0 else value - 1


def _arrival(fields: MessageFields) -> api.Event:
    request = fields.take("Ticket", str)
    class_name = fields.take("Lane", str)
    plan = fields.take("Grade", str)
    key = fields.take("Item", str, default="")
    deadline_us = fields.take("NotAfterUs", integer)
    return api.Arrival(
        request=request,
        request_class=class_name,
        plan=plan,
        key=key,
        deadline_us=deadline_us,
        volume=fields.take("Owner", str, default=""),
        units=fields.take("Units", number, default=1.0),
        cell=fields.take_optional("GroupNo", _cell),
        serving_instances=fields.take("NHosts", integer, default=1),
        is_retry=fields.take("AgainByClient", flag, default=False),
        is_write=fields.take("IsWrite", flag, default=False),
    )


def _stream_started(fields: MessageFields) -> api.Event:
    request = fields.take("Ticket", str)
    attempt = fields.take("SeqNo", integer)
    return api.StreamStarted(request, attempt)


def _result(fields: MessageFields) -> api.Event:
    request = fields.take("Ticket", str)
    attempt = fields.take("SeqNo", integer)
    backend = fields.take("Brick", str)
    outcome = fields.take("Status", _OUTCOMES.__getitem__)
    duration_us = fields.take("TookUs", integer, default=0)
    answered = fields.take("Ended", flag, default=False)
    usage_percent = fields.take_optional("Used", _usage_percent)
    fields.take("ForeignUnits", number, default=0.0)
    load_report: dict[str, float] = fields.take("Report", _load_report, default={})
    return api.Result(request, attempt, backend, outcome, duration_us, answered, usage_percent, load_report)


def _load_report(text: str) -> dict[str, float]:
    """Parse a load report: pairs `name:value`, separated by commas. Raises ValueError."""
    load_report: dict[str, float] = {}
    for pair in text.split(","):
        name, separator, value = pair.partition(":")
        if not separator:
            raise ValueError(pair)
        load_report[name] = number(value)
    return load_report


def _client_left(fields: MessageFields) -> api.Event:
    return api.ClientLeft(fields.take("Ticket", str))


def _timer_fired(fields: MessageFields) -> api.Event:
    return api.TimerFired(fields.take("Nonce", str))


def _health_check_result(fields: MessageFields) -> api.Event:
    backend = fields.take("Brick", str)
    outcome = fields.take("Status", _OUTCOMES.__getitem__)
    duration_us = fields.take("TookUs", integer, default=0)
    load_report: dict[str, float] = fields.take("Report", _load_report, default={})
    return api.HealthCheckResult(backend, outcome, duration_us, load_report)


def _peer_message(fields: MessageFields) -> api.Event:
    sender = fields.take("SrcPeer", integer)
    payload = fields.take("Raw", bytes.fromhex, default=b"")
    return api.PeerMessage(sender, payload)


_EVENT_READERS: dict[str, Callable[[MessageFields], api.Event]] = {
    "ACCEPT": _arrival,
    "OPENED": _stream_started,
    "REPLY": _result,
    "LEFT": _client_left,
    "TIMER": _timer_fired,
    "PROBED": _health_check_result,
    "PEER": _peer_message,
}


def read_event(parts: list[str]) -> api.Event:
    """Parse an event from the parts of a line. Raises WireError."""
    reader = _EVENT_READERS.get(parts[0])
    if reader is None:
        raise UnknownMessageError(parts[0])
    return reader(MessageFields(parts))


# Actions


def _send(action: api.Send) -> str:
    return f"DELIVER {action.request} {action.deadline_us or 0} {action.backend}"


def _wake_after(action: api.WakeAfter) -> str:
    return f"WAKE_AT {action.span_us} {action.token}"


def _reject(action: api.Reject) -> str:
    return f"DECLINE {action.request} {action.retry_after_us or 0}"


def _fail(action: api.Fail) -> str:
    return f"FAIL {action.request}"


def _cancel(action: api.Cancel) -> str:
    return f"RECALL {action.request} {action.attempt}"


def _health_check(action: api.HealthCheck) -> str:
    return f"CHECK {action.backend}"


def _subscribe(_action: api.Subscribe) -> str:
    return "LISTEN 1"


def _send_peer_message(action: api.SendPeerMessage) -> str:
    recipient = "*" if action.recipient is None else str(action.recipient)
    return f"POST {recipient} {action.payload.hex()}"


def _log(action: api.Log) -> str:
    return "JOURNAL_LINE " + " ".join(action.text.split())


_ACTION_WRITERS: dict[type[api.Action], Callable[[Any], str]] = {
    api.Send: _send,
    api.WakeAfter: _wake_after,
    api.Reject: _reject,
    api.Fail: _fail,
    api.Cancel: _cancel,
    api.HealthCheck: _health_check,
    api.Subscribe: _subscribe,
    api.SendPeerMessage: _send_peer_message,
    api.Log: _log,
}


def write_actions(actions: Iterable[api.Action]) -> list[str]:
    """Return one line for each action, in order."""
    return [_ACTION_WRITERS[type(action)](action) for action in actions]
