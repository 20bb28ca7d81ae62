"""Tests of requests that a process has in hand when it is stopped."""

import signal
import time

import gevent

from sesameplank.forwarding.http_messages import ResponseReader
from sesameplank.net import Address
from sesameplank.standins.front_targets import TargetFaultMode

from .front_world import (
    METRICS_PORT,
    SHARD_SERVICES,
    FrontProcess,
    FrontTestCase,
    RawConnection,
    make_config,
    make_request,
)

SINGLE_TARGETS = ("singlea", "singleb")
LONG_MS = 8_000  # Longer than any grace time of these tests.
LARGE_BYTES = 2_000_000


def make_slow_config(version: int) -> dict:
    """Return a configuration whose time limits exceed the grace time."""
    config = make_config(version)
    for route in config["routes"]:
        route["timeout_ms"] = LONG_MS
        route["goal_ms"] = LONG_MS
    config["limits"]["header_timeout_ms"] = LONG_MS
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

    def test_request_that_arrives_late_in_the_drain_is_answered_or_refused(self):
        for name in SINGLE_TARGETS:
            self.targets[name].delay_s = self.grace_s
        self.terminate(self.fronts[0])
        gevent.sleep(1.0)
        client = self.send("/one/x", "late")
        self.assertIn(self.read_status(client), (200, 503, 504))

    def test_request_that_was_read_in_part_is_refused_before_the_process_ends(self):
        client = self.enterContext(RawConnection(self.fronts[0].caller_address))
        data = make_request("/book/x", "part", LONG_MS, "POST", b"12345678")
        client.sock.sendall(data[:-4])
        self.terminate(self.fronts[0])
        self.assertIn(self.read_status(client), (408, 503))

    def test_search_with_enough_parts_is_answered_before_the_process_ends(self):
        self.silence("shard0a", "shard0b")
        client = self.send("/all/x", "search")
        self.wait_for(lambda: self.get_runs("shard0a", "shard0b") >= 1, "a run")
        killed_at = self.terminate_timed(self.fronts[0])
        answer = client.read()
        self.assertEqual((200, "1"), (answer.status, answer.get(b"x-missing-parts")))
        self.assert_stopped_in_time(self.fronts[0], killed_at)


class LateRequestTests(StopTestCase):
    """Requests that come while the process stops."""

    def test_request_accepted_during_the_stop_is_answered_before_its_end(self):
        config = make_slow_config(9)
        for route in config["routes"]:
            route["goal_ms"] = 200
        self.store.put_config(config)
        self.wait_for_state(0, lambda state: state["gauges"]["config_version"] == 9)
        self.silence(*SINGLE_TARGETS)
        killed_at = self.terminate_timed(self.fronts[0])
        self.wait_for(lambda: not self.fronts[0].is_ready(), "the stop")
        lookup = self.send("/one/x", "lookup")
        self.wait_for(lambda: self.get_runs(*SINGLE_TARGETS) >= 1, "a run")
        self.assertEqual(504, self.read_status(lookup))
        self.assert_stopped_in_time(self.fronts[0], killed_at)

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


class SuspendedProcessTests(StopTestCase):
    """Processes that are suspended while they stop."""

    def suspend(self, seconds: float, *numbers: signal.Signals) -> None:
        """Suspend the process for some seconds, and send it signals meanwhile."""
        process = self.fronts[0].process
        process.send_signal(signal.SIGSTOP)
        for number in numbers:
            process.send_signal(number)
        gevent.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    def suspend_at_the_end_of_the_drain(
        self, send, seconds: float = 1.0
    ) -> list[RawConnection]:
        """Suspend the process when it would close connections, and send meanwhile."""
        self.terminate(self.fronts[0])
        gevent.sleep(1.0)
        sender = gevent.spawn_later(0.1, lambda: [send(n) for n in range(3)])
        self.suspend(seconds)
        return sender.get()

    def open_kept(self) -> list[RawConnection]:
        """Return connections on which a request was answered."""
        clients = [self.send("/one/x", f"first{n}") for n in range(3)]
        for client in clients:
            self.assertEqual(200, client.read().status)
        return clients

    def test_grace_time_includes_the_time_suspended_before_the_signal_is_handled(self):
        self.silence(*SINGLE_TARGETS)
        client = self.send("/one/x", "lookup")
        self.wait_for(lambda: self.get_runs(*SINGLE_TARGETS) >= 1, "a run")
        killed_at = time.monotonic() + self.grace_s
        self.suspend(self.grace_s - 1.0, signal.SIGTERM)
        self.assert_stopped_in_time(self.fronts[0], killed_at)
        self.assertEqual(504, self.read_status(client))

    def test_requests_on_kept_connections_sent_during_a_suspension_are_answered(self):
        clients = self.open_kept()

        def send(number: int) -> RawConnection:
            client = clients[number]
            client.sock.sendall(make_request("/one/x", f"kept{number}", LONG_MS))
            return client

        self.assert_answered(self.suspend_at_the_end_of_the_drain(send))

    def test_requests_on_new_connections_sent_during_a_suspension_are_answered(self):
        clients = self.suspend_at_the_end_of_the_drain(
            lambda number: self.send("/one/x", f"new{number}")
        )
        self.assert_answered(clients)

    def test_requests_are_answered_after_a_suspension_until_shortly_before_the_end(
        self,
    ):
        clients = self.open_kept()

        def send(number: int) -> RawConnection:
            client = clients[number]
            client.sock.sendall(make_request("/one/x", f"kept{number}", LONG_MS))
            return self.send("/one/x", f"new{number}")

        new_clients = self.suspend_at_the_end_of_the_drain(send, self.grace_s - 1.25)
        self.assert_answered([*clients, *new_clients])

    def test_requests_sent_before_a_late_idle_timeout_are_answered(self):
        config = make_slow_config(9)
        config["limits"]["idle_timeout_ms"] = 1_000
        self.store.put_config(config)
        self.wait_for_state(0, lambda state: state["gauges"]["config_version"] == 9)
        clients = [
            self.enterContext(RawConnection(self.fronts[0].caller_address))
            for _ in range(3)
        ]
        self.wait_for_state(0, self.has_accepted(clients))
        sender = gevent.spawn_later(0.3, self.send_all, clients)
        self.suspend(1.2)
        sender.get()
        self.assert_answered(clients)

    def has_accepted(self, clients: list[RawConnection]):
        """Return a condition on the state: the process has accepted the connections."""
        return lambda state: state["gauges"]["caller_connections"] == len(clients)

    def send_all(self, clients: list[RawConnection]) -> None:
        for number, client in enumerate(clients):
            client.sock.sendall(make_request("/one/x", f"late{number}", LONG_MS))

    def assert_answered(self, clients: list[RawConnection]) -> None:
        """Fail unless each request is served, or refused as not run."""
        statuses = [self.read_status(client) for client in clients]
        self.assertEqual([], [item for item in statuses if item not in (200, 503)])


class OtherServerTests(StopTestCase):
    """The addresses for readiness, the directory and metrics."""

    def follow(self, address: Address, path: str) -> str | None:
        """Repeat a request on one connection, and return how that ends.

        That is the `Connection` header of the last answer, or an error.
        """
        data = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        ending = None
        with RawConnection(address) as client:
            while ending is None:
                try:
                    ending = client.request(data).get(b"connection")
                except OSError as error:
                    ending = repr(error)
                gevent.sleep(0.01)
        return ending

    def test_no_server_ends_a_kept_connection_without_announcing_it(self):
        front = self.fronts[0]
        followers = [
            gevent.spawn(self.follow, address, path)
            for address, path in (
                (front.ready_address, "/readyz"),
                (front.directory_address, "/resolve?name=x&zone=dc-0"),
                (Address(front.host, METRICS_PORT), "/metrics"),
            )
        ]
        gevent.sleep(0.1)
        self.terminate(front)
        self.assertEqual(["close"] * 3, [follower.get() for follower in followers])


class LargeAnswerTests(StopTestCase):
    """Answers that are read slowly."""

    def test_large_answer_can_be_read_after_its_process_has_ended(self):
        for name in SINGLE_TARGETS:
            self.targets[name].body = b"x" * LARGE_BYTES
        client = self.send("/one/x", "large")
        client.reader = ResponseReader(LARGE_BYTES, LARGE_BYTES)
        self.wait_for_state(0, lambda state: state["gauges"]["in_flight"] == 0)
        killed_at = self.terminate_timed(self.fronts[0])
        self.assert_stopped_in_time(self.fronts[0], killed_at)
        self.assertEqual(LARGE_BYTES, len(client.read().body))


class BatchTests(StopTestCase):
    """Calls that one process makes for another one."""

    front_count = 2

    def test_batch_is_finished_before_its_process_ends(self):
        self.wait_for(self.has_sent_a_batch, "a batch")
        for shard in SHARD_SERVICES:
            for letter in "ab":
                self.targets[shard + letter].delay_s = self.grace_s - 1.0
        client = self.send("/all/x", "batched")
        names = [shard + letter for shard in SHARD_SERVICES for letter in "ab"]
        self.wait_for(lambda: self.count_runs("batched", names) == 4, "four runs")
        self.terminate(self.fronts[1])
        self.assertEqual(200, client.read().status)
        self.assertEqual(4, self.count_runs("batched", names))

    def test_batch_that_takes_too_long_is_returned_before_its_process_ends(self):
        self.wait_for(self.has_sent_a_batch, "a batch")
        names = [shard + letter for shard in SHARD_SERVICES for letter in "ab"]
        self.silence(*names)
        client = self.send("/all/x", "returned")
        self.wait_for(lambda: self.count_runs("returned", names) == 4, "four runs")
        killed_at = self.terminate_timed(self.fronts[1])
        for name in names:
            self.targets[name].fault_mode = TargetFaultMode.NONE
        self.assert_stopped_in_time(self.fronts[1], killed_at)
        answer = client.read()
        self.assertEqual((200, "0"), (answer.status, answer.get(b"x-missing-parts")))
        address = Address(self.fronts[0].host, METRICS_PORT)
        metrics = bytes(self.fronts[0].get(address, "/metrics").body)
        self.assertIn(b'event="batched_calls_returned"} 4', metrics)

    def has_sent_a_batch(self) -> bool:
        """Return whether the first process has had calls made by the second one."""
        self.request(make_request("/all/x", "first"))
        address = Address(self.fronts[1].host, METRICS_PORT)
        metrics = bytes(self.fronts[1].get(address, "/metrics").body)
        return b'event="batches_served"' in metrics

    def count_runs(self, request_id: str, names: list[str]) -> int:
        """Return how often a request ran at the named targets."""
        return sum(self.targets[name].executed_ids.count(request_id) for name in names)
