"""Runs an experiment: starts what it names, lets its faults happen, ends all, and checks the histories."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import signal
import threading
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass

from garnetlanding.lab import audits, checks, heads, history, plan
from garnetlanding.lab.experiment import (
    CALLS,
    CLOCKS,
    COMINGS,
    PROCESS_FAULTS,
    RELOADS,
    UPGRADES,
    Experiment,
    Fault,
)
from garnetlanding.lab.findings import Findings
from garnetlanding.lab.history import Line
from garnetlanding.lab.limits import LIMITS, SECOND
from garnetlanding.lab.processes import Process
from garnetlanding.lab.proxy import Links
from garnetlanding.lab.streams import Link, Streams
from garnetlanding.lab.tcp import TcpLinks
from garnetlanding.lab.weather import Weather
from garnetlanding.lab.world import Surroundings
from garnetlanding.ops.admin_client import method_and_path
from garnetlanding.runtime.errors import DeadlineExceededError
from garnetlanding.runtime.scheduler import Scheduler, monotonic_us
from garnetlanding.runtime.stream import Stream

SIGNALS = {"kill": signal.SIGKILL, "stop": signal.SIGSTOP, "term": signal.SIGTERM}


class LabError(Exception):
    """The experiment could not be carried through; its histories prove nothing."""


@dataclass(slots=True)
class Result:
    experiment: Experiment
    findings: Findings
    lines: list[Line]
    began: int
    fates: dict[str, int]
    costs: dict[str, dict[str, float]]  # of each head's last process: CPU in s, memory in MB
    folder: pathlib.Path

    def as_json(self) -> dict[str, object]:
        f = self.findings
        return {
            "name": self.experiment.name,
            "seed": self.experiment.seed,
            "sound": f.sound,
            "asked": f.asked,
            "outcomes": dict(f.outcomes),
            "attempts": f.attempts,
            "over": round(f.over, 2),
            "used": round(f.used, 3),
            "parts_most": round(f.parts_most, 3),
            "evens_most": round(f.evens_most, 3),
            "cold_most": round(f.cold_most, 3),
            "places_most": f.places_most,
            "kept": f.kept,
            "old_us": f.old_us,
            "audited": f.audited,
            "lives": f.lives,
            "doubts": f.doubts,
            "doubts_unfounded": f.doubts_unfounded,
            "links": self.fates,
            "costs": self.costs,
            "broken": f.broken,
        }


class Lab:
    """One run. Addresses are of the loopback range, one block for each process that runs experiments."""

    def __init__(self, experiment: Experiment, folder: pathlib.Path) -> None:
        self._experiment, self._folder = experiment, folder
        self._scheduler = Scheduler()
        self._net = f"127.{64 + os.getpid() // 256 % 64}.{os.getpid() % 256}"
        self._notes = os.open(folder / "bricks.history", os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._began: int | None = None  # when the clients did
        self._streams = Streams(experiment, LIMITS.trickle_bytes)
        self._tcp = TcpLinks(self._scheduler, self._streams, self._since)
        self._world = Surroundings(
            self._scheduler,
            f"{self._net}.1",
            experiment.heads,
            experiment.bricks,
            self._note,
            lambda head, brick, at: self._tcp.place(Link("brick", head, brick), f"{self._net}.1", at),
        )
        self._weather = Weather(experiment)
        self._links = Links(
            self._scheduler,
            f"{self._net}.1",
            self._weather,
            [(self._at(i), LIMITS.peer_port) for i in range(experiment.heads)],
            [f"b{brick.number}" for brick in self._world.bricks],
        )
        self._heads: list[Process] = []
        self._late = {fault.who for fault in experiment.faults if fault.kind in ("join", "twin")}
        self._listed_at: dict[int, str] = {}  # discovery's address, by head
        self._store_at: dict[int, str] = {}  # where a follower reaches the writer
        self._newer: dict[int, Process] = {}  # second processes, by head
        self._older: list[Process] = []  # first ones whose heads go on in the second
        self._clients: Process | None = None

    def _since(self) -> int:
        return -1 if self._began is None else self._scheduler.now - self._began

    def _at(self, head: int) -> str:
        return f"{self._net}.{10 + head}"

    def _note(self, what: str, **more: object) -> None:
        line = {"t": monotonic_us(), "who": "bricks", "what": what, **more}
        os.write(self._notes, json.dumps(line, separators=(",", ":")).encode() + b"\n")

    def run(self, progress: Callable[[float], None]) -> Result:
        """`progress` is told how much of it is done, from 0 to 1."""
        e, requests = self._experiment, plan.draw(self._experiment)
        try:
            self._start_heads()
            began = self._scheduler.now + LIMITS.settle_us
            self._links.began = self._began = began
            for fault in e.faults:
                self._plan_fault(fault, began)
            for when in self._streams.resets():
                self._scheduler.call_at(began + when, self._tcp.reset)
            self._start_clients(requests, began)
            last = began + e.length_us + e.load.wait_us + LIMITS.last_s * SECOND
            assert self._clients
            while self._clients.code is None:
                self._scheduler.turn(LIMITS.turn_ms)
                progress(min(1.0, max(0, self._scheduler.now - began) / e.length_us))
                if self._scheduler.now > last:
                    raise LabError("the clients did not come to an end")
            if self._clients.code:
                raise LabError(f"the clients ended with code {self._clients.code}: see clients.log")
            for brick in self._world.bricks:
                self._note("kept", brick=brick.number, count=len(brick.conns))
            costs = {f"n{me}": cost for me, head in enumerate(self._heads) if (cost := head.cost())}
        finally:
            self._end()
        lines = history.read(sorted(self._folder.glob("*.history")))
        findings = checks.check(e, requests, lines)
        if e.audit:
            audits.check(self._folder / "audit", lines, findings)
        for log in sorted(self._folder.glob("n*.log")):
            # What a head catches costs it what it was at, and shows in no history.
            findings.broken += [
                f"defect: {log.name}: {line[:LIMITS.line_shown]}"
                for line in log.read_text(errors="replace").splitlines()
                if "trace=" in line
            ]
        fates = {**self._weather.fates, "connections": self._tcp.passed}
        return Result(e, findings, lines, began, fates, costs, self._folder)

    def _configure(self, me: int, discovery: str, newer: bool = False) -> str:
        """Writes a head's files; gives back the name they have in common. The second process of an upgrade
        has a port of its own for operators."""
        e, name = self._experiment, f"n{me}-newer" if newer else f"n{me}"
        config = heads.configuration(
            e,
            me,
            f"{self._at(me)}:{LIMITS.port}",
            f"{self._at(me)}:{LIMITS.ops_port + newer}",
            discovery,
            f"{self._at(me)}:{LIMITS.peer_port}",
            self._links.peers(me),
        )
        (self._folder / f"{name}.json").write_text(json.dumps(config, indent=1))
        if not (wall := self._folder / f"n{me}.wall").exists():
            wall.write_text("0")
        own = [f"{self._at(you)}:{LIMITS.peer_port}" for you in range(e.heads)]
        routes = dict(zip(own, self._links.peers(me), strict=True))
        store = f"{self._at(0)}:{LIMITS.store_port}"
        if e.store and me and me not in self._store_at:
            self._store_at[me] = self._tcp.place(Link("store", me), f"{self._net}.1", store)
        (self._folder / f"{name}.toml").write_text(
            heads.operators_file(
                e,
                str(self._folder / f"n{me}.history"),
                str(wall),
                own[: e.group],
                routes,
                self._store_at.get(me, store),
                me == 0,
                str(self._folder / "audit"),
            )
        )
        return name

    def _discovery(self, me: int) -> str:
        """Where a head finds it: one address for all its processes."""
        if me not in self._listed_at:
            self._listed_at[me] = self._tcp.place(
                Link("discovery", me), f"{self._net}.1", self._world.discoveries[me].address
            )
        return self._listed_at[me]

    def _launch(self, name: str, begins: bool = True) -> Process:
        files = self._folder / f"{name}.json", self._folder / f"{name}.toml"
        return Process(
            ["garnetlanding", "serve", "--config", str(files[0]), "--operator", str(files[1])],
            self._folder / f"{name}.log",
            begins,
        )

    def _start_heads(self) -> None:
        e = self._experiment
        (self._folder / "tmp").mkdir()
        for me in range(e.heads):
            name = self._configure(me, self._discovery(me))
            self._heads.append(self._launch(name, begins=me not in self._late))
        (self._folder / "pids.json").write_text(json.dumps([head.id for head in self._heads]))
        waiting = set(range(e.heads)) - self._late
        last = self._scheduler.now + LIMITS.ready_s * SECOND
        for me in sorted(waiting):
            self._scheduler.spawn(lambda me=me: self._greet(me, waiting, last))  # type: ignore[misc]
        while waiting:
            self._scheduler.turn(LIMITS.turn_ms)
            for me, head in enumerate(self._heads):
                if head.code is not None and me not in self._late:
                    raise LabError(f"n{me} ended with code {head.code}: see n{me}.log")
            if self._scheduler.now > last:
                late = f"n{min(waiting)}"
                raise LabError(f"{late} is not ready after {LIMITS.ready_s} s: see {late}.log")

    def _greet(self, me: int, waiting: set[int], last: int) -> None:
        """Until the head has answered PING: a head is used once it has."""
        world, scheduler = self._world.bricks[0], self._scheduler
        while me in waiting and scheduler.now < last:
            try:
                stream = Stream.connect(
                    scheduler,
                    f"{self._at(me)}:{LIMITS.port}",
                    world.pool,
                    world.limits,
                    scheduler.now + SECOND,
                )
            except (OSError, DeadlineExceededError):
                scheduler.sleep(LIMITS.greet_us)
                continue
            stream.write(b"PING\r\n")
            try:
                if stream.read(lambda data: waiting.discard(me), scheduler.now + SECOND):
                    continue
            except DeadlineExceededError:
                pass
            finally:
                stream.close()

    def _start_clients(self, requests: list[plan.Request], began: int) -> None:
        at = [
            self._tcp.place(Link("client", i), f"{self._net}.1", f"{self._at(i)}:{LIMITS.port}")
            for i in range(self._experiment.heads)
        ]
        told = {"heads": at, "begins": began, "requests": [asdict(r) for r in requests]}
        (self._folder / "plan.json").write_text(json.dumps(told))
        files = [str(self._folder / "plan.json"), str(self._folder / "clients.history")]
        self._clients = Process(["garnetlanding.lab.clients", *files], self._folder / "clients.log")

    def _plan_fault(self, fault: Fault, began: int) -> None:
        def at(when: int, what: str, act: Callable[[], None]) -> None:
            def happen() -> None:
                self._note("fault", kind=what, which=fault.who)
                act()

            self._scheduler.call_at(began + when, happen)

        if fault.kind == "silent":
            brick = self._world.bricks[fault.who]
            at(fault.at_us, "silent", lambda: setattr(brick, "silent", True))
            at(fault.until_us, "heard", lambda: setattr(brick, "silent", False))
        elif fault.kind == "down":
            brick = self._world.bricks[fault.who]
            at(fault.at_us, "down", brick.fall)
            at(fault.until_us, "up", brick.rise)
        elif fault.kind == "restart":
            brick = self._world.bricks[fault.who]
            at(fault.at_us, "down", brick.fall)
            at(fault.until_us, "up", lambda: self._world.started(brick))
        elif fault.kind in COMINGS:
            head = self._heads[fault.who]
            at(
                fault.at_us,
                fault.kind,
                (lambda: head.signal(signal.SIGTERM)) if fault.kind == "leave" else head.start,
            )
        elif fault.kind in CLOCKS:
            at(fault.at_us, fault.kind, lambda: self._step(fault))
        elif fault.kind in UPGRADES:
            at(fault.at_us, "upgrade", lambda: self._upgrade(fault.who))
            at(fault.until_us, fault.how, lambda: self._hand_over(fault))
        elif fault.kind in RELOADS:
            at(fault.at_us, fault.kind, lambda: self._reload(fault))
        elif fault.kind in CALLS:
            at(fault.at_us, fault.kind, lambda: self._call_soon(fault))
        elif fault.kind not in PROCESS_FAULTS:
            # Of links: they look at the time themselves.
            at(fault.at_us, fault.kind, lambda: None)
            at(fault.until_us, f"{fault.kind} over", lambda: None)
        else:
            at(fault.at_us, fault.kind, lambda: self._heads[fault.who].signal(SIGNALS[fault.kind]))
            if fault.kind == "stop":
                at(fault.until_us, "cont", lambda: self._heads[fault.who].signal(signal.SIGCONT))
            else:
                at(fault.until_us, "start", lambda: self._start_again(fault))

    def _start_again(self, fault: Fault) -> None:
        if fault.wall_s:
            self._step(fault)
        self._heads[fault.who].start()

    def _step(self, fault: Fault) -> None:
        # Replaced whole: the head may be reading it.
        path = self._folder / f"n{fault.who}.wall"
        new = path.with_suffix(".new")
        new.write_text(str(fault.wall_s))
        new.replace(path)

    def _upgrade(self, who: int) -> None:
        self._newer[who] = self._launch(self._configure(who, self._discovery(who), True))

    def _hand_over(self, fault: Fault) -> None:
        """The first process gets its signal; from now on the head is the second."""
        older = self._heads[fault.who]
        older.signal(SIGNALS[fault.how])
        if fault.how == "stop":
            # As whoever supervises it would, once it has not ended in time.
            self._scheduler.call_at(
                self._scheduler.now + LIMITS.supervise_us, lambda: older.signal(signal.SIGKILL)
            )
        self._older.append(older)
        self._heads[fault.who] = self._newer.pop(fault.who)

    def _reload(self, fault: Fault) -> None:
        if fault.kind == "move":
            self._configure(fault.who, self._world.spare.address)
        if fault.kind == "settings":
            path = self._folder / f"n{fault.who}.json"
            config = json.loads(path.read_text())
            config["settings"]["Contracts"][0]["Weight"] = fault.weight
            new = path.with_suffix(".new")
            new.write_text(json.dumps(config, indent=1))
            new.replace(path)
        self._heads[fault.who].signal(signal.SIGHUP)

    def _call_soon(self, fault: Fault) -> None:
        self._scheduler.spawn(lambda: self._call(fault))

    def _call(self, fault: Fault) -> None:
        """An operator's call at one head; what it answered is noted, or that it did not."""
        world, scheduler = self._world.bricks[0], self._scheduler
        if fault.kind in ("shut-out", "let-in"):
            method, path = method_and_path(f"fleet/{fault.kind}", str(fault.brick))
        else:
            method, path = method_and_path(fault.kind, f"b{fault.brick}" if fault.brick >= 0 else "")
        answer = bytearray()
        try:
            until = scheduler.now + LIMITS.call_s * SECOND
            at = f"{self._at(fault.who)}:{LIMITS.ops_port + fault.newer}"
            stream = Stream.connect(scheduler, at, world.pool, world.limits, until)
            stream.write(f"{method} {path} HTTP/1.1\r\nHost: lab\r\n\r\n".encode())
            while stream.read(answer.extend, until):
                pass
            stream.close()
        except (OSError, DeadlineExceededError):
            pass
        status = answer.split(b" ")[1:2]
        self._note(
            "called",
            kind=fault.kind,
            which=fault.who,
            brick=fault.brick,
            status=int(status[0]) if status else 0,
        )

    def _end(self) -> None:
        """Every process by its own id, also after a failure: one that stands still has to go on to end."""
        all_heads = [*self._older, *self._heads, *self._newer.values()]
        for process in [self._clients, *all_heads]:
            if process:
                process.signal(signal.SIGCONT)
        if self._clients:
            self._clients.end()
        for head in all_heads:
            head.signal(signal.SIGTERM)
        for head in all_heads:
            head.end(orderly=True)
        self._links.close()
        self._tcp.close()
        os.close(self._notes)
        self._scheduler.close()


class Interrupted(LabError):
    """A signal asked the lab to end; all that it had started has been ended."""


@contextlib.contextmanager
def ended_by_signals() -> Iterator[None]:
    """SIGTERM and SIGHUP end a run as Ctrl-C does: by default they would leave its processes behind."""

    def end(number: int, _: object) -> None:
        raise Interrupted(f"ended by {signal.Signals(number).name}")

    if threading.current_thread() is not threading.main_thread():
        yield  # signals are the main thread's
        return
    old = {number: signal.signal(number, end) for number in (signal.SIGTERM, signal.SIGHUP)}
    try:
        yield
    finally:
        for number, handler in old.items():
            signal.signal(number, handler)


def run(
    experiment: Experiment, folder: pathlib.Path, progress: Callable[[float], None] = lambda done: None
) -> Result:
    """Raises LabError where it could not be carried through. The folder must be new or empty."""
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise LabError(f"{folder} is not empty: its histories would be mixed")
    with ended_by_signals():
        result = Lab(experiment, folder).run(progress)
    (folder / "result.json").write_text(json.dumps(result.as_json(), indent=1) + "\n")
    return result
