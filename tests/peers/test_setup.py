"""The operators' configuration section about peers."""

from __future__ import annotations

from typing import Any

import pytest

from garnetlanding import config
from garnetlanding.peers.setup import FleetSetup, read_fleet

# Configuration


@pytest.mark.parametrize(
    ("data", "key"),
    [
        ({"budgets": 1}, "key fleet.budgets"),
        ({"server_connections": 9}, "server_connections: only with"),
        ({"seeds": "x"}, "key fleet.seeds: expected a list"),
        ({"seeds": ["nowhere"]}, "key fleet.seeds.0"),
        ({"seeds": ["host:7"]}, "names no machine by number"),
        ({"advertise": "127.0.0.1:7"}, "key fleet.advertise: only with seeds"),
        ({"other": 1}, "key fleet.other"),
        ({"seeds": ["127.0.0.1:7"], "routes": {"127.0.0.1:7": 5}}, "key fleet.routes.127.0.0.1:7"),
    ],
)
def test_a_fault_in_the_operators_section_names_its_key(data: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        read_fleet(data)


def test_the_operators_section_is_read() -> None:
    assert read_fleet({}) == FleetSetup()
    routes = {"127.0.0.1:7": "127.0.0.2:8"}
    told = read_fleet({"seeds": ["127.0.0.1:7"], "advertise": "[::1]:9", "routes": routes})
    assert told.seeds == ("127.0.0.1:7",)
    assert told.routes == routes
