"""The history of a daemon: when its lines are written."""

from __future__ import annotations

import json
import pathlib

from tests.support.clock import MS
from tests.support.daemon import SimulatedDaemon


def test_a_line_has_the_time_at_which_it_is_written(tmp_path: pathlib.Path) -> None:
    """With the iteration's time, a delayed process would seem to receive messages before they were sent."""
    file = tmp_path / "n1.history"
    instance = SimulatedDaemon({"history": {"file": str(file)}})
    instance.time += 7 * MS
    assert instance.daemon.assembly.history
    instance.daemon.assembly.history.serving()
    assert json.loads(file.read_text().splitlines()[-1])["t"] == instance.time
