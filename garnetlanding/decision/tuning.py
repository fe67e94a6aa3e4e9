"""Tuning constants of the decision module, each with its reason. Time spans are in microseconds.

Refer to them as `tuning.NAME`, so that an experiment can replace one in a single place.
"""

from __future__ import annotations

from typing import Final

from garnetlanding.decision.units import SECOND

SMALLEST_POSITIVE: Final = 1e-9
"""Lower bound of rates and sizes that are used as divisors."""

# Concurrency limit: how many attempts this instance may have in flight at one backend.
CONCURRENCY_FLOOR = 4  # attempts; the limit at a backend of which nothing is known
CONCURRENCY_CEILING = 32  # attempts; the design's upper bound
COMPLETION_WINDOW = 2 * SECOND  # completions are counted over this: long against a pause or a flush of writes
DECREASE_ON_SLOW = 0.8  # factor on the limit after a response above SLOW_LATENCY_FRACTION
DECREASE_ON_LATE = 0.5  # factor on the limit after a response later than the tightest objective
INCREASE_ON_FAST = 0.05  # added to the factor on the limit after a fast response

# Latency: what counts as slow, and how measurements age.
SLOW_LATENCY_FRACTION = 0.25  # of the tightest objective: above it the limit shrinks, low priorities wait
LATENCY_HALF_LIFE = 2 * SECOND  # of a latency without new responses: queues drain, only an attempt tells
LATENCY_GAIN = 0.2  # weight of a new sample in a backend's averages of latency and errors
SHARED_STATISTICS_GAIN = 0.1  # relative step per response of the statistics over all backends

# Backend health.
UNRESPONSIVE_OBJECTIVES = 2.0  # tightest objectives without a response: longer than the pauses of a live one
CONNECT_FAILURES = 3  # in a row before an unresponsive backend counts as crashed: some fail by chance
REJECTIONS = 3  # requests in a row that a backend must reject before its queue counts as full
FULL_QUEUE_OBJECTIVES = 2  # tightest objectives assumed as the latency of a backend whose queue is full
FAULT_PRIOR = 0.01  # prior of a faulty backend, against which lost responses explain a timeout

# Placement of new objects.
PLACEMENT_JITTER = (0.9, 1.1)  # factor on the expected wait, so that instances do not all choose alike
SUCCESS_RATE_FLOOR = 0.05  # keeps the cost finite at a backend that only returns errors
SUCCESS_RATE_EXPONENT = 2  # errors cost more than the attempts they waste: clients see them

# Hedged requests and retries.
HEDGING_QUANTILE = 0.05  # fraction of the responses that arrive after the hedging delay
HEDGE_EARNED_MAX = 0.01  # tokens that an arrival earns at most, where responses get lost
HEDGE_WIN = 2.0  # tokens earned when the hedged attempt is served first
HEDGE_CAPACITY = 3.0  # tokens saved up at most
RETRY_PAUSE_OBJECTIVES = 0.1  # first pause before a retry, in latency objectives of its class; doubles
RETRY_JITTER = (0.5, 1.5)  # factor on the pause, which spreads retries that one fault has caused

# Admission.
UNSENT_DEADLINE_FRACTION = 0.45  # of its time after which an undelivered request is rejected: the client
# then still has time to retry elsewhere
ANSWER_MARGIN_TICKS = 3  # a final answer is given so many clock ticks before the client's deadline
DISPATCH_INTERVAL = SECOND // 100  # between dispatch passes over a queue that is not empty

# Warm-up of a backend that has just started.
WARMUP_SAFETY_FACTOR = 0.7  # on the learnt warm-up budget: load shifts between the instances
USUAL_LOAD_MEMORY = 10 * SECOND  # of the average load of a cell: longer than a change of leader shifts it

# Weights of volumes.
WEIGHT_INTERVAL = 3 * SECOND  # the design's control interval
WEIGHT_GAIN = 0.5  # exponent on 100/usage: every instance reacts to one late figure, so half a step each
WEIGHT_CLAMP = 4.0  # a weight stays within this factor of its plan's
IDLE_VOLUME_EXPIRY = 60 * SECOND  # until a volume without requests is dropped

# Polls of the endpoint list.
POLL_BACKOFF_MIN = SECOND // 2  # first pause after an error; doubles
POLL_BACKOFF_MAX = SECOND * 43 // 10  # longest pause, unless discovery is overloaded
POLL_BACKOFF_PER_INSTANCE = SECOND // 8  # the first pause grows with the number of instances
POLL_JITTER = (0.1, 1.0)  # factor on the pause, which spreads polls that failed together
OVERLOADED_BACKOFF_PER_INSTANCE = SECOND * 3 // 8  # bound of the pause while discovery is overloaded
OVERLOADED_BACKOFF_DIVISOR = 8  # while discovery is overloaded, the pause grows from this part of the backoff
OVERLOADED_JITTER = (0.5, 1.0)  # never short: a poll that waits in vain costs discovery as much as another

LOG_LINES = 200  # log lines in the lifetime of a Controller
