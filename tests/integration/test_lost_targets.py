"""Tests of a forwarding process that loses its links to all targets."""

import itertools
import time

import gevent
import msgspec

from sesameplank.net import Address
from sesameplank.standins.front_targets import LinkFault

from .front_world import METRICS_PORT, SHARDS, FrontTestCase, make_request

REQUESTS = 20
BATCH_EVENTS = ("batches_served", "batches_returned", "batches_overdue")
SEND_INTERVAL_S = 0.05
NOTICE_S = 1.5  # Probes of a VM whose calls are silent fail within 0.7 s.
OBSERVED_S = 2.0
KINDS = (("/all/x", "GET"), ("/one/x", "GET"), ("/book/x", "POST"))


class LostTargetsTests(FrontTestCase):
    """Its callers get whole answers, through the other processes."""

    front_count = 3
    cut = 1

    def setUp(self):
        super().setUp()
        self.wait_for_members()
        self.serve_all("warm")

    def serve(self, path: str, method: str, request_id: str, front: int):
        """Send a request and return its answer."""
        return self.request(make_request(path, request_id, method=method), front)

    def serve_all(self, name: str, front: int | None = None) -> None:
        """Send requests of each kind, and assert that they are served whole."""
        front = self.cut if front is None else front
        for path, method in KINDS:
            for number in range(REQUESTS):
                request_id = f"{name}{path[1:4]}{number}"
                response = self.serve(path, method, request_id, front)
                self.assertEqual(200, response.status, request_id)
                self.assertIn(response.get(b"x-missing-parts"), (None, "0"))

    def lose_links(self, fault: LinkFault, fronts: tuple[int, ...]) -> None:
        """Cut processes off from all targets, and wait until they know."""
        for target in self.targets.values():
            for front in fronts:
                target.lose_link(self.fronts[front].host, fault)
        for front in fronts:
            self.wait_for_lost(front, 1)

    def wait_for_lost(self, front: int, is_lost: int) -> None:
        """Wait until a process knows whether it reaches targets."""
        self.wait_for_state(
            front, lambda state: state["gauges"]["targets_lost"] == is_lost
        )

    def restore_links(self) -> None:
        """Restore all links, and wait until the processes know."""
        for target in self.targets.values():
            for front in self.fronts:
                target.restore_link(front.host)
        for front in range(self.front_count):
            self.wait_for_lost(front, 0)

    def get_addresses(self, front: int) -> list[str]:
        """Return the addresses that a process tells callers."""
        response = self.fronts[front].get(
            self.fronts[front].directory_address, "/resolve?name=x&region=r&zone=z"
        )
        return msgspec.json.decode(bytes(response.body))["addrs"]

    def count_runs(self, request_id: str) -> int:
        """Return how often a request ran at any target."""
        return sum(
            target.executed_ids.count(request_id) for target in self.targets.values()
        )

    def test_callers_of_a_process_without_targets_get_whole_answers(self):
        for fault in LinkFault:
            self.lose_links(fault, (self.cut,))
            self.serve_all(fault.value)
            self.restore_links()
            for number in range(REQUESTS):
                runs = self.count_runs(f"{fault.value}boo{number}")
                self.assertEqual(1, runs, fault)
                runs = self.count_runs(f"{fault.value}all{number}")
                self.assertLessEqual(runs, 2 * SHARDS, fault)

    def count_batches(self, front: int) -> int:
        """Return how many batches of other processes have reached a process."""
        address = Address(self.fronts[front].host, METRICS_PORT)
        text = bytes(self.fronts[front].get(address, "/metrics").body).decode()
        return sum(
            int(line.split()[-1])
            for line in text.splitlines()
            if any(f'event="{event}"' in line for event in BATCH_EVENTS)
        )

    def keep_sending(self, front: int) -> None:
        """Send gathered requests until killed, without waiting for their answers."""
        for number in itertools.count():
            gevent.spawn(self.serve, "/all/x", "GET", f"kept{number}", front)
            gevent.sleep(SEND_INTERVAL_S)

    def knows_of_cut(self, front: int) -> bool:
        """Return whether a process knows that the one that is cut is so."""
        member = self.get_state(front)["members"][self.fronts[self.cut].host]
        return not member["reaches_targets"]

    def test_no_batch_is_sent_to_a_process_once_it_is_known_to_be_cut(self):
        sender = gevent.spawn(self.keep_sending, 0)
        self.wait_for(lambda: self.count_batches(self.cut) > REQUESTS, "batches")
        for target in self.targets.values():
            target.lose_link(self.fronts[self.cut].host, LinkFault.HANG)
        cut_at = time.monotonic()
        self.wait_for(lambda: self.knows_of_cut(0), "notice of the cut")
        self.assertLess(time.monotonic() - cut_at, NOTICE_S)
        gevent.sleep(SEND_INTERVAL_S)
        received = self.count_batches(self.cut)
        gevent.sleep(OBSERVED_S)
        self.assertEqual(received, self.count_batches(self.cut))
        sender.kill()

    def test_addresses_leave_out_processes_without_targets(self):
        self.lose_links(LinkFault.HANG, (self.cut,))
        expected = {
            str(front.caller_address)
            for front in self.fronts
            if front is not self.fronts[self.cut]
        }
        for front in range(self.front_count):
            self.wait_for(
                lambda front=front: set(self.get_addresses(front)) == expected,
                "the addresses",
            )
            members = self.get_state(front)["members"]
            self.assertFalse(members[self.fronts[self.cut].host]["reaches_targets"])
        self.restore_links()
        for front in range(self.front_count):
            self.wait_for(
                lambda front=front: len(self.get_addresses(front)) == self.front_count,
                "all addresses",
            )

    def test_one_process_with_targets_serves_the_callers_of_all(self):
        self.lose_links(LinkFault.HANG, (0, 1))
        self.serve_all("first", 0)
        self.serve_all("second", 1)
        self.serve_all("third", 2)

    def test_requests_are_refused_at_once_if_no_process_reaches_targets(self):
        self.lose_links(LinkFault.HANG, tuple(range(self.front_count)))
        for path, method in KINDS:
            self.wait_for(
                lambda path=path, method=method: self.is_refused(path, method),
                "a refusal",
            )

    def is_refused(self, path: str, method: str) -> bool:
        """Return whether a request is refused as not run, without any call."""
        with gevent.Timeout(1.0, False):
            response = self.serve(path, method, "refused", self.cut)
            is_refused = response.status == 503
            return is_refused and response.get(b"retry-after") is not None
        return False

    def test_booking_whose_process_with_targets_is_stopped_runs_once_at_most(self):
        self.lose_links(LinkFault.HANG, (self.cut,))
        for name in ("singlea", "singleb"):
            self.targets[name].delay_s = 0.3
        bookings = [
            gevent.spawn(self.serve, "/book/x", "POST", f"stop{number}", self.cut)
            for number in range(REQUESTS)
        ]
        gevent.sleep(0.1)
        self.terminate(self.fronts[0])
        gevent.joinall(bookings, raise_error=True)
        for number, booking in enumerate(bookings):
            runs = self.count_runs(f"stop{number}")
            self.assertLessEqual(runs, 1, number)
            if booking.value.status == 200:
                self.assertEqual(1, runs, number)
            elif booking.value.status == 503:
                self.assertEqual(0, runs, number)
