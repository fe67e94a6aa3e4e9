"""Stand-in platform: configures a head and starts it with the `run` command of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from review.standins import resp
from review.standins.record import CannotRunError, Record

ROOT = Path(__file__).resolve().parents[2]
READY_S = 10.0
MEMORY_MB = 192  # "on scored days the limits are at most 192 MB and 1,024 descriptors"
SOCKETS = 1024

CLASSES = {
    "segment-read": (250, 1200, 2.0, 0.15),
    "draft-save": (400, 2000, 2.0, 0.2),
    "bulk-export": (1200, 4000, 1.0, 0.25),
}
"""Of kilkenny-store, by name: aim and deadline in milliseconds, worth, share of it for a late answer."""


def free_address() -> str:
    """Return a loopback address with a free port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def kilkenny_settings(shards: int) -> dict[str, Any]:
    """Return settings like those of a day on kilkenny-store, for one head and this many shards."""
    classes = [
        {
            "Name": name,
            "PromiseUs": aim_ms * 1000,
            "GiveUpUs": deadline_ms * 1000,
            "Credit": worth,
            "LateValue": late,
            "Effect": "free",
            "Group": "all",
            "RepeatWindowUs": 5_000_000,
            "Streamed": False,
        }
        for name, (aim_ms, deadline_ms, worth, late) in CLASSES.items()
    ]
    plans = [
        {"Name": "standard", "Weight": 1.0, "UsualRate": 30.0, "Guaranteed": 15.0, "WorthFactor": 0.72},
        {"Name": "priority", "Weight": 1.0, "UsualRate": 45.0, "Guaranteed": 54.0, "WorthFactor": 1.2},
    ]
    return {
        "Balancers": 1,
        "Me": 0,
        "TickUs": 2000,
        "MembershipMode": "on_request",
        "Zone": "a",
        "Classes": classes,
        "Contracts": plans,
        "FamilyInfo": {
            "Shards": shards,
            "Largest": 6,
            "MeanUnits": 2.09,
            "MeteringUs": 1_000_000,
            "CountsOthers": True,
            "ColdBears": 8.0,
            "ShareWorth": 0.4,
            "IdleWorth": 0.08,
        },
        "Limits": {
            "Cancel": True,
            "ConnIdleUs": 30_000_000,
            "DialTimeoutUs": 250_000,
            "MaxAttempts": 4,
            "MaxRetryAfterUs": 2_000_000,
            "Multiplex": 32,
            "ParallelTries": False,
            "Probes": False,
            "RetryAfter": True,
            "MayTell": False,
        },
        "Rules": {
            "AnswerSlackUs": 8000,
            "AskWithinUs": 10_000_000,
            "ColdFrom": 0.2,
            "ColdUs": 14_000_000,
            "FallMultiple": 2.5,
            "FallUs": 1_500_000,
            "StopSendingWithinUs": 2_000_000,
        },
    }


class Head:
    """One head of the platform: a process, its configuration and a temporary folder of its own."""

    def __init__(
        self,
        record: Record,
        discovery: str,
        settings: dict[str, Any],
        *,
        has_ops: bool = False,
        operator: str = "",
    ) -> None:
        self._record = record
        self._folder = tempfile.TemporaryDirectory(prefix="head-")
        self.listen = free_address()
        self.ops = free_address() if has_ops else ""
        self.process: subprocess.Popen[bytes] | None = None
        config: dict[str, Any] = {
            "name": "n0",
            "listen": self.listen,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": {"generation": 0, "reset": True, "instances": []},
            "settings": settings,
        }
        if has_ops:
            config["ops"] = self.ops
        self._operator = Path(self._folder.name) / "operator.toml" if operator else None
        if self._operator:
            self._operator.write_text(operator)
        self._config = Path(self._folder.name) / "config.json"
        self._config.write_text(json.dumps(config))

    @property
    def host_port(self) -> tuple[str, int]:
        """The address of the clients' side."""
        host, port = self.listen.split(":")
        return host, int(port)

    async def start(self) -> None:
        """Start the head and wait until it answers PING with +PONG. Raises CannotRunError if it does not."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        scratch = Path(self._folder.name) / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        environment |= {"RELAY_CONFIG": str(self._config), "TMPDIR": str(scratch)}
        command = deploy["run"] + (f" --operator {self._operator}" if self._operator else "")
        with (Path(self._folder.name) / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.say(f"head started: {deploy['run']}")
        deadline = self._record.now + READY_S
        while self._record.now < deadline:
            if await self._answers_ping():
                self._record.say("head answers PING")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError("the head did not become ready: " + self.log()[-2000:])

    async def _answers_ping(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(*self.host_port)
            writer.write(resp.command(b"PING"))
            answer = await resp.read_answer(reader)
            writer.close()
            return answer == b"+PONG"
        return False

    def log(self) -> str:
        """Return what the head has written to its log."""
        return (Path(self._folder.name) / "log").read_text()

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        if self.process and self.is_running():
            self._record.say(f"head gets {number.name}")
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process at once, put its log into the record and remove its folder."""
        if self.process and self.is_running():
            self.process.kill()
        if self.process:
            self.process.wait()
        if Path(self._folder.name).exists():
            for line in self.log().splitlines():
                self._record.line(f"log of the head: {line}")
            self._folder.cleanup()
