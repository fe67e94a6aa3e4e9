"""The processes of an experiment, which are signalled and terminated by their own process ids."""

from __future__ import annotations

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass

from garnetlanding.lab import standby
from garnetlanding.lab.limits import LIMITS

SOURCE_ROOT = pathlib.Path(__file__).parent.parent.parent
TEMPORARY_FOLDER = "tmp"
"""A process's TMPDIR, in the folder of its log: files that outlive the process."""

_CPU_USER_FIELD = 11  # of /proc/PID/stat, counted after the command's name
_CPU_SYSTEM_FIELD = 12
_RESIDENT_PAGES_FIELD = 1  # of /proc/PID/statm
_MEGABYTE = 1 << 20


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """The resources that a process has used since its start, as counted by the kernel."""

    cpu_s: float
    memory_mb: float

    def encode(self) -> dict[str, float]:
        """Return the usage in the form of result.json."""
        return {"cpu_s": self.cpu_s, "memory_mb": self.memory_mb}


class Standby:
    """A process that loads its program and waits for the command to run it."""

    def __init__(self, child: subprocess.Popen[bytes], control: socket.socket) -> None:
        """Take the child and a socket that is connected to its standard input."""
        self._child = child
        self._control = control
        control.setblocking(False)
        self._is_loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether the program is loaded; also true after a failure, which the start then reveals."""
        if not self._is_loaded:
            with contextlib.suppress(BlockingIOError):
                self._control.recv(len(standby.LOADED))
                self._is_loaded = True
        return self._is_loaded

    def run(self) -> subprocess.Popen[bytes]:
        """Let the child run its program as soon as it is loaded; return the process."""
        with self._control, contextlib.suppress(OSError):  # the child may have failed already
            self._control.sendall(standby.START)
        return self._child

    def discard(self) -> None:
        """Kill the child without running its program."""
        self._control.close()
        self._child.kill()
        self._child.wait()


class Process:
    """A process that can be restarted; its output is appended to its log file."""

    def __init__(self, arguments: list[str], log: pathlib.Path, start_now: bool = True) -> None:
        """Take the arguments of `python -m`, and start the process if `start_now`."""
        self._arguments = arguments
        self._log = log
        self._child: subprocess.Popen[bytes] | None = None
        self._standbys: list[Standby] = []
        if start_now:
            self.start()

    def prepare_start(self) -> None:
        """Preload the program for one later start, which is then immediate even on a busy machine."""
        control, child_end = socket.socketpair()
        with child_end:
            child = self._spawn(["garnetlanding.lab.standby", *self._arguments], child_end.fileno())
        self._standbys.append(Standby(child, control))

    @property
    def is_prepared(self) -> bool:
        """Whether every prepared standby has loaded its program."""
        return all(prepared.is_loaded for prepared in self._standbys)

    def discard_prepared(self) -> None:
        """Kill the standbys of starts that did not take place."""
        while self._standbys:
            self._standbys.pop().discard()

    def start(self) -> None:
        """Start the process, after killing it if it is still running."""
        self.kill()
        if self._standbys:
            self._child = self._standbys.pop(0).run()
        else:
            self._child = self._spawn(self._arguments, subprocess.DEVNULL)

    def _spawn(self, arguments: list[str], stdin: int) -> subprocess.Popen[bytes]:
        # These variables are removed because an address in the environment would override the file's.
        environment = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        environment["PYTHONPATH"] = str(SOURCE_ROOT)
        environment["TMPDIR"] = str(self._log.parent / TEMPORARY_FOLDER)
        with open(self._log, "ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=log,
                stderr=log,
                stdin=stdin,
                env=environment,
            )

    @property
    def pid(self) -> int:
        """The process id; 0 before the first start."""
        return self._child.pid if self._child else 0

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs, 0 before the first start."""
        return self._child.poll() if self._child else 0

    def usage(self) -> ProcessUsage | None:
        """Return the resource usage; None if the process is not running."""
        try:
            stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
            memory = pathlib.Path(f"/proc/{self.pid}/statm").read_text().split()
        except OSError:
            return None
        ticks = int(stat[_CPU_USER_FIELD]) + int(stat[_CPU_SYSTEM_FIELD])
        resident_bytes = int(memory[_RESIDENT_PAGES_FIELD]) * os.sysconf("SC_PAGE_SIZE")
        return ProcessUsage(
            cpu_s=ticks / os.sysconf("SC_CLK_TCK"),
            memory_mb=round(resident_bytes / _MEGABYTE, 1),
        )

    def send_signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self._child and self._child.poll() is None:
            self._child.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM, then SIGKILL if the process does not exit in time; wait for its exit."""
        if self._child and self._child.poll() is None:
            self._child.terminate()
            with contextlib.suppress(subprocess.TimeoutExpired):
                self._child.wait(LIMITS.terminate_timeout_s)
        self.kill()

    def kill(self) -> None:
        """Send SIGKILL if the process is still running; wait for its exit."""
        if self._child is None:
            return
        if self._child.poll() is None:
            self._child.send_signal(signal.SIGKILL)
        self._child.wait()
