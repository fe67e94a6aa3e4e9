"""The sizes, counts and timeouts of the protocols between instances.

They are separate from the link's configuration because the simulator runs the protocols without one.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
MAX_DATAGRAM_BYTES = 256  # the platform declares a run invalid if a datagram is longer


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """The limits, which have to be the same at all instances.

    A name ends in its unit: `_us` for microseconds, `_bytes` for bytes, `_fraction` for a fraction of a
    whole. Other values are counts, or factors where the comment says so. An "objective" is the tightest
    latency objective of the settings.
    """

    # Rounds and receivers

    datagram_bytes: int = MAX_DATAGRAM_BYTES
    send_interval_us: int = 250 * MS  # 2% of the 12 s after which the load may move to another instance
    fanout: int = 4  # receivers of a round that are chosen in rotation
    max_lease_peers: int = 12  # further receivers of a round, among the peers that share a limit

    # Membership

    bootstrap_us: int = 5 * SECOND  # the seeds form a new group if no existing one answers within it
    membership_pages: int = 3  # datagrams of records sent to a receiver whose table differs, in one round
    membership_rotation: int = 24  # records by which the first one sent advances between such rounds
    max_instances: int = 1024  # records stored, including those of terminated instances

    # Leases on volume limits

    max_quota_requests: int = 120  # volumes requested in a round, in descending order of the wanted quota
    lease_us: int = 1100 * MS  # lifetime of a grant, which outlasts the loss of four consecutive messages
    max_clock_drift: float = 0.01  # relative difference in rate of two clocks; real clocks drift far less
    peer_timeout_us: int = 1200 * MS  # how long a received message counts; not less than `lease_us`
    demand_ttl_us: int = 60 * SECOND  # how long an instance counts as a host of a volume after a request
    demand_window_us: int = SECOND  # averaging window of the demand; short, to follow changes quickly
    demand_headroom: float = 1.25  # factor: the requested quota, relative to recent demand
    quota_steps: int = 250  # a granted fraction is a multiple of 1 / `quota_steps`
    remembered_messages: int = 64  # sent messages whose acknowledgement can still start a lease
    max_volumes: int = 4096  # requests stored for one peer, so that a faulty peer cannot exhaust memory

    # Budgets

    endpoint_polls_per_s: float = 8.0  # served by discovery, to all instances; paced by the decision module
    endpoint_poll_window_us: int = 2 * SECOND  # budget window of the polls
    min_endpoint_poll_fraction: float = 0.25  # of the even quota of polls; always available to an instance

    # The socket

    max_receive_batch: int = 64  # datagrams received in one event-loop iteration
    drop_report_us: int = 10 * SECOND  # between log messages about dropped datagrams
    bind_retry_us: int = SECOND  # between attempts to bind the address while the predecessor holds it

    # Evidence about backends, and suspicions

    evidence_us: int = 2 * SECOND  # lifetime of an observation: eight rounds
    refused_streak: int = 3  # consecutive refused connections after which a backend is unreachable
    overdue_after_objectives: float = 2.0  # objectives after which a request in flight is overdue
    overdue_requests: int = 2  # that make a backend unresponsive; a single one may just be expensive
    rejected_streak: int = 3  # consecutive rejected requests after which a backend is overloaded
    slow_objectives: float = 1.0  # mean latency, in objectives, above which a backend is slow
    min_latency_samples: int = 4  # responses that the mean requires
    latency_gain: float = 0.25  # weight of a new response in the moving average
    suspicion_credit: float = 0.75  # total credit of the claiming peers at which a backend is suspected
    refuted_credit_factor: float = 0.8  # multiplies a peer's credit after a refuted claim
    refutation_grace_us: int = SECOND  # a claim that follows a response by more is false, not just delayed
    credit_recovery_us: int = 60 * SECOND  # time in which credit recovers from 0 to 1
    max_suspected_fraction: float = 1 / 3  # of the listed backends, at the same time; at least one backend
    uptime_slack_us: int = 2 * SECOND  # start times that differ by less belong to the same process

    # Administratively disabled backends, and fenced instances

    max_disable_records: int = 256  # stored, including those of backends that are enabled again
    max_name_bytes: int = 180  # length of a backend's name, so that a record fits into a datagram
    max_version: int = 1 << 47  # versions are milliseconds: the year 6429; the wire format holds twice that
    max_version_lead: int = 3_600_000  # a record is rejected if it exceeds the highest known version by more
    max_fenced_fraction: float = 0.5  # of the instances; operators may not fence more at the same time
    disables_poll_us: int = 250 * MS  # interval between checks for records received from peers
