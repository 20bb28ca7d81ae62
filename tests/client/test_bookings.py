"""Tests of the client's writer ids, without a network."""

import time
from unittest import mock

import testtools

from sesameplank.client import bookings
from sesameplank.core.search.messages import WriterAnswer
from sesameplank.exceptions import CallError
from sesameplank.net import Address

ENTRY = Address("127.0.0.1", 1)
LATE = CallError("late", kind="no-answer", ran="unknown")
REFUSED = CallError("refused", kind="no-answer", ran="not_run")


class RequestWriterTests(testtools.TestCase):
    """A request for a writer id is retried unless the entry refuses the connection."""

    def make_client(self, *outcomes) -> bookings.BookingClient:
        """Return a client whose requests for a writer id have the given outcomes."""
        self.connections = mock.Mock()
        self.connections.post.side_effect = outcomes
        address_cache = mock.Mock()
        address_cache.get_addresses.return_value = [ENTRY]
        return bookings.BookingClient(self.connections, address_cache, mock.Mock())

    def test_request_that_timed_out_is_retried(self):
        client = self.make_client(LATE, LATE, WriterAnswer("w", 1_000, 2_000))
        self.assertTrue(client.make_key(20_000).startswith("w"))

    def test_request_whose_connection_is_refused_is_not_retried(self):
        client = self.make_client(REFUSED, WriterAnswer("w", 1_000, 2_000))
        self.assertRaises(CallError, client.make_key, 20_000)

    def test_retries_of_requests_that_time_out_end_after_half_of_the_time(self):
        client = self.make_client(*[LATE] * 1_000)
        began_at = time.monotonic()
        self.assertRaises(CallError, client.make_key, 100)
        calls = self.connections.post.call_count
        self.assertGreater(calls, 1)
        self.assertGreater(time.monotonic(), began_at + 0.045)
