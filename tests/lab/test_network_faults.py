"""The reproducible decisions of a run: network faults, stream faults and load."""

from __future__ import annotations

from dataclasses import replace

from garnetlanding.lab.faults import FaultKind, LinkKind
from garnetlanding.lab.limits import SECOND
from garnetlanding.lab.network_faults import NetworkFaultModel
from garnetlanding.lab.stream_faults import ForwardingSchedule, StreamFaultModel, StreamLink
from garnetlanding.lab.workload import draw_requests, volume_name
from tests.support.lab import BASELINE, fault


def test_same_seed_gives_the_same_requests_and_network_faults() -> None:
    half = dict(probability=0.5, span_us=9)
    faulty = replace(
        BASELINE, faults=(fault(FaultKind.LOSS, 0, 4, **half), fault(FaultKind.DUPLICATE, 0, 4, **half))
    )
    assert draw_requests(faulty) == draw_requests(faulty) != draw_requests(replace(faulty, seed=6))
    one = NetworkFaultModel(faulty)
    two = NetworkFaultModel(faulty)
    delays = [one.delays_us(0, 1, n) for n in range(200)]
    assert delays == [two.delays_us(0, 1, n) for n in range(200)]
    assert {len(f) for f in delays} == {0, 1, 2}
    assert 70 < one.counts["loss"] < 130


def test_partition_holds_in_one_direction_between_its_times() -> None:
    network = NetworkFaultModel(
        replace(BASELINE, faults=(fault(FaultKind.PARTITION, 1, 2, sender=0, receiver=1),))
    )
    assert network.delays_us(0, 1, SECOND) == []
    assert network.delays_us(1, 0, SECOND) == [0]
    assert network.delays_us(0, 1, SECOND - 1) == network.delays_us(0, 1, 2 * SECOND) == [0]
    assert network.delays_us(0, 2, SECOND) == [0]


def test_stream_is_delayed_or_broken_by_its_link_and_time() -> None:
    faults = (
        fault(FaultKind.LAG, 1, 2, link=LinkKind.BACKEND, instance=0, backend=1, span_us=9),
        fault(FaultKind.FREEZE, 1, 2, link=LinkKind.CLIENT),
        fault(FaultKind.TRICKLE, 0, 4, link=LinkKind.DISCOVERY, instance=1, span_us=5),
        fault(FaultKind.RESET, 3, 4, link=LinkKind.BACKEND),
    )
    streams = StreamFaultModel(replace(BASELINE, faults=faults), 32)
    at = SECOND
    assert streams.forwarding_schedule(StreamLink(LinkKind.BACKEND, 0, 1), at) == ForwardingSchedule(9)
    assert (
        streams.forwarding_schedule(StreamLink(LinkKind.BACKEND, 0, 2), at)
        == streams.forwarding_schedule(StreamLink(LinkKind.BACKEND, 1, 1), at)
        == ForwardingSchedule()
    )
    assert streams.forwarding_schedule(StreamLink(LinkKind.CLIENT, 2), at + 400_000) == ForwardingSchedule(
        600_000
    )
    assert streams.forwarding_schedule(StreamLink(LinkKind.DISCOVERY, 1), 0) == ForwardingSchedule(0, 32, 5)
    assert streams.is_reset(StreamLink(LinkKind.BACKEND, 2, 0), 3 * at)
    assert not streams.is_reset(StreamLink(LinkKind.CLIENT, 2), 3 * at)
    assert streams.reset_times_us() == [3 * at]
    assert not StreamFaultModel(BASELINE, 32).affects(LinkKind.BACKEND)


def test_busiest_instance_changes_at_the_set_times() -> None:
    moving = replace(
        BASELINE, workload=replace(BASELINE.workload, shift_interval_us=SECOND, busiest_fraction=1.0)
    )
    instances = {(r.volume, r.start_us // SECOND): r.instance for r in draw_requests(moving)}
    assert len({instances[volume_name(1), second] for second in (0, 1)}) == 2
