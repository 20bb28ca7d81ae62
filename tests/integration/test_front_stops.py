"""Tests of requests that a process has in hand when it is stopped."""

import time

from sesameplank.standins.front_targets import TargetFaultMode

from .front_world import (
    FrontProcess,
    FrontTestCase,
    RawConnection,
    make_config,
    make_request,
)

SINGLE_TARGETS = ("singlea", "singleb")
LONG_MS = 8_000  # Longer than any grace time of these tests.


def make_slow_config(version: int) -> dict:
    """Return a configuration whose time limits exceed the grace time."""
    config = make_config(version)
    for route in config["routes"]:
        route["timeout_ms"] = LONG_MS
        route["goal_ms"] = LONG_MS
    return config


class StopTestCase(FrontTestCase):
    """Stops processes while their requests wait for targets."""

    grace_s = 3.0

    def setUp(self):
        super().setUp()
        self.store.put_config(make_slow_config(8))
        for front in range(self.front_count):
            self.wait_for_state(
                front, lambda state: state["gauges"]["config_version"] == 8
            )

    def silence(self, *names: str) -> None:
        """Make targets run requests without answering them."""
        for name in names:
            self.targets[name].fault_mode = TargetFaultMode.SILENT

    def send(self, path: str, request_id: str, method="GET", front=0) -> RawConnection:
        """Send a request on a new connection, and return the connection."""
        client = self.enterContext(RawConnection(self.fronts[front].caller_address))
        body = b"1" if method == "POST" else b""
        client.sock.sendall(make_request(path, request_id, LONG_MS, method, body))
        return client

    def terminate_timed(self, front: FrontProcess) -> float:
        """Send SIGTERM to a process and return when its grace time ends."""
        killed_at = time.monotonic() + self.grace_s
        self.terminate(front)
        return killed_at

    def read_status(self, client: RawConnection) -> int | str:
        """Return the status of the next answer, or how the connection ended."""
        try:
            return client.read().status
        except OSError as error:
            return repr(error)

    def assert_stopped_in_time(self, front: FrontProcess, killed_at: float) -> None:
        """Fail if the process doesn't end by itself before its grace time does."""
        self.wait_for(lambda: front.process.poll() is not None, "the end of a process")
        self.assertEqual(0, front.process.poll())
        self.assertLess(time.monotonic(), killed_at)


class UnfinishedRequestTests(StopTestCase):
    """Requests whose targets don't answer before the grace time ends."""

    def test_requests_at_silent_targets_are_answered_before_the_process_ends(self):
        self.silence(*SINGLE_TARGETS)
        lookup = self.send("/one/x", "lookup")
        booking = self.send("/book/x", "booking", "POST")
        self.wait_for(lambda: self.get_runs(*SINGLE_TARGETS) >= 2, "two runs")
        killed_at = self.terminate_timed(self.fronts[0])
        statuses = [self.read_status(lookup), self.read_status(booking)]
        self.assertEqual([504, 504], statuses)
        self.assert_stopped_in_time(self.fronts[0], killed_at)

    def test_request_that_reached_no_target_is_refused_before_the_process_ends(self):
        config = make_slow_config(9)
        for service in config["services"]:
            service["max_conns"] = 1
        self.store.put_config(config)
        self.wait_for_state(0, lambda state: state["gauges"]["config_version"] == 9)
        self.silence(*SINGLE_TARGETS)
        clients = [self.send("/book/x", f"b{n}", "POST") for n in range(3)]
        self.wait_for(lambda: self.get_runs(*SINGLE_TARGETS) == 2, "two runs")
        self.wait_for_state(0, lambda state: state["gauges"]["in_flight"] == 3)
        self.terminate(self.fronts[0])
        statuses = [self.read_status(client) for client in clients]
        self.assertEqual([503, 504, 504], sorted(statuses, key=str))
        self.assertEqual(2, self.get_runs(*SINGLE_TARGETS))

    def test_search_with_enough_parts_is_answered_before_the_process_ends(self):
        self.silence("shard0a", "shard0b")
        client = self.send("/all/x", "search")
        self.wait_for(lambda: self.get_runs("shard0a", "shard0b") >= 1, "a run")
        killed_at = self.terminate_timed(self.fronts[0])
        answer = client.read()
        self.assertEqual((200, "1"), (answer.status, answer.get(b"x-missing-parts")))
        self.assert_stopped_in_time(self.fronts[0], killed_at)


class LateRequestTests(StopTestCase):
    """Requests that come too late to be served before the process ends."""

    def test_request_that_cannot_end_in_time_is_refused_at_once_and_never_runs(self):
        killed_at = self.terminate_timed(self.fronts[0])
        self.wait_for(lambda: not self.fronts[0].is_ready(), "the stop")
        for path, method in (("/one/x", "GET"), ("/book/x", "POST"), ("/all/x", "GET")):
            client = self.send(path, f"late{method}", method)
            answer = client.read()
            self.assertEqual(503, answer.status)
            self.assertEqual("close", answer.get(b"connection"))
            self.assertEqual(0.0, float(answer.get(b"retry-after")))
        self.assertEqual(0, self.get_runs(*self.targets))
        self.assert_stopped_in_time(self.fronts[0], killed_at)
