"""Tests of the backoff of dials to peers."""

import random

import testtools

from sesameplank.peers.backoff import (
    MAX_BACKOFF_S,
    MAX_DIAL_TIMEOUT_S,
    MIN_BACKOFF_S,
    MIN_DIAL_TIMEOUT_S,
    Backoff,
)


class BackoffTests(testtools.TestCase):
    """Dials are retried soon at first, then less and less often."""

    def setUp(self):
        super().setUp()
        self.backoff = Backoff(random.Random(1))

    def test_silent_peer_that_returns_soon_is_reached_soon(self):
        now = 0.0
        while now < 0.4:  # No dial is answered before.
            now += self.backoff.get_dial_timeout_s("p")
            self.backoff.note_failure("p", now)
            now = max(now, self.backoff.retry_at["p"])
        self.assertLess(now, 0.4 + 2 * MIN_DIAL_TIMEOUT_S + 4 * MIN_BACKOFF_S)

    def test_timeouts_and_delays_grow_up_to_a_limit(self):
        timeouts = []
        for _ in range(2_000):
            timeouts.append(self.backoff.get_dial_timeout_s("p"))
            self.backoff.note_failure("p", 0.0)
            self.assertLessEqual(self.backoff.retry_at["p"], MAX_BACKOFF_S)
        self.assertEqual(sorted(timeouts), timeouts)
        self.assertEqual(MIN_DIAL_TIMEOUT_S, timeouts[0])
        self.assertEqual(MAX_DIAL_TIMEOUT_S, timeouts[-1])

    def test_success_starts_anew(self):
        self.backoff.note_failure("p", 5.0)
        self.assertFalse(self.backoff.may_dial("p", 5.0))
        self.backoff.note_success("p")
        self.assertTrue(self.backoff.may_dial("p", 5.0))
        self.assertEqual(MIN_DIAL_TIMEOUT_S, self.backoff.get_dial_timeout_s("p"))
