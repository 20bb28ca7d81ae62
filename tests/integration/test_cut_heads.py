"""Tests of targets that end the connection in the head of an answer.

Guards against an answer that is empty or short and looks whole: what has arrived of a
head says nothing of the body. Operators of another system saw such answers.
"""

import random

import testtools

from sesameplank.client import Client
from sesameplank.core.forwarding.record_merge import merge_parts
from sesameplank.core.search.messages import SearchRequest
from sesameplank.exceptions import CallError
from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.fleet import Fleet, reserve_block
from sesameplank.standins.front_targets import LinkFault, TargetFaultMode
from sesameplank.standins.proxy import Faults
from sesameplank.standins.world import World, WorldOptions

from ..naive import find_difference
from .front_world import SHARD_SERVICES, FrontTestCase, make_request

FAR, NEAR = 0, 1  # The targets are in the data centre of the second process.
BROKEN = (TargetFaultMode.CUT_HEAD, TargetFaultMode.CUT_HEAD_RESET)
KINDS = (("/all/x", "GET"), ("/one/x", "GET"), ("/book/x", "POST"))
DEADLINE_MS = 600
ROUNDS = 6
NAME = "order-desk"
MAX_HEAD_BYTES = 120
CUT_STEP_BYTES = 9


class ForwardedAnswerTests(FrontTestCase):
    """Direct, in batches, and through another process."""

    front_count = 2

    def setUp(self):
        super().setUp()
        self.wait_for_members()
        self.warm()

    def warm(self) -> None:
        """Send requests until all kinds are answered in all ways."""
        for front in (FAR, NEAR):
            for path, method in KINDS:
                self.wait_for(
                    lambda front=front, path=path, method=method: (
                        self.ask(path, method, "warm", front).status == 200
                    ),
                    "an answer",
                )

    def ask(self, path: str, method: str, request_id: str, front: int):
        """Send a request and return its answer."""
        data = make_request(path, request_id, DEADLINE_MS, method)
        return self.request(data, front)

    def set_fault(self, fault: TargetFaultMode, letters: str) -> None:
        """Set the fault of replicas of all services."""
        for service in (*SHARD_SERVICES, "single"):
            for letter in letters:
                self.targets[service + letter].fault_mode = fault

    def check_whole(self, answer, name: str) -> None:
        """Check that a success is the whole answer of the targets that it names."""
        if answer.get(b"x-part-stamps") is None:
            bodies = [self.targets[f"single{letter}"].body for letter in "ab"]
            self.assertIn(bytes(answer.body), bodies, name)
            return
        signatures = answer.get(b"x-part-stamps").split(", ")
        names = [item.partition(".")[0] for item in signatures]
        missing = int(answer.get(b"x-missing-parts"))
        self.assertEqual(len(SHARD_SERVICES), len(set(names)) + missing, name)
        bodies = [self.targets[item].body for item in names]
        self.assertEqual(merge_parts(bodies, 6), bytes(answer.body), name)

    def check_answers(self, way: str, front: int) -> None:
        """Send requests of each kind while all targets, or half, cut their heads."""
        for fault in BROKEN:
            for letters in ("ab", "a"):
                self.set_fault(fault, letters)
                for number in range(ROUNDS):
                    for path, method in KINDS:
                        request_id = f"{way}{fault.value}{letters}{path[1:4]}{number}"
                        answer = self.ask(path, method, request_id, front)
                        if answer.status == 200:
                            self.check_whole(answer, request_id)
                        self.assertFalse(
                            answer.status == 200 and letters == "ab", request_id
                        )
                        runs = self.count_runs(request_id)
                        self.assertTrue(runs <= 1 or method == "GET", request_id)
                        self.assertFalse(runs and answer.status == 503, request_id)
                self.set_fault(TargetFaultMode.NONE, "ab")
                self.warm()
        self.set_fault(TargetFaultMode.CUT_NEXT_HEAD, "ab")
        for number in range(3 * ROUNDS):
            for path, method in KINDS:
                answer = self.ask(path, method, f"{way}next{path[1:4]}{number}", front)
                if answer.status == 200:
                    self.check_whole(answer, way)
        self.set_fault(TargetFaultMode.NONE, "ab")

    def count_runs(self, request_id: str) -> int:
        """Return how often a request has run at the targets of one service."""
        return sum(
            self.targets[f"single{letter}"].executed_ids.count(request_id)
            for letter in "ab"
        )

    def test_direct_calls(self):
        self.check_answers("direct", NEAR)

    def test_batches(self):
        self.check_answers("batch", FAR)

    def test_calls_through_another_process(self):
        for target in self.targets.values():
            target.lose_link(self.fronts[FAR].host, LinkFault.HANG)
        self.wait_for_state(FAR, lambda state: state["gauges"]["targets_lost"] == 1)
        self.check_answers("through", FAR)


class OwnInterfaceTests(testtools.TestCase):
    """Searches of the own interface; test_bookings has its bookings."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        options = WorldOptions(entries=2, proxied_targets=True)
        self.world = self.enterContext(World(VATUWAQA, block, 6, options=options))
        self.fleet = self.enterContext(
            Fleet(
                self.world.vms,
                self.world.platform_address,
                ("--health_interval_s=60", "--connection_homes=1"),
            )
        )
        self.client = self.enterContext(Client(NAME, self.fleet.addresses))

    def set_faults(self, share: float, faults: Faults, seed: int) -> None:
        """Set the faults of a share of the targets."""
        rng = random.Random(seed)
        for proxy in self.world.target_proxies.values():
            if rng.random() < share:
                proxy.set_faults(faults)

    def test_searches_are_whole_or_fail(self):
        store = self.world.stores[NAME]
        request = SearchRequest(NAME, limit=1_000)
        answers = 0
        for cut_at in range(0, MAX_HEAD_BYTES, CUT_STEP_BYTES):
            for share in (1.0, 0.3):
                self.set_faults(share, Faults(close_in_answer_at_byte=cut_at), cut_at)
                try:
                    answer = self.client.search(request, 300)
                except CallError:
                    continue
                finally:
                    for proxy in self.world.target_proxies.values():
                        proxy.clear_faults()
                answers += 1
                if share == 1.0:
                    self.assertEqual(0.0, answer.coverage.fraction, cut_at)
                self.assertEqual("", find_difference(store, request, answer), cut_at)
        self.assertGreater(answers, 0)
