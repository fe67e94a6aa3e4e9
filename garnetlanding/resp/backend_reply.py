"""Parses a backend's reply into the outcome, the value and the reported metrics."""

from __future__ import annotations

import re
from typing import NamedTuple

from garnetlanding.decision.interface import Outcome
from garnetlanding.resp import codec
from garnetlanding.resp.errors import MalformedReplyError

_REPORT_METRICS = (b"inflight", b"queue", b"util", b"latency_ms", b"qps", b"eps")
"""Metrics that may appear in a load report; settings can refer to them."""
_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class BackendReply(NamedTuple):
    """A parsed reply; the fields are the arguments of `AttemptHandle.finish`, in that order."""

    outcome: Outcome
    value: bytes | None
    usage_percent: int | None
    """Rate granted to the request's volume, in percent of its plan's; `None` if not reported."""
    load_report: dict[str, float]
    """The load report by metric; empty if the backend sent none."""


def parse_reply(reply: codec.Value, max_usage_percent: int) -> BackendReply:
    """Parse a reply.

    Raises `MalformedReplyError` if it has none of the valid forms: the attempt may have been executed, and
    further input on the connection cannot be trusted.
    """
    match reply:
        case [bytes() as value, metrics, report]:
            usage_percent = parse_usage_percent(metrics, max_usage_percent)
            return BackendReply(Outcome.SERVED, value, usage_percent, parse_load_report(report))
        case [codec.BulkStart(), _, _]:
            return BackendReply(Outcome.SERVED, None, None, {})  # the value was streamed
        case codec.ErrorReply(text):
            return _read_error(text, max_usage_percent)
    raise MalformedReplyError


def _read_error(text: bytes, max_usage_percent: int) -> BackendReply:
    words = text.split()
    code = words[0] if words else b""
    if code == b"BUSY":
        return BackendReply(Outcome.FULL, None, None, parse_load_report(words[-1]))
    if code in (b"ERR", b"SYNTAX"):
        # The usage comes after the message, and the load report comes last; both are optional.
        percentages = [parse_usage_percent(word, max_usage_percent) for word in words[1:]]
        usage_percent = max((percent for percent in percentages if percent is not None), default=None)
        return BackendReply(Outcome.ERROR, None, usage_percent, parse_load_report(words[-1]))
    raise MalformedReplyError


def parse_usage_percent(metrics: codec.Value, max_percent: int) -> int | None:
    """Return the percentage in a text such as `used=37,cost=4`, or `None` if it has no valid one.

    A number that is invalid or exceeds `max_percent` is ignored, because scheduling weights are computed from
    it.
    """
    if not isinstance(metrics, bytes):
        return None
    pairs = (metric.partition(b"=") for metric in metrics.split(b","))
    values = [value for name, _, value in pairs if name == b"used"]
    if len(values) != 1:
        return None
    digits = values[0]
    if not digits.isdigit() or len(digits) > len(str(max_percent)) or int(digits) > max_percent:
        return None
    return int(digits)


def parse_load_report(report: codec.Value) -> dict[str, float]:
    """Return the metrics of a load report such as `inflight=7,latency_ms=31.5`.

    A report with an invalid part is ignored entirely; its remaining metrics would look like a complete
    report.
    """
    metrics: dict[str, float] = {}
    if not isinstance(report, bytes):
        return metrics
    for name, _, value in (metric.partition(b"=") for metric in report.split(b",")):
        if name not in _REPORT_METRICS or not _NUMBER.fullmatch(value):
            return {}
        metrics[name.decode()] = float(value)
    return metrics
