"""Tests of queries and bookings that crash each target that runs them."""

import random

import gevent
import msgspec
import testtools
from gevent.server import StreamServer

from sesameplank.callers.problems import ProblemKind, Refusal
from sesameplank.conf import Configuration, decode_configuration
from sesameplank.conf.documents import PresetName, PublishedConfiguration
from sesameplank.core.common.clock import SystemClock
from sesameplank.core.common.outcomes import Failure, FailureReason, Ran
from sesameplank.core.forwarding.target_reach import TargetReach
from sesameplank.core.limits.limit_parts import HomeParts
from sesameplank.core.limits.target_limits import TargetLimits
from sesameplank.core.membership.homes import ConnectionPlan
from sesameplank.core.published.leaving import LeavingTargets
from sesameplank.core.published.versions import AcceptedConfiguration
from sesameplank.core.quarantine.request_quarantine import (
    JUDGE_DELAY_S,
    Crash,
    RequestQuarantine,
    Standing,
)
from sesameplank.core.search.messages import (
    SearchRequest,
    ShardResult,
    ShardStatus,
    TargetBooking,
    TargetSearch,
    TargetSearchAnswer,
)
from sesameplank.core.search.policies import LoadPolicies
from sesameplank.core.search.ranges import KEY_SPACE
from sesameplank.core.search.snapshots import SnapshotTracker
from sesameplank.forwarding.http_messages import RequestReader, encode_response
from sesameplank.queries import QueryRunner
from sesameplank.targets import DirectDispatcher
from sesameplank.targets.fingerprints import (
    find_message_fingerprint,
    find_search_fingerprint,
)

from .crash_guards import make_crash_guard

SHARDS = 4
REPLICAS = "ab"
CRASHING = b"crashing"
CRASHING_QUERY = SearchRequest("orders", terms=("crashing",), at_least_snapshot=3)
INNOCENT_QUERY = SearchRequest("orders", terms=("fine",), at_least_snapshot=3)
TIMEOUT_S = 5.0
HOLD_S = 0.01
MAX_SENDS = 3  # After the third crash.


class CrashingTarget:
    """A target that crashes when it begins to run a call with CRASHING in it."""

    def __init__(self) -> None:
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.crashes = 0
        self.arrivals = 0

    def serve(self, sock, source) -> None:
        """Serve one connection."""
        reader = RequestReader(100_000, 100_000)
        while data := sock.recv(65_536):
            reader.feed(data)
            while reader.complete:
                body = bytes(reader.complete.pop(0).body)
                self.arrivals += 1
                if CRASHING in body:
                    gevent.sleep(HOLD_S)
                    self.crash()
                    sock.close()
                    return
                sock.sendall(self.answer(body))

    def answer(self, body: bytes) -> bytes:
        """Return the answer to a search call, or one without a body."""
        if b'"shards"' not in body:
            return encode_response(200, "OK", [], b"", close=False)
        call = msgspec.json.decode(body, type=TargetSearch)
        results = tuple(
            ShardResult(item.shard, ShardStatus.OK, 1, 9) for item in call.shards
        )
        answer = TargetSearchAnswer(call.request_id, call.snapshot, results)
        payload = msgspec.json.encode(answer)
        return encode_response(200, "OK", [], payload, close=False)

    def crash(self) -> None:
        """Stop listening."""
        self.crashes += 1
        self.server.stop(timeout=0)

    def restart(self) -> None:
        """Listen at the same address again."""
        if not self.server.started:
            self.server = StreamServer(
                ("127.0.0.1", int(self.address.split(":")[1])), self.serve
            )
            self.server.start()


class CrashingQueryTestCase(testtools.TestCase):
    """Makes targets, and what an entry calls them with."""

    def setUp(self):
        super().setUp()
        self.clock = SystemClock()
        self.targets = {
            f"{shard}{letter}": CrashingTarget()
            for shard in range(SHARDS)
            for letter in REPLICAS
        }
        for target in self.targets.values():
            self.addCleanup(lambda target=target: target.server.stop(timeout=0))
        self.pinned = self.make_pinned()
        self.policies = LoadPolicies(self.clock, random.Random(1))
        self.policies.apply(self.pinned)
        self.quarantine = RequestQuarantine()
        reach = TargetReach(random.Random(1), self.clock.now())
        plan = ConnectionPlan("e1", 8, 4)
        plan.update(["e1"], self.clock.now() - 100.0)
        self.dispatcher = DirectDispatcher(
            self.clock,
            plan,
            LeavingTargets(self.clock),
            TargetLimits(HomeParts(plan)),
            reach,
            make_crash_guard(self.clock, reach, self.quarantine),
        )
        self.addCleanup(self.dispatcher.__exit__)
        self.dispatcher.update_targets(self.pinned.configuration)
        self.runner = QueryRunner(
            self.dispatcher,
            SnapshotTracker(),
            self.policies.chooser,
            self.policies.make_hedge_policy,
            self.clock,
            self.policies,
            quarantine=self.quarantine,
        )

    def make_pinned(self) -> AcceptedConfiguration:
        """Return an accepted configuration with two replicas of each shard."""
        step = KEY_SPACE // SHARDS
        document = {
            "deployment": "test",
            "preset": PresetName.ORDINARY.value,
            "targets": {
                name: {"address": target.address, "data_centre": "x"}
                for name, target in self.targets.items()
            },
            "collections": {
                "orders": {
                    "shards": [
                        {
                            "id": str(shard),
                            "start": shard * step,
                            "end": (shard + 1) * step,
                            "replicas": [f"{shard}{letter}" for letter in REPLICAS],
                        }
                        for shard in range(SHARDS)
                    ]
                }
            },
            "callers": {"desk": {}},
        }
        raw = msgspec.Raw(msgspec.json.encode(document))
        configuration: Configuration = decode_configuration(raw)
        published = PublishedConfiguration(1, raw)
        return AcceptedConfiguration(1, configuration, published, 0.0)

    def run_query(self, request: SearchRequest):
        """Return the answer to a query, or its refusal."""
        try:
            deadline_at = self.clock.now() + 1.0
            return self.runner.run("r", request, self.pinned, deadline_at).answer
        except Refusal as refusal:
            return refusal

    def restart_all(self) -> None:
        """Start the targets again that have crashed."""
        for target in self.targets.values():
            target.restart()

    def count_crashes(self) -> int:
        """Return the number of crashes of all targets."""
        return sum(target.crashes for target in self.targets.values())


class QueryTests(CrashingQueryTestCase):
    """A query that crashes targets is refused, and other queries are served."""

    def test_query_that_crashes_targets_reaches_few_of_them(self):
        for _ in range(12):
            last = self.run_query(CRASHING_QUERY)
            self.restart_all()
        self.assertLessEqual(self.count_crashes(), SHARDS + MAX_SENDS)
        self.assertEqual(ProblemKind.TARGET_UNAVAILABLE, last.kind)
        self.assertIs(Ran.NOT_RUN, last.ran)
        self.assertGreater(last.retry_after_ms, 1_000)

    def test_other_queries_are_served(self):
        for _ in range(6):
            self.run_query(CRASHING_QUERY)
            self.restart_all()
            answer = self.run_query(INNOCENT_QUERY)
            self.assertTrue(answer.coverage.is_whole)

    def test_suspect_query_is_sent_to_one_target_until_it_is_answered(self):
        now = self.clock.now()
        fingerprint = find_search_fingerprint(INNOCENT_QUERY)
        crash = Crash("gone", now - 0.2, now - 0.1)
        self.quarantine.note_crash(fingerprint, crash, now)
        answer = self.run_query(INNOCENT_QUERY)
        self.assertTrue(answer.coverage.is_whole)
        standing = self.quarantine.get_standing(fingerprint, self.clock.now())
        self.assertIs(Standing.CLEAR, standing)


class CallTests(CrashingQueryTestCase):
    """Every call that runs something counts, whoever it is sent for."""

    def search(self, target: str, terms=("crashing",), request_id="r1"):
        """Return the outcome of a search call."""
        message = TargetSearch(request_id, "orders", 3, 900, (), terms=terms)
        return self.dispatcher.search(target, message, self.clock.now() + TIMEOUT_S)

    def book(self, target: str, key: str):
        """Return the outcome of a booking."""
        message = TargetBooking("r1", key, "orders", "crashing", 1, 900)
        deadline_at = self.clock.now() + TIMEOUT_S
        return self.dispatcher.book(target, message, deadline_at, deadline_at)

    def test_calls_are_withheld_after_three_crashes_in_a_row(self):
        for call in (
            lambda number, target: self.search(target, request_id=f"r{number}"),
            lambda number, target: self.book(target, f"key{number}"),
        ):
            outcomes = []
            for number, target in enumerate(list(self.targets)[:6]):
                outcomes.append(call(number, target))
                gevent.sleep(2 * JUDGE_DELAY_S)
            self.assertEqual(
                [(FailureReason.CRASHED, Ran.UNKNOWN)] * 3
                + [(FailureReason.QUARANTINED, Ran.NOT_RUN)] * 3,
                [(item.reason, item.ran) for item in outcomes],
            )
            self.restart_all()

    def test_calls_that_run_nothing_are_sent_beside_a_suspect_request(self):
        self.search("0a")
        self.assertNotEqual({}, dict(self.quarantine.records))
        deadline_at = self.clock.now() + TIMEOUT_S
        health = self.dispatcher.get_health("1a", deadline_at)
        self.assertIs(FailureReason.BAD_ANSWER, health.reason)  # No answer to polls.
        self.assertEqual(1, self.targets["1a"].arrivals)
        self.dispatcher.cancel("1b", "r1", deadline_at)
        self.assertEqual(1, self.targets["1b"].arrivals)

    def test_call_that_cannot_be_read_has_no_fingerprint(self):
        for path, body in (("/search", b"{"), ("/book", b""), ("/cancel", b"{}")):
            self.assertEqual("", find_message_fingerprint(path, body))

    def test_target_that_only_ends_the_connection_has_not_crashed(self):
        target = self.targets["0a"]
        target.crash = lambda: None
        outcome = self.search("0a")
        self.assertIsInstance(outcome, Failure)
        self.assertIsNot(FailureReason.CRASHED, outcome.reason)
        self.assertEqual({}, dict(self.quarantine.records))
