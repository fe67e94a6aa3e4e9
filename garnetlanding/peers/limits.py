"""Every size, count and time limit of the link between instances.

Apart from the settings that place the link: the simulator's adapter needs these alone.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
MAX_DATAGRAM_BYTES = 256  # the platform voids the run over a longer one


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """The limits, with the values that stand for every instance.

    Names end in their unit: `_us` are microseconds, `_bytes` bytes, `_share` parts of a whole; others are
    counts, or factors where they say so. An "objective" is the tightest latency objective of the settings.
    """

    # Rounds and receivers

    datagram_bytes: int = MAX_DATAGRAM_BYTES
    send_interval_us: int = 250 * MS  # a lead changes after 12 s at the soonest: late by a fiftieth
    fanout: int = 4  # peers sent to in a round, in turn: with more peers, each has its turn more seldom
    max_partners: int = 12  # and so many beside them that ask for the same volumes: the cost has a bound

    # Membership

    bootstrap_us: int = 5 * SECOND  # without a message of a group, the seeds begin one together
    membership_pages: int = 3  # datagrams of records to one receiver in a round, where its table differs
    membership_rotation: int = 24  # records by which the next such round starts further on, about one round's
    max_instances: int = 1024  # records kept, those of terminated instances included

    # Leases on volume limits

    max_asks: int = 120  # volumes asked for in a round, the busiest first
    lease_us: int = 1100 * MS  # a grant holds for so long: four messages in a row may be lost
    drift: float = 0.01  # of two clocks, as a factor, at most; real ones stay under a thousandth of that
    stale_us: int = 1200 * MS  # a peer's message is believed for so long; not under `lease_us`
    demand_memory_us: int = 60 * SECOND  # that a volume comes through an instance is remembered for so long
    demand_window_us: int = SECOND  # demand is measured over this, so that a change of it shows soon
    headroom: float = 1.25  # factor: asked for, of what was used lately
    share_steps: int = 250  # of a share, as it is sent
    remembered_messages: int = 64  # own ones, which peers may still acknowledge
    max_volumes: int = 4096  # kept of one peer, so that a forged one cannot make them grow without end

    # Budgets

    list_calls_per_s: float = 8.0  # that discovery bears of all instances; as the module paces them
    list_window_us: int = 2 * SECOND  # within which they are counted
    min_list_share: float = 0.25  # of an even share of them: an instance always has it

    # The socket

    receive_batch: int = 64  # datagrams taken in one iteration of the event loop
    drop_report_us: int = 10 * SECOND  # between lines of the log on what was dropped
    open_retry_us: int = SECOND  # between attempts to bind the address while a predecessor process has it

    # Observations of backends, and what those of peers count for

    evidence_us: int = 2 * SECOND  # nothing is believed that was seen longer ago; eight rounds
    refused_streak: int = 3  # connections refused in a row: some break by chance
    silence_objectives: float = 2.0  # no response for so many objectives, with requests in flight
    silent_requests: int = 2  # so many of them: a single one may be a heavy one
    rejected_streak: int = 3  # requests rejected in a row: one may be rejected for itself
    slow_objectives: float = 1.0  # mean latency, in objectives, above which a backend is slow
    slow_responses: int = 4  # that such a mean takes
    latency_gain: float = 0.25  # weight of a new response in it
    suspicion_credit: float = 0.75  # that claims must add up to: one peer in good standing
    refuted_credit_factor: float = 0.8  # a peer's credit, multiplied by it after a refuted claim
    refutation_grace_us: int = SECOND  # a claim so much later than the response is wrong, not late
    credit_recovery_us: int = 60 * SECOND  # from no credit to all of it
    max_suspected_share: float = 1 / 3  # of the listed backends at a time; at least one
    uptime_slack_us: int = 2 * SECOND  # two statements of a backend's start within this mean the same process

    # Administratively disabled backends, and fenced instances

    max_disable_records: int = 256  # kept, of backends disabled and of those enabled again
    max_name_bytes: int = 180  # of a backend's name: a record fits into a datagram
    max_version: int = 1 << 47  # milliseconds up to the year 6429; the format holds twice that
    max_version_lead: int = 3_600_000  # past the highest known one, above `max_version`: each can be outbid
    max_fenced_share: float = 0.5  # of the instances that operators may fence at a time
    disables_poll_us: int = 250 * MS  # between looks whether peers have sent records
