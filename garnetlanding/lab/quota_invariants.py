"""Invariants of limits that all instances share: quotas, warming backends, connections."""

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
    """The owner of a quota: one incarnation of an instance, for one volume's limit."""

    instance: str
    volume: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class _RecordedQuota:
    quota: float
    end_us: int  # the instance computes it anew before it sends anything later


class QuotaTable:
    """The quotas that the instances hold according to their histories, up to the last line processed."""

    def __init__(self, experiment: Experiment) -> None:
        self._experiment = experiment
        self._upgraded = {f"n{number}" for number in experiment.instances_affected_by(FaultKind.UPGRADE)}
        self._quotas: dict[_QuotaOwner, _RecordedQuota] = {}

    def remove_instance(self, instance: str) -> None:
        """Drop the quotas of an instance that restarts.

        Those of an upgraded instance are kept: its two processes hold quotas at the same time.
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

        An instance without a recorded quota has received no request of the volume, so it has sent nothing.
        One whose quota has expired computes it anew before it sends.
        """
        entitled = {f"n{number}" for number in volume_instances(self._experiment, int(volume, 16))}
        return sum(
            recorded.quota
            for owner, recorded in self._quotas.items()
            if owner.instance in entitled and owner.volume == volume and recorded.end_us > now_us
        )


def measure_quota_sums(run: RecordedRun) -> None:
    """Measure the greatest sum that the quotas of any one volume reach.

    The time from the start of a duplicate identity until it must have been detected has a maximum of its own.
    """
    first_us = first_request_us(run.lines)
    duplicates_us = [fault.start_us for fault in run.experiment.faults_of(FaultKind.DUPLICATE_IDENTITY)]
    table = QuotaTable(run.experiment)
    for line in run.lines_of(LineKind.STARTED, LineKind.VOLUME_QUOTAS):
        if line["what"] == LineKind.STARTED:
            table.remove_instance(line["who"])
            continue
        elapsed_us = line["t"] - first_us
        # Two instances with one number both use its quota until the earlier has received from the later.
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
    """A duplicate identity adds at most one even quota before it is detected."""

    name = "quota sum beside a duplicate identity"
    label = "parts"
    statement = "Beside a duplicate identity a volume's quotas exceed the whole by one even quota at most."
    shown_by = "test_quota_invariants.py::test_quota_sum_beside_a_duplicate_identity_is_bounded"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an exceeded sum."""
        allowed = 1 + 1 / run.experiment.workload.instances_per_volume + LIMITS.quota_tolerance
        if run.report.duplicate_quota_sum_max > allowed:
            total = run.report.duplicate_quota_sum_max
            yield f"beside a duplicate identity the quotas of a volume add up to {total:.3f}"


class QuotaSum(Invariant):
    """The instances' quotas of one volume's limit never add up to more than the limit."""

    name = "quota sum"
    label = "parts"
    statement = "At no time do the quotas of one volume add up to more than the whole."
    shown_by = "test_quota_invariants.py::test_quotas_above_the_whole_are_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an exceeded sum."""
        if run.report.quota_sum_max > 1 + LIMITS.quota_tolerance:
            yield f"the quotas of a volume add up to {run.report.quota_sum_max:.3f}"


class WarmingLoad(Invariant):
    """A backend that has just come back cold is sent no more load within a window than it can take."""

    name = "load of a warming backend"
    label = "budgets"
    statement = "All instances together send a cold backend no more within a window than it can take."
    shown_by = "test_quota_invariants.py::test_overloaded_warming_backend_is_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an overload, and measure the greatest load."""
        self._measure(run)
        # With a FallMultiple of 0 the limit is ColdBears alone, whatever the backend's usual load.
        is_exact = run.settings["Rules"]["FallMultiple"] < LIMITS.quota_tolerance
        if is_exact and run.report.warming_load_max > 1:
            yield f"a cold backend was sent {run.report.warming_load_max:.2f} of the load it can take"

    @staticmethod
    def _measure(run: RecordedRun) -> None:
        limit_units = run.settings["FamilyInfo"]["ColdBears"]
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
                load = len(times_us) * run.experiment.workload.units / limit_units
                run.report.warming_load_max = max(run.report.warming_load_max, load)


class BackendConnectionLimit(Invariant):
    """All instances together stay within the limit of connections at one backend."""

    name = "backend connection limit"
    label = "places"
    statement = "No backend ever has more concurrent connections than the limit of all instances together."
    shown_by = "test_quota_invariants.py::test_too_many_connections_at_a_backend_are_a_violation"

    def violations(self, run: RecordedRun) -> Iterator[str]:
        """Yield an exceeded limit, and measure the greatest number."""
        run.report.backend_connections_max = max(
            (line["count"] for line in run.lines_of(LineKind.CONNECTIONS_OPEN)), default=0
        )
        if 0 < run.experiment.backend_connections < run.report.backend_connections_max:
            yield f"a backend had {run.report.backend_connections_max} concurrent connections"
