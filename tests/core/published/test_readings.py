"""Tests of the readings of the platform's service that peers relay."""

import testtools

from sesameplank.core.published import readings
from sesameplank.core.published.readings import (
    FORGET_AFTER_S,
    HeardReadings,
    Reading,
)


class HeardReadingsTests(testtools.TestCase):
    """A reading is news once, from whomever it comes."""

    def setUp(self):
        super().setUp()
        self.heard = HeardReadings("own", 7)

    def test_only_later_readings_of_a_reader_are_news(self):
        for reader, incarnation, number, is_news in (
            ("a", 3, 5, True),
            ("a", 3, 5, False),
            ("a", 3, 4, False),
            ("a", 2, 9, False),
            ("b", 1, 1, True),
            ("a", 3, 6, True),
            ("a", 4, 1, True),
            ("a", 3, 7, False),
        ):
            reading = Reading(reader, incarnation, number)
            with self.subTest(reading=reading):
                self.assertIs(is_news, self.heard.note(reading, 0.0))

    def test_own_readings_are_no_news_but_those_before_the_restart_are(self):
        self.assertFalse(self.heard.note(Reading("own", 7, 1_000), 0.0))
        self.assertTrue(self.heard.note(Reading("own", 6, 1), 0.0))

    def test_readers_without_news_are_forgotten(self):
        self.heard.note(Reading("gone", 9, 1), 0.0)
        self.heard.note(Reading("reading", 9, 1), 0.0)
        self.heard.note(Reading("reading", 9, 2), FORGET_AFTER_S)
        self.heard.note(Reading("other", 1, 1), FORGET_AFTER_S + 1.0)
        self.assertEqual({"reading", "other"}, set(self.heard.newest))

    def test_incarnation_after_a_clock_was_set_back_is_heard_in_the_end(self):
        self.heard.note(Reading("a", 9, 1), 0.0)
        self.assertFalse(self.heard.note(Reading("a", 8, 1), FORGET_AFTER_S))
        self.assertTrue(self.heard.note(Reading("a", 8, 2), FORGET_AFTER_S + 1.0))

    def test_memory_is_bounded_and_further_readers_are_not_believed(self):
        for number in range(readings.MAX_READERS + 5):
            self.heard.note(Reading(f"vm{number}", 1, 1), 0.0)
        self.assertEqual(readings.MAX_READERS, len(self.heard.newest))
        self.assertFalse(self.heard.note(Reading("another", 1, 1), 1.0))
        self.assertTrue(self.heard.note(Reading("vm0", 1, 2), 1.0))
