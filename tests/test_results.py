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

    def test_result_that_is_set_when_a_late_timeout_is_handled_counts(self):
        result = AsyncResult()
        gevent.spawn(self.set_after_blocking, result)
        self.assertEqual("answer", get_result(result, TIMEOUT_S))

    def set_after_blocking(self, result: AsyncResult) -> None:
        """Block the loop until after the timeout, and then set the result."""
        block_loop(2 * TIMEOUT_S)
        result.set("answer")

    def test_missing_result_times_out(self):
        self.assertRaises(gevent.Timeout, get_result, AsyncResult(), TIMEOUT_S)
