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
from sesameplank.forwarding.target_pools import PoolContext, TargetPool
from sesameplank.platform.headers import PlatformDialect

from ..crash_guards import make_crash_guard

TIMEOUT_S = 5.0
# Processes of older releases list such addresses.
UNUSABLE_ADDRESSES = ("127.0.0.1:70000", "a" * 64 + ".example:80", "127.0.0.1")


class UnusableAddressTests(testtools.TestCase):
    """Guards against a call that waits until its deadline after a failed dial."""

    def test_call_fails_at_once_as_not_run(self):
        clock = SystemClock()
        reach = TargetReach(random.Random(1), clock.now())
        context = PoolContext(
            clock,
            PlatformDialect(),
            "127.0.0.1",
            None,
            reach,
            make_crash_guard(clock, reach),
            DownTargets(),
            None,
        )
        for address in UNUSABLE_ADDRESSES:
            record = TargetRecord("t1", "s1", address, "dc", 2, TargetPhase.READY)
            pool = TargetPool(record, 1, context)
            outcomes = []
            exchange = Exchange(
                Call(1, CallKind.FIRST, "s1", record, clock.now()),
                SentRequest("r1", "0" * 32),
                lambda: b"",
                lambda call: None,
                lambda exchange, outcome, outcomes=outcomes: outcomes.append(outcome),
                is_idempotent=True,
            )
            pool.submit(exchange)
            with gevent.Timeout(TIMEOUT_S):
                while not outcomes:
                    gevent.sleep(0.01)
            outcome = outcomes[0]
            self.assertEqual(
                (FailureReason.CONNECT, Ran.NOT_RUN), (outcome.reason, outcome.ran)
            )
            self.assertEqual(0, pool.size)
