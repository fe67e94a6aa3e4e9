"""What has become of the requests taken: counted where the one final answer is known, so that every front
counts alike."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from garnetlanding.core.ports import Answer, Rejected, Served


class RequestMetrics:
    """Counts since the process began. accepted = ended + open, at every moment."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.success: Counter[str] = Counter()
        self.overload: Counter[str] = Counter()
        self.error: Counter[str] = Counter()
        self.classes: dict[str, None] = {}
        self.dispatches = 0  # attempts whose last byte is with the kernel
        self.accepted = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Classes are told of from the moment they are in the settings, with 0."""
        self.classes |= dict.fromkeys(classes)

    @property
    def ended(self) -> int:
        return self.success.total() + self.overload.total() + self.error.total()

    def record(self, cls: str, answer: Answer) -> None:
        counts = (
            self.success
            if isinstance(answer, Served)
            else self.overload
            if isinstance(answer, Rejected)
            else self.error
        )
        counts[cls] += 1


def encode(figures: RequestMetrics, concurrent: int, targets: int, disabled: int) -> str:
    """A line for each figure: `app.NAME:VALUE|c` for a count, `|g` for what goes up and down."""
    lines = [
        f"app.{name}.{cls}:{counts[cls]}|c"
        for cls in figures.classes
        for name, counts in (
            ("success", figures.success),
            ("overload", figures.overload),
            ("error", figures.error),
        )
    ]
    lines.append(f"app.dispatches:{figures.dispatches}|c")
    lines += [
        f"app.{name}:{value}|g"
        for name, value in (("concurrent", concurrent), ("targets", targets), ("targets_disabled", disabled))
    ]
    return "\n".join(lines) + "\n"


def decode(text: str) -> dict[str, int]:
    """The figures by name, as `encode` writes them. Raises ValueError, naming the line."""
    figures: dict[str, int] = {}
    for line in text.splitlines():
        name, sep, rest = line.rpartition(":")
        value, bar, kind = rest.partition("|")
        if not (sep and bar and name and kind in ("c", "g") and value.isdigit()):
            raise ValueError(f"not a figure: {line!r:.60}")
        figures[name] = int(value)
    return figures


def by_class(figures: dict[str, int]) -> dict[str, dict[str, int]]:
    """Of the figures, those that are counted for each class, by class."""
    classes: dict[str, dict[str, int]] = {}
    for name, value in figures.items():
        words = name.split(".", 2)
        if len(words) == 3:
            classes.setdefault(words[2], {})[words[1]] = value
    return classes
