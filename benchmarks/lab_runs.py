"""Every experiment of `experiments/` with several seeds, on real processes: a table of what was found.

    python -m benchmarks.lab_runs [SEEDS [JOBS [EXPERIMENT ...]]]

With names, these alone are run, and the rows of the others stay as they were recorded.
"""

from __future__ import annotations

import pathlib
import shutil
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from rich.progress import Progress

from garnetlanding.lab.experiment import load
from garnetlanding.lab.findings import Findings
from garnetlanding.lab.run import LabError, run

ROOT = pathlib.Path(__file__).parent.parent
RESULTS = ROOT / "benchmarks" / "results" / "lab.md"
HEADER = (
    "| experiment | runs | asked | served | refused | failed | unanswered, its head killed or stopped "
    "| most over a limit, units | share of the limits used | greatest sum of parts "
    "| greatest sum of even parts | of what a cold brick bears, sent at most "
    "| servers doubted, of them sound ones | rules broken |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
)


def row(name: str, found: list[Findings]) -> str:
    def total(outcome: str) -> int:
        return sum(f.outcomes[outcome] for f in found)

    cells: list[object] = [
        name,
        len(found),
        sum(f.asked for f in found),
        total("served"),
        total("refused"),
        total("failed"),
        total("lost") + total("none"),
        f"{max(f.over for f in found):.2f}",
        f"{sum(f.used for f in found) / len(found):.2f}",
        f"{max(f.parts_most for f in found):.3f}",
        f"{max(f.evens_most for f in found):.3f}",
        f"{max(f.cold_most for f in found):.2f}",
        f"{sum(f.doubts for f in found)}, {sum(f.doubts_unfounded for f in found)}",
        sum(len(f.broken) for f in found),
    ]
    return f"| {' | '.join(map(str, cells))} |"


def play(path: pathlib.Path, seed: int) -> Findings | None:
    """One run; None where it could not be carried through. Its folder stays where something was wrong."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="lab-"))
    try:
        found = run(replace(load(str(path)), seed=seed), folder / "run").findings
    except LabError as problem:
        print(f"{path.stem}, seed {seed}: {problem}; see {folder}", file=sys.stderr)
        return None
    if found.sound:
        shutil.rmtree(folder)
    else:
        print(f"{path.stem}, seed {seed}: {found.broken[:3]}; see {folder}", file=sys.stderr)
    return found


def recorded() -> dict[str, str]:
    """The rows that stand in the results, by experiment."""
    lines = RESULTS.read_text().splitlines() if RESULTS.exists() else []
    rows = [line for line in lines if line.startswith("| ") and line not in HEADER.splitlines()]
    return {line.split(" | ")[0].strip("| "): line for line in rows}


def main(seeds: int, jobs: int, only: list[str]) -> int:
    rows, broken = recorded() if only else {}, 0
    files = [path for path in sorted((ROOT / "experiments").glob("*.toml")) if not only or path.stem in only]
    with Progress() as bar, ProcessPoolExecutor(jobs) as pool:
        task = bar.add_task("experiments", total=len(files) * seeds)
        runs = {path: [pool.submit(play, path, seed) for seed in range(1, seeds + 1)] for path in files}
        for path, futures in runs.items():
            found: list[Findings] = []
            for future in futures:
                result = future.result()
                broken += 1 if result is None else len(result.broken)
                found += [result] if result else []
                bar.advance(task)
            if found:
                rows[path.stem] = row(path.stem, found)
                print(rows[path.stem], flush=True)
    told = ["# Real processes under faults", "", HEADER, *(rows[name] for name in sorted(rows))]
    RESULTS.write_text("\n".join(told) + "\n")
    return 1 if broken else 0


if __name__ == "__main__":
    given = [int(word) for word in sys.argv[1:3]]
    sys.exit(main(*(given + [3, 1][len(given) :]), sys.argv[3:]))
