"""What a backend's reply means: outcome, value, and the metrics that it reports beside them."""

from __future__ import annotations

import re
from typing import NamedTuple

from garnetlanding.decision.interface import Outcome
from garnetlanding.resp import codec
from garnetlanding.runtime.errors import BackendProtocolError

_REPORT_METRICS = (b"inflight", b"queue", b"util", b"latency_ms", b"qps", b"eps")
"""Names that settings may give to what a load report holds."""
_NUMBER = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class BackendReply(NamedTuple):
    """A decoded reply, in the order of the arguments of `AttemptHandle.finish`."""

    outcome: Outcome
    value: bytes | None
    used: int
    """1 + percent of its rate that the request's volume has used; 0 where the backend reports none."""
    report: dict[str, float]
    """The load report by metric; empty where there is none."""


def read_reply(reply: codec.Value, max_used_percent: int) -> BackendReply:
    """Decode a reply.

    Raises `BackendProtocolError` for what no backend sends: the attempt may have run, and nothing after the
    reply on its connection can be trusted.
    """
    match reply:
        case [bytes() as value, used, report]:
            return BackendReply(Outcome.SERVED, value, read_used(used, max_used_percent), read_report(report))
        case [codec.BulkStart(), _, _]:
            return BackendReply(Outcome.SERVED, None, 0, {})  # the value has been streamed
        case codec.ErrorReply(text):
            return _read_error(text, max_used_percent)
    raise BackendProtocolError("spoilt answer")


def _read_error(text: bytes, max_used_percent: int) -> BackendReply:
    words = text.split()
    code = words[0] if words else b""
    if code == b"BUSY":
        return BackendReply(Outcome.FULL, None, 0, read_report(words[-1]))
    if code in (b"ERR", b"SYNTAX"):
        # Used capacity comes after the first words and the report behind it; either may be absent.
        used = max((read_used(word, max_used_percent) for word in words[1:]), default=0)
        return BackendReply(Outcome.ERROR, None, used, read_report(words[-1]))
    raise BackendProtocolError("spoilt answer")


def read_used(metrics: codec.Value, max_percent: int) -> int:
    """Return 1 + the percentage in `used=37,cost=4`; 0 where none is reported.

    A number that cannot be read, or that no volume reaches, counts as none: it would steer a weight.
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

    A report of which any part cannot be read counts as none: half of it would pass for all.
    """
    metrics: dict[str, float] = {}
    if not isinstance(report, bytes):
        return metrics
    for name, _, value in (metric.partition(b"=") for metric in report.split(b",")):
        if name not in _REPORT_METRICS or not _NUMBER.fullmatch(value):
            return {}
        metrics[name.decode()] = float(value)
    return metrics
