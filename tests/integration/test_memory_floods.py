"""Real processes with little memory: clients that make an instance hold much, beside clients that do not."""

from __future__ import annotations

import asyncio
import pathlib
from collections import Counter

import pytest

from tests.support.flooded_instance import FloodedInstance, SoundClient
from tests.support.flooding_clients import DEPARTING_CLIENTS, FLOODS, Flood, FloodingClient
from tests.support.waiting import MAX_WAIT_S, POLL_INTERVAL_S

SEED = 47
SOUND_CLIENTS = 8
SERVED_DURING_FLOOD = 15
"""Requests of each sound client that are served before a flood ends: some seconds' worth."""
SERVED_DURING_DEPARTURES = 60
"""As `SERVED_DURING_FLOOD`, of clients that go and come again: what each visit leaves behind adds up."""
SERVED_AFTER_FLOOD = 3


async def until_served(clients: list[SoundClient], count: int, instance: FloodedInstance) -> None:
    """Wait until each client has been served `count` more times; check the instance meanwhile."""
    goals = [client.replies["served"] + count for client in clients]
    async with asyncio.timeout(MAX_WAIT_S):
        while any(client.replies["served"] < goal for client, goal in zip(clients, goals, strict=True)):
            instance.check()
            assert not sum((client.replies for client in clients), Counter())["lost"]
            await asyncio.sleep(POLL_INTERVAL_S)


async def flood_instance(
    instance: FloodedInstance,
    floods: tuple[Flood, ...],
    flooding_clients: int,
    served_during_flood: int = SERVED_DURING_FLOOD,
) -> Counter[str]:
    """Flood the instance in one way after the other; return how the sound clients' requests were answered."""
    await instance.start()
    stop_sound = asyncio.Event()
    sound = [SoundClient(number, instance) for number in range(SOUND_CLIENTS)]
    tasks = [asyncio.create_task(client.run(stop_sound)) for client in sound]
    await until_served(sound, 1, instance)
    for flood in floods:
        stop_flood = asyncio.Event()
        flooding = [FloodingClient(number, flood, instance) for number in range(flooding_clients)]
        flooding_tasks = [asyncio.create_task(client.run(stop_flood)) for client in flooding]
        await until_served(sound, served_during_flood, instance)
        assert all(client.connections for client in flooding)
        stop_flood.set()
        await asyncio.gather(*flooding_tasks)
        await until_served(sound, SERVED_AFTER_FLOOD, instance)
    stop_sound.set()
    await asyncio.gather(*tasks)
    instance.check()
    return sum((client.replies for client in sound), Counter())


@pytest.mark.parametrize(
    ("memory_mb", "sockets", "flooding_clients"), [(192, 1024, 60), (96, 1024, 60), (32, 256, 60)]
)
def test_floods_leave_an_instance_within_its_memory_and_sound_clients_served(
    memory_mb: int, sockets: int, flooding_clients: int, tmp_path: pathlib.Path
) -> None:
    """Regression: replies that waited behind an open request, arguments of incomplete commands and nested
    replies were held without a limit: 60 clients took the process over 192 MB, and it was killed."""
    instance = FloodedInstance(tmp_path, memory_mb, sockets, SEED)
    try:
        replies = asyncio.run(flood_instance(instance, FLOODS, flooding_clients))
    finally:
        instance.close()
    assert not replies["lost"]
    assert not replies["failed"]
    assert replies["served"] > 9 * replies["busy"]


def test_clients_that_ask_for_long_values_and_go_leave_an_instance_within_its_memory(
    tmp_path: pathlib.Path,
) -> None:
    """Regression: what a client had held stayed in memory until the garbage collector ran, uncharged: ten
    clients that went and came again took the process over 192 MB, and it was killed."""
    instance = FloodedInstance(tmp_path, 96, 1024, SEED)
    try:
        replies = asyncio.run(flood_instance(instance, (DEPARTING_CLIENTS,), 60, SERVED_DURING_DEPARTURES))
    finally:
        instance.close()
    assert not replies["lost"]
    assert not replies["failed"]
