"""Every experiment of `experiments/` with several seeds, on real processes: a table of what was found.

    python -m benchmarks.lab_runs [SEEDS]
"""

from __future__ import annotations

import pathlib
import shutil
import sys
import tempfile
from dataclasses import replace

from rich.progress import Progress

from garnetlanding.lab import checks
from garnetlanding.lab.experiment import load
from garnetlanding.lab.run import LabError, run

ROOT = pathlib.Path(__file__).parent.parent
HEADER = ("| experiment | runs | asked | served | refused | failed | unanswered, its head killed or stopped "
          "| most over a limit, units | share of the limits used | greatest sum of parts | rules broken |\n"
          "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")


def row(name: str, found: list[checks.Findings]) -> str:
    def total(outcome: str) -> int:
        return sum(f.outcomes[outcome] for f in found)
    cells: list[object] = [
        name, len(found), sum(f.asked for f in found), total("served"), total("refused"), total("failed"),
        total("lost") + total("none"), f"{max(f.over for f in found):.2f}",
        f"{sum(f.used for f in found) / len(found):.2f}", f"{max(f.parts_most for f in found):.3f}",
        sum(len(f.broken) for f in found)]
    return f"| {' | '.join(map(str, cells))} |"


def main(seeds: int) -> int:
    lines, broken = ["# Real processes under faults", "", HEADER], 0
    files = sorted((ROOT / "experiments").glob("*.toml"))
    with Progress() as bar:
        task = bar.add_task("experiments", total=len(files) * seeds)
        for path in files:
            found: list[checks.Findings] = []
            for seed in range(1, seeds + 1):
                folder = pathlib.Path(tempfile.mkdtemp(prefix="lab-"))
                try:
                    found.append(run(replace(load(str(path)), seed=seed), folder / "run").findings)
                except LabError as problem:
                    print(f"{path.stem}, seed {seed}: {problem}; see {folder}", file=sys.stderr)
                    broken += 1
                    continue
                if found[-1].sound:
                    shutil.rmtree(folder)
                else:
                    print(f"{path.stem}, seed {seed}: {found[-1].broken[:3]}; see {folder}", file=sys.stderr)
                bar.advance(task)
            broken += sum(len(f.broken) for f in found)
            if found:
                lines.append(row(path.stem, found))
                print(lines[-1])
    (pathlib.Path(__file__).parent / "results" / "lab.md").write_text("\n".join(lines) + "\n")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 3))
