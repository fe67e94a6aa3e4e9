"""Metrics in the text format that operators read."""

from __future__ import annotations

import pathlib
import random

import pytest

from garnetlanding.core.metrics import RequestMetrics, encode
from garnetlanding.core.ports import Failed, Rejected, Served
from tests.support.admin import AdministeredInstance
from tests.support.clock import MS, SECOND
from tests.support.simulated_instance import read_command


def test_metrics_text_lists_every_class_from_the_start() -> None:
    metrics = RequestMetrics(["read", "save"])
    for answer in (Served(b""), Rejected(), Failed("x"), Failed("y")):
        metrics.record("read", answer)
    assert encode(metrics, 7, 3, 1) == (
        "app.success.read:1|c\napp.overload.read:1|c\napp.error.read:2|c\n"
        "app.success.save:0|c\napp.overload.save:0|c\napp.error.save:0|c\n"
        "app.dispatches:0|c\napp.concurrent:7|g\napp.targets:3|g\napp.targets_disabled:1|g\n"
    )


@pytest.mark.parametrize("seed", range(4))
def test_accepted_requests_equal_ended_plus_concurrent_at_every_moment(
    seed: int, tmp_path: pathlib.Path
) -> None:
    instance, rng = AdministeredInstance(tmp_path), random.Random(seed)
    peers, sent = [instance.connect(instance.clients.address) for _ in range(6)], 0
    for _ in range(60):
        match rng.randrange(6):
            case 0 | 1 | 2:
                peer = rng.choice(peers)
                if peer.stream and not peer.closed:
                    sent += 1
                    peer.send_bytes(
                        read_command(id=f"r{sent}", d=rng.choice((50, 400)), cell=rng.randrange(3))
                    )
            case 3:
                instance.backend.holds_responses = not instance.backend.holds_responses
                if not instance.backend.holds_responses:
                    instance.backend.release()
            case 4:
                instance.run(rng.randrange(1, 200) * MS)
            case 5:
                closed = rng.randrange(len(peers))
                peers[closed].close()
                peers[closed] = instance.connect(instance.clients.address)
        shown, metrics = instance.metrics(), instance.core.metrics
        assert metrics.accepted == sent == metrics.ended + shown["concurrent"]
        assert shown["dispatches"] == len(instance.backend.received) == metrics.dispatches
    instance.run(SECOND)
    assert instance.metrics()["concurrent"] == 0
