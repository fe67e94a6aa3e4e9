"""The platform: starts the program with the deploy file's `run`, and ends all that a case started."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from review.standins_3.wire import command, read_value

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110
BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotRunError(Exception):
    """The case could not run, so that it says nothing about the rule."""


def _class(name: str, aim_ms: int, deadline_ms: int, worth: float) -> dict[str, Any]:
    return {
        "Name": name,
        "Credit": worth,
        "LateValue": 0.2,
        "PromiseUs": aim_ms * 1000,
        "GiveUpUs": deadline_ms * 1000,
        "Effect": "free",
        "Group": "all",
        "RepeatWindowUs": 5_000_000,
    }


def small_site(cells: int) -> dict[str, Any]:
    """Return settings with the classes, limits and rules of kilkenny-store, for one head."""
    return {
        "Balancers": 1,
        "Me": 0,
        "TickUs": 2000,
        "MembershipMode": "on_request",
        "Classes": [
            _class("segment-read", 250, 1200, 2.0),
            _class("draft-save", 400, 2000, 2.0),
            _class("bulk-export", 1200, 4000, 1.0),
        ],
        "Contracts": [
            {"Name": "standard", "Weight": 1.0, "UsualRate": 60.0, "Guaranteed": 60.0, "WorthFactor": 1.0}
        ],
        "FamilyInfo": {
            "ColdBears": 8.0,
            "Largest": 6,
            "ShareWorth": 0.4,
            "IdleWorth": 0.08,
            "Shards": cells,
        },
        "Limits": {
            "Cancel": True,
            "ConnIdleUs": 30_000_000,
            "DialTimeoutUs": 250_000,
            "MaxAttempts": 4,
            "MaxRetryAfterUs": 2_000_000,
            "ParallelTries": False,
            "RetryAfter": True,
        },
        "Rules": {
            "ColdFrom": 0.2,
            "ColdUs": 14_000_000,
            "FallMultiple": 2.5,
            "FallUs": 1_500_000,
            "AnswerSlackUs": 8000,
            "AskWithinUs": 10_000_000,
            "StopSendingWithinUs": 2_000_000,
        },
    }


def free_address() -> str:
    """Return a loopback address whose port was free a moment ago."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class Case:
    """One run of a case: its record, its temporary folder and its processes."""

    def __init__(self, folder: Path, temporary: str) -> None:
        self.temporary = Path(temporary)
        self.broken: list[str] = []
        self._record = (folder / "record.txt").open("w", encoding="utf-8")
        self._processes: list[subprocess.Popen[bytes]] = []
        self._began = time.monotonic()
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._record.flush()

    def breach(self, text: str) -> None:
        """Record that the rule was broken."""
        self.broken.append(text)
        self.note("BROKEN " + text)

    def start(self, run: str, environment: dict[str, str], output: int | None = None) -> Any:
        """Start a shell command in the repository's root, as the platform does."""
        inherited = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        log = (self.temporary / f"process-{len(self._processes)}.log").open("wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=inherited | {"TMPDIR": str(self.temporary)} | environment,
            stdout=output or log,
            stderr=log,
            start_new_session=True,
        )
        self._processes.append(process)
        self.note(f"started process {process.pid}: {run}")
        return process

    def end(self) -> None:
        """End every process that was started, and copy their logs to the record."""
        for process in self._processes:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGCONT)
                os.killpg(process.pid, signal.SIGKILL)
            process.wait()
        for log in sorted(self.temporary.glob("process-*.log")):
            for line in log.read_text(errors="replace").splitlines()[-40:]:
                self._record.write(f"  log {log.stem}: {line[:400]}\n")
        self._record.close()


class Head:
    """The program under test: one head."""

    def __init__(
        self,
        case: Case,
        discovery: str,
        settings: dict[str, Any],
        limits: dict[str, Any] | None = None,
        operator: Path | None = None,
    ) -> None:
        self.case = case
        self.listen = free_address()
        self.ops = free_address()
        self._operator = operator
        self._config = case.temporary / "config.json"
        config = {"name": "n0", "listen": self.listen, "discovery": discovery, "seed": "1f"}
        if operator is None:  # the listeners of an operator's file are not shared by two processes
            config["ops"] = self.ops
        limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        known = {"generation": 0, "reset": True, "instances": []}
        self._config.write_text(
            json.dumps({**config, "limits": limits, "known": known, "settings": settings})
        )

    async def start(self) -> None:
        """Start the program and wait until it answers PING and has had time to get the list."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if self._operator:
            run += f" --operator {self._operator}"
        self.process = self.case.start(run, {"RELAY_CONFIG": str(self._config)})
        until = time.monotonic() + 15
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await self.connect()
                writer.write(command("PING"))
                answer = await read_value(reader)
                writer.close()
                if answer == "+PONG":
                    await asyncio.sleep(0.5)
                    return
            await asyncio.sleep(0.05)
        raise NotRunError("the head did not answer PING within 15 s")

    def connect(self) -> Awaitable[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        """Open a client's connection."""
        host, port = self.listen.split(":")
        return asyncio.open_connection(host, int(port))

    async def call(self, method: str, path: str) -> int:
        """Make an operator's call and return its status."""
        host, port = self.ops.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: head\r\n\r\n".encode())
        status = int((await reader.readline()).split()[1])
        writer.close()
        self.case.note(f"{method} {path}: {status}")
        return status


def main(folder: Path, play: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case, and exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    loop = asyncio.new_event_loop()
    with tempfile.TemporaryDirectory() as temporary:
        case = Case(folder, temporary)
        try:
            loop.run_until_complete(asyncio.wait_for(play(case), LIMIT_S))
            status = BROKEN if case.broken else HELD
        except Exception as problem:
            case.note(f"could not run: {type(problem).__name__}: {problem}")
            status = NOT_RUN
        case.note(f"exit {status}: {len(case.broken)} breaches")
        case.end()
    print(f"exit {status}: {len(case.broken)} breaches", *case.broken[:1], flush=True)
    os._exit(status)  # connections of the stand-ins may be open; nothing of them is left to be done
