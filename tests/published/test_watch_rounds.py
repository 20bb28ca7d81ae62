"""Tests of how long a round of a watch of the platform's service takes."""

import random

import gevent
import msgspec
import testtools

from sesameplank.conf import PublishedConfiguration
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.published.versions import ConfigurationStore
from sesameplank.loops import ROUND_LIMIT_S
from sesameplank.published.watch import (
    CALL_DELAY_MAX_S,
    CALL_DELAY_MIN_S,
    FALLBACK_AGE_S,
    ConfigurationWatch,
    ReadPolicy,
)

FLEET_SIZE = 1_400
MAX_ROUND_S = ROUND_LIMIT_S / 2


class Reader:
    """A reader of a service that answers with its version, or nothing."""

    def __init__(self) -> None:
        self.published: PublishedConfiguration | None = None
        self.calls = 0

    def read_configuration(self, after: int, wait_s: float):
        """Return what is published."""
        self.calls += 1
        return self.published


class WatchRoundTests(testtools.TestCase):
    """Guards against legitimate rounds that are ended, since they wait too long."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.patch(gevent, "sleep", self.clock.advance)
        self.store = ConfigurationStore(self.clock, bytes)
        self.reader = Reader()
        policy = ReadPolicy(lambda: False, lambda: FLEET_SIZE, 1.0)
        self.watch = ConfigurationWatch(
            self.store, self.reader, policy, self.clock, random.Random(1)
        )

    def run_until_called(self) -> float:
        """Run rounds until the next call, and return the seconds that they took."""
        calls, started_at = self.reader.calls, self.clock.now()
        while self.reader.calls == calls:
            round_at = self.clock.now()
            self.watch.run_round()
            self.assertLess(self.clock.now() - round_at, MAX_ROUND_S)
        return self.clock.now() - started_at

    def test_first_reads_while_the_service_has_nothing(self):
        delays = [self.run_until_called() for _ in range(20)]
        self.assertGreater(max(delays), 1.0)

    def test_reads_of_a_large_fleet_without_a_reader_are_spread(self):
        self.reader.published = PublishedConfiguration(1, msgspec.Raw(b"1"), 0.0)
        self.run_until_called()
        for _ in range(20):
            delay_s = self.run_until_called() - FALLBACK_AGE_S
            self.assertGreater(delay_s, CALL_DELAY_MIN_S * FLEET_SIZE - 1.0)
            self.assertLess(delay_s, CALL_DELAY_MAX_S * FLEET_SIZE + 1.0)

    def test_read_of_another_entry_puts_the_own_one_off(self):
        self.reader.published = PublishedConfiguration(1, msgspec.Raw(b"1"), 0.0)
        self.run_until_called()
        calls = self.reader.calls
        for _ in range(100):
            self.clock.advance(FALLBACK_AGE_S + 1.0)
            self.watch.run_round()
            self.store.confirm()
            self.watch.run_round()
        self.assertEqual(calls, self.reader.calls)
