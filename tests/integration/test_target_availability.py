"""Tests of targets that leave or want no requests, as they say in their answers."""

from collections import Counter

import gevent

from sesameplank.standins.front_store import StoreFaultMode
from sesameplank.standins.front_targets import LinkFault, TargetFaultMode

from .front_world import SHARD_SERVICES, FrontTestCase, make_request

KINDS = (("/all/x", "GET"), ("/one/x", "GET"), ("/book/x", "POST"))
SERVICES = (*SHARD_SERVICES, "single")
REQUESTS = 30
CUT_OFF = 1
LAST_RESORT_S = 1.5
PAUSE_S = 3.0
ANSWER_TO_HOLD_S = 0.5
MAX_ARRIVALS_IN_PAUSE = 2


class TargetAvailabilityTestCase(FrontTestCase):
    """Starts several processes with replicas a and b of each service."""

    front_count = 3

    def setUp(self):
        super().setUp()
        self.wait_for_members()

    def send_all(self, name: str) -> Counter:
        """Send requests of each kind to all processes, and count their statuses."""
        statuses: Counter = Counter()
        for number in range(REQUESTS):
            for path, method in KINDS:
                data = make_request(path, f"{name}{path[1:4]}{number}", method=method)
                response = self.request(data, number % self.front_count)
                statuses[response.status] += 1
        return statuses

    def count_arrivals(self, letter: str) -> dict[str, int]:
        """Return how many requests have reached the targets with a letter."""
        return {
            service: len(self.targets[f"{service}{letter}"].arrived_at)
            for service in SERVICES
        }


class LeavingTests(TargetAvailabilityTestCase):
    """A target that says that it leaves gets no new requests of any process."""

    def test_targets_that_say_that_they_leave_get_no_more_requests(self):
        for service in SERVICES:
            self.targets[f"{service}a"].is_leaving = True
        self.wait_for(self.is_each_leaving_target_called, "a call to each target")
        gevent.sleep(LAST_RESORT_S)
        before = self.count_arrivals("a")
        self.assertEqual({200}, set(self.send_all("after")))
        self.assertEqual(before, self.count_arrivals("a"))

    def is_each_leaving_target_called(self) -> bool:
        """Send requests, and return whether each target could say that it leaves."""
        self.send_all("before")
        return all(self.count_arrivals("a").values())

    def test_process_without_links_learns_from_the_answer_that_it_passes_on(self):
        for target in self.targets.values():
            target.lose_link(self.fronts[CUT_OFF].host, LinkFault.HANG)
        self.wait_for_lost(1)
        host = self.fronts[CUT_OFF].host
        for front in range(self.front_count):
            self.wait_for_state(
                front, lambda state: not state["members"][host]["reaches_targets"]
            )
        leaving, other = self.targets["singlea"], self.targets["singleb"]
        leaving.is_leaving = True
        # With a hedge, an answer of the other replica could be passed on instead.
        other.fault_mode = TargetFaultMode.SHED
        self.store.fault_mode = StoreFaultMode.SILENT
        self.wait_for(self.has_passed_on, "an answer of the leaving target")
        other.fault_mode = TargetFaultMode.NONE
        for target in self.targets.values():
            target.restore_link(self.fronts[CUT_OFF].host)
        self.wait_for_lost(0)
        gevent.sleep(LAST_RESORT_S)
        before = len(leaving.arrived_at)
        for number in range(REQUESTS):
            data = make_request("/one/x", f"regained{number}")
            self.assertEqual(200, self.request(data, CUT_OFF).status)
        self.assertEqual(before, len(leaving.arrived_at))

    def wait_for_lost(self, is_lost: int) -> None:
        """Wait until a process knows whether it reaches targets."""
        self.wait_for_state(
            CUT_OFF, lambda state: state["gauges"]["targets_lost"] == is_lost
        )

    def has_passed_on(self) -> bool:
        """Send a request through the others; return whether singlea has answered."""
        answer = self.request(make_request("/one/x", "passed"), CUT_OFF)
        return (answer.get(b"x-server-stamp") or "").startswith("singlea")

    def test_later_entry_of_the_same_incarnation_does_not_undo_it(self):
        self.targets["singlea"].is_leaving = True
        self.send_all("before")
        self.list_target("singlea", "single", seq=7)
        gevent.sleep(LAST_RESORT_S)
        before = self.count_arrivals("a")["single"]
        self.send_all("after")
        self.assertEqual(before, self.count_arrivals("a")["single"])

    def test_leaving_target_is_told_to_processes_that_have_not_called_it(self):
        self.targets["singlea"].is_leaving = True
        while not self.count_arrivals("a")["single"]:
            self.send("/one/x", 0)
        gevent.sleep(LAST_RESORT_S)
        before = self.count_arrivals("a")["single"]
        for number in range(REQUESTS):
            self.assertEqual(200, self.send("/one/x", 1 + number % 2))
        self.assertEqual(before, self.count_arrivals("a")["single"])

    def send(self, path: str, front: int) -> int:
        """Send a request and return the status of its answer."""
        return self.request(make_request(path), front).status


class PauseTests(TargetAvailabilityTestCase):
    """A target that refuses with a time gets nothing from that process for so long."""

    def pause(self, letters: str) -> None:
        """Let targets refuse every request, with the time for which they want none."""
        for service in SERVICES:
            for letter in letters:
                target = self.targets[f"{service}{letter}"]
                target.fault_mode = TargetFaultMode.SHED
                target.retry_after = b"%g" % PAUSE_S

    def assert_pauses_are_kept(self, letters: str) -> None:
        """Assert that each process kept from targets that had refused its request."""
        for service in SERVICES:
            for letter in letters:
                self.assert_pause_is_kept(self.targets[f"{service}{letter}"])

    def assert_pause_is_kept(self, target) -> None:
        """Assert that no process sent more than a few requests during a pause."""
        for host in set(target.callers):
            times = [
                at
                for at, caller in zip(target.arrived_at, target.callers, strict=True)
                if caller == host
            ]
            for refused_at in times:
                begin, end = refused_at + ANSWER_TO_HOLD_S, refused_at + PAUSE_S
                in_pause = sum(begin <= at < end for at in times)
                self.assertLessEqual(in_pause, MAX_ARRIVALS_IN_PAUSE, target.name)

    def test_paused_targets_get_nothing_and_others_serve(self):
        self.pause("a")
        for number in range(3):
            self.assertEqual({200}, set(self.send_all(f"r{number}")))
            gevent.sleep(ANSWER_TO_HOLD_S)
        self.assert_pauses_are_kept("a")

    def test_requests_are_refused_at_once_with_the_time_if_all_targets_pause(self):
        self.pause("ab")
        self.send_all("before")
        for path, method in KINDS:
            response = self.request(make_request(path, "r", method=method))
            self.assertEqual(503, response.status)
            self.assertGreater(float(response.get(b"retry-after")), 0.0)
            self.assertLessEqual(float(response.get(b"retry-after")), PAUSE_S)
        gevent.sleep(ANSWER_TO_HOLD_S)
        self.send_all("after")
        self.assert_pauses_are_kept("ab")
