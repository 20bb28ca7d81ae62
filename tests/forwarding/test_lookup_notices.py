"""Tests of the notices about callers that look up addresses."""

import testtools

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.forwarding.lookups import RECENT_S
from sesameplank.core.membership.peer_messages import CallerLookup
from sesameplank.forwarding.lookup_notices import MAX_NOTIFIED, LookupNotices
from sesameplank.peers import PeerContext


class FakeLinks:
    """Records the messages that are sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, CallerLookup]] = []
        self.unconnected: set[str] = set()

    def register(self, message_type, handler) -> None:
        """Ignore the handler; the tests call it."""

    def send(self, peer: str, message: CallerLookup) -> bool:
        """Record a message."""
        self.sent.append((peer, message))
        return True

    def is_connected(self, peer: str) -> bool:
        """Return whether the peer is connected."""
        return peer not in self.unconnected


class LookupNoticesTests(testtools.TestCase):
    """Callers that looked up addresses recently have less time."""

    def setUp(self):
        super().setUp()
        self.links = FakeLinks()
        self.clock = ManualClock()
        self.others: list[str] = []
        self.set_fleet(4)
        self.notices = LookupNotices(self.links, self.clock, lambda: self.others)

    def set_fleet(self, size: int) -> None:
        self.others = [f"m{n}" for n in range(1, size)]

    def receive(self, caller: str, age_s: float = 0.0) -> None:
        context = PeerContext("m1", 1, age_s, float("inf"))
        self.notices.on_notice(CallerLookup(caller), context)

    def test_other_vms_are_notified(self):
        self.notices.on_lookup("c")
        self.assertEqual(
            [(f"m{n}", CallerLookup("c")) for n in (1, 2, 3)], self.links.sent
        )
        self.assertTrue(self.notices.may_have_looked_up("c"))

    def test_only_the_caller_of_a_notice_has_less_time_for_a_while(self):
        self.receive("c")
        self.assertTrue(self.notices.may_have_looked_up("c"))
        self.assertFalse(self.notices.may_have_looked_up("d"))
        self.clock.advance(1.01 * RECENT_S)
        self.assertFalse(self.notices.may_have_looked_up("c"))

    def test_delayed_notice_does_not_count(self):
        self.receive("c", age_s=2 * RECENT_S)
        self.assertFalse(self.notices.may_have_looked_up("c"))

    def test_every_caller_has_less_time_while_notices_may_be_missing(self):
        self.links.unconnected = {"m2"}
        self.assertTrue(self.notices.may_have_looked_up("d"))

    def test_large_fleet_sends_no_notices(self):
        self.set_fleet(MAX_NOTIFIED + 2)
        self.notices.on_lookup("c")
        self.assertEqual([], self.links.sent)
        self.assertTrue(self.notices.may_have_looked_up("d"))
