"""Tests of requests that crash each target that runs them."""

import gevent
import gevent.pool

from sesameplank.forwarding.http_messages import Response
from sesameplank.standins.front_targets import LinkFault, TargetFaultMode

from .front_world import SHARDS, FrontTestCase, make_request

CRASHING = "/all/crashing"
CRASHING_SINGLE = "/one/crashing"
CRASHING_BOOKING = "/book/crashing"
INNOCENT = "/all/fine"
INTERVAL_S = 0.25
REPETITIONS = 30
SETTLING_S = 4.0
MAX_LATE_ARRIVALS = 3
MIN_SERVED_SHARE = 0.9


class CrashingRequestTestCase(FrontTestCase):
    """Starts processes, and targets that crash when they run certain requests."""

    front_count = 3

    def setUp(self):
        super().setUp()
        for target in self.targets.values():
            target.crashing_paths = {
                path.encode() for path in (CRASHING, CRASHING_SINGLE, CRASHING_BOOKING)
            }
            target.on_restart = self.list_again
        self.wait_for_members()

    def list_again(self, target) -> None:
        """Write the item of a target that has started again to the store."""
        service = target.name[:-1]
        self.list_target(target.name, service, seq=target.crashes + 1)

    def send(self, path: str, request_id: str, front: int, method="GET") -> int:
        """Send a request and return the status of its answer."""
        return self.request(make_request(path, request_id, method=method), front).status

    def get_crashing_arrivals(self) -> list[float]:
        """Return the times at which crashing requests reached any target, in order."""
        return sorted(
            at for target in self.targets.values() for at in target.crashing_arrivals
        )

    def count_crashes(self) -> int:
        """Return how often targets have crashed."""
        return sum(target.crashes for target in self.targets.values())


class ReportTests(CrashingRequestTestCase):
    """The log says which targets crashed under which request."""

    front_count = 1

    def test_crash_of_a_target_is_logged_with_the_fingerprint_of_its_request(self):
        self.send(CRASHING_SINGLE, "crashing1", 0)
        log = self.fronts[0].log_path.read_text().splitlines()
        crashes = [line for line in log if "event=target_crashed" in line]
        self.assertNotEqual([], crashes)
        self.assertIn("request=crashing1", crashes[0])
        self.assertRegex(crashes[0], "fingerprint=[0-9a-f]{32} ")

    def test_reset_connections_are_no_crashes(self):
        for target in self.targets.values():
            target.fault_mode = TargetFaultMode.RESET
        self.send("/one/x", "reset1", 0)
        self.assertNotIn("event=target_crashed", self.fronts[0].log_path.read_text())


class QuarantineTests(CrashingRequestTestCase):
    """A request that crashes its targets reaches few of them; others are served."""

    def play(self, crashing: str, method: str) -> None:
        """Send a crashing request again and again, with innocent ones beside it."""
        self.crashing_replies: list[Response] = []
        self.innocent_statuses: list[int] = []
        pool = gevent.pool.Pool(2 * REPETITIONS)
        for number in range(REPETITIONS):
            front = number % self.front_count
            pool.spawn(self.send_crashing, crashing, method, number, front)
            for innocent in (INNOCENT, "/one/fine"):
                pool.spawn(self.send_innocent, innocent, f"i{number}", front)
            gevent.sleep(INTERVAL_S)
        pool.join(raise_error=True)

    def send_crashing(self, path: str, method: str, number: int, front: int) -> None:
        """Send the crashing request and record its reply."""
        data = make_request(path, f"crashing{number}", method=method)
        self.crashing_replies.append(self.request(data, front))

    def send_innocent(self, path: str, request_id: str, front: int) -> None:
        """Send another request and record the status of its reply."""
        self.innocent_statuses.append(self.send(path, request_id, front))

    def check_crashing_request(self, path: str, method: str = "GET") -> None:
        """Play a request, and assert that processes keep it from the targets."""
        self.play(path, method)
        arrivals = self.get_crashing_arrivals()
        late = [at for at in arrivals if at > arrivals[2] + SETTLING_S]
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS)
        last = self.crashing_replies[-self.front_count :]
        self.assertEqual([503] * self.front_count, [item.status for item in last])
        for reply in last:
            self.assertGreater(float(reply.get(b"retry-after")), 1.0)
        served = self.innocent_statuses.count(200) / len(self.innocent_statuses)
        self.assertGreaterEqual(served, MIN_SERVED_SHARE)

    def test_request_over_shards_stops_reaching_targets(self):
        self.check_crashing_request(CRASHING)

    def test_request_to_one_service_stops_reaching_targets(self):
        self.check_crashing_request(CRASHING_SINGLE)

    def test_booking_stops_reaching_targets(self):
        self.check_crashing_request(CRASHING_BOOKING, "POST")

    def test_restarted_process_keeps_the_request_from_targets(self):
        self.check_crashing_request(CRASHING)
        before = len(self.get_crashing_arrivals())
        for front in self.fronts:
            front.process.kill()
            front.process.wait()
            front.start()
            self.wait_for(front.is_ready, "ready")
            gevent.sleep(SETTLING_S)
        for number in range(self.front_count):
            self.assertEqual(503, self.send(CRASHING, f"again{number}", number))
        self.assertEqual(before, len(self.get_crashing_arrivals()))

    def test_process_without_links_to_targets_keeps_the_request_from_them(self):
        self.check_crashing_request(CRASHING)
        before = len(self.get_crashing_arrivals())
        for target in self.targets.values():
            target.lose_link(self.fronts[1].host, LinkFault.REFUSE)
        for number in range(4 * SHARDS):
            self.assertEqual(503, self.send(CRASHING, f"through{number}", 1))
        self.assertEqual(before, len(self.get_crashing_arrivals()))
