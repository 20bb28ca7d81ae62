"""Tests that a caller has a bounded time to send the head of a request."""

import time

import gevent
import testtools

from sesameplank.core.published.routes import RequestLimits
from sesameplank.forwarding.caller_server import CallerServer
from sesameplank.forwarding.http_messages import Request
from sesameplank.forwarding.request_handling import Reply, RequestContext
from sesameplank.net import Address
from sesameplank.standins.fleet import reserve_block

from ..integration.front_world import RawConnection, make_request

HEADER_TIMEOUT_S = 0.5
INTERVAL_S = 0.1
MARGIN_S = 0.4
MAX_BYTES = 30


class SlowHeadTests(testtools.TestCase):
    """Callers that send a byte at a time."""

    def setUp(self):
        super().setUp()
        block = self.enterContext(reserve_block())
        limits = RequestLimits(header_timeout_s=HEADER_TIMEOUT_S)
        self.address = Address(f"{block}.1.1", 8104)
        self.enterContext(
            CallerServer(self.address, self.serve, lambda: limits, time.monotonic)
        )
        self.client = self.enterContext(RawConnection(self.address))

    def serve(self, request: Request, context: RequestContext) -> Reply:
        """Answer any request."""
        return Reply(200)

    def send_slowly(self, data: bytes) -> None:
        """Send bytes one at a time, as long as the server accepts them."""
        for position in range(min(len(data), MAX_BYTES)):
            self.client.sock.sendall(data[position : position + 1])
            gevent.sleep(INTERVAL_S)

    def check_head_is_refused(self) -> None:
        """Send a head slowly, and check that it is refused when its time is over."""
        started_at = time.monotonic()
        sender = gevent.spawn(self.send_slowly, make_request("/slow"))
        self.addCleanup(sender.kill)
        self.assertEqual(408, self.client.read().status)
        elapsed_s = time.monotonic() - started_at
        self.assertLess(elapsed_s, HEADER_TIMEOUT_S + MARGIN_S)

    def test_first_head_that_comes_a_byte_at_a_time_is_refused(self):
        self.check_head_is_refused()

    def test_later_head_that_comes_a_byte_at_a_time_is_refused(self):
        self.assertEqual(200, self.client.request(make_request("/first")).status)
        gevent.sleep(HEADER_TIMEOUT_S)
        self.check_head_is_refused()

    def test_body_may_come_a_byte_at_a_time(self):
        data = make_request("/body", method="POST", body=b"0123456789")
        head, end = data[:-10], data[-10:]
        self.client.sock.sendall(head)
        self.send_slowly(end)
        self.assertEqual(200, self.client.read().status)
