"""Base class of tests that send bytes to a server with a CallersApp."""

import socket

import gevent
import msgspec
import testtools
from gevent.event import Event

from sesameplank.callers import CallersApp
from sesameplank.callers.app import CallerContext
from sesameplank.callers.server import CallersServer
from sesameplank.conf import PublishedConfiguration
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.published.versions import ConfigurationStore
from sesameplank.core.search.coverage import Coverage
from sesameplank.core.search.messages import SearchAnswer, SearchRequest
from sesameplank.core.search.ranges import KEY_SPACE, KeyRange
from sesameplank.net import Address
from sesameplank.standins.deployments import VATUWAQA, make_configuration
from sesameplank.standins.fleet import reserve_block

from .raw_http import RawResponse

PORT = 8080
WAIT_S = 60.0
MAX_CONNECTIONS = 8


class CountingClock(ManualClock):
    """A manual clock that counts how often it is read."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    def now(self) -> float:
        """Return the time that was set last, and count the call."""
        self.reads += 1
        return super().now()


class ServedAppTestCase(testtools.TestCase):
    """Serves a CallersApp whose searches the test controls.

    A search waits until `release` is set.
    """

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        self.clock = CountingClock()
        store = ConfigurationStore(self.clock)
        document = msgspec.json.encode(make_configuration(VATUWAQA, block))
        store.offer(PublishedConfiguration(1, msgspec.Raw(document)))
        self.searches: list[CallerContext] = []
        self.release = Event()
        self.release.set()
        app = CallersApp("e1", store, self.clock, self.search, self.search, {})
        self.address = Address(f"{block}.1.1", PORT)
        self.server = CallersServer(self.address, app, MAX_CONNECTIONS)
        self.server.start()
        self.addCleanup(self.server.stop, timeout=1)

    def search(self, call: CallerContext, request: SearchRequest) -> SearchAnswer:
        """Record a search and return an answer without hits once `release` is set."""
        self.searches.append(call)
        self.release.wait(WAIT_S)
        complete_coverage = Coverage((KeyRange(0, KEY_SPACE),))
        return SearchAnswer(
            call.request_id,
            request.collection,
            7,
            1,
            "ordinary",
            0,
            (),
            complete_coverage,
        )

    def connect(self) -> socket.socket:
        """Return a connection to the server."""
        sock = socket.create_connection(self.address, timeout=WAIT_S)
        self.addCleanup(sock.close)
        return sock

    def send_request(self, payload: bytes) -> RawResponse:
        """Send bytes on a new connection and return the first response."""
        with socket.create_connection(self.address, timeout=WAIT_S) as sock:
            sock.sendall(payload)
            return RawResponse(sock.makefile("rb"))

    def wait_until(self, condition) -> None:
        """Wait until the condition holds, or raise gevent.Timeout after WAIT_S."""
        with gevent.Timeout(WAIT_S):
            while not condition():
                gevent.sleep(0.01)
