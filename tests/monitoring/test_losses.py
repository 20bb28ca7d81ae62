"""Tests of the worth that callers lost, computed from logs."""

import contextlib
import io
import tempfile
from pathlib import Path

import testtools

from sesameplank.commands.losses import LossesCommand
from sesameplank.exceptions import SettingsError
from sesameplank.monitoring.losses import (
    Loss,
    find_starts,
    read_outcomes,
    sum_by,
    sum_counters,
    sum_growth,
)
from sesameplank.monitoring.timeline import parse_lines

from .test_timeline import make_line

LATE_SHARE = 0.1


def make_answer(time: float, **fields) -> str:
    """Return the line of an answer that is complete and in time by default."""
    values = {
        "request": "r",
        "status": 200,
        "route": "orders",
        "parts": 10,
        "shards": 10,
        "after_ms": 60,
        "goal_ms": 100,
        **fields,
    }
    return make_line(time, "request_answered", **values)


def make_refusal(time: float, status: int) -> str:
    """Return the line of a refused request."""
    return make_line(time, "request_refused", request="r", status=status)


class OutcomeTests(testtools.TestCase):
    """Each request has one cause of loss and a lost share."""

    def read(self, *texts: str):
        return read_outcomes(parse_lines("a", texts), LATE_SHARE)

    def test_losses_by_line(self):
        for text, loss, lost in (
            (make_answer(1.0), Loss.NONE, 0.0),
            (make_answer(1.0, parts=9), Loss.PARTS, 0.19),
            (make_answer(1.0, after_ms=101), Loss.NONE, 0.0),
            (make_answer(1.0, after_ms=200), Loss.LATE, 0.9),
            (make_answer(1.0, after_ms=200, parts=9), Loss.LATE, 1 - 0.1 * 0.81),
            (make_refusal(1.0, 503), Loss.REFUSED, 1.0),
            (make_refusal(1.0, 504), Loss.FAILED, 1.0),
        ):
            (outcome,) = self.read(text)
            self.assertIs(loss, outcome.loss, text)
            self.assertAlmostEqual(lost, outcome.lost, msg=text)

    def test_unused_time_is_what_is_left_before_the_objective(self):
        outcomes = self.read(make_answer(1.0), make_answer(1.0, after_ms=90))
        (row,) = sum_by(outcomes, lambda item: item.route).values()
        self.assertAlmostEqual(25.0, row.mean_unused_ms)

    def test_suppressed_lines_count_with_the_next_one(self):
        outcomes = self.read(make_answer(1.0), make_answer(2.0, parts=9, left_out=3))
        self.assertEqual(5, len(outcomes))

    def test_other_and_truncated_lines_are_ignored(self):
        truncated = "time=1.0 event=request_answered request=r status=200 parts=1"
        self.assertEqual([], self.read(truncated, make_refusal(1.0, 404), "noise"))


class StartTests(testtools.TestCase):
    """Counters and starts take the incarnations of a process apart."""

    def setUp(self):
        super().setUp()
        texts = [
            make_line(10.0, "started", vm="a"),
            make_line(10.2, "config_in_force", version=1),
            make_answer(10.5),
            make_line(20.0, "counts", requests=5, calls_first=9),
            make_line(30.0, "counts", requests=8, calls_first=20),
            make_line(40.0, "started", vm="a"),
            make_line(50.0, "counts", requests=2),
        ]
        self.lines = list(parse_lines("a", texts))

    def test_delays_after_each_start(self):
        first, second = find_starts(self.lines)
        self.assertAlmostEqual(0.2, first.configured_s)
        self.assertAlmostEqual(0.5, first.answered_s)
        self.assertEqual((None, None), (second.configured_s, second.answered_s))

    def test_counters_are_summed_over_incarnations(self):
        self.assertEqual(
            {"requests": 10.0, "calls_first": 20.0}, sum_counters(self.lines)
        )


class GrowthTests(testtools.TestCase):
    """What counters grew by is told by span."""

    def test_growth_over_processes_and_restarts(self):
        first = [
            make_line(10.0, "started", vm="a"),
            make_line(15.0, "counts", requests=5),
            make_line(25.0, "counts", requests=8),
            make_line(26.0, "started", vm="a"),
            make_line(36.0, "counts", requests=2),
        ]
        second = [make_line(17.0, "counts", requests=4)]
        logs = [list(parse_lines("a", first)), list(parse_lines("b", second))]
        self.assertEqual(
            {0: {"requests": 9.0}, 1: {"requests": 3.0}, 2: {"requests": 2.0}},
            sum_growth(logs, 10.0, 10.0),
        )


class LossesCommandTests(testtools.TestCase):
    """The command reads the logs of many VMs."""

    def run_command(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        values = {
            "late_share": 0.1,
            "moment_s": 2.0,
            "min_lost": 0.2,
            "extra_ratio": 0.1,
            "extra_slack": 2.0,
        }
        with contextlib.redirect_stdout(output):
            code = LossesCommand().handle(list(arguments), values)
        return code, output.getvalue()

    def test_tables_of_two_logs(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (folder / "a.log").write_text(
            make_answer(1.0)
            + make_line(1.5, "store_lost", reason="x")
            + make_line(2.0, "counts", requests=20, calls_hedge=1, calls_retry=0)
        )
        (folder / "b.log").write_text(make_refusal(1.2, 503) + make_answer(9.0))
        code, text = self.run_command(str(folder))
        self.assertEqual(0, code)
        self.assertIn("all                             3 0.333", text)
        self.assertIn("store_lost x1", text)
        self.assertRegex(text, r"0\.0 +20 +1 +0 +0 +0\.750\n")

    def test_logs_without_requests(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (folder / "a.log").write_text("noise\n")
        self.assertEqual(1, self.run_command(str(folder))[0])
        self.assertRaises(SettingsError, self.run_command)
