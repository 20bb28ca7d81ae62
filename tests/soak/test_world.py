"""Tests of what the soak's targets record."""

import random
from unittest.mock import Mock

import testtools

from sesameplank.forwarding.http_messages import RequestReader
from sesameplank.net import Address
from sesameplank.standins.front_targets import TargetFaultMode

from ..integration.front_world import make_request
from .world import SoakTarget

MAX_BYTES = 10_000


class SoakTargetTests(testtools.TestCase):
    """An arrival counts as run only if the target runs it."""

    CASES = (
        # The fault, and whether the first and the second call of a request run.
        (TargetFaultMode.NONE, [True, True]),
        (TargetFaultMode.RESET, [True, True]),
        (TargetFaultMode.SHED, [False, False]),
        (TargetFaultMode.SHED_ONCE, [False, True]),
    )

    def make_target(self) -> SoakTarget:
        """Return a target of a world that records arrivals."""
        world = Mock(rng=random.Random(1), mean_service_time_s=0.001)
        world.record.arrivals = []
        target = SoakTarget("single1-1", Address("127.0.0.1", 1), "single1", world)
        target.send = Mock(return_value=True)
        return target

    def test_refused_calls_have_not_run(self):
        reader = RequestReader(MAX_BYTES, MAX_BYTES)
        reader.feed(make_request("/book/x", "r1", method="POST"))
        request = reader.complete[0]
        for fault_mode, expected in self.CASES:
            target = self.make_target()
            target.fault_mode = fault_mode
            sock = Mock()
            target.sockets[sock] = "127.0.0.2"
            for _ in expected:
                target.answer(sock, request)
            arrivals = target.world.record.arrivals
            self.assertEqual(expected, [item.ran for item in arrivals], fault_mode)
            self.assertEqual(sum(expected), len(target.executed_ids), fault_mode)
