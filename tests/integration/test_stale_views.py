"""Tests of a forwarding process whose view of the store is confirmed no more."""

import time

import msgspec

from sesameplank.published.follower import WATCH_WAIT_S

from .front_world import FrontProcess, FrontTestCase, make_config, make_request

DEAF = 2
MARGIN_S = 0.5


class StaleViewTests(FrontTestCase):
    """Guards against a process that serves by an old view while nothing tells.

    The store refuses one process, which can't take in the others' confirmations either.
    """

    front_count = 4

    def get_module(self, number: int) -> str:
        """Return the module that a process runs."""
        return "tests.deaf_front" if number == DEAF + 1 else super().get_module(number)

    def setUp(self):
        super().setUp()
        self.wait_for_members()
        for front in range(self.front_count):
            self.wait_for_addresses(front, range(self.front_count))
        self.deaf = self.fronts[DEAF]

    def refuse_store(self) -> None:
        """Cut the process off from the store, and publish a newer version.

        A watch that waits is still answered, so that it has to be over by then.
        """
        self.store.refused_hosts.add(self.deaf.host)
        time.sleep(WATCH_WAIT_S + MARGIN_S)
        self.store.put_config(make_config(4))

    def read_events(self, front: FrontProcess, name: str) -> list[str]:
        """Return the lines of an event in the log of a process."""
        lines = front.log_path.read_text().splitlines()
        return [line for line in lines if f"event={name} " in line]

    def get_addresses(self, front: int) -> list[str]:
        """Return the addresses that a process tells callers."""
        process = self.fronts[front]
        path = "/resolve?name=x&region=r&zone=z"
        response = process.get(process.directory_address, path)
        return sorted(msgspec.json.decode(bytes(response.body))["addrs"])

    def wait_for_addresses(self, front: int, expected) -> None:
        """Wait until a process tells callers the addresses of others."""
        hosts = sorted(str(self.fronts[number].caller_address) for number in expected)
        self.wait_for(
            lambda: self.get_addresses(front) == hosts, f"addresses of {front}"
        )

    def test_log_and_gauge_tell_that_the_view_is_stale(self):
        self.refuse_store()
        self.wait_for(
            lambda: len(self.read_events(self.deaf, "view_stale")) >= 2, "two lines"
        )
        self.assertEqual(1, self.get_state(DEAF)["gauges"]["view_is_stale"])
        line = self.read_events(self.deaf, "view_stale")[0]
        for field in ("age_s=10.", " version=3 ", "targets_era=1", "targets_revision="):
            self.assertIn(field, line)
        self.assertIn("read_failures=", line)
        self.assertIn("read_completed_s_ago=", line)
        self.store.refused_hosts.clear()
        self.wait_for(lambda: self.read_events(self.deaf, "view_current"), "a line")
        self.assertEqual(0, self.get_state(DEAF)["gauges"]["view_is_stale"])
        for front in range(self.front_count):
            if front != DEAF:
                self.assertEqual([], self.read_events(self.fronts[front], "view_stale"))

    def test_addresses_leave_out_a_process_with_a_stale_view(self):
        self.refuse_store()
        others = [front for front in range(self.front_count) if front != DEAF]
        for front in range(self.front_count):
            self.wait_for_addresses(front, others)
        response = self.request(make_request("/one/x", "stale"), DEAF)
        self.assertEqual(200, response.status)
        self.assertTrue(self.deaf.is_ready())
        self.store.refused_hosts.clear()
        for front in range(self.front_count):
            self.wait_for_addresses(front, range(self.front_count))

    def test_all_addresses_stay_while_the_store_is_away_for_all(self):
        self.store.refused_hosts.update(front.host for front in self.fronts)
        for front in range(self.front_count):
            self.wait_for_state(front, lambda state: state["gauges"]["view_is_stale"])
        for front in range(self.front_count):
            self.wait_for_addresses(front, range(self.front_count))
