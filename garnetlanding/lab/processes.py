"""The processes of an experiment: started here, signalled and ended by their own ids, whatever happens."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys

from garnetlanding.lab.limits import LIMITS

PACKAGE = pathlib.Path(__file__).parent.parent.parent


class Process:
    """One process; its output goes to a file, to which a restart adds."""

    def __init__(self, arguments: list[str], log: pathlib.Path, begins: bool = True) -> None:
        """Beside the log, `tmp` is the folder in which it keeps what outlasts a process. Not `begins`: it is
        started later."""
        self._arguments, self._log = arguments, log
        self._child: subprocess.Popen[bytes] | None = None
        if begins:
            self.start()

    def start(self) -> None:
        self.end()
        # Only what the program itself needs: an address in the environment would stand above the file's.
        env = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        env["PYTHONPATH"] = str(PACKAGE)
        env["TMPDIR"] = str(self._log.parent / "tmp")
        with open(self._log, "ab") as log:
            self._child = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=env,
            )

    @property
    def id(self) -> int:
        return self._child.pid if self._child else 0

    @property
    def code(self) -> int | None:
        """Its exit code; None while it runs."""
        return self._child.poll() if self._child else 0

    def cost(self) -> dict[str, float]:
        """CPU in seconds since its start, and memory in MB, as the kernel counts them; empty where it does
        not run."""
        try:
            stat = pathlib.Path(f"/proc/{self.id}/stat").read_text().rpartition(")")[2].split()
            size = pathlib.Path(f"/proc/{self.id}/statm").read_text().split()
        except OSError:
            return {}
        ticks, page = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGE_SIZE")
        return {
            "cpu_s": (int(stat[11]) + int(stat[12])) / ticks,
            "memory_mb": round(int(size[1]) * page / (1 << 20), 1),
        }

    def signal(self, number: int) -> None:
        if self._child and self._child.poll() is None:
            self._child.send_signal(number)

    def end(self, orderly: bool = False) -> None:
        if self._child is None:
            return
        if orderly and self._child.poll() is None:
            self._child.terminate()
            try:
                self._child.wait(LIMITS.end_s)
            except subprocess.TimeoutExpired:
                pass
        if self._child.poll() is None:
            self._child.send_signal(signal.SIGKILL)
        self._child.wait()
