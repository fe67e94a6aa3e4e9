"""The processes of an experiment: started here, signalled and ended by their own ids, whatever happens."""

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
"""Beside a process's log: where it keeps what outlasts it."""

_CPU_USER_FIELD = 11  # of /proc/PID/stat, behind the command's name
_CPU_SYSTEM_FIELD = 12
_RESIDENT_PAGES_FIELD = 1  # of /proc/PID/statm
_MEGABYTE = 1 << 20


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What a process has used since its start, as the kernel counts it."""

    cpu_s: float
    memory_mb: float

    def encode(self) -> dict[str, float]:
        """Return it in the form of result.json."""
        return {"cpu_s": self.cpu_s, "memory_mb": self.memory_mb}


class Standby:
    """A process that loads its program and waits until it is told to run it."""

    def __init__(self, child: subprocess.Popen[bytes], control: socket.socket) -> None:
        """`control` is connected to the standard input of the child."""
        self._child = child
        self._control = control
        control.setblocking(False)
        self._is_loaded = False

    @property
    def is_loaded(self) -> bool:
        """Return whether it waits for its start; one that has failed counts, as its start will show that."""
        if not self._is_loaded:
            with contextlib.suppress(BlockingIOError):
                self._control.recv(len(standby.LOADED))
                self._is_loaded = True
        return self._is_loaded

    def run(self) -> subprocess.Popen[bytes]:
        """Have it run its program, once it is loaded; return the process."""
        with self._control, contextlib.suppress(OSError):  # of one that has failed
            self._control.sendall(standby.START)
        return self._child

    def discard(self) -> None:
        """End it without having run its program."""
        self._control.close()
        self._child.kill()
        self._child.wait()


class Process:
    """One process that can be started again; its output is appended to its log file."""

    def __init__(self, arguments: list[str], log: pathlib.Path, start_now: bool = True) -> None:
        """Take the arguments of `python -m`, and start the process unless it is to be started later."""
        self._arguments = arguments
        self._log = log
        self._child: subprocess.Popen[bytes] | None = None
        self._standbys: list[Standby] = []
        if start_now:
            self.start()

    def prepare_start(self) -> None:
        """Load the program for one later start, which then takes no time even on a busy machine."""
        control, child_end = socket.socketpair()
        with child_end:
            child = self._spawn(["garnetlanding.lab.standby", *self._arguments], child_end.fileno())
        self._standbys.append(Standby(child, control))

    @property
    def is_prepared(self) -> bool:
        """Return whether every start that was prepared may come."""
        return all(waiting.is_loaded for waiting in self._standbys)

    def discard_prepared(self) -> None:
        """End what was prepared for starts that did not come."""
        while self._standbys:
            self._standbys.pop().discard()

    def start(self) -> None:
        """Start the process; one that still runs is killed first."""
        self.kill()
        if self._standbys:
            self._child = self._standbys.pop(0).run()
        else:
            self._child = self._spawn(self._arguments, subprocess.DEVNULL)

    def _spawn(self, arguments: list[str], stdin: int) -> subprocess.Popen[bytes]:
        # Only what the program itself needs: an address in the environment would override the file's.
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
        """Its process id; 0 before its first start."""
        return self._child.pid if self._child else 0

    @property
    def exit_code(self) -> int | None:
        """None while it runs; 0 before its first start."""
        return self._child.poll() if self._child else 0

    def usage(self) -> ProcessUsage | None:
        """Return what it has used; None where it does not run."""
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
        """Send a signal, if it runs."""
        if self._child and self._child.poll() is None:
            self._child.send_signal(number)

    def terminate(self) -> None:
        """End it by SIGTERM, and by SIGKILL where it takes too long; wait for its end."""
        if self._child and self._child.poll() is None:
            self._child.terminate()
            with contextlib.suppress(subprocess.TimeoutExpired):
                self._child.wait(LIMITS.terminate_timeout_s)
        self.kill()

    def kill(self) -> None:
        """End it by SIGKILL if it still runs; wait for its end."""
        if self._child is None:
            return
        if self._child.poll() is None:
            self._child.send_signal(signal.SIGKILL)
        self._child.wait()
