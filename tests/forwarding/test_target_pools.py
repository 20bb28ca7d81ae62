"""Tests of the pools of connections to targets."""

import random

import gevent
import testtools

from sesameplank.core.common.clock import SystemClock
from sesameplank.core.common.outcomes import FailureReason, Ran
from sesameplank.core.forwarding.down_targets import DownTargets
from sesameplank.core.forwarding.fanout_calls import Call, CallKind
from sesameplank.core.forwarding.target_reach import TargetReach
from sesameplank.core.published.target_table import TargetPhase, TargetRecord
from sesameplank.core.quarantine.sent_request import SentRequest
from sesameplank.forwarding.target_connections import Exchange
from sesameplank.forwarding.target_pools import PoolContext, TargetPool, TargetPools
from sesameplank.platform.headers import PlatformDialect

from ..crash_guards import make_crash_guard

TIMEOUT_S = 5.0
# Processes of older releases list such addresses.
UNUSABLE_ADDRESSES = ("127.0.0.1:70000", "a" * 64 + ".example:80", "127.0.0.1")
CLOSED_ADDRESS, OTHER_ADDRESS = "127.0.0.1:1", "127.0.0.1:2"  # Nothing listens there.
WAITING_CALLS = 5


def make_record(address: str) -> TargetRecord:
    """Return the record of a target that listens at an address."""
    return TargetRecord("t1", "s1", address, "dc", 2, TargetPhase.READY)


class PoolTestCase(testtools.TestCase):
    """Makes pools, and calls whose outcomes are kept in `outcomes`."""

    def setUp(self):
        super().setUp()
        self.clock = clock = SystemClock()
        reach = TargetReach(random.Random(1), clock.now())
        self.context = PoolContext(
            clock,
            PlatformDialect(),
            "127.0.0.1",
            None,
            reach,
            make_crash_guard(clock, reach),
            DownTargets(),
            None,
        )
        self.outcomes = []

    def make_exchange(self, record: TargetRecord) -> Exchange:
        """Return a call to a target."""
        return Exchange(
            Call(1, CallKind.FIRST, "s1", record, self.clock.now()),
            SentRequest("r1", "0" * 32),
            lambda: b"",
            lambda call: None,
            lambda exchange, outcome: self.outcomes.append(outcome),
            is_idempotent=True,
        )

    def wait_for_outcomes(self, count: int) -> None:
        """Return once so many calls have ended, or fail after TIMEOUT_S."""
        with gevent.Timeout(TIMEOUT_S):
            while len(self.outcomes) < count:
                gevent.sleep(0.01)


class FailedDialTests(PoolTestCase):
    """Guards against calls that wait until their deadline after a failed dial."""

    def submit(self, address: str, calls: int) -> None:
        """Submit calls to a pool of one connection, and check that each fails soon."""
        record = make_record(address)
        pool = TargetPool(record, 1, self.context)
        for _ in range(calls):
            pool.submit(self.make_exchange(record))
        self.wait_for_outcomes(calls)
        for outcome in self.outcomes:
            self.assertEqual(
                (FailureReason.CONNECT, Ran.NOT_RUN), (outcome.reason, outcome.ran)
            )
        self.assertEqual(0, pool.size)

    def test_call_to_an_unusable_address_fails_at_once_as_not_run(self):
        for address in UNUSABLE_ADDRESSES:
            self.outcomes.clear()
            self.submit(address, 1)

    def test_calls_that_wait_behind_a_failed_dial_fail_too(self):
        self.submit(CLOSED_ADDRESS, WAITING_CALLS)


class MovedTargetTests(PoolTestCase):
    """Guards against a cancelled call that is looked for in another pool."""

    def test_call_is_cancelled_where_it_was_submitted(self):
        pools = TargetPools(self.context)
        old, new = make_record(CLOSED_ADDRESS), make_record(OTHER_ADDRESS)
        former_pool = pools.get(old, 0)
        exchange = self.make_exchange(old)
        former_pool.submit(exchange)
        pool = pools.get(new, 0)
        exchange.cancel()
        self.assertNotIn(exchange, former_pool.waiting)
        self.assertIs(pool, pools.get(new, 0))

    def test_call_that_was_never_submitted_can_be_cancelled(self):
        exchange = self.make_exchange(make_record(CLOSED_ADDRESS))
        exchange.cancel()
        exchange.fail(FailureReason.CONNECT)
        self.assertEqual([], self.outcomes)
