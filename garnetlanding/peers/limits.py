"""Every size, count and time limit of the link between instances.

They are apart from the configuration of the link, which the simulator's adapter does not have.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
MAX_DATAGRAM_BYTES = 256  # with a longer one, the platform declares the whole run invalid


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """The limits, which are the same at every instance.

    Names end in their unit: `_us` are microseconds, `_bytes` bytes, `_fraction` fractions of a whole.
    Others are counts, or factors where the comment says so. An "objective" is the tightest latency
    objective of the settings.
    """

    # Rounds and receivers

    datagram_bytes: int = MAX_DATAGRAM_BYTES
    send_interval_us: int = 250 * MS  # 2% of the 12 s after which the busiest instance may change
    fanout: int = 4  # peers sent to in a round, in rotation
    max_partners: int = 12  # sent to beside them, of the peers with whom a limit is shared

    # Membership

    bootstrap_us: int = 5 * SECOND  # if no group answers within it, the seeds start a new one
    membership_pages: int = 3  # datagrams of records to one receiver in a round, if its table differs
    membership_rotation: int = 24  # records by which such a round starts further on than the one before
    max_instances: int = 1024  # records kept, including those of terminated instances

    # Leases on volume limits

    max_quota_requests: int = 120  # volumes requested in a round, the greatest quota first
    lease_us: int = 1100 * MS  # duration of a grant: four messages in a row may be lost
    drift: float = 0.01  # greatest difference between the rates of two clocks; that of real ones is far less
    stale_us: int = 1200 * MS  # how long a peer's requests count; not less than `lease_us`
    demand_memory_us: int = 60 * SECOND  # how long an instance counts as a host of a volume after a request
    demand_window_us: int = SECOND  # over which demand is averaged; short, so that a change shows soon
    headroom: float = 1.25  # factor: quota that is requested, to what was used lately
    quota_steps: int = 250  # of a quota, as it is sent
    remembered_messages: int = 64  # own ones that peers may still acknowledge
    max_volumes: int = 4096  # requests kept of one peer, so that a faulty one cannot exhaust the memory

    # Budgets

    endpoint_polls_per_s: float = (
        8.0  # of all instances together, that discovery serves; the decision module paces them
    )
    endpoint_poll_window_us: int = 2 * SECOND  # within which the polls are counted
    min_endpoint_poll_fraction: float = 0.25  # of the even quota of polls, that an instance always has

    # The socket

    receive_batch: int = 64  # datagrams taken in one iteration of the event loop
    drop_report_us: int = 10 * SECOND  # between log messages about dropped datagrams
    open_retry_us: int = SECOND  # between attempts to bind the address while the predecessor process has it

    # Observations of backends, and suspicions that follow from them

    evidence_us: int = 2 * SECOND  # older observations do not count; eight rounds
    refused_streak: int = 3  # refused connections in a row that make a backend unreachable
    overdue_after_objectives: float = 2.0  # requests in flight for longer, in objectives, are overdue
    overdue_requests: int = 2  # overdue ones that make a backend unresponsive: a single one may be heavy
    rejected_streak: int = 3  # rejected requests in a row that make a backend overloaded
    slow_objectives: float = 1.0  # mean latency, in objectives, above which a backend is slow
    min_latency_samples: int = 4  # responses that the mean has to rest on
    latency_gain: float = 0.25  # weight of a new response in the mean
    suspicion_credit: float = 0.75  # sum of the claiming peers' credit that makes a backend suspected
    refuted_credit_factor: float = 0.8  # by which a peer's credit is multiplied after a refuted claim
    refutation_grace_us: int = SECOND  # a claim that is later than a response by more is wrong, not just late
    credit_recovery_us: int = 60 * SECOND  # from no credit to full credit
    max_suspected_fraction: float = 1 / 3  # of the listed backends, at a time; at least one backend
    uptime_slack_us: int = 2 * SECOND  # start times of a backend that differ by less are of the same process

    # Administratively disabled backends, and fenced instances

    max_disable_records: int = 256  # kept, including those of backends that are enabled again
    max_name_bytes: int = 180  # of a backend's name, so that a record fits into a datagram
    max_version: int = 1 << 47  # as milliseconds, the year 6429; the format holds twice that
    max_version_lead: int = 3_600_000  # above the highest known version, beyond which a record is rejected
    max_fenced_fraction: float = 0.5  # of the instances, that operators may fence at a time
    disables_poll_us: int = 250 * MS  # between checks whether peers have sent records
