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
    used: int
    """1 + the percentage of its rate that the request's volume has used; 0 if that is not reported."""
    report: dict[str, float]
    """The load report by metric; empty if there is none."""


def read_reply(reply: codec.Value, max_used_percent: int) -> BackendReply:
    """Decode a reply.

    Raises `MalformedReplyError` for one that no backend sends: the attempt may have been executed, and the
    rest of the connection's input cannot be trusted.
    """
    match reply:
        case [bytes() as value, used, report]:
            return BackendReply(Outcome.SERVED, value, read_used(used, max_used_percent), read_report(report))
        case [codec.BulkStart(), _, _]:
            return BackendReply(Outcome.SERVED, None, 0, {})  # the value has been streamed
        case codec.ErrorReply(text):
            return _read_error(text, max_used_percent)
    raise MalformedReplyError


def _read_error(text: bytes, max_used_percent: int) -> BackendReply:
    words = text.split()
    code = words[0] if words else b""
    if code == b"BUSY":
        return BackendReply(Outcome.FULL, None, 0, read_report(words[-1]))
    if code in (b"ERR", b"SYNTAX"):
        # The used percentage follows the first words, and the load report follows that; either may be absent.
        used = max((read_used(word, max_used_percent) for word in words[1:]), default=0)
        return BackendReply(Outcome.ERROR, None, used, read_report(words[-1]))
    raise MalformedReplyError


def read_used(metrics: codec.Value, max_percent: int) -> int:
    """Return 1 + the percentage reported in a text such as `used=37,cost=4`; 0 if none is reported.

    An invalid number, or one over `max_percent`, is ignored, because scheduling weights depend on it.
    """
    if not isinstance(metrics, bytes):
        return 0
    pairs = (metric.partition(b"=") for metric in metrics.split(b","))
    values = [value for name, _, value in pairs if name == b"used"]
    if len(values) != 1:
        return 0
    digits = values[0]
    if not digits.isdigit() or len(digits) > len(str(max_percent)) or int(digits) > max_percent:
        return 0
    return int(digits) + 1


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
