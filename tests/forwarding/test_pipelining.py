"""Tests of several requests on one connection of a caller."""

import gevent

from sesameplank.forwarding.request_handling import Reply

from ..integration.front_world import make_request
from .caller_world import CallerServerTestCase, KernelConnection

LARGE_BYTES = 12_000_000  # More than the kernel's buffers hold.


class InterimResponseTests(CallerServerTestCase):
    """The interim response `100 Continue` beside the answer of an earlier request."""

    def handle(self, request, context):
        if request.path == "/large":
            return Reply(200, body=b"x" * LARGE_BYTES)
        return super().handle(request, context)

    def test_interim_response_is_not_written_into_an_earlier_answer(self):
        client = self.connect()
        client.sock.sendall(make_request("/large"))
        gevent.sleep(0.2)
        expecting = "Content-Length: 1\r\nExpect: 100-continue\r\n"
        client.sock.sendall(make_request("/next", method="POST", extra=expecting))
        gevent.sleep(0.2)
        body = bytes(client.read().body)
        self.assertEqual(LARGE_BYTES, body.count(b"x"))


class ReceiptTests(CallerServerTestCase):
    """The time from which the time limits of pipelined requests count."""

    def handle(self, request, context):
        self.received_at[request.path] = context.received_at
        self.time_s += 5.0
        return super().handle(request, context)

    def test_time_limit_counts_from_the_receipt_not_from_the_turn(self):
        self.received_at = {}
        client = self.enterContext(KernelConnection(self.address))
        client.sock.sendall(make_request("/a") + make_request("/b"))
        self.assertEqual([b"/a", b"/b"], self.read_paths(client, 2))
        self.assertEqual({"/a": 0.0, "/b": 0.0}, self.received_at)
