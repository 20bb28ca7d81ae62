"""Tests of calls that are written while the links to targets hang, and then end.

Guards against calls that reach a target long after they have ended, out of the kernel's
buffer, once the links are back.
"""

import time

import gevent

from sesameplank.standins.front_targets import FrontTarget, LinkFault

from .front_world import (
    SHARD_SERVICES,
    FrontTestCase,
    RawConnection,
    make_config,
    make_request,
)

HANGING = 1  # In the data centre of the targets.
REMOTE = 0  # In the other one, so its gathered calls go through the first.
HEALS_AFTER_S = 2.0
OBSERVED_S = 4.5
LEAVES_AFTER_S = 0.1
GONE_S = 0.5
LONG_MS = 10_000
SHORT_MS = 600
KINDS = (("/one/x", "GET"), ("/all/x", "GET"), ("/book/x", "POST"))
WARM_REQUESTS = 12


class WrittenCallTests(FrontTestCase):
    """No call reaches a target over half a second after it has ended."""

    front_count = 2

    def setUp(self):
        super().setUp()
        self.wait_for_members()
        limits = {"timeout_ms": LONG_MS, "goal_ms": LONG_MS}
        routes = [{**item, **limits} for item in make_config(5)["routes"]]
        self.store.put_config(make_config(5, routes=routes))
        for front in range(self.front_count):
            self.wait_for_state(
                front, lambda state: state["gauges"]["config_version"] == 5
            )

    def is_warm(self) -> bool:
        """Send requests; return whether a connection to each target is open."""
        for path, method in KINDS:
            for number in range(WARM_REQUESTS):
                data = make_request(path, f"warm{number}", method=method)
                self.request(data, HANGING)
        self.request(make_request("/all/x", "warm"), REMOTE)
        host = self.fronts[HANGING].host
        return all(host in item.sockets.values() for item in self.targets.values())

    def hang(self, targets: list[FrontTarget]) -> None:
        """Lose all packets between targets and one process, for HEALS_AFTER_S."""
        self.wait_for(self.is_warm, "connections")
        host = self.fronts[HANGING].host
        for target in targets:
            target.lose_link(host, LinkFault.HANG)
            gevent.spawn_later(HEALS_AFTER_S, target.restore_link, host)

    def leave(self, front: int, data: bytes) -> float:
        """Send a request, leave before its answer, and return when."""
        with RawConnection(self.fronts[front].caller_address) as client:
            client.sock.sendall(data)
            gevent.sleep(LEAVES_AFTER_S)
        return time.monotonic()

    def check_gone(self, request_id: str, ended_at: float) -> None:
        """Check that the calls of a request reach no target after its end."""
        gevent.sleep(max(0.0, ended_at + OBSERVED_S - time.monotonic()))
        arrivals = [
            (target.name, at - ended_at)
            for target in self.targets.values()
            for name, at in zip(target.arrived_ids, target.arrived_at, strict=True)
            if name == request_id and at > ended_at + GONE_S
        ]
        self.assertEqual([], arrivals, request_id)

    def test_calls_end_with_their_caller(self):
        for path, method in KINDS:
            self.hang(list(self.targets.values()))
            request_id = f"left-{path[1:4]}"
            data = make_request(path, request_id, LONG_MS, method=method)
            self.check_gone(request_id, self.leave(HANGING, data))

    def test_calls_of_a_batch_end_with_their_caller(self):
        self.hang(list(self.targets.values()))
        data = make_request("/all/x", "batched", LONG_MS)
        self.check_gone("batched", self.leave(REMOTE, data))
        log = self.fronts[REMOTE].log_path.read_text()
        self.assertIn(f"through={self.fronts[HANGING].host}", log)

    def test_calls_end_with_their_deadline(self):
        for path, method in KINDS:
            self.hang(list(self.targets.values()))
            request_id = f"late-{path[1:4]}"
            data = make_request(path, request_id, SHORT_MS, method=method)
            self.assertIn(self.request(data, HANGING).status, (503, 504), path)
            self.check_gone(request_id, time.monotonic())

    def test_calls_end_once_another_replica_has_answered(self):
        self.hang([self.targets[f"{name}a"] for name in SHARD_SERVICES])
        ids = [f"hedged{number}" for number in range(4)]
        for request_id in ids:
            data = make_request("/all/x", request_id, LONG_MS)
            self.assertEqual(200, self.request(data, HANGING).status)
        ended_at = time.monotonic()
        for request_id in ids:
            self.check_gone(request_id, ended_at)

    def test_calls_end_with_their_process(self):
        for path, method in KINDS:
            request_id = f"stopped-{path[1:4]}"
            data = make_request(path, request_id, LONG_MS, method=method)
            self.hang(list(self.targets.values()))
            with RawConnection(self.fronts[HANGING].caller_address) as client:
                client.sock.sendall(data)
                gevent.sleep(LEAVES_AFTER_S)
                self.terminate(self.fronts[HANGING])
                self.wait_for(
                    lambda: self.fronts[HANGING].process.poll() is not None, "the end"
                )
            self.check_gone(request_id, time.monotonic())
            self.fronts[HANGING].start()
            self.wait_for(self.fronts[HANGING].is_ready, "ready")
