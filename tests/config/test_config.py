"""Configuration files: the platform's and the operators', their limits and their errors."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Any

import pytest

from example import __main__ as example
from garnetlanding import config
from garnetlanding.daemon import Daemon
from garnetlanding.decision.interface import Effect
from garnetlanding.store.cached_endpoints import SETTINGS_KEY
from garnetlanding.store.setup import StoreSetup
from tests.support.clock import MS, SECOND, T0
from tests.support.daemon import EXPORT, NINEP, PLATFORM_CONFIG, PLATFORM_SETTINGS

ROOT = pathlib.Path(__file__).parents[2]


def operator_with_export(**change: Any) -> dict[str, Any]:
    return {"ninep": NINEP | {"export": [EXPORT | change]}}


def test_platform_configuration_is_read_with_fitted_limits() -> None:
    parsed = config.read(PLATFORM_CONFIG)
    assert (parsed.name, parsed.seed, parsed.settings.max_attempts) == ("n1", 0x8C1F30D27A5BE964, 4)
    assert parsed.settings.may_cancel
    assert parsed.settings.poll_endpoints
    assert parsed.settings.classes["read"].latency_objective_us == 300_000
    assert (parsed.limits.backend_idle_us, parsed.limits.connect_timeout_us) == (16 * SECOND, 300 * MS)
    assert (
        parsed.limits.client_connections,
        parsed.limits.backend_connections,
        parsed.limits.reserved_backend_connections,
    ) == (822, 341, 170)
    with_ninep = config.read(PLATFORM_CONFIG, {"ninep": NINEP}).limits
    assert (
        with_ninep.client_connections
        + with_ninep.ninep_client_connections
        + with_ninep.ninep_server_connections
        == parsed.limits.client_connections
    )
    assert parsed.operator == config.OperatorConfig(
        store=StoreSetup(writer="n1")
    ), "every optional subsystem is off"


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"name": ""}, "key name"),
        ({"listen": "nowhere"}, "key listen"),
        ({"seed": "xyz"}, "key seed"),
        ({"settings": None}, "key settings"),
        ({"settings": PLATFORM_SETTINGS | {"Me": "zero"}}, "key settings: setting Me"),
        ({"limits": {"sockets": 5}}, "key limits.sockets"),
        ({"limits": {"memory_mb": "x"}}, "limits.memory_mb"),
        ({"known": {"instances": [{}]}}, "key known: field lifecycle"),
        ({"limits": 7}, "key limits"),
    ],
    ids=[
        "name-empty",
        "listen-no-address",
        "seed-not-hexadecimal",
        "settings-missing",
        "settings-me-no-number",
        "sockets-too-few",
        "memory-no-number",
        "known-without-lifecycle",
        "limits-no-table",
    ],
)
def test_faulty_platform_configuration_is_rejected_with_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        config.read(PLATFORM_CONFIG | change)


@pytest.mark.parametrize(
    ("operator", "key"),
    [
        ({"nine": {}}, "key nine: not known"),
        ({"ninep": {"listen": "x:1"}}, "key ninep.export"),
        ({"ninep": NINEP | {"listen": "x"}}, "key ninep.listen"),
        ({"ninep": NINEP | {"server_port": 70000}}, "key ninep.server_port"),
        ({"ninep": NINEP | {"export": [EXPORT, EXPORT]}}, "key ninep.export.1.name"),
        (operator_with_export(plan="x"), "ninep.export.0.plan"),
        (
            {"ninep": NINEP | {"clients": 700}},
            "key ninep.clients: 700 and 68 server connections leave 54 of 822",
        ),
        ({"ninep": NINEP | {"server_dialect": "9P3"}}, "key ninep.server_dialect"),
        (operator_with_export(access="rwx"), "ninep.export.0.access"),
        (operator_with_export(change_class="read"), "ninep.export.0.change_class: nothing changes"),
        (operator_with_export(access="rw", change_class="x"), "ninep.export.0.change_class"),
        (operator_with_export(access="rw", change_deadline_ms=0), "ninep.export.0.change_deadline_ms"),
        (operator_with_export(unit_bytes=0), "ninep.export.0.unit_bytes"),
        ({"telemetry": {"endpoint": "https://x:1"}}, "key telemetry.endpoint"),
        ({"telemetry": {"endpoint": "http://x"}}, "key telemetry.endpoint"),
        ({"store": {"role": "leader"}}, "key store.role"),
        ({"store": {"role": "writer", "writer": "n2", "address": "x:1"}}, "key store.writer"),
    ],
    ids=[
        "section-unknown",
        "export-missing",
        "listen-no-address",
        "server-port-too-large",
        "export-name-twice",
        "plan-unknown",
        "clients-too-many",
        "server-dialect-unknown",
        "access-unknown",
        "change-class-of-read-only-export",
        "change-class-unknown",
        "change-deadline-zero",
        "unit-bytes-zero",
        "telemetry-endpoint-https",
        "telemetry-endpoint-without-port",
        "store-role-unknown",
        "store-writer-is-another",
    ],
)
def test_faulty_operator_file_is_rejected_with_its_key(operator: dict[str, Any], key: str) -> None:
    with pytest.raises(config.ConfigError, match=key):
        config.read(PLATFORM_CONFIG, operator)


def test_config_error_has_the_key_and_the_file_as_attributes(tmp_path: pathlib.Path) -> None:
    with pytest.raises(config.ConfigError) as faulty:
        config.read(PLATFORM_CONFIG | {"seed": "xyz"})
    assert (faulty.value.key, faulty.value.file) == ("seed", None)
    assert isinstance(faulty.value.__cause__, ValueError)
    with pytest.raises(config.ConfigError) as nested:
        config.read(PLATFORM_CONFIG, operator_with_export(plan="x"))
    assert nested.value.key == "ninep.export.0.plan"
    missing = str(tmp_path / "missing.json")
    with pytest.raises(config.ConfigError) as unreadable:
        config.load(missing, env={})
    assert (unreadable.value.key, unreadable.value.file) == (None, missing)
    assert isinstance(unreadable.value.__cause__, FileNotFoundError)


def test_limits_of_a_small_machine_fit_its_memory_and_descriptors() -> None:
    """Regression: with fixed sizes the 4,096 buffers alone exceeded the 32 MB of the smallest instance."""
    small = config.read(PLATFORM_CONFIG | {"limits": {"memory_mb": 32, "sockets": 256}}).limits
    assert small.client_connections + small.reserved_backend_connections + small.reserved_sockets == 256
    assert small.client_connections >= 256 // 3
    held_bytes = small.pool_max * small.buffer_bytes  # by all connections together, open requests included
    assert (
        small.program_bytes
        + 256 * small.connection_bytes
        + held_bytes
        + small.record_bytes * (small.store_log_entries + small.telemetry_queue)
    ) <= 32 << 20
    assert small.open_bytes <= held_bytes
    assert small.open_requests * small.request_bytes <= held_bytes
    reserved_uses = (
        small.lingering_connections + small.ops_lingering_connections + 8
    )  # standard streams, listeners, signals, discovery
    assert reserved_uses <= small.reserved_sockets
    assert small.open_requests >= small.client_connections
    assert small.unsent_bytes > 2 * small.value_bytes
    with pytest.raises(config.ConfigError, match="limits.memory_mb"):
        config.read(PLATFORM_CONFIG | {"limits": {"memory_mb": 31, "sockets": 256}})


def test_deployed_operator_file_is_valid() -> None:
    text = (ROOT / "deploy/operator.toml").read_text().replace("#[", "[")
    lines = [line[1:] if line[:1] == "#" and " = " in line else line for line in text.splitlines()]
    settings = PLATFORM_SETTINGS | {
        "Classes": [
            PLATFORM_SETTINGS["Classes"][0] | {"Name": name} for name in ("segment-read", "draft-save")
        ],
        "Contracts": [PLATFORM_SETTINGS["Contracts"][0] | {"Name": "standard"}],
    }
    toml = tomllib.loads("\n".join(lines))
    parsed = config.read(PLATFORM_CONFIG | {"name": "n2", "settings": settings}, toml)
    assert parsed.operator.ninep
    assert parsed.operator.telemetry
    assert parsed.operator.store.role == "follower"


def test_example_configurations_are_valid_and_match_the_example_servers() -> None:
    parsed = config.load(str(ROOT / "example/config.json"), str(ROOT / "example/operator.toml"), env={})
    assert parsed.operator.ninep
    assert parsed.operator.ninep.server_port == int(example.FILES.rpartition(":")[2])
    assert parsed.discovery == example.DISCOVERY
    pair = [config.load(str(ROOT / f"example/pushed-{me}.json"), env={}) for me in (0, 1)]
    assert [parsed.settings.instance_id for parsed in pair] == [0, 1]
    assert not any(parsed.settings.poll_endpoints for parsed in pair)
    for parsed, other in zip(pair, reversed(pair), strict=True):
        assert parsed.peers
        assert other.peers
        assert list(parsed.peers.peers.values()) == [other.peers.listen]
        assert parsed.discovery == example.DISCOVERY


def test_writable_export_derives_a_class_whose_requests_are_not_repeated() -> None:
    operator = operator_with_export(access="rw", change_deadline_ms=2000)
    daemon = Daemon(config.read(PLATFORM_CONFIG, operator), lambda: T0)
    derived = daemon.core.settings.classes["read/once"]
    assert derived.effect is Effect.UNSAFE
    assert derived.priority_weight == daemon.core.settings.classes["read"].priority_weight
    assert (
        "read/once"
        not in Daemon(config.read(PLATFORM_CONFIG, operator_with_export()), lambda: T0).core.settings.classes
    )
    daemon.store.put(SETTINGS_KEY, PLATFORM_SETTINGS)
    daemon.core.run_iteration()
    assert "read/once" in daemon.core.settings.classes, "also after a reload"


def test_environment_variables_override_keys_of_the_file() -> None:
    env = {"RELAY_DISCOVERY": "10.0.0.9:1", "RELAY_NAME": "", "UNRELATED": "x"}
    parsed = config.read(PLATFORM_CONFIG, env=env)
    assert parsed.discovery == "10.0.0.9:1"
    assert parsed.file_discovery == PLATFORM_CONFIG["discovery"], "a reload compares the file's own address"
    assert parsed.name == PLATFORM_CONFIG["name"], "an empty variable overrides nothing"


def test_the_path_of_the_file_comes_from_the_environment_if_none_is_given() -> None:
    path = str(ROOT / "example/config.json")
    assert config.load(None, env={"RELAY_CONFIG": path}) == config.load(path, env={})
    with pytest.raises(config.ConfigError) as missing:
        config.load(None, env={})
    assert missing.value.key == "RELAY_CONFIG"
