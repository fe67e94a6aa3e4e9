"""Administrative state that survives the process."""

from __future__ import annotations

import fcntl
import json
import pathlib
import zlib
from typing import Any

import pytest

from garnetlanding import config
from garnetlanding.ops.admin_state import VERSION, AdminState, decode, encode
from garnetlanding.ops.errors import (
    AdminStateError,
    DamagedStateError,
    ForeignStateError,
    StateDamage,
    StateVersionError,
)
from garnetlanding.ops.state_file import StateFile
from tests.support.admin import AdministeredInstance
from tests.support.clock import MS
from tests.support.daemon import PLATFORM_CONFIG


def test_disables_and_drain_survive_the_process_and_reach_the_other_one(tmp_path: pathlib.Path) -> None:
    instance = AdministeredInstance(tmp_path)
    instance.call("/-/bricks/b0/disable")
    other = StateFile(str(tmp_path), "n1")
    assert other.load() == AdminState(frozenset({"b0"}))
    other.update(lambda state: state.disable("b1").drain())
    instance.run(instance.limits.ops_poll_us + 10 * MS)
    assert instance.core.endpoints.disabled == {"b0", "b1"}
    assert not instance.service.accepts_clients
    instance.call("/-/resume")
    both_disabled = AdminState(frozenset({"b0", "b1"}))
    assert other.load_if_changed() == both_disabled, "neither process undoes a change of the other"
    assert other.load_if_changed() is None


def state_bytes(**overrides: Any) -> bytes:
    body = json.dumps({"version": 1, "name": "n1", "banned": [], "draining": False} | overrides).encode()
    return b"%s\n%08x\n" % (body, zlib.crc32(body))


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"", "checksum"),
        (state_bytes()[:-5], "checksum"),
        (state_bytes().replace(b"n1", b"n2"), "checksum"),
        (state_bytes(version=0), "version 0"),
        (state_bytes(name="n2"), "head 'n2'"),
        (state_bytes(banned=[3]), "a field"),
        (state_bytes(draining="no"), "a field"),
        (state_bytes(records=[["b0", 17, 1]]), "a record"),
    ],
    ids=[
        "empty",
        "truncated",
        "changed",
        "version",
        "another-instance",
        "disabled-type",
        "draining-type",
        "record-form",
    ],
)
def test_unusable_state_file_is_logged_and_the_instance_starts_without_it(
    data: bytes, why: str, tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    with pytest.raises(AdminStateError, match=why):
        decode("n1", data)
    (tmp_path / "garnetlanding-n1-operators.json").write_bytes(data)
    instance = AdministeredInstance(tmp_path)
    assert instance.call("/-/ready", "GET")[0] == 200
    assert "state file rejected" in caplog.text
    assert instance.call("/-/bricks/b0/disable")[0] == 200
    stored = (tmp_path / "garnetlanding-n1-operators.json").read_bytes()
    assert decode("n1", stored) == AdminState(frozenset({"b0"}))


def test_errors_of_a_state_file_carry_the_found_and_expected_values() -> None:
    with pytest.raises(StateVersionError) as version:
        decode("n1", state_bytes(version=VERSION + 1))
    assert (version.value.found, version.value.supported) == (VERSION + 1, VERSION)
    with pytest.raises(ForeignStateError) as foreign:
        decode("n1", encode("n2", AdminState()))
    assert (foreign.value.found, foreign.value.expected) == ("n2", "n1")
    with pytest.raises(DamagedStateError) as damaged:
        decode("n1", state_bytes(records=[["b0", 17]]))
    assert damaged.value.damage is StateDamage.RECORD


def test_change_that_cannot_be_stored_does_not_take_effect(tmp_path: pathlib.Path) -> None:
    instance = AdministeredInstance(tmp_path)
    (tmp_path / "garnetlanding-n1-operators.json.new").mkdir()
    assert instance.call("/-/bricks/b0/disable")[0] == 500
    assert instance.core.endpoints.address_of("b0"), "only a change that is stored is confirmed"


def test_change_holds_the_lock_that_excludes_the_other_process(tmp_path: pathlib.Path) -> None:
    file = StateFile(str(tmp_path), "n1")
    lock_path = tmp_path / "garnetlanding-n1-operators.json.lock"

    def change(state: AdminState) -> AdminState:
        with lock_path.open() as lock, pytest.raises(BlockingIOError):
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        return state.disable("b0")

    assert file.update(change).disabled == {"b0"}
    with lock_path.open() as lock:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)


def test_error_for_a_malformed_ops_address_names_the_key() -> None:
    with pytest.raises(config.ConfigError, match="key ops"):
        config.read(PLATFORM_CONFIG | {"ops": "nowhere"})
    assert config.read(PLATFORM_CONFIG, env={"RELAY_OPS": "127.0.0.1:1"}).admin_address == "127.0.0.1:1"
    assert config.read(PLATFORM_CONFIG).admin_address == ""
