"""Tests of the recent look-ups of callers."""

import testtools

from sesameplank.core.forwarding.lookups import RECENT_S, RecentLookups


class RecentLookupsTests(testtools.TestCase):
    """A look-up counts for a short time, and its memory is bounded by that time."""

    def test_look_up_is_recent_for_a_time(self):
        lookups = RecentLookups()
        lookups.note("a", 5.0)
        self.assertTrue(lookups.is_recent("a", 5.0 + RECENT_S / 2))
        self.assertFalse(lookups.is_recent("a", 5.0 + 1.01 * RECENT_S))
        self.assertFalse(lookups.is_recent("b", 5.0))

    def test_later_look_up_of_the_same_caller_counts(self):
        lookups = RecentLookups()
        lookups.note("a", 5.0)
        lookups.note("a", 5.0 + RECENT_S / 2)
        lookups.note("b", 5.0 + RECENT_S)
        self.assertTrue(lookups.is_recent("a", 5.0 + RECENT_S))

    def test_old_look_ups_are_removed(self):
        lookups = RecentLookups()
        for number in range(1_000):
            lookups.note(f"c{number}", number * RECENT_S)
        self.assertLessEqual(len(lookups.last_at), 2)
        self.assertLessEqual(len(lookups.lookups), 2)
