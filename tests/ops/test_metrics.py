"""Metrics as operators read them."""

from __future__ import annotations

import pathlib
import random

import pytest

from garnetlanding.core.metrics import RequestMetrics, encode
from garnetlanding.core.ports import Failed, Rejected, Served
from tests.support.admin import Office
from tests.support.clock import MS, SECOND
from tests.support.simulated_instance import read_command

# Figures.


def test_the_text_names_every_class_from_the_start() -> None:
    figures = RequestMetrics(["read", "save"])
    for answer in (Served(b""), Rejected(), Failed("x"), Failed("y")):
        figures.record("read", answer)
    assert encode(figures, 7, 3, 1) == (
        "app.success.read:1|c\napp.overload.read:1|c\napp.error.read:2|c\n"
        "app.success.save:0|c\napp.overload.save:0|c\napp.error.save:0|c\n"
        "app.dispatches:0|c\napp.concurrent:7|g\napp.targets:3|g\napp.targets_disabled:1|g\n"
    )


@pytest.mark.parametrize("seed", range(4))
def test_taken_is_ended_and_open_at_every_moment(seed: int, tmp_path: pathlib.Path) -> None:
    w, rng = Office(tmp_path), random.Random(seed)
    peers, sent = [w.peer(w.clients.address) for _ in range(6)], 0
    for _ in range(60):
        match rng.randrange(6):
            case 0 | 1 | 2:
                peer = rng.choice(peers)
                if peer.stream and not peer.closed:
                    sent += 1
                    peer.say(read_command(id=f"r{sent}", d=rng.choice((50, 400)), cell=rng.randrange(3)))
            case 3:
                w.brick.hold = not w.brick.hold
                if not w.brick.hold:
                    w.brick.release()
            case 4:
                w.run(rng.randrange(1, 200) * MS)
            case 5:
                gone = rng.randrange(len(peers))
                peers[gone].close()
                peers[gone] = w.peer(w.clients.address)
        told, figures = w.figures(), w.core.metrics
        assert figures.accepted == sent == figures.ended + told["concurrent"]
        assert told["dispatches"] == len(w.brick.heard) == figures.dispatches
    w.run(SECOND)
    assert w.figures()["concurrent"] == 0
