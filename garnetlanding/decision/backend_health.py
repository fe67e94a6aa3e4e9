"""What this instance has measured of one backend process."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.estimators import SlidingWindowSum


@dataclass(slots=True, eq=False)
class BackendHealth:
    """Measurements of one backend process: a restart or a replacement starts afresh."""

    endpoint: api.Endpoint
    warming_since: int  # when it started, or since when it counts as restarted
    served: SlidingWindowSum  # requests served
    sent_units: SlidingWindowSum
    in_flight: int = 0  # attempts that take up its concurrency limit
    latency_us: float = 0.0  # moving average; 0: no answer yet
    answered_at: int = 0
    mean_units: float = 0.0  # of the requests in the latency average
    depth_factor: float = 1.0  # part of the concurrency limit in use
    error_rate: float = 0.0
    consecutive_rejections: int = 0  # requests rejected since it last served one
    consecutive_connect_failures: int = 0  # since its last answer
    suspected_until: int = 0  # until when other instances' reports make this one careful

    def expected_latency(self, now: int) -> float:
        """Return the latency to expect now, in microseconds.

        The last average fades while no answer comes: queues drain, and only an attempt tells how far. A
        silence shows when attempts time out.
        """
        return self.latency_us * float(0.5 ** ((now - self.answered_at) / tuning.LATENCY_HALF_LIFE))

    def relative_size(self, units: float) -> float:
        """Return a request's size as a multiple of the mean request here, at least 1."""
        if not self.mean_units:
            return 1.0
        return max(1.0, units / self.mean_units)

    def record_latency(self, now: int, units: float, latency_us: float, objective_us: int) -> None:
        """Average a latency in; adapt the depth to it: additive increase, multiplicative decrease.

        `objective_us` is the tightest latency objective of all classes.
        """
        gain = tuning.LATENCY_GAIN if self.latency_us else 1.0
        self.latency_us += (latency_us - self.latency_us) * gain
        self.mean_units += (units - self.mean_units) * gain
        self.answered_at = now
        if latency_us <= tuning.SLOW_SHARE * objective_us:
            self.depth_factor = min(1.0, self.depth_factor + tuning.INCREASE_ON_QUICK)
            return
        decrease = tuning.DECREASE_ON_LATE if latency_us > objective_us else tuning.DECREASE_ON_SLOW
        self.depth_factor = max(1 / tuning.DEPTH_CEILING, self.depth_factor * decrease)
