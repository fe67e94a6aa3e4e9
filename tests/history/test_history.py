"""The history of a daemon: when its lines are written."""

from __future__ import annotations

import json
import pathlib

from tests.support.clock import MS
from tests.support.daemon import SimulatedDaemon


def test_a_line_has_the_time_at_which_it_is_written(tmp_path: pathlib.Path) -> None:
    """The event-loop iteration's time would put what a held-up process receives before it was sent."""
    file = tmp_path / "n1.history"
    h = SimulatedDaemon({"history": {"file": str(file)}})
    h.time += 7 * MS
    assert h.daemon.assembly.history
    h.daemon.assembly.history.serving()
    assert json.loads(file.read_text().splitlines()[-1])["t"] == h.time
