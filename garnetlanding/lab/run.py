"""Runs an experiment: starts its processes, injects its faults, ends them and checks the histories."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import threading
from collections.abc import Callable, Iterator
from functools import partial

from garnetlanding.lab import history, invariants, result
from garnetlanding.lab.datagram_proxy import DatagramProxy
from garnetlanding.lab.environment import LabEnvironment
from garnetlanding.lab.environment_history import EnvironmentHistory
from garnetlanding.lab.errors import FolderNotEmptyError, InterruptedRunError, ProcessFailedError
from garnetlanding.lab.experiment import Experiment
from garnetlanding.lab.fault_injector import FaultInjector
from garnetlanding.lab.faults import LinkKind
from garnetlanding.lab.history import LineKind
from garnetlanding.lab.instances import AddressBlock, InstanceDependencies, InstanceProcesses
from garnetlanding.lab.limits import LIMITS, SECOND
from garnetlanding.lab.network_faults import NetworkFaultModel
from garnetlanding.lab.operator_call import OperatorCalls
from garnetlanding.lab.processes import Process, ProcessUsage
from garnetlanding.lab.result import RunResult
from garnetlanding.lab.run_clock import RunClock
from garnetlanding.lab.stream_faults import StreamFaultModel, StreamLink
from garnetlanding.lab.stream_proxy import StreamProxy
from garnetlanding.lab.workload import Request, draw_requests, encode_request
from garnetlanding.runtime.errors import DeadlineExceededError
from garnetlanding.runtime.scheduler import Scheduler
from garnetlanding.runtime.stream import Stream

Progress = Callable[[float], None]
"""Receives the completed fraction of a run."""

_OCTET = 256
_FIRST_NETWORK = 64  # the least second octet of a run's addresses
_NETWORKS = 64


def run(experiment: Experiment, folder: pathlib.Path, progress: Progress | None = None) -> RunResult:
    """Run an experiment and write its result to the folder, which must be new or empty.

    Raises LabError if the run cannot be completed, OSError if the folder cannot be written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise FolderNotEmptyError(folder)
    with _signals_raise_interrupted_error():
        finished = _execute(experiment, folder, progress or _ignore_progress)
    text = json.dumps(result.encode_result(finished), indent=1)
    (folder / result.FILE_NAME).write_text(text + "\n")
    return finished


def _ignore_progress(done: float) -> None:
    """Stand in for the progress callback if the caller passes none."""


@contextlib.contextmanager
def _signals_raise_interrupted_error() -> Iterator[None]:
    """Raise InterruptedRunError on SIGTERM and SIGHUP, whose default action would leave processes running."""

    def interrupt(number: int, _: object) -> None:
        raise InterruptedRunError(signal.Signals(number).name, number)

    if threading.current_thread() is not threading.main_thread():
        yield  # only the main thread can install signal handlers
        return
    previous_handlers = {
        number: signal.signal(number, interrupt) for number in (signal.SIGTERM, signal.SIGHUP)
    }
    try:
        yield
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)


def _execute(experiment: Experiment, folder: pathlib.Path, progress: Progress) -> RunResult:
    requests = draw_requests(experiment)
    with contextlib.ExitStack() as resources:
        execution = _Execution(experiment, folder, resources)
        began_us = execution.run(requests, progress)
        usage = execution.usage()
    lines = history.read(sorted(folder.glob("*.history")))
    report = invariants.check(experiment, requests, lines, folder)
    return RunResult(experiment, report, lines, began_us, execution.network_counts(), usage, folder)


def _address_block() -> AddressBlock:
    """Return a block of loopback addresses derived from the process id, so that concurrent labs differ."""
    pid = os.getpid()
    return AddressBlock(f"127.{_FIRST_NETWORK + pid // _OCTET % _NETWORKS}.{pid % _OCTET}")


class _Execution:
    """One run in progress. Its resources are entered into `resources`, which the owner closes."""

    def __init__(self, experiment: Experiment, folder: pathlib.Path, resources: contextlib.ExitStack) -> None:
        self._experiment = experiment
        self._folder = folder
        self._resources = resources
        self._addresses = _address_block()
        host = self._addresses.environment_host
        self._scheduler = resources.enter_context(contextlib.closing(Scheduler()))
        self._history = resources.enter_context(EnvironmentHistory(folder))
        self._clock = RunClock(self._scheduler)
        self._stream_faults = StreamFaultModel(experiment, LIMITS.trickle_bytes)
        self._streams = resources.enter_context(
            StreamProxy(self._scheduler, host, self._clock, self._stream_faults)
        )
        self._environment = LabEnvironment(
            self._scheduler,
            host,
            experiment,
            self._history.record,
            lambda instance, backend: self._streams.open_link(
                StreamLink(LinkKind.BACKEND, instance, backend.number), backend.address
            ),
        )
        self._network_faults = NetworkFaultModel(experiment)
        peer_links = resources.enter_context(
            DatagramProxy(
                self._scheduler,
                host,
                self._clock,
                self._network_faults,
                [(self._addresses.host(number), LIMITS.peer_port) for number in range(experiment.instances)],
                [f"b{backend.number}" for backend in self._environment.backends],
            )
        )
        dependencies = InstanceDependencies(self._environment, peer_links, self._streams)
        self._instances = resources.enter_context(
            InstanceProcesses(self._scheduler, experiment, folder, self._addresses, dependencies)
        )

    def run(self, requests: list[Request], progress: Progress) -> int:
        """Run the experiment to its end; return when the clients started."""
        self._instances.start()
        clients = self._prepare_clients()
        self._wait_until_ready()
        self._wait_until_prepared(clients)
        began_us = self._scheduler.now + LIMITS.settle_us
        self._clock.began_us = began_us
        self._schedule_faults(began_us)
        self._write_plan(requests, began_us)
        clients.start()
        self._wait_for_clients(clients, began_us, progress)
        for backend in self._environment.backends:
            self._history.record(
                LineKind.CONNECTIONS_LEFT, brick=backend.number, count=len(backend.connections)
            )
        return began_us

    def usage(self) -> dict[str, ProcessUsage]:
        """Return the resource usage of each instance's process."""
        return self._instances.usage()

    def network_counts(self) -> dict[str, int]:
        """Return the datagram counts of the network fault model, and the number of proxied connections."""
        return {**self._network_faults.counts, "connections": self._streams.accepted}

    def _schedule_faults(self, began_us: int) -> None:
        calls = OperatorCalls(self._scheduler, self._environment, self._addresses, self._history.record)
        injector = FaultInjector(
            self._scheduler, self._environment, self._instances, calls.send, self._history.record
        )
        for fault in self._experiment.faults:
            injector.schedule(fault, began_us)
        for reset_us in self._stream_faults.reset_times_us():
            self._scheduler.call_at(began_us + reset_us, self._streams.reset)

    def _wait_until_ready(self) -> None:
        """Run until every instance but the late starters has responded to PING."""
        not_ready = set(range(self._experiment.instances)) - self._instances.late_starters
        deadline_us = self._scheduler.now + LIMITS.ready_timeout_s * SECOND
        for instance in sorted(not_ready):
            self._scheduler.spawn(partial(self._ping_until_answered, instance, not_ready, deadline_us))
        while not_ready:
            self._scheduler.run_iteration(LIMITS.iteration_wait_ms)
            for instance, exit_code in enumerate(self._instances.exit_codes()):
                if exit_code is not None and instance not in self._instances.late_starters:
                    name = f"n{instance}"
                    text = f"{name} exited with code {exit_code}: see {name}.log"
                    raise ProcessFailedError(text, name, exit_code)
            if self._scheduler.now > deadline_us:
                name = f"n{min(not_ready)}"
                text = f"{name} is not ready after {LIMITS.ready_timeout_s} s: see {name}.log"
                raise ProcessFailedError(text, name)

    def _wait_until_prepared(self, clients: Process) -> None:
        """Run until every process that starts later has loaded its program.

        Otherwise the load time on a busy machine would be part of the experiment.
        """
        deadline_us = self._scheduler.now + LIMITS.ready_timeout_s * SECOND
        while not (clients.is_prepared and self._instances.are_prepared):
            self._scheduler.run_iteration(LIMITS.iteration_wait_ms)
            if self._scheduler.now > deadline_us:
                text = f"the standby processes are not loaded after {LIMITS.ready_timeout_s} s"
                raise ProcessFailedError(text, "standby")

    def _ping_until_answered(self, instance: int, not_ready: set[int], deadline_us: int) -> None:
        while instance in not_ready and self._scheduler.now < deadline_us:
            try:
                stream = Stream.connect(
                    self._scheduler,
                    self._addresses.listen(instance),
                    self._environment.pool,
                    self._environment.limits,
                    self._scheduler.now + SECOND,
                )
            except (OSError, DeadlineExceededError):
                self._scheduler.sleep(LIMITS.ping_interval_us)
                continue
            stream.write(b"PING\r\n")
            try:
                with contextlib.suppress(DeadlineExceededError):
                    stream.read(lambda _: not_ready.discard(instance), self._scheduler.now + SECOND)
            finally:
                stream.close()

    @property
    def _plan_path(self) -> pathlib.Path:
        return self._folder / "plan.json"

    def _prepare_clients(self) -> Process:
        """Return the clients' process, preloaded but not started."""
        clients = Process(
            ["garnetlanding.lab.clients", str(self._plan_path), str(self._folder / "clients.history")],
            self._folder / "clients.log",
            start_now=False,
        )
        self._resources.callback(clients.kill)
        self._resources.callback(clients.discard_prepared)
        clients.prepare_start()
        return clients

    def _write_plan(self, requests: list[Request], began_us: int) -> None:
        """Write the clients' plan."""
        addresses = [
            self._streams.open_link(StreamLink(LinkKind.CLIENT, instance), self._addresses.listen(instance))
            for instance in range(self._experiment.instances)
        ]
        plan = {
            "heads": addresses,
            "begins": began_us,
            "requests": [encode_request(request) for request in requests],
        }
        self._plan_path.write_text(json.dumps(plan))

    def _wait_for_clients(self, clients: Process, began_us: int, progress: Progress) -> None:
        experiment = self._experiment
        last_us = (
            began_us
            + experiment.duration_us
            + experiment.workload.client_timeout_us
            + LIMITS.clients_exit_timeout_s * SECOND
        )
        while clients.exit_code is None:
            self._scheduler.run_iteration(LIMITS.iteration_wait_ms)
            elapsed_us = max(0, self._scheduler.now - began_us)
            progress(min(1.0, elapsed_us / experiment.duration_us))
            if self._scheduler.now > last_us:
                raise ProcessFailedError("the clients did not finish in time", "clients")
        if clients.exit_code:
            text = f"the clients exited with code {clients.exit_code}: see clients.log"
            raise ProcessFailedError(text, "clients", clients.exit_code)
