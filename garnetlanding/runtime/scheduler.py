"""A scheduler of greenlets over `select.poll`, with timers and one reading of the clock per iteration.

An iteration of the event loop polls, reads the clock once, fires the timers that are due, runs every task
that is ready, and then calls the `iteration_hooks`. The hooks see all that the iteration brought at once;
this is how the core gets its events in batches.
"""

from __future__ import annotations

import contextlib
import heapq
import logging
import select
import time
from collections import deque
from collections.abc import Callable

from greenlet import GreenletExit, getcurrent, greenlet

from garnetlanding.runtime.errors import DeadlineExceededError

log = logging.getLogger(__name__)

READ = select.POLLIN | select.POLLPRI
WRITE = select.POLLOUT
HANGUP = select.POLLRDHUP  # the other side has shut down its sending, even if bytes before that are unread
_FAILED = select.POLLERR | select.POLLHUP | select.POLLNVAL  # wakes a waiter of any direction

Clock = Callable[[], int]
"""Returns the time in microseconds; it never goes back."""


def monotonic_us() -> int:
    """Return the monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


class Timer:
    """A call in the future. Cancelling is cheap: the heap drops the entry when it is due, or in bulk."""

    __slots__ = ("due", "call", "_owner")

    def __init__(self, due: int, call: Callable[[], None], owner: Scheduler) -> None:
        self.due = due
        self.call: Callable[[], None] | None = call
        self._owner = owner

    def cancel(self) -> None:
        """Prevent the call; without effect once it was made."""
        if self.call is not None:
            self.call = None
            self._owner.cancelled += 1


class Task:
    """One greenlet. While parked it waits to be woken, with or without an exception to raise."""

    __slots__ = ("_glet", "_fault", "_queued", "done")

    def __init__(self, body: Callable[[], None], hub: greenlet) -> None:
        self._glet = greenlet(body, hub)
        self._fault: BaseException | None = None
        self._queued = False
        self.done = False


class Scheduler:
    """The event loop of one process: tasks, timers and waits for descriptors.

    `now` is the time of the present iteration in microseconds. Only tasks may wait (`park`, `wait`, `sleep`);
    anyone on the loop's thread may spawn, wake and set timers.
    """

    def __init__(self, clock: Clock = monotonic_us) -> None:
        self._clock = clock
        self.now = clock()
        self._hub = getcurrent()
        self._poll = select.poll()
        self._waits: dict[int, dict[int, Task]] = {}  # by descriptor, then by direction
        self._ready: deque[Task] = deque()
        self._tasks: set[Task] = set()
        self._timers: list[tuple[int, int, Timer]] = []
        self.cancelled = 0  # how many entries of the timer heap are cancelled
        self._timer_count = 0
        self._current: Task | None = None
        self._stopped = False
        self.iteration_hooks: list[Callable[[], None]] = []

    # Tasks

    def spawn(self, body: Callable[[], None]) -> Task:
        """Start a task in the next iteration. An exception of its body is logged and ends only the task."""

        def run() -> None:
            try:
                body()
            except GreenletExit:
                pass
            except Exception:
                # One connection's defect must not end the process; it is loud in the log instead.
                log.exception("task failed")
            finally:
                task.done = True
                self._tasks.discard(task)

        task = Task(run, self._hub)
        self._tasks.add(task)
        self.wake(task)
        return task

    def wake(self, task: Task, fault: BaseException | None = None) -> None:
        """Make a parked task ready; with `fault`, its `park` raises that."""
        if task.done:
            return
        task._fault = task._fault or fault
        if not task._queued:
            task._queued = True
            self._ready.append(task)

    def current(self) -> Task:
        """Return the running task; only tasks may wait."""
        assert self._current is not None, "only tasks wait"
        return self._current

    def park(self, deadline: int | None = None) -> None:
        """Wait until woken. Raises `DeadlineExceededError` at the deadline, or what `wake` was given."""
        task = self.current()
        timer = None
        if deadline is not None:
            timer = self.call_at(deadline, lambda: self.wake(task, DeadlineExceededError()))
        try:
            self._hub.switch()
        finally:
            if timer:
                timer.cancel()
        fault = task._fault
        task._fault = None
        if fault is not None:
            raise fault

    def wait(self, fd: int, direction: int, deadline: int | None = None) -> None:
        """Wait until the descriptor is ready in that direction (`READ`, `WRITE` or `HANGUP`).

        It is also ready when it has failed, which the next call on it tells. At most one task may wait for
        a direction. Raises what `park` raises.
        """
        waits = self._waits.setdefault(fd, {})
        assert direction not in waits, "one task a direction"
        waits[direction] = self.current()
        self._register(fd)
        try:
            self.park(deadline)
        finally:
            waits.pop(direction, None)
            self._register(fd)

    def _register(self, fd: int) -> None:
        """Bring the poll object in line with what tasks wait for on the descriptor."""
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
        """Raise `fault` in every task that waits for the descriptor; to be called before it is closed."""
        waits = self._waits.pop(fd, None)
        if waits:
            self._poll.unregister(fd)
            for task in waits.values():
                self.wake(task, fault)
            waits.clear()

    def close(self) -> None:
        """End every task at once; what they hold is closed on their way out."""
        for task in list(self._tasks):
            if not task.done:
                self._current = task
                task._glet.throw(GreenletExit)
        self._current = None
        self._timers.clear()
        self.cancelled = 0

    # Timers

    def call_at(self, due: int, call: Callable[[], None]) -> Timer:
        """Call once at or after `due`. An exception of the call is logged."""
        if 2 * self.cancelled > len(self._timers):
            self._drop_cancelled()
        timer = Timer(due, call, self)
        self._timer_count += 1
        heapq.heappush(self._timers, (due, self._timer_count, timer))
        return timer

    def _drop_cancelled(self) -> None:
        self._timers = [entry for entry in self._timers if entry[2].call is not None]
        heapq.heapify(self._timers)
        self.cancelled = 0

    def sleep(self, span: int) -> None:
        """Wait for `span` microseconds, or until woken; 0 lets other tasks run once."""
        with contextlib.suppress(DeadlineExceededError):
            self.park(self.now + span)

    # The event loop

    def stop(self) -> None:
        """Have `run` return at the end of the present iteration."""
        self._stopped = True

    def run(self) -> None:
        """Iterate until stopped."""
        while not self._stopped:
            self.run_iteration()

    def run_iteration(self, most_ms: float | None = None) -> bool:
        """Do one iteration, waiting at most `most_ms` where given; return whether anything happened."""
        polled = self._poll.poll(self._poll_timeout_ms(most_ms))
        self.now = self._clock()
        self._wake_ready(polled)
        fired = self._fire_timers()
        busy = bool(polled or fired or self._ready)
        self._run_ready()
        for hook in self.iteration_hooks:
            self._guarded(hook)
        return busy

    def _wake_ready(self, polled: list[tuple[int, int]]) -> None:
        for fd, events in polled:
            waits = self._waits.get(fd)
            if not waits:
                continue
            for direction, task in list(waits.items()):
                if events & (direction | _FAILED):
                    self.wake(task)

    def _fire_timers(self) -> bool:
        """Make the calls that are due; return whether there was one."""
        fired = False
        while self._timers and self._timers[0][0] <= self.now:
            timer = heapq.heappop(self._timers)[2]
            call = timer.call
            timer.call = None
            if call is None:
                self.cancelled -= 1
            else:
                fired = True
                self._guarded(call)
        return fired

    @staticmethod
    def _guarded(call: Callable[[], None]) -> None:
        """Log an exception of the call: as with tasks, one defect must not end the process."""
        try:
            call()
        except Exception:
            log.exception("call failed")

    def _poll_timeout_ms(self, most_ms: float | None) -> float | None:
        """Return how long poll may wait: until the next timer, 0 where a task is ready, `None` for ever."""
        timeout_ms = self._next_timer_ms()
        if most_ms is None:
            return timeout_ms
        if timeout_ms is None:
            return most_ms
        return min(most_ms, timeout_ms)

    def _next_timer_ms(self) -> float | None:
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
