"""Request counters and the metrics page.

The core counts final answers, so that the counts mean the same for all frontends. The names on the metrics
page and its format are read by operators' tools.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from garnetlanding.core.ports import Answer, CoreError, Rejected, Served


class MetricsFormatError(CoreError):
    """A line of a metrics page is malformed; `line` is that line."""

    def __init__(self, line: str) -> None:
        super().__init__(f"malformed metrics line: {line!r:.60}")
        self.line = line


class RequestMetrics:
    """Counters since the process started.

    Invariant: accepted = ended + open requests, at every moment.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        self.success: Counter[str] = Counter()  # by request class, like the next two
        self.overload: Counter[str] = Counter()
        self.error: Counter[str] = Counter()
        self.classes: dict[str, None] = {}  # an ordered set: in the order in which settings named them
        self.dispatches = 0  # attempts that have been written to their backend in full
        self.accepted = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Include these request classes in the metrics page, with 0 until an answer is counted."""
        self.classes |= dict.fromkeys(classes)

    @property
    def ended(self) -> int:
        """The number of requests whose answer is complete."""
        return self.success.total() + self.overload.total() + self.error.total()

    def record(self, request_class: str, answer: Answer) -> None:
        """Count one complete answer to a request of the class."""
        if isinstance(answer, Served):
            self.success[request_class] += 1
        elif isinstance(answer, Rejected):
            self.overload[request_class] += 1
        else:
            self.error[request_class] += 1


def encode(metrics: RequestMetrics, open_requests: int, backends: int, unavailable_backends: int) -> str:
    """Return the metrics page: a line `app.NAME:VALUE|c` for each counter, `|g` for each gauge.

    `backends` counts those that are listed, `unavailable_backends` those of them that receive no requests.
    """
    lines: list[str] = []
    for request_class in metrics.classes:
        lines.append(f"app.success.{request_class}:{metrics.success[request_class]}|c")
        lines.append(f"app.overload.{request_class}:{metrics.overload[request_class]}|c")
        lines.append(f"app.error.{request_class}:{metrics.error[request_class]}|c")
    lines.append(f"app.dispatches:{metrics.dispatches}|c")
    lines.append(f"app.concurrent:{open_requests}|g")
    lines.append(f"app.targets:{backends}|g")
    lines.append(f"app.targets_disabled:{unavailable_backends}|g")
    return "\n".join(lines) + "\n"


def decode(text: str) -> dict[str, int]:
    """Parse a metrics page, as `encode` writes it, into values by name. Raises MetricsFormatError."""
    values: dict[str, int] = {}
    for line in text.splitlines():
        name, colon, rest = line.rpartition(":")
        value, bar, kind = rest.partition("|")
        if not (colon and bar and name and kind in ("c", "g") and value.isdigit()):
            raise MetricsFormatError(line)
        values[name] = int(value)
    return values


def by_class(values: dict[str, int]) -> dict[str, dict[str, int]]:
    """Return the decoded counters of each request class: by class, then by counter name."""
    classes: dict[str, dict[str, int]] = {}
    for name, value in values.items():
        match name.split(".", 2):
            case [_, counter, request_class]:
                classes.setdefault(request_class, {})[counter] = value
    return classes
