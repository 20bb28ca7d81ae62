"""Tests of a forwarding process in which a round of a loop blocks for good."""

import time

from tests.hanging_front import HANG_AFTER_S

from .front_world import FrontTestCase, make_config

MARGIN_S = 1.0


class HangingLoopTests(FrontTestCase):
    """Guards against loops that hang for as long as the process runs."""

    def get_module(self, number: int) -> str:
        """Return the module that a process runs."""
        return "tests.hanging_front"

    def setUp(self):
        super().setUp()
        time.sleep(HANG_AFTER_S + MARGIN_S)

    def read_lines(self, event: str, *fields: str) -> list[str]:
        """Return the lines of an event with some fields, in the process's log."""
        lines = self.fronts[0].log_path.read_text().splitlines()
        return [
            line
            for line in lines
            if f"event={event} " in line and all(field in line for field in fields)
        ]

    def test_store_is_followed_again_after_a_call_that_never_returns(self):
        self.store.put_config(make_config(4))
        self.wait_for_state(0, lambda state: state["gauges"]["config_version"] == 4)
        lines = self.read_lines("task_failed", "task=store", "RoundOverdue")
        self.assertEqual(1, len(lines))
        self.assertIn("at=tests/hanging_front.py:", lines[0])
        self.assertTrue(self.read_lines("task_recovered", "task=store"))

    def test_other_housekeeping_goes_on_beside_a_task_that_hangs(self):
        self.wait_for(lambda: len(self.read_lines("counts")) >= 2, "lines of counters")
        state = self.get_state(0)
        tasks = state["tasks"]
        self.assertEqual(1, tasks["target_pauses"]["failures"])
        self.assertEqual(0, tasks["housekeeping"]["failures"])
        for name in ("housekeeping", "target_pauses", "counts"):
            self.assertLess(tasks[name]["completed_s_ago"], MARGIN_S, name)

    def test_hanging_task_is_not_taken_for_a_pause_of_the_process(self):
        self.wait_for_state(
            0, lambda state: state["tasks"]["target_pauses"]["failures"] == 1
        )
        time.sleep(MARGIN_S)
        self.assertEqual([], self.read_lines("pause_noticed"))
