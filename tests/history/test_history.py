"""The timestamps of a daemon's history."""

from __future__ import annotations

import json
import pathlib

from tests.support.clock import MS
from tests.support.daemon import SimulatedDaemon


def test_a_line_is_stamped_with_the_time_of_the_write(tmp_path: pathlib.Path) -> None:
    """With the iteration's time, a delayed process would appear to receive messages before they were sent."""
    file = tmp_path / "n1.history"
    instance = SimulatedDaemon({"history": {"file": str(file)}})
    instance.time += 7 * MS
    assert instance.daemon.assembly.history
    instance.daemon.assembly.history.serving()
    assert json.loads(file.read_text().splitlines()[-1])["t"] == instance.time
