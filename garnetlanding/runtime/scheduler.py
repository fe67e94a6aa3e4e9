"""An event loop on `select.poll` that runs tasks (greenlets) and timers.

Each iteration polls the descriptors, reads the clock once, calls the timers that are due, runs every task
that is ready, and then calls the `iteration_hooks`, through which the core processes all events of the
iteration as one batch with one timestamp.
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
HANGUP = select.POLLRDHUP  # the peer has shut down its write side; earlier bytes may be unread
_FAILED = select.POLLERR | select.POLLHUP | select.POLLNVAL  # wakes waiters of every direction

Clock = Callable[[], int]
"""Returns the time in microseconds; it must never decrease."""


def monotonic_us() -> int:
    """Return the time of the monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


class Timer:
    """A callback scheduled for the time `due`; `callback` is `None` once it was called or cancelled.

    Cancelling is cheap, because the entry stays in the scheduler's heap until it is due, or until cancelled
    entries are the majority and are removed together.
    """

    __slots__ = ("_scheduler", "callback", "due")

    def __init__(self, due: int, callback: Callable[[], None], scheduler: Scheduler) -> None:
        self.due = due
        self.callback: Callable[[], None] | None = callback
        self._scheduler = scheduler

    def cancel(self) -> None:
        """Prevent the callback; has no effect once it was called."""
        if self.callback is not None:
            self.callback = None
            self._scheduler.cancelled_timers += 1


class Task:
    """A greenlet and its state, used only by the scheduler.

    `error` is raised by the task's current or next wait; `is_queued` is whether the task is in the ready
    queue; `done` is whether its body has ended.
    """

    __slots__ = ("done", "error", "greenlet", "is_queued")

    def __init__(self, body: Callable[[], None], hub: greenlet) -> None:
        self.greenlet = greenlet(body, hub)
        self.error: BaseException | None = None
        self.is_queued = False
        self.done = False


class Scheduler:
    """The event loop of one process: tasks, timers and waits for descriptors.

    It is one class because tasks, timers and descriptors wake one another within an iteration and its methods
    are the hot path. `now` is the time of the current iteration in microseconds. Only tasks may call the
    methods that wait (`wait`, `park_while`, `sleep`); all code on the loop's thread may call the others.
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
        self.cancelled_timers = 0  # cancelled entries in the timer heap
        self._timer_count = 0
        self._current: Task | None = None
        self._stopped = False
        self.iteration_hooks: list[Callable[[], None]] = []

    # Tasks

    def spawn(self, body: Callable[[], None]) -> Task:
        """Start a task that runs `body`; an exception that it raises is logged and ends only this task."""

        def run() -> None:
            try:
                body()
            except GreenletExit:
                pass
            except Exception:
                # A defect that affects one connection must not end the process.
                log.exception("task failed")
            finally:
                task.done = True
                self._tasks.discard(task)

        task = Task(run, self._hub)
        self._tasks.add(task)
        self.wake(task)
        return task

    def wake(self, task: Task, error: BaseException | None = None) -> None:
        """Make a parked task ready to run; if `error` is given, its wait raises it."""
        if task.done:
            return
        task.error = task.error or error
        if not task.is_queued:
            task.is_queued = True
            self._ready.append(task)

    def current(self) -> Task:
        """Return the running task. Only tasks may call this."""
        assert self._current is not None, "called outside a task"
        return self._current

    def is_running(self, task: Task) -> bool:
        """Return whether this is the task that runs now."""
        return task is self._current

    def _park(self, deadline: int | None = None) -> None:
        """Suspend the running task until it is woken, for which the caller has registered in the same step.

        Raises `DeadlineExceededError` at the deadline, or the error that was passed to `wake`.
        """
        task = self.current()
        timer = None
        if deadline is not None:
            timer = self.call_at(deadline, lambda: self.wake(task, DeadlineExceededError()))
        try:
            self._hub.switch()
        finally:
            if timer:
                timer.cancel()
        error = task.error
        task.error = None
        if error is not None:
            try:
                raise error
            finally:
                del error  # its traceback refers to this frame: a cycle that would hold the task's objects

    def park_while(self, blocked_until: Callable[[Callable[[], None]], bool]) -> None:
        """Suspend the running task while `blocked_until` returns true.

        `blocked_until` is called with a callback that wakes the task. If it returns true, it has registered
        the callback in the same step, so that no change between the check and the registration is missed. It
        is called again after each wake, which may come early. Raises the error that was passed to `wake`.
        """
        task = self.current()
        while blocked_until(lambda: self.wake(task)):
            self._park()

    def wait(self, fd: int, direction: int, deadline: int | None = None) -> None:
        """Suspend the running task until the descriptor is ready for `READ`, `WRITE` or `HANGUP`.

        Also returns when the descriptor has failed, in which case the next system call on it reports the
        error. At most one task may wait for each direction of a descriptor. Raises `DeadlineExceededError`
        at the deadline, or the error that was passed to `wake`.
        """
        waits = self._waits.setdefault(fd, {})
        assert direction not in waits, "one waiting task per direction"
        waits[direction] = self.current()
        self._register(fd)
        try:
            self._park(deadline)
        finally:
            waits.pop(direction, None)
            self._register(fd)

    def _register(self, fd: int) -> None:
        """Update the poll object to the directions in which tasks wait for the descriptor."""
        waits = self._waits.get(fd)
        if waits:
            mask = 0
            for direction in waits:
                mask |= direction
            self._poll.register(fd, mask)
        elif waits is not None:
            del self._waits[fd]
            self._poll.unregister(fd)

    def cancel_waits(self, fd: int, error: BaseException) -> None:
        """Raise `error` in every task that waits for the descriptor; must precede its close."""
        waits = self._waits.pop(fd, None)
        if waits:
            self._poll.unregister(fd)
            for task in waits.values():
                self.wake(task, error)
            waits.clear()

    def close(self) -> None:
        """Kill every task, which closes its resources in its `finally` blocks, and drop all timers."""
        for task in list(self._tasks):
            if not task.done:
                self._current = task
                task.greenlet.throw(GreenletExit)
        self._current = None
        self._timers.clear()
        self.cancelled_timers = 0

    # Timers

    def call_at(self, due: int, callback: Callable[[], None]) -> Timer:
        """Schedule a callback for the time `due` in microseconds; an exception that it raises is logged."""
        if 2 * self.cancelled_timers > len(self._timers):
            self._drop_cancelled()
        timer = Timer(due, callback, self)
        self._timer_count += 1
        heapq.heappush(self._timers, (due, self._timer_count, timer))
        return timer

    def _drop_cancelled(self) -> None:
        self._timers = [entry for entry in self._timers if entry[2].callback is not None]
        heapq.heapify(self._timers)
        self.cancelled_timers = 0

    def sleep(self, duration_us: int) -> None:
        """Suspend the running task for `duration_us` or until woken; 0 yields to other ready tasks once."""
        with contextlib.suppress(DeadlineExceededError):
            self._park(self.now + duration_us)

    # The event loop

    def stop(self) -> None:
        """Make `run` return at the end of the current iteration."""
        self._stopped = True

    def run(self) -> None:
        """Run iterations until `stop` is called."""
        while not self._stopped:
            self.run_iteration()

    def run_iteration(self, max_wait_ms: float | None = None) -> bool:
        """Run one iteration and return whether anything happened.

        Waits until something is due, but no longer than `max_wait_ms` milliseconds if given.
        """
        polled = self._poll.poll(self._poll_timeout_ms(max_wait_ms))
        self.now = self._clock()
        self._wake_ready(polled)
        fired = self._fire_timers()
        busy = bool(polled or fired or self._ready)
        self._run_ready()
        for hook in self.iteration_hooks:
            self._call_logging_errors(hook)
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
        """Call the timers that are due and return whether there were any."""
        fired = False
        while self._timers and self._timers[0][0] <= self.now:
            timer = heapq.heappop(self._timers)[2]
            callback = timer.callback
            timer.callback = None
            if callback is None:
                self.cancelled_timers -= 1
            else:
                fired = True
                self._call_logging_errors(callback)
        return fired

    @staticmethod
    def _call_logging_errors(callback: Callable[[], None]) -> None:
        """Call the callback; log an exception that it raises, so that the loop continues, as for tasks."""
        try:
            callback()
        except Exception:
            log.exception("call failed")

    def _poll_timeout_ms(self, max_wait_ms: float | None) -> float | None:
        """Return how long `poll` may wait; `None` means without a limit."""
        timeout_ms = self._next_timer_ms()
        if max_wait_ms is None:
            return timeout_ms
        if timeout_ms is None:
            return max_wait_ms
        return min(max_wait_ms, timeout_ms)

    def _next_timer_ms(self) -> float | None:
        """Return the time until the next timer, 0 if a task is ready, or `None` if there is no timer."""
        if self._ready or self._stopped:
            return 0
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
            self.cancelled_timers -= 1
        if not self._timers:
            return None
        # poll rounds up to whole milliseconds, so a timer neither fires early nor makes the loop spin.
        return max(0.0, (self._timers[0][0] - self._clock()) / 1000)

    def _run_ready(self) -> None:
        # Only tasks that are ready now: one that wakes itself again must not keep the loop from polling.
        for _ in range(len(self._ready)):
            task = self._ready.popleft()
            task.is_queued = False
            if not task.done:
                self._current = task
                task.greenlet.switch()
                self._current = None
