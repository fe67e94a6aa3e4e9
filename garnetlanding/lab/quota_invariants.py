"""What must hold of limits that all instances share: quotas, warming backends, connections."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterator
from dataclasses import dataclass

from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.faults import FaultKind
from garnetlanding.lab.history import Line, LineKind
from garnetlanding.lab.invariant import Invariant, RecordedRun
from garnetlanding.lab.limits import LIMITS
from garnetlanding.lab.time_series import first_request_us
from garnetlanding.lab.workload import volume_instances


@dataclass(frozen=True, slots=True)
class _QuotaOwner:
    """Whose quota it is: one incarnation's of one instance, of one volume's limit."""

    instance: str
    volume: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class _RecordedQuota:
    quota: float
    end_us: int  # the instance looks at it again before it sends anything later


class QuotaShareTable:
    """The quotas that the instances believe their own, as their histories say, up to a line."""

    def __init__(self, experiment: Experiment) -> None:
        self._experiment = experiment
        self._upgraded = {f"n{number}" for number in experiment.instances_affected_by(FaultKind.UPGRADE)}
        self._quotas: dict[_QuotaOwner, _RecordedQuota] = {}

    def forget(self, instance: str) -> None:
        """Forget what an instance held that starts again.

        The two processes of an upgrade hold theirs side by side.
        """
        if instance in self._upgraded:
            return
        for owner in [owner for owner in self._quotas if owner.instance == instance]:
            del self._quotas[owner]

    def update(self, line: Line) -> None:
        """Record the quotas of a `parts` line."""
        for volume, quota in line["parts"].items():
            owner = _QuotaOwner(line["who"], volume, line["life"])
            self._quotas[owner] = _RecordedQuota(quota, line["until"])

    def total(self, volume: str, now_us: int) -> float:
        """Return the sum of a volume's quotas in force.

        An instance without a noted quota has had no request of the volume, so it has sent nothing. One whose
        quota has expired computes it anew before it sends.
        """
        entitled = {f"n{number}" for number in volume_instances(self._experiment, int(volume, 16))}
        return sum(
            noted.quota
            for owner, noted in self._quotas.items()
            if owner.instance in entitled and owner.volume == volume and noted.end_us > now_us
        )


def measure_quota_sums(run: RecordedRun) -> None:
    """Measure the greatest sums of one volume's quotas, apart for times beside a duplicate identity."""
    first_us = first_request_us(run.lines)
    duplicates_us = [fault.start_us for fault in run.experiment.faults_of(FaultKind.DUPLICATE_IDENTITY)]
    table = QuotaShareTable(run.experiment)
    for line in run.lines_of(LineKind.STARTED, LineKind.VOLUME_QUOTAS):
        if line["what"] == LineKind.STARTED:
            table.forget(line["who"])
            continue
        elapsed_us = line["t"] - first_us
        # Until the earlier of two with one number has received from the later, both use its quota.
        is_beside_duplicate = any(
            start_us <= elapsed_us < start_us + LIMITS.duplicate_detection_us for start_us in duplicates_us
        )
        table.update(line)
        for volume in line["parts"]:
            total = table.total(volume, line["t"])
            if is_beside_duplicate:
                run.report.duplicate_quota_sum_max = max(run.report.duplicate_quota_sum_max, total)
            else:
                run.report.quota_sum_max = max(run.report.quota_sum_max, total)


class DuplicateQuotaSum(Invariant):
    """A duplicate identity adds at most one even quota before it is noticed."""

    name = "quota sum beside a duplicate identity"
    label = "parts"
    statement = (
        "Beside a duplicate identity a volume's quota shares exceed the whole by one even share at most."
    )
    shown_by = "test_quota_invariants.py::test_quota_sum_beside_a_duplicate_identity_is_bounded"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an exceeded sum."""
        allowed = 1 + 1 / run.experiment.workload.instances_per_volume + LIMITS.quota_tolerance
        if run.report.duplicate_quota_sum_max > allowed:
            yield f"beside a twin a volume's add up to {run.report.duplicate_quota_sum_max:.3f}"


class QuotaSum(Invariant):
    """The instances' quotas of one volume's limit never add up to more than the limit."""

    name = "quota sum"
    label = "parts"
    statement = "At no time do the quota shares of one volume add up to more than the whole."
    shown_by = "test_quota_invariants.py::test_quotas_above_the_whole_are_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an exceeded sum."""
        if run.report.quota_sum_max > 1 + LIMITS.quota_tolerance:
            yield f"a volume's add up to {run.report.quota_sum_max:.3f}"


class WarmingLoad(Invariant):
    """A backend that has just come back cold is sent, in any window, no more than it bears."""

    name = "load of a warming backend"
    label = "budgets"
    statement = "All instances together send a cold backend no more within a window than it bears."
    shown_by = "test_quota_invariants.py::test_overloaded_warming_backend_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an overload, and measure the greatest load."""
        self._measure(run)
        # Where nothing is learnt of a backend's usual load, what it bears in any case is all it may be sent.
        is_exact = run.settings["Rules"]["FallMultiple"] < LIMITS.quota_tolerance
        if is_exact and run.report.warming_load_max > 1:
            yield f"a cold brick was sent {run.report.warming_load_max:.2f} of what it bears"

    @staticmethod
    def _measure(run: RecordedRun) -> None:
        bears_units = run.settings["FamilyInfo"]["ColdBears"]
        rules = run.settings["Rules"]
        window_us = rules["FallUs"] - LIMITS.dispatch_latency_us
        restarted = {fault.backend for fault in run.experiment.faults_of(FaultKind.RESTART)}
        went_down: set[int] = set()
        cold_until_us: dict[int, int] = {}
        recent_us: dict[int, deque[int]] = defaultdict(deque)
        for line in run.lines_of(LineKind.FAULT, LineKind.EXECUTED):
            if line["what"] == LineKind.FAULT:
                backend = line["which"]
                if line["kind"] == "down":
                    went_down.add(backend)
                elif line["kind"] == "up" and backend in went_down & restarted:
                    cold_until_us[backend] = line["t"] + rules["ColdUs"]
            elif cold_until_us and cold_until_us.get(line["brick"], 0) > line["t"]:
                times_us = recent_us[line["brick"]]
                times_us.append(line["t"])
                while times_us[0] <= line["t"] - window_us:
                    times_us.popleft()
                load = len(times_us) * run.experiment.workload.units / bears_units
                run.report.warming_load_max = max(run.report.warming_load_max, load)


class BackendConnectionLimit(Invariant):
    """All instances together keep to the limit of connections at one backend."""

    name = "backend connection limit"
    label = "places"
    statement = "No backend ever has more connections at once than all instances together may have there."
    shown_by = "test_quota_invariants.py::test_too_many_connections_at_a_backend_are_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an excess, and measure the greatest number."""
        run.report.backend_connections_max = max(
            (line["count"] for line in run.lines_of(LineKind.CONNECTIONS_OPEN)), default=0
        )
        if 0 < run.experiment.backend_connections < run.report.backend_connections_max:
            yield f"a brick had {run.report.backend_connections_max} connections at once"
