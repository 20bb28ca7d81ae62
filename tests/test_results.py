"""Tests of waiting for results."""

import gevent
import testtools
from gevent import monkey
from gevent.event import AsyncResult

from sesameplank.results import get_result

block_loop = monkey.get_original("time", "sleep")  # Blocks the event loop.
TIMEOUT_S = 0.05


class ResultTests(testtools.TestCase):
    """A result that came in time is not lost because its waiter is late."""

    def test_result_that_is_due_before_a_late_timeout_counts(self):
        result = AsyncResult()
        gevent.spawn(block_loop, 2 * TIMEOUT_S)
        gevent.spawn_later(0.8 * TIMEOUT_S, result.set, "answer")
        self.assertEqual("answer", get_result(result, TIMEOUT_S))

    def test_missing_result_times_out(self):
        self.assertRaises(gevent.Timeout, get_result, AsyncResult(), TIMEOUT_S)
