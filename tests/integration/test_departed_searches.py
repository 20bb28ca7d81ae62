"""Tests of searches whose callers leave before the answer, with real processes.

Guards against a search that goes on until its deadline although nobody waits for it.
"""

import gevent
import msgspec
import testtools

from sesameplank.core.search.messages import SearchRequest
from sesameplank.net import Address, open_connection
from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.fleet import Fleet, reserve_block
from sesameplank.standins.world import World, WorldOptions

NAME = "order-desk"
DEADLINE_MS = 5_000
SLOWDOWN = 400.0  # A call then takes longer than the deadline.
LEAVES_AFTER_S = 0.4
GONE_S = 0.5
OBSERVED_S = 1.0


class DepartedSearchTests(testtools.TestCase):
    """The calls of a search end soon after its caller has left, and none follows."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        options = WorldOptions(entries=3)
        self.world = self.enterContext(World(VATUWAQA, block, 5, options=options))
        self.fleet = self.enterContext(
            Fleet(
                self.world.vms,
                self.world.platform_address,
                ("--health_interval_s=60", "--connection_homes=1"),
            )
        )
        names = {
            target for target in self.world.targets if target.startswith(f"{NAME}-")
        }
        self.targets = [self.world.targets[name] for name in names]
        for target in self.targets:
            target.slow_factor = SLOWDOWN

    def send(self, address: Address, request_id: str):
        """Send a search on a new connection and return the connection."""
        request = SearchRequest(NAME, deadline_ms=DEADLINE_MS)
        body = msgspec.json.encode(request)
        sock = open_connection(address, 2.0)
        head = (
            f"POST /v1/search HTTP/1.1\r\nHost: x\r\nX-Caller: {NAME}\r\n"
            f"X-Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        sock.sendall(head.encode() + body)
        return sock

    def count_calls(self) -> int:
        """Return how many calls the targets have got."""
        return sum(target.truth.calls for target in self.targets)

    def count_running(self) -> int:
        """Return how many calls the targets are running, or hold in a queue."""
        return sum(target.running + target.waiting for target in self.targets)

    def test_search_ends_with_its_caller(self):
        for number, vm in enumerate(self.world.vms):
            calls = self.count_calls()
            with self.send(Address.parse(vm.address), f"left-{number}"):
                gevent.sleep(LEAVES_AFTER_S)
                self.assertGreater(self.count_calls(), calls, vm.id)
                self.assertGreater(self.count_running(), 0, vm.id)
            gevent.sleep(GONE_S)
            calls = self.count_calls()
            self.assertEqual(0, self.count_running(), vm.id)
            gevent.sleep(OBSERVED_S)
            self.assertEqual(calls, self.count_calls(), vm.id)
            self.assertEqual(0, self.count_running(), vm.id)

    def test_search_behind_another_on_a_connection_ends_too(self):
        with self.send(Address.parse(self.world.vms[0].address), "first") as sock:
            sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            gevent.sleep(LEAVES_AFTER_S)
        gevent.sleep(GONE_S)
        self.assertEqual(0, self.count_running())
