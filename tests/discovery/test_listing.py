"""Parsing and validation of endpoint lists."""

from __future__ import annotations

from typing import Any

import pytest

from garnetlanding.decision.interface import EndpointState
from garnetlanding.discovery.listing import ListError, read_list
from garnetlanding.emulator.discovery import EmulatedEndpoint
from tests.support.clock import SECOND

ENTRY = EmulatedEndpoint("s-1", "10.1.0.18:6379", 3).entry()


def test_an_entry_is_read_into_the_cores_terms() -> None:
    entry = ENTRY | {"startedAtMs": 1_700_000_000_000, "lifecycle": "DRAINING"}
    version, listing = read_list(
        {"generation": 41, "reset": True, "instances": [entry]}, lambda us: us - 1_699_999_999_000_000
    )
    assert (version, listing.complete, listing.addresses) == (41, True, {"s-1": "10.1.0.18:6379"})
    [endpoint] = listing.entries
    assert (endpoint.state, endpoint.cell, endpoint.started_us) == (EndpointState.DRAINING, 3, SECOND)
    long_ago = read_list({"instances": [ENTRY]}, lambda us: us - 5)[1].entries[0]
    assert long_ago.started_us == 0, "0 means long ago on any clock"


@pytest.mark.parametrize(
    ("change", "field"),
    [
        pytest.param({"lifecycle": "ASLEEP"}, "lifecycle", id="lifecycle"),
        pytest.param({"cell": "x"}, "cell", id="cell-text"),
        pytest.param({"cell": True}, "cell", id="cell-boolean"),
        pytest.param({"instanceId": None}, "instanceId", id="instanceId"),
        pytest.param({"hostPort": 5}, "hostPort", id="hostPort"),
        pytest.param({"startedAtMs": []}, "startedAtMs", id="startedAtMs"),
    ],
)
def test_an_unreadable_entry_raises_an_error_that_names_its_field(change: dict[str, Any], field: str) -> None:
    with pytest.raises(ListError, match=field):
        read_list({"instances": [ENTRY | change]}, lambda us: us)
