"""The administrative service: readiness, disabling and enabling backends."""

from __future__ import annotations

from garnetlanding.decision import interface as api
from tests.support.admin import Office
from tests.support.clock import MS, SECOND, T0
from tests.support.simulated_instance import read_command


def test_a_head_is_ready_once_its_list_is_known_and_it_takes_clients(office: Office) -> None:
    assert office.call("/-/ready", "GET")[0] == 200
    office.told = False
    assert office.call("/-/ready", "GET")[0] == 503
    office.told = True
    office.clients.stop_accepting()
    assert office.call("/-/ready", "GET")[0] == 503


# Bans.


def test_a_brick_taken_out_gets_nothing_until_put_back_whatever_lists_say(office: Office) -> None:
    client = office.peer(office.clients.address)
    assert client.say(read_command(id="r1")).startswith(b"$")
    assert [office.call(f"/-/bricks/b0/{what}")[0] for what in ("disable", "disable")] == [200, 200]
    seen = len(office.brick.heard)
    office.list(*office.boxes)
    office.list(office.boxes[0], whole=False)
    office.peer(office.clients.address).say(read_command(id="r2", d=400))
    office.run(500 * MS)
    assert len(office.brick.heard) == seen
    assert office.figures()["targets_disabled"] == 1 and office.figures()["targets"] == 2
    assert office.call("/-/bricks/b0/enable")[0] == 200, "one call back undoes both"
    assert office.call("/-/bricks/b0/enable")[0] == 200, "one that isn't out is in use"
    assert client.say(read_command(id="r3")).startswith(b"$")
    assert office.figures()["targets_disabled"] == 0
    assert office.call("/-/bricks/b9/disable")[0] == office.call("/-/bricks/b9/enable")[0] == 404


def test_work_for_the_only_brick_of_a_cell_is_refused_at_once_when_it_is_taken_out(office: Office) -> None:
    office.brick.hold = True
    clients = [office.peer(office.clients.address) for _ in range(8)]
    for i, client in enumerate(clients):
        client.say(read_command(f"r{i}", volume=f"v{i}", d=1500))
    assert len(office.brick.heard) == 4, "the rest are held"
    office.call("/-/bricks/b0/disable")
    assert [c.got for c in clients[4:]] == [b"-BUSY 1000\r\n"] * 4
    late = office.peer(office.clients.address)
    assert late.say(read_command("late", d=1500)) == b"-BUSY 1000\r\n"
    office.brick.release()
    office.settle()
    assert all(c.got.startswith(b"$") for c in clients[:4]), "what it has it may finish"


def test_a_ban_outlasts_the_brick_s_absence_from_the_list(office: Office) -> None:
    office.call("/-/bricks/b0/disable")
    office.list(office.boxes[1])
    assert office.figures()["targets_disabled"] == 0, "only listed ones count"
    office.list(*office.boxes)
    assert office.core.endpoints.address_of("b0") is None
    office.list(office.boxes[1])
    assert office.call("/-/bricks/b0/enable")[0] == 200, "known, as it is out"
    office.list(*office.boxes)
    assert office.core.endpoints.address_of("b0")


def test_a_brick_put_back_is_cold_though_the_list_does_not_tell_of_its_restart(office: Office) -> None:
    told: list[api.Endpoint] = []
    handle = office.core.module.handle

    def listen(now: int, events: list[api.Event]) -> list[api.Action]:
        told.extend(e for event in events if isinstance(event, api.EndpointListUpdate) for e in event.entries)
        return handle(now, events)

    office.core.module.handle = listen  # type: ignore[method-assign]
    office.call("/-/bricks/b0/disable")
    assert told[-1].state is api.EndpointState.DRAINING
    office.run(SECOND)
    office.call("/-/bricks/b0/enable")
    enabled = told[-1]
    assert enabled.state is api.EndpointState.UP
    assert enabled.started_us == T0 + SECOND
    office.list(*office.boxes)
    assert next(e for e in told[::-1] if e.node == "b0").started_us == T0 + SECOND, "and stays so"


def test_an_attempt_half_written_to_a_brick_taken_out_is_finished_or_never_ran(office: Office) -> None:
    office.brick.hold = True
    client = office.peer(office.clients.address)
    client.say(read_command(id="r1"))
    assert len(office.brick.heard) == 1, "written whole before the ban"
    office.call("/-/bricks/b0/disable")
    office.brick.release()
    office.settle()
    assert client.got.startswith(b"$"), "what it has it may finish"
