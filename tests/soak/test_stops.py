"""A short soak of the scenario "stops" with a fixed seed."""

import testtools

from .stop_checks import find_stop_violations
from .stops import run_stops

SEED = 1
SECONDS = 10.0
FRONTS = 4


class StopTests(testtools.TestCase):
    """Processes stop while callers use them to the end."""

    def test_stops_leave_no_request_unanswered_that_was_read(self):
        record = run_stops(SEED, SECONDS, FRONTS)
        self.assertEqual([], find_stop_violations(record))
