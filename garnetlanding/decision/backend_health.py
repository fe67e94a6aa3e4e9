"""Measurements of one backend process by this instance."""

from __future__ import annotations

from dataclasses import dataclass

from garnetlanding.decision import interface as api
from garnetlanding.decision import tuning
from garnetlanding.decision.estimators import SlidingWindowSum


@dataclass(slots=True, eq=False)
class BackendHealth:
    """Measurements of one backend process; a restarted or replaced backend gets a new record."""

    endpoint: api.Endpoint
    warmup_started_at: int  # when it started, or was assumed to have restarted
    served: SlidingWindowSum  # requests served
    sent_units: SlidingWindowSum
    in_flight: int = 0  # attempts that occupy a slot of its concurrency limit
    latency_us: float = 0.0  # moving average; 0: no response yet
    last_response_at: int = 0
    mean_units: float = 0.0  # per request in the latency average
    concurrency_factor: float = 1.0  # of the concurrency limit; lowered by slow responses
    error_rate: float = 0.0
    consecutive_rejections: int = 0  # requests rejected since it last served a request
    consecutive_connect_failures: int = 0  # since its last response
    suspected_until: int = 0  # end of the suspicion by peers, during which the concurrency limit is 1

    def latency_confidence(self, now: int) -> float:
        """Return the weight of the average latency by its age: 1 when fresh, halved per half-life."""
        return float(0.5 ** ((now - self.last_response_at) / tuning.LATENCY_HALF_LIFE_US))

    def expected_latency(self, now: int) -> float:
        """Return the latency to expect now, in microseconds.

        The average decays while no response arrives, because queues drain in the meantime and only a new
        attempt can measure how far. Attempts that time out show that a backend is unresponsive.
        """
        # `latency_confidence` is inlined: this is the most frequently called function of the package.
        return self.latency_us * float(0.5 ** ((now - self.last_response_at) / tuning.LATENCY_HALF_LIFE_US))

    def relative_size(self, units: float) -> float:
        """Return a request's size as a multiple of the mean request here, at least 1."""
        if not self.mean_units:
            return 1.0
        return max(1.0, units / self.mean_units)

    def record_latency(self, now: int, units: float, latency_us: float, objective_us: int) -> None:
        """Update the averages, and adapt concurrency: additive increase, multiplicative decrease.

        `objective_us` is the tightest latency objective of all classes.
        """
        gain = tuning.LATENCY_GAIN if self.latency_us else 1.0
        self.latency_us += (latency_us - self.latency_us) * gain
        self.mean_units += (units - self.mean_units) * gain
        self.last_response_at = now
        if latency_us <= tuning.SLOW_LATENCY_FRACTION * objective_us:
            self.concurrency_factor = min(1.0, self.concurrency_factor + tuning.FAST_INCREASE_STEP)
            return
        decrease = tuning.LATE_DECREASE_FACTOR if latency_us > objective_us else tuning.SLOW_DECREASE_FACTOR
        self.concurrency_factor = max(1 / tuning.CONCURRENCY_CEILING, self.concurrency_factor * decrease)
