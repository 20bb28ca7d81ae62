"""Tests of the client's writer ids, without a network."""

import time
from unittest import mock

import testtools

from sesameplank.client import bookings
from sesameplank.core.messages import WriterAnswer
from sesameplank.exceptions import CallError
from sesameplank.net import Address

ENTRY = Address("127.0.0.1", 1)
LATE = CallError("late", kind="no-answer", ran="unknown")
REFUSED = CallError("refused", kind="no-answer", ran="not_run")


class TakeWriterTests(testtools.TestCase):
    """An entry that is late is asked again; one that is not there is not."""

    def make(self, *outcomes) -> bookings.Bookings:
        self.connections = mock.Mock()
        self.connections.post.side_effect = outcomes
        address_cache = mock.Mock()
        address_cache.get_addresses.return_value = [ENTRY]
        return bookings.Bookings(self.connections, address_cache, mock.Mock())

    def test_late_entry_is_asked_again(self):
        client = self.make(LATE, LATE, WriterAnswer("w", 1_000, 2_000))
        self.assertTrue(client.make_key(20_000).startswith("w"))

    def test_entry_that_refuses_is_asked_once(self):
        client = self.make(REFUSED, WriterAnswer("w", 1_000, 2_000))
        self.assertRaises(CallError, client.make_key, 20_000)

    def test_late_entry_is_given_up_after_half_of_the_time(self):
        client = self.make(*[LATE] * 1_000)
        began_at = time.monotonic()
        self.assertRaises(CallError, client.make_key, 100)
        calls = self.connections.post.call_count
        self.assertGreater(calls, 1)
        self.assertGreater(time.monotonic(), began_at + 0.045)
