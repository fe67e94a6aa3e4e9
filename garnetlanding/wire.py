"""The simulator's wire, both ways. Turns lines into events and actions into lines; decides nothing."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

from garnetlanding.decision import interface as api

T = TypeVar("T")

OUTCOMES = {
    "delivered": api.Outcome.SERVED,
    "app_error": api.Outcome.ERROR,
    "shed": api.Outcome.FULL,
    "expired": api.Outcome.TIMEOUT,
    "dial_failed": api.Outcome.UNREACHABLE,
    "dropped": api.Outcome.RESET,
    "revoked": api.Outcome.CANCELLED,
    "unused": api.Outcome.NEVER_DISPATCHED,
}
EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
GROUPS = {
    "all": api.DeduplicationScope.ALL,
    "zone": api.DeduplicationScope.ZONE,
    "cell": api.DeduplicationScope.CELL,
}
STATES = {
    "in_service": api.EndpointState.UP,
    "terminating": api.EndpointState.DRAINING,
    "terminated": api.EndpointState.GONE,
}
LIST_KINDS = ("diff", "snapshot", "disk", "error")


class WireError(ValueError):
    """A line or a setting that cannot be read; the text names the field."""


def _integer(text: str) -> int:
    return int(text)


def _number(text: str) -> float:
    value = float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError(text)
    return value


def _flag(text: str) -> bool:
    return {"1": True, "0": False, "true": True, "false": False}[text]


def _value(name: str, text: str, convert: Callable[[str], T]) -> T:
    try:
        return convert(text)
    except (ValueError, KeyError):
        raise WireError(f"field {name}: cannot read {text!r}") from None


class Fields:
    """The values of one line, read in order; names serve the error messages."""

    def __init__(self, parts: list[str]) -> None:
        self._parts = parts
        self._at = 1

    def take(self, name: str, convert: Callable[[str], T], absent: T | None = None) -> T:
        if self._at >= len(self._parts):
            if absent is not None:
                return absent
            raise WireError(f"field {name}: missing")
        text = self._parts[self._at]
        self._at += 1
        if text == "-" or text == "":
            if absent is not None:
                return absent
            raise WireError(f"field {name}: missing")
        return _value(name, text, convert)


def _report(text: str) -> dict[str, float]:
    pairs: dict[str, float] = {}
    for pair in text.split(","):
        name, sep, value = pair.partition(":")
        if not sep:
            raise ValueError(pair)
        pairs[name] = _number(value)
    return pairs


def read_settings(text: str) -> api.Settings:
    """Settings from `path=value` pairs on a line."""
    return settings_from(dict(pair.partition("=")[::2] for pair in text.split(" ") if pair))


def settings_from(pairs: Mapping[str, str]) -> api.Settings:
    """Settings by path; those it does not know are passed over."""

    def get(path: str, convert: Callable[[str], T], absent: T | None = None) -> T:
        raw = pairs.get(path, "")
        if raw in ("", "-"):
            if absent is None:
                raise WireError(f"setting {path}: missing")
            return absent
        try:
            return convert(raw)
        except (ValueError, KeyError):
            raise WireError(f"setting {path}: cannot read {raw!r}") from None

    classes = {}
    for i in range(get("Classes.count", _integer)):
        p = f"Classes.{i}."
        spec = api.ClassSpec(
            name=get(p + "Name", str),
            priority_weight=get(p + "Credit", _number),
            late_value_share=get(p + "LateValue", _number, 0.0),
            latency_objective_us=get(p + "PromiseUs", _integer),
            deadline_us=get(p + "GiveUpUs", _integer),
            effect=get(p + "Effect", EFFECTS.__getitem__),
            deduplication_scope=get(p + "Group", GROUPS.__getitem__, api.DeduplicationScope.ALL),
            deduplication_window_us=get(p + "RepeatWindowUs", _integer, 0),
            in_order=get(p + "KeepOrder", _flag, False),
        )
        classes[spec.name] = spec
    plans = {}
    for i in range(get("Contracts.count", _integer)):
        p = f"Contracts.{i}."
        plan = api.PlanSpec(
            name=get(p + "Name", str),
            weight=get(p + "Weight", _number),
            usual_rate=get(p + "UsualRate", _number),
            reserve_rate=get(p + "Guaranteed", _number, 0.0),
            limit_rate=get(p + "NeverOver", _number, 0.0),
            limit_burst=get(p + "LimitBurst", _number, 0.0),
            price=get(p + "WorthFactor", _number, 1.0),
        )
        plans[plan.name] = plan
    return api.Settings(
        instances=get("Balancers", _integer),
        instance_id=get("Me", _integer),
        tick_us=get("TickUs", _integer),
        classes=classes,
        plans=plans,
        poll_endpoints=get("MembershipMode", str) == "on_request",
        max_attempts=get("Limits.MaxAttempts", _integer),
        parallel_attempts=get("Limits.ParallelTries", _flag, False),
        may_cancel=get("Limits.Cancel", _flag, False),
        may_probe=get("Limits.Probes", _flag, False),
        honors_retry_after=get("Limits.RetryAfter", _flag, False),
        max_retry_after_us=get("Limits.MaxRetryAfterUs", _integer, 0),
        warmup_initial_share=get("Rules.ColdFrom", _number, 1.0),
        warmup_us=get("Rules.ColdUs", _integer, 0),
        warmup_units=get("FamilyInfo.ColdBears", _number, 0.0),
        overload_multiple=get("Rules.FallMultiple", _number, 1.0),
        overload_window_us=get("Rules.FallUs", _integer, 0),
        ordered_key_rest_us=get("Rules.TurnGapUs", _integer, 0),
        retry_budget_ratio=get("Rules.FurtherRatio", _number, 0.0),
        retry_budget_floor=get("Rules.FreeResends", _number, 0.0),
        retry_budget_window_us=get("Rules.RatioSpanUs", _integer, 0),
        over_quota_value_share=get("FamilyInfo.ShareWorth", _number, 1.0),
        idle_value_share=get("FamilyInfo.IdleWorth", _number, 1.0),
        max_units=get("FamilyInfo.Largest", _number, 1.0),
        cells=get("FamilyInfo.Shards", _integer, 0),
        may_message_peers=get("Limits.MayTell", _flag, False),
    )


def read_entry(line: str) -> api.Endpoint:
    """One `BRICK` line of a list."""
    parts = line.split(" ")
    if parts[0] != "BRICK":
        raise WireError(f"field Hosts: expected BRICK, found {parts[0]!r}")
    f = Fields(parts)
    f.take("Machine", str, "")
    cell = f.take("Cell", _integer, -1)
    node = f.take("Brick", str)
    size = f.take("Rating", _number, 1.0)
    started = f.take("BornUs", _integer, 0)
    zone = f.take("Hall", str, "")
    state = f.take("Phase", STATES.__getitem__)
    return api.Endpoint(node, cell, zone, state, started, size)


def list_header(line: str) -> tuple[str, int]:
    """Kind and number of entries of a `DIRECTORY_UPDATE`."""
    f = Fields(line.split(" "))
    kind = f.take("Kind", str)
    if kind not in LIST_KINDS:
        raise WireError(f"field Kind: cannot read {kind!r}")
    f.take("Generation", _integer, 0)
    count = f.take("Hosts", _integer, 0)
    if count < 0:
        raise WireError(f"field Hosts: cannot read '{count}'")
    return kind, count


def _arrival(f: Fields) -> api.Event:
    request, cls, plan = f.take("Ticket", str), f.take("Lane", str), f.take("Grade", str)
    key = f.take("Item", str, "")
    until = f.take("NotAfterUs", _integer)
    return api.Arrival(
        request=request,
        cls=cls,
        plan=plan,
        key=key,
        until_us=until,
        volume=f.take("Owner", str, ""),
        units=f.take("Units", _number, 1.0),
        cell=f.take("GroupNo", _integer, -1),
        volume_hosts=f.take("NHosts", _integer, 1),
        is_retry=f.take("AgainByClient", _flag, False),
        is_write=f.take("IsWrite", _flag, False),
    )


def _opened(f: Fields) -> api.Event:
    return api.StreamStarted(f.take("Ticket", str), f.take("SeqNo", _integer))


def _reply(f: Fields) -> api.Event:
    request, attempt = f.take("Ticket", str), f.take("SeqNo", _integer)
    node, outcome = f.take("Brick", str), f.take("Status", OUTCOMES.__getitem__)
    took, over = f.take("TookUs", _integer, 0), f.take("Ended", _flag, False)
    used = f.take("Used", _integer, 0)
    f.take("ForeignUnits", _number, 0.0)
    return api.Result(request, attempt, node, outcome, took, over, used, f.take("Report", _report, {}))


def _probed(f: Fields) -> api.Event:
    node, outcome = f.take("Brick", str), f.take("Status", OUTCOMES.__getitem__)
    return api.ProbeResult(node, outcome, f.take("TookUs", _integer, 0), f.take("Report", _report, {}))


def _peer(f: Fields) -> api.Event:
    return api.PeerMessage(f.take("SrcPeer", _integer), f.take("Raw", bytes.fromhex, b""))


READERS: dict[str, Callable[[Fields], api.Event]] = {
    "ACCEPT": _arrival,
    "OPENED": _opened,
    "REPLY": _reply,
    "LEFT": lambda f: api.ClientLeft(f.take("Ticket", str)),
    "TIMER": lambda f: api.TimerFired(f.take("Nonce", str)),
    "PROBED": _probed,
    "PEER": _peer,
}


def read_event(parts: list[str]) -> api.Event:
    reader = READERS.get(parts[0])
    if reader is None:
        raise WireError(f"message {parts[0]!r} is not known")
    return reader(Fields(parts))


def write_actions(actions: Iterable[api.Action]) -> list[str]:
    """One line an action, in order."""
    lines = []
    for a in actions:
        match a:
            case api.Send():
                lines.append(f"DELIVER {a.request} {a.until_us} {a.node}")
            case api.WakeAfter():
                lines.append(f"WAKE_AT {a.span_us} {a.token}")
            case api.Reject():
                lines.append(f"DECLINE {a.request} {a.retry_after_us}")
            case api.Fail():
                lines.append(f"FAIL {a.request}")
            case api.Cancel():
                lines.append(f"RECALL {a.request} {a.attempt}")
            case api.Probe():
                lines.append(f"CHECK {a.node}")
            case api.Subscribe():
                lines.append("LISTEN 1")
            case api.SendPeerMessage():
                lines.append(f"POST {'*' if a.to < 0 else a.to} {a.payload.hex()}")
            case api.Log():
                lines.append("JOURNAL_LINE " + " ".join(a.text.split()))
    return lines
