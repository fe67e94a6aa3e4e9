"""The simulator's wire, both ways: lines to settings and events, actions to lines. Decides nothing.

The mapping between the wire's words and the program's names stands here and nowhere else, field by field. A
line holds a message's name and its fields, separated by one blank; `-` or an empty field is an absent one,
and fields beyond the known ones are passed over. Batches and their framing are wirehost.py's.
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
    """What a list of endpoints on the wire is; the values are the wire's words."""

    CHANGES = "diff"
    COMPLETE = "snapshot"
    CACHED = "disk"
    FAILURE = "error"


_LIST_KINDS = {kind.value: kind for kind in ListKind}


class WireError(ValueError):
    """A line or a setting that cannot be read. The text names `field`, the field or the setting's path."""

    def __init__(self, text: str, field: str = "") -> None:
        super().__init__(text)
        self.field = field


def integer(text: str) -> int:
    """Read a whole number. Raises ValueError."""
    return int(text)


def number(text: str) -> float:
    """Read a finite number. Raises ValueError."""
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(text)
    return value


def flag(text: str) -> bool:
    """Read a yes or no. Raises KeyError."""
    return _FLAGS[text]


class MessageFields:
    """The fields of one line, taken in the order in which they stand."""

    def __init__(self, parts: list[str]) -> None:
        self._parts = parts
        self._next = 1  # the first part is the message's name

    def take(self, name: str, convert: Callable[[str], T], default: T | None = None) -> T:
        """Return the next field, or the default where it is absent. Raises WireError."""
        text = self._next_text()
        if text not in _ABSENT:
            return _converted(name, text, convert)
        if default is None:
            raise WireError(f"field {name}: missing", name)
        return default

    def take_optional(self, name: str, convert: Callable[[str], T | None]) -> T | None:
        """Return the next field, or None where it is absent. Raises WireError."""
        text = self._next_text()
        return None if text in _ABSENT else _converted(name, text, convert)

    def _next_text(self) -> str:
        if self._next >= len(self._parts):
            return ""
        self._next += 1
        return self._parts[self._next - 1]


def _converted(name: str, text: str, convert: Callable[[str], T]) -> T:
    try:
        return convert(text)
    except (ValueError, KeyError) as problem:
        raise WireError(f"field {name}: cannot read {text!r}", name) from problem


# Settings


class _SettingsReader:
    """Reads settings by their paths."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self._pairs = pairs

    def get(self, path: str, convert: Callable[[str], T], default: T | None = None) -> T:
        """Return a setting, or the default where it is absent. Raises WireError."""
        text = self._pairs.get(path, "")
        if text in _ABSENT:
            if default is not None:
                return default
            raise WireError(f"setting {path}: missing", path)
        try:
            return convert(text)
        except (ValueError, KeyError) as problem:
            raise WireError(f"setting {path}: cannot read {text!r}", path) from problem


def read_settings(text: str) -> api.Settings:
    """Read settings from `path=value` pairs on a line. Raises WireError."""
    return settings_from(dict(pair.partition("=")[::2] for pair in text.split(" ") if pair))


def settings_from(pairs: Mapping[str, str]) -> api.Settings:
    """Read settings by path; unknown ones are passed over. Raises WireError."""
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
        parallel_attempts=get("Limits.ParallelTries", flag, False),
        may_cancel=get("Limits.Cancel", flag, False),
        may_check_health=get("Limits.Probes", flag, False),
        honors_retry_after=get("Limits.RetryAfter", flag, False),
        max_retry_after_us=get("Limits.MaxRetryAfterUs", integer, 0),
        warmup_initial_fraction=get("Rules.ColdFrom", number, 1.0),
        warmup_us=get("Rules.ColdUs", integer, 0),
        warmup_units=get("FamilyInfo.ColdBears", number, 0.0),
        overload_multiple=get("Rules.FallMultiple", number, 1.0),
        overload_window_us=get("Rules.FallUs", integer, 0),
        ordered_key_rest_us=get("Rules.TurnGapUs", integer, 0),
        retry_budget_ratio=get("Rules.FurtherRatio", number, 0.0),
        retry_budget_floor=get("Rules.FreeResends", number, 0.0),
        retry_budget_window_us=get("Rules.RatioSpanUs", integer, 0),
        over_quota_value_fraction=get("FamilyInfo.ShareWorth", number, 1.0),
        idle_value_fraction=get("FamilyInfo.IdleWorth", number, 1.0),
        max_units=get("FamilyInfo.Largest", number, 1.0),
        cells=get("FamilyInfo.Shards", integer, 0),
        may_message_peers=get("Limits.MayTell", flag, False),
    )


def _class_spec(get: Callable[..., Any], prefix: str) -> api.ClassSpec:
    return api.ClassSpec(
        name=get(prefix + "Name", str),
        priority_weight=get(prefix + "Credit", number),
        late_value_fraction=get(prefix + "LateValue", number, 0.0),
        latency_objective_us=get(prefix + "PromiseUs", integer),
        deadline_us=get(prefix + "GiveUpUs", integer),
        effect=get(prefix + "Effect", _EFFECTS.__getitem__),
        deduplication_scope=get(
            prefix + "Group", _DEDUPLICATION_SCOPES.__getitem__, api.DeduplicationScope.ALL
        ),
        deduplication_window_us=get(prefix + "RepeatWindowUs", integer, 0),
        in_order=get(prefix + "KeepOrder", flag, False),
    )


def _plan_spec(get: Callable[..., Any], prefix: str) -> api.PlanSpec:
    return api.PlanSpec(
        name=get(prefix + "Name", str),
        weight=get(prefix + "Weight", number),
        usual_rate=get(prefix + "UsualRate", number),
        reserve_rate=get(prefix + "Guaranteed", number, 0.0),
        limit_rate=get(prefix + "NeverOver", number, 0.0),
        limit_burst=get(prefix + "LimitBurst", number, 0.0),
        price=get(prefix + "WorthFactor", number, 1.0),
    )


# Endpoint lists


def read_list_header(line: str) -> tuple[ListKind, int]:
    """Read a `DIRECTORY_UPDATE` line: the kind of the list and how many entries follow. Raises WireError."""
    fields = MessageFields(line.split(" "))
    kind = fields.take("Kind", _LIST_KINDS.__getitem__)
    fields.take("Generation", integer, 0)
    count = fields.take("Hosts", integer, 0)
    if count < 0:
        raise WireError(f"field Hosts: cannot read '{count}'", "Hosts")
    return kind, count


def read_endpoint(line: str) -> api.Endpoint:
    """Read a `BRICK` line, one entry of a list. Raises WireError."""
    parts = line.split(" ")
    if parts[0] != "BRICK":
        raise WireError(f"field Hosts: expected BRICK, found {parts[0]!r}", "Hosts")
    fields = MessageFields(parts)
    fields.take("Machine", str, "")
    cell = fields.take("Cell", integer, api.UNKNOWN_CELL)
    backend = fields.take("Brick", str)
    size = fields.take("Rating", number, 1.0)
    started_us = fields.take("BornUs", integer, 0)
    zone = fields.take("Hall", str, "")
    state = fields.take("Phase", _ENDPOINT_STATES.__getitem__)
    return api.Endpoint(backend, cell, zone, state, started_us, size)


def endpoint_list_event(
    kind: ListKind, entries: Iterable[api.Endpoint]
) -> api.EndpointListUpdate | api.EndpointListFailure:
    """Return the event of a list of that kind."""
    if kind is ListKind.FAILURE:
        return api.EndpointListFailure()
    return api.EndpointListUpdate(
        entries=tuple(entries),
        complete=kind in (ListKind.COMPLETE, ListKind.CACHED),
        at_start=kind is ListKind.CACHED,
    )


# Events


def _cell(text: str) -> int | None:
    """Read the cell of a request; a negative number stands for a new object. Raises ValueError."""
    cell = integer(text)
    return None if cell < 0 else cell


def _usage_percent(text: str) -> int | None:
    """Read a usage figure: 1 plus the percentage, or 0 where it is unknown. Raises ValueError."""
    figure = integer(text)
    return None if figure <= 0 else figure - 1


def _arrival(fields: MessageFields) -> api.Event:
    request = fields.take("Ticket", str)
    class_name = fields.take("Lane", str)
    plan = fields.take("Grade", str)
    key = fields.take("Item", str, "")
    deadline_us = fields.take("NotAfterUs", integer)
    return api.Arrival(
        request=request,
        request_class=class_name,
        plan=plan,
        key=key,
        deadline_us=deadline_us,
        volume=fields.take("Owner", str, ""),
        units=fields.take("Units", number, 1.0),
        cell=fields.take_optional("GroupNo", _cell),
        serving_instances=fields.take("NHosts", integer, 1),
        is_retry=fields.take("AgainByClient", flag, False),
        is_write=fields.take("IsWrite", flag, False),
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
    duration_us = fields.take("TookUs", integer, 0)
    answered = fields.take("Ended", flag, False)
    usage_percent = fields.take_optional("Used", _usage_percent)
    fields.take("ForeignUnits", number, 0.0)
    load_report: dict[str, float] = fields.take("Report", _load_report, {})
    return api.Result(request, attempt, backend, outcome, duration_us, answered, usage_percent, load_report)


def _load_report(text: str) -> dict[str, float]:
    """Read a load report: pairs `name:value`, separated by commas. Raises ValueError."""
    report: dict[str, float] = {}
    for pair in text.split(","):
        name, separator, value = pair.partition(":")
        if not separator:
            raise ValueError(pair)
        report[name] = number(value)
    return report


def _client_left(fields: MessageFields) -> api.Event:
    return api.ClientLeft(fields.take("Ticket", str))


def _timer_fired(fields: MessageFields) -> api.Event:
    return api.TimerFired(fields.take("Nonce", str))


def _health_check_result(fields: MessageFields) -> api.Event:
    backend = fields.take("Brick", str)
    outcome = fields.take("Status", _OUTCOMES.__getitem__)
    duration_us = fields.take("TookUs", integer, 0)
    load_report: dict[str, float] = fields.take("Report", _load_report, {})
    return api.HealthCheckResult(backend, outcome, duration_us, load_report)


def _peer_message(fields: MessageFields) -> api.Event:
    sender = fields.take("SrcPeer", integer)
    payload = fields.take("Raw", bytes.fromhex, b"")
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
    """Read an event from a line's parts. Raises WireError."""
    reader = _EVENT_READERS.get(parts[0])
    if reader is None:
        raise WireError(f"message {parts[0]!r} is not known")
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
    """Return the actions' lines, one for each, in order."""
    return [_ACTION_WRITERS[type(action)](action) for action in actions]
