"""Tests of 2,000 bookings under seeded random faults."""

import testtools

from .booking_driver import BookingDriver
from .faulty_tier import FaultyTier

COUNT = 2_000
ENTRIES = 3
RESET_RATE = 0.002  # A booking has four chunks, so less than 1% are reset.
MAX_UNKNOWN = COUNT // 100


class RandomFaultTests(testtools.TestCase):
    """No booking is doubled or lost, and none that is reported "not run" has run."""

    def run_bookings(self, seed, reset_rate, with_process_faults):
        """Run the bookings and return the tally.

        Fails if a booking was doubled, lost or falsely reported as not run.
        """
        tier = self.enterContext(FaultyTier(ENTRIES, seed))
        tally = BookingDriver(tier, COUNT).run(reset_rate, with_process_faults)
        self.addDetail("tally", testtools.content.text_content(str(tally)))
        self.assertEqual(COUNT, tally.answered + tally.not_run + tally.unknown)
        self.assertEqual(
            (0, 0, 0), (tally.doubled, tally.false_not_run, tally.lost), tally
        )
        return tally

    def test_few_outcomes_are_unknown_when_few_connections_are_reset(self):
        tally = self.run_bookings(11, RESET_RATE, with_process_faults=False)
        self.assertTrue(tally.unknown < MAX_UNKNOWN, tally)

    def test_killed_paused_and_isolated_entries_double_nothing(self):
        tally = self.run_bookings(12, RESET_RATE, with_process_faults=True)
        self.assertTrue(tally.answered > COUNT // 2, tally)
