"""A long soak under floods: `python -m benchmarks.memory_floods --minutes 10 --seed 1 --memory-mb 96`.

One instance, as a process with that limit on its memory, is flooded in random ways, by a random number of
clients, several ways at once, while sound clients go on. Exits with 1 if the instance ends, uses more memory
than its limit, loses a request of a sound client, or serves a sound client nothing during a flood. The same
seed gives the same floods.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass

import click
from rich.console import Console

from tests.support.flooded_instance import FloodedInstance, SoundClient
from tests.support.flooding_clients import FLOODS, Flood, FloodingClient

SOUND_CLIENTS = 8
SOCKETS = {32: 256}
DEFAULT_SOCKETS = 1024
MAX_FLOODING_CLIENTS = 150
MAX_FLOODS_AT_ONCE = 3
FLOOD_S = (1.0, 6.0)
PAUSE_S = (0.5, 2.0)


@dataclass(frozen=True)
class Choice:
    """What each flood is drawn from: one kind or all, a fixed number of clients or a random one."""

    floods: tuple[Flood, ...]
    clients: int | None

    def draw(self, generator: random.Random) -> tuple[list[Flood], int]:
        """Return the kinds of the next flood, and how many clients each has."""
        most = min(MAX_FLOODS_AT_ONCE, len(self.floods))
        floods = generator.sample(self.floods, generator.randint(1, most))
        clients = self.clients or generator.randint(10, MAX_FLOODING_CLIENTS)
        return floods, clients // len(floods)


async def flood_once(instance: FloodedInstance, choice: Choice, generator: random.Random) -> str:
    """Flood the instance for some seconds; return what was done."""
    floods, count = choice.draw(generator)
    stop = asyncio.Event()
    clients = [FloodingClient(number, flood, instance) for flood in floods for number in range(count)]
    tasks = [asyncio.create_task(client.run(stop)) for client in clients]
    await asyncio.sleep(generator.uniform(*FLOOD_S))
    stop.set()
    await asyncio.gather(*tasks)
    return f"{count} clients each: " + ", ".join(flood.name for flood in floods)


async def soak(
    instance: FloodedInstance, minutes: float, choice: Choice, generator: random.Random, console: Console
) -> int:
    """Flood until the time is over; return the number of breaches."""
    await instance.start()
    stop = asyncio.Event()
    sound = [SoundClient(number, instance) for number in range(SOUND_CLIENTS)]
    tasks = [asyncio.create_task(client.run(stop)) for client in sound]
    ends_at = time.monotonic() + minutes * 60
    breaches = 0
    while time.monotonic() < ends_at:
        before = [client.replies["served"] for client in sound]
        done = await flood_once(instance, choice, generator)
        served = [client.replies["served"] - count for client, count in zip(sound, before, strict=True)]
        instance.check()
        if not min(served):
            breaches += 1
            console.print(f"a sound client was not served: {done}")
        await asyncio.sleep(generator.uniform(*PAUSE_S))
    stop.set()
    await asyncio.gather(*tasks)
    replies: Counter[str] = sum((client.replies for client in sound), Counter())
    console.print(
        f"peak {instance.peak_mb():.1f} MB of {instance.memory_mb}; sound requests: {dict(replies)}"
    )
    return breaches + replies["lost"]


@click.command()
@click.option("--minutes", default=10.0, show_default=True, help="How long.")
@click.option("--seed", default=1, show_default=True, help="Of the floods.")
@click.option("--memory-mb", default=192, show_default=True, help="The limit of the instance's memory.")
@click.option("--flood", type=click.Choice([flood.name for flood in FLOODS]), help="Only this kind.")
@click.option("--clients", type=int, help="How many flooding clients; random if not given.")
def main(minutes: float, seed: int, memory_mb: int, flood: str | None, clients: int | None) -> None:
    """Run the soak."""
    choice = Choice(tuple(kind for kind in FLOODS if flood in (None, kind.name)), clients)
    with tempfile.TemporaryDirectory() as folder:
        sockets = SOCKETS.get(memory_mb, DEFAULT_SOCKETS)
        instance = FloodedInstance(pathlib.Path(folder), memory_mb, sockets, seed)
        try:
            breaches = asyncio.run(soak(instance, minutes, choice, random.Random(seed), Console()))
        finally:
            instance.close()
    sys.exit(1 if breaches else 0)


if __name__ == "__main__":
    main()
