"""Decisions of a run that follow from its seed: network faults, streams, load."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.lab import plan
from garnetlanding.lab.limits import SECOND
from garnetlanding.lab.streams import Link, Passage, Streams
from garnetlanding.lab.weather import Weather
from tests.support.lab import CALM, fault

# Decisions


def test_same_seed_gives_the_same_requests_and_network_faults() -> None:
    half = dict(share=0.5, span_us=9)
    storm = replace(CALM, faults=(fault("loss", 0, 4, **half), fault("double", 0, 4, **half)))
    assert plan.draw(storm) == plan.draw(storm) != plan.draw(replace(storm, seed=6))
    one, two = Weather(storm), Weather(storm)
    fates = [one.fate(0, 1, n) for n in range(200)]
    assert fates == [two.fate(0, 1, n) for n in range(200)]
    assert {len(f) for f in fates} == {0, 1, 2}
    assert 70 < one.fates["loss"] < 130


def test_partition_holds_in_one_direction_between_its_times() -> None:
    weather = Weather(replace(CALM, faults=(fault("cut", 1, 2, sender=0, receiver=1),)))
    assert weather.fate(0, 1, SECOND) == []
    assert weather.fate(1, 0, SECOND) == [0]
    assert weather.fate(0, 1, SECOND - 1) == weather.fate(0, 1, 2 * SECOND) == [0]
    assert weather.fate(0, 2, SECOND) == [0]


def test_stream_is_delayed_or_broken_by_its_link_and_time() -> None:
    faults = (
        fault("lag", 1, 2, link="brick", who=0, brick=1, span_us=9),
        fault("freeze", 1, 2, link="client"),
        fault("trickle", 0, 4, link="discovery", who=1, span_us=5),
        fault("reset", 3, 4, link="brick"),
    )
    streams = Streams(replace(CALM, faults=faults), 32)
    at = SECOND
    assert streams.passage(Link("brick", 0, 1), at) == Passage(9)
    assert streams.passage(Link("brick", 0, 2), at) == streams.passage(Link("brick", 1, 1), at) == Passage()
    assert streams.passage(Link("client", 2), at + 400_000) == Passage(600_000)
    assert streams.passage(Link("discovery", 1), 0) == Passage(0, 32, 5)
    assert streams.refuses(Link("brick", 2, 0), 3 * at)
    assert not streams.refuses(Link("client", 2), 3 * at)
    assert streams.resets() == [3 * at]
    assert not Streams(CALM, 32).named("brick")


def test_busiest_instance_changes_at_the_set_times() -> None:
    moving = replace(CALM, load=replace(CALM.load, shift_us=SECOND, lead=1.0))
    heads = {(r.volume, r.at_us // SECOND): r.head for r in plan.draw(moving)}
    assert len({heads[plan.volume_name(1), second] for second in (0, 1)}) == 2
