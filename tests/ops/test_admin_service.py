"""The admin service: readiness, disabling and enabling backends."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from tests.support.admin import AdministeredInstance
from tests.support.clock import MS, SECOND, T0
from tests.support.simulated_instance import read_command


def test_instance_is_ready_only_with_a_known_endpoint_list_and_an_accepting_listener(
    instance: AdministeredInstance,
) -> None:
    assert instance.call("/-/ready", "GET")[0] == 200
    instance.endpoints_known = False
    assert instance.call("/-/ready", "GET")[0] == 503
    instance.endpoints_known = True
    instance.clients.stop_accepting()
    assert instance.call("/-/ready", "GET")[0] == 503


def test_disabled_backend_gets_no_request_until_enabled_regardless_of_endpoint_lists(
    instance: AdministeredInstance,
) -> None:
    client = instance.connect(instance.clients.address)
    assert client.send_bytes(read_command(id="r1")).startswith(b"$")
    assert [instance.call(f"/-/bricks/b0/{action}")[0] for action in ("disable", "disable")] == [200, 200]
    received = len(instance.backend.received)
    instance.list_endpoints(*instance.endpoints)
    instance.list_endpoints(instance.endpoints[0], complete=False)
    instance.connect(instance.clients.address).send_bytes(read_command(id="r2", d=400))
    instance.run(500 * MS)
    assert len(instance.backend.received) == received
    assert instance.metrics()["targets_disabled"] == 1
    assert instance.metrics()["targets"] == 2
    assert instance.call("/-/bricks/b0/enable")[0] == 200, "one enable undoes both"
    assert instance.call("/-/bricks/b0/enable")[0] == 200, "enabling an enabled backend succeeds"
    assert client.send_bytes(read_command(id="r3")).startswith(b"$")
    assert instance.metrics()["targets_disabled"] == 0
    assert instance.call("/-/bricks/b9/disable")[0] == instance.call("/-/bricks/b9/enable")[0] == 404


def test_requests_queued_for_the_only_backend_of_a_cell_are_rejected_when_it_is_disabled(
    instance: AdministeredInstance,
) -> None:
    instance.backend.holds_responses = True
    clients = [instance.connect(instance.clients.address) for _ in range(8)]
    for i, client in enumerate(clients):
        client.send_bytes(read_command(f"r{i}", volume=f"v{i}", d=1500))
    assert len(instance.backend.received) == 4, "the rest are queued"
    instance.call("/-/bricks/b0/disable")
    assert [client.received for client in clients[4:]] == [b"-BUSY 1000\r\n"] * 4
    late = instance.connect(instance.clients.address)
    assert late.send_bytes(read_command("late", d=1500)) == b"-BUSY 1000\r\n"
    instance.backend.release()
    instance.settle()
    assert all(
        client.received.startswith(b"$") for client in clients[:4]
    ), "attempts in flight are allowed to finish"


def test_backend_stays_disabled_while_it_is_absent_from_the_list(instance: AdministeredInstance) -> None:
    instance.call("/-/bricks/b0/disable")
    instance.list_endpoints(instance.endpoints[1])
    assert instance.metrics()["targets_disabled"] == 0, "only listed backends count"
    instance.list_endpoints(*instance.endpoints)
    assert instance.core.endpoints.address_of("b0") is None
    instance.list_endpoints(instance.endpoints[1])
    assert instance.call("/-/bricks/b0/enable")[0] == 200, "a disabled backend is known"
    instance.list_endpoints(*instance.endpoints)
    assert instance.core.endpoints.address_of("b0")


def test_enabled_backend_warms_up_although_its_listed_start_time_is_unchanged(
    instance: AdministeredInstance,
) -> None:
    observed: list[api.Endpoint] = []
    handle = instance.core.module.handle

    def observe(now: int, events: list[api.Event]) -> list[api.Action]:
        observed.extend(
            entry for event in events if isinstance(event, api.EndpointListUpdate) for entry in event.entries
        )
        return handle(now, events)

    instance.core.module.handle = observe  # type: ignore[method-assign]  # records what the module receives
    instance.call("/-/bricks/b0/disable")
    assert observed[-1].state is api.EndpointState.DRAINING
    instance.run(SECOND)
    instance.call("/-/bricks/b0/enable")
    enabled = observed[-1]
    assert enabled.state is api.EndpointState.UP
    assert enabled.started_us == T0 + SECOND
    instance.list_endpoints(*instance.endpoints)
    assert (
        next(entry for entry in observed[::-1] if entry.backend == "b0").started_us == T0 + SECOND
    ), "the list does not change it"


def test_attempt_in_flight_to_a_disabled_backend_may_finish(instance: AdministeredInstance) -> None:
    instance.backend.holds_responses = True
    client = instance.connect(instance.clients.address)
    client.send_bytes(read_command(id="r1"))
    assert len(instance.backend.received) == 1, "the request is completely written before the disable"
    instance.call("/-/bricks/b0/disable")
    instance.backend.release()
    instance.settle()
    assert client.received.startswith(b"$"), "attempts in flight are allowed to finish"
