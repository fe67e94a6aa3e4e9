"""Request counters, kept where the one final answer is known so that every front counts alike.

The names and the form on the metrics page are an output format that operators' tools read.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from garnetlanding.core.ports import Answer, CoreError, Rejected, Served


class MetricsFormatError(CoreError):
    """A line that is not in the form of the metrics page; `line` is that line."""

    def __init__(self, line: str) -> None:
        super().__init__(f"not a figure: {line!r:.60}")
        self.line = line


class RequestMetrics:
    """Counters since the process began.

    Invariant: accepted = ended + open requests, at every moment.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        self.success: Counter[str] = Counter()  # by request class, like the next two
        self.overload: Counter[str] = Counter()
        self.error: Counter[str] = Counter()
        self.classes: dict[str, None] = {}  # an ordered set: in the order in which settings named them
        self.dispatches = 0  # attempts whose last byte is with the kernel
        self.accepted = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Report these classes from now on, with 0 until something is counted."""
        self.classes |= dict.fromkeys(classes)

    @property
    def ended(self) -> int:
        """How many requests have their complete answer."""
        return self.success.total() + self.overload.total() + self.error.total()

    def record(self, cls: str, answer: Answer) -> None:
        """Count one complete answer to a request of the class."""
        if isinstance(answer, Served):
            self.success[cls] += 1
        elif isinstance(answer, Rejected):
            self.overload[cls] += 1
        else:
            self.error[cls] += 1


def encode(metrics: RequestMetrics, concurrent: int, targets: int, disabled: int) -> str:
    """Return the metrics page: a line `app.NAME:VALUE|c` for each counter, `|g` for each gauge.

    `concurrent`: open requests; `targets`: listed backends; `disabled`: those of them that are sent nothing.
    """
    lines: list[str] = []
    for cls in metrics.classes:
        lines.append(f"app.success.{cls}:{metrics.success[cls]}|c")
        lines.append(f"app.overload.{cls}:{metrics.overload[cls]}|c")
        lines.append(f"app.error.{cls}:{metrics.error[cls]}|c")
    lines.append(f"app.dispatches:{metrics.dispatches}|c")
    lines.append(f"app.concurrent:{concurrent}|g")
    lines.append(f"app.targets:{targets}|g")
    lines.append(f"app.targets_disabled:{disabled}|g")
    return "\n".join(lines) + "\n"


def decode(text: str) -> dict[str, int]:
    """Return the metrics of a page by name, as `encode` writes them. Raises MetricsFormatError."""
    values: dict[str, int] = {}
    for line in text.splitlines():
        name, colon, rest = line.rpartition(":")
        value, bar, kind = rest.partition("|")
        if not (colon and bar and name and kind in ("c", "g") and value.isdigit()):
            raise MetricsFormatError(line)
        values[name] = int(value)
    return values


def by_class(values: dict[str, int]) -> dict[str, dict[str, int]]:
    """Return, of decoded metrics, those counted for each class: by class, then by name."""
    classes: dict[str, dict[str, int]] = {}
    for name, value in values.items():
        words = name.split(".", 2)
        if len(words) == 3:
            _, counter, cls = words
            classes.setdefault(cls, {})[counter] = value
    return classes
