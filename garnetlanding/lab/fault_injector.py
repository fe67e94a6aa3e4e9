"""Injects the faults of an experiment, each at its time, and records them in the history."""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from garnetlanding.lab.environment import LabEnvironment
from garnetlanding.lab.environment_history import EventRecorder
from garnetlanding.lab.faults import (
    BACKEND_FAULTS,
    INSTANCE_FAULTS,
    MEMBERSHIP_CHANGES,
    OPERATOR_CALLS,
    PROCESS_FAULTS,
    RELOADS,
    Fault,
    FaultKind,
)
from garnetlanding.lab.history import LineKind
from garnetlanding.lab.instances import InstanceProcesses
from garnetlanding.runtime.scheduler import Scheduler

Action = Callable[[], None]

_PROCESS_SIGNALS = {
    FaultKind.KILL: signal.SIGKILL,
    FaultKind.STOP: signal.SIGSTOP,
    FaultKind.TERMINATE: signal.SIGTERM,
}


@dataclass(frozen=True, slots=True)
class Step:
    """One action of a fault, at a time after the clients' start; the history names it `recorded_kind`."""

    at_us: int
    recorded_kind: str
    action: Action


def _no_action() -> None:
    """Do nothing: the fault models of links check the time themselves."""


class FaultInjector:
    """Schedules the faults of processes and backends; link faults are only recorded."""

    def __init__(
        self,
        scheduler: Scheduler,
        environment: LabEnvironment,
        instances: InstanceProcesses,
        call: Callable[[Fault], None],
        record: EventRecorder,
    ) -> None:
        """Take the targets of faults; `call` makes an operator call and runs in a separate task."""
        self._scheduler = scheduler
        self._environment = environment
        self._instances = instances
        self._call = call
        self._record = record

    def schedule(self, fault: Fault, began_us: int) -> None:
        """Schedule every step of a fault; the clients start at `began_us`."""
        for step in self.steps(fault):
            self._scheduler.call_at(began_us + step.at_us, self._recording_action(fault, step))

    def steps(self, fault: Fault) -> Iterator[Step]:
        """Yield the steps of a fault, by time."""
        if fault.kind in BACKEND_FAULTS:
            return self._backend_steps(fault)
        if fault.instance is not None and fault.kind in INSTANCE_FAULTS - {FaultKind.BYZANTINE}:
            return self._instance_steps(fault, fault.instance)
        return self._link_steps(fault)

    def _recording_action(self, fault: Fault, step: Step) -> Action:
        def apply_step() -> None:
            self._record(LineKind.FAULT, kind=step.recorded_kind, which=fault.recorded_subject)
            step.action()

        return apply_step

    def _backend_steps(self, fault: Fault) -> Iterator[Step]:
        assert fault.backend is not None
        backend = self._environment.backends[fault.backend]
        match fault.kind:
            case FaultKind.UNRESPONSIVE:
                yield Step(fault.start_us, "silent", backend.stop_answering)
                yield Step(fault.end_us, "heard", backend.resume_answering)
            case FaultKind.DOWN:
                yield Step(fault.start_us, "down", backend.refuse_connections)
                yield Step(fault.end_us, "up", backend.accept_connections)
            case FaultKind.RESTART:
                yield Step(fault.start_us, "down", backend.refuse_connections)
                yield Step(fault.end_us, "up", lambda: self._environment.restart(backend))

    def _link_steps(self, fault: Fault) -> Iterator[Step]:
        yield Step(fault.start_us, fault.kind.value, _no_action)
        yield Step(fault.end_us, f"{fault.kind.value} over", _no_action)

    def _instance_steps(self, fault: Fault, instance: int) -> Iterator[Step]:
        if fault.kind in PROCESS_FAULTS:
            yield from self._process_steps(fault, instance)
        elif fault.kind is FaultKind.UPGRADE:
            yield Step(fault.start_us, "upgrade", lambda: self._instances.start_successor(instance))
            yield Step(
                fault.end_us,
                fault.predecessor_end.value,
                lambda: self._instances.end_predecessor(instance, fault.predecessor_end),
            )
        else:
            yield Step(fault.start_us, fault.kind.value, self._instantaneous_action(fault, instance))

    def _process_steps(self, fault: Fault, instance: int) -> Iterator[Step]:
        number = _PROCESS_SIGNALS[fault.kind]
        yield Step(fault.start_us, fault.kind.value, lambda: self._send_signal(instance, number))
        if fault.kind is FaultKind.STOP:
            yield Step(fault.end_us, "cont", lambda: self._send_signal(instance, signal.SIGCONT))
        else:
            yield Step(fault.end_us, "start", lambda: self._restart(fault, instance))

    def _instantaneous_action(self, fault: Fault, instance: int) -> Action:
        if fault.kind in OPERATOR_CALLS:
            return lambda: self._start_call(fault)
        if fault.kind in RELOADS:
            return lambda: self._reload(fault, instance)
        if fault.kind in MEMBERSHIP_CHANGES:
            return self._membership_action(fault, instance)
        return lambda: self._instances.set_wall_offset(instance, fault.wall_offset_s)

    def _membership_action(self, fault: Fault, instance: int) -> Action:
        process = self._instances.process(instance)
        if fault.kind is FaultKind.LEAVE:
            return lambda: process.send_signal(signal.SIGTERM)
        return process.start

    def _start_call(self, fault: Fault) -> None:
        self._scheduler.spawn(lambda: self._call(fault))

    def _send_signal(self, instance: int, number: int) -> None:
        self._instances.process(instance).send_signal(number)

    def _restart(self, fault: Fault, instance: int) -> None:
        if fault.wall_offset_s:
            self._instances.set_wall_offset(instance, fault.wall_offset_s)
        self._instances.process(instance).start()

    def _reload(self, fault: Fault, instance: int) -> None:
        if fault.kind is FaultKind.MOVE_DISCOVERY:
            self._instances.move_to_spare_discovery(instance)
        elif fault.kind is FaultKind.CHANGE_SETTINGS:
            self._instances.set_weight(instance, fault.weight)
        self._send_signal(instance, signal.SIGHUP)
