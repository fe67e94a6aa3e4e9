"""A subsystem that is off is not imported, and neither is the daemon's module that composes it."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
from typing import Any

import pytest

from tests.support.daemon import NINEP, PLATFORM_CONFIG, SETTINGS_WITH_PEERS

# Modules of optional subsystems, each by the package or module whose import shows that it is on.
OPTIONAL = [
    "garnetlanding.audit",
    "garnetlanding.choices.subset_tracker",
    "garnetlanding.daemon.admin",
    "garnetlanding.daemon.audit",
    "garnetlanding.daemon.fencing",
    "garnetlanding.daemon.history",
    "garnetlanding.daemon.ninep",
    "garnetlanding.daemon.peer_group",
    "garnetlanding.daemon.replication",
    "garnetlanding.daemon.subset",
    "garnetlanding.daemon.telemetry",
    "garnetlanding.history",
    "garnetlanding.ninep",
    "garnetlanding.ops",
    "garnetlanding.peers",
    "garnetlanding.store.follower",
    "garnetlanding.store.persister",
    "garnetlanding.store.writer_machine",
    "garnetlanding.telemetry",
]
PROGRAM = """
import json, sys
from garnetlanding import config
from garnetlanding.daemon import Daemon
platform, operator, optional = json.loads(sys.argv[1])
Daemon(config.read(platform, operator)).start()
imported = [name for name in optional if name in sys.modules]
print(json.dumps(imported))
"""

PEERS = {
    "settings": SETTINGS_WITH_PEERS,
    "peer_listen": "127.0.0.1:0",
    "peers": ["127.0.0.1:9", "127.0.0.1:9"],
}
FOLLOWER = {"role": "follower", "writer": "n0", "address": "127.0.0.1:9"}


def imported_modules(platform: dict[str, Any], operator: dict[str, Any], folder: pathlib.Path) -> set[str]:
    """Start a daemon in a process of its own and return which optional modules it has imported."""
    arguments = json.dumps([PLATFORM_CONFIG | platform, operator, OPTIONAL])
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM, arguments],
        capture_output=True,
        text=True,
        check=True,
        env={"TMPDIR": str(folder), "PYTHONPATH": ":".join(sys.path)},
        cwd=folder,
    )
    return {name.removeprefix("garnetlanding.") for name in json.loads(completed.stdout)}


@pytest.mark.parametrize(
    ("platform", "operator", "expected"),
    [
        pytest.param({}, {}, set(), id="nothing"),
        pytest.param(
            {"peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:9"]}, {}, set(), id="peers-forbidden"
        ),
        pytest.param({"ops": "127.0.0.1:0"}, {}, {"ops", "daemon.admin"}, id="admin"),
        pytest.param(PEERS, {}, {"peers"}, id="peers"),
        pytest.param(PEERS, {"fleet": {}}, {"peers", "daemon.peer_group", "daemon.fencing"}, id="peer-group"),
        pytest.param({}, {"ninep": NINEP}, {"ninep", "daemon.ninep"}, id="ninep"),
        pytest.param(
            {},
            {"telemetry": {"endpoint": "http://127.0.0.1:9"}},
            {"telemetry", "daemon.telemetry"},
            id="telemetry",
        ),
        pytest.param({}, {"history": {"file": "history"}}, {"history", "daemon.history"}, id="history"),
        pytest.param({}, {"audit": {"folder": "audit"}}, {"audit", "daemon.audit"}, id="audit"),
        pytest.param(
            {},
            {"choices": {"subset": 2}},
            {"choices.subset_tracker", "daemon.subset"},
            id="subset",
        ),
        pytest.param(
            {}, {"store": {"role": "alone", "file": "store.json"}}, {"store.persister"}, id="store-file"
        ),
        pytest.param(
            {},
            {"store": {"role": "writer", "writer": "n1", "address": "127.0.0.1:0"}},
            {"daemon.replication", "store.writer_machine"},
            id="writer",
        ),
        pytest.param(
            {},
            {"store": FOLLOWER},
            {"daemon.replication", "store.follower"},
            id="follower",
        ),
        pytest.param(
            {},
            {"store": FOLLOWER | {"current_s": 5}},
            {"daemon.replication", "daemon.fencing", "store.follower"},
            id="follower-that-must-be-current",
        ),
    ],
)
def test_daemon_imports_only_the_subsystems_that_are_on(
    platform: dict[str, Any], operator: dict[str, Any], expected: set[str], tmp_path: pathlib.Path
) -> None:
    assert imported_modules(platform, operator, tmp_path) == expected
