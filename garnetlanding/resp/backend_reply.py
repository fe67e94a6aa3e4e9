"""Interprets a backend's reply: the outcome, the value, and the metrics reported with them."""

from __future__ import annotations

import re
from typing import NamedTuple

from garnetlanding.decision.interface import Outcome
from garnetlanding.resp import codec
from garnetlanding.resp.errors import MalformedReplyError

_REPORT_METRICS = (b"inflight", b"queue", b"util", b"latency_ms", b"qps", b"eps")
"""The metrics of a load report that settings can refer to."""
_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class BackendReply(NamedTuple):
    """A decoded reply; the fields are the arguments of `AttemptHandle.finish`, in their order."""

    outcome: Outcome
    value: bytes | None
    usage_percent: int | None
    """Rate that the request's volume got, in percent of its plan's; `None` if that is not reported."""
    load_report: dict[str, float]
    """The load report by metric; empty if there is none."""


def read_reply(reply: codec.Value, max_usage_percent: int) -> BackendReply:
    """Decode a reply.

    Raises `MalformedReplyError` for one that no backend sends: the attempt may have been executed, and the
    rest of the connection's input cannot be trusted.
    """
    match reply:
        case [bytes() as value, metrics, report]:
            usage_percent = read_usage(metrics, max_usage_percent)
            return BackendReply(Outcome.SERVED, value, usage_percent, read_report(report))
        case [codec.BulkStart(), _, _]:
            return BackendReply(Outcome.SERVED, None, None, {})  # the value has been streamed
        case codec.ErrorReply(text):
            return _read_error(text, max_usage_percent)
    raise MalformedReplyError


def _read_error(text: bytes, max_usage_percent: int) -> BackendReply:
    words = text.split()
    code = words[0] if words else b""
    if code == b"BUSY":
        return BackendReply(Outcome.FULL, None, None, read_report(words[-1]))
    if code in (b"ERR", b"SYNTAX"):
        # The usage follows the first words, and the load report follows that; either may be absent.
        percentages = [read_usage(word, max_usage_percent) for word in words[1:]]
        usage_percent = max((percent for percent in percentages if percent is not None), default=None)
        return BackendReply(Outcome.ERROR, None, usage_percent, read_report(words[-1]))
    raise MalformedReplyError


def read_usage(metrics: codec.Value, max_percent: int) -> int | None:
    """Return the percentage reported in a text such as `used=37,cost=4`; `None` if none is reported.

    An invalid number, or one over `max_percent`, is ignored, because scheduling weights depend on it.
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


def read_report(report: codec.Value) -> dict[str, float]:
    """Return the metrics of a load report such as `inflight=7,latency_ms=31.5`.

    A report with any invalid part is ignored as a whole, because the rest would pass for a complete one.
    """
    metrics: dict[str, float] = {}
    if not isinstance(report, bytes):
        return metrics
    for name, _, value in (metric.partition(b"=") for metric in report.split(b",")):
        if name not in _REPORT_METRICS or not _NUMBER.fullmatch(value):
            return {}
        metrics[name.decode()] = float(value)
    return metrics
