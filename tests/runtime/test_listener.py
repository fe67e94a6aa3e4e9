"""The client listener: pipelining and shutdown."""

from __future__ import annotations

from garnetlanding.resp import codec
from tests.support.clock import SECOND
from tests.support.runtime import BrickWorld
from tests.support.simulated_instance import LoopbackClient, read_command


def test_pipelined_replies_keep_command_order_when_served_out_of_order() -> None:
    w = BrickWorld()
    w.brick.data = {b"k1": b"one", b"k2": b"two"}
    w.brick.script = [None]
    w.client.say(read_command("r1", key="k1"))
    assert w.client.say(read_command("r2", key="k2")) == b""
    w.brick.release()
    w.settle()
    assert w.client.got == codec.bulk(b"one") + codec.bulk(b"two")


def test_shutdown_closes_idle_clients_and_waits_for_busy_ones() -> None:
    w = BrickWorld()
    front = w.front()
    idle, busy = w.peer(front.address), w.peer(front.address)
    w.brick.script = [None]
    busy.say(read_command())
    front.stop_accepting()
    front.close_idle()
    w.settle()
    assert not idle.closed, "it has only just connected: what it asks may be on its way"
    w.run(w.limits.new_us)
    front.close_idle()
    w.settle()
    assert idle.closed
    assert not busy.closed
    w.brick.release()
    w.settle()
    assert busy.got == b"$0\r\n\r\n"
    assert busy.closed
    assert len(front) == 0
    late = LoopbackClient(w, front.address)
    assert late.closed
    assert SECOND
