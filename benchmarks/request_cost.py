"""CPU time a request of this source tree against another one, as a ratio of one run.

python -m benchmarks.request_cost TREE [--rounds N] [--requests N]

TREE is the folder of the other tree, for example a worktree of the commit before. An instance of each runs at
the same time, with backends of its own. Rounds of requests go to one and the other in turn; the first round
warms up and does not count. Prints the CPU time a request of each kind of request, and the ratio of the sums
with that of the lowest and highest round.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import tempfile
from dataclasses import dataclass, field

import click

from tests.support.flooded_instance import (
    LARGE_VALUES_CELL,
    STREAMED_VALUES_CELL,
    FloodedInstance,
    encode_read,
    encode_write,
    read_reply,
)

MEMORY_MB = 192
SOCKETS = 1024
CLIENTS = 8
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MICROSECONDS = 1_000_000
STAT_UTIME, STAT_STIME = 13, 14
"""Positions of the CPU times in /proc/PID/stat, see proc(5)."""


@dataclass(frozen=True)
class Kind:
    """One kind of request: its cell, the bytes that it writes, and its part of the requests of a round."""

    name: str
    cell: int
    written_bytes: int = 0
    fraction: float = 1.0

    def encode(self, volume: int, number: int) -> bytes:
        """Return the command of one request."""
        if self.written_bytes:
            return encode_write(volume, number, number, self.cell, bytes(self.written_bytes))
        return encode_read(volume, number, number, self.cell)


KINDS = (
    Kind("short reads", 0),
    Kind("writes of 4 KiB", 1, written_bytes=4096),
    Kind("values of 64 KiB", LARGE_VALUES_CELL, fraction=0.25),
    Kind("streamed values of 4 MiB", STREAMED_VALUES_CELL, fraction=0.02),
)


@dataclass
class Side:
    """The instance of one tree, and the CPU seconds a request of each round, by kind."""

    name: str
    instance: FloodedInstance
    costs: dict[str, list[float]] = field(default_factory=dict)
    requests: int = 0

    def cpu_s(self) -> float:
        """Return the CPU time that the process has used so far."""
        assert self.instance.process
        assert self.instance.process.poll() is None, "the instance has ended"
        stat = pathlib.Path(f"/proc/{self.instance.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[STAT_UTIME - 2]) + int(fields[STAT_STIME - 2])) / TICKS_PER_S

    async def play_round(self, kind: Kind, requests: int) -> float:
        """Send the requests, one at a time over each connection; return the CPU seconds a request."""
        before = self.cpu_s()
        each = max(1, int(requests * kind.fraction) // CLIENTS)
        await asyncio.gather(*(self._play_client(kind, volume, each) for volume in range(CLIENTS)))
        return (self.cpu_s() - before) / (each * CLIENTS)

    async def _play_client(self, kind: Kind, volume: int, requests: int) -> None:
        reader, writer = await asyncio.open_connection(*self.instance.host_port)
        for _ in range(requests):
            self.requests += 1
            writer.write(kind.encode(volume, self.requests))
            line = await read_reply(reader)
            assert line.startswith(b"$"), line
        writer.close()


async def compare(other: pathlib.Path, rounds: int, requests: int) -> None:
    """Play all rounds and print the figures."""
    with tempfile.TemporaryDirectory() as folder:
        sides = []
        for seed, (name, source) in enumerate((("other", other), ("this", None)), start=1):
            (pathlib.Path(folder) / name).mkdir()
            instance = FloodedInstance(pathlib.Path(folder) / name, MEMORY_MB, SOCKETS, seed, source)
            sides.append(Side(name, instance))
        try:
            for side in sides:
                await side.instance.start()
            for number in range(rounds + 1):
                for kind in KINDS:
                    for side in sides if number % 2 else reversed(sides):
                        cost = await side.play_round(kind, requests)
                        if number:
                            side.costs.setdefault(kind.name, []).append(cost)
        finally:
            for side in sides:
                side.instance.close()
    for kind in KINDS:
        print(report(kind, *(side.costs[kind.name] for side in sides)))


def report(kind: Kind, other: list[float], this: list[float]) -> str:
    """Return a line of figures for one kind of request."""
    ratios = sorted(cost / cost_before for cost_before, cost in zip(other, this, strict=True))
    means_us = [sum(costs) / len(costs) * MICROSECONDS for costs in (other, this)]
    return (
        f"{kind.name}: {means_us[0]:.0f} us before, {means_us[1]:.0f} us now, "
        f"ratio {means_us[1] / means_us[0]:.3f} (rounds {ratios[0]:.3f} to {ratios[-1]:.3f})"
    )


@click.command()
@click.argument("other", type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path))
@click.option("--rounds", default=8, help="rounds that count")
@click.option("--requests", default=2000, help="short requests of a round")
def main(other: pathlib.Path, rounds: int, requests: int) -> None:
    """Compare the CPU time a request of this tree with that of the tree OTHER."""
    asyncio.run(compare(other, rounds, requests))


if __name__ == "__main__":
    main()
