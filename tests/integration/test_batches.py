"""Tests of calls that a process near the targets makes for one far from them."""

import signal
import time

import msgspec

from sesameplank.core.forwarding.record_merge import merge_parts
from sesameplank.net import Address
from sesameplank.standins.front_targets import TargetFaultMode

from .front_world import SHARD_SERVICES, FrontTestCase, RawConnection, make_request

FAR, NEAR = 0, 1  # The targets are in the data centre of the second process.
OBJECTIVE_S = 0.6
FAULTS = (
    TargetFaultMode.SHED,
    TargetFaultMode.FAIL,
    TargetFaultMode.SILENT,
    TargetFaultMode.CUT,
    TargetFaultMode.RESET,
    TargetFaultMode.GARBAGE,
    TargetFaultMode.TWICE,
    TargetFaultMode.ENCODED,
    TargetFaultMode.UNSIGNED,
    TargetFaultMode.LATE_EXTRA,
)


class BatchTests(FrontTestCase):
    """Answers stay whole and truthful, whatever happens to the other process."""

    front_count = 2

    def setUp(self):
        super().setUp()
        self.number = 0
        self.wait_for(self.is_batch_served, "the first batch")

    def is_batch_served(self) -> bool:
        self.ask()
        return self.count(NEAR, "batches_served") > 0

    def count(self, front: int, event: str) -> int:
        """Return the value of an event counter of a process."""
        address = Address(self.fronts[front].host, 9180)
        text = bytes(self.fronts[front].get(address, "/metrics").body).decode()
        for line in text.splitlines():
            if f'event="{event}"' in line:
                return int(line.rpartition(" ")[2])
        return 0

    def ask(self):
        """Send a request to the far process, and check and return the answer."""
        self.number += 1
        request_id = f"q{self.number}"
        answer = self.request(make_request("/all/x", request_id), FAR)
        self.assertEqual(200, answer.status)
        signatures = answer.get(b"x-part-stamps").split(", ")
        names = [item.partition(".")[0] for item in signatures]
        self.assertEqual({request_id}, {item.partition(".")[2] for item in signatures})
        shards = {name[:-1] for name in names}
        self.assertEqual(len(names), len(shards))
        missing = int(answer.get(b"x-missing-parts"))
        self.assertEqual(len(SHARD_SERVICES), len(shards) + missing)
        bodies = [self.targets[name].body for name in names]
        self.assertEqual(merge_parts(bodies, 6), bytes(answer.body))
        return answer

    def test_answers_are_merged_near_the_targets(self):
        batches = self.count(FAR, "batches_sent")
        served = self.count(NEAR, "batches_served")
        runs = {name: len(t.executed_ids) for name, t in self.targets.items()}
        for _ in range(10):
            self.assertEqual("0", self.ask().get(b"x-missing-parts"))
        self.assertEqual(batches + 10, self.count(FAR, "batches_sent"))
        self.assertEqual(served + 10, self.count(NEAR, "batches_served"))
        for shard in SHARD_SERVICES:
            names = [f"{shard}a", f"{shard}b"]
            before = sum(runs[name] for name in names)
            self.assertGreaterEqual(self.get_runs(*names), before + 10)
        sent = self.targets["shard0a"].requests + self.targets["shard0b"].requests
        for request in sent:
            self.assertLessEqual(int(request.get(b"x-deadline-ms")), 2500)

    def test_faults_of_targets_leave_answers_truthful(self):
        for mode in FAULTS:
            self.targets["shard0a"].fault_mode = mode
            self.targets["shard1b"].fault_mode = mode
            for _ in range(6):
                self.ask()
            for name in ("shard0a", "shard1b"):
                self.targets[name].fault_mode = TargetFaultMode.NONE

    def test_paused_process_delays_answers_only_until_hedges_are_due(self):
        for _ in range(40):  # The usual latency is known from these.
            self.ask()
        self.fronts[NEAR].process.send_signal(signal.SIGSTOP)
        try:
            for _ in range(5):
                started_at = time.monotonic()
                self.ask()
                self.assertLess(time.monotonic() - started_at, 2.5)
        finally:
            self.fronts[NEAR].process.send_signal(signal.SIGCONT)
        self.assertGreater(self.count(FAR, "batches_late"), 0)

    def test_killed_process_leaves_answers_whole(self):
        self.fronts[NEAR].process.kill()
        self.fronts[NEAR].process.wait()
        for _ in range(10):
            self.ask()

    def test_calls_end_when_the_caller_leaves(self):
        for shard in SHARD_SERVICES:
            for letter in "ab":
                name = f"{shard}{letter}"
                self.targets[name].fault_mode = TargetFaultMode.SILENT
        with RawConnection(self.fronts[FAR].caller_address) as client:
            client.sock.sendall(make_request("/all/x", "leaving"))
            self.wait_for(lambda: self.is_running("leaving"), "calls at targets")
        address = Address(self.fronts[NEAR].host, 9180)

        def is_idle() -> bool:
            body = self.fronts[NEAR].get(address, "/state").body
            targets = msgspec.json.decode(bytes(body))["targets"].values()
            return not any(item["in_flight"] for item in targets)

        self.wait_for(is_idle, "no calls in flight")

    def is_running(self, request_id: str) -> bool:
        return any(
            item.get(b"x-request-id") == request_id
            for target in self.targets.values()
            for item in target.requests
        )
