"""Tests of requests whose callers leave before the answer, with real processes.

Guards against calls that reach targets long after nobody waits for their answers: an
unsafe request was once tried until its deadline.
"""

import time

import gevent

from sesameplank.standins.front_targets import LinkFault, TargetFaultMode

from .front_world import FrontTestCase, RawConnection, make_config, make_request

SINGLE_TARGETS = ("singlea", "singleb")
DIRECT = 0
CUT_OFF = 1  # This process calls targets through the other one, if its links are lost.
LEAVES_AFTER_S = 0.25
GONE_S = 0.5
OBSERVED_S = 1.5
WORK_S = 1.0
DEADLINE_MS = 10_000
PIPELINED = 16
MAX_OCCUPANTS = 10


class DepartedCallerTests(FrontTestCase):
    """No call is sent for a caller that has left, on any way to a target."""

    front_count = 2

    def setUp(self):
        super().setUp()
        self.wait_for_members()
        services = make_config(5)["services"]
        services[-1]["max_conns"] = self.front_count  # One connection of each process.
        limits = {"timeout_ms": DEADLINE_MS, "goal_ms": DEADLINE_MS}
        routes = [{**item, **limits} for item in make_config(5)["routes"]]
        self.store.put_config(make_config(5, services=services, routes=routes))
        for front in range(self.front_count):
            self.wait_for_state(
                front, lambda state: state["gauges"]["config_version"] == 5
            )
        for front in range(self.front_count):
            for path in ("/one/warm", "/book/warm"):
                self.request(make_request(path, "warm", method="POST"), front)

    def lose_links(self) -> None:
        """Cut a process off from all targets."""
        for target in self.targets.values():
            target.lose_link(self.fronts[CUT_OFF].host, LinkFault.HANG)
        self.wait_for_state(CUT_OFF, lambda state: state["gauges"]["targets_lost"] == 1)

    def restore_links(self) -> None:
        """End the cut."""
        for target in self.targets.values():
            target.restore_link(self.fronts[CUT_OFF].host)
        self.wait_for_state(CUT_OFF, lambda state: state["gauges"]["targets_lost"] == 0)

    def set_targets(self, **attributes) -> None:
        """Set attributes of the targets of the plain route."""
        for name in SINGLE_TARGETS:
            for attribute, value in attributes.items():
                setattr(self.targets[name], attribute, value)

    def send_and_leave(self, front: int, path: str, ids: list[str]) -> float:
        """Send pipelined requests, leave before any answer, and return when."""
        data = b"".join(
            make_request(path, item, DEADLINE_MS, method="POST") for item in ids
        )
        with RawConnection(self.fronts[front].caller_address) as client:
            client.sock.sendall(data)
            gevent.sleep(LEAVES_AFTER_S)
        return time.monotonic()

    def find_arrivals(self, ids: list[str], after: float) -> list[tuple[str, float]]:
        """Return the requests that reached a target after a time, and when."""
        arrivals = [
            item
            for name in SINGLE_TARGETS
            for item in zip(
                self.targets[name].arrived_ids,
                self.targets[name].arrived_at,
                strict=True,
            )
        ]
        return [
            (name, at - after) for name, at in arrivals if name in ids and at > after
        ]

    def check_gone(self, left_at: float, ids: list[str], name: str) -> None:
        """Check that the requests reach no target any more."""
        gevent.sleep(GONE_S)
        self.set_targets(fault_mode=TargetFaultMode.NONE)
        gevent.sleep(OBSERVED_S)
        self.assertEqual([], self.find_arrivals(ids, left_at + GONE_S), name)
        runs = [
            item
            for target in SINGLE_TARGETS
            for item in self.targets[target].executed_ids
            if item in ids
        ]
        self.assertEqual([], runs, name)

    def get_ways(self):
        """Yield each process, the path and the name of a way to a target."""
        for front, way in ((DIRECT, "direct"), (CUT_OFF, "through another process")):
            if front == CUT_OFF:
                self.lose_links()
            for path in ("/book/x", "/one/x"):
                yield front, path, f"{way}, {path}"
        self.restore_links()

    def test_refused_request_is_not_tried_again(self):
        for front, path, name in self.get_ways():
            for retry_after in (None, b"0.4"):
                self.set_targets(
                    fault_mode=TargetFaultMode.SHED, retry_after=retry_after
                )
                ids = [f"shed-{front}-{path[1:4]}-{retry_after}"]
                left_at = self.send_and_leave(front, path, ids)
                self.check_gone(left_at, ids, f"{name}, {retry_after}")

    def occupy_targets(self, name: str) -> list[gevent.Greenlet]:
        """Send requests until the connection to each target is in use."""
        ids = [f"occupant-{name}-{number}" for number in range(MAX_OCCUPANTS)]
        occupants = []
        for request_id in ids:
            data = make_request("/book/x", request_id, DEADLINE_MS, method="POST")
            occupants.append(gevent.spawn(self.request, data, DIRECT))
            gevent.sleep(0.02)
            if all(
                set(ids) & set(self.targets[target].arrived_ids)
                for target in SINGLE_TARGETS
            ):
                return occupants
        raise AssertionError("a target got no request")

    def test_request_that_waits_for_a_connection_is_withdrawn(self):
        for front, path, name in self.get_ways():
            self.set_targets(delay_s=WORK_S)
            occupants = self.occupy_targets(name)
            ids = [f"waiting-{front}-{path[1:4]}"]
            left_at = self.send_and_leave(front, path, ids)
            self.assertEqual([], self.find_arrivals(ids, 0.0), name)
            gevent.joinall(occupants)
            self.set_targets(delay_s=0.0)
            self.check_gone(left_at, ids, name)
            statuses = {item.value.status for item in occupants}
            self.assertEqual({200}, statuses, name)

    def test_pipelined_requests_end_with_their_caller(self):
        for front, path, name in self.get_ways():
            self.set_targets(fault_mode=TargetFaultMode.SHED, retry_after=None)
            ids = [f"{front}-{path[1:4]}-{number}" for number in range(PIPELINED)]
            left_at = self.send_and_leave(front, path, ids)
            self.check_gone(left_at, ids, name)

    def test_unsafe_request_that_a_target_has_got_is_left_to_it(self):
        for front, path, name in self.get_ways():
            if path != "/book/x":
                continue
            self.set_targets(delay_s=WORK_S)
            ids = [f"running-{front}"]
            self.send_and_leave(front, path, ids)
            self.assertEqual(1, self.count_in_flight(), name)
            gevent.sleep(GONE_S)
            self.assertEqual(1, self.count_in_flight(), name)
            gevent.sleep(WORK_S)
            runs = [self.targets[item].executed_ids for item in SINGLE_TARGETS]
            self.assertEqual(1, sum(item.count(ids[0]) for item in runs), name)
            self.set_targets(delay_s=0.0)

    def count_in_flight(self) -> int:
        """Return how many calls wait at the process that has the connections."""
        targets = self.get_state(DIRECT)["targets"]
        return sum(targets[name]["in_flight"] for name in SINGLE_TARGETS)
