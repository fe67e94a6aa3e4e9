"""Runs the decision modules of several instances for the simulator: reads batches, writes replies.

A batch holds the events of one point in time: `BATCH clock`, then `SELECT instance` before the lines of each
instance, and `END`. The reply has `SOURCE instance` before the actions of each instance that has any, and
ends with `FINISHED`. Only the decision modules make decisions. On invalid input, the program prints one line
to the standard error and exits with code 2; an exception of a decision module is reported to the simulator,
`BAIL_OUT text`.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TextIO

from garnetlanding import wire
from garnetlanding.decision import interface as api
from garnetlanding.decision.control import Controller

if TYPE_CHECKING:
    from garnetlanding.peers.coordinator import PeerCoordinator


class MissingBatchError(wire.WireError):
    """A line outside a batch does not begin one."""

    def __init__(self, found: str) -> None:
        super().__init__(f"expected BATCH, found {found!r}")


class NoInstanceSelectedError(wire.WireError):
    """A message comes before the first `SELECT` of its batch."""

    def __init__(self, message: str) -> None:
        super().__init__(f"{message} before any SELECT")


class UnknownInstanceError(wire.WireError):
    """A message is for an instance that has not been launched."""

    def __init__(self, instance: int) -> None:
        super().__init__(f"field HostId: instance {instance} is not known", "HostId")


class TruncatedBatchError(wire.WireError):
    """The input ends inside a batch."""

    def __init__(self) -> None:
        super().__init__("input ended inside a batch")


class TruncatedListError(wire.WireError):
    """The input ends inside an endpoint list."""

    def __init__(self) -> None:
        super().__init__("field Hosts: input ended inside a list", "Hosts")


@dataclass(slots=True)
class Batch:
    """The contents of a batch, by instance."""

    now: int  # microseconds
    events: dict[int, list[api.Event]] = field(default_factory=dict)
    failures: dict[int, str] = field(default_factory=dict)  # texts of the decision module's exceptions

    def add(self, instance: int, event: api.Event) -> None:
        """Add an event for an instance."""
        self.events.setdefault(instance, []).append(event)

    def add_failure(self, instance: int, error: Exception) -> None:
        """Record an exception, which is reported in place of the instance's actions."""
        self.failures[instance] = f"{type(error).__name__}: {error}"


class SimulatorAdapter:
    """The instances of this process, driven by the simulator.

    `line_number` is the number of the last line read, for error messages.
    """

    def __init__(self) -> None:
        self.line_number = 0
        self._modules: dict[int, Controller | PeerCoordinator] = {}

    def run(self, source: TextIO, sink: TextIO) -> None:
        """Reply to each batch until the input ends. Raises WireError."""
        lines = self._lines(source)
        for line in lines:
            if line:
                batch = self._read_batch(line, lines)
                sink.write("\n".join([*self._handle(batch), "FINISHED\n"]))
                sink.flush()

    def _lines(self, source: TextIO) -> Iterator[str]:
        for line in source:
            self.line_number += 1
            yield line.rstrip("\r\n")

    def _read_batch(self, first: str, lines: Iterator[str]) -> Batch:
        """Read the rest of a batch whose first line is given; start and stop instances accordingly."""
        parts = first.split(" ")
        if parts[0] != "BATCH":
            raise MissingBatchError(parts[0])
        batch = Batch(wire.MessageFields(parts).take("clock", int))
        instance: int | None = None
        for line in lines:
            name = line.partition(" ")[0]
            if name == "END":
                return batch
            if name == "SELECT":
                instance = wire.MessageFields(line.split(" ")).take("HostId", int)
            elif instance is None:
                raise NoInstanceSelectedError(name)
            else:
                self._read_message(batch, instance, line, lines)
        raise TruncatedBatchError

    def _read_message(self, batch: Batch, instance: int, line: str, lines: Iterator[str]) -> None:
        """Read a message to an instance; `LAUNCH` and `DESTROY` take effect at once."""
        parts = line.split(" ")
        name = parts[0]
        if name == "LAUNCH":
            self._launch(batch, instance, line)
        elif instance not in self._modules and instance not in batch.failures:
            raise UnknownInstanceError(instance)
        elif name == "DESTROY":
            self._modules.pop(instance, None)
            batch.events.pop(instance, None)
        elif name == "DIRECTORY_UPDATE":
            batch.add(instance, _read_list(line, lines))
        else:
            batch.add(instance, wire.read_event(parts))

    def _launch(self, batch: Batch, instance: int, line: str) -> None:
        name, _, rest = line.partition(" ")
        seed_text, _, settings_text = rest.partition(" ")
        seed = wire.MessageFields([name, seed_text]).take("Prng", int)
        settings = wire.read_settings(settings_text)
        batch.events[instance] = []
        try:
            controller = Controller(settings, seed)
            self._modules[instance] = controller
            if settings.may_message_peers:  # a disabled subsystem is not imported
                from garnetlanding.peers.coordinator import PeerCoordinator

                self._modules[instance] = PeerCoordinator(controller, incarnation=batch.now)
        except Exception as error:
            batch.add_failure(instance, error)

    def _handle(self, batch: Batch) -> list[str]:
        """Pass the events to the instances; return the lines of the reply, without `FINISHED`."""
        reply: list[str] = []
        for instance, events in batch.events.items():
            lines = self._run_instance(batch, instance, events)
            if lines:
                reply.append(f"SOURCE {instance}")
                reply.extend(lines)
        return reply

    def _run_instance(self, batch: Batch, instance: int, events: list[api.Event]) -> list[str]:
        """Return the lines of an instance's actions, or the line that reports its exception."""
        if instance not in batch.failures:
            try:
                return wire.write_actions(self._modules[instance].handle(batch.now, events))
            except Exception as error:
                batch.add_failure(instance, error)
        return ["BAIL_OUT " + " ".join(batch.failures[instance].split())]


def _read_list(header: str, lines: Iterator[str]) -> api.EndpointListUpdate | api.EndpointListFailure:
    """Read the entries of the endpoint list that `header` begins."""
    kind, count = wire.read_list_header(header)
    entries = []
    for _ in range(count):
        line = next(lines, None)
        if line is None:
            raise TruncatedListError
        entries.append(wire.read_endpoint(line))
    return wire.endpoint_list_event(kind, entries)


def main() -> int:
    """Run on standard input and output, and return the exit code."""
    adapter = SimulatorAdapter()
    try:
        adapter.run(sys.stdin, sys.stdout)
    except wire.WireError as problem:
        print(f"garnetlanding: line {adapter.line_number}: {problem}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
