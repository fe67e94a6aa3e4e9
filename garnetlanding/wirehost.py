"""Runs one Controller per instance on the simulator's wire: batches in, replies out.

No decision is taken here. Ends with one plain line on standard error, and exit code 2, on input
that cannot be read; a defect of the decision module is reported on the wire.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import TYPE_CHECKING, TextIO

from garnetlanding import wire
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller

if TYPE_CHECKING:
    from garnetlanding.peers.coordinator import PeerCoordinator


class Host:
    """The instances of this process; `reply` answers one batch."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller | PeerCoordinator] = {}
        self.line_no = 0

    def run(self, source: TextIO, sink: TextIO) -> None:
        lines = self._lines(source)
        for line in lines:
            if line:
                sink.write("\n".join([*self.reply(line, lines), "FINISHED\n"]))
                sink.flush()

    def _lines(self, source: TextIO) -> Iterator[str]:
        for line in source:
            self.line_no += 1
            yield line.rstrip("\r\n")

    def reply(self, first: str, lines: Iterator[str]) -> list[str]:
        """Reads the rest of a batch whose first line is given; the reply's lines but the last."""
        head = first.split(" ")
        if head[0] != "BATCH":
            raise wire.WireError(f"expected BATCH, found {head[0]!r}")
        now = wire.Fields(head).take("clock", int)
        pending: dict[int, list[api.Event]] = {}
        faults: dict[int, str] = {}
        who: int | None = None
        for line in lines:
            name = line.partition(" ")[0]
            if name == "END":
                return self._act(now, pending, faults)
            if name == "SELECT":
                who = wire.Fields(line.split(" ")).take("HostId", int)
            elif who is None:
                raise wire.WireError(f"{name} before any SELECT")
            elif name == "LAUNCH":
                self._launch(now, who, line, pending, faults)
            elif who not in self.controllers and who not in faults:
                raise wire.WireError(f"field HostId: instance {who} is not known")
            elif name == "DESTROY":
                self.controllers.pop(who, None)
                pending.pop(who, None)
            elif name == "DIRECTORY_UPDATE":
                pending.setdefault(who, []).append(self._list(line, lines))
            else:
                pending.setdefault(who, []).append(wire.read_event(line.split(" ")))
        raise wire.WireError("input ended inside a batch")

    def _launch(
        self, now: int, who: int, line: str, pending: dict[int, list[api.Event]], faults: dict[int, str]
    ) -> None:
        parts = line.split(" ", 2)
        seed = wire.Fields(parts[:2]).take("Prng", int)
        settings = wire.read_settings(parts[2] if len(parts) > 2 else "")
        pending[who] = []
        try:
            self.controllers[who] = host = Controller(settings, seed)
            if settings.may_message_peers:  # what the settings forbid is not imported
                from garnetlanding.peers.coordinator import PeerCoordinator

                self.controllers[who] = PeerCoordinator(host, incarnation=now)
        except Exception as defect:
            faults[who] = f"{type(defect).__name__}: {defect}"

    def _list(self, line: str, lines: Iterator[str]) -> api.EndpointListUpdate:
        kind, count = wire.list_header(line)
        entries = []
        for _ in range(count):
            entry = next(lines, None)
            if entry is None:
                raise wire.WireError("field Hosts: input ended inside a list")
            entries.append(wire.read_entry(entry))
        whole = kind in ("snapshot", "disk")
        return api.EndpointListUpdate(tuple(entries), whole, failed=kind == "error", at_start=kind == "disk")

    def _act(self, now: int, pending: dict[int, list[api.Event]], faults: dict[int, str]) -> list[str]:
        out: list[str] = []
        for who, events in pending.items():
            if who in faults:
                actions: list[str] = []
            else:
                try:
                    actions = wire.write_actions(self.controllers[who].handle(now, events))
                except Exception as defect:
                    faults[who], actions = f"{type(defect).__name__}: {defect}", []
            if who in faults:
                actions = ["BAIL_OUT " + " ".join(faults[who].split())]
            if actions:
                out.append(f"SOURCE {who}")
                out.extend(actions)
        return out


def main() -> int:
    host = Host()
    try:
        host.run(sys.stdin, sys.stdout)
    except wire.WireError as problem:
        print(f"garnetlanding: line {host.line_no}: {problem}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
