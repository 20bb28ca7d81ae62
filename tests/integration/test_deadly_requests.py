"""Tests of requests that crash each target that runs them."""

from sesameplank.standins.front_targets import TargetFaultMode

from .front_world import FrontTestCase, make_request

DEADLY = "/all/deadly"
DEADLY_SINGLE = "/one/deadly"
DEADLY_BOOKING = "/book/deadly"
INNOCENT = "/all/fine"
INTERVAL_S = 0.25
REPETITIONS = 30
SETTLING_S = 4.0
MAX_LATE_ARRIVALS = 3
MAX_REFUSAL_S = 0.5
MIN_SERVED_SHARE = 0.9


class DeadlyRequestTestCase(FrontTestCase):
    """Starts processes, and targets that crash when they run certain requests."""

    front_count = 3

    def setUp(self):
        super().setUp()
        for target in self.targets.values():
            target.deadly_targets = {
                path.encode() for path in (DEADLY, DEADLY_SINGLE, DEADLY_BOOKING)
            }
            target.on_restart = self.list_again
        for front in range(self.front_count):
            self.wait_for_state(
                front, lambda state: len(state["members"]) >= self.front_count
            )

    def list_again(self, target) -> None:
        """Write the item of a target that has started again to the store."""
        service = target.name[:-1]
        self.list_target(target.name, service, seq=target.crashes + 1)

    def send(self, path: str, request_id: str, front: int, method="GET") -> int:
        """Send a request and return the status of its answer."""
        return self.request(make_request(path, request_id, method=method), front).status

    def get_deadly_arrivals(self) -> list[float]:
        """Return the times at which deadly requests reached any target, in order."""
        return sorted(
            at for target in self.targets.values() for at in target.deadly_arrivals
        )

    def count_crashes(self) -> int:
        """Return how often targets have crashed."""
        return sum(target.crashes for target in self.targets.values())


class ReportTests(DeadlyRequestTestCase):
    """The log says which targets crashed under which request."""

    front_count = 1

    def test_crash_of_a_target_is_logged_with_the_fingerprint_of_its_request(self):
        self.send(DEADLY_SINGLE, "deadly1", 0)
        log = self.fronts[0].log_path.read_text().splitlines()
        crashes = [line for line in log if "event=target_crashed" in line]
        self.assertNotEqual([], crashes)
        self.assertIn("request=deadly1", crashes[0])
        self.assertRegex(crashes[0], "fingerprint=[0-9a-f]{32} ")

    def test_reset_connections_are_no_crashes(self):
        for target in self.targets.values():
            target.fault_mode = TargetFaultMode.RESET
        self.send("/one/x", "reset1", 0)
        self.assertNotIn("event=target_crashed", self.fronts[0].log_path.read_text())
