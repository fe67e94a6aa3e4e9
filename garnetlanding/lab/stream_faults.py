"""Stream faults: decides how connections between an experiment's processes are disturbed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.faults import STREAM_FAULTS, Fault, FaultKind, LinkKind


@dataclass(frozen=True, slots=True)
class StreamLink:
    """The connections of one instance that a stream fault can target; `backend` if they are to a backend."""

    kind: LinkKind
    instance: int
    backend: int | None = None


@dataclass(frozen=True, slots=True)
class ForwardingSchedule:
    """How received bytes are forwarded.

    Not before `hold_us` from now, in pieces of `piece_bytes` at intervals of `interval_us`. If `piece_bytes`
    is None, all bytes are forwarded at once.
    """

    hold_us: int = 0
    piece_bytes: int | None = None
    interval_us: int = 0


class StreamFaultModel:
    """Decides at any time after the clients' start how a connection on a link is disturbed."""

    def __init__(self, experiment: Experiment, trickle_bytes: int) -> None:
        """Take the experiment's stream faults; a trickle forwards `trickle_bytes` at a time."""
        self._faults = experiment.faults_of(*STREAM_FAULTS)
        self._trickle_bytes = trickle_bytes

    def affects(self, kind: LinkKind) -> bool:
        """Return whether any fault targets links of that kind; the others need no proxy."""
        return any(fault.link is kind for fault in self._faults)

    def is_reset(self, link: StreamLink, now_us: int) -> bool:
        """Return whether connections on the link are reset at that time, also those just accepted."""
        return any(fault.kind is FaultKind.RESET for fault in self._active_on(link, now_us))

    def forwarding_schedule(self, link: StreamLink, now_us: int) -> ForwardingSchedule:
        """Return how bytes received at that time are forwarded."""
        hold_us = 0
        piece_bytes = None
        interval_us = 0
        for fault in self._active_on(link, now_us):
            match fault.kind:
                case FaultKind.FREEZE:
                    hold_us = max(hold_us, fault.end_us - now_us)
                case FaultKind.LAG:
                    hold_us = max(hold_us, fault.span_us)
                case FaultKind.TRICKLE:
                    piece_bytes = self._trickle_bytes
                    interval_us = max(interval_us, fault.span_us)
        return ForwardingSchedule(hold_us, piece_bytes, interval_us)

    def reset_times_us(self) -> list[int]:
        """Return the times at which established connections are reset."""
        return sorted({fault.start_us for fault in self._faults if fault.kind is FaultKind.RESET})

    def _active_on(self, link: StreamLink, now_us: int) -> list[Fault]:
        return [
            fault
            for fault in self._faults
            if fault.link is link.kind
            and fault.instance in (None, link.instance)
            and fault.backend in (None, link.backend)
            and fault.is_active(now_us)
        ]
