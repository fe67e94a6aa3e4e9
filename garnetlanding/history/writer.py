"""Writes an instance's history: one JSON object per line, each with the machine's monotonic time.

Experiments compare the times of lines from all processes, so the clock is read for each line. The start of
the event-loop iteration would be too early: a process that is delayed within an iteration receives messages
that were sent after the iteration began, and its lines would appear to precede theirs.

Each line is written to the file before the method returns, so that SIGKILL loses none. This costs one system
call per request, so a history is not for production.

The kinds and keys of the lines are a stored format, which `garnetlanding.lab` reads and the operators' pages
describe. They are literals here, one method for each kind, so that they do not depend on names in the code.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Collection, Mapping
from typing import Any

from garnetlanding.core.ports import Answer, AttemptSummary, Failed, Rejected, RequestSpec
from garnetlanding.resp.request import Command

_QUOTA_DIGITS = 4
"""Decimal places of a quota."""


class HistoryWriter:
    """Appends lines to the history of one incarnation of an instance.

    Implements the request engine's `Observer` and the peer protocols' `PeerHistory`. `clock` returns the
    machine's monotonic time in microseconds; times passed to methods are of the same clock.

    The constructor writes the first line, after the lines of earlier incarnations, and raises `OSError` if
    the file cannot be written. The file stays open until the process ends.
    """

    def __init__(self, path: str, instance: str, incarnation: int, clock: Callable[[], int]) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._write("start", {})

    # The instance

    def serving(self) -> None:
        """Record that every subsystem of the instance has started."""
        self._write("up", {})

    def settings_applied(self, epoch: int, revision: int, digest: int, at_us: int) -> None:
        """Record that settings of this version came into force at `at_us`."""
        self._write("settings", {"epoch": epoch, "revision": revision, "digest": digest, "at": at_us})

    def fencing_changed(self, at_us: int, *, fenced: bool) -> None:
        """Record that the instance was fenced, or unfenced, at `at_us`."""
        self._write("current", {"out": fenced, "at": at_us})

    # The request engine

    def request_ended(
        self,
        spec: RequestSpec,
        answer: Answer,
        began_us: int,
        ended_us: int,  # noqa: ARG002 - part of `Observer`; each line has its own time
        attempts: list[AttemptSummary],
    ) -> None:
        """Record the answer to a request, and the attempts made for it."""
        fields = {
            "id": _request_id(spec),
            "volume": spec.volume,
            "units": spec.units,
            "began": began_us,
            "outcome": _outcome(answer),
            "attempts": [[attempt.backend, attempt.outcome, attempt.sent_us] for attempt in attempts],
        }
        self._write("answered", fields)

    # The peer protocols

    def members_changed(self, entitled: Collection[int], even_quota: float) -> None:
        """Record which instances are entitled to quotas, and the quota of each under an even split."""
        self._write("heads", {"entitled": sorted(entitled), "even": even_quota})

    def disabled_backends_changed(self, backends: Collection[str]) -> None:
        """Record all backends that are administratively disabled now."""
        self._write("bans", {"out": sorted(backends)})

    def suspicions_changed(self, suspected: Mapping[str, int]) -> None:
        """Record all backends that are suspected now, each with the time at which the suspicion expires."""
        self._write("doubted", {"servers": dict(suspected)})

    def observations_sent(self, observations: Mapping[str, tuple[str, int]]) -> None:
        """Record the observations sent to peers: for each backend, what was observed and when."""
        servers = {backend: [observed, at_us] for backend, (observed, at_us) in observations.items()}
        self._write("seen", {"servers": servers})

    def volume_quotas_changed(self, quotas: Mapping[str, float], until_us: int) -> None:
        """Record the instance's quotas of the volumes' limits, which hold until `until_us`."""
        self._write("parts", _quota_fields(quotas, until_us))

    def budget_quotas_changed(self, quotas: Mapping[str, float], until_us: int) -> None:
        """Record the instance's quotas of the other shared limits, which hold until `until_us`."""
        self._write("shares", _quota_fields(quotas, until_us))

    def _write(self, kind: str, fields: Mapping[str, Any]) -> None:
        line = {
            "t": self._clock(),
            "who": self._instance,
            "life": self._incarnation,
            "what": kind,
            **fields,
        }
        os.write(self._descriptor, json.dumps(line, separators=(",", ":")).encode() + b"\n")


def _quota_fields(quotas: Mapping[str, float], until_us: int) -> dict[str, Any]:
    return {
        "until": until_us,
        "parts": {name: round(quota, _QUOTA_DIGITS) for name, quota in quotas.items()},
    }


def _outcome(answer: Answer) -> str:
    match answer:
        case Rejected():
            return "refused"
        case Failed():
            return "failed"
    return "served"


def _request_id(spec: RequestSpec) -> str:
    """Return the client's id of a RESP request, and an empty one for other protocols."""
    if not isinstance(spec.operation, Command):
        return ""
    return spec.operation.request_id.decode("ascii", "replace")
