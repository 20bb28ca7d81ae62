"""Tests with real processes of a store whose answers are old or of a wrong era."""

import time

from sesameplank.standins import front_store
from sesameplank.standins.front_store import StoreFaultMode

from .front_world import FrontTestCase, make_config, make_request

STABLE_S = 4.0
OLD_S = 4.0
MANY_ITEMS = 500
DUE_S = 3.2  # After the acknowledgement of a change: the bound of 3 s, and a margin.


class DoubtfulStoreTests(FrontTestCase):
    """Guards against a view that is taken for fresh while its changes don't come."""

    front_count = 3

    def read_logs(self) -> str:
        """Return what all processes have logged."""
        return "".join(front.log_path.read_text() for front in self.fronts)

    def get_gauges(self, name: str) -> list[float]:
        """Return a gauge of each process."""
        fronts = range(self.front_count)
        return [self.get_state(front)["gauges"][name] for front in fronts]

    def check_changes_are_learnt(self) -> None:
        """Add a route and let a target drain; all processes have to follow."""
        document = make_config(5)
        document["routes"].append(
            {**document["routes"][1], "name": "added", "prefix": "/added/"}
        )
        self.store.put_config(document)
        self.list_target("singlea", "single", state="draining", seq=2)
        time.sleep(DUE_S)
        runs = self.get_runs("singlea")
        for number in range(6 * self.front_count):
            data = make_request("/added/x", f"added-{number}")
            status = self.request(data, number % self.front_count).status
            self.assertEqual(200, status, number)
        self.assertEqual(runs, self.get_runs("singlea"))

    def test_answers_of_an_old_instance_confirm_nothing(self):
        self.store.copy()
        self.list_target("singleb", "single", seq=2)
        time.sleep(STABLE_S)
        self.store.fault_mode = StoreFaultMode.OLD
        time.sleep(OLD_S)
        self.assertTrue(min(self.get_gauges("config_age_s")) > OLD_S / 2)
        self.assertTrue(sum(self.get_gauges("store_answers_refused")) > 0)
        self.assertIn("event=store_lost", self.read_logs())
        self.store.fault_mode = StoreFaultMode.NONE
        self.check_changes_are_learnt()
        self.assertTrue(max(self.get_gauges("config_age_s")) < DUE_S)

    def test_single_answers_of_a_wrong_era_do_not_end_the_reading(self):
        time.sleep(STABLE_S)
        for _ in range(2):
            self.store.wrong_era_answers = 1
            time.sleep(STABLE_S)
        self.assertEqual(0, self.store.wrong_era_answers)
        self.check_changes_are_learnt()
        self.assertEqual({1}, set(self.get_gauges("targets_era")))

    def test_wrong_era_of_a_starting_process_ends_no_reading(self):
        time.sleep(STABLE_S)
        self.patch(front_store, "PAGE_ITEMS", MANY_ITEMS)
        front = self.fronts[0]
        self.terminate(front)
        front.process.wait()
        self.store.wrong_era_host = front.host
        self.store.wrong_era_answers = 1
        front.start()
        self.wait_for(front.is_ready, "ready")
        self.assertEqual(0, self.store.wrong_era_answers)
        time.sleep(STABLE_S)
        self.check_changes_are_learnt()
        self.assertEqual({1}, set(self.get_gauges("targets_era")))
