"""Writes a process's history: one JSON object a line, each with the machine's monotonic time.

The time is read anew for each line, not the turn's: a process that is held up within a turn hears what others
said after the turn began, and its lines must not seem to come before theirs.

Each line is with the kernel before the next thing happens, so that SIGKILL takes nothing that was written.
That costs a system call a request, which is why it is off in service.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from typing import Any

from garnetlanding.core.ports import Answer, Failed, Rejected, RequestSpec


class History:
    def __init__(self, path: str, who: str, life: int, clock: Callable[[], int]) -> None:
        """Raises OSError where the file cannot be written. Lines of earlier lives stay in it."""
        self.who, self.life, self._clock = who, life, clock
        self._fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self.note("start")

    def note(self, what: str, **more: Any) -> None:
        line = {"t": self._clock(), "who": self.who, "life": self.life, "what": what, **more}
        os.write(self._fd, json.dumps(line, separators=(",", ":")).encode() + b"\n")

    def believed(self, what: str, parts: dict[str, float], until: int) -> None:
        """What part of each volume (`parts`), or of what all heads share (`shares`), is this head's; it looks
        again before it sends past `until`."""
        self.note(what, until=until, parts={name: round(part, 4) for name, part in parts.items()})

    def request_ended(
        self,
        ask: RequestSpec,
        answer: Answer,
        began_us: int,
        ended_us: int,
        attempts: list[tuple[str, str, int, int]],
    ) -> None:
        outcome = {Rejected: "refused", Failed: "failed"}.get(type(answer), "served")
        self.note(
            "answered",
            id=_id(ask),
            volume=ask.volume,
            units=ask.units,
            began=began_us,
            outcome=outcome,
            attempts=[[node, ended, sent] for node, ended, sent, _ in attempts],
        )


def _id(ask: RequestSpec) -> str:
    words: tuple[bytes, ...] = getattr(ask.work, "words", ())
    return words[2].decode("ascii", "replace") if len(words) > 2 else ""
