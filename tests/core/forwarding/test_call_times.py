"""Tests of the times that calls and requests are expected to take."""

import msgspec
import testtools

from sesameplank.core.forwarding.call_times import MIN_CALLS, CallTimes
from sesameplank.core.published.routes import Route, WeightedService

LOOKUP = Route(
    name="lookup",
    host="h",
    prefix="/",
    idempotent=True,
    timeout_s=6.0,
    objective_s=0.5,
    max_attempts=2,
    priority=1,
    services=(WeightedService("single", 1.0),),
)
SEARCH = msgspec.structs.replace(LOOKUP, services=(), shards=("s0", "s1"))
COMPLETION_CASES = (
    ("no calls yet", LOOKUP, (), 0.5),
    ("fast targets", LOOKUP, (0.1,), 0.5),
    ("slow targets", LOOKUP, (2.0,), 2.0),
    ("search that need not wait for slow targets", SEARCH, (2.0,), 0.5),
)


class CompletionTests(testtools.TestCase):
    """The time in which nearly all requests of a route end."""

    def test_completion_follows_slow_calls_but_is_at_least_the_objective(self):
        for name, route, latencies_s, expected_s in COMPLETION_CASES:
            with self.subTest(case=name):
                times = CallTimes()
                for latency_s in latencies_s:
                    for _ in range(MIN_CALLS):
                        times.observe(route, latency_s)
                self.assertEqual(expected_s, times.get_completion_s(route))
