"""Invariants between instances: suspicions, disabled backends, membership."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from garnetlanding.lab.faults import BACKEND_CALLS, BACKEND_FAULTS, FaultKind
from garnetlanding.lab.history import Line, LineKind
from garnetlanding.lab.invariant import Invariant, RecordedRun
from garnetlanding.lab.limits import LIMITS
from garnetlanding.peers.limits import PeerLimits


class SuspicionEvidence(Invariant):
    """A suspicion is based on recent evidence of another instance, and few backends are suspected at once.

    No evidence is required in runs with a byzantine instance: its forged claims are not in its history.
    """

    name = "suspicion evidence"
    label = "words"
    statement = (
        "No instance suspects a backend that no peer observed within the greatest age of evidence, "
        "nor more than a third of all backends at once."
    )
    shown_by = "test_peer_invariants.py::test_suspicion_without_recent_evidence_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield suspicions without evidence and too many at once, and count all suspicions."""
        needs_evidence = not run.experiment.faults_of(FaultKind.BYZANTINE)
        faulty = {f"b{fault.backend}" for fault in run.experiment.faults_of(*BACKEND_FAULTS)}
        suspected_max = max(1, run.experiment.backends // 3)
        observed_us: dict[tuple[str, str], int] = {}  # by instance and backend, the latest observation sent
        suspected: dict[str, set[str]] = defaultdict(set)
        for line in run.lines_of(LineKind.OBSERVATIONS_SENT, LineKind.STARTED, LineKind.SUSPICIONS_CHANGED):
            instance = line["who"]
            if line["what"] == LineKind.OBSERVATIONS_SENT:
                observed_us |= {(instance, backend): at_us for backend, (_, at_us) in line["servers"].items()}
                continue
            if line["what"] == LineKind.STARTED:
                suspected.pop(instance, None)
                continue
            new = set(line["servers"]) - suspected[instance]
            suspected[instance] = set(line["servers"])
            run.report.suspicions += len(new)
            run.report.suspicions_unfounded += len(new - faulty)
            if needs_evidence:
                yield from self._without_evidence(line, observed_us)
            if len(line["servers"]) > suspected_max:
                yield f"{instance} suspects {len(line['servers'])} backends at once"

    @staticmethod
    def _without_evidence(line: Line, observed_us: dict[tuple[str, str], int]) -> Iterator[str]:
        evidence_us = PeerLimits().evidence_us
        for backend, until_us in line["servers"].items():
            latest_us = max(
                (
                    at_us
                    for (observer, observed), at_us in observed_us.items()
                    if observed == backend and observer != line["who"]
                ),
                default=0,
            )
            if until_us > latest_us + evidence_us:
                yield f"{line['who']} suspects {backend} without recent evidence from a peer"


class DisabledBackendsConverge(Invariant):
    """All instances end with the same disabled backends, and one that all have disabled is sent nothing."""

    name = "disabled backends converge"
    label = "bans"
    statement = (
        "A backend that is disabled at every instance is sent nothing, and at the end every instance has the "
        "same backends disabled."
    )
    shown_by = "test_peer_invariants.py::test_request_at_a_disabled_backend_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield requests to disabled backends, and a difference at the end."""
        if not run.experiment.peer_links or not run.experiment.faults_of(*BACKEND_CALLS):
            return
        disabled: dict[str, set[str]] = {f"n{number}": set() for number in range(run.experiment.instances)}
        since_us: dict[str, int] = {}  # by backend, when the last instance disabled it
        for line in run.lines_of(LineKind.DISABLED_CHANGED, LineKind.EXECUTED):
            if line["what"] == LineKind.DISABLED_CHANGED:
                disabled[line["who"]] = set(line["out"])
                everywhere = set.intersection(*disabled.values())
                since_us = {backend: since_us.get(backend, line["t"]) for backend in everywhere}
                continue
            backend = f"b{line['brick']}"
            if backend in since_us and line["t"] > since_us[backend] + LIMITS.dispatch_latency_us:
                yield f"{line['id']} was executed at {backend}, which every instance had disabled"
        if len({frozenset(backends) for backends in disabled.values()}) > 1:
            listed = {instance: sorted(backends) for instance, backends in disabled.items()}
            yield f"instances differ at the end: {listed}"


@dataclass(slots=True)
class _MembershipHistory:
    """By instance, its even quota of shared limits and the members it knows, as last recorded."""

    even_quota: dict[str, float] = field(default_factory=dict)
    known: dict[str, set[int]] = field(default_factory=dict)


class MembershipConverges(Invariant):
    """Instances that discover each other end with the same members; their even quotas never exceed the whole.

    The even quota of a killed instance counts until the instance starts again.
    """

    name = "membership converges"
    label = "heads"
    statement = (
        "Even quotas never add up to more than the whole; at the end every running instance knows exactly "
        "the running ones, and of two instances with one number at most one uses its quota."
    )
    shown_by = "test_peer_invariants.py::test_diverging_membership_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an exceeded sum, an instance number used twice, and wrong members at the end."""
        if not run.experiment.seed_instances:
            return
        history = self._replay(run)
        if run.report.even_quota_sum_max > 1 + LIMITS.quota_tolerance:
            yield f"even quotas add up to {run.report.even_quota_sum_max:.3f}"
        duplicates = {
            fault.instance: fault.claimed_instance
            for fault in run.experiment.faults_of(FaultKind.DUPLICATE_IDENTITY)
        }
        for instance, claimed in duplicates.items():
            if history.even_quota[f"n{instance}"] and history.even_quota[f"n{claimed}"]:
                yield f"n{instance} and n{claimed} both use the quota of one instance number"
        running = set(range(run.experiment.instances)) - run.instances_that_left() - set(duplicates)
        for instance in sorted(running):
            known = history.known.get(f"n{instance}")
            if known != running:
                yield f"n{instance} knows {sorted(known or ())} at the end, {sorted(running)} are running"

    @staticmethod
    def _replay(run: RecordedRun) -> _MembershipHistory:
        """Return the state at the clients' last line; after that the lab terminates every instance."""
        history = _MembershipHistory()
        end_us = max((line["t"] for line in run.lines if line["who"] == "clients"), default=0)
        for line in run.lines_of(LineKind.STARTED, LineKind.MEMBERS_CHANGED):
            if line["t"] > end_us:
                break
            if line["what"] == LineKind.STARTED:
                history.even_quota[line["who"]] = 0.0
                continue
            history.even_quota[line["who"]] = line["even"]
            history.known[line["who"]] = set(line["entitled"])
            run.report.even_quota_sum_max = max(
                run.report.even_quota_sum_max, sum(history.even_quota.values())
            )
        return history
