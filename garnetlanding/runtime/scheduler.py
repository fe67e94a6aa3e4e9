"""A scheduler of greenlets over select.poll, with timers; one clock reading per turn.

A turn: poll, read the clock once, fire due timers, run every task that is ready, then the turn-end
hooks. Hooks see all that the turn brought at once, which is how the core gets its events in batches.
"""

from __future__ import annotations

import heapq
import logging
import select
import time
from collections import deque
from collections.abc import Callable

from greenlet import GreenletExit, getcurrent, greenlet

log = logging.getLogger(__name__)

READ = select.POLLIN | select.POLLPRI
WRITE = select.POLLOUT
HANGUP = select.POLLRDHUP  # the other side has shut its sending, also with bytes before that unread
Clock = Callable[[], int]


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000


class Expired(Exception):
    """A wait passed its deadline."""


class Timer:
    """A call to come. Cancelling is cheap: the heap drops it when its time comes, or half are cancelled."""

    __slots__ = ("due", "call", "_owner")

    def __init__(self, due: int, call: Callable[[], None], owner: Scheduler) -> None:
        self.due, self._owner = due, owner
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        if self.call is not None:
            self.call = None
            self._owner.cancelled += 1


class Task:
    """One greenlet; parked, it waits for a wake or a throw."""

    __slots__ = ("_glet", "_fault", "_queued", "done")

    def __init__(self, body: Callable[[], None], hub: greenlet) -> None:
        self._glet = greenlet(body, hub)
        self._fault: BaseException | None = None
        self._queued = False
        self.done = False


class Scheduler:
    def __init__(self, clock: Clock = monotonic_us) -> None:
        self._clock = clock
        self.now = clock()
        self._hub = getcurrent()
        self._poll = select.poll()
        self._waits: dict[int, dict[int, Task]] = {}  # by descriptor, by direction
        self._ready: deque[Task] = deque()
        self._tasks: set[Task] = set()
        self._timers: list[tuple[int, int, Timer]] = []
        self.cancelled = 0  # of these
        self._count = 0
        self._current: Task | None = None
        self._stopped = False
        self.turn_end: list[Callable[[], None]] = []

    # Tasks

    def spawn(self, body: Callable[[], None]) -> Task:
        def run() -> None:
            try:
                body()
            except GreenletExit:
                pass
            except Exception:
                # One connection's defect must not end the daemon; it is loud in the log instead.
                log.exception("task failed")
            finally:
                task.done = True
                self._tasks.discard(task)

        task = Task(run, self._hub)
        self._tasks.add(task)
        self.wake(task)
        return task

    def wake(self, task: Task, fault: BaseException | None = None) -> None:
        """Makes a parked task ready; with a fault, its park raises that."""
        if task.done:
            return
        task._fault = task._fault or fault
        if not task._queued:
            task._queued = True
            self._ready.append(task)

    def current(self) -> Task:
        assert self._current is not None, "only tasks wait"
        return self._current

    def park(self, deadline: int | None = None) -> None:
        """Until woken; raises Expired at the deadline, or what the waker threw."""
        task = self.current()
        timer = self.call_at(deadline, lambda: self.wake(task, Expired())) if deadline is not None else None
        try:
            self._hub.switch()
        finally:
            if timer:
                timer.cancel()
        fault, task._fault = task._fault, None
        if fault is not None:
            raise fault

    def wait(self, fd: int, direction: int, deadline: int | None = None) -> None:
        """Until the descriptor can be read or written (or has failed, which the next call on it tells)."""
        waits = self._waits.setdefault(fd, {})
        assert direction not in waits, "one task a direction"
        waits[direction] = self.current()
        self._arm(fd)
        try:
            self.park(deadline)
        finally:
            waits.pop(direction, None)
            self._arm(fd)

    def _arm(self, fd: int) -> None:
        waits = self._waits.get(fd)
        if waits:
            mask = 0
            for direction in waits:
                mask |= direction
            self._poll.register(fd, mask)
        elif waits is not None:
            del self._waits[fd]
            self._poll.unregister(fd)

    def forget(self, fd: int, fault: BaseException) -> None:
        """Before a descriptor is closed: whoever waits on it gets the fault."""
        waits = self._waits.pop(fd, None)
        if waits:
            self._poll.unregister(fd)
            for task in waits.values():
                self.wake(task, fault)
            waits.clear()

    def close(self) -> None:
        """Ends every task; what they hold is closed on their way out."""
        for task in list(self._tasks):
            if not task.done:
                self._current = task
                task._glet.throw(GreenletExit)
        self._current = None
        self._timers.clear()
        self.cancelled = 0

    # Timers

    def call_at(self, due: int, call: Callable[[], None]) -> Timer:
        if 2 * self.cancelled > len(self._timers):
            self._timers = [entry for entry in self._timers if entry[2].call is not None]
            heapq.heapify(self._timers)
            self.cancelled = 0
        timer = Timer(due, call, self)
        self._count += 1
        heapq.heappush(self._timers, (due, self._count, timer))
        return timer

    def sleep(self, span: int) -> None:
        try:
            self.park(self.now + span)
        except Expired:
            pass

    # The loop

    def stop(self) -> None:
        self._stopped = True

    def run(self) -> None:
        while not self._stopped:
            self.turn()

    def turn(self, most_ms: float | None = None) -> bool:
        """One turn, waiting no longer than most_ms where that is given; whether anything happened."""
        wait_ms = self._timeout_ms()
        if most_ms is not None:
            wait_ms = most_ms if wait_ms is None else min(most_ms, wait_ms)
        polled = self._poll.poll(wait_ms)
        self.now = self._clock()
        fired = False
        for fd, got in polled:
            waits = self._waits.get(fd)
            for direction, task in list(waits.items()) if waits else ():
                if got & (direction | select.POLLERR | select.POLLHUP | select.POLLNVAL):
                    self.wake(task)
        while self._timers and self._timers[0][0] <= self.now:
            timer = heapq.heappop(self._timers)[2]
            call, timer.call = timer.call, None
            if call is not None:
                fired = True
                self._guarded(call)
            else:
                self.cancelled -= 1
        busy = bool(polled or fired or self._ready)
        self._run_ready()
        for hook in self.turn_end:
            self._guarded(hook)
        return busy

    @staticmethod
    def _guarded(call: Callable[[], None]) -> None:
        """As with tasks: one defect must not end the daemon."""
        try:
            call()
        except Exception:
            log.exception("call failed")

    def _timeout_ms(self) -> float | None:
        if self._ready or self._stopped:
            return 0
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
            self.cancelled -= 1
        if not self._timers:
            return None
        # poll rounds up to a whole millisecond, so a timer never fires early and never spins.
        return max(0.0, (self._timers[0][0] - self._clock()) / 1000)

    def _run_ready(self) -> None:
        # Only those ready now: a task that wakes itself again must not starve the poll.
        for _ in range(len(self._ready)):
            task = self._ready.popleft()
            task._queued = False
            if not task.done:
                self._current = task
                task._glet.switch()
                self._current = None
