"""Test support: a simulated instance settles once the kernel has delivered all traffic."""

from __future__ import annotations

from dataclasses import replace

import pytest

from garnetlanding.emulator.backend import EmulatedBackend
from garnetlanding.emulator.discovery import EmulatedEndpoint
from garnetlanding.resp import codec
from tests.support.loopback import TcpSocket, TcpState, traffic_in_transit, undelivered
from tests.support.simulated_instance import SimulatedInstance, read_command

LONG_VALUE = b"v" * (8 << 20)  # more than the kernel buffers for one connection
AT_REST = TcpSocket(
    local=("127.0.0.1", 1),
    remote=("127.0.0.1", 2),
    state=TcpState.ESTABLISHED,
    bytes_sent=100,
    bytes_received=100,
    bytes_not_sent=0,
    segments_unacknowledged=0,
    unread=0,
    writable=True,
    accept_queue=0,
    accept_queue_max=0,
)


def test_settle_returns_once_a_long_value_has_reached_its_client() -> None:
    instance = SimulatedInstance(unsent_bytes=2 * len(LONG_VALUE), reply_bytes=2 * len(LONG_VALUE))
    backend = instance.server(EmulatedBackend)
    backend.scripted_responses = [b"*3\r\n" + codec.encode_bulk(LONG_VALUE) + b"$-1\r\n$-1\r\n"]
    instance.list_endpoints(EmulatedEndpoint("b0", backend.address, 0))
    client = instance.connect(instance.start_resp_listener().address)
    assert client.send_bytes(read_command()) == codec.encode_bulk(LONG_VALUE)
    assert not traffic_in_transit()


@pytest.mark.parametrize(
    ("sender", "receiver", "in_transit"),
    [
        pytest.param({}, {}, False, id="at rest"),
        pytest.param({"bytes_sent": 101}, {}, True, id="a byte sent and not received"),
        pytest.param({"bytes_not_sent": 5}, {}, True, id="unsent, receiver has read everything"),
        pytest.param({"bytes_not_sent": 5}, {"unread": 9}, False, id="unsent, receiver does not read"),
        pytest.param(
            {"bytes_not_sent": 5, "segments_unacknowledged": 1},
            {"unread": 9},
            True,
            id="unsent until an acknowledgement",
        ),
        pytest.param(
            {"segments_unacknowledged": 1, "writable": False},
            {"unread": 9},
            True,
            id="send buffer full until an acknowledgement",
        ),
        pytest.param({"segments_unacknowledged": 1}, {}, False, id="received and not acknowledged"),
        pytest.param({"state": TcpState.FIN_WAIT_1}, {}, True, id="end sent and not received"),
        pytest.param(
            {"state": TcpState.FIN_WAIT_1}, {"state": TcpState.CLOSE_WAIT}, False, id="end received"
        ),
    ],
)
def test_in_transit_is_traffic_that_the_kernel_delivers_without_the_receiver(
    sender: dict[str, object], receiver: dict[str, object], in_transit: bool
) -> None:
    sending = replace(AT_REST, **sender)  # type: ignore[arg-type]  # fields by name
    receiving = replace(AT_REST, **receiver)  # type: ignore[arg-type]  # fields by name
    assert bool(undelivered(sending, receiving)) == in_transit
