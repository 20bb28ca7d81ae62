"""Tests of targets whose addresses other targets have taken over."""

import gevent.pool

from sesameplank.standins.front_targets import TargetFaultMode

from .front_world import FrontTestCase, make_config, make_request

RETRY_RATIO = 0.2
REQUESTS = 120
CONCURRENCY = 6


class ReusedAddressTests(FrontTestCase):
    """A target is lost while the store is away, and its address is used again."""

    front_count = 3
    retry_slack = 8

    def setUp(self):
        super().setUp()
        config = make_config(5)
        config["routes"][0]["goal_ms"] = 60
        self.store.put_config(config)
        for front in range(self.front_count):
            self.wait_for_state(front, self.is_in_force)

    def is_in_force(self, state: dict) -> bool:
        is_whole = len(state["members"]) == self.front_count
        return is_whole and state["gauges"]["config_version"] == 5

    def request_all(self, requests: int) -> None:
        """Send gather requests to the processes in turn."""
        pool = gevent.pool.Pool(CONCURRENCY)
        for number in range(requests):
            data = make_request("/all/x", f"r{number}")
            pool.spawn(self.request, data, number % self.front_count)
        pool.join(raise_error=True)

    def test_misdirected_calls_stay_within_the_bound_of_extra_load(self):
        self.targets["shard0b"].fault_mode = TargetFaultMode.RESET
        owner = self.targets["shard0a"]
        owner.name = "shard1c"
        self.request_all(REQUESTS)
        allowed = RETRY_RATIO * REQUESTS + self.retry_slack
        self.assertLessEqual(len(owner.misdirected_ids), allowed)

    def test_one_process_tells_the_others_that_a_target_was_replaced(self):
        self.targets["shard0a"].name = "shard1c"
        self.request_all(self.front_count * 4)
        for front in self.fronts:
            self.wait_for(
                lambda front=front: (
                    "event=target_replaced target=shard0a" in front.log_path.read_text()
                ),
                "the notice",
            )
        target = self.get_state(0)["targets"]["shard0a"]
        self.assertTrue(target["is_held"])
        before = len(self.targets["shard0a"].misdirected_ids)
        self.request_all(REQUESTS)
        self.assertEqual(before, len(self.targets["shard0a"].misdirected_ids))
