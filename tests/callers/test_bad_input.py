"""Tests of invalid requests to the interface for callers, over raw sockets."""

from sesameplank.callers.bodies import MAX_BODY_BYTES
from sesameplank.callers.server import MAX_HEADER_BYTES

from .raw_http import GOOD_BODY, RawResponse, make_head, make_post
from .served_app import MAX_CONNECTIONS, ServedAppTestCase


class RefusedRequestTests(ServedAppTestCase):
    """An invalid request gets a problem document whose `ran` is "not_run"."""

    def check_refused(self, payload: bytes, status: int, kind: str, detail: str):
        """Check that a payload is refused with a remedy, and that no search runs."""
        answer = self.send_request(payload)
        self.assertEqual((status, kind), (answer.status, answer.kind), payload[:200])
        self.assertEqual("application/problem+json", answer.headers["content-type"])
        self.assertEqual("not_run", answer.problem["ran"])
        self.assertTrue(answer.problem["remedy"])
        self.assertEqual(answer.headers["x-request-id"], answer.problem["request_id"])
        self.assertIn(detail, answer.problem["detail"])
        self.assertEqual([], self.searches)

    def test_invalid_body_is_refused(self):
        table = [
            (b"", "truncated"),
            (b"{", "truncated"),
            (b"{'collection': 1}", "malformed"),
            (b"[" * 60_000, ""),
            (b'{"collection": "\xff"}', ""),
            (b'{"collection": "\\ud800"}', ""),
            (b"[]", "Expected `object`"),
            (b"null", "Expected `object`"),
            (b"{}", "missing required field `collection`"),
            (b'{"collection": 5}', "$.collection"),
            (b'{"collection": "order-desk", "colour": 1}', "unknown field `colour`"),
            (b'{"collection": "order-desk", "terms": "a"}', "$.terms"),
            (b'{"collection": "order-desk", "terms": [""]}', "$.terms"),
            (b'{"collection": "order-desk", "limit": -1}', "$.limit"),
            (b'{"collection": "order-desk", "limit": 1001}', "$.limit"),
            (b'{"collection": "order-desk", "limit": 1.5}', "$.limit"),
            (b'{"collection": "order-desk", "limit": "10"}', "$.limit"),
            (b'{"collection": "order-desk", "deadline_ms": 0}', "$.deadline_ms"),
            (b'{"collection": "order-desk", "deadline_ms": -5}', "$.deadline_ms"),
            (b'{"collection": "order-desk", "min_coverage": 1.1}', "$.min_coverage"),
            (b'{"collection": "order-desk", "at_least_snapshot": -1}', "$.at_least"),
            (
                b'{"collection": "order-desk", "filters": [{"field": "a"}]}',
                "$.filters[0]",
            ),
            (b'{"collection": "order-desk"} x', "malformed"),
        ]
        for body, detail in table:
            self.check_refused(make_post(body), 400, "bad-request", detail)

    def test_oversized_body_is_refused(self):
        over = MAX_BODY_BYTES + 1
        chunk = b"1000\r\n" + b" " * 4_096 + b"\r\n"
        chunked = make_head(None, "Transfer-Encoding: chunked")
        table = [
            make_head(over) + b" " * over,
            make_head(10**15),
            chunked + chunk * 20 + b"0\r\n\r\n",
            chunked + b"FFFFFFFFFFFFFFF\r\n" + b" " * (MAX_BODY_BYTES + 8_192),
        ]
        for payload in table:
            self.check_refused(payload, 413, "too-large", str(MAX_BODY_BYTES))

    def test_invalid_length_or_transfer_coding_is_refused(self):
        chunked = make_head(None, "Transfer-Encoding: chunked")
        table = [
            make_head(None) + GOOD_BODY,
            make_head("abc") + GOOD_BODY,
            make_head(-1) + GOOD_BODY,
            make_head("1_0") + GOOD_BODY,
            make_head("9" * 5_000),
            make_head(28, "Content-Length: 5") + GOOD_BODY,
            make_head(28, "Transfer-Encoding: gzip, chunked") + GOOD_BODY,
            chunked + b"zz\r\n",
            chunked + b"5\r\nabcdefgh\r\n",
            chunked + b"12345678901234567\r\n",
        ]
        for payload in table:
            self.check_refused(payload, 400, "bad-request", "")

    def test_invalid_request_line_or_header_is_refused(self):
        long_value = "x" * MAX_HEADER_BYTES
        many = [f"X-Header-{number}: {'y' * 1_000}" for number in range(50)]
        table = [
            (make_post(GOOD_BODY, f"X-Long: {long_value}"), 431, "headers-too-large"),
            (make_post(GOOD_BODY, *many), 431, "headers-too-large"),
            (make_post(GOOD_BODY, "X-Request-Id: a\x01b"), 400, "bad-request"),
            (make_post(GOOD_BODY, "X-Request-Id: caf\xe9"), 400, "bad-request"),
            (make_post(GOOD_BODY, f"X-Request-Id: {'i' * 101}"), 400, "bad-request"),
            (b"POST /v1/search HTTP/9.9\r\n\r\n", 400, "bad-request"),
            (b"nonsense\r\n\r\n", 400, "bad-request"),
            (make_head(28).replace(b"order-desk", b"\x00\x7f"), 403, "unknown-caller"),
            (make_head(28).replace(b"order-desk", b"nobody"), 403, "unknown-caller"),
            (make_head(28, path="/v2/search"), 404, "not-found"),
            (make_head(28).replace(b"POST", b"PUT"), 404, "not-found"),
        ]
        for payload, status, kind in table:
            self.check_refused(payload + GOOD_BODY, status, kind, "")

    def test_booking_needs_a_printable_key(self):
        body = b'{"collection": "order-desk", "record": "r1"}'
        for lines in ((), ("Idempotency-Key: ",), (f"Idempotency-Key: {'k' * 201}",)):
            head = make_head(len(body), *lines, path="/v1/bookings")
            self.check_refused(head + body, 400, "bad-request", "Idempotency-Key")

    def test_too_long_request_line_is_refused(self):
        self.assertEqual(414, self.get_status(b"GET /" + b"a" * 9_000))

    def get_status(self, payload: bytes) -> int:
        """Return the status of a response, which may have no Content-Length."""
        sock = self.connect()
        sock.sendall(payload)
        return int(sock.makefile("rb").readline().split()[1])


class ConnectionTests(ServedAppTestCase):
    """A faulty connection is closed and does not affect other requests."""

    def check_still_serves(self) -> None:
        """Check that a valid request on a new connection is answered."""
        self.assertEqual(200, self.send_request(make_post(GOOD_BODY)).status)

    def test_deadline_that_expires_during_the_body_is_refused_as_not_run(self):
        body = b'{"collection": "order-desk", "deadline_ms": 1}'
        sock = self.connect()
        before = self.clock.reads
        sock.sendall(make_head(len(body)) + body[:5])
        self.wait_until(lambda: self.clock.reads > before)
        self.clock.advance(1.0)
        sock.sendall(body[5:])
        answer = RawResponse(sock.makefile("rb"))
        self.assertEqual((504, "deadline-expired"), (answer.status, answer.kind))
        self.assertEqual("not_run", answer.problem["ran"])
        self.assertEqual([], self.searches)

    def test_slow_senders_are_refused_while_others_are_served(self):
        slow_body = self.connect()
        slow_body.sendall(make_head(28) + GOOD_BODY[:5])
        slow_head = self.connect()
        slow_head.sendall(make_head(28)[:-4])
        self.check_still_serves()
        for sock in (slow_body, slow_head):
            answer = RawResponse(sock.makefile("rb"))
            self.assertEqual((408, "request-timeout"), (answer.status, answer.kind))
            self.assertEqual(b"", sock.recv(1))
        self.assertEqual(1, len(self.searches))

    def test_disconnect_during_a_request_leaves_the_server_working(self):
        table = [b"POST", make_head(28)[:-2], make_head(28) + GOOD_BODY[:5]]
        for payload in table:
            sock = self.connect()
            sock.sendall(payload)
            sock.close()
        self.wait_until(lambda: self.server.open_connections == 0)
        self.assertEqual([], self.searches)
        self.check_still_serves()

    def test_disconnect_during_a_search_leaves_the_server_working(self):
        self.release.clear()
        sock = self.connect()
        sock.sendall(make_post(GOOD_BODY))
        self.wait_until(lambda: len(self.searches) == 1)
        sock.close()
        self.release.set()
        self.wait_until(lambda: self.server.open_connections == 0)
        self.check_still_serves()

    def test_pipelined_requests_are_answered_in_order(self):
        sock = self.connect()
        sock.sendall(
            make_post(GOOD_BODY, "X-Request-Id: one")
            + make_post(b"{}", "X-Request-Id: two")
            + make_post(GOOD_BODY, "X-Request-Id: three")
        )
        stream = sock.makefile("rb")
        answers = [RawResponse(stream) for _ in range(3)]
        self.assertEqual(
            [(200, "one"), (400, "two"), (200, "three")],
            [(item.status, item.headers["x-request-id"]) for item in answers],
        )

    def test_undrained_body_closes_the_connection(self):
        sock = self.connect()
        sock.sendall(make_head(10**9, path="/nowhere") + b"GET /nowhere HTTP/1.1\r\n")
        stream = sock.makefile("rb")
        self.assertEqual(404, RawResponse(stream).status)
        self.assertEqual(b"", stream.read())

    def test_connections_over_the_limit_are_refused_with_a_retry_time(self):
        idle = [self.connect() for _ in range(MAX_CONNECTIONS)]
        self.wait_until(lambda: self.server.open_connections == MAX_CONNECTIONS)
        answer = RawResponse(self.connect().makefile("rb"))
        self.assertEqual((503, "overloaded"), (answer.status, answer.kind))
        self.assertEqual("1", answer.headers["retry-after"])
        idle[0].close()
        self.wait_until(lambda: self.server.open_connections < MAX_CONNECTIONS)
        self.check_still_serves()

    def test_chunked_request_is_answered(self):
        head = make_head(None, "Transfer-Encoding: chunked")
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(GOOD_BODY), GOOD_BODY)
        self.assertEqual(200, self.send_request(head + chunks).status)

    def test_internal_error_is_answered_as_unknown(self):
        self.release = None  # The search raises AttributeError.
        answer = self.send_request(make_post(GOOD_BODY))
        self.assertEqual((500, "internal"), (answer.status, answer.kind))
        self.assertEqual("unknown", answer.problem["ran"])
