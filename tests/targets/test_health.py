"""Tests of the polls of targets' health."""

from types import SimpleNamespace

import gevent
import testtools
from gevent.event import Event

from sesameplank.core.common.clock import SystemClock
from sesameplank.loops import RoundOverdue
from sesameplank.targets.health import HealthPoller

TARGETS = ("a", "b")
LIMIT_S = 0.1


class Dispatcher:
    """Gets health reports that never arrive, and counts the calls in flight."""

    def __init__(self) -> None:
        self.direct = SimpleNamespace(leaving=None)
        self.in_flight = 0

    def get_targets(self):
        """Return the targets."""
        return TARGETS

    def get_health(self, target, deadline_at):
        """Wait for good."""
        self.in_flight += 1
        try:
            Event().wait()
        finally:
            self.in_flight -= 1


class EndedRoundTests(testtools.TestCase):
    """Guards against polls that outlive the round that began them."""

    def test_polls_end_with_the_round(self):
        dispatcher = Dispatcher()
        poller = HealthPoller(dispatcher, None, SystemClock(), 1.0)
        overdue = RoundOverdue("health", LIMIT_S)
        with (
            testtools.ExpectedException(RoundOverdue),
            gevent.Timeout(LIMIT_S, overdue),
        ):
            gevent.spawn_later(LIMIT_S / 2, self.note_in_flight, dispatcher)
            poller.run_round()
        gevent.sleep(0)
        self.assertEqual((len(TARGETS), 0), (self.seen, dispatcher.in_flight))

    def note_in_flight(self, dispatcher: Dispatcher) -> None:
        """Record the number of polls in flight."""
        self.seen = dispatcher.in_flight
