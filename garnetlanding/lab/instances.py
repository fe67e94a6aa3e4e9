"""The instances of an experiment: their addresses, files and processes."""

from __future__ import annotations

import json
import pathlib
import signal
from dataclasses import dataclass
from types import TracebackType

from garnetlanding.lab.datagram_proxy import DatagramProxy
from garnetlanding.lab.environment import LabEnvironment
from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.faults import LATE_STARTS, Fault, FaultKind, LinkKind, ProcessEnd
from garnetlanding.lab.instance_config import (
    InstanceAddresses,
    OperatorOptions,
    operator_file,
    platform_configuration,
)
from garnetlanding.lab.limits import LIMITS
from garnetlanding.lab.processes import TEMPORARY_FOLDER, Process, ProcessUsage
from garnetlanding.lab.stream_faults import StreamLink
from garnetlanding.lab.stream_proxy import StreamProxy
from garnetlanding.runtime.scheduler import Scheduler

STORE_WRITER = 0
_FIRST_HOST = 10
"""The last octet of the first instance's address."""

_STARTS = LATE_STARTS | {FaultKind.KILL, FaultKind.TERMINATE}
"""Faults that start an instance's process, at their start or end."""

_END_SIGNALS = {
    ProcessEnd.KILL: signal.SIGKILL,
    ProcessEnd.STOP: signal.SIGSTOP,
    ProcessEnd.TERMINATE: signal.SIGTERM,
}


@dataclass(frozen=True, slots=True)
class AddressBlock:
    """The loopback addresses of one run; `network` is their first three octets."""

    network: str

    @property
    def environment_host(self) -> str:
        """The host of all other processes than the instances."""
        return f"{self.network}.1"

    def host(self, instance: int) -> str:
        """Return an instance's host."""
        return f"{self.network}.{_FIRST_HOST + instance}"

    def listen(self, instance: int) -> str:
        """Return the address on which an instance listens for clients."""
        return f"{self.host(instance)}:{LIMITS.client_port}"

    def ops(self, instance: int, is_successor: bool = False) -> str:
        """Return the address on which an instance listens for operators; a successor uses another port."""
        return f"{self.host(instance)}:{LIMITS.ops_port + is_successor}"

    def peer_listen(self, instance: int) -> str:
        """Return the address on which an instance listens for its peers."""
        return f"{self.host(instance)}:{LIMITS.peer_port}"

    @property
    def store(self) -> str:
        """The address on which the store's writer listens."""
        return f"{self.host(STORE_WRITER)}:{LIMITS.store_port}"


@dataclass(frozen=True, slots=True)
class InstanceDependencies:
    """The services and proxies that instances connect to."""

    environment: LabEnvironment
    peer_links: DatagramProxy
    streams: StreamProxy


def replace_file(path: pathlib.Path, text: str) -> None:
    """Replace a file atomically: an instance may be reading it."""
    replacement = path.with_suffix(".new")
    replacement.write_text(text)
    replacement.replace(path)


def _successor_name(instance: int) -> str:
    """Return the common name of the files of an upgrade's successor process."""
    return f"n{instance}-newer"


class InstanceProcesses:
    """The processes of all instances. A context manager that terminates every one of them on exit."""

    def __init__(
        self,
        scheduler: Scheduler,
        experiment: Experiment,
        folder: pathlib.Path,
        addresses: AddressBlock,
        dependencies: InstanceDependencies,
    ) -> None:
        """Take the dependencies of instances; `start` starts them."""
        self._scheduler = scheduler
        self._experiment = experiment
        self._folder = folder
        self._addresses = addresses
        self._dependencies = dependencies
        self._current: list[Process] = []  # by instance
        self._successors: dict[int, Process] = {}  # of upgrades in progress, by instance
        self._prepared_successors: dict[int, Process] = {}  # of future upgrades, by instance
        self._predecessors: list[Process] = []  # replaced by their successors
        self._discovery_addresses: dict[int, str] = {}
        self._store_addresses: dict[int, str] = {}
        self.late_starters = experiment.instances_affected_by(*LATE_STARTS)  # started by a fault

    def start(self) -> None:
        """Write every instance's files and start all instances but the late starters."""
        (self._folder / TEMPORARY_FOLDER).mkdir()
        for instance in range(self._experiment.instances):
            name = self._write_files(instance, self._discovery_address(instance))
            self._current.append(self._launch(name, start_now=instance not in self.late_starters))
        for fault in self._experiment.faults:
            if fault.instance is not None:
                self._prepare(fault, fault.instance)
        pids = [process.pid for process in self._current]
        (self._folder / "pids.json").write_text(json.dumps(pids))

    def _prepare(self, fault: Fault, instance: int) -> None:
        """Preload the process that a fault starts, so that its start time does not depend on the machine."""
        if fault.kind is FaultKind.UPGRADE:
            successor = self._launch(_successor_name(instance), start_now=False)
            successor.prepare_start()
            self._prepared_successors[instance] = successor
        elif fault.kind in _STARTS:
            self._current[instance].prepare_start()

    @property
    def are_prepared(self) -> bool:
        """Whether every process that the experiment's faults start is loaded."""
        return all(process.is_prepared for process in [*self._current, *self._prepared_successors.values()])

    def process(self, instance: int) -> Process:
        """Return an instance's current process; the predecessor while an upgrade is in progress."""
        return self._current[instance]

    def exit_codes(self) -> list[int | None]:
        """Return every instance's exit code; None for a running one."""
        return [process.exit_code for process in self._current]

    def usage(self) -> dict[str, ProcessUsage]:
        """Return the resource usage of the running instances, by name."""
        usage = {f"n{instance}": process.usage() for instance, process in enumerate(self._current)}
        return {name: used for name, used in usage.items() if used}

    def set_wall_offset(self, instance: int, offset_s: int) -> None:
        """Set the offset of an instance's wall clock from the machine's."""
        replace_file(self._folder / f"n{instance}.wall", str(offset_s))

    def set_weight(self, instance: int, weight: float) -> None:
        """Change the plan's priority weight in an instance's configuration, for its next reload."""
        path = self._folder / f"n{instance}.json"
        configuration = json.loads(path.read_text())
        configuration["settings"]["Contracts"][0]["Weight"] = weight
        replace_file(path, json.dumps(configuration, indent=1))

    def move_to_spare_discovery(self, instance: int) -> None:
        """Set the spare discovery service in an instance's configuration, for its next reload."""
        self._write_files(instance, self._dependencies.environment.spare_discovery.address)

    def start_successor(self, instance: int) -> None:
        """Start the successor process of an upgrade."""
        name = self._write_files(instance, self._discovery_address(instance), is_successor=True)
        successor = self._prepared_successors.pop(instance, None) or self._launch(name, start_now=False)
        successor.start()
        self._successors[instance] = successor

    def end_predecessor(self, instance: int, how: ProcessEnd) -> None:
        """Signal the predecessor of an upgrade to exit; the successor becomes the current process."""
        predecessor = self._current[instance]
        predecessor.send_signal(_END_SIGNALS[how])
        if how is ProcessEnd.STOP:
            # A supervisor would kill a process that does not exit in time.
            self._scheduler.call_at(
                self._scheduler.now + LIMITS.supervisor_kill_us,
                lambda: predecessor.send_signal(signal.SIGKILL),
            )
        self._predecessors.append(predecessor)
        self._current[instance] = self._successors.pop(instance)

    def _write_files(self, instance: int, discovery: str, is_successor: bool = False) -> str:
        """Write an instance's files; return their common name."""
        name = _successor_name(instance) if is_successor else f"n{instance}"
        addresses = self._addresses
        configuration = platform_configuration(
            self._experiment,
            instance,
            InstanceAddresses(
                listen=addresses.listen(instance),
                ops=addresses.ops(instance, is_successor),
                discovery=discovery,
                peer_listen=addresses.peer_listen(instance),
                peers=self._dependencies.peer_links.addresses_seen_by(instance),
            ),
        )
        (self._folder / f"{name}.json").write_text(json.dumps(configuration, indent=1))
        wall_file = self._folder / f"n{instance}.wall"
        if not wall_file.exists():
            wall_file.write_text("0")
        options = self._operator_options(instance, wall_file)
        (self._folder / f"{name}.toml").write_text(operator_file(self._experiment, options))
        return name

    def _operator_options(self, instance: int, wall_file: pathlib.Path) -> OperatorOptions:
        own = [self._addresses.peer_listen(peer) for peer in range(self._experiment.instances)]
        routes = self._dependencies.peer_links.addresses_seen_by(instance)
        return OperatorOptions(
            history=str(self._folder / f"n{instance}.history"),
            wall_file=str(wall_file),
            seeds=own[: self._experiment.seed_instances],
            routes=dict(zip(own, routes, strict=True)),
            store=self._store_address(instance),
            is_writer=instance == STORE_WRITER,
            audit=str(self._folder / "audit"),
        )

    def _discovery_address(self, instance: int) -> str:
        """Return the address at which all processes of an instance reach discovery."""
        if instance not in self._discovery_addresses:
            own = self._dependencies.environment.discoveries[instance].address
            link = StreamLink(LinkKind.DISCOVERY, instance)
            self._discovery_addresses[instance] = self._dependencies.streams.open_link(link, own)
        return self._discovery_addresses[instance]

    def _store_address(self, instance: int) -> str:
        """Return the address at which all processes of an instance reach the store's writer."""
        if not self._experiment.store or instance == STORE_WRITER:
            return self._addresses.store
        if instance not in self._store_addresses:
            link = StreamLink(LinkKind.STORE, instance)
            self._store_addresses[instance] = self._dependencies.streams.open_link(
                link, self._addresses.store
            )
        return self._store_addresses[instance]

    def _launch(self, name: str, start_now: bool = True) -> Process:
        configuration = str(self._folder / f"{name}.json")
        operator = str(self._folder / f"{name}.toml")
        return Process(
            ["garnetlanding", "serve", "--config", configuration, "--operator", operator],
            self._folder / f"{name}.log",
            start_now,
        )

    def __enter__(self) -> InstanceProcesses:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        processes = [
            *self._predecessors,
            *self._current,
            *self._successors.values(),
            *self._prepared_successors.values(),
        ]
        for process in processes:
            process.discard_prepared()
        for process in processes:
            process.send_signal(signal.SIGCONT)  # a stopped process handles SIGTERM only once resumed
        for process in processes:
            process.send_signal(signal.SIGTERM)
        for process in processes:
            process.terminate()
