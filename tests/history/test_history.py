"""The history of a daemon: when its lines are written."""

from __future__ import annotations

import json
import pathlib

from tests.helpers import MS
from tests.support.daemon import Head


def test_a_historys_lines_have_the_time_at_which_they_are_written(tmp_path: pathlib.Path) -> None:
    """The turn's own time would put what a held-up process hears before what others said meanwhile."""
    file = tmp_path / "n1.history"
    h = Head({"history": {"file": str(file)}})
    h.time += 7 * MS
    assert h.daemon.history
    h.daemon.history.serving()
    assert json.loads(file.read_text().splitlines()[-1])["t"] == h.time
