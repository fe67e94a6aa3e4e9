"""Puts the audit of one head together."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from garnetlanding.audit.audited_module import AuditedModule
from garnetlanding.audit.files import AuditFiles
from garnetlanding.audit.recorder import Recorder
from garnetlanding.audit.setup import AuditSetup
from garnetlanding.core.engine import RequestEngine


class Talking(Protocol):
    """What carries the messages of other heads."""

    last_heard: list[int]

    @property
    def said(self) -> int: ...


def start(
    setup: AuditSetup,
    core: RequestEngine,
    sources: Mapping[str, Callable[[], str]],
    name: str,
    life: int,
    wall_ms: Callable[[], int],
    talk: Callable[[], Talking | None],
) -> tuple[Recorder, AuditFiles]:
    """Raises OSError and segments.Damage: a head whose audit cannot be written does not start, so that
    nobody finds out when it is needed."""
    files = AuditFiles(setup.folder, name, life, setup.limits, setup.sync, core.now, wall_ms)

    def said() -> int:
        found = talk()
        return found.said if found else 0

    def heard() -> list[int]:
        found = talk()
        return found.last_heard if found else []

    recorder = Recorder(
        setup.limits,
        sources,
        lambda: core.settings.instance_id,
        lambda: (core.metrics.accepted, core.metrics.accepted - core.open_requests),
        said,
        heard,
        files.keep,
    )
    core.module = AuditedModule(core.module, recorder)
    return recorder, files
