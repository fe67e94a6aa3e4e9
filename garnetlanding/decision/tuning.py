"""Constants of the decision module, each with its reason. Spans are in microseconds.

Read them as `tuning.NAME`, so that an experiment can change one in one place.
"""

from __future__ import annotations

from garnetlanding.decision.units import SECOND

# Concurrency limit: how many attempts this instance may have in flight at one backend.
DEPTH_FLOOR = 4  # attempts; what a backend of which nothing is known gets
DEPTH_CEILING = 32  # attempts; the design's upper bound
COMPLETION_WINDOW = 2 * SECOND  # completions are counted over this: long against a pause or a flush of writes
DECREASE_ON_SLOW = 0.8  # factor on the depth for an answer slower than SLOW_SHARE of the tightest objective
DECREASE_ON_LATE = 0.5  # factor on the depth for an answer later than the tightest objective
INCREASE_ON_QUICK = 0.05  # part of the depth that a quick answer gives back

# Latency: what counts as slow, and how measurements age.
SLOW_SHARE = 0.25  # of the tightest objective: beyond it the depth shrinks and the cheapest requests wait
LATENCY_HALF_LIFE = (
    2 * SECOND
)  # an unconfirmed latency counts half after this: queues drain, only a send tells
LATENCY_GAIN = 0.2  # weight of a new sample in a backend's latency and error averages
POOL_GAIN = 0.1  # relative step per answer of the statistics that all backends feed together

# Backend health.
SILENCE_OBJECTIVES = (
    2.0  # silent for so many tightest objectives and refusing connects: down; pauses are shorter
)
CONNECT_FAILURES = 3  # in a row before a silent backend counts as terminated: some connects break by chance
REJECTIONS = 3  # requests in a row that a backend must reject before its queue counts as full
FAULT_PRIOR = 0.01  # prior for a faulty backend, against which lost answers explain a silence

# Hedging and retries.
HEDGING_QUANTILE = 0.05  # share of the answers that come later than the hedging delay
HEDGE_EARNED = 0.01  # most that an arrival earns, where answers get lost
HEDGE_WON = 2.0  # earned when the hedged attempt answers first
HEDGE_CAPACITY = 3.0  # hedges saved up at most
RETRY_OBJECTIVES = 0.1  # first pause before a retry, in latency objectives of its class; doubles, with jitter

# Admission.
UNSENT_SHARE = (
    0.45  # of its time after which a request no backend has seen is given up; later costs its client
)
MARGIN_TICKS = 3  # a final answer leaves so many clock ticks before the client's deadline
QUEUE_TICK = SECOND // 100  # queued work is looked at this often at least

# Warm-up of a backend that has just started.
WARMUP_SAFETY = 0.7  # part of the learnt warm-up budget in use: the instances' loads shift between them
USUAL_LOAD_SPAN = 10 * SECOND  # memory of a cell's usual load: longer than a shift of the leader moves it

# Weights of volumes.
WEIGHT_INTERVAL = 3 * SECOND  # the design's control interval
WEIGHT_GAIN = 0.5  # exponent on 100/usage: every instance acts on one late figure, so half a step each
WEIGHT_CLAMP = 4.0  # a weight stays within this factor of its plan's
FORGET_AFTER = 60 * SECOND  # a volume without requests for so long; no request lasts longer

# Polls of the endpoint list.
POLL_BACKOFF = SECOND // 2  # first pause after an error; doubles
POLL_BACKOFF_MOST = SECOND * 43 // 10  # longest pause, unless calls queue at the discovery service
POLL_BACKOFF_PER_INSTANCE = SECOND // 8  # the first pause grows with the number of instances
POLL_QUEUE_PER_INSTANCE = SECOND * 3 // 8  # the same for the pause where calls queue
POLL_QUEUE_PATIENCE = 8  # where calls queue, the pause starts at this fraction of the backoff

LOG_LINES = 200  # log lines in the lifetime of a Controller
