"""Differential tests that compare answers with a naive scan of the records."""

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameplank.callers.problems import ProblemKind, Refusal
from sesameplank.core.search.coverage import Coverage
from sesameplank.core.search.messages import Order, SearchRequest
from sesameplank.core.search.ranges import KEY_SPACE, KeyRange

from .differential import COLLECTION_NAME, CUTS, EVENTS, REQUESTS, Event, ScriptedWorld

EXAMPLES = 300
ALL_KEYS = KeyRange(0, KEY_SPACE)


class DifferentialTests(testtools.TestCase):
    """Answers are correct under random splits, publications, restarts and failures."""

    @settings(max_examples=EXAMPLES)
    @given(
        st.integers(0, 10_000),
        CUTS,
        st.lists(EVENTS, max_size=25),
        st.lists(REQUESTS, min_size=1, max_size=5),
    )
    def test_answer_equals_a_naive_scan_of_its_snapshot_and_ranges(
        self, seed, cuts, script, requests
    ):
        world = ScriptedWorld(seed, cuts, script)
        seen = 0
        for request in requests:
            at_least = seen + request.at_least_snapshot if seen else 0
            request = msgspec.structs.replace(request, at_least_snapshot=at_least)
            try:
                answer = world.ask(request)
            except Refusal as refusal:
                self.assertIs(ProblemKind.SNAPSHOT_UNAVAILABLE, refusal.kind)
                continue
            self.assertEqual("", world.find_difference(request, answer))
            seen = max(seen, answer.snapshot)

    @settings(max_examples=50)
    @given(st.integers(0, 10_000), CUTS, st.lists(REQUESTS, min_size=1, max_size=3))
    def test_answer_is_whole_when_nothing_fails(self, seed, cuts, requests):
        world = ScriptedWorld(seed, cuts, [])
        for request in requests:
            request = msgspec.structs.replace(request, at_least_snapshot=0)
            answer = world.ask(request)
            self.assertTrue(answer.coverage.is_whole)
            self.assertEqual("", world.find_difference(request, answer))


class SplitTests(testtools.TestCase):
    """A split during a query neither duplicates nor loses a range."""

    def test_query_is_planned_again_once_the_newer_map_is_in_force(self):
        table = [("at once", 2), ("later", 6)]
        for name, publish_at in table:
            script = [Event(1, "split", 1), Event(publish_at, "publish", 0)]
            world = ScriptedWorld(1, [], script)
            request = SearchRequest(
                collection=COLLECTION_NAME, limit=1_000, explain=True
            )
            world.ask(request)
            answer = world.ask(request)
            self.assertTrue(answer.coverage.is_whole, name)
            self.assertEqual("", world.find_difference(request, answer), name)
            self.assertEqual(2, answer.config_version, name)

    def test_range_is_reported_missing_until_the_newer_map_is_in_force(self):
        world = ScriptedWorld(1, [], [Event(1, "split", 1)])
        request = SearchRequest(collection=COLLECTION_NAME)
        answer = world.ask(request)
        self.assertEqual(
            ["not_owned"], [item.reason.value for item in answer.coverage.missing]
        )
        self.assertEqual("", world.find_difference(request, answer))


class FindDifferenceTests(testtools.TestCase):
    """The comparison with the naive scan detects wrong answers."""

    def test_wrong_answers_are_detected(self):
        table = [
            ("another snapshot", {"snapshot": 3}, "hits"),
            ("a wrong total", {"total": 61}, "total"),
            ("missing hits", {"hits": ()}, "hits"),
            ("a wrong order", {"order": Order("price", True)}, "hits"),
            ("a lost record", {"records": 1}, "total"),
            ("an older snapshot", {"at_least_snapshot": 10**6}, "older"),
            (
                "a duplicated range",
                {"coverage": Coverage((ALL_KEYS, ALL_KEYS))},
                "overlaps",
            ),
            ("a lost range", {"coverage": Coverage((KeyRange(0, 9),))}, "gap"),
        ]
        for name, changes, expected in table:
            world = ScriptedWorld(5, [30_000], [])
            request = SearchRequest(COLLECTION_NAME, limit=1_000)
            answer = world.ask(request)
            self.assertEqual("", world.find_difference(request, answer))
            if "at_least_snapshot" in changes or "order" in changes:
                request = msgspec.structs.replace(request, **changes)
            elif "records" in changes:
                lost = world.record_store.records[world.record_store.keys[0]]
                for records in world.record_store.records_by_range.values():
                    if lost in records:
                        records.remove(lost)
            else:
                answer = msgspec.structs.replace(answer, **changes)
            self.assertIn(expected, world.find_difference(request, answer), name)
