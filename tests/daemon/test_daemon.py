"""A complete daemon: it starts, serves both protocols, follows its endpoint list and shuts down."""

from __future__ import annotations

import pytest

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux
from garnetlanding.store.cached_endpoints import ENDPOINT_PREFIX
from tests.support.clock import MS, SECOND
from tests.support.daemon import PLATFORM_SETTINGS, SLOW_SETTINGS, SimulatedDaemon
from tests.support.simulated_instance import read_command


def test_daemon_serves_resp_and_9p_clients_and_follows_the_endpoint_list() -> None:
    instance = SimulatedDaemon({"ninep": True})
    assert instance.client().send_bytes(read_command()) == b"$0\r\n\r\n"
    ninep_client = instance.client(1)
    ninep_client.send_bytes(p9.encode(p9.NOTAG, p9.Tversion(8192, "9P2000")))
    ninep_client.send_bytes(p9.encode(1, p9.Tattach(0, p9.NOFID, "ann", "x")))
    walked = ninep_client.send_bytes(p9.encode(1, p9.Twalk(0, 1, ("doc",))))
    assert p9.decode(walked[4], walked[7:]) == p9.Rwalk(
        (instance.file_server.disk.qid(instance.file_server.disk.find("doc")),)
    )
    assert [type(message) for message in instance.file_server.received] == [
        p9.Tversion,
        codec_linux.Tlattach,
        p9.Twalk,
        p9.Tclunk,
    ]
    other = instance.server(EmulatedBackend)
    instance.discovery.publish(
        EmulatedEndpoint("b0", instance.backend.address, 0, "DRAINING"),
        EmulatedEndpoint("b1", other.address, 0),
    )
    instance.settle()
    instance.client().send_bytes(read_command("r2"))
    assert len(other.received) == 1
    assert set(instance.daemon.store.with_prefix(ENDPOINT_PREFIX)) == {
        ENDPOINT_PREFIX + "b0",
        ENDPOINT_PREFIX + "b1",
    }


@pytest.mark.parametrize(("before", "after"), [("pushed", "on_request"), ("on_request", "pushed")])
def test_endpoint_list_is_followed_in_either_membership_mode_and_after_a_reload(
    before: str, after: str
) -> None:
    instance = SimulatedDaemon(settings=PLATFORM_SETTINGS | {"MembershipMode": before})
    assert instance.discovery.calls == ["/v1/servers?follow=1&since=4"]
    instance.platform_config = instance.platform_config | {
        "settings": PLATFORM_SETTINGS | {"MembershipMode": after}
    }
    instance.daemon.reload()
    instance.settle()
    assert len(instance.discovery.calls) == 1, "the open watch continues"
    instance.discovery.connections[0].write(b"0\r\n\r\n")
    instance.run(2 * SECOND)
    assert len(instance.discovery.calls) == 2
    other = instance.server(EmulatedBackend)
    instance.discovery.publish(
        EmulatedEndpoint("b0", instance.backend.address, 0, "DRAINING"),
        EmulatedEndpoint("b1", other.address, 0),
    )
    instance.settle()
    instance.client().send_bytes(read_command("r2"))
    assert len(other.received) == 1
    assert not instance.backend.received


def test_backend_drained_with_an_attempt_in_flight_answers_it_and_gets_no_new_one() -> None:
    instance = SimulatedDaemon(settings=PLATFORM_SETTINGS | {"MembershipMode": "pushed"})
    instance.backend.scripted_responses = [None]
    client, late = instance.client(), instance.client()
    client.send_bytes(read_command())
    command = read_command("r2", volume="w")
    late.send_bytes(command[:-8])
    instance.discovery.publish(EmulatedEndpoint("b0", instance.backend.address, 0, "DRAINING"))
    instance.settle()
    late.send_bytes(command[-8:])
    assert len(instance.backend.received) == 1, "a command completed after the drain began is not sent there"
    instance.backend.release()
    instance.settle()
    assert client.received == b"$0\r\n\r\n", "the attempt in flight is answered"
    instance.run(SECOND, 50 * MS)
    assert late.received.startswith(b"-BUSY")
    assert len(instance.backend.received) == 1


def test_shutdown_serves_clients_until_draining_and_answers_every_open_request() -> None:
    """Closing connections at once would leave clients without an instance until this one has restarted."""
    instance = SimulatedDaemon(settings=SLOW_SETTINGS)
    instance.backend.scripted_responses = [None]
    busy, idle = instance.client(), instance.client()
    busy.send_bytes(read_command(d=3000))
    instance.daemon.scheduler.spawn(instance.daemon.shut_down)
    instance.run(300 * MS)
    late = instance.client()
    assert late.send_bytes(read_command("r2", d=3000, volume="w")) == b"$0\r\n\r\n"
    assert not idle.closed
    instance.run(instance.daemon.limits.shutdown_serve_us - 350 * MS)
    assert idle.send_bytes(read_command("r3", d=3000, volume="w")) == b"$0\r\n\r\n"
    assert not late.closed
    instance.run(100 * MS)
    assert late.closed
    assert idle.closed
    assert not busy.closed
    assert instance.connect(instance.daemon.listeners[0].address).closed, "no longer accepting"
    instance.backend.release()
    instance.settle()
    instance.run(50 * MS)
    assert busy.received == b"$0\r\n\r\n"
    assert busy.closed
    assert instance.daemon.scheduler._stopped


def test_shutdown_rejects_requests_still_open_before_sigkill() -> None:
    instance = SimulatedDaemon(settings=SLOW_SETTINGS)
    instance.backend.scripted_responses = [None]
    slow = instance.client()
    instance.daemon.scheduler.spawn(instance.daemon.shut_down)
    instance.run(SECOND)
    slow.send_bytes(read_command(d=60_000))
    instance.run(instance.daemon.limits.shutdown_reject_us - SECOND + 50 * MS)
    assert slow.received == b"-ERR ending\r\n"
    assert slow.closed
    assert instance.daemon.scheduler._stopped


def test_shutdown_without_clients_ends_after_the_minimum_time_of_accepting() -> None:
    instance = SimulatedDaemon()
    instance.daemon.scheduler.spawn(instance.daemon.shut_down)
    instance.run(instance.daemon.limits.shutdown_accept_us + 50 * MS)
    assert instance.daemon.scheduler._stopped
