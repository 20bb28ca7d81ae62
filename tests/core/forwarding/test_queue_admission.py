"""Tests of admission control by the length of the targets' queues."""

import random

import testtools

from sesameplank.core.forwarding.placement import LoadReport
from sesameplank.core.forwarding.queue_admission import (
    MIN_RETRY_S,
    QueueAdmission,
    get_allowed_waits,
)
from sesameplank.core.published.routes import Route, WeightedService

OBJECTIVE_S = 0.1
ALLOWED_S = 0.017
SHARDS = ("s0", "s1", "s2", "s3", "s4")


def make_admission(waiting: int, shards=SHARDS, now=10.0) -> QueueAdmission:
    """Return an admission to which each shard reported `waiting` waiting calls."""
    admission = QueueAdmission(random.Random(1))
    for _ in range(10):
        for shard in shards:
            report = LoadReport(2, waiting, 2)
            admission.note_answer(shard, report, 0.01 * (1 + waiting / 2), now)
    return admission


def count_refused(admission: QueueAdmission, allowed_s=ALLOWED_S, now=10.0) -> int:
    """Return how many of 100 requests are refused."""
    found = [admission.find_retry_s(SHARDS, 4, allowed_s, now) for _ in range(100)]
    return sum(retry_s is not None for retry_s in found)


def make_route(
    name: str, priority: int, services=(), shards=(), objective_s=OBJECTIVE_S
) -> Route:
    """Return a route."""
    return Route(
        name=name,
        host="h",
        prefix=f"/{name}",
        idempotent=True,
        timeout_s=1.0,
        objective_s=objective_s,
        max_attempts=2,
        priority=priority,
        services=tuple(WeightedService(item, 1.0) for item in services),
        shards=tuple(shards),
    )


class QueueAdmissionTests(testtools.TestCase):
    """Requests are refused if the expected wait exceeds the allowed one."""

    def test_longer_waits_cause_more_refusals(self):
        refused = [count_refused(make_admission(n)) for n in (0, 2, 5, 12)]
        self.assertEqual(0, refused[0])
        self.assertEqual(0, refused[1])
        self.assertTrue(0 < refused[2] < 100, refused)
        self.assertTrue(80 < refused[3] < 100, refused)

    def test_some_requests_are_admitted_at_any_wait(self):
        self.assertLess(count_refused(make_admission(1_000)), 100)

    def test_nothing_is_refused_without_load_reports(self):
        self.assertEqual(0, count_refused(QueueAdmission(random.Random(1))))

    def test_one_long_queue_causes_no_refusals_of_requests_to_all_shards(self):
        admission = make_admission(0)
        for _ in range(20):
            admission.note_refusal("s0", LoadReport(2, 12, 2), 10.0)
        self.assertEqual(0, count_refused(admission))

    def test_reported_queues_decay_within_half_a_second(self):
        admission = make_admission(12)
        self.assertLess(80, count_refused(admission))
        self.assertEqual(0, count_refused(admission, now=10.5))

    def test_callers_retry_after_the_expected_wait(self):
        admission = make_admission(12)
        found = {admission.find_retry_s(SHARDS, 4, ALLOWED_S, 10.0) for _ in range(20)}
        (retry_s,) = found - {None}
        self.assertGreaterEqual(retry_s, MIN_RETRY_S)
        self.assertAlmostEqual(0.06, retry_s, places=2)

    def test_queues_of_removed_services_are_removed(self):
        admission = make_admission(12)
        admission.keep_only(["s1"])
        self.assertEqual({"s1"}, set(admission.queues))


class AllowedWaitsTests(testtools.TestCase):
    """The allowed wait depends on the routes that share a service."""

    def test_table(self):
        for routes, less_urgent in (
            ([make_route("a", 1, ["x"])], ""),
            ([make_route("a", 1, ["x"]), make_route("b", 2, ["x"])], "b"),
            ([make_route("a", 1, ["x"]), make_route("b", 2, ["y"])], ""),
            (
                [make_route("a", 1, (), ["x", "y"]), make_route("b", 2, ["y", "z"])],
                "b",
            ),
            ([make_route("a", 1, ["x"]), make_route("b", 1, ["x"])], ""),
        ):
            waits = get_allowed_waits(routes)
            shorter = [name for name, wait_s in waits.items() if wait_s < ALLOWED_S]
            self.assertEqual(list(less_urgent), shorter)

    def test_routes_that_share_a_service_use_the_longest_objective(self):
        quick = make_route("a", 1, (), ["x", "y"], objective_s=0.05)
        slow = make_route("b", 1, (), ["x"], objective_s=0.2)
        apart = make_route("c", 1, ["z"], objective_s=0.05)
        waits = get_allowed_waits([quick, slow, apart])
        self.assertEqual(waits["a"], waits["b"])
        self.assertAlmostEqual(4 * waits["c"], waits["a"])
