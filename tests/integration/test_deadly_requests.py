"""Tests of requests that crash each target that runs them."""

import gevent
import gevent.pool

from sesameplank.forwarding.http_messages import Response
from sesameplank.standins.front_targets import LinkFault, TargetFaultMode

from .front_world import SHARDS, FrontTestCase, make_request

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


class QuarantineTests(DeadlyRequestTestCase):
    """A request that crashes its targets reaches few of them; others are served."""

    def play(self, deadly: str, method: str) -> None:
        """Send a deadly request again and again, with innocent ones beside it."""
        self.deadly_replies: list[Response] = []
        self.innocent_statuses: list[int] = []
        pool = gevent.pool.Pool(2 * REPETITIONS)
        for number in range(REPETITIONS):
            front = number % self.front_count
            pool.spawn(self.send_deadly, deadly, method, number, front)
            for innocent in (INNOCENT, "/one/fine"):
                pool.spawn(self.send_innocent, innocent, f"i{number}", front)
            gevent.sleep(INTERVAL_S)
        pool.join(raise_error=True)

    def send_deadly(self, path: str, method: str, number: int, front: int) -> None:
        """Send the deadly request and record its reply."""
        data = make_request(path, f"deadly{number}", method=method)
        self.deadly_replies.append(self.request(data, front))

    def send_innocent(self, path: str, request_id: str, front: int) -> None:
        """Send another request and record the status of its reply."""
        self.innocent_statuses.append(self.send(path, request_id, front))

    def check_deadly_request(self, path: str, method: str = "GET") -> None:
        """Play a request, and assert that processes keep it from the targets."""
        self.play(path, method)
        arrivals = self.get_deadly_arrivals()
        late = [at for at in arrivals if at > arrivals[2] + SETTLING_S]
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS)
        last = self.deadly_replies[-self.front_count :]
        self.assertEqual([503] * self.front_count, [item.status for item in last])
        for reply in last:
            self.assertGreater(float(reply.get(b"retry-after")), 1.0)
        served = self.innocent_statuses.count(200) / len(self.innocent_statuses)
        self.assertGreaterEqual(served, MIN_SERVED_SHARE)

    def test_request_over_shards_stops_reaching_targets(self):
        self.check_deadly_request(DEADLY)

    def test_request_to_one_service_stops_reaching_targets(self):
        self.check_deadly_request(DEADLY_SINGLE)

    def test_booking_stops_reaching_targets(self):
        self.check_deadly_request(DEADLY_BOOKING, "POST")

    def test_restarted_process_keeps_the_request_from_targets(self):
        self.check_deadly_request(DEADLY)
        before = len(self.get_deadly_arrivals())
        for front in self.fronts:
            front.process.kill()
            front.process.wait()
            front.start()
            self.wait_for(front.is_ready, "ready")
            gevent.sleep(SETTLING_S)
        for number in range(self.front_count):
            self.assertEqual(503, self.send(DEADLY, f"again{number}", number))
        self.assertEqual(before, len(self.get_deadly_arrivals()))

    def test_process_without_links_to_targets_keeps_the_request_from_them(self):
        self.check_deadly_request(DEADLY)
        before = len(self.get_deadly_arrivals())
        for target in self.targets.values():
            target.lose_link(self.fronts[1].host, LinkFault.REFUSE)
        for number in range(4 * SHARDS):
            self.assertEqual(503, self.send(DEADLY, f"through{number}", 1))
        self.assertEqual(before, len(self.get_deadly_arrivals()))
