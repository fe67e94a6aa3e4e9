"""Charts of recorded results: reads the tables under benchmarks/results and draws them beside.

python -m benchmarks.figures
"""

from __future__ import annotations

import pathlib
from typing import Any

RESULTS = pathlib.Path(__file__).parent / "results"
Table = list[dict[str, str]]


def tables(text: str) -> list[Table]:
    """Every table of a page, each row by the names of its columns."""
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


def bars(axes: Any, rows: Table, name: str, columns: list[str]) -> None:
    labels = [row[name] for row in rows]
    height = 0.8 / len(columns)
    for i, column in enumerate(columns):
        values = [float(row[column].split(",")[0]) for row in rows]
        axes.barh([y + i * height for y in range(len(rows))], values, height, label=column)
    axes.set_yticks([y + 0.4 - height / 2 for y in range(len(rows))], labels, fontsize=7)
    axes.invert_yaxis()
    axes.legend(fontsize=7)


def main() -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    leases = tables((RESULTS / "leases.md").read_text())
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 3.5))
    bars(axes[0], leases[1], next(iter(leases[1][0])), ["fixed parts", "leases"])
    axes[0].axvline(0.9, color="grey", linestyle=":")
    bars(axes[1], leases[0], next(iter(leases[0][0])), ["greatest sum of parts"])
    axes[1].axvline(1.0, color="red", linestyle=":")
    figure.tight_layout()
    figure.savefig(RESULTS / "leases.png", dpi=110)

    heads = tables((RESULTS / "verdicts.md").read_text())[0]
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 3.5))
    count = [int(row["heads"]) for row in heads]
    axes[0].plot(
        count,
        [float(row["ratio"]) for row in heads],
        marker="o",
        label="sent to a silent server, told / untold",
    )
    for column in ("s until under a tenth, untold", "s until under a tenth, told"):
        axes[1].plot(count, [float(row[column]) for row in heads], marker="o", label=column)
    for one in axes:
        one.set_xlabel("heads")
        one.set_ylim(0)
        one.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(RESULTS / "verdicts.png", dpi=110)

    runs = tables((RESULTS / "lab.md").read_text())[0]
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 8))
    bars(axes[0], runs, "experiment", ["greatest sum of parts", "greatest sum of even parts"])
    axes[0].axvline(1.0, color="red", linestyle=":")
    bars(axes[1], runs, "experiment", ["share of the limits used"])
    figure.tight_layout()
    figure.savefig(RESULTS / "lab.png", dpi=110)


if __name__ == "__main__":
    main()
