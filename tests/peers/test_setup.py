"""Reading of the operators' section `[fleet]`."""

from __future__ import annotations

from typing import Any

import pytest

from garnetlanding import config
from garnetlanding.peers.setup import FleetSetup, read_fleet


@pytest.mark.parametrize(
    ("data", "key"),
    [
        pytest.param({"budgets": 1}, "key fleet.budgets", id="number as flag"),
        pytest.param(
            {"server_connections": 9}, "server_connections: only with", id="connections without budgets"
        ),
        pytest.param({"seeds": "x"}, "key fleet.seeds: expected a list", id="seeds are no list"),
        pytest.param({"seeds": ["nowhere"]}, "key fleet.seeds.0", id="seed without port"),
        pytest.param({"seeds": ["host:7"]}, "names no machine by number", id="host name as seed"),
        pytest.param(
            {"advertise": "127.0.0.1:7"}, "key fleet.advertise: only with seeds", id="advertise without seeds"
        ),
        pytest.param({"other": 1}, "key fleet.other", id="unknown key"),
        pytest.param(
            {"seeds": ["127.0.0.1:7"], "routes": {"127.0.0.1:7": 5}},
            "key fleet.routes.127.0.0.1:7",
            id="number as route",
        ),
    ],
)
def test_invalid_fleet_setting_names_its_key(data: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        read_fleet(data)


def test_fleet_section_is_read_with_defaults() -> None:
    assert read_fleet({}) == FleetSetup()
    routes = {"127.0.0.1:7": "127.0.0.2:8"}
    fleet = read_fleet({"seeds": ["127.0.0.1:7"], "advertise": "[::1]:9", "routes": routes})
    assert fleet.seeds == ("127.0.0.1:7",)
    assert fleet.routes == routes
