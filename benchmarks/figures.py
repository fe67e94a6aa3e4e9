"""Charts of recorded results: reads the tables under benchmarks/results and draws them beside.

python -m benchmarks.figures
"""

from __future__ import annotations

import pathlib
from typing import Any

from benchmarks import leases, verdicts

RESULTS = pathlib.Path(__file__).parent / "results"
Table = list[dict[str, str]]


def tables(text: str) -> list[Table]:
    """Return every table of a page, each row by the names of its columns."""
    found: list[Table] = []
    names: list[str] = []
    for line in text.splitlines():
        if not line.startswith("|"):
            names = []
            continue
        cells = [cell.strip() for cell in line.strip("| ").split(" | ")]
        if not names:
            names = cells
            found.append([])
        elif not set(line) <= set("|- "):
            found[-1].append(dict(zip(names, cells, strict=True)))
    return found


def bars(axes: Any, rows: Table, label_column: str, columns: list[str]) -> None:
    """Draw a group of horizontal bars for each row, one bar for each column."""
    labels = [row[label_column] for row in rows]
    height = 0.8 / len(columns)
    for i, column in enumerate(columns):
        values = [float(row[column].split(",")[0]) for row in rows]
        axes.barh([y + i * height for y in range(len(rows))], values, height, label=column)
    axes.set_yticks([y + 0.4 - height / 2 for y in range(len(rows))], labels, fontsize=7)
    axes.invert_yaxis()
    axes.legend(fontsize=7)


def draw_leases(pyplot: Any) -> None:
    """Draw what an instance can use of a limit with leases beside its even quota, and the sums of quotas."""
    sums, uses = tables((RESULTS / "leases.md").read_text())[:2]
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 3.5))
    bars(axes[0], uses, next(iter(uses[0])), [leases.EVEN_QUOTA, leases.LEASES])
    axes[0].axvline(0.9, color="grey", linestyle=":")
    bars(axes[1], sums, next(iter(sums[0])), [leases.GREATEST_SUM])
    axes[1].axvline(1.0, color="red", linestyle=":")
    save(figure, "leases.png")


def draw_verdicts(pyplot: Any) -> None:
    """Draw by the number of instances what an unresponsive backend costs, with gossip and without."""
    rows = tables((RESULTS / "verdicts.md").read_text())[0]
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 3.5))
    instances = [int(row["instances"]) for row in rows]
    ratios = [float(row["ratio"]) for row in rows]
    axes[0].plot(
        instances, ratios, marker="o", label="attempts at an unresponsive backend, with / without gossip"
    )
    for column in verdicts.SECONDS_UNTIL_AVOIDED:
        axes[1].plot(instances, [float(row[column]) for row in rows], marker="o", label=column)
    for axis in axes:
        axis.set_xlabel("instances")
        axis.set_ylim(0)
        axis.legend(fontsize=8)
    save(figure, "verdicts.png")


def draw_lab_runs(pyplot: Any) -> None:
    """Draw every experiment's greatest sums of quotas and its use of the limits."""
    rows = tables((RESULTS / "lab.md").read_text())[0]
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 8))
    bars(axes[0], rows, "experiment", ["greatest sum of parts", "greatest sum of even parts"])
    axes[0].axvline(1.0, color="red", linestyle=":")
    bars(axes[1], rows, "experiment", ["share of the limits used"])
    save(figure, "lab.png")


def save(figure: Any, name: str) -> None:
    """Write a figure to the results."""
    figure.tight_layout()
    figure.savefig(RESULTS / name, dpi=110)


def main() -> None:
    """Draw all charts."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    draw_leases(pyplot)
    draw_verdicts(pyplot)
    draw_lab_runs(pyplot)


if __name__ == "__main__":
    main()
