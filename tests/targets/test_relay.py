"""Tests of calls that go through the homes of a target."""

import functools
import random

import msgspec
import testtools

from sesameplank.core.common.clock import ManualClock
from sesameplank.core.common.outcomes import Failure, FailureReason, Ran
from sesameplank.core.forwarding.target_reach import ReachState, TargetReach
from sesameplank.core.limits.limit_parts import HomeParts
from sesameplank.core.limits.target_limits import TargetLimits
from sesameplank.core.membership.homes import ConnectionPlan
from sesameplank.core.membership.peer_messages import RelayedAnswer, RelayedCall
from sesameplank.core.published.leaving import LeavingTargets
from sesameplank.core.search.messages import TargetSearch, TargetSearchAnswer
from sesameplank.peers import PeerContext
from sesameplank.targets import DirectDispatcher
from sesameplank.targets.pool import LIMITED
from sesameplank.targets.relay import RelayDispatcher

from ..crash_guards import make_crash_guard

TARGET = "t1"
ENTRIES = ("e1", "e2", "e3")
ANSWER = TargetSearchAnswer("r1", 1, ())


class Pool:
    """A pool that answers every call, and counts them."""

    def __init__(self) -> None:
        self.calls = 0
        self.started_at = {}
        self.admit = lambda path: True

    def call(self, method, path, body, deadline_at, decode, answer_by):
        """Return the decoded answer."""
        if not self.admit(path):
            return LIMITED
        self.calls += 1
        return decode(msgspec.json.encode(ANSWER))


class Links:
    """Links to the other entries, whose dispatchers serve the calls."""

    def __init__(self) -> None:
        self.entries: dict[str, RelayDispatcher] = {}
        self.called: list[str] = []

    def register(self, message_type, handler) -> None:
        """Ignore the handler, which `call` calls itself."""

    def call(self, peer, message: RelayedCall, deadline_at):
        """Return the outcome at a peer."""
        self.called.append(peer)
        context = PeerContext("e1", 1, 0.0, deadline_at)
        return self.entries[peer].serve(message, context)


class RelayTestCase(testtools.TestCase):
    """Makes three entries, all of them homes of the target."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock(10.0)
        self.links = Links()
        for entry in ENTRIES:
            self.links.entries[entry] = self.make_dispatcher(entry)
        self.own = self.links.entries["e1"]

    def make_dispatcher(self, entry: str) -> RelayDispatcher:
        """Return the dispatcher of a home of the target."""
        plan = ConnectionPlan(entry, len(ENTRIES), 0)
        plan.update(ENTRIES, self.clock.now())
        reach = TargetReach(random.Random(1), self.clock.now())
        direct = DirectDispatcher(
            self.clock,
            plan,
            LeavingTargets(self.clock),
            TargetLimits(HomeParts(plan)),
            reach,
            make_crash_guard(self.clock, reach),
        )
        direct.pools[TARGET] = Pool()
        return RelayDispatcher(direct, plan, self.links, self.clock, list)

    def lose(self, *entries: str) -> None:
        """Let entries lose their links to targets."""
        for entry in entries:
            self.links.entries[entry].direct.reach.state = ReachState.LOST

    def search(self, entry: str = "e1"):
        """Return the outcome of a search call of an entry."""
        message = TargetSearch("r1", "c", 1, 1_000, ())
        dispatcher = self.links.entries[entry]
        return dispatcher.search(TARGET, message, self.clock.now() + 1.0)


class LostTargetsTests(RelayTestCase):
    """An entry without links to targets calls them through other homes."""

    def test_calls_go_through_a_home_that_reaches_targets(self):
        for lost in ((), ("e1",), ("e1", "e2"), ("e1", "e3")):
            self.lose(*lost)
            self.assertEqual(ANSWER, self.search(), lost)
            for entry in ENTRIES:
                reach = self.links.entries[entry].direct.reach
                calls = self.links.entries[entry].direct.pools[TARGET].calls
                self.assertFalse(reach.is_lost and calls, (lost, entry))
                reach.state = ReachState.REACHED
                self.links.entries[entry].direct.pools[TARGET].calls = 0

    def test_call_is_refused_as_not_run_if_no_home_reaches_targets(self):
        self.lose(*ENTRIES)
        outcome = self.search()
        self.assertIsInstance(outcome, Failure)
        self.assertEqual(
            (FailureReason.RELAY, Ran.NOT_RUN), (outcome.reason, outcome.ran)
        )

    def test_call_for_another_entry_goes_no_further(self):
        self.lose("e2")
        call = RelayedCall(TARGET, "/search", b"{}", 0)
        outcome = self.links.call("e2", call, self.clock.now() + 1.0)
        self.assertNotIsInstance(outcome, RelayedAnswer)
        self.assertEqual(["e2"], self.links.called)


class LimitedTargetTests(RelayTestCase):
    """An entry without a part of a limit calls through those that have one."""

    def name_limit(self, per_s: float) -> None:
        """Let all entries know a limit, of which they have used up their parts."""
        for dispatcher in self.links.entries.values():
            limits = dispatcher.direct.limits
            limits.name(TARGET, per_s, self.clock.now(), "own_call")
            pool = dispatcher.direct.pools[TARGET]
            pool.admit = functools.partial(dispatcher.direct.admit, TARGET)

    def test_only_homes_with_a_part_are_asked(self):
        homes = self.own.plan.get_homes(TARGET)
        for per_s, holders in ((0.0, 0), (0.5, 2)):
            self.name_limit(per_s)
            for entry in ENTRIES:
                self.links.called.clear()
                self.search(entry)
                self.assertLessEqual(
                    set(self.links.called), set(homes[:holders]) - {entry}, per_s
                )

    def test_reasons_of_a_home_are_told_as_other_releases_know_them(self):
        call = RelayedCall(TARGET, "/search", b"{}", 0)
        self.name_limit(0.0)
        outcomes = [self.links.call("e2", call, self.clock.now() + 1.0)]
        self.lose("e2")
        outcomes.append(self.links.call("e2", call, self.clock.now() + 1.0))
        self.assertEqual(
            [(FailureReason.RELAY, Ran.NOT_RUN)] * 2,
            [(item.reason, item.ran) for item in outcomes],
        )
