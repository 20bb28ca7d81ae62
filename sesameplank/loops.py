"""Background loops of a process, which go on after a failed round.

A process needs its loops as long as it runs. A round that raises is logged and counted,
and the next one follows after a delay. One that takes longer than its limit is ended,
and counts as failed. How old the last whole round of each loop is shows one that fails
each time. A round that doesn't yield can't be ended, and stops the whole process.
"""

from collections.abc import Callable
from pathlib import Path

import gevent

from .core.common.clock import Clock
from .logs import log_event

RETRY_DELAY_MIN_S = 0.1
RETRY_DELAY_MAX_S = 2.0
# Above any round that makes progress: calls have time-outs of a few seconds each.
ROUND_LIMIT_S = 60.0
LONG_ROUND_LIMIT_S = 300.0  # For rounds that call each target.
LOG_INTERVAL_S = 5.0  # Between two lines on a task that keeps failing.
MAX_LOGGED_CHARACTERS = 300
EVENT_LOOP = "gevent"  # A part of the paths of its files.
# These end a greenlet or the process on purpose.
ENDINGS = (gevent.GreenletExit, KeyboardInterrupt, SystemExit)


class RoundOverdue(BaseException):
    """Raised in a round that takes longer than its limit, in seconds.

    It is neither an Exception nor a gevent.Timeout, so that no handler inside a round
    takes it for a failure of its own.
    """

    def __init__(self, task: str, limit_s: float) -> None:
        super().__init__(f"{task} is not complete after {limit_s} s")
        self.task = task


class Task:
    """A function that is run again and again, although it may fail.

    It is ended after `limit_s` seconds unless that is None.
    `failures` counts its failures since the start, and `failures_in_a_row` those since
    it last returned. `completed_at` is when it did, or when this object was made.
    """

    def __init__(
        self,
        name: str,
        function: Callable[[], None],
        clock: Clock,
        limit_s: float | None = None,
    ) -> None:
        self.name = name
        self.function = function
        self.clock = clock
        self.limit_s = limit_s
        self.failures = 0
        self.failures_in_a_row = 0
        self.completed_at = clock.now()
        self.logged_at = float("-inf")

    def run(self) -> bool:
        """Run the function and return whether it returned; log and count a failure."""
        try:
            self.run_in_time()
        except ENDINGS:
            raise
        except BaseException as error:  # A gevent.Timeout is no Exception.
            if isinstance(error, RoundOverdue) and error.task != self.name:
                raise  # It ends the round that this task is a part of.
            self.note_failure(error)
            return False
        self.note_success()
        return True

    def run_in_time(self) -> None:
        """Run the function; raise RoundOverdue in it if it takes too long."""
        if self.limit_s is None:
            self.function()
            return
        with gevent.Timeout(self.limit_s, RoundOverdue(self.name, self.limit_s)):
            self.function()

    def note_success(self) -> None:
        """Record that the function returned, and log that it did again."""
        self.completed_at = self.clock.now()
        if self.failures_in_a_row:
            log_event("task_recovered", task=self.name, failures=self.failures_in_a_row)
            self.failures_in_a_row = 0
            self.logged_at = float("-inf")

    def note_failure(self, error: BaseException) -> None:
        """Count a failure; log it unless another one was logged a short time ago."""
        self.failures += 1
        self.failures_in_a_row += 1
        now = self.clock.now()
        if now - self.logged_at < LOG_INTERVAL_S:
            return
        self.logged_at = now
        log_event(
            "task_failed",
            task=self.name,
            error=repr(error)[:MAX_LOGGED_CHARACTERS],
            at=find_origin(error),
            failures=self.failures_in_a_row,
            completed_s_ago=now - self.completed_at,
        )

    @property
    def age_s(self) -> float:
        """The seconds since the function last returned."""
        return self.clock.now() - self.completed_at

    @property
    def retry_delay_s(self) -> float:
        """The seconds to wait before the next attempt, which grow with each failure."""
        doublings = min(self.failures_in_a_row - 1, 16)
        return min(RETRY_DELAY_MAX_S, RETRY_DELAY_MIN_S * 2**doublings)


class BackgroundLoops:
    """The loops of a process, as a context manager that runs them.

    `tasks` holds the rounds of the loops, and other tasks to report on, by name.
    `past_failures` counts the failures of tasks that are complete for good.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tasks: dict[str, Task] = {}
        self.past_failures = 0
        self.runners: list[Callable[[], None]] = []
        self.greenlets: list[gevent.Greenlet] = []

    def __enter__(self) -> "BackgroundLoops":
        self.greenlets = [gevent.spawn(runner) for runner in self.runners]
        return self

    def __exit__(self, *exc_info: object) -> None:
        gevent.killall(self.greenlets)

    def add_task(
        self,
        name: str,
        function: Callable[[], None],
        limit_s: float | None = None,
    ) -> Task:
        """Return a new task that is reported but not run here."""
        task = self.tasks[name] = Task(name, function, self.clock, limit_s)
        return task

    def add(
        self,
        name: str,
        run_round: Callable[[], None],
        limit_s: float = ROUND_LIMIT_S,
    ) -> Task:
        """Add a loop, which calls `run_round` until the context ends; return its task.

        A round includes the wait for the next one. It is ended after `limit_s` seconds.
        """
        task = self.add_task(name, run_round, limit_s)
        self.runners.append(lambda: run_forever(task))
        return task

    def add_once(self, name: str, function: Callable[[], None]) -> None:
        """Add a function that is called until it returns for the first time.

        It has no limit, since it may wait for others as long as they need.
        """
        task = self.add_task(name, function)
        self.runners.append(lambda: self.complete(task))

    def complete(self, task: Task) -> None:
        """Run a task until it returns, and report it no longer."""
        run_until_complete(task)
        self.past_failures += task.failures
        del self.tasks[task.name]

    @property
    def failures(self) -> int:
        """The number of failures of all tasks since the start."""
        current = sum(task.failures for task in self.tasks.values())
        return self.past_failures + current

    @property
    def max_age_s(self) -> float:
        """The greatest time since a task last completed, in seconds."""
        return max((task.age_s for task in self.tasks.values()), default=0.0)

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the failures of each task and the seconds since it completed."""
        return {
            name: {"failures": task.failures, "completed_s_ago": round(task.age_s, 3)}
            for name, task in self.tasks.items()
        }


def run_forever(task: Task) -> None:
    """Run a task again and again until this greenlet is killed."""
    while True:
        if not task.run():
            gevent.sleep(task.retry_delay_s)


def run_until_complete(task: Task) -> None:
    """Run a task until it returns."""
    while not task.run():
        gevent.sleep(task.retry_delay_s)


def find_origin(error: BaseException) -> str:
    """Return the file and the line that raised an error, or "-" if unknown.

    A round that is overdue is raised in the event loop, so that the line which waited
    is returned for it.
    """
    origin = "-"
    step = error.__traceback__
    while step is not None:
        path = Path(step.tb_frame.f_code.co_filename)
        if not (isinstance(error, RoundOverdue) and EVENT_LOOP in path.parts):
            origin = f"{path.parent.name}/{path.name}:{step.tb_lineno}"
        step = step.tb_next
    return origin
