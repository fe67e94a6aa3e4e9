"""The cost of 9P in an instance: `python -m benchmarks.ninep_cost` writes results/ninep-cost.{md,json,png}.

Emulated file servers, an instance and the clients are separate processes on loopback. CPU time is that of
the instance, from /proc; latency is measured by the clients. Compare only figures of one run.
"""

from __future__ import annotations

import json
import multiprocessing
import multiprocessing.connection
import os
import pathlib
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager

import click
from rich.console import Console
from rich.table import Table

from garnetlanding.conform.client import Client
from garnetlanding.conform.connection import Options
from garnetlanding.conform.transport import SocketTransport
from garnetlanding.emulator.discovery import Discovery, EmulatedEndpoint
from garnetlanding.emulator.fileserver import FileServer
from garnetlanding.limits import Limits
from garnetlanding.ninep import codec as p9
from garnetlanding.ninep import codec_linux as p9l
from garnetlanding.runtime.buffers import BufferPool
from garnetlanding.runtime.scheduler import Scheduler

ROOT = pathlib.Path(__file__).parent.parent
RESULTS = pathlib.Path(__file__).parent / "results"
TICK = os.sysconf("SC_CLK_TCK")
FILE, BLOCK = 1 << 20, 4096
STEADY = 4  # clients whose latency is measured
VOLUMES = ("a", "b", "c")  # one export each: the steady clients', the flooding client's, the slow reader's


def run_servers(pipe: multiprocessing.connection.Connection) -> None:
    """Run discovery and a file server; their addresses go to the pipe."""
    scheduler, limits = Scheduler(), Limits()
    pool = BufferPool(limits.buffer_bytes, limits.pool_free_max, 1 << 16)
    discovery = Discovery(scheduler, pool, limits)
    tree = {"data": bytes(FILE), **{f"f{i}": b"x" * 100 for i in range(20)}}
    files = FileServer(scheduler, pool, limits, tree=tree)
    files.disk.root.mode |= 0o777
    discovery.endpoints.append(EmulatedEndpoint("f0", files.address, 0))

    def send_heartbeats() -> None:
        while True:
            scheduler.sleep(2_000_000)
            discovery.send_heartbeat()

    scheduler.spawn(send_heartbeats)
    pipe.send((discovery.address, files.address))
    scheduler.run()


def free_port() -> int:
    """Return a port on which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def write_config(folder: pathlib.Path, discovery: str) -> tuple[pathlib.Path, pathlib.Path, str]:
    """Write an instance's two configuration files; return their paths and its 9P address."""
    config = json.loads((ROOT / "example/config.json").read_text())
    config |= {"listen": f"127.0.0.1:{free_port()}", "discovery": discovery}
    operator = tomllib.loads((ROOT / "example/operator.toml").read_text())["ninep"]["export"][0]
    listen = f"127.0.0.1:{free_port()}"
    lines = ["[ninep]", f'listen = "{listen}"', "clients = 520"]
    for volume in VOLUMES:
        export = operator | {"name": volume, "volume": f"00000000000000{volume}0"}
        lines += ["[[ninep.export]]"] + [f"{key} = {json.dumps(value)}" for key, value in export.items()]
    config_path = folder / "c.json"
    operator_path = folder / "o.toml"
    config_path.write_text(json.dumps(config))
    operator_path.write_text("\n".join(lines))
    return config_path, operator_path, listen


def wait_until_listening(address: str) -> None:
    """Wait until connections are accepted there, for ten seconds at most."""
    for _ in range(200):
        try:
            socket.create_connection(("127.0.0.1", int(address.rpartition(":")[2])), 1).close()
            return
        except OSError:
            time.sleep(0.05)


@contextmanager
def running_instance(discovery: str) -> Iterator[tuple[int, str]]:
    """Run an instance as an operator starts it; yield its process id and 9P address."""
    with tempfile.TemporaryDirectory() as folder:
        config_path, operator_path, listen = write_config(pathlib.Path(folder), discovery)
        command = [sys.executable, "-m", "garnetlanding", "serve", "--config", str(config_path)]
        command += ["--operator", str(operator_path), "--log-level", "error"]
        process = subprocess.Popen(command, cwd=ROOT)
        try:
            wait_until_listening(listen)
            yield process.pid, listen
        finally:
            process.send_signal(signal.SIGTERM)
            process.wait(20)


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    words = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / TICK


def rss_kb(pid: int) -> int:
    """Return the resident memory of a process in kB."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(next(line for line in status.splitlines() if line.startswith("VmRSS")).split()[1])


def attach_client(address: str, aname: str, version: str = p9.VERSION) -> Client:
    """Return a client that has attached to an export."""
    client = Client(lambda: SocketTransport(address, 10.0), Options(version, aname, reply_timeout_s=20.0))
    client.negotiate()
    client.attach()
    return client


def open_file(client: Client, fid: int, name: str, mode: int) -> None:
    """Open a file of the root directory."""
    client.call(p9.Rwalk, p9.Twalk(0, fid, (name,)))
    client.open(fid, mode)


def percentile(values: list[float], share: float) -> float:
    """Return the value below which that share of the values is."""
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def cost_per_request(address: str, pid: int, version: str, count: int) -> dict[str, float]:
    """Measure the CPU of the instance for one read and one write of 4 KiB, one at a time."""
    client = attach_client(address, "a", version)
    open_file(client, 1, "data", p9.ORDWR)
    costs = {}
    for what, message in (("read", p9.Tread(1, 0, BLOCK)), ("write", p9.Twrite(1, 0, b"y" * BLOCK))):
        client.request(message)
        cpu_before, started = cpu_s(pid), time.monotonic()
        for _ in range(count):
            client.request(message)
            client.clear_replies()
        costs[f"{what} cpu us"] = (cpu_s(pid) - cpu_before) / count * 1e6
        costs[f"{what} us"] = (time.monotonic() - started) / count * 1e6
    client.close()
    return costs


def steady(address: str, seconds: float, pipe: multiprocessing.connection.Connection) -> None:
    """Read 4 KiB every 20 ms and send the latencies to the pipe, in milliseconds.

    Each latency counts from the scheduled time, so that a late reply does not hide the delay of later reads.
    """
    client = attach_client(address, "a")
    open_file(client, 1, "data", p9.OREAD)
    took: list[float] = []
    due = time.monotonic() + 0.1 + os.getpid() % 20 / 1000
    end = due + seconds
    while due < end:
        time.sleep(max(0.0, due - time.monotonic()))
        client.request(p9.Tread(1, len(took) * BLOCK % FILE, BLOCK))
        client.clear_replies()
        took.append((time.monotonic() - due) * 1e3)
        due += 0.02
    pipe.send(took)


def flood(address: str, seconds: float) -> None:
    """Keep as many reads in flight as the instance accepts."""
    client = attach_client(address, "b")
    open_file(client, 1, "data", p9.OREAD)
    end = time.monotonic() + seconds
    tag = 0
    while time.monotonic() < end:
        batch = []
        for _ in range(100):
            tag = tag % 60000 + 1
            batch.append(tag)
        client.send_bytes(b"".join(p9.encode(t, p9.Tread(1, 0, BLOCK)) for t in batch))
        for t in batch:
            client.wait_for_reply(t)
        client.clear_replies()


def slow_reader(address: str, seconds: float) -> None:
    """Send reads all the time, but receive about one reply in eight."""
    client = attach_client(address, "c")
    open_file(client, 1, "data", p9.OREAD)
    sock = client.transport._socket  # type: ignore[attr-defined]
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    end, tag = time.monotonic() + seconds, 0
    sock.settimeout(0.5)
    while time.monotonic() < end:
        tag = tag % 60000 + 1
        try:
            sock.sendall(p9.encode(tag, p9.Tread(1, 0, 8000)))
            if tag % 8 == 0:
                sock.recv(4096)
        except OSError:
            break
        time.sleep(0.01)


def latency(address: str, seconds: float, *beside: object) -> list[float]:
    """Return the latencies of the steady clients, in milliseconds, with others beside them."""
    mine, theirs = multiprocessing.Pipe()
    others = [
        multiprocessing.Process(target=body, args=(address, seconds + 1.5), daemon=True)  # type: ignore[arg-type]
        for body in beside
    ]
    for other in others:
        other.start()
    time.sleep(0.5 if others else 0)
    readers = [
        multiprocessing.Process(target=steady, args=(address, seconds, theirs), daemon=True)
        for _ in range(STEADY)
    ]
    for reader in readers:
        reader.start()
    took: list[float] = [one for _ in readers for one in mine.recv()]
    for reader in readers:
        reader.join()
    for other in others:
        other.terminate()
        other.join()
    return took


def attach_many(address: str, pid: int, clients: int, fids: int) -> tuple[dict[str, float], list[Client]]:
    """Attach many clients; return the memory used per client, and the clients."""
    before = rss_kb(pid)
    held = []
    for _ in range(clients):
        client = attach_client(address, "a")
        for fid in range(1, fids):
            client.call(p9.Rwalk, p9.Twalk(0, fid, (f"f{fid}",)))
        held.append(client)
    return {"memory kB a client": (rss_kb(pid) - before) / clients}, held


def latency_results(series: dict[str, list[list[float]]]) -> dict[str, dict[str, float]]:
    """Return the medians over the rounds; the ratio to the clients alone is taken round by round."""
    alone = [percentile(took, 0.99) for took in series["alone"]]
    results: dict[str, dict[str, float]] = {}
    for name, runs in series.items():
        results[f"latency, {name}"] = {
            "p50 ms": statistics.median(percentile(took, 0.5) for took in runs),
            "p99 ms": statistics.median(percentile(took, 0.99) for took in runs),
            "p99 to alone": statistics.median(
                percentile(took, 0.99) / base for took, base in zip(runs, alone, strict=True)
            ),
        }
    return results


def show(console: Console, results: dict[str, dict[str, float]]) -> None:
    """Print the results as a table."""
    table = Table("what", "figure", "value", box=None)
    for what, values in results.items():
        for name, value in values.items():
            table.add_row(what, name, f"{value:.2f}")
    console.print(table)


@click.command()
@click.option("--seconds", default=3.0, show_default=True, help="Of each latency measurement.")
@click.option("--count", default=1500, show_default=True, help="Reads and writes of each cost measurement.")
@click.option("--rounds", default=5, show_default=True, help="How often each latency is measured, in turn.")
@click.option("--clients", default=500, show_default=True, help="Idle clients held beside the last one.")
def main(seconds: float, count: int, rounds: int, clients: int) -> None:
    """Measure, and write and print the results."""
    console = Console()
    mine, theirs = multiprocessing.Pipe()
    process = multiprocessing.Process(target=run_servers, args=(theirs,), daemon=True)
    process.start()
    discovery, _ = mine.recv()
    results: dict[str, dict[str, float]] = {}
    series: dict[str, list[list[float]]] = {}
    with running_instance(discovery) as (pid, address), console.status("measuring") as status:
        for version in (p9.VERSION, p9l.VERSION):
            status.update(f"cost, {version}")
            results[f"one client, {version}"] = cost_per_request(address, pid, version, count)
        for turn in range(rounds):
            # Interleaved, and compared within each round, because the noise of the machine varies over time.
            for name, beside in (("alone", ()), ("slow reader", (slow_reader,)), ("flood", (flood,))):
                status.update(f"latency, {name}, round {turn + 1} of {rounds}")
                series.setdefault(name, []).append(latency(address, seconds, *beside))
        status.update(f"{clients} clients")
        figures, held = attach_many(address, pid, clients, 20)
        series[f"{clients} idle clients"] = [latency(address, seconds) for _ in range(rounds)]
        results[f"{clients} clients with 20 fids"] = figures
        for client in held:
            client.close()
    process.terminate()
    results |= latency_results(series)
    write_results(results, series)
    show(console, results)


def write_results(results: dict[str, dict[str, float]], series: dict[str, list[list[float]]]) -> None:
    """Write the results as JSON, a table and a chart."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    RESULTS.mkdir(exist_ok=True)
    (RESULTS / "ninep-cost.json").write_text(json.dumps(results, indent=1) + "\n")
    lines = ["# What 9P costs a head", "", "| what | figure | value |", "| --- | --- | ---: |"]
    lines += [
        f"| {what} | {name} | {value:.2f} |"
        for what, values in results.items()
        for name, value in values.items()
    ]
    (RESULTS / "ninep-cost.md").write_text("\n".join(lines) + "\n\n![latency](ninep-cost.png)\n")
    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    for name, runs in series.items():
        ordered = sorted(one for took in runs for one in took)
        axes.plot([t for t in ordered], [i / len(ordered) for i in range(len(ordered))], label=name)
    axes.set_xscale("log")
    axes.set_xlabel("latency of a 4 KiB read, ms, from when it was due")
    axes.set_ylabel("share of reads")
    axes.grid(True, which="both", alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(RESULTS / "ninep-cost.png", dpi=110)


if __name__ == "__main__":
    main()
