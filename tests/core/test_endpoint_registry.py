"""The endpoint list combined with the backends that operators have disabled."""

from __future__ import annotations

from garnetlanding.core.endpoint_registry import EndpointRegistry
from garnetlanding.core.ports import EndpointListing
from garnetlanding.decision.interface import Endpoint, EndpointState
from tests.support.decision_bench import up_endpoint


def test_inconsistent_entries_are_named_and_the_last_one_for_a_backend_holds() -> None:
    registry = EndpointRegistry()

    def listing(*entries: Endpoint, complete: bool = True) -> EndpointListing:
        return EndpointListing(entries, {e.backend: "10.0.0.1:1" for e in entries}, complete)

    assert registry.apply(listing(up_endpoint("a", 0), up_endpoint("b", 1))) == []
    drains = Endpoint("a", 0, "z", EndpointState.DRAINING)
    assert registry.apply(listing(up_endpoint("a", 0), drains, complete=False)) == ["a is listed twice"]
    assert registry.address_of("a") is None
    assert registry.address_of("b")
    assert registry.apply(listing(up_endpoint("b", 7), complete=False)) == ["b moved from cell 1 to 7"]
    assert registry.apply(listing()) == ["complete list is empty, 2 backends were known"]
    assert registry.address_of("b") is None


def test_a_disabled_backend_drains_until_enabled_and_then_warms_up() -> None:
    registry = EndpointRegistry()
    entries = (up_endpoint("a", 0), up_endpoint("b", 1))
    registry.apply(EndpointListing(entries, {"a": "10.0.0.1:1", "b": "10.0.0.2:1"}, True))
    [disabled] = registry.set_disabled(frozenset({"a", "not-listed"}), 100)
    assert disabled.state is EndpointState.DRAINING
    assert disabled.admin_disabled
    assert registry.address_of("a") is None
    assert registry.unavailable == 1
    assert registry.is_known("not-listed")
    assert not registry.is_known("c")
    assert (
        registry.effective_entry(up_endpoint("a", 0)) == disabled
    ), "whatever state a list reports meanwhile"
    [enabled] = registry.set_disabled(frozenset({"not-listed"}), 200)
    assert (enabled.backend, enabled.state, enabled.started_us) == ("a", EndpointState.UP, 200)
    assert registry.address_of("a") == "10.0.0.1:1"
    assert registry.unavailable == 0


def test_the_digest_of_disabled_names_depends_on_the_set_alone() -> None:
    registry = EndpointRegistry()
    assert registry.disabled_digest == ""
    registry.set_disabled(frozenset({"a", "head/1"}), 0)
    digest = registry.disabled_digest
    assert len(digest) == 8
    assert registry.instance_disabled(1)
    assert not registry.instance_disabled(0)
    registry.set_disabled(frozenset(), 0)
    registry.set_disabled(frozenset({"head/1", "a"}), 0)
    assert registry.disabled_digest == digest


def test_a_backend_that_a_complete_list_has_dropped_warms_up_no_more_from_its_enabling() -> None:
    registry = EndpointRegistry()
    listed = EndpointListing((up_endpoint("a", 0),), {"a": "10.0.0.1:1"}, True)
    registry.apply(listed)
    registry.set_disabled(frozenset({"a"}), 100)
    registry.set_disabled(frozenset(), 200)
    assert registry.effective_entry(up_endpoint("a", 0)).started_us == 200
    registry.apply(EndpointListing((), {}, True))
    registry.apply(listed)
    assert registry.effective_entry(up_endpoint("a", 0)).started_us == 0


def test_a_terminated_backend_is_no_anomaly_whatever_its_cell() -> None:
    registry = EndpointRegistry()
    registry.apply(EndpointListing((up_endpoint("a", 0),), {"a": "10.0.0.1:1"}, True))
    gone = Endpoint("a", 5, "z", EndpointState.GONE)
    assert registry.apply(EndpointListing((gone,), {"a": ""}, False)) == []
    assert len(registry) == 0


def test_a_disabled_backend_that_is_not_up_keeps_its_listed_state() -> None:
    registry = EndpointRegistry()
    registry.set_disabled(frozenset({"a"}), 100)
    for state in (EndpointState.DRAINING, EndpointState.GONE):
        entry = Endpoint("a", 0, "z", state)
        assert registry.effective_entry(entry) == entry


def test_a_backend_that_restarted_after_it_was_enabled_warms_up_from_its_restart() -> None:
    registry = EndpointRegistry()
    registry.apply(EndpointListing((up_endpoint("a", 0),), {"a": "10.0.0.1:1"}, True))
    registry.set_disabled(frozenset({"a"}), 100)
    registry.set_disabled(frozenset(), 200)
    assert registry.effective_entry(up_endpoint("a", 0, started=300)).started_us == 300
