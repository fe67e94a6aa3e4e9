"""Every experiment of `experiments/` with several seeds, on real processes: a table of the results.

    python -m benchmarks.lab_runs [SEEDS [JOBS [EXPERIMENT ...]]]

If experiments are named, only these are run, and the recorded rows of the others stay.
"""

from __future__ import annotations

import pathlib
import shutil
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from rich.progress import Progress

from garnetlanding.lab.errors import LabError
from garnetlanding.lab.experiment_file import load
from garnetlanding.lab.run import run
from garnetlanding.lab.violations import InvariantReport

ROOT = pathlib.Path(__file__).parent.parent
RESULTS = ROOT / "benchmarks" / "results" / "lab.md"
DEFAULT_SEEDS_AND_JOBS = (3, 1)
HEADER = (
    "| experiment | runs | asked | served | refused | failed | unanswered, its head killed or stopped "
    "| most over a limit, units | share of the limits used | greatest sum of parts "
    "| greatest sum of even parts | of what a cold brick bears, sent at most "
    "| servers doubted, of them sound ones | rules broken |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def row(name: str, reports: list[InvariantReport]) -> str:
    """Return the table's row of an experiment, over its runs."""

    def total(outcome: str) -> int:
        return sum(report.outcomes[outcome] for report in reports)

    suspicions = sum(report.suspicions for report in reports)
    unfounded = sum(report.suspicions_unfounded for report in reports)
    cells: list[object] = [
        name,
        len(reports),
        sum(report.requests for report in reports),
        total("served"),
        total("refused"),
        total("failed"),
        total("lost") + total("none"),
        f"{max(report.limit_overshoot_units for report in reports):.2f}",
        f"{sum(report.limit_use for report in reports) / len(reports):.2f}",
        f"{max(report.quota_sum_max for report in reports):.3f}",
        f"{max(report.even_quota_sum_max for report in reports):.3f}",
        f"{max(report.warming_load_max for report in reports):.2f}",
        f"{suspicions}, {unfounded}",
        sum(len(report.violations) for report in reports),
    ]
    return f"| {' | '.join(map(str, cells))} |"


def run_experiment(path: pathlib.Path, seed: int) -> InvariantReport | None:
    """Run one experiment; return None if it could not be completed.

    Its folder is kept if it failed or violated an invariant.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="lab-"))
    try:
        report = run(replace(load(str(path)), seed=seed), folder / "run").report
    except LabError as error:
        print(f"{path.stem}, seed {seed}: {error}; see {folder}", file=sys.stderr)
        return None
    if report.passed:
        shutil.rmtree(folder)
    else:
        shown = [str(violation) for violation in report.violations[:3]]
        print(f"{path.stem}, seed {seed}: {shown}; see {folder}", file=sys.stderr)
    return report


def recorded_rows() -> dict[str, str]:
    """Return the recorded rows, by experiment."""
    lines = RESULTS.read_text().splitlines() if RESULTS.exists() else []
    rows = [line for line in lines if line.startswith("| ") and line not in HEADER.splitlines()]
    return {line.split(" | ")[0].strip("| "): line for line in rows}


def main(seeds: int, jobs: int, only: list[str]) -> int:
    """Run the experiments and write the table; return 1 if one failed or violated an invariant."""
    rows, failures = recorded_rows() if only else {}, 0
    files = [path for path in sorted((ROOT / "experiments").glob("*.toml")) if not only or path.stem in only]
    with Progress() as bar, ProcessPoolExecutor(jobs) as pool:
        task = bar.add_task("experiments", total=len(files) * seeds)
        runs = {
            path: [pool.submit(run_experiment, path, seed) for seed in range(1, seeds + 1)] for path in files
        }
        for path, futures in runs.items():
            reports: list[InvariantReport] = []
            for future in futures:
                result = future.result()
                failures += 1 if result is None else len(result.violations)
                reports += [result] if result else []
                bar.advance(task)
            if reports:
                rows[path.stem] = row(path.stem, reports)
                print(rows[path.stem], flush=True)
    lines = ["# Real processes under faults", "", HEADER, *(rows[name] for name in sorted(rows))]
    RESULTS.write_text("\n".join(lines) + "\n")
    return 1 if failures else 0


if __name__ == "__main__":
    given = [int(word) for word in sys.argv[1:3]]
    seeds, jobs = [*given, *DEFAULT_SEEDS_AND_JOBS[len(given) :]]
    sys.exit(main(seeds, jobs, sys.argv[3:]))
