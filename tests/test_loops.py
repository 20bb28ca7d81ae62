"""Tests of background loops, which go on after a failed round."""

import contextlib

import gevent
import testtools
from gevent.event import Event

from sesameplank import logs
from sesameplank.core.common.clock import ManualClock, SystemClock
from sesameplank.exceptions import StopReached
from sesameplank.loops import (
    LOG_INTERVAL_S,
    RETRY_DELAY_MAX_S,
    RETRY_DELAY_MIN_S,
    BackgroundLoops,
    RoundOverdue,
    Task,
)

WAIT_S = 10.0
LIMIT_S = 0.2


class Round:
    """A round of a loop that raises the errors of a list first, then returns."""

    def __init__(self, errors) -> None:
        self.errors = list(errors)
        self.calls = 0

    def __call__(self) -> None:
        """Raise the next error, or wait a moment."""
        self.calls += 1
        if self.errors:
            raise self.errors.pop(0)
        gevent.sleep(0.01)


class TaskTests(testtools.TestCase):
    """A failure is counted and logged, and delays the next attempt."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.events: list[str] = []
        self.patch(logs.output, "write", self.events.append)

    def test_failures_and_recovery(self):
        task = Task(
            "store", Round([RecursionError("deep"), ValueError("x")]), self.clock
        )
        self.clock.advance(3.0)
        self.assertEqual([False, False], [task.run(), task.run()])
        self.assertEqual(
            (2, 2, 3.0), (task.failures, task.failures_in_a_row, task.age_s)
        )
        self.assertTrue(task.run())
        self.assertEqual(
            (2, 0, 0.0), (task.failures, task.failures_in_a_row, task.age_s)
        )
        names = [line.partition(" ")[0] for line in self.events]
        self.assertEqual(["event=task_failed", "event=task_recovered"], names)
        self.assertIn("task=store", self.events[0])
        self.assertIn("deep", self.events[0])
        self.assertIn("at=tests/test_loops.py:", self.events[0])

    def test_lines_on_lasting_failures_are_bounded(self):
        task = Task("store", Round([ValueError("y" * 10_000)] * 100), self.clock)
        for _ in range(100):
            task.run()
            self.clock.advance(LOG_INTERVAL_S / 10)
        self.assertEqual(10, len(self.events))
        self.assertLess(max(map(len, self.events)), 1_000)

    def test_delay_grows_up_to_a_bound(self):
        task = Task("store", Round([ValueError()] * 40), self.clock)
        delays = []
        for _ in range(40):
            task.run()
            delays.append(task.retry_delay_s)
        self.assertEqual(RETRY_DELAY_MIN_S, delays[0])
        self.assertEqual(sorted(delays), delays)
        self.assertEqual(RETRY_DELAY_MAX_S, delays[-1])


class BackgroundLoopsTests(testtools.TestCase):
    """Guards against a loop that ends at an error, without a word of it."""

    def setUp(self):
        super().setUp()
        self.patch(logs.output, "write", lambda line: None)
        self.loops = BackgroundLoops(SystemClock())

    def wait_for(self, condition) -> None:
        with gevent.Timeout(WAIT_S):
            while not condition():
                gevent.sleep(0.01)

    def test_loops_go_on_after_any_error(self):
        errors = (RecursionError(), OverflowError(), gevent.Timeout(), StopReached())
        rounds = {type(error).__name__: Round([error]) for error in errors}
        for name, run_round in rounds.items():
            self.loops.add(name, run_round)
        with self.loops:
            self.wait_for(lambda: all(item.calls > 3 for item in rounds.values()))
        self.assertEqual(len(errors), self.loops.failures)
        described = self.loops.describe()
        self.assertEqual({1}, {item["failures"] for item in described.values()})
        self.assertLess(self.loops.max_age_s, 1.0)

    def test_loop_that_fails_each_round_shows_and_does_not_spin(self):
        failing = Round([ValueError()] * 1_000)
        self.loops.add("store", failing)
        with self.loops:
            gevent.sleep(1.0)
        self.assertTrue(3 <= failing.calls <= 5, failing.calls)
        self.assertEqual(failing.calls, self.loops.failures)
        self.assertGreater(self.loops.max_age_s, 0.9)

    def test_function_that_runs_once_is_repeated_until_it_returns(self):
        start = Round([ValueError(), ValueError()])
        self.loops.add_once("start", start)
        with self.loops:
            self.assertIn("start", self.loops.describe())
            self.wait_for(lambda: start.calls == 3)
            gevent.sleep(0.3)
        self.assertEqual(3, start.calls)
        self.assertEqual(2, self.loops.failures)
        self.assertEqual({}, self.loops.describe())

    def test_loops_end_with_the_context(self):
        running = Round([])
        self.loops.add("store", running)
        with self.loops:
            self.wait_for(lambda: running.calls)
        calls = running.calls
        gevent.sleep(0.1)
        self.assertEqual(calls, running.calls)


class OverdueRoundTests(testtools.TestCase):
    """Guards against a round that blocks for good, and with it its loop."""

    def setUp(self):
        super().setUp()
        self.events: list[str] = []
        self.patch(logs.output, "write", self.events.append)
        self.calls = 0

    def block(self) -> None:
        """Block for good in the first call, and return from later ones."""
        self.calls += 1
        if self.calls == 1:
            Event().wait()
        gevent.sleep(0.01)

    def block_in_handlers(self) -> None:
        """Block for good within handlers that a client of a service may have."""
        with contextlib.suppress(gevent.Timeout, Exception), gevent.Timeout(WAIT_S):
            self.block()

    def run_loop(self, run_round) -> Task:
        """Run a loop with a short limit until its rounds are whole again."""
        background = BackgroundLoops(SystemClock())
        task = background.add("reading", run_round, LIMIT_S)
        with background, gevent.Timeout(WAIT_S):
            while self.calls < 3:
                gevent.sleep(0.01)
        return task

    def test_overdue_round_is_ended_and_counted_and_the_next_one_follows(self):
        for run_round in (self.block, self.block_in_handlers):
            self.calls = 0
            self.events.clear()
            task = self.run_loop(run_round)
            self.assertEqual((1, 0), (task.failures, task.failures_in_a_row))
            self.assertLess(task.age_s, LIMIT_S)
            names = [line.partition(" ")[0] for line in self.events]
            self.assertEqual(["event=task_failed", "event=task_recovered"], names)
            self.assertIn("task=reading", self.events[0])
            self.assertIn("RoundOverdue", self.events[0])
            self.assertIn("at=tests/test_loops.py:", self.events[0])

    def test_timeout_of_the_round_itself_is_told_apart(self):
        def time_out() -> None:
            with gevent.Timeout(LIMIT_S / 4):
                self.block()

        self.run_loop(time_out)
        self.assertIn("Timeout", self.events[0])
        self.assertNotIn("RoundOverdue", self.events[0])

    def test_task_within_an_overdue_round_does_not_take_the_error(self):
        part = Task("part", self.block, SystemClock())
        task = self.run_loop(part.run)
        self.assertEqual((1, 0), (task.failures, part.failures))

    def test_part_of_a_round_has_a_limit_of_its_own(self):
        part = Task("part", self.block, SystemClock(), LIMIT_S / 4)
        task = self.run_loop(part.run)
        self.assertEqual((0, 1), (task.failures, part.failures))

    def test_function_that_runs_once_may_wait_as_long_as_it_needs(self):
        background = BackgroundLoops(SystemClock())
        background.add_once("start", self.block)
        self.assertIsNone(background.tasks["start"].limit_s)
        with background:
            gevent.sleep(3 * LIMIT_S)
        self.assertEqual((1, 0), (self.calls, background.failures))

    def test_error_of_an_overdue_round_is_neither_exception_nor_timeout(self):
        self.assertFalse(issubclass(RoundOverdue, (Exception, gevent.Timeout)))
