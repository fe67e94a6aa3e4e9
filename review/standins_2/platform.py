"""The platform's side: configurations, and heads as processes of the deploy file's `run` command."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.standins_2 import resp
from review.standins_2.record import NOT_RUN, Record

ROOT = Path(__file__).resolve().parents[2]


def free_port() -> int:
    """Return a port of the loopback address that nobody uses now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def free_address() -> str:
    """Return a loopback address with a free port."""
    return f"127.0.0.1:{free_port()}"


def request_class(name: str, aim_ms: int, deadline_ms: int, **other: object) -> dict[str, object]:
    """Return a class of requests, by default one that is safe to repeat."""
    return {
        "Name": name,
        "Credit": 2.0,
        "LateValue": 0.2,
        "PromiseUs": aim_ms * 1000,
        "GiveUpUs": deadline_ms * 1000,
        "Effect": "free",
        "Group": "all",
        "RepeatWindowUs": 5000000,
        "Streamed": False,
        **other,
    }


def store_classes() -> list[dict[str, object]]:
    """Return the classes of the store that is described in the brief."""
    return [
        request_class("segment-read", 250, 1200),
        request_class("draft-save", 400, 2000),
        request_class("bulk-export", 1200, 4000, Credit=1.0),
    ]


def settings(shards: int, classes: list[dict[str, object]] | None = None) -> dict[str, Any]:
    """Return settings like those of the store, for one head and so many shards."""
    return {
        "Balancers": 1,
        "Me": 0,
        "TickUs": 2000,
        "MembershipMode": "on_request",
        "Classes": classes or store_classes(),
        "Contracts": [
            {"Name": "standard", "Weight": 1.0, "UsualRate": 300.0, "Guaranteed": 150.0, "WorthFactor": 1.0}
        ],
        "FamilyInfo": {
            "ColdBears": 8.0,
            "Largest": 6,
            "ShareWorth": 0.4,
            "IdleWorth": 0.08,
            "Shards": shards,
        },
        "Limits": {
            "Cancel": True,
            "ConnIdleUs": 30000000,
            "DialTimeoutUs": 250000,
            "MaxAttempts": 4,
            "MaxRetryAfterUs": 2000000,
            "ParallelTries": False,
            "RetryAfter": True,
        },
        "Rules": {"ColdFrom": 0.2, "ColdUs": 14000000, "FallMultiple": 2.5, "FallUs": 1500000},
    }


def config(
    listen: str, discovery: str, settings: dict[str, Any], name: str = "n0", **other: object
) -> dict[str, Any]:
    """Return the configuration of a head."""
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": settings,
        **other,
    }


def file_export(listen: str, change_class: str, change_deadline_ms: int) -> str:
    """Return an operator's file that turns the 9P front on, in front of the file server of shard 0."""
    return f"""
[ninep]
listen = "{listen}"
server_port = 0
server_dialect = "9P2000"

[[ninep.export]]
name = "glossaries"
volume = "00000000000000a1"
plan = "standard"
class = "segment-read"
cell = 0
deadline_ms = 1200
access = "rw"
change_class = "{change_class}"
change_deadline_ms = {change_deadline_ms}
"""


class Platform:
    """A temporary folder, and the processes started in it, all of which are ended with it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.processes: list[asyncio.subprocess.Process] = []
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self._run: str = tomllib.load(file)["run"]

    def write(self, name: str, text: str) -> Path:
        """Write a file, and return its path."""
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return path

    def write_config(self, name: str, config: dict[str, Any]) -> Path:
        """Write a configuration, and return its path."""
        return self.write(name, json.dumps(config))

    async def start_head(
        self, label: str, config: Path, operator: Path | None = None, **variables: str
    ) -> asyncio.subprocess.Process:
        """Start a head by the deploy file's command, with an operator's file appended if there is one."""
        command = f"{self._run} --operator {operator}" if operator else self._run
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        environment |= {"RELAY_CONFIG": str(config), "TMPDIR": str(scratch), **variables}
        log = (self.folder / f"{label}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.processes.append(process)
        self.record(f"{label} started")
        return process

    def log_of(self, label: str) -> str:
        """Return what a head has written to its log."""
        return (self.folder / f"{label}.log").read_text(encoding="utf-8", errors="replace")

    async def end(self) -> None:
        """End every process that was started here, and remove the folder."""
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        self._folder.cleanup()


async def wait_for_pong(address: str, timeout_s: float = 20.0) -> None:
    """Wait until a head answers PING with +PONG. Raises TimeoutError."""
    host, port = address.split(":")
    async with asyncio.timeout(timeout_s):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(resp.command(b"PING"))
                answer = await resp.read(reader)
                writer.close()
                if answer == b"PONG":
                    return
            await asyncio.sleep(0.1)


def main(case: Callable[[Platform, Record], Awaitable[int]], folder: Path, limit_s: float = 110.0) -> int:
    """Run a case within its time, and return the exit code of its script."""
    record = Record(folder / "record.txt")

    async def bounded() -> int:
        platform = Platform(record)
        # Connections of stand-ins are cut off at the end; that is no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        try:
            async with asyncio.timeout(limit_s):
                return await case(platform, record)
        except Exception as problem:
            record.say(f"could not run: {problem!r}")
            return NOT_RUN
        finally:
            await platform.end()

    code = asyncio.run(bounded())
    record(f"exit code {code}")
    return code
