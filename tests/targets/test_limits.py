"""Tests of the rate limits that targets name to entries."""

import random

import gevent
import msgspec
import testtools
from gevent.pywsgi import WSGIServer

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.common.outcomes import FailureReason, Ran
from sesameplank.core.forwarding.target_reach import TargetReach
from sesameplank.core.limits.limit_parts import HomeParts
from sesameplank.core.limits.target_limits import TargetLimits
from sesameplank.core.membership.homes import ConnectionPlan
from sesameplank.core.published.leaving import LeavingTargets
from sesameplank.core.search.messages import (
    TargetHealth,
    TargetSearch,
    TargetSearchAnswer,
)
from sesameplank.net import Address
from sesameplank.targets import DirectDispatcher, TargetPool

from ..crash_guards import make_crash_guard

TARGET = "t1"
HOMES = ("e1", "e2", "e3", "e4")
CALL_TIMEOUT_S = 5.0


class LimitedTarget:
    """A target whose answers name a limit, and which counts what arrives."""

    def __init__(self) -> None:
        self.stated: object = None
        self.arrivals = 0

    def __call__(self, environ, start_response):
        """Answer a search call or a health poll."""
        self.arrivals += 1
        if environ["PATH_INFO"] == "/health":
            answer = TargetHealth("serving", 0.0, limit_per_s=self.stated)
        else:
            answer = TargetSearchAnswer("r1", 1, (), limit_per_s=self.stated)
        body = msgspec.json.encode(answer)
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


class EntryLimitTests(testtools.TestCase):
    """Every call of an entry counts against its part of a target's limit."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(100.0)
        self.target = LimitedTarget()
        server = WSGIServer(("127.0.0.1", 0), self.target, log=None)
        server.start()
        self.addCleanup(server.stop)
        self.address = Address("127.0.0.1", server.server_port)
        self.dispatcher = self.make_dispatcher("e1")

    def make_dispatcher(self, entry: str) -> DirectDispatcher:
        """Return the dispatcher of one of the target's homes."""
        plan = ConnectionPlan(entry, len(HOMES), 0)
        plan.update(HOMES, self.clock.now())
        limits = TargetLimits(HomeParts(plan))
        reach = TargetReach(random.Random(1), self.clock.now())
        dispatcher = DirectDispatcher(
            self.clock,
            plan,
            LeavingTargets(self.clock),
            limits,
            reach,
            make_crash_guard(self.clock, reach),
        )
        dispatcher.pools[TARGET] = TargetPool(
            self.address, 2, self.clock, lambda path: dispatcher.admit(TARGET, path)
        )
        self.addCleanup(dispatcher.__exit__)
        return dispatcher

    def search(self, dispatcher: DirectDispatcher | None = None):
        """Return the outcome of a search call."""
        message = TargetSearch("r1", "c", 1, 1_000, ())
        deadline_at = self.clock.now() + CALL_TIMEOUT_S
        with gevent.Timeout(CALL_TIMEOUT_S):
            return (dispatcher or self.dispatcher).search(TARGET, message, deadline_at)

    def poll(self):
        """Return the outcome of a health poll."""
        with gevent.Timeout(CALL_TIMEOUT_S):
            return self.dispatcher.get_health(TARGET, self.clock.now() + CALL_TIMEOUT_S)

    def test_searches_beyond_the_part_are_not_sent(self):
        self.target.stated = 8.0
        self.search()
        outcomes = [self.search() for _ in range(5)]
        self.assertEqual(1, self.target.arrivals)
        self.assertEqual(
            {(FailureReason.LIMITED, Ran.NOT_RUN)},
            {(item.reason, item.ran) for item in outcomes},
        )
        self.clock.advance(1.0)
        for _ in range(5):
            self.search()
        self.assertEqual(3, self.target.arrivals)

    def test_health_polls_count_and_leave_room_to_searches(self):
        self.target.stated = 8.0
        self.poll()
        self.clock.advance(0.6)
        self.assertFalse(self.poll())
        self.assertTrue(self.search())
        self.clock.advance(5.0)
        self.assertTrue(self.poll())
        self.assertFalse(self.poll())

    def test_homes_together_stay_within_the_limit(self):
        for per_s, allowed in ((8.0, 12), (1.0, 3), (0.0, 0)):
            self.target.stated = per_s
            homes = [self.make_dispatcher(entry) for entry in HOMES]
            for home in homes:
                self.search(home)
            self.clock.advance(1.0)
            before = self.target.arrivals
            for home in homes * 10:
                self.search(home)
            self.assertLessEqual(self.target.arrivals - before, allowed, per_s)

    def test_values_that_are_no_rate_are_ignored(self):
        for stated in ("8", -1.0, 10**400, [1], True, {"a": 1}):
            self.target.stated = stated
            self.assertTrue(self.search(), stated)
            self.assertFalse(self.dispatcher.limits.is_limited(TARGET), stated)

    def test_limit_that_is_no_longer_named_returns_in_steps(self):
        self.target.stated = 8.0
        self.search()
        self.target.stated = None
        self.clock.advance(1.0)
        self.search()
        self.clock.advance(0.01)
        before = self.target.arrivals
        for _ in range(50):
            self.search()
        self.assertLessEqual(self.target.arrivals - before, 2)
        self.clock.advance(4.0)
        self.dispatcher.limits.update(self.clock.now())
        for _ in range(50):
            self.assertTrue(self.search())
