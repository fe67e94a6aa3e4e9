"""Tuning constants of the decision module. Time spans are in microseconds.

Refer to them as `tuning.NAME`, so that an experiment can replace one in a single place.
"""

from __future__ import annotations

from typing import Final

from garnetlanding.decision.time_constants import SECOND

MIN_DIVISOR: Final = 1e-9
"""Lower bound of rates and sizes that are used as divisors."""

# Concurrency limit: how many attempts this instance may have in flight at one backend.
CONCURRENCY_FLOOR = 4  # attempts; the limit at a backend without measurements
CONCURRENCY_CEILING = 32  # attempts; the upper bound of C-SFQ(D)
COMPLETION_WINDOW_US = 2 * SECOND  # for counting completions; long compared with pauses and write flushes
SLOW_DECREASE_FACTOR = 0.8  # factor on the limit after a response above SLOW_LATENCY_FRACTION
LATE_DECREASE_FACTOR = 0.5  # factor on the limit after a response later than the tightest objective
FAST_INCREASE_STEP = 0.05  # added to the factor on the limit after a fast response

# Latency: what counts as slow, and how measurements age.
SLOW_LATENCY_FRACTION = 0.25  # of the tightest objective; slower: limits shrink, low priorities wait
LATENCY_HALF_LIFE_US = 2 * SECOND  # of a latency average without new responses: queues drain meanwhile
LATENCY_GAIN = 0.2  # weight of a new sample in a backend's averages of latency and errors
SHARED_STATISTICS_GAIN = 0.1  # relative step per response of the statistics over all backends

# Backend health.
UNRESPONSIVE_OBJECTIVES = 2.0  # tightest objectives without a response; healthy backends pause for less
CRASH_CONNECT_FAILURES = 3  # consecutive, until a backend counts as crashed; one may be chance
FULL_QUEUE_REJECTIONS = 3  # consecutive, until the queue of a backend counts as full
FULL_QUEUE_LATENCY_OBJECTIVES = 2  # assumed latency of a backend whose queue is full, in tightest objectives
FAULT_PRIOR_PROBABILITY = 0.01  # that a backend is faulty, as opposed to a timeout by a lost response

# Placement of new objects.
PLACEMENT_JITTER = (0.9, 1.1)  # factor on the expected wait, so that instances make different choices
SUCCESS_RATE_FLOOR = 0.05  # bounds the cost of a backend that only returns errors
SUCCESS_RATE_EXPONENT = 2  # above 1, because errors cost more than a wasted attempt: clients see them

# Hedged requests and retries.
HEDGING_LATE_FRACTION = 0.05  # fraction of the responses that arrive after the hedging delay
HEDGE_MAX_TOKENS_PER_ARRIVAL = 0.01  # added per arrival at most, by the loss rate
HEDGE_TOKENS_PER_WIN = 2.0  # added when the hedged attempt is served first
HEDGE_MAX_TOKENS = 3.0  # capacity of the hedge budget
RETRY_PAUSE_OBJECTIVES = 0.1  # first pause before a retry, in latency objectives of its class; doubles
RETRY_JITTER = (0.5, 1.5)  # factor on the pause, which spreads retries caused by the same fault

# Admission.
UNDELIVERED_DEADLINE_FRACTION = 0.45  # of the time to the deadline, after which undelivered requests are
# rejected, so that the client still has time to retry elsewhere
ANSWER_MARGIN_TICKS = 3  # a final answer is due so many clock ticks before the client's deadline
DISPATCH_INTERVAL_US = SECOND // 100  # between dispatch passes over a queue that is not empty

# Warm-up of a backend that has just started.
WARMUP_SAFETY_FACTOR = 0.7  # on the budget by usual load, because load shifts between the instances
USUAL_LOAD_TIME_CONSTANT_US = 10 * SECOND  # of a cell's load; longer than a leader change shifts load

# Weights of volumes.
WEIGHT_INTERVAL_US = 3 * SECOND  # control interval of C-SFQ(D)
WEIGHT_EXPONENT = 0.5  # on 100/usage; below 1, because all instances react to the same delayed usage
MAX_WEIGHT_FACTOR = 4.0  # bound on a weight, relative to its plan's
IDLE_VOLUME_EXPIRY_US = 60 * SECOND  # after which a volume without requests is dropped
DROPPED_VOLUMES_DIVISOR = 8  # the fraction that is dropped at once beyond the maximum

# Timers release ended requests once this many requests have ended since, or a fraction of all timers.
MIN_ENDED_REQUESTS = 128
ENDED_DIVISOR = 8
DEFAULT_MAX_RECORDS = 16384  # volumes, and timers of ended requests, where no limit is given

# Polls of the endpoint list.
POLL_BACKOFF_MIN_US = SECOND // 2  # first pause after an error; doubles
POLL_BACKOFF_MAX_US = SECOND * 43 // 10  # longest pause, unless discovery is overloaded
POLL_BACKOFF_PER_INSTANCE_US = SECOND // 8  # the first pause is longer with more instances
POLL_JITTER = (0.1, 1.0)  # factor on the pause, which spreads polls that failed at the same time
OVERLOADED_BACKOFF_PER_INSTANCE_US = SECOND * 3 // 8  # longest pause while discovery is overloaded
OVERLOADED_BACKOFF_DIVISOR = 8  # while discovery is overloaded, the pause starts at this part of the backoff
OVERLOADED_JITTER = (0.5, 1.0)  # at least half: a poll that times out costs discovery as much as an answer

MAX_LOG_LINES = 200  # in the lifetime of a Controller
