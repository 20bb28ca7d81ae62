"""Tests of targets that name a rate limit, with several processes in front of them."""

import time

import gevent
import gevent.pool

from sesameplank.core.limits.slack_share import UNKNOWN_FLEET_SIZE

from .front_world import FrontTestCase, make_request

SETTLING_S = 4.0
WINDOW_S = 4.0
TOLERANCE = 1.5
SPARE_CALLS = 5
LIMIT_PER_S = 2.0
SMALL_LIMIT_PER_S = 0.9
REQUESTS = 300
REQUEST_GAP_S = 0.03
CONCURRENCY = 12


class TargetLimitTests(FrontTestCase):
    """A limit holds for the sum over all processes, and callers are still answered."""

    front_count = 3

    def setUp(self):
        super().setUp()
        self.wait_for_members()
        self.statuses: dict[int, int] = {}

    def send(self, number: int, path: str, method: str) -> None:
        """Send one request and count the status of its answer."""
        data = make_request(path, f"r{number}", method=method)
        status = self.request(data, number % self.front_count).status
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def play(self, path: str, limited: tuple[str, ...], method: str = "GET") -> float:
        """Send requests while targets name limits; return when they began to."""
        for name in limited:
            self.targets[name].stated_limit = b"%g" % LIMIT_PER_S
        began_at = time.monotonic()
        pool = gevent.pool.Pool(CONCURRENCY)
        for number in range(REQUESTS):
            pool.spawn(self.send, number, path, method)
            gevent.sleep(REQUEST_GAP_S)
        pool.join(raise_error=True)
        return began_at

    def assert_limit_is_kept(self, name: str, began_at: float) -> None:
        """Assert that no window of WINDOW_S holds too many arrivals at a target."""
        arrivals = [
            at for at in self.targets[name].arrived_at if at >= began_at + SETTLING_S
        ]
        allowed = TOLERANCE * LIMIT_PER_S * WINDOW_S + SPARE_CALLS
        for start in arrivals:
            count = sum(start <= at < start + WINDOW_S for at in arrivals)
            self.assertLessEqual(count, allowed, name)

    def test_limited_targets_get_no_more_than_they_named(self):
        for path, method, limited in (
            ("/all/x", "GET", ("shard0a",)),
            ("/all/x", "GET", ("shard1a", "shard1b")),
            ("/one/x", "GET", ("singlea", "singleb")),
            ("/book/x", "POST", ("singlea", "singleb")),
        ):
            began_at = self.play(path, limited, method)
            for name in limited:
                self.assert_limit_is_kept(name, began_at)
                self.targets[name].stated_limit = None
            self.assertLessEqual(set(self.statuses), {200, 503}, limited)
            self.assertGreater(self.statuses[200], 0, limited)

    def test_process_without_a_part_of_a_small_limit_calls_through_others(self):
        limited = ("singlea", "singleb")
        for name in limited:
            self.targets[name].stated_limit = b"%g" % SMALL_LIMIT_PER_S
        pool = gevent.pool.Pool(CONCURRENCY)
        for number in range(self.front_count * 6):
            pool.spawn(self.send, number, "/one/x", "GET")
        pool.join(raise_error=True)
        half = SMALL_LIMIT_PER_S / 2
        self.wait_for(
            lambda: sorted(self.get_parts(limited[0])) == [0.0, half, half],
            "equal parts of two processes",
        )
        without_part = self.get_parts(limited[0]).index(0.0)
        for number in range(2):
            gevent.sleep(3.0)
            data = make_request("/one/x", f"through{number}")
            self.assertEqual(200, self.request(data, without_part).status)

    def get_parts(self, target: str) -> list[float]:
        """Return the parts of a target's limit by process."""
        return [self.get_part(front, target) for front in range(self.front_count)]

    def get_part(self, front: int, target: str) -> float:
        """Return a process's part of a target's limit, once it knows the limit."""
        self.wait_for_state(
            front, lambda state: state["targets"][target]["limit"] is not None
        )
        return self.get_state(front)["targets"][target]["limit"]["part_per_s"]


class FirstProcessTests(FrontTestCase):
    """A process that hasn't heard of the others that its settings name."""

    def test_process_that_hears_no_other_takes_little_of_what_is_shared(self):
        self.wait_for_state(
            0, lambda state: state["gauges"]["slack_share"] <= 1 / UNKNOWN_FLEET_SIZE
        )
        self.targets["singlea"].stated_limit = b"%g" % LIMIT_PER_S
        self.targets["singleb"].stated_limit = b"%g" % LIMIT_PER_S
        self.request(make_request("/one/x"))
        parts = [
            item["limit"]["part_per_s"]
            for item in self.get_state(0)["targets"].values()
            if item["limit"] is not None
        ]
        self.assertEqual(1, len(parts))
        self.assertAlmostEqual(LIMIT_PER_S / UNKNOWN_FLEET_SIZE, parts[0], 3)
