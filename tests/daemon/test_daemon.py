"""A whole daemon: it starts, serves both protocols, follows its endpoint list and shuts down."""

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
    h = SimulatedDaemon({"ninep": True})
    assert h.client().say(read_command()) == b"$0\r\n\r\n"
    tool = h.client(1)
    tool.say(p9.encode(p9.NOTAG, p9.Tversion(8192, "9P2000")))
    tool.say(p9.encode(1, p9.Tattach(0, p9.NOFID, "ann", "x")))
    walked = tool.say(p9.encode(1, p9.Twalk(0, 1, ("doc",))))
    assert p9.decode(walked[4], walked[7:]) == p9.Rwalk((h.files.disk.qid(h.files.disk.find("doc")),))
    assert [type(m) for m in h.files.received] == [p9.Tversion, codec_linux.Tlattach, p9.Twalk, p9.Tclunk]
    other = h.server(EmulatedBackend)
    h.discovery.publish(
        EmulatedEndpoint("b0", h.brick.address, 0, "DRAINING"), EmulatedEndpoint("b1", other.address, 0)
    )
    h.settle()
    h.client().say(read_command("r2"))
    assert len(other.received) == 1
    assert set(h.daemon.store.with_prefix(ENDPOINT_PREFIX)) == {
        ENDPOINT_PREFIX + "b0",
        ENDPOINT_PREFIX + "b1",
    }


@pytest.mark.parametrize(("before", "after"), [("pushed", "on_request"), ("on_request", "pushed")])
def test_endpoint_list_is_followed_in_either_membership_mode_and_after_a_reload(
    before: str, after: str
) -> None:
    h = SimulatedDaemon(settings=PLATFORM_SETTINGS | {"MembershipMode": before})
    assert h.discovery.calls == ["/v1/servers?follow=1&since=4"]
    h.file = h.file | {"settings": PLATFORM_SETTINGS | {"MembershipMode": after}}
    h.daemon.reload()
    h.settle()
    assert len(h.discovery.calls) == 1, "the watch that stands goes on"
    h.discovery.connections[0].write(b"0\r\n\r\n")
    h.run(2 * SECOND)
    assert len(h.discovery.calls) == 2
    other = h.server(EmulatedBackend)
    h.discovery.publish(
        EmulatedEndpoint("b0", h.brick.address, 0, "DRAINING"), EmulatedEndpoint("b1", other.address, 0)
    )
    h.settle()
    h.client().say(read_command("r2"))
    assert len(other.received) == 1
    assert not h.brick.received


def test_backend_drained_with_an_attempt_in_flight_answers_it_and_gets_no_new_one() -> None:
    h = SimulatedDaemon(settings=PLATFORM_SETTINGS | {"MembershipMode": "pushed"})
    h.brick.scripted_responses = [None]
    client, late = h.client(), h.client()
    client.say(read_command())
    half = read_command("r2", volume="w")
    late.say(half[:-8])
    h.discovery.publish(EmulatedEndpoint("b0", h.brick.address, 0, "DRAINING"))
    h.settle()
    late.say(half[-8:])
    assert len(h.brick.received) == 1, "what came half before the drain goes nowhere"
    h.brick.release()
    h.settle()
    assert client.got == b"$0\r\n\r\n", "what was out is answered"
    h.run(SECOND, 50 * MS)
    assert late.got.startswith(b"-BUSY")
    assert len(h.brick.received) == 1


def test_shutdown_serves_clients_until_draining_and_answers_every_open_request() -> None:
    """Closed at once, a client's connection leaves it nobody to ask until the head is back."""
    h = SimulatedDaemon(settings=SLOW_SETTINGS)
    h.brick.scripted_responses = [None]
    busy, idle = h.client(), h.client()
    busy.say(read_command(d=3000))
    h.daemon.scheduler.spawn(h.daemon.end)
    h.run(300 * MS)
    late = h.client()
    assert late.say(read_command("r2", d=3000, volume="w")) == b"$0\r\n\r\n"
    assert not idle.closed
    h.run(h.daemon.limits.term_serve_us - 350 * MS)
    assert idle.say(read_command("r3", d=3000, volume="w")) == b"$0\r\n\r\n"
    assert not late.closed
    h.run(100 * MS)
    assert late.closed
    assert idle.closed
    assert not busy.closed
    assert h.peer(h.daemon.listeners[0].address).closed, "no longer accepting"
    h.brick.release()
    h.settle()
    h.run(50 * MS)
    assert busy.got == b"$0\r\n\r\n"
    assert busy.closed
    assert h.daemon.scheduler._stopped


def test_shutdown_rejects_requests_still_open_before_sigkill() -> None:
    h = SimulatedDaemon(settings=SLOW_SETTINGS)
    h.brick.scripted_responses = [None]
    slow = h.client()
    h.daemon.scheduler.spawn(h.daemon.end)
    h.run(SECOND)
    slow.say(read_command(d=60_000))
    h.run(h.daemon.limits.term_reject_us - SECOND + 50 * MS)
    assert slow.got == b"-ERR ending\r\n"
    assert slow.closed
    assert h.daemon.scheduler._stopped


def test_shutdown_without_clients_ends_as_soon_as_accepting_may() -> None:
    h = SimulatedDaemon()
    h.daemon.scheduler.spawn(h.daemon.end)
    h.run(h.daemon.limits.term_accept_us + 50 * MS)
    assert h.daemon.scheduler._stopped
