"""Writes an instance's history: one JSON object a line, each with the machine's monotonic time.

The history is for experiments, whose checks hold the lines of all processes against each other. The time is
read anew for each line and is not that of the event-loop iteration: a process that is held up within an
iteration receives what others sent after the iteration began, and its lines must not seem to precede theirs.

Each line is with the kernel before anything else happens, so that SIGKILL loses none that was written. That
costs a system call for each request, which is why no history is kept in service.

Kinds and keys of the lines are a stored format (`garnetlanding.lab` and the operators' pages read it). They
are written out here, one method for each kind, and follow no name of the code.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Collection, Mapping
from typing import Any

from garnetlanding.core.ports import Answer, AttemptSummary, Failed, Rejected, RequestSpec
from garnetlanding.resp.request import Command

_SHARE_DIGITS = 4
"""Decimal places of a quota share."""


class HistoryWriter:
    """Appends lines to the history of one incarnation of an instance.

    It is an `Observer` of the request engine and a `PeerHistory` of the peer protocols. `clock` reads the
    machine's monotonic clock in microseconds; times that a method is given are of that clock too.

    Creating it writes a line, behind the lines of earlier incarnations; it raises `OSError` where the file
    cannot be written. The descriptor is open for as long as the process lives.
    """

    def __init__(self, path: str, instance: str, incarnation: int, clock: Callable[[], int]) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._write("start", {})

    # The instance

    def serving(self) -> None:
        """Every part of the instance has started."""
        self._write("up", {})

    def settings_applied(self, epoch: int, revision: int, digest: int, at_us: int) -> None:
        """Record that settings of this version are in force from `at_us` on."""
        self._write("settings", {"epoch": epoch, "revision": revision, "digest": digest, "at": at_us})

    def fencing_changed(self, fenced: bool, at_us: int) -> None:
        """Record that the instance is fenced, or no longer is, from `at_us` on."""
        self._write("current", {"out": fenced, "at": at_us})

    # The request engine

    def request_ended(
        self,
        spec: RequestSpec,
        answer: Answer,
        began_us: int,
        ended_us: int,  # noqa: ARG002 - of the Observer protocol; the line has its own time
        attempts: list[AttemptSummary],
    ) -> None:
        """Record that a request was answered, after these attempts."""
        fields = {
            "id": _request_id(spec),
            "volume": spec.volume,
            "units": spec.units,
            "began": began_us,
            "outcome": _outcome(answer),
            "attempts": [[attempt.node, attempt.outcome, attempt.sent_us] for attempt in attempts],
        }
        self._write("answered", fields)

    # The peer protocols

    def members_changed(self, entitled: Collection[int], even_share: float) -> None:
        """Record a new membership: the instances entitled to quota shares, and what an even share is."""
        self._write("heads", {"entitled": sorted(entitled), "even": even_share})

    def disabled_backends_changed(self, backends: Collection[str]) -> None:
        """Exactly these backends are administratively disabled from now on."""
        self._write("bans", {"out": sorted(backends)})

    def suspicions_changed(self, suspected: Mapping[str, int]) -> None:
        """Record that exactly these backends are suspected from now on, each until the time given."""
        self._write("doubted", {"servers": dict(suspected)})

    def observations_sent(self, observations: Mapping[str, tuple[str, int]]) -> None:
        """Peers are sent these observations: of each backend, what was observed and when."""
        servers = {backend: [observed, at_us] for backend, (observed, at_us) in observations.items()}
        self._write("seen", {"servers": servers})

    def volume_shares_changed(self, shares: Mapping[str, float], until_us: int) -> None:
        """Record the instance's shares of the volumes' limits until they are looked at again."""
        self._write("parts", _share_fields(shares, until_us))

    def limit_shares_changed(self, shares: Mapping[str, float], until_us: int) -> None:
        """Record the instance's shares of the other limits that all instances have in common."""
        self._write("shares", _share_fields(shares, until_us))

    def _write(self, kind: str, fields: Mapping[str, Any]) -> None:
        line = {
            "t": self._clock(),
            "who": self._instance,
            "life": self._incarnation,
            "what": kind,
            **fields,
        }
        os.write(self._descriptor, json.dumps(line, separators=(",", ":")).encode() + b"\n")


def _share_fields(shares: Mapping[str, float], until_us: int) -> dict[str, Any]:
    return {
        "until": until_us,
        "parts": {name: round(share, _SHARE_DIGITS) for name, share in shares.items()},
    }


def _outcome(answer: Answer) -> str:
    match answer:
        case Rejected():
            return "refused"
        case Failed():
            return "failed"
    return "served"


def _request_id(ask: RequestSpec) -> str:
    """Return the client's id of a RESP request; requests of other protocols have none."""
    if not isinstance(ask.work, Command):
        return ""
    return ask.work.request_id.decode("ascii", "replace")
