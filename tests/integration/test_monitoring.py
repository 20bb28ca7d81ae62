"""Tests of the state dump and the metrics of an entry process."""

import signal

import gevent
import msgspec
import testtools
from geventhttpclient import HTTPClient
from prometheus_client.parser import text_string_to_metric_families

from sesameplank.client import Client
from sesameplank.core.search.messages import SearchRequest
from sesameplank.exceptions import CallError
from sesameplank.monitoring.dump import EntryDump
from sesameplank.monitoring.metrics import METRICS
from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.fleet import Fleet, reserve_block
from sesameplank.standins.world import World

DEADLINE_MS = 10_000
WAIT_S = 60.0


class MonitoringTests(testtools.TestCase):
    """The state dump and the metrics report what the process did."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        self.world = self.enterContext(World(VATUWAQA, block, seed=5, entries=1))
        fleet = self.enterContext(Fleet(self.world.vms, self.world.platform_address))
        (self.entry,) = fleet.entries
        client = self.enterContext(Client("order-desk", fleet.addresses))
        client.search(SearchRequest("order-desk"), DEADLINE_MS)
        self.assertRaises(
            CallError, client.search, SearchRequest("nothing"), DEADLINE_MS
        )

    def get(self, path: str) -> bytes:
        """Return the body of the response to a GET request."""
        address = self.entry.address
        client = HTTPClient(address.host, address.port, concurrency=1)
        try:
            return bytes(client.get(path).read())
        finally:
            client.close()

    def check_dump(self, dump: EntryDump) -> None:
        """Check a state dump against the requests that `setUp` sent."""
        self.assertEqual(self.entry.vm.id, dump.entry)
        self.assertEqual(self.world.platform.config.version, dump.config_version)
        self.assertEqual("ordinary", dump.preset)
        self.assertEqual(
            set(self.world.direct_configuration.targets), set(dump.targets)
        )
        self.assertEqual(1, dump.requests.outcomes["/v1/search answered"])
        self.assertEqual(1, dump.requests.outcomes["/v1/search unknown-collection"])
        self.assertIn("unknown-collection", [item.reason for item in dump.decisions])
        self.assertIn("order-desk", dump.snapshots)

    def test_state_endpoint_returns_the_typed_dump(self):
        self.check_dump(msgspec.json.decode(self.get("/state"), type=EntryDump))

    def test_signal_writes_the_dump_to_the_log(self):
        self.entry.signal(signal.SIGUSR1)
        lines = []
        with gevent.Timeout(WAIT_S):
            while not lines:
                gevent.sleep(0.05)
                text = self.entry.log_path.read_text()
                lines = [
                    line
                    for line in text.splitlines(keepends=True)
                    if line.startswith("{") and line.endswith("}\n")
                ]
        self.check_dump(msgspec.json.decode(lines[0], type=EntryDump))

    def test_metrics_are_those_that_the_code_declares(self):
        families = {
            family.name: family
            for family in text_string_to_metric_families(self.get("/metrics").decode())
        }
        expected = {item.full_name.removesuffix("_total") for item in METRICS}
        found = {name for name in families if name.startswith("sesameplank_")}
        self.assertEqual(expected, found)
        (requests,) = [
            sample.value
            for sample in families["sesameplank_requests"].samples
            if sample.labels == {"path": "/v1/search", "outcome": "answered"}
        ]
        self.assertEqual(1.0, requests)
        self.assertTrue(families["sesameplank_request_latency_seconds"].samples)
