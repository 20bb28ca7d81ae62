"""Tests of the notices about targets whose addresses others have taken over."""

import testtools

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.membership.peer_messages import TargetReplaced
from sesameplank.core.published.target_table import (
    TargetChanges,
    TargetPhase,
    TargetRecord,
    TargetTable,
)
from sesameplank.forwarding.replaced_targets import MAX_NOTICE_AGE_S, ReplacedTargets
from sesameplank.peers import PeerContext

from .test_lookup_notices import FakeLinks

ADDRESS = "10.0.0.1:80"
RECORDS = [
    TargetRecord(name, "s", ADDRESS, "dc", 2, TargetPhase.READY, revision=1)
    for name in "ab"
]


class FakePools:
    """Records the targets whose idle connections are closed."""

    def __init__(self) -> None:
        self.closed: list[str] = []

    def close_idle(self, target: str) -> None:
        """Record a target."""
        self.closed.append(target)


class ReplacedTargetsTests(testtools.TestCase):
    """The first VM that notices tells the others, once."""

    def setUp(self):
        super().setUp()
        self.links = FakeLinks()
        self.table = TargetTable()
        self.table.apply(TargetChanges(1, tuple(RECORDS)), 0.0, False)
        self.pools = FakePools()
        self.replaced = ReplacedTargets(
            self.links, ManualClock(), self.table, self.pools, lambda: ["m1", "m2"]
        )

    def receive(self, target: str, address: str, age_s: float = 0.0) -> None:
        context = PeerContext("m1", 1, age_s, float("inf"))
        self.replaced.on_notice(TargetReplaced(target, address), context)

    def get_ready(self) -> list[str]:
        return sorted(record.id for record in self.table.get_ready("s"))

    def test_other_vms_are_notified_once(self):
        self.replaced.add(RECORDS[0])
        self.replaced.add(RECORDS[0])
        notice = TargetReplaced("a", ADDRESS)
        self.assertEqual([("m1", notice), ("m2", notice)], self.links.sent)
        self.assertEqual(["b"], self.get_ready())
        self.assertEqual(["a"], self.pools.closed)

    def test_notice_stops_calls_and_is_not_passed_on(self):
        self.receive("a", ADDRESS)
        self.assertEqual(["b"], self.get_ready())
        self.assertEqual([], self.links.sent)

    def test_notices_that_do_not_apply_are_ignored(self):
        for target, address, age_s in (
            ("a", "10.0.0.9:80", 0.0),
            ("unknown", ADDRESS, 0.0),
            ("a", ADDRESS, 1.01 * MAX_NOTICE_AGE_S),
        ):
            self.receive(target, address, age_s)
        self.assertEqual(["a", "b"], self.get_ready())

    def test_service_of_the_answering_target_is_known_if_it_is_listed(self):
        for target, service in (("b", "s"), ("unknown", None), (None, None)):
            self.assertEqual(service, self.replaced.find_service(target))
